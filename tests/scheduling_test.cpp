// Which waiting task is started where: order, constraints, gangs, and what a round may cost.
#include "support.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;
using wire::JobKind;
using wire::Priority;

TEST(Placement, OldestOfTheHighestLevelFirstAndMisfitsArePassed) {
    Fleet f;
    auto low = f.spec("wk-1", 4);
    low.priority = Priority::low;
    auto big = f.spec("wk-2", 1, 5);  // fits no small machine
    auto later = f.spec("wk-3", 3);
    for (auto* s : {&low, &big, &later}) f.add(*s);
    f.up("n-1");
    f.place_all();
    EXPECT_EQ(f.cluster->find_job("wk-3")->placements.size(), 3u);
    EXPECT_EQ(f.cluster->find_job("wk-1")->placements.size(), 1u);
    EXPECT_EQ(f.cluster->find_job("wk-2")->waiting.size(), 1u);
    EXPECT_EQ(f.cluster->queue().level(2).begin()->id, "wk-2");  // keeps its place
}

TEST(Placement, NothingIsSentBeforeItIsOnRecord) {
    Fleet f;
    f.up("n-1");
    f.add(f.spec("wk-1"));
    f.cluster->schedule_round(f.now);
    EXPECT_TRUE(f.cluster->push_commands(f.machine("n-1"), f.now).empty());
    auto writes = f.cluster->take_writes(16, 48 * 1024, f.now, f.wall);
    ASSERT_EQ(writes.size(), 1u);
    EXPECT_EQ(Fleet::recorded(writes).at("n-1").size(), 1u);
    // A transaction that failed changes nothing and is written anew.
    f.cluster->write_failed(std::move(writes));
    EXPECT_TRUE(f.cluster->push_commands(f.machine("n-1"), f.now).empty());
    f.write();
    EXPECT_EQ(f.cluster->push_commands(f.machine("n-1"), f.now).size(), 1u);
}

TEST(Placement, ATaskThatMayStillRunIsNotStartedElsewhere) {
    Fleet f;
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1"));
    f.place_all();
    f.run("n-1");
    f.machine("n-1").last_answer = f.now;
    f.now += 10s;  // silent from here on
    f.up("n-2");
    f.place_all();
    EXPECT_TRUE(f.on("n-2").empty());
    auto& m = f.machine("n-1");
    EXPECT_GT(m.lease_expiry(20, f.cluster->acquired()), f.now + 10s) << "lease, drift and timer steps";
    f.cluster->expire_lease(m, f.now);
    f.place_all();
    EXPECT_EQ(f.on("n-2").size(), 1u);
    EXPECT_EQ(job.placements.size(), 1u);
}

TEST(Placement, AReturnedMachineIsProvenEmpty) {
    Fleet f;
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1", 2));
    f.place_all();
    f.run("n-1");
    f.cluster->machine_gone("n-1", "returned", f.now);
    EXPECT_EQ(job.waiting.size(), 2u);
    auto writes = f.write();
    ASSERT_EQ(writes.size(), 1u);
    EXPECT_FALSE(Fleet::recorded(writes).contains("n-1"));
}

TEST(Constraints, SpreadCountsTasksThatMayStillRun) {
    Fleet f;
    auto s = f.spec("wk-1", 3);
    s.spread = true;
    s.kind = JobKind::service;
    auto& job = f.add(s);
    f.up("n-1", "a");
    f.place_all();
    EXPECT_EQ(job.placements.size(), 2u);  // two of three may share a zone
    f.up("n-2", "b");
    f.place_all();
    EXPECT_EQ(job.placements.size(), 3u);
    EXPECT_EQ(f.on("n-2").size(), 1u);
}

TEST(Constraints, SamePlaceCountsTasksThatMayStillRun) {
    Fleet f;
    auto s = f.spec("wk-1", 6);
    s.one_zone = true;
    auto& job = f.add(s);
    f.up("n-1", "a");
    f.up("n-2", "b");
    f.place_all();
    EXPECT_EQ(job.placements.size(), 4u);
    EXPECT_TRUE(f.on("n-1").empty() || f.on("n-2").empty());
}

TEST(Constraints, TheTeamLimitCountsTasksThatMayStillRun) {
    placement::Config rules;
    rules.teams["crew"] = {0, 0, 3, 0};
    Fleet f(rules);
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1", 8));
    f.place_all();
    EXPECT_EQ(job.placements.size(), 3u);
    f.machine("n-1").suspected = true;  // silent, but what it ran may go on
    f.up("n-2");
    f.place_all();
    EXPECT_TRUE(f.on("n-2").empty());
}

TEST(Constraints, OnlyJobsThatMayUseSpotMachinesDo) {
    Fleet f;
    f.up("n-1", "a", "small", true);
    auto& job = f.add(f.spec("wk-1"));
    f.place_all();
    EXPECT_TRUE(job.placements.empty());
    auto s = f.spec("wk-2");
    s.spot_ok = true;
    f.add(s);
    f.place_all();
    EXPECT_EQ(f.on("n-1").size(), 1u);
}

TEST(Gang, AllOrNoneAndAgainOnlyWhenAllAreGone) {
    Fleet f;
    auto s = f.spec("wk-1", 3, 2);
    s.kind = JobKind::gang;
    auto& job = f.add(s);
    f.up("n-1");
    f.place_all();
    EXPECT_TRUE(job.placements.empty());
    f.up("n-2");
    f.place_all();
    ASSERT_EQ(job.placements.size(), 3u);
    std::set<std::uint64_t> numbers;
    for (auto name : {"n-1", "n-2"})
        for (auto& a : f.on(name)) numbers.insert(a.number);
    EXPECT_EQ(numbers.size(), 1u) << "the tasks of a gang find one another by their attempt";
    f.run("n-1");
    f.run("n-2");
    // One machine is lost: the rest is stopped, and nothing starts before it is gone.
    std::string lost = f.on("n-1").size() == 1 ? "n-1" : "n-2", rest = lost == "n-1" ? "n-2" : "n-1";
    f.cluster->machine_gone(lost, "returned", f.now);
    f.up("n-3");
    f.place_all();
    EXPECT_TRUE(f.on("n-3").empty());
    auto kills = f.cluster->push_commands(f.machine(rest), f.now);
    EXPECT_EQ(kills.size(), 2u);
    f.cluster->on_heartbeat(f.heartbeat(rest), true, f.now);
    f.place_all();
    EXPECT_EQ(job.placements.size(), 3u);
}

TEST(Queue, AHundredThousandTasksCostNoWalkPerRound) {
    Fleet f;
    for (int i = 0; i < 2; ++i) f.add(f.spec("wk-" + std::to_string(i), 100'000, 4));
    f.up("n-1");
    auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 200; ++i) f.cluster->schedule_round(f.now);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 2s);
    EXPECT_EQ(f.cluster->queue().waiting(), 199'999u);
}
