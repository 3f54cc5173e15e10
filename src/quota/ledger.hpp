#pragma once
// Resource usage of every node of a quota tree, updated incrementally: the cost of a task's start depends
// only on the depth of its account, not on the number of machines and nodes. Every task that may still be on
// a machine is charged, whether or not its launch command has been sent.
#include "quota/tree.hpp"

namespace barrowrun::quota {

class Ledger {
  public:
    explicit Ledger(TreePtr tree) : tree_(std::move(tree)), used_(tree_->size()), tasks_(tree_->size()) {}
    const Tree& tree() const { return *tree_; }
    TreePtr tree_ptr() const { return tree_; }
    const Resources& used(NodeId n) const { return used_[n]; }
    std::uint64_t tasks(NodeId n) const { return tasks_[n]; }

    void charge(NodeId account, const Resources& need);
    void release(NodeId account, const Resources& need);

    // Returns how many of `wanted` additional tasks fit within the limits of the account and its ancestors.
    std::uint32_t admissible_tasks(NodeId account, const Resources& need, std::uint32_t wanted) const;
    bool admits(NodeId account, const Resources& need, std::uint32_t tasks) const {
        return admissible_tasks(account, need, tasks) == tasks;
    }
    // Returns the node nearest to the account whose limit does not admit one more task.
    std::optional<NodeId> first_exceeded_limit(NodeId account, const Resources& need) const;
    // Returns how many of `wanted` additional tasks fit within the guarantee of at least one node from the
    // account up to `top` (exclusive). Limits are ignored: other accounts may have exhausted a limit that
    // they share with this one.
    std::uint32_t tasks_within_guarantee(NodeId account, const Resources& need, std::uint32_t wanted,
                                         NodeId top = root) const;
    // The same, but only for the node at `depth` on the path from the account to the root.
    std::uint32_t tasks_within_guarantee_at(std::uint32_t depth, NodeId account, const Resources& need,
                                            std::uint32_t wanted) const;
    // Returns the depth of the deepest node that uses fewer CPUs or GPUs than guaranteed; 0 if there is
    // none.
    std::uint32_t deepest_unmet_guarantee() const;
    // Returns whether a task of `holder` may be preempted in favour of `beneficiary`: each node with a
    // guarantee from the holder up to their common ancestor (exclusive) must still reach its guarantee
    // without the task, in at least one resource that the task uses. Borrowed capacity may be reclaimed,
    // guaranteed capacity not.
    bool may_be_preempted(NodeId holder, const Resources& need, NodeId beneficiary) const;
    // Returns by how much a node exceeds its limit, per resource; zero for resources within the limit.
    Resources over_limit(NodeId n) const;

  private:
    std::uint32_t tasks_within_guarantee_of(NodeId n, const Resources& need, std::uint32_t wanted) const;
    TreePtr tree_;
    std::vector<Resources> used_;
    std::vector<std::uint64_t> tasks_;
};

}  // namespace barrowrun::quota
