#pragma once
// The leader key in the state service as this process writes it: attached to a lease there, its version is
// the fencing token.
#include <string>

#include "state/records.hpp"
#include "state/state_client.hpp"

namespace barrowrun::election {

using net::Task;

// Owns the ids under which this process leads or campaigns: incarnation, lease, fencing token and how often
// the key was written. All requests are exempt from the rate limits. At each suspension the caller may lose
// leadership or another coroutine may adopt a newer token: results have to be checked against both.
class LeaderKey {
  public:
    // `incarnation`: names this process among all processes of the node.
    LeaderKey(state::StateClient& state, std::string node, std::string incarnation)
        : state_(state), node_(std::move(node)), incarnation_(std::move(incarnation)) {}

    const std::string& incarnation() const { return incarnation_; }
    // Of the current term, or of the last one.
    std::uint64_t fencing_token() const { return fencing_token_; }
    std::uint64_t lease_id() const { return lease_id_; }

    // The lease that the key will be attached to, and the count for its next write.
    void attach(std::uint64_t lease_id, std::uint64_t refresh_count);
    // A term begins under this token.
    void begin_term(std::uint64_t fencing_token) { fencing_token_ = fencing_token; }

    // Writes the key as attached if its version is still `expected_version` (0: there is none). Its new
    // version is the result's revision.
    Task<state::CompareAndSwapResult> write(std::uint64_t expected_version);
    // Writes the key anew in the same term, for a new token. Nothing changes here before `refreshed`.
    Task<state::CompareAndSwapResult> write_refresh();
    // A refresh was written, and its term still goes on.
    void refreshed(std::uint64_t fencing_token);
    // Whether the key is gone or another process's. If it is ours and newer than known, by a refresh whose
    // answer was lost, its token is adopted.
    Task<bool> is_lost();

    Task<state::Outcome> extend_lease(Clock::duration deadline);
    Task<state::Outcome> revoke_lease();

  private:
    Task<state::CompareAndSwapResult> write(std::uint64_t expected_version, std::uint64_t refresh_count,
                                            Clock::duration deadline);

    state::StateClient& state_;
    std::string node_, incarnation_;
    std::uint64_t fencing_token_ = 0, lease_id_ = 0;
    std::uint64_t refresh_count_ = 0;  // makes each write of the key differ from the last
};

}  // namespace barrowrun::election
