// The worker's side of the protocol, by a fake clock.
#include <gtest/gtest.h>

#include "worker/machine.hpp"

using namespace barrowrun;
using namespace barrowrun::worker;
using namespace std::chrono_literals;
using wire::Command;
using wire::Verb;

namespace {

struct Worker {
    TimePoint now = TimePoint{} + 1000s;
    Times times{3s, 20s, 30s, 4s, 500ms};
    Machine m{"n-1", "127.0.0.1:1", "box", "a", false, {4, 0, 8}, times, 1, now};
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
    bool push(Verb verb, const Attempt& a, double grace = 0, std::uint64_t fencing_token = 5,
              std::uint64_t agent_epoch = 1) {
        return m.commanded(fencing_token, agent_epoch, {{verb, a, grace}}, now);
    }
    void run(const Attempt& a, const wire::JobSpec& s) {
        push(Verb::launch, a);
        m.fetched(a, &s, now);
        m.take_actions();
    }
    std::vector<Action::Kind> actions() {
        std::vector<Action::Kind> out;
        for (auto& a : m.take_actions()) out.push_back(a.kind);
        return out;
    }
    const wire::TaskStatus* status(const Attempt& a) {
        last = m.heartbeat(now);
        for (auto& t : last.tasks)
            if (t.attempt == a) return &t;
        return nullptr;
    }
    Cause cause(const Attempt& a) { return status(a) ? status(a)->cause : Cause::none; }
    wire::WorkerHeartbeat last;
};

}  // namespace

TEST(Worker, ALaunchRunsOnceHoweverOftenItComes) {
    Worker w;
    auto a = Worker::attempt(0);
    w.run(a, w.spec());
    EXPECT_TRUE(w.push(Verb::launch, a));
    EXPECT_TRUE(w.actions().empty());
    w.m.exited(a, true, false);
    EXPECT_TRUE(w.push(Verb::launch, a));
    EXPECT_TRUE(w.actions().empty());
    EXPECT_EQ(w.cause(a), Cause::done);
    w.push(Verb::reap, a);
    EXPECT_EQ(w.status(a), nullptr);
    // After a reap the attempt is no longer known.
    w.push(Verb::launch, a);
    EXPECT_EQ(w.actions(), std::vector<Action::Kind>{Action::fetch});
}

TEST(Worker, RefusesWhatItHasUnderAnotherAttemptWhatIsUnknownAndWhatDoesNotFit) {
    Worker w;
    auto spec = w.spec(3);
    w.run(Worker::attempt(0), spec);
    w.push(Verb::launch, Worker::attempt(0, 8));
    EXPECT_EQ(w.cause(Worker::attempt(0, 8)), Cause::busy);
    w.push(Verb::launch, Worker::attempt(1));
    w.m.fetched(Worker::attempt(1), &spec, w.now);
    EXPECT_EQ(w.cause(Worker::attempt(1)), Cause::no_room);
    w.push(Verb::launch, Worker::attempt(2));
    w.m.fetched(Worker::attempt(2), nullptr, w.now);
    EXPECT_EQ(w.cause(Worker::attempt(2)), Cause::unknown);
    w.push(Verb::launch, Worker::attempt(9));
    w.m.fetched(Worker::attempt(9), &spec, w.now);
    EXPECT_EQ(w.cause(Worker::attempt(9)), Cause::unknown);
}

TEST(Worker, LowerTokensAndOtherAgentEpochsCommandNothing) {
    Worker w;
    EXPECT_TRUE(w.m.commanded(5, 1, {}, w.now));
    EXPECT_FALSE(w.push(Verb::launch, Worker::attempt(0), 0, 4));
    EXPECT_FALSE(w.push(Verb::launch, Worker::attempt(0), 0, 5, 2));
    EXPECT_FALSE(w.m.answered(std::nullopt, 1, {}, w.now, w.now));
    EXPECT_FALSE(w.m.answered(4, 1, {{Verb::launch, Worker::attempt(0), 0}}, w.now, w.now));
    EXPECT_TRUE(w.actions().empty());
    EXPECT_TRUE(w.push(Verb::launch, Worker::attempt(0), 0, 9));
    EXPECT_EQ(w.m.fencing_token(), 9u);
}

TEST(Worker, OnlyAnsweredHeartbeatsRenewTheLeaseAndItsEndEndsTheAgentEpoch) {
    Worker w;
    auto a = Worker::attempt(0);
    w.run(a, w.spec());
    w.now += 15s;
    EXPECT_TRUE(w.m.commanded(5, 1, {}, w.now));
    w.now += 4s;
    w.m.tick(w.now);
    EXPECT_EQ(w.m.agent_epoch(), 1u);
    EXPECT_TRUE(w.m.may_publish(a, w.now));
    w.now += 2s;
    EXPECT_FALSE(w.m.may_publish(a, w.now));
    w.m.tick(w.now);
    EXPECT_EQ(w.m.agent_epoch(), 2u);
    EXPECT_EQ(w.actions(), std::vector<Action::Kind>{Action::kill});
    // The next agent epoch's first heartbeat says that nothing is left: not before it is so.
    EXPECT_TRUE(w.m.ending());
    EXPECT_FALSE(w.push(Verb::launch, Worker::attempt(1), 0, 5, 2));
    w.m.exited(a, true, false);
    EXPECT_FALSE(w.m.ending());
    EXPECT_TRUE(w.m.heartbeat(w.now).tasks.empty());
    EXPECT_TRUE(w.push(Verb::launch, Worker::attempt(1), 0, 5, 2));
}

TEST(Worker, AHungMachineObeysNothingOfBeforeItsLeaseRanOut) {
    Worker w;
    w.run(Worker::attempt(0), w.spec());
    // It hung; a command that was under way comes as it goes on.
    w.now += 60s;
    EXPECT_FALSE(w.push(Verb::launch, Worker::attempt(1)));
    EXPECT_EQ(w.m.agent_epoch(), 2u);
    // So does the answer to a report of the old agent epoch.
    EXPECT_FALSE(w.m.answered(5, 1, {}, w.now - 61s, w.now));
}

TEST(Worker, AnAnswerCountsFromWhenItsHeartbeatWasSent) {
    Worker w;
    w.now += 10s;
    EXPECT_TRUE(w.m.answered(5, 1, {}, w.now - 8s, w.now));
    EXPECT_EQ(w.m.lease_end(), w.now - 8s + 20s);
}

TEST(Worker, KillsWithGraceSaveAndOthersDoNot) {
    Worker w;
    auto s = w.spec();
    s.checkpoint_s = 10, s.save_s = 2;
    auto a = Worker::attempt(0), b = Worker::attempt(1), c = Worker::attempt(2);
    for (auto& x : {a, b, c}) w.run(x, s);
    w.push(Verb::kill, a, 5);
    EXPECT_EQ(w.actions(), std::vector<Action::Kind>{Action::term});
    EXPECT_EQ(w.status(a)->state, TaskState::saving);
    EXPECT_FALSE(w.m.may_publish(a, w.now));
    w.m.exited(a, false, true);
    EXPECT_EQ(w.cause(a), Cause::stopped);
    EXPECT_TRUE(w.status(a)->checkpointed);
    w.push(Verb::kill, b, 1);  // less than it needs to save
    EXPECT_EQ(w.actions(), std::vector<Action::Kind>{Action::kill});
    w.m.exited(b, false, false);
    EXPECT_FALSE(w.status(b)->checkpointed);
    // Grace that runs out, and a second kill without any, end what is saving.
    w.push(Verb::kill, c, 5);
    w.actions();
    w.now += 6s;
    w.m.tick(w.now);
    EXPECT_EQ(w.actions(), std::vector<Action::Kind>{Action::kill});
    w.push(Verb::kill, c, 0);
    EXPECT_TRUE(w.actions().empty());
}

TEST(Worker, GangTasksWaitMeetAndNoticeLostPeers) {
    Worker w;
    auto s = w.spec(1, wire::JobKind::gang);
    auto a = Worker::attempt(0), b = Worker::attempt(1);
    w.push(Verb::launch, a);
    w.m.fetched(a, &s, w.now);
    EXPECT_EQ(w.status(a)->state, TaskState::waiting);
    w.push(Verb::launch, b);
    w.m.fetched(b, &s, w.now);
    w.m.take_actions();
    w.m.met(a);
    EXPECT_EQ(w.actions(), std::vector<Action::Kind>{Action::run});
    w.now += 15s;
    w.m.answered(5, 1, {}, w.now, w.now);
    w.now += 16s;
    w.m.tick(w.now);
    EXPECT_EQ(w.cause(b), Cause::alone);
    w.m.peer_lost(a);
    EXPECT_EQ(w.actions(), std::vector<Action::Kind>{Action::kill});
    EXPECT_EQ(w.status(a)->state, TaskState::running);  // until it has exited
    w.m.exited(a, false, false);
    EXPECT_EQ(w.cause(a), Cause::peers);
}

TEST(Worker, ChangesAreReportedSoonButNotOftenerThanEveryHalfSecond) {
    Worker w;
    EXPECT_EQ(w.m.report_due(w.now), w.now);
    w.m.reported(w.now);
    EXPECT_EQ(w.m.report_due(w.now), w.now + 3s);
    w.run(Worker::attempt(0), w.spec());
    EXPECT_EQ(w.m.report_due(w.now), w.now + 500ms);
    // The answer to the command has told it.
    w.m.told();
    EXPECT_EQ(w.m.report_due(w.now), w.now + 3s);
    w.now += 600ms;
    w.m.exited(Worker::attempt(0), true, false);
    EXPECT_EQ(w.m.report_due(w.now), w.now);
}

TEST(Worker, AHigherTokenIsAChangeAtMostOnceInHalfALease) {
    Worker w;
    w.m.commanded(5, 1, {}, w.now);
    w.m.reported(w.now);
    w.now += 1s;
    w.m.commanded(6, 1, {}, w.now);
    EXPECT_EQ(w.m.report_due(w.now), w.now - 1s + 3s);
    w.now += 10s;
    w.m.commanded(7, 1, {}, w.now);
    EXPECT_EQ(w.m.report_due(w.now), w.now);
}

TEST(Worker, CommandsThatAreNoneAreRefusedWhole) {
    using wire::Json;
    EXPECT_TRUE(wire::parse_commands(Json::object()).has_value());
    for (auto& bad : {Json{{"orders", 3}}, Json{{"orders", {{{"verb", "launch"}}}}},
                      Json{{"orders", {{{"verb", "explode"}, {"parcel", "wk-1/0"}, {"try", 1}}}}},
                      Json{{"orders", {{{"verb", "kill"}, {"parcel", "wk-1/0"}, {"try", -1}}}}}})
        EXPECT_FALSE(wire::parse_commands(bad).has_value()) << bad;
}
