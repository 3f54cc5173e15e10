#include "api/fenced_writer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "state/records.hpp"

namespace barrowrun::api {
using net::Task;
using state::Outcome;

Task<Outcome> FencedWriter::write(std::vector<state::Operation> operations, Token token) {
    const auto changes = state::RecordVersions::checked_changes(operations);
    const bool read = co_await read_unknown_versions(changes);
    if (!read) co_return Outcome::refused;
    auto preconditions = versions_.preconditions(changes);
    preconditions.push_back(services_.election.fencing_precondition());
    if (token == Token::refresh) operations.push_back(services_.election.token_refresh());
    auto result = co_await services_.state.compare_and_swap(std::move(preconditions), std::move(operations));
    if (result.outcome == Outcome::ok) {
        versions_.written(changes, result.revision);
        if (token == Token::refresh) services_.election.token_refreshed(result.revision);
    } else if (result.outcome == Outcome::conflict) {
        handle_conflict(result.failed_keys);
    } else if (result.outcome == Outcome::unknown) {
        versions_.outcome_unknown(changes);
    }
    co_return result.outcome;
}

Task<bool> FencedWriter::read_unknown_versions(std::vector<state::RecordChange> changes) {
    for (auto& key : versions_.unknown(changes)) {
        const auto record = co_await services_.state.get(key);
        if (record.outcome == Outcome::ok)
            versions_.read(key, record.version);
        else if (record.outcome == Outcome::absent)
            versions_.read(key, 0);
        else
            co_return false;
    }
    co_return true;
}

void FencedWriter::handle_conflict(const std::vector<std::string>& failed_keys) {
    const bool fenced =
        std::find(failed_keys.begin(), failed_keys.end(), state::leader_key) != failed_keys.end();
    if (fenced || failed_keys.empty()) services_.election.suspect_lost_leadership();
    if (fenced) return;
    ++version_conflicts_;
    versions_.conflicted(failed_keys);
    spdlog::error(
        "record {}: not written, its version is not the one that this leader wrote; reading it again",
        failed_keys.empty() ? "of unknown key" : failed_keys.front());
}

}  // namespace barrowrun::api
