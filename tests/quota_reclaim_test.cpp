// Tests of the selection of victims for a guarantee and for a lowered limit.
#include <gtest/gtest.h>

#include "quota/reclaim.hpp"
#include "quota_builders.hpp"

using namespace barrowrun;
using namespace barrowrun::quota;

TEST(QuotaReclaim, GuaranteeReclaimPreemptsTheNearestBorrowersFirstAndNeverBelowTheirGuarantees) {
    auto tree = build_tree(R"({"name":"o","guarantee":{"cpus":12}},
        {"name":"x","in":"o","guarantee":{"cpus":4}},{"name":"y","in":"o","guarantee":{"cpus":4}},
        {"name":"z","guarantee":{"cpus":2}})",
                           {});
    auto node = [&](const char* path) { return *tree->find_by_path(path); };
    Ledger ledger(tree);
    std::vector<PreemptionCandidate> candidates;
    auto hold = [&](const char* path, std::uint32_t host, double cpus, double loss) {
        ledger.charge(node(path), {cpus, 0, 0});
        candidates.push_back({{{host, {cpus, 0, 0}}}, node(path), loss, false});
    };
    hold("z", 0, 4, 1);     // distant node, borrows, low loss
    hold("o/y", 0, 4, 50);  // sibling, within its guarantee
    hold("o/y", 1, 2, 60);  // sibling, beyond its guarantee
    std::vector<Resources> free_capacity(2);
    auto plan = plan_guarantee_reclaim(ledger, free_capacity, candidates, {node("o/x"), {2, 0, 0}, 1});
    ASSERT_EQ(plan.task_hosts.size(), 1u);
    EXPECT_EQ(plan.victims, std::vector<std::size_t>{2})
        << "the sibling's borrowed task, not the distant node's task with less loss";
    // Two tasks: the sibling has no more borrowed tasks, and without its only task the distant node would be
    // below its guarantee.
    plan = plan_guarantee_reclaim(ledger, free_capacity, candidates, {node("o/x"), {2, 0, 0}, 2});
    EXPECT_EQ(plan.task_hosts.size(), 1u);
    // A gang is preempted as a whole, and the capacity that it frees on other hosts is used too.
    candidates = {{{{0, {2, 0, 0}}, {1, {2, 0, 0}}}, node("z"), 5, false}};
    ledger = Ledger(tree);
    for (int i = 0; i < 2; ++i) ledger.charge(node("z"), {2, 0, 0});
    for (int i = 0; i < 2; ++i) ledger.charge(node("z"), {1, 0, 0});
    plan = plan_guarantee_reclaim(ledger, free_capacity, candidates, {node("o/x"), {2, 0, 0}, 2});
    EXPECT_EQ(plan.victims.size(), 1u);
    EXPECT_EQ(plan.task_hosts.size(), 2u);
    // A node that has reached its guarantee is not entitled to further preemption.
    for (int i = 0; i < 4; ++i) ledger.charge(node("o/x"), {1, 0, 0});
    for (int i = 0; i < 8; ++i) ledger.charge(node("o/y"), {1, 0, 0});
    EXPECT_TRUE(plan_guarantee_reclaim(ledger, free_capacity, candidates, {node("o/x"), {2, 0, 0}, 1})
                    .victims.empty());
}

TEST(QuotaReclaim, LimitReclaimPreemptsCheckpointingTasksFirstThenThoseWithTheLeastLoss) {
    auto tree = build_tree(R"({"name":"a","limit":{"cpus":4}})", {});
    const auto node_a = *tree->find_by_path("a");
    Ledger ledger(tree);
    std::vector<PreemptionCandidate> candidates;
    for (auto [loss, checkpoints] :
         {std::pair(1.0, false), std::pair(9.0, true), std::pair(2.0, false), std::pair(3.0, true)}) {
        candidates.push_back({{{0, {2, 0, 0}}}, node_a, loss, checkpoints});
        ledger.charge(node_a, {2, 0, 0});
    }
    EXPECT_EQ(plan_limit_reclaim(ledger, node_a, {}, candidates, true), (std::vector<std::size_t>{3, 1}));
    EXPECT_EQ(plan_limit_reclaim(ledger, node_a, {2, 0, 0}, candidates, true), (std::vector<std::size_t>{3}))
        << "another task is already being stopped";
    candidates[1].checkpoints = candidates[3].checkpoints = false;
    EXPECT_TRUE(plan_limit_reclaim(ledger, node_a, {}, candidates, true).empty())
        << "tasks that do not checkpoint are not preempted during the grace period";
    EXPECT_EQ(plan_limit_reclaim(ledger, node_a, {}, candidates, false), (std::vector<std::size_t>{0, 2}));
}
