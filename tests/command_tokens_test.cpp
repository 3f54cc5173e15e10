// Under which fencing tokens a leader writes to workers, so that late copies of its commands are refused.
#include "fleet/command_tokens.hpp"

#include "history.hpp"
#include "support.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;
using fleet::CommandTokens;

namespace {

// A leader under token 10 and a worker that follows the protocol.
struct CommandTokensTest : ::testing::Test {
    Fleet f;
    SimulatedWorker worker;

    void SetUp() override {
        worker.fencing_token = 10;
        report();
    }
    void report(bool from_heartbeat_route = true) {
        f.cluster->on_heartbeat(worker.next_heartbeat("n-1", "a"), from_heartbeat_route, f.now);
    }
    bool execute(std::uint64_t token, const std::vector<Command>& commands) {
        return worker.execute(token, commands, [this](const Attempt& attempt) {
            worker.tasks[attempt] = {TaskState::running, Cause::none};
        });
    }
    struct Sent {
        std::uint64_t token;
        std::vector<Command> commands;
    };
    // Pushes what is pending; the worker executes it and answers.
    Sent push() {
        auto& m = f.machine("n-1");
        Sent sent{0, f.cluster->push_commands(m, f.now)};
        sent.token = m.fencing_token_sent;
        const bool executed = execute(sent.token, sent.commands);
        f.cluster->push_answered(m, sent.commands, sent.token, executed, false, f.now);
        report(false);
        return sent;
    }
    // The worker reports, and executes the commands of the answer.
    Sent report_and_execute() {
        report();
        auto& m = f.machine("n-1");
        Sent sent{0, f.cluster->reply_commands(m, f.now)};
        sent.token = m.fencing_token_sent;
        execute(sent.token, sent.commands);
        return sent;
    }
    Attempt only_attempt() { return worker.tasks.begin()->first; }
    void fail_task() { worker.tasks.begin()->second = {TaskState::exited, Cause::error}; }
};

}  // namespace

// wk-703668/34 ran on n-000110 and on n-000054: a start command that had been carried out, answered and
// reaped reached n-000110 once more under the same token.
TEST_F(CommandTokensTest, ACopyOfAStartCommandIsRefusedOnceItsAttemptWasReaped) {
    f.add(f.spec("wk-1"));
    f.schedule_and_write();
    const auto launch = push();
    ASSERT_EQ(launch.commands.size(), 1u);
    fail_task();
    // The worker would forget the attempt under the token with which the copy may arrive.
    EXPECT_TRUE(report_and_execute().commands.empty());
    EXPECT_TRUE(f.cluster->reaps_await_fencing_token());
    f.refresh_fencing_token();
    EXPECT_FALSE(f.cluster->reaps_await_fencing_token());
    const auto reap = report_and_execute();
    ASSERT_EQ(reap.commands.size(), 1u);
    EXPECT_EQ(reap.commands[0].verb, Verb::reap);
    EXPECT_TRUE(worker.tasks.empty());
    EXPECT_FALSE(execute(launch.token, launch.commands));
    EXPECT_TRUE(worker.tasks.empty());
}

TEST_F(CommandTokensTest, TheNewTokenIsGivenToWorkersOnlyOnceTheOtherNodesKnowIt) {
    f.add(f.spec("wk-1"));
    f.schedule_and_write();
    push();
    fail_task();
    report_and_execute();
    f.cluster->set_fencing_token(11, f.now);
    f.now += CommandTokens::propagation - 1ms;
    EXPECT_EQ(report_and_execute().token, 10u);
    f.now += 1ms;
    EXPECT_EQ(report_and_execute().token, 11u);
}

// A higher token makes a worker report at once, and thousands of workers would do so together.
TEST_F(CommandTokensTest, AWorkerWithNothingToReapIsWrittenToUnderTheTokenThatItKnows) {
    f.add(f.spec("wk-1"));
    f.schedule_and_write();
    EXPECT_EQ(push().token, 10u);
    for (int i = 0; i < 3; ++i) {
        f.refresh_fencing_token();
        EXPECT_EQ(report_and_execute().token, 10u);
    }
    EXPECT_EQ(f.cluster->fencing_token(), 13u);
    EXPECT_FALSE(f.cluster->reaps_await_fencing_token());
}

// A node of its zone renewed the worker's lease under a newer token than this leader has written to it.
TEST_F(CommandTokensTest, AWorkerIsWrittenToUnderTheHighestTokenThatItHasSeen) {
    f.refresh_fencing_token();
    f.refresh_fencing_token();
    worker.fencing_token = 11;
    EXPECT_EQ(report_and_execute().token, 11u);
    // Another leader's token is not this leader's to use.
    worker.fencing_token = 20;
    EXPECT_EQ(report_and_execute().token, 12u);
}

// A launch that went out in the response to a heartbeat can't arrive twice.
TEST_F(CommandTokensTest, AnAttemptThatWasLaunchedInAResponseIsReapedUnderTheSameToken) {
    f.add(f.spec("wk-1"));
    f.machine("n-1").push_reachable = false;
    f.schedule_and_write();
    EXPECT_EQ(report_and_execute().commands.size(), 1u);
    fail_task();
    const auto reap = report_and_execute();
    EXPECT_EQ(reap.token, 10u);
    ASSERT_EQ(reap.commands.size(), 1u);
    EXPECT_EQ(reap.commands[0].verb, Verb::reap);
}

TEST_F(CommandTokensTest, AnExitedAttemptThatWaitsForATokenHoldsNoCapacity) {
    f.add(f.spec("wk-1", 1, 4));
    f.schedule_and_write();
    push();
    fail_task();
    report_and_execute();
    EXPECT_EQ(f.machine("n-1").available().cpus, 4.0);
    EXPECT_EQ(f.machine("n-1").live(), 0u);
}

// A 200 says that the launch was executed; a newer heartbeat that doesn't list it proves nothing while a copy
// of the launch may still be executed.
TEST_F(CommandTokensTest, AnAnsweredLaunchThatIsNotListedIsGoneOnlyUnderANewerToken) {
    auto& job = f.add(f.spec("wk-1"));
    f.schedule_and_write();
    auto& m = f.machine("n-1");
    const auto sent = f.cluster->push_commands(m, f.now);
    f.cluster->push_answered(m, sent, m.fencing_token_sent, true, false, f.now);
    report();
    EXPECT_EQ(job.placements.size(), 1u);
    EXPECT_TRUE(f.cluster->has_unconfirmed_launch(f.now + 4s));
    worker.fencing_token = 11;
    report();
    EXPECT_TRUE(job.placements.empty());
}

namespace {
// A task failed on n-1, was reaped there and runs on n-2.
struct ReappearanceTest : CommandTokensTest {
    Job* job = nullptr;
    Attempt first;

    void SetUp() override {
        CommandTokensTest::SetUp();
        job = &f.add(f.spec("wk-1"));
        f.schedule_and_write();
        push();
        first = only_attempt();
        fail_task();
        report_and_execute();
        f.refresh_fencing_token();
        report_and_execute();
        f.now += 5s;
        f.machine("n-1").draining = true;
        f.up("n-2");
        f.schedule_and_write();
        f.run("n-2");
        ASSERT_EQ(job->placements.at(0).size(), 1u);
    }
    void expect_both_are_stopped() {
        worker.tasks[first] = {TaskState::running, Cause::none};
        const auto stop = report_and_execute();
        EXPECT_EQ(f.cluster->reaped_attempts().reappeared(), 1u);
        EXPECT_EQ(job->placements.at(0).size(), 2u);
        ASSERT_EQ(stop.commands.size(), 1u);
        EXPECT_EQ(stop.commands[0].verb, Verb::kill);
        auto other = f.cluster->push_commands(f.machine("n-2"), f.now);
        ASSERT_EQ(other.size(), 1u);
        EXPECT_EQ(other[0].verb, Verb::kill);
    }
};
}  // namespace

// An older worker, or a copy that was executed before this leader's version.
TEST_F(ReappearanceTest, AReapedAttemptThatAppearsAgainIsStoppedTogetherWithTheNewerOne) {
    report();
    EXPECT_TRUE(f.machine("n-1").assignments.empty());
    expect_both_are_stopped();
}

TEST_F(ReappearanceTest, TheSameBeforeAHeartbeatHasShownTheReap) {
    expect_both_are_stopped();
}

TEST_F(ReappearanceTest, ACopyThatTheWorkerRefusedStopsNothing) {
    report();
    worker.tasks[first] = {TaskState::exited, Cause::no_room};
    report_and_execute();
    EXPECT_EQ(f.cluster->reaped_attempts().reappeared(), 1u);
    EXPECT_EQ(job->placements.at(0).size(), 1u);
    EXPECT_TRUE(f.cluster->push_commands(f.machine("n-2"), f.now).empty());
}

// What an earlier version's leader reaped under the token of the launch may start again until the worker
// knows this leader's token.
TEST_F(CommandTokensTest, AnAttemptThatAPredecessorReapedIsGoneOnlyUnderThisTermsToken) {
    f.restart(20);
    auto& job = f.add(f.spec("wk-1"));
    const Attempt earlier{{"wk-1", 0}, fleet::first_attempt_number(10) + 1};
    worker.tasks[earlier] = {TaskState::running, Cause::none};
    report();
    ASSERT_EQ(job.placements.size(), 1u);
    worker.tasks.clear();
    report();
    EXPECT_EQ(job.placements.size(), 1u);
    worker.fencing_token = 20;
    report();
    EXPECT_TRUE(job.placements.empty());
}
