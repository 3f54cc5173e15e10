#include "quota/ledger.hpp"

#include <algorithm>
#include <cmath>

#include "quota/tolerance.hpp"

namespace barrowrun::quota {
namespace {

// Returns how many tasks fit between `used` and `bound`, at most `wanted`. Resources that a task does not
// need are ignored.
std::uint32_t tasks_that_fit(const Resources& need, const Resources& used, const Resources& bound,
                             std::uint32_t wanted) {
    double tasks = wanted;
    for (auto dimension : dimensions) {
        const bool is_bounded = need.*dimension > 0 && bound.*dimension < no_limit;
        if (!is_bounded) continue;
        const double free = bound.*dimension - used.*dimension + amount_tolerance;
        tasks = std::min(tasks, std::floor(free / (need.*dimension)));
    }
    return tasks <= 0 ? 0 : static_cast<std::uint32_t>(tasks);
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
        // Sums of decimal amounts drift, so the usage of a node without tasks is reset to zero.
        if (--tasks_[n] == 0) used_[n] = {};
        if (n == root) return;
    }
}

std::uint32_t Ledger::admissible_tasks(NodeId account, const Resources& need, std::uint32_t wanted) const {
    if (!tree_->has_limits()) return wanted;
    for (NodeId n = account; n != root && wanted > 0; n = tree_->node(n).parent)
        wanted = tasks_that_fit(need, used_[n], tree_->node(n).limit, wanted);
    return wanted;
}

std::optional<NodeId> Ledger::first_exceeded_limit(NodeId account, const Resources& need) const {
    for (NodeId n = account; n != root; n = tree_->node(n).parent)
        if (tasks_that_fit(need, used_[n], tree_->node(n).limit, 1) == 0) return n;
    return std::nullopt;
}

std::uint32_t Ledger::tasks_within_guarantee(NodeId account, const Resources& need, std::uint32_t wanted,
                                             NodeId top) const {
    if (!tree_->has_guarantees()) return 0;
    std::uint32_t max_tasks = 0;
    for (NodeId n = account; n != root && n != top; n = tree_->node(n).parent)
        max_tasks = std::max(max_tasks, tasks_within_guarantee_of(n, need, wanted));
    return max_tasks;
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
        const bool unmet = used_[n].cpus < node.guarantee.cpus - amount_tolerance ||
                           used_[n].gpus < node.guarantee.gpus - amount_tolerance;
        if (unmet) deepest = std::max(deepest, node.depth);
    }
    return deepest;
}

std::uint32_t Ledger::tasks_within_guarantee_of(NodeId n, const Resources& need, std::uint32_t wanted) const {
    const Node& node = tree_->node(n);
    if (!node.has_guarantee()) return 0;
    Resources bound = node.guarantee;
    if (!node.memory_guaranteed) bound.mem_gb = no_limit;
    return tasks_that_fit(need, used_[n], bound, wanted);
}

bool Ledger::may_be_preempted(NodeId holder, const Resources& need, NodeId beneficiary) const {
    const NodeId common_ancestor = tree_->lowest_common_ancestor(holder, beneficiary);
    for (NodeId n = holder; n != common_ancestor; n = tree_->node(n).parent) {
        const Node& node = tree_->node(n);
        if (!node.has_guarantee()) continue;
        // Borrowing one of the resources is enough, because a task is stopped as a whole.
        bool borrows = false;
        for (auto dimension : dimensions) {
            if (dimension == &Resources::mem_gb && !node.memory_guaranteed) continue;
            const double used_without_task = used_[n].*dimension - need.*dimension;
            borrows |=
                need.*dimension > 0 && used_without_task >= node.guarantee.*dimension - amount_tolerance;
        }
        if (!borrows) return false;
    }
    return true;
}

Resources Ledger::over_limit(NodeId n) const {
    Resources excess_amounts;
    for (auto dimension : dimensions) {
        const double excess = used_[n].*dimension - tree_->node(n).limit.*dimension;
        if (excess > amount_tolerance) excess_amounts.*dimension = excess;
    }
    return excess_amounts;
}

}  // namespace barrowrun::quota
