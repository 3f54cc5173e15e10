#pragma once
// What every node of a tree has in use, kept by deltas: a start costs the depth of its account, however many
// machines and nodes there are. Charged is every task that may still be on a machine, sent or not.
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

    // How many of `wanted` tasks more no level refuses.
    std::uint32_t admissible_tasks(NodeId account, const Resources& need, std::uint32_t wanted) const;
    bool admits(NodeId account, const Resources& need, std::uint32_t tasks) const {
        return admissible_tasks(account, need, tasks) == tasks;
    }
    // The level nearest to the account that refuses one task more.
    std::optional<NodeId> first_exceeded_limit(NodeId account, const Resources& need) const;
    // How many of `wanted` tasks more fit within the guarantee of some level from the account up to `top` (it
    // itself not), whatever limits say: others may have filled a limit that they share with it.
    std::uint32_t tasks_within_guarantee(NodeId account, const Resources& need, std::uint32_t wanted,
                                         NodeId top = root) const;
    // The same for the level of one depth alone.
    std::uint32_t tasks_within_guarantee_at(std::uint32_t depth, NodeId account, const Resources& need,
                                            std::uint32_t wanted) const;
    // The depth of the deepest level that has some of its guarantee unused; 0: none has.
    std::uint32_t deepest_unmet_guarantee() const;
    // Whether a held task may be stopped for the sake of `to`: at every level that the two don't share its
    // holder keeps its guarantee without it. What is borrowed may yield; what is guaranteed may not.
    bool may_be_preempted(NodeId holder, const Resources& need, NodeId to) const;
    // By how much a node is over its limit, per amount; zeros: it isn't.
    Resources over_limit(NodeId n) const;

  private:
    std::uint32_t tasks_within_guarantee_of(NodeId n, const Resources& need, std::uint32_t wanted) const;
    TreePtr tree_;
    std::vector<Resources> used_;
    std::vector<std::uint64_t> tasks_;
};

}  // namespace barrowrun::quota
