// Who is preempted for a guarantee or a lowered limit.
#include <gtest/gtest.h>

#include "quota/reclaim.hpp"
#include "quota_builders.hpp"

using namespace barrowrun;
using namespace barrowrun::quota;

TEST(QuotaReclaim, NearestRelativesFirstNoMoreThanNeededAndNeverBelowAGuarantee) {
    auto t = build_tree(R"({"name":"o","guarantee":{"cpus":12}},
        {"name":"x","in":"o","guarantee":{"cpus":4}},{"name":"y","in":"o","guarantee":{"cpus":4}},
        {"name":"z","guarantee":{"cpus":2}})",
                        {});
    auto at = [&](const char* path) { return *t->find_by_path(path); };
    Ledger ledger(t);
    std::vector<PreemptionCandidate> units;
    auto hold = [&](const char* who, std::uint32_t host, double cpus, double loss) {
        ledger.charge(at(who), {cpus, 0, 0});
        units.push_back({{{host, {cpus, 0, 0}}}, at(who), loss, false});
    };
    hold("z", 0, 4, 1);     // borrows, cheap, a stranger
    hold("o/y", 0, 4, 50);  // a sibling, within its guarantee
    hold("o/y", 1, 2, 60);  // and beyond it
    std::vector<Resources> rooms(2);
    auto y = plan_guarantee_reclaim(ledger, rooms, units, {at("o/x"), {2, 0, 0}, 1});
    ASSERT_EQ(y.task_hosts.size(), 1u);
    EXPECT_EQ(y.victims, std::vector<std::size_t>{2})
        << "the sibling's borrowed task, not the stranger's cheaper one";
    // Two more: the sibling has nothing left to give; the stranger would go below its guarantee with all of
    // it gone.
    y = plan_guarantee_reclaim(ledger, rooms, units, {at("o/x"), {2, 0, 0}, 2});
    EXPECT_EQ(y.task_hosts.size(), 1u);
    // A gang goes whole, and what it leaves elsewhere counts.
    units = {{{{0, {2, 0, 0}}, {1, {2, 0, 0}}}, at("z"), 5, false}};
    ledger = Ledger(t);
    for (int i = 0; i < 2; ++i) ledger.charge(at("z"), {2, 0, 0});
    for (int i = 0; i < 2; ++i) ledger.charge(at("z"), {1, 0, 0});
    y = plan_guarantee_reclaim(ledger, rooms, units, {at("o/x"), {2, 0, 0}, 2});
    EXPECT_EQ(y.victims.size(), 1u);
    EXPECT_EQ(y.task_hosts.size(), 2u);
    // Beyond its own guarantee nobody is entitled to anything.
    for (int i = 0; i < 4; ++i) ledger.charge(at("o/x"), {1, 0, 0});
    for (int i = 0; i < 8; ++i) ledger.charge(at("o/y"), {1, 0, 0});
    EXPECT_TRUE(plan_guarantee_reclaim(ledger, rooms, units, {at("o/x"), {2, 0, 0}, 1}).victims.empty());
}

TEST(QuotaReclaim, ALoweredLimitPreemptsCheckpointingTasksFirstThenTheLeastLoss) {
    auto t = build_tree(R"({"name":"a","limit":{"cpus":4}})", {});
    const auto a = *t->find_by_path("a");
    Ledger ledger(t);
    std::vector<PreemptionCandidate> units;
    for (auto [loss, checkpoints] :
         {std::pair(1.0, false), std::pair(9.0, true), std::pair(2.0, false), std::pair(3.0, true)}) {
        units.push_back({{{0, {2, 0, 0}}}, a, loss, checkpoints});
        ledger.charge(a, {2, 0, 0});
    }
    EXPECT_EQ(plan_limit_reclaim(ledger, a, {}, units, true), (std::vector<std::size_t>{3, 1}));
    EXPECT_EQ(plan_limit_reclaim(ledger, a, {2, 0, 0}, units, true), (std::vector<std::size_t>{3}))
        << "one stops already";
    units[1].checkpoints = units[3].checkpoints = false;
    EXPECT_TRUE(plan_limit_reclaim(ledger, a, {}, units, true).empty())
        << "those that don't save are let run for a while";
    EXPECT_EQ(plan_limit_reclaim(ledger, a, {}, units, false), (std::vector<std::size_t>{0, 2}));
}
