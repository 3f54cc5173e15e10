#include "quota/ledger.hpp"

#include <algorithm>
#include <cmath>

namespace barrowrun::quota {
namespace {
constexpr double eps = 1e-6;

// How many tasks fit a room; amounts that a task doesn't need don't matter.
std::uint32_t fits(const Resources& need, const Resources& used, const Resources& bound,
                   std::uint32_t wanted) {
    double n = wanted;
    for (auto dim : dimensions)
        if (need.*dim > 0 && bound.*dim < no_limit)
            n = std::min(n, std::floor((bound.*dim - used.*dim + eps) / (need.*dim)));
    return n <= 0 ? 0 : static_cast<std::uint32_t>(n);
}
}  // namespace

void Ledger::charge(NodeId account, const Resources& need) {
    for (NodeId n = account;; n = tree_->node(n).parent) {
        used_[n] += need;
        ++tasks_[n];
        if (n == root) return;
    }
}

void Ledger::release(NodeId account, const Resources& need) {
    for (NodeId n = account;; n = tree_->node(n).parent) {
        used_[n] -= need;
        // Sums of decimals drift; an account that holds nothing uses nothing.
        if (--tasks_[n] == 0) used_[n] = {};
        if (n == root) return;
    }
}

std::uint32_t Ledger::admissible_tasks(NodeId account, const Resources& need, std::uint32_t wanted) const {
    if (!tree_->has_limits()) return wanted;
    for (NodeId n = account; n != root && wanted > 0; n = tree_->node(n).parent)
        wanted = fits(need, used_[n], tree_->node(n).limit, wanted);
    return wanted;
}

std::optional<NodeId> Ledger::first_exceeded_limit(NodeId account, const Resources& need) const {
    for (NodeId n = account; n != root; n = tree_->node(n).parent)
        if (fits(need, used_[n], tree_->node(n).limit, 1) == 0) return n;
    return std::nullopt;
}

std::uint32_t Ledger::tasks_within_guarantee(NodeId account, const Resources& need, std::uint32_t wanted,
                                             NodeId top) const {
    std::uint32_t most = 0;
    if (!tree_->has_guarantees()) return 0;
    for (NodeId n = account; n != root && n != top; n = tree_->node(n).parent)
        most = std::max(most, tasks_within_guarantee_of(n, need, wanted));
    return most;
}

std::uint32_t Ledger::tasks_within_guarantee_at(std::uint32_t depth, NodeId account, const Resources& need,
                                                std::uint32_t wanted) const {
    NodeId n = account;
    while (tree_->node(n).depth > depth) n = tree_->node(n).parent;
    return tree_->node(n).depth == depth ? tasks_within_guarantee_of(n, need, wanted) : 0;
}

std::uint32_t Ledger::deepest_unmet_guarantee() const {
    std::uint32_t deepest = 0;
    for (NodeId n : tree_->guaranteed_nodes()) {
        const Node& node = tree_->node(n);
        if (node.depth > deepest &&
            (used_[n].cpus < node.guarantee.cpus - eps || used_[n].gpus < node.guarantee.gpus - eps))
            deepest = node.depth;
    }
    return deepest;
}

std::uint32_t Ledger::tasks_within_guarantee_of(NodeId n, const Resources& need, std::uint32_t wanted) const {
    const Node& node = tree_->node(n);
    if (!node.has_guarantee()) return 0;
    Resources bound = node.guarantee;
    if (!node.memory_guaranteed) bound.mem_gb = no_limit;
    return fits(need, used_[n], bound, wanted);
}

bool Ledger::may_be_preempted(NodeId holder, const Resources& need, NodeId to) const {
    const NodeId shared = tree_->lowest_common_ancestor(holder, to);
    for (NodeId n = holder; n != shared; n = tree_->node(n).parent) {
        const Node& node = tree_->node(n);
        if (!node.has_guarantee()) continue;
        bool borrows = false;
        for (auto dim : dimensions) {
            if (dim == &Resources::mem_gb && !node.memory_guaranteed) continue;
            borrows |= need.*dim > 0 && used_[n].*dim - need.*dim >= node.guarantee.*dim - eps;
        }
        if (!borrows) return false;
    }
    return true;
}

Resources Ledger::over_limit(NodeId n) const {
    Resources out;
    for (auto dim : dimensions) {
        const double by = used_[n].*dim - tree_->node(n).limit.*dim;
        if (by > eps) out.*dim = by;
    }
    return out;
}

}  // namespace barrowrun::quota
