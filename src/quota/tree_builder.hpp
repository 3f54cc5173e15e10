#pragma once
/// \file
/// Builds and validates the parts of a quota tree from an operator's entries and the platform's teams.
/// Used by Tree::build only.
#include <string>
#include <unordered_map>
#include <vector>

#include "quota/tree.hpp"

namespace barrowrun::quota {

struct TreeParts {
    std::vector<Node> nodes;                          ///< the root, then parents before their children
    std::unordered_map<std::string, NodeId> by_path;  ///< of all nodes but the root
    std::unordered_map<std::string, NodeId> by_team;
    std::vector<NodeId> guaranteed;  ///< nodes with a guarantee
    bool has_limits = false;
    std::uint32_t deepest_guarantee = 0;  ///< depth; 0 if there is none
};

/// Appends all errors, not only the first. The result must not be used if there are errors.
TreeParts build_tree_parts(std::vector<QuotaEntry> entries, const std::vector<TeamQuota>& teams,
                           std::vector<ValidationError>& errors);

}  // namespace barrowrun::quota
