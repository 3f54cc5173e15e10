// Scheduling of waiting tasks: order, placement constraints, gangs, and the cost of a scheduling round.
#include "support.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;
using wire::JobKind;
using wire::Priority;

TEST(Scheduler, OldestJobOfHighestPriorityStartsFirstAndJobThatDoesNotFitIsSkipped) {
    Fleet f;
    auto low = f.spec("wk-1", 4);
    low.priority = Priority::low;
    auto too_large = f.spec("wk-2", 1, 5);  // does not fit on a small machine
    auto later = f.spec("wk-3", 3);
    for (auto* s : {&low, &too_large, &later}) f.add(*s);
    f.up("n-1");
    f.schedule_and_write();
    EXPECT_EQ(f.cluster->find_job("wk-3")->placements.size(), 3u);
    EXPECT_EQ(f.cluster->find_job("wk-1")->placements.size(), 1u);
    EXPECT_EQ(f.cluster->find_job("wk-2")->waiting.size(), 1u);
    EXPECT_EQ(f.cluster->queue().level(2).begin()->id, "wk-2");  // keeps its position in the queue
}

TEST(Scheduler, LaunchIsSentOnlyAfterItsRecordIsWritten) {
    Fleet f;
    f.up("n-1");
    f.add(f.spec("wk-1"));
    f.cluster->schedule_round(f.now);
    EXPECT_TRUE(f.cluster->push_commands(f.machine("n-1"), f.now).empty());
    auto writes = f.cluster->take_writes(16, 48 * 1024, f.now, f.wall);
    ASSERT_EQ(writes.size(), 1u);
    EXPECT_EQ(Fleet::recorded(writes).at("n-1").size(), 1u);
    // A failed transaction sends no launch; the record is written again.
    f.cluster->write_failed(std::move(writes));
    EXPECT_TRUE(f.cluster->push_commands(f.machine("n-1"), f.now).empty());
    f.write();
    EXPECT_EQ(f.cluster->push_commands(f.machine("n-1"), f.now).size(), 1u);
}

TEST(Scheduler, TaskOnSilentMachineIsStartedElsewhereOnlyAfterLeaseExpiry) {
    Fleet f;
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1"));
    f.schedule_and_write();
    f.run("n-1");
    f.machine("n-1").last_answer = f.now;
    f.now += 10s;  // n-1 sends no heartbeat from here on
    f.up("n-2");
    f.schedule_and_write();
    EXPECT_TRUE(f.on("n-2").empty());
    auto& m = f.machine("n-1");
    EXPECT_GT(m.lease_expiry(20, f.cluster->acquired()), f.now + 10s)
        << "the expiry includes the lease, clock drift and timer resolution";
    f.cluster->expire_lease(m, f.now);
    f.schedule_and_write();
    EXPECT_EQ(f.on("n-2").size(), 1u);
    EXPECT_EQ(job.placements.size(), 1u);
}

TEST(Scheduler, TasksOfReturnedMachineWaitAgainAndItsRecordIsRemoved) {
    Fleet f;
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1", 2));
    f.schedule_and_write();
    f.run("n-1");
    f.cluster->remove_machine("n-1", "returned", f.now);
    EXPECT_EQ(job.waiting.size(), 2u);
    auto writes = f.write();
    ASSERT_EQ(writes.size(), 1u);
    EXPECT_FALSE(Fleet::recorded(writes).contains("n-1"));
}

TEST(Scheduler, SpreadServiceRunsAtMostHalfOfItsTasksRoundedUpInOneZone) {
    Fleet f;
    auto s = f.spec("wk-1", 3);
    s.spread = true;
    s.kind = JobKind::service;
    auto& job = f.add(s);
    f.up("n-1", "a");
    f.schedule_and_write();
    EXPECT_EQ(job.placements.size(), 2u);  // half of three tasks, rounded up
    f.up("n-2", "b");
    f.schedule_and_write();
    EXPECT_EQ(job.placements.size(), 3u);
    EXPECT_EQ(f.on("n-2").size(), 1u);
}

TEST(Scheduler, SingleZoneJobStartsTasksInOneZoneOnly) {
    Fleet f;
    auto s = f.spec("wk-1", 6);
    s.one_zone = true;
    auto& job = f.add(s);
    f.up("n-1", "a");
    f.up("n-2", "b");
    f.schedule_and_write();
    EXPECT_EQ(job.placements.size(), 4u);
    EXPECT_TRUE(f.on("n-1").empty() || f.on("n-2").empty());
}

TEST(Scheduler, TeamLimitCountsTasksOnSuspectedMachine) {
    placement::Config config;
    config.teams["crew"] = {0, 0, 3, 0};
    Fleet f(config);
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1", 8));
    f.schedule_and_write();
    EXPECT_EQ(job.placements.size(), 3u);
    f.machine("n-1").suspected = true;  // sends no heartbeats, but its tasks may still run
    f.up("n-2");
    f.schedule_and_write();
    EXPECT_TRUE(f.on("n-2").empty());
}

TEST(Scheduler, SpotMachineIsGivenOnlyTasksOfJobsThatAllowSpot) {
    Fleet f;
    f.up("n-1", "a", "small", true);
    auto& job = f.add(f.spec("wk-1"));
    f.schedule_and_write();
    EXPECT_TRUE(job.placements.empty());
    auto s = f.spec("wk-2");
    s.spot_ok = true;
    f.add(s);
    f.schedule_and_write();
    EXPECT_EQ(f.on("n-1").size(), 1u);
}

TEST(Scheduler, GangStartsAsAWholeAndRestartsOnlyAfterAllItsTasksAreGone) {
    Fleet f;
    auto s = f.spec("wk-1", 3, 2);
    s.kind = JobKind::gang;
    auto& job = f.add(s);
    f.up("n-1");
    f.schedule_and_write();
    EXPECT_TRUE(job.placements.empty());
    f.up("n-2");
    f.schedule_and_write();
    ASSERT_EQ(job.placements.size(), 3u);
    std::set<std::uint64_t> attempt_numbers;
    for (auto name : {"n-1", "n-2"})
        for (auto& a : f.on(name)) attempt_numbers.insert(a.number);
    EXPECT_EQ(attempt_numbers.size(), 1u)
        << "all tasks of a gang have the same attempt number, by which they find one another";
    f.run("n-1");
    f.run("n-2");
    // One machine is lost: the tasks on the other one are stopped, and the gang restarts only after they are
    // gone.
    std::string lost_machine = f.on("n-1").size() == 1 ? "n-1" : "n-2",
                remaining_machine = lost_machine == "n-1" ? "n-2" : "n-1";
    f.cluster->remove_machine(lost_machine, "returned", f.now);
    f.up("n-3");
    f.schedule_and_write();
    EXPECT_TRUE(f.on("n-3").empty());
    auto kills = f.cluster->push_commands(f.machine(remaining_machine), f.now);
    EXPECT_EQ(kills.size(), 2u);
    f.cluster->on_heartbeat(f.heartbeat(remaining_machine), true, f.now);
    f.schedule_and_write();
    EXPECT_EQ(job.placements.size(), 3u);
}

TEST(Scheduler, RoundsStayFastWithTwoHundredThousandWaitingTasks) {
    Fleet f;
    for (int i = 0; i < 2; ++i) f.add(f.spec("wk-" + std::to_string(i), 100'000, 4));
    f.up("n-1");
    auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 200; ++i) f.cluster->schedule_round(f.now);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 2s);
    EXPECT_EQ(f.cluster->queue().waiting(), 199'999u);
}
