#pragma once
// Transactions of the leader with the state service. Each is executed at most once and only in the leader's
// term: its preconditions are the fencing token and the versions of the records that it replaces.
#include <string>
#include <vector>

#include "api/services.hpp"
#include "state/record_versions.hpp"

namespace barrowrun::api {

// One for each component that writes records, and each record has one such component. One transaction is in
// flight at a time. Must live until its coroutines have ended.
class FencedWriter {
  public:
    explicit FencedWriter(Services services) : services_(services) {}

    // Adds the records of a complete listing of the prefix, which was read in this term.
    void recovered(const std::string& prefix, const state::Listing& listing) {
        versions_.recovered(prefix, listing);
    }
    // Sends the operations in one transaction, which also refreshes the fencing token if that is asked for.
    // After an unknown outcome the caller refreshes the fencing token before it writes again: only then can
    // the transaction no longer be executed.
    enum class Token { keep, refresh };
    net::Task<state::Outcome> write(std::vector<state::Operation> operations, Token token = Token::keep);
    // How many transactions were refused because a record had another version.
    std::uint64_t version_conflicts() const { return version_conflicts_; }

  private:
    net::Task<bool> read_unknown_versions(std::vector<state::RecordChange> changes);
    void handle_conflict(const std::vector<std::string>& failed_keys);

    Services services_;
    state::RecordVersions versions_;
    std::uint64_t version_conflicts_ = 0;
};

}  // namespace barrowrun::api
