#include "state/record_versions.hpp"

#include <algorithm>

#include "state/records.hpp"

namespace barrowrun::state {
namespace {
bool is_checked(const std::string& key) {
    return key != leader_key && !key.starts_with("past/") && !key.starts_with("jobs/");
}
}  // namespace

std::vector<RecordChange> RecordVersions::checked_changes(const std::vector<Operation>& operations) {
    std::vector<RecordChange> changes;
    for (auto& operation : operations)
        if (is_checked(operation.key)) changes.push_back({operation.key, !operation.value});
    return changes;
}

void RecordVersions::recovered(const std::string& prefix, const Listing& listing) {
    for (auto& item : listing.items) versions_[item.key] = item.version;
    complete_prefixes_.push_back(prefix);
}

std::optional<std::uint64_t> RecordVersions::version(const std::string& key) const {
    if (auto it = versions_.find(key); it != versions_.end()) return it->second;
    const bool listed = std::any_of(complete_prefixes_.begin(), complete_prefixes_.end(),
                                    [&](auto& prefix) { return key.starts_with(prefix); });
    if (listed) return 0;
    return std::nullopt;
}

std::vector<std::string> RecordVersions::unknown(const std::vector<RecordChange>& changes) const {
    std::vector<std::string> keys;
    for (auto& change : changes)
        if (!version(change.key)) keys.push_back(change.key);
    return keys;
}

std::vector<Precondition> RecordVersions::preconditions(const std::vector<RecordChange>& changes) const {
    std::vector<Precondition> out;
    for (auto& change : changes) out.push_back({change.key, version(change.key).value_or(0)});
    return out;
}

void RecordVersions::written(const std::vector<RecordChange>& changes, std::uint64_t revision) {
    for (auto& change : changes) {
        if (change.deletes)
            versions_.erase(change.key);
        else
            versions_[change.key] = revision;
    }
}

void RecordVersions::outcome_unknown(const std::vector<RecordChange>& changes) {
    for (auto& change : changes) versions_[change.key].reset();
}

void RecordVersions::conflicted(const std::vector<std::string>& keys) {
    for (auto& key : keys)
        if (is_checked(key)) versions_[key].reset();
}

}  // namespace barrowrun::state
