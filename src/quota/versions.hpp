#pragma once
// A tree as it stands in the state service, and how it changes there. A change is one transaction: the pages
// that it touches, each into the slot that isn't in use, and the head, which says which slots are. Whatever
// dies in between leaves the version before. Two changes on the state service for one of limits, however
// large the tree.
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
    std::int64_t at_ms = 0;  // time of day
    std::string author, reason, nonce;
    std::size_t set_count = 0, removed_count = 0;  // nodes
};

// What an operator asks for. `base`: the version that it was made from; another has changed it since: a
// conflict.
struct Change {
    std::uint64_t base_version = 0;
    std::vector<QuotaEntry> set_entries;     // by path: `in` and name; new ones are added
    std::vector<std::string> removed_paths;  // paths
    std::optional<double> over_limit_grace_s;
    std::string author, reason;
    std::string nonce;  // the same in a repeated request, which then is made once
};

Json to_json(const QuotaEntry& l);
std::optional<QuotaEntry> parse_quota_entry(const Json& value);
Json to_json(const Change& c);
// Or what is wrong with it in one line.
std::variant<Change, std::string> parse_change(const Json& body);
Json to_json(const ChangeSummary& e);
std::optional<ChangeSummary> parse_change_summary(const Json& value);

class VersionedQuotas {
  public:
    // Version 0: the operator's file, or nothing but the platform's teams.
    explicit VersionedQuotas(std::vector<QuotaEntry> lines = {}, std::size_t value_bytes = 16 * 1024,
                             double over_limit_grace_s = 120);
    // From the records under `quota/`. Nothing: they can't be read, and why.
    static std::variant<VersionedQuotas, std::string> from_records(const std::map<std::string, Json>& records,
                                                                   std::size_t value_bytes);

    struct RecordWrite {
        std::string key;
        Json value;
    };
    // The book after the change, and what is to be written for it; or faults.
    struct NextVersion;
    std::variant<NextVersion, std::vector<ValidationError>> with_change(const Change& change,
                                                                        const std::vector<TeamQuota>& teams,
                                                                        std::int64_t wall_ms) const;

    std::uint64_t version() const { return version_; }
    std::int64_t changed_ms() const { return changed_ms_; }
    // How long what doesn't save may go on where a limit was lowered below what is in use, seconds.
    double over_limit_grace_s() const { return over_limit_grace_s_; }
    std::vector<QuotaEntry> entries() const;
    const std::vector<ChangeSummary>& history() const { return history_; }

  private:
    struct Page {
        char slot = 'b';  // in use; a page that was never written goes to `a` first
        std::vector<QuotaEntry> entries;
    };
    Json head() const;
    static std::string page_key(std::size_t page, char slot);
    std::uint64_t version_ = 0;
    std::int64_t changed_ms_ = 0;
    double over_limit_grace_s_ = 120;
    std::vector<Page> pages_;
    std::vector<ChangeSummary> history_;  // the last few, oldest first
    std::size_t page_bytes_;
};

struct VersionedQuotas::NextVersion {
    VersionedQuotas book;
    TreePtr tree;
    std::vector<RecordWrite> writes;  // pages, then the head: in one transaction
};

}  // namespace barrowrun::quota
