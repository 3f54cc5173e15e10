#pragma once
// Resolves the parent of each entry of a quota tree. An entry names its parent by path, or by name where only
// one node has that name; the result refers to entries by index. Limits and guarantees are not examined.
#include <cstddef>
#include <optional>
#include <vector>

#include "quota/tree.hpp"

namespace barrowrun::quota {

struct EntryHierarchy {
    // Index of the parent, by entry; absent for top-level entries and for entries whose parent is invalid.
    std::vector<std::optional<std::size_t>> parents;
    // Indices of the valid entries, parents before their children. Invalid entries and their descendants are
    // omitted.
    std::vector<std::size_t> order;
};

// Appends an error for each invalid name, each missing or ambiguous parent, and each cycle. Entries from
// index `operator_entry_count` on represent platform teams, whose names are not checked.
EntryHierarchy resolve_hierarchy(const std::vector<QuotaEntry>& entries, std::size_t operator_entry_count,
                                 std::vector<ValidationError>& errors);

}  // namespace barrowrun::quota
