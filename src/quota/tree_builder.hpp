#pragma once
/// \file
/// What a tree consists of, made from the entries of an operator and the platform's teams, and checked.
/// Used by Tree::build alone.
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
    std::uint32_t deepest_guarantee = 0;  ///< depth; 0: none
};

/// Appends every error that it finds, not the first alone. With errors the result is of no use.
TreeParts build_tree_parts(std::vector<QuotaEntry> entries, const std::vector<TeamQuota>& teams,
                           std::vector<ValidationError>& errors);

}  // namespace barrowrun::quota
