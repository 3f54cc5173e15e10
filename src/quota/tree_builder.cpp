#include "quota/tree_builder.hpp"

#include <spdlog/fmt/fmt.h>

#include <cmath>

#include "quota/entry_hierarchy.hpp"
#include "quota/tolerance.hpp"
#include "quota/validation.hpp"

namespace barrowrun::quota {
namespace {

// CPUs, GPUs or GB: far above any site, and still printed exactly in messages.
constexpr double max_amount = 1e9;

struct NodeAmount {
    std::optional<double> limit, guarantee;
};

// Builds a single tree. Continues after an error, so that an operator sees all errors at once.
class TreeBuilder {
  public:
    TreeBuilder(std::vector<QuotaEntry> entries, const std::vector<TeamQuota>& teams,
                std::vector<ValidationError>& errors)
        : entries_(std::move(entries)),
          operator_entry_count_(entries_.size()),
          teams_(teams),
          errors_(errors) {
        for (auto& team : teams) team_by_name_[team.name] = &team;
    }

    TreeParts build() {
        if (entries_.size() > max_nodes) {
            report("", fmt::format("{} nodes: expected at most {}", entries_.size(), max_nodes));
            return {};
        }
        check_teams();
        append_unlisted_teams();
        hierarchy_ = resolve_hierarchy(entries_, operator_entry_count_, errors_);
        add_root();
        for (auto index : hierarchy_.order) add_node(index);
        check_guarantees_of_children();
        return std::move(tree_);
    }

  private:
    void report(const std::string& path, std::string message) {
        add_error(errors_, path, std::move(message));
    }

    // Checks that each team named by an operator's entry is a platform team and is named only once.
    void check_teams() {
        for (std::size_t i = 0; i < operator_entry_count_; ++i) {
            const QuotaEntry& entry = entries_[i];
            if (entry.team.empty()) continue;
            const auto team = printable(entry.team);
            if (!team_by_name_.contains(entry.team)) {
                report(printable(entry.name), "unknown team '" + team + "': expected one of the platform's");
                continue;
            }
            const auto [listed, is_first] = entry_by_team_.try_emplace(entry.team, i);
            if (!is_first)
                report(printable(entry.name), "team '" + team + "' stands for " +
                                                  printable(entries_[listed->second].name) + " already");
        }
    }

    // Adds a top-level entry, with the platform's amounts, for each platform team that no entry names.
    void append_unlisted_teams() {
        for (auto& team : teams_)
            if (entry_by_team_.try_emplace(team.name, entries_.size()).second)
                entries_.push_back({team.name, "", team.name, {}, {}});
    }

    void add_root() {
        tree_.nodes.push_back({});
        node_by_entry_.assign(entries_.size(), no_node);
        children_guarantees_.emplace_back();
    }

    void add_node(std::size_t index) {
        const auto id = static_cast<NodeId>(tree_.nodes.size());
        Node node = positioned_node(index);
        check_position(node, id);
        for (std::size_t dimension = 0; dimension < std::size(dimensions); ++dimension)
            set_amounts(node, entries_[index], dimension);
        node_by_entry_[index] = id;
        tree_.has_limits |= node.has_limit();
        if (node.has_guarantee()) {
            tree_.deepest_guarantee = std::max(tree_.deepest_guarantee, node.depth);
            tree_.guaranteed.push_back(id);
        }
        tree_.nodes.push_back(std::move(node));
        children_guarantees_.emplace_back();
    }

    // Returns the node of an entry with its position in the tree, but without limits and guarantees.
    Node positioned_node(std::size_t index) const {
        const QuotaEntry& entry = entries_[index];
        const auto parent_entry = hierarchy_.parents[index];
        Node node;
        node.name = entry.name;
        node.team = entry.team;
        if (index < operator_entry_count_) node.entry_index = static_cast<std::uint32_t>(index);
        node.parent = parent_entry ? node_by_entry_[*parent_entry] : root;
        const Node& parent = tree_.nodes[node.parent];
        node.path = parent.path.empty() ? entry.name : parent.path + "/" + entry.name;
        node.depth = parent.depth + 1;
        return node;
    }

    // Checks depth, path and team of a node, and registers its path and team in the tree's maps.
    void check_position(const Node& node, NodeId id) {
        if (node.depth > max_depth)
            report(node.path, fmt::format("{} levels: expected at most {}", node.depth, max_depth));
        if (!tree_.by_path.emplace(node.path, id).second) report(node.path, "a repeated name");
        if (node.team.empty()) return;
        tree_.by_team.emplace(node.team, id);
        for (NodeId ancestor = node.parent; ancestor != root; ancestor = tree_.nodes[ancestor].parent)
            if (const auto& team = tree_.nodes[ancestor].team; !team.empty())
                report(node.path, "a team in team '" + team + "': expected a project there");
    }

    void set_amounts(Node& node, const QuotaEntry& entry, std::size_t dimension) {
        const auto resource = dimensions[dimension];
        const auto bound = bound_fields[dimension];
        NodeAmount amount{entry.limit.*bound, entry.guarantee.*bound};
        check_range(node, dimension, "limit", amount.limit);
        check_range(node, dimension, "guarantee", amount.guarantee);
        apply_platform_amounts(node, dimension, amount);
        if (amount.limit) node.limit.*resource = *amount.limit;
        if (amount.guarantee) node.guarantee.*resource = *amount.guarantee;
        if (amount.guarantee && resource == &Resources::mem_gb)
            node.memory_guaranteed = *amount.guarantee > 0;
        check_against_limit_above(node, dimension, amount.limit);
        const double guarantee = node.guarantee.*resource;
        if (amount.limit && guarantee > *amount.limit + amount_tolerance)
            report(node.path,
                   fmt::format("guarantee.{} {}: more than its own limit {}", dimension_names[dimension],
                               number_text(guarantee), number_text(*amount.limit)));
        children_guarantees_[node.parent].*resource += guarantee;
    }

    void check_range(const Node& node, std::size_t dimension, const char* field,
                     std::optional<double> value) {
        if (value && (!std::isfinite(*value) || *value < 0 || *value > max_amount))
            report(node.path, fmt::format("{}.{}: expected a number from 0 to {:.0f}", field,
                                          dimension_names[dimension], max_amount));
    }

    // Applies the platform's amounts of a team where the operator specifies none. An operator may set a lower
    // limit and a higher guarantee than the platform, but not a higher limit or a lower guarantee.
    void apply_platform_amounts(const Node& node, std::size_t dimension, NodeAmount& amount) {
        if (node.team.empty()) return;
        const auto team = team_by_name_.find(node.team);
        if (team == team_by_name_.end()) return;
        const auto bound = bound_fields[dimension];
        const NodeAmount platform{team->second->limit.*bound, team->second->guarantee.*bound};
        if (amount.limit && platform.limit && *amount.limit > *platform.limit + amount_tolerance)
            report(node.path,
                   fmt::format("limit.{} {}: the platform allows the team {}", dimension_names[dimension],
                               number_text(*amount.limit), number_text(*platform.limit)));
        if (amount.guarantee && platform.guarantee &&
            *amount.guarantee < *platform.guarantee - amount_tolerance)
            report(node.path, fmt::format("guarantee.{} {}: the platform promises the team {}",
                                          dimension_names[dimension], number_text(*amount.guarantee),
                                          number_text(*platform.guarantee)));
        if (!amount.limit) amount.limit = platform.limit;
        if (!amount.guarantee) amount.guarantee = platform.guarantee;
    }

    // Checks against the nearest ancestor with a limit only: that limit was checked against those above it.
    void check_against_limit_above(const Node& node, std::size_t dimension, std::optional<double> own_limit) {
        const auto resource = dimensions[dimension];
        NodeId ancestor = node.parent;
        while (ancestor != root && tree_.nodes[ancestor].limit.*resource >= no_limit)
            ancestor = tree_.nodes[ancestor].parent;
        const Node& limited = tree_.nodes[ancestor];
        const double above = limited.limit.*resource;
        if (above >= no_limit) return;
        if (own_limit && *own_limit > above + amount_tolerance)
            report(node.path, fmt::format("limit.{} {}: {} allows {}", dimension_names[dimension],
                                          number_text(*own_limit), limited.path, number_text(above)));
        const double guarantee = node.guarantee.*resource;
        const bool above_own_limit = own_limit && guarantee > *own_limit + amount_tolerance;
        if (guarantee > above + amount_tolerance && !above_own_limit)
            report(node.path, fmt::format("guarantee.{} {}: {} is limited to {}", dimension_names[dimension],
                                          number_text(guarantee), limited.path, number_text(above)));
    }

    void check_guarantees_of_children() {
        for (NodeId id = 1; id < tree_.nodes.size(); ++id)
            for (std::size_t dimension = 0; dimension < std::size(dimensions); ++dimension) {
                const auto resource = dimensions[dimension];
                const Node& node = tree_.nodes[id];
                const double sum = children_guarantees_[id].*resource;
                if (sum > node.guarantee.*resource + amount_tolerance)
                    report(node.path, fmt::format("guarantee.{}: its children's add up to {}, its own is {}",
                                                  dimension_names[dimension], number_text(sum),
                                                  number_text(node.guarantee.*resource)));
            }
    }

    std::vector<QuotaEntry> entries_;  // the operator's entries, then those added for platform teams
    const std::size_t operator_entry_count_;
    const std::vector<TeamQuota>& teams_;
    std::unordered_map<std::string, const TeamQuota*> team_by_name_;
    std::unordered_map<std::string, std::size_t> entry_by_team_;
    EntryHierarchy hierarchy_;
    std::vector<NodeId> node_by_entry_;
    std::vector<Resources> children_guarantees_;  // sum of the guarantees of a node's children, by node
    TreeParts tree_;
    std::vector<ValidationError>& errors_;
};

}  // namespace

TreeParts build_tree_parts(std::vector<QuotaEntry> entries, const std::vector<TeamQuota>& teams,
                           std::vector<ValidationError>& errors) {
    return TreeBuilder(std::move(entries), teams, errors).build();
}

}  // namespace barrowrun::quota
