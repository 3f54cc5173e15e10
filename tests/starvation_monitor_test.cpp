#include "placement/starvation_monitor.hpp"

#include <gtest/gtest.h>

#include "support.hpp"

using namespace barrowrun;
using placement::StarvationMonitor;
using namespace std::chrono_literals;

namespace {

const TimePoint start = TimePoint{} + 1000s;

std::vector<StarvationMonitor::Finding> look(StarvationMonitor& s, TimePoint now, int served, int late,
                                             const std::string& name = "slips") {
    s.begin_pass(now);
    for (int i = 0; i < served; ++i) s.observe(name, "desk", true);
    for (int i = 0; i < late; ++i) s.observe(name, "desk", false);
    return s.end_pass(now);
}

}  // namespace

TEST(StarvationMonitor, SaysSoBeforeHalfIsMissed) {
    StarvationMonitor s;
    EXPECT_TRUE(look(s, start, 10, 3).empty());
    auto lines = look(s, start + 5s, 10, 6);
    ASSERT_EQ(lines.size(), 2u);
    EXPECT_EQ(lines[0].group, "class slips");
    EXPECT_EQ(lines[1].group, "team desk");
    EXPECT_EQ(lines[0].state, StarvationMonitor::State::at_risk);
    EXPECT_TRUE(look(s, start + 10s, 10, 6).empty()) << "said a moment ago";
    EXPECT_EQ(look(s, start + 40s, 10, 6).size(), 2u) << "still so";
    lines = look(s, start + 45s, 4, 6);
    ASSERT_EQ(lines.size(), 2u);
    EXPECT_EQ(lines[0].state, StarvationMonitor::State::starved);
    EXPECT_EQ(look(s, start + 50s, 10, 5)[0].state, StarvationMonitor::State::at_risk)
        << "0.67 is not yet out of it";
    EXPECT_EQ(look(s, start + 55s, 10, 1)[0].state, StarvationMonitor::State::healthy);
}

TEST(StarvationMonitor, WhatIsOverCountsAndFades) {
    StarvationMonitor s;
    s.begin_pass(start);
    s.end_pass(start);
    for (int i = 0; i < 8; ++i) s.job_over("slips", "desk", false);
    s.begin_pass(start);
    EXPECT_EQ(s.end_pass(start)[0].state, StarvationMonitor::State::starved);
    // Ten half-lives later a few good ones outweigh it.
    look(s, start + 50min, 4, 0);
    EXPECT_GT(s.share("class slips"), 0.99);
    look(s, start + 5h, 0, 0);
    EXPECT_EQ(s.share("class slips"), 1.0) << "forgotten";
}

TEST(StarvationMonitor, MadeUpNamesDoNotCrowdOutWhatMatters) {
    StarvationMonitor::Thresholds thresholds;
    thresholds.most_groups = 8;
    StarvationMonitor s(thresholds);
    look(s, start, 2, 8);
    for (int i = 0; i < 100; ++i) s.job_over("made-up-" + std::to_string(i), "t" + std::to_string(i), true);
    EXPECT_LT(s.share("class slips"), 0.5);
    look(s, start + 40s, 2, 8);
    EXPECT_LT(s.share("class slips"), 0.5);
}

// A burst of the upper level takes all room: the lower class is late, and is said to be.
TEST(StarvationMonitor, ALevelThatFindsNoRoomIsSeen) {
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
    f.place_all();
    EXPECT_TRUE(f.cluster->check_starvation(f.now).empty()) << "nobody is late yet";
    f.now += 5min;
    auto lines = f.cluster->check_starvation(f.now);
    ASSERT_FALSE(lines.empty());
    EXPECT_EQ(lines[0].group, "class slips");
    EXPECT_EQ(lines[0].state, StarvationMonitor::State::starved);
    EXPECT_EQ(lines[0].waiting, 6);
    // A user's own withdrawal in vain counts as missed.
    f.cluster->cancel(*f.cluster->find_job("wk-100"), f.now);
    f.write();
    f.write();
    EXPECT_EQ(f.cluster->find_job("wk-100"), nullptr);
    f.cluster->check_starvation(f.now);
    EXPECT_EQ(f.cluster->starvation().share("class slips"), 0.0);
}
