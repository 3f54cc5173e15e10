#pragma once
// The quota tree: limits and guarantees of organisations, teams and projects, nested up to eight levels deep.
// A tree is immutable: a change of quotas creates a new version, and holders of an old version keep it. No
// I/O, no clock.
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "wire/submission.hpp"

namespace barrowrun::quota {

using wire::Json;
using wire::Resources;

using NodeId = std::uint32_t;
inline constexpr NodeId root = 0;  // the ancestor of all nodes, without limits or guarantees
inline constexpr NodeId no_node = ~NodeId{0};
inline constexpr std::size_t max_depth = 8, max_nodes = 20'000, max_name_length = 40;
inline constexpr double no_limit = std::numeric_limits<double>::infinity();
inline constexpr double Resources::*dimensions[] = {&Resources::cpus, &Resources::gpus, &Resources::mem_gb};
inline constexpr const char* dimension_names[] = {"cpus", "gpus", "mem_gb"};

// A limit or guarantee as an operator specifies it, in CPUs, GPUs and GB. An absent limit is that of
// the parent, an absent guarantee is none.
struct Bounds {
    std::optional<double> cpus, gpus, mem_gb;
    bool empty() const { return !cpus && !gpus && !mem_gb; }
    bool operator==(const Bounds&) const = default;
};
inline constexpr std::optional<double> Bounds::*bound_fields[] = {&Bounds::cpus, &Bounds::gpus,
                                                                  &Bounds::mem_gb};

// One node as an operator specifies it. `in`: the parent's path, or its name where only one node has that
// name; empty for a top-level node. `team`: the platform team that the node represents, whose projects are
// the nodes below it; empty if it represents none.
struct QuotaEntry {
    std::string name, in, team;
    Bounds limit, guarantee;
    bool operator==(const QuotaEntry&) const = default;
};

// The limit and guarantee of a team in the platform's file, where 0 means none. They hold whatever an
// operator's tree says.
struct TeamQuota {
    std::string name;
    Bounds limit, guarantee;
};

// An error in a quota tree, with the path of the node that has it.
struct ValidationError {
    std::string path, what;
    std::string str() const { return path + ": " + what; }
};

struct Node {
    std::string name, path, team;
    NodeId parent = root;
    std::uint32_t depth = 0;
    std::uint32_t entry_index = no_node;  // of the operator's entries; no_node for a team that no entry names
    Resources limit{no_limit, no_limit, no_limit};
    Resources guarantee;
    // Memory is guaranteed only where somebody said so: else every borrower would be protected by it.
    bool memory_guaranteed = false;
    bool has_limit() const {
        return limit.cpus < no_limit || limit.gpus < no_limit || limit.mem_gb < no_limit;
    }
    bool has_guarantee() const { return guarantee.cpus > 0 || guarantee.gpus > 0 || memory_guaranteed; }
};

class Tree;
using TreePtr = std::shared_ptr<const Tree>;

struct BuildResult {
    TreePtr tree;  // null if there are errors
    std::vector<ValidationError> errors;
};

class Tree {
  public:
    // Platform teams that no entry names become top-level nodes. Reports all errors, not only the first.
    static BuildResult build(std::vector<QuotaEntry> entries, const std::vector<TeamQuota>& teams,
                             std::uint64_t version = 0);

    std::uint64_t version() const { return version_; }
    const std::vector<Node>& nodes() const { return nodes_; }  // parents before their children
    const Node& node(NodeId n) const { return nodes_[n]; }
    std::size_t size() const { return nodes_.size(); }
    const std::vector<QuotaEntry>& entries() const { return entries_; }
    std::optional<NodeId> find_by_path(const std::string& path) const;
    // Returns the account that a job is charged to: its team's project, or the nearest ancestor of the
    // project that exists. Nothing if the team is unknown.
    std::optional<NodeId> account_for(const std::string& team, const std::string& project) const;
    // Returns the node of exactly this project, without falling back to an ancestor: submissions are checked
    // by it.
    std::optional<NodeId> find_project(const std::string& team, const std::string& project) const;
    NodeId lowest_common_ancestor(NodeId a, NodeId b) const;
    bool within(NodeId n, NodeId ancestor) const { return lowest_common_ancestor(n, ancestor) == ancestor; }
    bool has_limits() const { return has_limits_; }                 // of any node
    bool has_guarantees() const { return deepest_guarantee_ > 0; }  // of any node
    const std::vector<NodeId>& guaranteed_nodes() const { return guaranteed_nodes_; }

  private:
    std::uint64_t version_ = 0;
    std::vector<Node> nodes_;
    std::vector<QuotaEntry> entries_;
    std::unordered_map<std::string, NodeId> by_path_, by_team_;
    std::vector<NodeId> guaranteed_nodes_;
    bool has_limits_ = false;
    std::uint32_t deepest_guarantee_ = 0;  // depth; 0 if there is none
};

// Formats the non-zero amounts, for example "4 CPUs, 1 GPU, 8 GB"; "nothing" if there are none.
std::string format_resources(const Resources& resources);

}  // namespace barrowrun::quota
