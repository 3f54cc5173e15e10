#pragma once
// The leader key in the state service, as this process writes it. The key is attached to a lease of the state
// service, and its version is the fencing token.
#include <string>

#include "state/records.hpp"
#include "state/state_client.hpp"

namespace barrowrun::election {

using net::Task;

// Owns the identifiers under which this process leads or campaigns: incarnation, lease, fencing token and the
// number of writes of the key. All requests are exempt from the rate limits. While a coroutine is suspended,
// the caller may lose leadership or another coroutine may adopt a newer token, so the caller must check each
// result against both.
class LeaderKey {
  public:
    // `incarnation`: identifies this process among all processes of the node.
    LeaderKey(state::StateClient& state, std::string node, std::string incarnation)
        : state_(state), node_(std::move(node)), incarnation_(std::move(incarnation)) {}

    const std::string& incarnation() const { return incarnation_; }
    // Fencing token of the current term, or of the last one.
    std::uint64_t fencing_token() const { return fencing_token_; }
    std::uint64_t lease_id() const { return lease_id_; }

    // Sets the lease to which the next write attaches the key, and the refresh count of that write.
    void attach(std::uint64_t lease_id, std::uint64_t refresh_count);
    // Starts a term under this token.
    void begin_term(std::uint64_t fencing_token) { fencing_token_ = fencing_token; }

    // Writes the key with the attached lease if its version is still `expected_version` (0: the key does not
    // exist). The key's new version is the revision of the result.
    Task<state::CompareAndSwapResult> write(std::uint64_t expected_version);
    // Rewrites the key in the same term to get a new fencing token. This object does not change before
    // `refreshed` is called.
    Task<state::CompareAndSwapResult> write_refresh();
    // The same write, as an operation of a transaction that has the token as a precondition.
    state::Operation refresh_operation() const;
    // Adopts the token of a successful refresh; the caller has checked that the term has not ended.
    void refreshed(std::uint64_t fencing_token);
    // Whether the key is gone or belongs to another process. If the key belongs to this process and is newer
    // than known, because the answer to a refresh was lost, its token is adopted.
    Task<bool> is_lost();

    Task<state::Outcome> extend_lease(Clock::duration deadline);
    Task<state::Outcome> revoke_lease();

  private:
    state::Operation write_operation(std::uint64_t refresh_count) const;
    Task<state::CompareAndSwapResult> write(std::uint64_t expected_version, std::uint64_t refresh_count,
                                            Clock::duration deadline);

    state::StateClient& state_;
    std::string node_, incarnation_;
    std::uint64_t fencing_token_ = 0, lease_id_ = 0;
    std::uint64_t refresh_count_ = 0;  // makes each written value differ from the previous one
};

}  // namespace barrowrun::election
