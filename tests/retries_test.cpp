// Counting of task failures: a job that exceeds its `retries` ends as failed, and each failure is counted
// exactly once, also across a change of leader.
#include "support.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;

namespace {

struct RetryFleet : Fleet {
    std::uint64_t number = 0;
    wire::JobSpec job_with_retries(std::uint32_t retries, std::uint32_t tasks = 1) {
        auto s = spec("wk-1", tasks);
        s.retries = retries;
        return s;
    }
    // Starts task 0 on the machine and makes it fail there. Returns the status that the worker reports until
    // the attempt is reaped.
    TaskStatus start_and_fail(const std::string& name) {
        now += 60s;
        cluster->on_heartbeat(heartbeat(name, {}, cluster->fencing_token()), true, now);
        schedule_and_write();
        auto commands = run(name);
        EXPECT_EQ(commands.size(), 1u);
        TaskStatus failed{commands.at(0).attempt, TaskState::exited, Cause::error, false};
        cluster->on_heartbeat(heartbeat(name, {failed}, cluster->fencing_token()), true, now);
        return failed;
    }
    wire::JobState finished_state() { return cluster->finished_job("wk-1").value().state; }
    // The records that a successor reads.
    std::map<std::string, std::optional<wire::Json>> stored_records;
    void write_and_store() {
        for (auto& w : write()) stored_records[w.key] = w.value;
    }
    void start_successor(std::uint64_t fencing_token, const wire::JobSpec& s) {
        restart(fencing_token);
        auto progress_record = stored_records["progress/wk-1"];
        auto progress = progress_record ? state::parse_progress(*progress_record, s.tasks) : std::nullopt;
        cluster->add_job({s, 1'000'000}, progress ? &*progress : nullptr, now, wall);
        for (auto& [key, value] : stored_records) {
            auto n = state::parse_assignment_shard_key(key);
            if (!n || !value) continue;
            auto records = state::parse_assignment_shard(*value);
            if (!records) continue;
            for (auto& r : *records) cluster->recover_machine(*n, r, now, wall);
        }
    }
};

}  // namespace

TEST(Retries, JobFailsAndItsOtherTasksAreStoppedOnceATaskExceedsItsRetries) {
    RetryFleet f;
    f.up("n-1");
    f.add(f.job_with_retries(1, 2));
    f.schedule_and_write();
    auto sent = f.run("n-1");
    ASSERT_EQ(sent.size(), 2u);
    auto other = sent[sent[0].attempt.task.index == 1 ? 0 : 1].attempt;
    for (int i = 0; i < 2; ++i) {
        auto task0 = f.cluster->find_job("wk-1")->placements.at(0).at(0);
        TaskStatus failed{{{"wk-1", 0}, task0.second}, TaskState::exited, Cause::error, false};
        TaskStatus running{other, TaskState::running, Cause::none, false};
        f.cluster->on_heartbeat(f.heartbeat("n-1", {failed, running}), true, f.now);
        f.write();
        f.now += 61s;
        f.cluster->on_heartbeat(f.heartbeat("n-1", {running}), true, f.now);
        if (i == 0) {
            f.schedule_and_write();
            f.run("n-1");
        }
    }
    auto* job = f.cluster->find_job("wk-1");
    ASSERT_TRUE(job);
    EXPECT_EQ(job->job_state(), wire::JobState::failed);
    EXPECT_TRUE(f.machine("n-1").assignments.at(other).stop_requested);
    f.cluster->on_heartbeat(f.heartbeat("n-1", {}), true, f.now);
    f.write();
    EXPECT_EQ(f.finished_state(), wire::JobState::failed);
    EXPECT_EQ(f.cluster->finished_job("wk-1")->errors->errors, 2u);
    EXPECT_EQ(f.cluster->finished_job("wk-1")->errors->last->machine, "n-1");
}

TEST(Retries, JobWithoutRetryLimitIsRetriedIndefinitely) {
    RetryFleet f;
    f.up("n-1");
    f.add(f.spec("wk-1"));
    for (int i = 0; i < 6; ++i) {
        f.start_and_fail("n-1");
        f.write();
    }
    ASSERT_TRUE(f.cluster->find_job("wk-1"));
    EXPECT_EQ(f.cluster->find_job("wk-1")->job_state(), wire::JobState::queued);
    EXPECT_FALSE(f.cluster->find_job("wk-1")->error_count);
}

TEST(Retries, FailureIsRecordedBeforeItIsReapedOrItsTaskIsRestarted) {
    RetryFleet f;
    f.up("n-1");
    auto& job = f.add(f.job_with_retries(3));
    f.start_and_fail("n-1");
    // The failure is not recorded yet: the attempt is not reaped and the task is not restarted.
    EXPECT_TRUE(f.cluster->reply_commands(f.machine("n-1"), f.now).empty());
    f.now += 60s;
    EXPECT_FALSE(f.cluster->schedule_round(f.now));
    EXPECT_TRUE(job.waiting.empty());
    f.write();
    EXPECT_EQ(job.waiting.size(), 1u);
    f.refresh_fencing_token();
    auto commands = f.cluster->reply_commands(f.machine("n-1"), f.now);
    ASSERT_EQ(commands.size(), 1u);
    EXPECT_EQ(commands[0].verb, Verb::reap);
}

TEST(Retries, SuccessorDoesNotCountARecordedFailureAgain) {
    RetryFleet f;
    auto s = f.job_with_retries(1);
    f.up("n-1");
    f.add(s);
    f.write_and_store();
    auto failed = f.start_and_fail("n-1");
    f.write_and_store();
    f.start_successor(20, s);
    // The worker still reports the failed attempt, as the reap was never sent.
    f.cluster->on_heartbeat(f.heartbeat("n-1", {failed}, 20), true, f.now);
    EXPECT_EQ(f.cluster->find_job("wk-1")->error_count->errors, 1u);
    EXPECT_FALSE(f.cluster->find_job("wk-1")->failed);
    f.write();
    EXPECT_EQ(f.cluster->reply_commands(f.machine("n-1"), f.now).size(), 1u);
}

TEST(Retries, SuccessorCountsAFailureThatItsPredecessorDidNotRecord) {
    RetryFleet f;
    auto s = f.job_with_retries(0);
    f.up("n-1");
    f.add(s);
    f.cluster->schedule_round(f.now);
    f.write_and_store();
    auto sent = f.run("n-1");
    ASSERT_EQ(sent.size(), 1u);
    TaskStatus failed{sent[0].attempt, TaskState::exited, Cause::error, false};
    f.cluster->on_heartbeat(f.heartbeat("n-1", {failed}), true, f.now);
    // The leader dies before it records the failure. Its successor does not restart the task before the
    // machine has sent a heartbeat.
    f.start_successor(20, s);
    f.up("n-2");
    EXPECT_FALSE(f.cluster->schedule_round(f.now));
    f.cluster->on_heartbeat(f.heartbeat("n-1", {failed}, 20), true, f.now);
    EXPECT_TRUE(f.cluster->find_job("wk-1")->failed);
    f.write();
    f.write();
    EXPECT_EQ(f.finished_state(), wire::JobState::failed);
    EXPECT_EQ(f.cluster->finished_job("wk-1")->errors->errors, 1u);
}

TEST(Retries, AssignmentShardKeepsAFailedAttemptUntilItsFailureIsRecorded) {
    RetryFleet f;
    f.up("n-1");
    f.add(f.job_with_retries(2));
    f.cluster->schedule_round(f.now);
    f.write();
    auto sent = f.run("n-1");
    ASSERT_EQ(sent.size(), 1u);
    TaskStatus failed{sent[0].attempt, TaskState::exited, Cause::error, false};
    f.cluster->on_heartbeat(f.heartbeat("n-1", {failed}), true, f.now);
    f.cluster->mark_machine_changed("n-1");
    auto writes = f.cluster->take_writes(1, 1 << 20, f.now, f.wall);
    EXPECT_EQ(Fleet::recorded(writes).at("n-1").size(), 1u);
}

TEST(Retries, GangFailureCountsOnceWhenSeveralOfItsTasksReportIt) {
    RetryFleet f;
    f.up("n-1");
    auto s = f.job_with_retries(1, 2);
    s.kind = wire::JobKind::gang;
    f.add(s);
    f.schedule_and_write();
    auto sent = f.run("n-1");
    ASSERT_EQ(sent.size(), 2u);
    std::vector<TaskStatus> both;
    for (auto& c : sent) both.push_back({c.attempt, TaskState::exited, Cause::error, false});
    f.cluster->on_heartbeat(f.heartbeat("n-1", both), true, f.now);
    auto* job = f.cluster->find_job("wk-1");
    EXPECT_EQ(job->error_count->errors, 1u);
    EXPECT_FALSE(job->failed);
    f.write();
    EXPECT_EQ(job->waiting.size(), 2u);
}

TEST(Retries, RetryLimitAndFailureCountsRoundTripThroughMessagesAndRecords) {
    Fleet f;
    auto s = f.spec("wk-7");
    s.retries = 4;
    auto body = wire::submission_json(s);
    EXPECT_EQ(std::get<wire::JobSpec>(wire::parse_submission(body)).retries, 4u);
    body["retries"] = "many";
    EXPECT_TRUE(std::holds_alternative<std::string>(wire::parse_submission(body)));
    wire::JobStatus status{"wk-7", wire::JobState::failed, 1, 0,
                           wire::ErrorCount{2, wire::Failure{"wk-7/0", "n-1", 9}}};
    auto parsed = wire::parse_status(wire::status_json(status));
    ASSERT_TRUE(parsed && parsed->errors && parsed->errors->last);
    EXPECT_EQ(parsed->errors->last->attempt, 9u);
    state::Progress p;
    p.errors[3] = {2, 77};
    auto read = state::parse_progress(state::to_json(p, 5), 5);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->errors, p.errors);
    EXPECT_FALSE(state::parse_progress(state::to_json(p, 5), 2));
}
