#pragma once
// Versions of the quota tree as stored in the state service. The entries are stored in pages, each of which
// has two slots. A change writes the pages that it touches, each into the slot that is not in use, and then
// the head record, which names the slots in use: a failure in between leaves the previous version intact.
// Changing one limit writes two records, whatever the size of the tree.
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "quota/tree.hpp"

namespace barrowrun::quota {

inline constexpr const char* head_key = "quota/head";
inline constexpr const char* record_prefix = "quota/";

struct ChangeSummary {
    std::uint64_t version = 0;
    std::int64_t at_ms = 0;  // wall-clock time
    std::string author, reason, nonce;
    std::size_t set_count = 0, removed_count = 0;  // numbers of nodes
};

// A change requested by an operator. `base_version`: the version that the change was made from; the request
// conflicts if another change has been made since.
struct Change {
    std::uint64_t base_version = 0;
    std::vector<QuotaEntry> set_entries;  // replaced by path, which is `in` and name; new ones are added
    std::vector<std::string> removed_paths;
    std::optional<double> over_limit_grace_s;
    std::string author, reason;
    std::string nonce;  // identical in a repeated request, so that the change is made once
};

Json to_json(const QuotaEntry& entry);
std::optional<QuotaEntry> parse_quota_entry(const Json& value);
Json to_json(const Change& change);
// Returns the change, or a one-line error message.
std::variant<Change, std::string> parse_change(const Json& body);
Json to_json(const ChangeSummary& summary);
std::optional<ChangeSummary> parse_change_summary(const Json& value);

class VersionedQuotas {
  public:
    // Creates version 0: the entries of the operator's file, or none besides the platform's teams.
    explicit VersionedQuotas(std::vector<QuotaEntry> entries = {}, std::size_t value_bytes = 16 * 1024,
                             double over_limit_grace_s = 120);
    // Reads the quotas from the records under `quota/`. Returns an error message if they cannot be read.
    static std::variant<VersionedQuotas, std::string> from_records(const std::map<std::string, Json>& records,
                                                                   std::size_t value_bytes);

    struct RecordWrite {
        std::string key;
        Json value;
    };
    struct NextVersion;
    // Returns the quotas after the change and the records to write for it, or the errors of the change.
    std::variant<NextVersion, std::vector<ValidationError>> with_change(const Change& change,
                                                                        const std::vector<TeamQuota>& teams,
                                                                        std::int64_t wall_ms) const;

    std::uint64_t version() const { return version_; }
    std::int64_t changed_ms() const { return changed_ms_; }
    // Seconds that tasks without checkpoints may continue after a limit was lowered below the usage.
    double over_limit_grace_s() const { return over_limit_grace_s_; }
    std::vector<QuotaEntry> entries() const;
    const std::vector<ChangeSummary>& history() const { return history_; }

  private:
    struct Page {
        char slot = 'b';  // the slot in use, 'a' or 'b'; a new page is first written to 'a'
        std::vector<QuotaEntry> entries;
    };
    Json head() const;
    static std::string page_key(std::size_t page, char slot);
    std::uint64_t version_ = 0;
    std::int64_t changed_ms_ = 0;
    double over_limit_grace_s_ = 120;
    std::vector<Page> pages_;
    std::vector<ChangeSummary> history_;  // the latest changes, oldest first
    std::size_t page_bytes_;
};

struct VersionedQuotas::NextVersion {
    VersionedQuotas book;
    TreePtr tree;
    std::vector<RecordWrite> writes;  // the pages, then the head
};

}  // namespace barrowrun::quota
