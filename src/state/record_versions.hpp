#pragma once
// The versions of the records that one leader writes. Each transaction has the versions of the records that
// it replaces as preconditions, so that it is executed at most once: a copy of it finds newer versions.
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "state/state_client.hpp"

namespace barrowrun::state {

// What an operation of a transaction does to its record.
struct RecordChange {
    std::string key;
    bool deletes = false;
};

// Holds for one term, in which no other process writes these records.
class RecordVersions {
  public:
    // The operations whose records have checked versions. The leader key has its own precondition. The end of
    // a job, and the deletion of the job's record with it, have the same effect each time they are executed.
    static std::vector<RecordChange> checked_changes(const std::vector<Operation>& operations);

    // Adds the records of a complete listing of this prefix: other keys with the prefix do not exist.
    void recovered(const std::string& prefix, const Listing& listing);
    // Sets the version of a record that was read; 0: it does not exist.
    void read(const std::string& key, std::uint64_t version) { versions_[key] = version; }

    // The keys whose version has to be read before the changes can be sent.
    std::vector<std::string> unknown(const std::vector<RecordChange>& changes) const;
    // The preconditions of a transaction with these changes; no version may be unknown.
    std::vector<Precondition> preconditions(const std::vector<RecordChange>& changes) const;

    void written(const std::vector<RecordChange>& changes, std::uint64_t revision);
    // It is not known whether a transaction was executed; it can't be any more.
    void outcome_unknown(const std::vector<RecordChange>& changes);
    // A transaction was refused because of these keys' versions.
    void conflicted(const std::vector<std::string>& keys);

  private:
    std::optional<std::uint64_t> version(const std::string& key) const;

    std::unordered_map<std::string, std::optional<std::uint64_t>> versions_;  // nothing: to be read again
    std::vector<std::string> complete_prefixes_;
};

}  // namespace barrowrun::state
