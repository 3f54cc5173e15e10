#include "fleet/failure_detector.hpp"
#include "support.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;

namespace {
struct MachineTest : ::testing::Test {
    Fleet f;
    Attempt only(const std::string& name) {
        auto list = f.on(name);
        EXPECT_EQ(list.size(), 1u);
        return list.at(0);
    }
};
}  // namespace

// The worker may execute a push without an answer as long as fencing token and agent epoch match: a heartbeat
// that doesn't list the attempt proves nothing.
TEST_F(MachineTest, UnansweredLaunchIsKeptUntilTheWorkerReportsANewerFencingToken) {
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1"));
    f.schedule_and_write();
    auto sent = f.cluster->push_commands(f.machine("n-1"), f.now);
    ASSERT_EQ(sent.size(), 1u);
    f.cluster->push_answered(f.machine("n-1"), sent, 10, false, true, f.now);
    f.cluster->on_heartbeat(f.heartbeat("n-1"), true, f.now);
    EXPECT_EQ(job.placements.size(), 1u);
    EXPECT_TRUE(job.waiting.empty());
    // Once the worker has seen a newer token, it refuses the old launch.
    f.cluster->on_heartbeat(f.heartbeat("n-1", {}, 11), true, f.now);
    EXPECT_TRUE(job.placements.empty());
    EXPECT_EQ(job.waiting.size(), 1u);
}

TEST_F(MachineTest, ExitedAttemptIsNotReapedWhileItsLaunchMayStillBeDelivered) {
    f.up("n-1");
    f.add(f.spec("wk-1"));
    f.schedule_and_write();
    auto sent = f.cluster->push_commands(f.machine("n-1"), f.now);
    f.cluster->push_answered(f.machine("n-1"), sent, 10, false, true, f.now);
    auto a = only("n-1");
    TaskStatus failed{a, TaskState::exited, Cause::error, false};
    f.cluster->on_heartbeat(f.heartbeat("n-1", {failed}), true, f.now);
    EXPECT_TRUE(f.cluster->reply_commands(f.machine("n-1"), f.now).empty());
    f.cluster->set_fencing_token(11, f.now);
    f.cluster->on_heartbeat(f.heartbeat("n-1", {failed}, 11), true, f.now);
    auto commands = f.cluster->reply_commands(f.machine("n-1"), f.now);
    ASSERT_EQ(commands.size(), 1u);
    EXPECT_EQ(commands[0].verb, Verb::reap);
}

TEST_F(MachineTest, LaunchInAHeartbeatResponseIsSettledOnlyByTheNextHeartbeat) {
    auto& m = f.up("n-1");
    auto& job = f.add(f.spec("wk-1"));
    m.push_reachable = false;
    f.schedule_and_write();
    f.cluster->on_heartbeat(f.heartbeat("n-1"), true, f.now);
    auto sent = f.cluster->reply_commands(m, f.now);
    ASSERT_EQ(sent.size(), 1u);
    // The worker may have written an answer of /commands before the response with the launch arrived.
    f.cluster->on_heartbeat(f.heartbeat("n-1"), false, f.now);
    EXPECT_EQ(job.placements.size(), 1u);
    f.cluster->on_heartbeat(f.heartbeat("n-1"), true, f.now);
    EXPECT_TRUE(job.placements.empty());
}

// The launch of a cancelled job's task was pushed without an answer, and the worker may execute it minutes
// later while the fencing token can't be renewed. Only the end of the agent epoch voids the launch, so the
// lease must not be renewed forever.
TEST_F(MachineTest, LeaseIsNotRenewedWhileAnUnansweredLaunchOfACancelledTaskMayExecute) {
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1"));
    f.schedule_and_write();
    auto sent = f.cluster->push_commands(f.machine("n-1"), f.now);
    f.cluster->push_answered(f.machine("n-1"), sent, 10, false, true, f.now);
    EXPECT_TRUE(f.machine("n-1").may_renew(f.now + 100s, 20s))
        << "no attempt on the machine is to be stopped";
    f.cluster->cancel(job, f.now);
    EXPECT_TRUE(f.machine("n-1").may_renew(f.now + 20s - 1ms, 20s));
    EXPECT_FALSE(f.machine("n-1").may_renew(f.now + 20s, 20s));
    // A worker that has reported a higher token refuses the launch.
    f.cluster->on_heartbeat(f.heartbeat("n-1", {}, 11), true, f.now + 21s);
    EXPECT_TRUE(f.machine("n-1").may_renew(f.now + 30s, 20s));
}

// Every answer to a heartbeat renews the lease for all attempts on the machine, so it must carry the kills
// even if it carries no launches or reaps.
TEST_F(MachineTest, EveryHeartbeatAnswerCarriesTheKills) {
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1"));
    f.schedule_and_write();
    f.run("n-1");
    EXPECT_TRUE(f.cluster->reply_commands(f.machine("n-1"), f.now, false).empty());
    f.cluster->cancel(job, f.now);
    auto commands = f.cluster->reply_commands(f.machine("n-1"), f.now, false);
    ASSERT_EQ(commands.size(), 1u);
    EXPECT_EQ(commands[0].verb, Verb::kill);
}

TEST_F(MachineTest, HeartbeatDuringAnUnansweredPushDoesNotRemoveThePlacement) {
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1"));
    f.schedule_and_write();
    f.cluster->push_commands(f.machine("n-1"), f.now);
    f.cluster->on_heartbeat(f.heartbeat("n-1"), true, f.now);
    EXPECT_EQ(job.placements.size(), 1u);
}

TEST_F(MachineTest, HeartbeatOfAnOlderSequenceNumberOrAgentEpochIsIgnored) {
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1"));
    f.schedule_and_write();
    auto old = f.heartbeat("n-1");
    f.run("n-1");
    EXPECT_FALSE(f.cluster->on_heartbeat(old, true, f.now));
    old.agent_epoch = 0;
    old.seq = 999;
    EXPECT_FALSE(f.cluster->on_heartbeat(old, true, f.now));
    EXPECT_EQ(job.placements.size(), 1u);
}

TEST_F(MachineTest, HeartbeatOfAHigherAgentEpochRemovesPlacementsOfTheEarlierEpoch) {
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1"));
    f.schedule_and_write();
    auto sent = f.cluster->push_commands(f.machine("n-1"), f.now);
    f.cluster->push_answered(f.machine("n-1"), sent, 10, false, true, f.now);
    auto r = f.heartbeat("n-1");
    r.agent_epoch = 2;
    r.seq = 1;
    EXPECT_TRUE(f.cluster->on_heartbeat(r, true, f.now));
    EXPECT_TRUE(job.placements.empty());
}

TEST_F(MachineTest, RefusedPushIsSentAgain) {
    f.up("n-1");
    f.add(f.spec("wk-1"));
    f.schedule_and_write();
    auto sent = f.cluster->push_commands(f.machine("n-1"), f.now);
    // The worker refused the push with HTTP status 409: it executed none of the commands.
    f.cluster->push_answered(f.machine("n-1"), sent, 10, false, false, f.now);
    EXPECT_EQ(f.cluster->push_commands(f.machine("n-1"), f.now).size(), 1u);
}

TEST_F(MachineTest, ImageCacheEvictsTheLeastRecentlyUsedImage) {
    auto& m = f.up("n-1");
    for (auto name : {"a", "b", "c"}) m.use_image(name, 10);
    EXPECT_TRUE(m.has_image("a"));
    m.use_image("a", 10);
    m.use_image("d", 10);
    EXPECT_FALSE(m.has_image("b"));
    EXPECT_TRUE(m.has_image("a") && m.has_image("c") && m.has_image("d"));
}

// Guards against a leader that is cut off: the network held its return requests and delivered them 40 s
// later, when the machines were in use.
TEST(FailureDetector, MachinesAreBlamedOnlyIfAtLeast30PercentOfTheOthersAreHeard) {
    EXPECT_TRUE(fleet::hears_enough_of_fleet(10, 20));
    EXPECT_TRUE(fleet::hears_enough_of_fleet(6, 20));
    EXPECT_FALSE(fleet::hears_enough_of_fleet(5, 20));
    EXPECT_FALSE(fleet::hears_enough_of_fleet(0, 3));
    EXPECT_FALSE(fleet::hears_enough_of_fleet(0, 0));
}

// The machines of a zone that was cut off as a whole were returned in batches, together with their running
// tasks.
TEST(FailureDetector, DeclaresNoMachineOfASilentZoneFailedBeforeItsLeaseHasCertainlyExpired) {
    Fleet f;
    std::vector<std::string> zone_b;
    for (int i = 0; i < 20; ++i) {
        f.up("a-" + std::to_string(i), "a");
        if (i < 10) f.up("b-" + std::to_string(i), "b"), zone_b.push_back("b-" + std::to_string(i));
    }
    fleet::FailureDetector failure_detector({3s, 20s, 16});
    const auto cut = f.now;
    std::size_t declared_failed = 0;
    auto run_until = [&](Clock::duration end) {
        for (; f.now < cut + end; f.now += 500ms) {
            for (int i = 0; i < 20; ++i) f.up("a-" + std::to_string(i), "a");
            auto verdict = failure_detector.evaluate(
                f.cluster->machines(), f.now, cut, [](auto&) { return true; }, true);
            for (auto* m : verdict.probe) m->missed_probes++;
            for (auto* m : verdict.declare_failed) m->returning = true, ++declared_failed;
        }
    };
    run_until(55s);
    EXPECT_EQ(declared_failed, 0u);
    run_until(70s);
    EXPECT_EQ(declared_failed, zone_b.size()) << "the leases have expired, and the machines still cost money";
}

TEST(FailureDetector, DeclaresASilentMachineFailedIfTheRestOfItsZoneIsHeard) {
    Fleet f;
    for (int i = 0; i < 10; ++i) f.up("b-" + std::to_string(i), "b");
    fleet::FailureDetector failure_detector({3s, 20s, 16});
    const auto begin = f.now;
    std::set<std::string> declared_failed;
    for (; f.now < begin + 10s; f.now += 500ms) {
        for (int i = 1; i < 10; ++i) f.up("b-" + std::to_string(i), "b");
        auto verdict = failure_detector.evaluate(
            f.cluster->machines(), f.now, begin, [](auto&) { return true; }, true);
        for (auto* m : verdict.probe) m->missed_probes++;
        for (auto* m : verdict.declare_failed) declared_failed.insert(m->name);
    }
    EXPECT_EQ(declared_failed, std::set<std::string>{"b-0"});
}

// A zone is cut off for longer than a lease. Its worker has started a new agent epoch when it can be reached
// again, and the leader learns of this epoch by the answer to a push. The lease of the new epoch has just
// begun, regardless of when the leader last answered a heartbeat.
TEST_F(MachineTest, AgentEpochFirstReportedInAPushAnswerStartsItsOwnLease) {
    f.restart(50);
    state::MachineRecord record;
    record.name = "n-1";
    record.address = "127.0.0.1:9", record.type = "small", record.zone = "a";
    f.cluster->recover_machine(0, record, f.now, f.wall);
    f.now += 37s;  // longer than the lease of 20 s since the acquisition
    auto fresh = f.heartbeat("n-1", {}, 50);
    fresh.agent_epoch = 2;
    f.cluster->on_heartbeat(fresh, false, f.now);
    auto& job = f.add(f.spec("wk-1"));
    f.schedule_and_write();
    ASSERT_EQ(job.placements.size(), 1u);
    EXPECT_GE(f.machine("n-1").lease_expiry(20, f.cluster->acquired()), f.now + 20s);
    // The same holds for an agent epoch that follows one whose heartbeats were answered.
    f.machine("n-1").last_answer = f.now;
    f.now += 30s;
    fresh.agent_epoch = 3, ++fresh.seq;
    f.cluster->on_heartbeat(fresh, false, f.now);
    EXPECT_GE(f.machine("n-1").lease_expiry(20, f.cluster->acquired()), f.now + 20s);
    // A further heartbeat of a known agent epoch does not extend the lease.
    auto end = f.machine("n-1").lease_expiry(20, f.cluster->acquired());
    f.now += 5s;
    ++fresh.seq;
    f.cluster->on_heartbeat(fresh, false, f.now);
    EXPECT_EQ(f.machine("n-1").lease_expiry(20, f.cluster->acquired()), end);
}
