#pragma once
// Who may use how much: organisations, teams, projects, nested up to eight deep. A tree is never changed; a
// change of limits makes the next version, and who holds the old one keeps it. No I/O, no clock.
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
inline constexpr NodeId root = 0;  // of all, without bounds
inline constexpr NodeId no_node = ~NodeId{0};
inline constexpr std::size_t max_depth = 8, max_nodes = 20'000, max_name_length = 40;
inline constexpr double no_limit = std::numeric_limits<double>::infinity();
inline constexpr double Resources::*dimensions[] = {&Resources::cpus, &Resources::gpus, &Resources::mem_gb};
inline constexpr const char* dimension_names[] = {"cpus", "gpus", "mem_gb"};

// Amounts as an operator gives them: CPUs, GPUs, GB. Absent: as the parent's (limit), or none (guarantee).
struct Bounds {
    std::optional<double> cpus, gpus, mem_gb;
    bool empty() const { return !cpus && !gpus && !mem_gb; }
    bool operator==(const Bounds&) const = default;
};
inline constexpr std::optional<double> Bounds::*bound_fields[] = {&Bounds::cpus, &Bounds::gpus,
                                                                  &Bounds::mem_gb};

// One node as an operator writes it. `in`: the parent's path, or its name where only one bears it; empty: at
// the top. `team`: the platform's team that this node stands for; nodes below it are its projects.
struct QuotaEntry {
    std::string name, in, team;
    Bounds limit, guarantee;
    bool operator==(const QuotaEntry&) const = default;
};

// What the platform's file says of a team (0 there: none). It holds whatever an operator's tree says.
struct TeamQuota {
    std::string name;
    Bounds limit, guarantee;
};

// What is wrong with a tree, and where: the path of the node.
struct ValidationError {
    std::string path, what;
    std::string str() const { return path + ": " + what; }
};

struct Node {
    std::string name, path, team;
    NodeId parent = root;
    std::uint32_t depth = 0;
    std::uint32_t entry_index = no_node;  // of the operator's lines; none: a team that stands by itself
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
    TreePtr tree;  // null if anything is wrong
    std::vector<ValidationError> errors;
};

class Tree {
  public:
    // Teams of the platform that no line names stand at the top. Every fault is found, not the first alone.
    static BuildResult build(std::vector<QuotaEntry> lines, const std::vector<TeamQuota>& teams,
                             std::uint64_t version = 0);

    std::uint64_t version() const { return version_; }
    const std::vector<Node>& nodes() const { return nodes_; }  // parents before their children
    const Node& node(NodeId n) const { return nodes_[n]; }
    std::size_t size() const { return nodes_.size(); }
    const std::vector<QuotaEntry>& entries() const { return entries_; }
    std::optional<NodeId> find_by_path(const std::string& path) const;
    // Where a job is charged: its team's project, or the nearest node above it that there is. Nothing: the
    // team is unknown.
    std::optional<NodeId> account_for(const std::string& team, const std::string& project) const;
    // Exactly this project, for submissions.
    std::optional<NodeId> find_project(const std::string& team, const std::string& project) const;
    NodeId lowest_common_ancestor(NodeId a, NodeId b) const;  // nearest that holds both
    bool within(NodeId n, NodeId ancestor) const { return lowest_common_ancestor(n, ancestor) == ancestor; }
    bool has_limits() const { return limits_; }              // any node has one
    bool has_guarantees() const { return guarantees_ > 0; }  // any node has one
    const std::vector<NodeId>& guaranteed_nodes() const { return guaranteed_; }

  private:
    std::uint64_t version_ = 0;
    std::vector<Node> nodes_;
    std::vector<QuotaEntry> entries_;
    std::unordered_map<std::string, NodeId> by_path_, by_team_;
    std::vector<NodeId> guaranteed_;
    bool limits_ = false;
    std::uint32_t guarantees_ = 0;
};

// "4 CPUs, 1 GPU, 8 GB", of what is not zero.
std::string format_resources(const Resources& r);

}  // namespace barrowrun::quota
