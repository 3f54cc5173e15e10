// Jobs across a change of leader, at their end and when cancelled. State changes must be recorded before they
// are reported.
#include "support.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;

TEST(ClusterRecovery, RecoveredAttemptBlocksARestartUntilItsWorkerReportsThisLeadersToken) {
    Fleet f;
    f.restart(50);
    auto& job = f.add(f.spec("wk-1", 2));
    state::MachineRecord record;
    record.name = "n-1";
    record.address = "127.0.0.1:9", record.type = "small", record.zone = "a";
    record.attempts = {{{"wk-1", 0}, 7}, {{"wk-1", 1}, 8}};
    f.cluster->recover_machine(0, record, f.now, f.wall);
    f.up("n-2");
    f.schedule_and_write();
    EXPECT_TRUE(f.on("n-2").empty());
    // A heartbeat sent before the worker saw the new token does not rule out a late push of the old leader.
    f.cluster->on_heartbeat(f.heartbeat("n-1", {}, 49), true, f.now);
    EXPECT_EQ(job.placements.size(), 2u);
    Attempt zero{{"wk-1", 0}, 7};
    f.cluster->on_heartbeat(f.heartbeat("n-1", {{zero, TaskState::running, Cause::none, false}}, 50), false,
                            f.now);
    EXPECT_EQ(job.placements.size(), 1u);
    EXPECT_TRUE(job.waiting.contains(1));
    // Attempt numbers of different leaders never collide.
    f.schedule_and_write();
    for (auto& [index, list] : job.placements)
        for (auto& [name, number] : list) EXPECT_TRUE(index == 0 || number > (50ULL << 20));
}

// A worker may report running tasks before the leader has read the record of their job.
TEST(ClusterRecovery, TasksReportedBeforeTheirJobIsKnownAreNotStartedAgain) {
    Fleet f;
    Attempt zero{{"wk-1", 0}, 7};
    f.cluster->on_heartbeat(f.heartbeat("n-1", {{zero, TaskState::running, Cause::none, false}}), true,
                            f.now);
    f.up("n-2");
    auto& job = f.add(f.spec("wk-1", 2));
    f.schedule_and_write();
    EXPECT_EQ(job.placements.at(0).size(), 1u);
    for (auto& a : f.on("n-2")) EXPECT_NE(a.task.index, 0u);
    EXPECT_TRUE(job.waiting.empty());
}

TEST(ClusterRecovery, LeaseOfASilentMachineCountsFromTheStartOfTheLeadersTerm) {
    Fleet f;
    f.restart(50);
    f.add(f.spec("wk-1"));
    state::MachineRecord record;
    record.name = "n-1";
    record.attempts = {{{"wk-1", 0}, 7}};
    f.cluster->recover_machine(0, record, f.now, f.wall);
    EXPECT_GE(f.machine("n-1").lease_expiry(20, f.cluster->acquired()), f.now + 20s);
}

// Other nodes may read a record as soon as its write is sent. If the write gets no reply, they may still do
// so later.
TEST(JobCompletion, WriteOutcomeIsUnknownWhileACancellationIsInFlightOrUnanswered) {
    Fleet f;
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1"));
    f.schedule_and_write();
    f.run("n-1");
    f.write();
    EXPECT_FALSE(job.write_outcome_unknown());
    f.cluster->cancel(job, f.now);
    EXPECT_FALSE(job.write_outcome_unknown()) << "no write was sent yet";
    auto writes = f.cluster->take_writes(10, 1 << 20, f.now, f.wall);
    EXPECT_TRUE(job.write_outcome_unknown()) << "the write is in flight";
    f.cluster->write_failed(std::move(writes), false);
    EXPECT_FALSE(job.write_outcome_unknown()) << "the write was refused";
    writes = f.cluster->take_writes(10, 1 << 20, f.now, f.wall);
    f.cluster->write_failed(std::move(writes), true);
    EXPECT_TRUE(job.write_outcome_unknown()) << "the write had no reply and may have been executed";
    writes = f.cluster->take_writes(10, 1 << 20, f.now, f.wall);
    f.cluster->write_failed(std::move(writes), false);
    EXPECT_TRUE(job.write_outcome_unknown()) << "the earlier unanswered write may still have been executed";
    f.write();
    EXPECT_FALSE(job.write_outcome_unknown());
    EXPECT_EQ(job.job_state(), wire::JobState::cancelled);
}

TEST(JobCompletion, ResultIsRecordedBeforeItIsReportedOrReaped) {
    Fleet f;
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1"));
    f.schedule_and_write();
    f.run("n-1");
    auto a = f.on("n-1").at(0);
    f.cluster->on_heartbeat(f.heartbeat("n-1", {{a, TaskState::exited, Cause::done, false}}), true, f.now);
    EXPECT_EQ(job.job_state(), wire::JobState::queued);
    EXPECT_TRUE(f.cluster->reply_commands(f.machine("n-1"), f.now).empty());
    auto writes = f.write();
    ASSERT_GE(writes.size(), 2u);
    EXPECT_EQ(writes[0].key, "past/wk-1");
    EXPECT_FALSE(f.cluster->find_job("wk-1"));
    EXPECT_EQ(f.cluster->finished_job("wk-1")->state, wire::JobState::done);
    f.refresh_fencing_token();
    auto commands = f.cluster->reply_commands(f.machine("n-1"), f.now);
    ASSERT_EQ(commands.size(), 1u);
    EXPECT_EQ(commands[0].verb, Verb::reap);
}

// The progress of many running jobs once filled every transaction, so that starts had to wait because of the
// state service's rate limit.
TEST(JobCompletion, EndsAndCancellationsAreWrittenEvenWhileProgressIsDeferred) {
    Fleet f;
    f.up("n-1");
    auto& half_done = f.add(f.spec("wk-1", 2));
    auto& finished = f.add(f.spec("wk-2"));
    auto& cancelled = f.add(f.spec("wk-3"));
    f.schedule_and_write();
    f.run("n-1");
    std::vector<TaskStatus> tasks;
    for (auto& a : f.on("n-1")) {
        bool ends = a.task.job == "wk-2" || (a.task.job == "wk-1" && a.task.index == 0);
        tasks.push_back(
            {a, ends ? TaskState::exited : TaskState::running, ends ? Cause::done : Cause::none, false});
    }
    f.cluster->on_heartbeat(f.heartbeat("n-1", tasks), true, f.now);
    f.cluster->cancel(cancelled, f.now);
    EXPECT_EQ(half_done.done.size(), 1u);
    EXPECT_TRUE(finished.finished());
    EXPECT_TRUE(f.cluster->has_urgent_writes());
    std::set<std::string> keys;
    for (auto& w : f.cluster->take_writes(100, 1 << 20, f.now, f.wall, false)) keys.insert(w.key);
    EXPECT_TRUE(keys.contains("past/wk-2"));
    EXPECT_TRUE(keys.contains("progress/wk-3"));
    EXPECT_FALSE(keys.contains("progress/wk-1"));
    EXPECT_FALSE(f.cluster->has_urgent_writes());
    keys.clear();
    for (auto& w : f.cluster->take_writes(100, 1 << 20, f.now, f.wall)) keys.insert(w.key);
    EXPECT_TRUE(keys.contains("progress/wk-1"));
}

TEST(JobCancellation, StartThatWasNotSentBeforeTheCancellationIsNeverSent) {
    Fleet f;
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1", 2));
    f.cluster->schedule_round(f.now);
    f.cluster->cancel(job, f.now);
    EXPECT_NE(job.job_state(), wire::JobState::cancelled) << "reported before the cancellation is recorded";
    f.write();
    EXPECT_EQ(job.job_state(), wire::JobState::cancelled);
    for (auto& c : f.cluster->push_commands(f.machine("n-1"), f.now)) EXPECT_NE(c.verb, Verb::launch);
    f.write();
    EXPECT_EQ(f.cluster->finished_job("wk-1")->state, wire::JobState::cancelled);
}

TEST(JobCancellation, LaunchInFlightIsKilledAndTheJobStaysCancelledEvenIfTheTaskCompletes) {
    Fleet f;
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1"));
    f.schedule_and_write();
    auto sent = f.cluster->push_commands(f.machine("n-1"), f.now);
    f.cluster->cancel(job, f.now);
    f.cluster->push_answered(f.machine("n-1"), sent, 10, true, false, f.now);
    auto a = sent.at(0).attempt;
    f.cluster->on_heartbeat(f.heartbeat("n-1", {{a, TaskState::running, Cause::none, false}}), false, f.now);
    auto commands = f.cluster->push_commands(f.machine("n-1"), f.now);
    ASSERT_EQ(commands.size(), 1u);
    EXPECT_EQ(commands[0].verb, Verb::kill);
    EXPECT_EQ(commands[0].grace_s, 0);
    // The task may complete before the kill arrives; the job stays cancelled.
    f.cluster->on_heartbeat(f.heartbeat("n-1", {{a, TaskState::exited, Cause::done, false}}), true, f.now);
    f.write();
    f.write();
    EXPECT_EQ(f.cluster->finished_job("wk-1")->state, wire::JobState::cancelled);
}

TEST(JobCancellation, ReportedTaskOfAnUnknownJobIsKilled) {
    Fleet f;
    Attempt a{{"wk-9", 0}, 3};
    f.cluster->on_heartbeat(f.heartbeat("n-1", {{a, TaskState::running, Cause::none, false}}), true, f.now);
    auto commands = f.cluster->reply_commands(f.machine("n-1"), f.now);
    ASSERT_EQ(commands.size(), 1u);
    EXPECT_EQ(commands[0].verb, Verb::kill);
}
