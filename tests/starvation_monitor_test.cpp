#include "placement/starvation_monitor.hpp"

#include <gtest/gtest.h>

#include "support.hpp"

using namespace barrowrun;
using placement::StarvationMonitor;
using namespace std::chrono_literals;

namespace {

const TimePoint start = TimePoint{} + 1000s;

std::vector<StarvationMonitor::Finding> run_pass(StarvationMonitor& monitor, TimePoint now, int served,
                                                 int overdue, const std::string& name = "slips") {
    monitor.begin_pass(now);
    for (int i = 0; i < served; ++i) monitor.observe(name, "desk", true);
    for (int i = 0; i < overdue; ++i) monitor.observe(name, "desk", false);
    return monitor.end_pass(now);
}

}  // namespace

TEST(StarvationMonitor, GroupIsReportedAtRiskBeforeItIsStarvedAndHealthyOnlyWellAboveTheThreshold) {
    StarvationMonitor monitor;
    EXPECT_TRUE(run_pass(monitor, start, 10, 3).empty());
    auto findings = run_pass(monitor, start + 5s, 10, 6);
    ASSERT_EQ(findings.size(), 2u);
    EXPECT_EQ(findings[0].group, "class slips");
    EXPECT_EQ(findings[1].group, "team desk");
    EXPECT_EQ(findings[0].state, StarvationMonitor::State::at_risk);
    EXPECT_TRUE(run_pass(monitor, start + 10s, 10, 6).empty())
        << "a state is not reported again within the repeat interval";
    EXPECT_EQ(run_pass(monitor, start + 40s, 10, 6).size(), 2u)
        << "an unhealthy state is reported again after the repeat interval";
    findings = run_pass(monitor, start + 45s, 4, 6);
    ASSERT_EQ(findings.size(), 2u);
    EXPECT_EQ(findings[0].state, StarvationMonitor::State::starved);
    EXPECT_EQ(run_pass(monitor, start + 50s, 10, 5)[0].state, StarvationMonitor::State::at_risk)
        << "a share of 0.67 is not high enough to be healthy again";
    EXPECT_EQ(run_pass(monitor, start + 55s, 10, 1)[0].state, StarvationMonitor::State::healthy);
}

TEST(StarvationMonitor, FinishedJobsCountAndAreForgottenAfterManyHalfLives) {
    StarvationMonitor monitor;
    monitor.begin_pass(start);
    monitor.end_pass(start);
    for (int i = 0; i < 8; ++i) monitor.record_finished_job("slips", "desk", false);
    monitor.begin_pass(start);
    EXPECT_EQ(monitor.end_pass(start)[0].state, StarvationMonitor::State::starved);
    // Ten half-lives later, four served jobs outweigh the eight missed ones.
    run_pass(monitor, start + 50min, 4, 0);
    EXPECT_GT(monitor.share("class slips"), 0.99);
    run_pass(monitor, start + 5h, 0, 0);
    EXPECT_EQ(monitor.share("class slips"), 1.0) << "after many half-lives the group is forgotten";
}

TEST(StarvationMonitor, ManySmallGroupsDoNotEvictAStarvedGroup) {
    StarvationMonitor::Thresholds thresholds;
    thresholds.max_groups = 8;
    StarvationMonitor monitor(thresholds);
    run_pass(monitor, start, 2, 8);
    for (int i = 0; i < 100; ++i)
        monitor.record_finished_job("made-up-" + std::to_string(i), "t" + std::to_string(i), true);
    EXPECT_LT(monitor.share("class slips"), 0.5);
    run_pass(monitor, start + 40s, 2, 8);
    EXPECT_LT(monitor.share("class slips"), 0.5);
}

// A burst of higher priority takes all machines: the jobs of the class of lower priority become overdue.
TEST(StarvationMonitor, LowPriorityClassBlockedByAHighPriorityBurstIsReportedStarved) {
    barrowrun::testing::Fleet f;
    f.up("n-1");
    f.up("n-2");
    auto burst = f.spec("wk-1", 400);
    burst.priority = wire::Priority::high;
    burst.job_class = "burst";
    f.add(burst);
    for (int i = 0; i < 6; ++i) {
        auto low = f.spec("wk-" + std::to_string(100 + i), 2);
        low.priority = wire::Priority::low;
        low.job_class = "slips";
        f.add(low);
    }
    f.schedule_and_write();
    EXPECT_TRUE(f.cluster->check_starvation(f.now).empty()) << "no job is overdue yet";
    f.now += 5min;
    auto findings = f.cluster->check_starvation(f.now);
    ASSERT_FALSE(findings.empty());
    EXPECT_EQ(findings[0].group, "class slips");
    EXPECT_EQ(findings[0].state, StarvationMonitor::State::starved);
    EXPECT_EQ(findings[0].overdue_jobs, 6);
    // An overdue job that its user cancels before it starts counts as missed.
    f.cluster->cancel(*f.cluster->find_job("wk-100"), f.now);
    f.write();
    f.write();
    EXPECT_EQ(f.cluster->find_job("wk-100"), nullptr);
    f.cluster->check_starvation(f.now);
    EXPECT_EQ(f.cluster->starvation().share("class slips"), 0.0);
}
