// Tests worker::Machine, the worker's side of the protocol, with a simulated clock.
#include <gtest/gtest.h>

#include "worker/machine.hpp"

using namespace barrowrun;
using namespace barrowrun::worker;
using namespace std::chrono_literals;
using wire::Command;
using wire::Verb;

namespace {

struct WorkerMachineTest {
    TimePoint now = TimePoint{} + 1000s;
    Times times{3s, 20s, 30s, 4s, 500ms};
    Machine machine{"n-1", "127.0.0.1:1", "box", "a", false, {4, 0, 8}, times, 1, now};
    wire::JobSpec spec(double cpus = 1, wire::JobKind kind = wire::JobKind::array) {
        wire::JobSpec s;
        s.id = "wk-1";
        s.kind = kind;
        s.tasks = 4;
        s.need = {cpus, 0, 1};
        return s;
    }
    static Attempt attempt(std::uint32_t index, std::uint64_t number = 7) {
        return {{"wk-1", index}, number};
    }
    bool send_command(Verb verb, const Attempt& a, double grace = 0, std::uint64_t fencing_token = 5,
                      std::uint64_t agent_epoch = 1) {
        return machine.commanded(fencing_token, agent_epoch, {{verb, a, grace}}, now);
    }
    void run(const Attempt& a, const wire::JobSpec& s) {
        send_command(Verb::launch, a);
        machine.fetched(a, &s, now);
        machine.take_actions();
    }
    std::vector<Action::Kind> actions() {
        std::vector<Action::Kind> out;
        for (auto& a : machine.take_actions()) out.push_back(a.kind);
        return out;
    }
    const wire::TaskStatus* status(const Attempt& a) {
        last_heartbeat = machine.heartbeat(now);
        for (auto& t : last_heartbeat.tasks)
            if (t.attempt == a) return &t;
        return nullptr;
    }
    Cause cause(const Attempt& a) { return status(a) ? status(a)->cause : Cause::none; }
    wire::WorkerHeartbeat last_heartbeat;
};

}  // namespace

TEST(WorkerMachine, RepeatedLaunchStartsAnAttemptOnlyOnce) {
    WorkerMachineTest worker;
    auto a = WorkerMachineTest::attempt(0);
    worker.run(a, worker.spec());
    EXPECT_TRUE(worker.send_command(Verb::launch, a));
    EXPECT_TRUE(worker.actions().empty());
    worker.machine.exited(a, true, false);
    EXPECT_TRUE(worker.send_command(Verb::launch, a));
    EXPECT_TRUE(worker.actions().empty());
    EXPECT_EQ(worker.cause(a), Cause::done);
    worker.send_command(Verb::reap, a);
    EXPECT_EQ(worker.status(a), nullptr);
}

TEST(WorkerMachine, ALateCopyOfALaunchDoesNotStartAnAttemptThatWasReaped) {
    WorkerMachineTest worker;
    auto a = WorkerMachineTest::attempt(0);
    worker.run(a, worker.spec());
    worker.machine.exited(a, false, false);
    worker.send_command(Verb::reap, a);
    EXPECT_TRUE(worker.send_command(Verb::launch, a));
    EXPECT_TRUE(worker.actions().empty());
    EXPECT_EQ(worker.status(a), nullptr);
    EXPECT_EQ(worker.machine.refused_launches(), 1u);
    // The task's next attempt starts.
    worker.send_command(Verb::launch, WorkerMachineTest::attempt(0, 8));
    EXPECT_EQ(worker.actions(), std::vector<Action::Kind>{Action::fetch});
}

TEST(WorkerMachine, LaunchIsRefusedForATaskThatIsRunningOrUnknownOrDoesNotFit) {
    WorkerMachineTest worker;
    auto spec = worker.spec(3);
    worker.run(WorkerMachineTest::attempt(0), spec);
    worker.send_command(Verb::launch, WorkerMachineTest::attempt(0, 8));
    EXPECT_EQ(worker.cause(WorkerMachineTest::attempt(0, 8)), Cause::busy);
    worker.send_command(Verb::launch, WorkerMachineTest::attempt(1));
    worker.machine.fetched(WorkerMachineTest::attempt(1), &spec, worker.now);
    EXPECT_EQ(worker.cause(WorkerMachineTest::attempt(1)), Cause::no_room);
    worker.send_command(Verb::launch, WorkerMachineTest::attempt(2));
    worker.machine.fetched(WorkerMachineTest::attempt(2), nullptr, worker.now);
    EXPECT_EQ(worker.cause(WorkerMachineTest::attempt(2)), Cause::unknown);
    worker.send_command(Verb::launch, WorkerMachineTest::attempt(9));
    worker.machine.fetched(WorkerMachineTest::attempt(9), &spec, worker.now);
    EXPECT_EQ(worker.cause(WorkerMachineTest::attempt(9)), Cause::unknown);
}

TEST(WorkerMachine, CommandsWithALowerFencingTokenOrAnotherAgentEpochAreRefused) {
    WorkerMachineTest worker;
    EXPECT_TRUE(worker.machine.commanded(5, 1, {}, worker.now));
    EXPECT_FALSE(worker.send_command(Verb::launch, WorkerMachineTest::attempt(0), 0, 4));
    EXPECT_FALSE(worker.send_command(Verb::launch, WorkerMachineTest::attempt(0), 0, 5, 2));
    EXPECT_FALSE(worker.machine.answered(std::nullopt, 1, {}, worker.now, worker.now));
    EXPECT_FALSE(worker.machine.answered(4, 1, {{Verb::launch, WorkerMachineTest::attempt(0), 0}}, worker.now,
                                         worker.now));
    EXPECT_TRUE(worker.actions().empty());
    EXPECT_TRUE(worker.send_command(Verb::launch, WorkerMachineTest::attempt(0), 0, 9));
    EXPECT_EQ(worker.machine.fencing_token(), 9u);
}

TEST(WorkerMachine, OnlyAnsweredHeartbeatsRenewTheLeaseAndItsExpiryEndsTheAgentEpoch) {
    WorkerMachineTest worker;
    auto a = WorkerMachineTest::attempt(0);
    worker.run(a, worker.spec());
    worker.now += 15s;
    EXPECT_TRUE(worker.machine.commanded(5, 1, {}, worker.now));
    worker.now += 4s;
    worker.machine.tick(worker.now);
    EXPECT_EQ(worker.machine.agent_epoch(), 1u);
    EXPECT_TRUE(worker.machine.may_publish(a, worker.now));
    worker.now += 2s;
    EXPECT_FALSE(worker.machine.may_publish(a, worker.now));
    worker.machine.tick(worker.now);
    EXPECT_EQ(worker.machine.agent_epoch(), 2u);
    EXPECT_EQ(worker.actions(), std::vector<Action::Kind>{Action::kill});
    // The first heartbeat of the next agent epoch reports no tasks, so the epoch starts only when all
    // processes of the expired one have exited.
    EXPECT_TRUE(worker.machine.ending());
    EXPECT_FALSE(worker.send_command(Verb::launch, WorkerMachineTest::attempt(1), 0, 5, 2));
    worker.machine.exited(a, true, false);
    EXPECT_FALSE(worker.machine.ending());
    EXPECT_TRUE(worker.machine.heartbeat(worker.now).tasks.empty());
    EXPECT_TRUE(worker.send_command(Verb::launch, WorkerMachineTest::attempt(1), 0, 5, 2));
}

TEST(WorkerMachine, MachineThatHungPastItsLeaseRefusesCommandsOfTheOldAgentEpoch) {
    WorkerMachineTest worker;
    worker.run(WorkerMachineTest::attempt(0), worker.spec());
    // The machine hangs past its lease, and a command that was in transit arrives when it resumes.
    worker.now += 60s;
    EXPECT_FALSE(worker.send_command(Verb::launch, WorkerMachineTest::attempt(1)));
    EXPECT_EQ(worker.machine.agent_epoch(), 2u);
    // The answer to a heartbeat of the old agent epoch is dropped as well.
    EXPECT_FALSE(worker.machine.answered(5, 1, {}, worker.now - 61s, worker.now));
}

TEST(WorkerMachine, LeaseIsRenewedFromTheTimeTheHeartbeatWasSent) {
    WorkerMachineTest worker;
    worker.now += 10s;
    EXPECT_TRUE(worker.machine.answered(5, 1, {}, worker.now - 8s, worker.now));
    EXPECT_EQ(worker.machine.lease_end(), worker.now - 8s + 20s);
}

TEST(WorkerMachine, KillLetsATaskSaveACheckpointOnlyIfTheGracePeriodIsLongEnough) {
    WorkerMachineTest worker;
    auto s = worker.spec();
    s.checkpoint_s = 10, s.save_s = 2;
    auto a = WorkerMachineTest::attempt(0), b = WorkerMachineTest::attempt(1),
         c = WorkerMachineTest::attempt(2);
    for (auto& x : {a, b, c}) worker.run(x, s);
    worker.send_command(Verb::kill, a, 5);
    EXPECT_EQ(worker.actions(), std::vector<Action::Kind>{Action::term});
    EXPECT_EQ(worker.status(a)->state, TaskState::saving);
    EXPECT_FALSE(worker.machine.may_publish(a, worker.now));
    worker.machine.exited(a, false, true);
    EXPECT_EQ(worker.cause(a), Cause::stopped);
    EXPECT_TRUE(worker.status(a)->checkpointed);
    worker.send_command(Verb::kill, b, 1);  // shorter than the task's save time of 2 s
    EXPECT_EQ(worker.actions(), std::vector<Action::Kind>{Action::kill});
    worker.machine.exited(b, false, false);
    EXPECT_FALSE(worker.status(b)->checkpointed);
    // The task is killed when its grace period ends; a further kill without grace adds no second signal.
    worker.send_command(Verb::kill, c, 5);
    worker.actions();
    worker.now += 6s;
    worker.machine.tick(worker.now);
    EXPECT_EQ(worker.actions(), std::vector<Action::Kind>{Action::kill});
    worker.send_command(Verb::kill, c, 0);
    EXPECT_TRUE(worker.actions().empty());
}

TEST(WorkerMachine, GangTaskWaitsForItsPeersAndIsKilledWhenAPeerIsLost) {
    WorkerMachineTest worker;
    auto s = worker.spec(1, wire::JobKind::gang);
    auto a = WorkerMachineTest::attempt(0), b = WorkerMachineTest::attempt(1);
    worker.send_command(Verb::launch, a);
    worker.machine.fetched(a, &s, worker.now);
    EXPECT_EQ(worker.status(a)->state, TaskState::waiting);
    worker.send_command(Verb::launch, b);
    worker.machine.fetched(b, &s, worker.now);
    worker.machine.take_actions();
    worker.machine.met(a);
    EXPECT_EQ(worker.actions(), std::vector<Action::Kind>{Action::run});
    worker.now += 15s;
    worker.machine.answered(5, 1, {}, worker.now, worker.now);
    worker.now += 16s;
    worker.machine.tick(worker.now);
    EXPECT_EQ(worker.cause(b), Cause::alone);
    worker.machine.peer_lost(a);
    EXPECT_EQ(worker.actions(), std::vector<Action::Kind>{Action::kill});
    // The task is reported as running until its processes have exited.
    EXPECT_EQ(worker.status(a)->state, TaskState::running);
    worker.machine.exited(a, false, false);
    EXPECT_EQ(worker.cause(a), Cause::peers);
}

TEST(WorkerMachine, ChangesAreReportedEarlyButAtMostOnceInHalfASecond) {
    WorkerMachineTest worker;
    EXPECT_EQ(worker.machine.report_due(worker.now), worker.now);
    worker.machine.reported(worker.now);
    EXPECT_EQ(worker.machine.report_due(worker.now), worker.now + 3s);
    worker.run(WorkerMachineTest::attempt(0), worker.spec());
    EXPECT_EQ(worker.machine.report_due(worker.now), worker.now + 500ms);
    // The answer to the command has reported the change.
    worker.machine.told();
    EXPECT_EQ(worker.machine.report_due(worker.now), worker.now + 3s);
    worker.now += 600ms;
    worker.machine.exited(WorkerMachineTest::attempt(0), true, false);
    EXPECT_EQ(worker.machine.report_due(worker.now), worker.now);
}

TEST(WorkerMachine, HigherFencingTokenTriggersAnEarlyHeartbeatAtMostOnceInHalfALease) {
    WorkerMachineTest worker;
    worker.machine.commanded(5, 1, {}, worker.now);
    worker.machine.reported(worker.now);
    worker.now += 1s;
    worker.machine.commanded(6, 1, {}, worker.now);
    EXPECT_EQ(worker.machine.report_due(worker.now), worker.now - 1s + 3s);
    worker.now += 10s;
    worker.machine.commanded(7, 1, {}, worker.now);
    EXPECT_EQ(worker.machine.report_due(worker.now), worker.now);
}

TEST(WorkerCommands, MalformedCommandListIsRejectedAsAWhole) {
    using wire::Json;
    EXPECT_TRUE(wire::parse_commands(Json::object()).has_value());
    for (auto& bad : {Json{{"orders", 3}}, Json{{"orders", {{{"verb", "launch"}}}}},
                      Json{{"orders", {{{"verb", "explode"}, {"parcel", "wk-1/0"}, {"try", 1}}}}},
                      Json{{"orders", {{{"verb", "kill"}, {"parcel", "wk-1/0"}, {"try", -1}}}}}})
        EXPECT_FALSE(wire::parse_commands(bad).has_value()) << bad;
}
