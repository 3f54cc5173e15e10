#include "quota/tree.hpp"

#include "quota/tree_builder.hpp"
#include "quota/validation.hpp"

namespace barrowrun::quota {

std::string format_resources(const Resources& resources) {
    std::string out;
    const auto add = [&](double amount, const char* singular, const char* plural) {
        if (amount == 0) return;
        if (!out.empty()) out += ", ";
        out += number_text(amount) + " " + (amount == 1 ? singular : plural);
    };
    add(resources.cpus, "CPU", "CPUs");
    add(resources.gpus, "GPU", "GPUs");
    add(resources.mem_gb, "GB", "GB");
    return out.empty() ? "nothing" : out;
}

BuildResult Tree::build(std::vector<QuotaEntry> entries, const std::vector<TeamQuota>& teams,
                        std::uint64_t version) {
    BuildResult result;
    auto tree = std::make_shared<Tree>();
    tree->version_ = version;
    tree->entries_ = entries;
    auto parts = build_tree_parts(std::move(entries), teams, result.errors);
    if (!result.errors.empty()) return result;
    tree->nodes_ = std::move(parts.nodes);
    tree->by_path_ = std::move(parts.by_path);
    tree->by_team_ = std::move(parts.by_team);
    tree->guaranteed_nodes_ = std::move(parts.guaranteed);
    tree->has_limits_ = parts.has_limits;
    tree->deepest_guarantee_ = parts.deepest_guarantee;
    result.tree = std::move(tree);
    return result;
}

std::optional<NodeId> Tree::find_by_path(const std::string& path) const {
    const auto found = by_path_.find(path);
    if (found == by_path_.end()) return std::nullopt;
    return found->second;
}

std::optional<NodeId> Tree::find_project(const std::string& team, const std::string& project) const {
    const auto found = by_team_.find(team);
    if (found == by_team_.end()) return std::nullopt;
    if (project.empty()) return found->second;
    return find_by_path(nodes_[found->second].path + "/" + project);
}

std::optional<NodeId> Tree::account_for(const std::string& team, const std::string& project) const {
    std::string path = project;
    for (;;) {
        if (const auto node = find_project(team, path)) return node;
        if (path.empty()) return std::nullopt;
        const auto slash = path.rfind('/');
        path.resize(slash == std::string::npos ? 0 : slash);
    }
}

NodeId Tree::lowest_common_ancestor(NodeId a, NodeId b) const {
    while (nodes_[a].depth > nodes_[b].depth) a = nodes_[a].parent;
    while (nodes_[b].depth > nodes_[a].depth) b = nodes_[b].parent;
    while (a != b) {
        a = nodes_[a].parent;
        b = nodes_[b].parent;
    }
    return a;
}

}  // namespace barrowrun::quota
