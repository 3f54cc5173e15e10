#pragma once
// Which entry of a quota tree is in which. Entries name their parent by its path, or by its name where only
// one node bears it; here that becomes indices. Amounts are not looked at.
#include <cstddef>
#include <optional>
#include <vector>

#include "quota/tree.hpp"

namespace barrowrun::quota {

struct EntryHierarchy {
    // By entry; absent: the entry is at the top, or its parent is invalid.
    std::vector<std::optional<std::size_t>> parents;
    // The valid entries, parents before their children. Invalid ones and all below them are left out.
    std::vector<std::size_t> order;
};

// Appends an error for each name that isn't allowed, each parent that is missing or ambiguous, and each
// cycle. Entries from `operator_entry_count` on stand for the platform's teams, whose names aren't checked.
EntryHierarchy resolve_hierarchy(const std::vector<QuotaEntry>& entries, std::size_t operator_entry_count,
                                 std::vector<ValidationError>& errors);

}  // namespace barrowrun::quota
