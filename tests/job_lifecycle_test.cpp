// How a job goes on over a change of leader, and how it ends: what is on record before anybody is told.
#include "support.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;

TEST(Failover, InheritedStartsWaitForThisLeadersToken) {
    Fleet f;
    f.restart(50);
    auto& job = f.add(f.spec("wk-1", 2));
    state::MachineRecord record;
    record.name = "n-1";
    record.address = "127.0.0.1:9", record.type = "small", record.zone = "a";
    record.attempts = {{{"wk-1", 0}, 7}, {{"wk-1", 1}, 8}};
    f.cluster->recover_machine(0, record, f.now, f.wall);
    f.up("n-2");
    f.place_all();
    EXPECT_TRUE(f.on("n-2").empty());
    // A report made before the worker saw the new token proves nothing about the old leader's pushes.
    f.cluster->on_heartbeat(f.heartbeat("n-1", {}, 49), true, f.now);
    EXPECT_EQ(job.placements.size(), 2u);
    Attempt zero{{"wk-1", 0}, 7};
    f.cluster->on_heartbeat(f.heartbeat("n-1", {{zero, TaskState::running, Cause::none, false}}, 50), false,
                            f.now);
    EXPECT_EQ(job.placements.size(), 1u);
    EXPECT_TRUE(job.waiting.contains(1));
    // Attempt numbers of different leaders never meet.
    f.place_all();
    for (auto& [index, list] : job.placements)
        for (auto& [name, number] : list) EXPECT_TRUE(index == 0 || number > (50ULL << 20));
}

// A worker may report tasks before the leader has heard of their job: they are running all the same.
TEST(Failover, TasksReportedBeforeTheirJobIsKnownAreNotStartedAgain) {
    Fleet f;
    Attempt zero{{"wk-1", 0}, 7};
    f.cluster->on_heartbeat(f.heartbeat("n-1", {{zero, TaskState::running, Cause::none, false}}), true,
                            f.now);
    f.up("n-2");
    auto& job = f.add(f.spec("wk-1", 2));
    f.place_all();
    EXPECT_EQ(job.placements.at(0).size(), 1u);
    for (auto& a : f.on("n-2")) EXPECT_NE(a.task.index, 0u);
    EXPECT_TRUE(job.waiting.empty());
}

TEST(Failover, ASilentMachineIsCountedFromTheAcquisition) {
    Fleet f;
    f.restart(50);
    f.add(f.spec("wk-1"));
    state::MachineRecord record;
    record.name = "n-1";
    record.attempts = {{{"wk-1", 0}, 7}};
    f.cluster->recover_machine(0, record, f.now, f.wall);
    EXPECT_GE(f.machine("n-1").lease_expiry(20, f.cluster->acquired()), f.now + 20s);
}

// Others may read a record that was sent from the moment on which it was sent, and without an answer for
// longer.
TEST(Finish, NothingIsToldFromMemoryWhileARecordThatChangesItMayBeReadByOthers) {
    Fleet f;
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1"));
    f.place_all();
    f.run("n-1");
    f.write();
    EXPECT_FALSE(job.write_outcome_unknown());
    f.cluster->cancel(job, f.now);
    EXPECT_FALSE(job.write_outcome_unknown()) << "nothing was sent yet";
    auto writes = f.cluster->take_writes(10, 1 << 20, f.now, f.wall);
    EXPECT_TRUE(job.write_outcome_unknown()) << "it is under way";
    f.cluster->write_failed(std::move(writes), false);
    EXPECT_FALSE(job.write_outcome_unknown()) << "it was refused";
    writes = f.cluster->take_writes(10, 1 << 20, f.now, f.wall);
    f.cluster->write_failed(std::move(writes), true);
    EXPECT_TRUE(job.write_outcome_unknown()) << "it may have been carried out";
    writes = f.cluster->take_writes(10, 1 << 20, f.now, f.wall);
    f.cluster->write_failed(std::move(writes), false);
    EXPECT_TRUE(job.write_outcome_unknown()) << "the one before still may have been";
    f.write();
    EXPECT_FALSE(job.write_outcome_unknown());
    EXPECT_EQ(job.job_state(), wire::JobState::cancelled);
}

TEST(Finish, ResultsAreOnRecordBeforeTheyAreToldOrReaped) {
    Fleet f;
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1"));
    f.place_all();
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
    auto commands = f.cluster->reply_commands(f.machine("n-1"), f.now);
    ASSERT_EQ(commands.size(), 1u);
    EXPECT_EQ(commands[0].verb, Verb::reap);
}

// With many running jobs their progress filled every transaction, and starts waited for the state service's
// rate.
TEST(Finish, ProgressDoesNotCrowdOutStartsButEndsAndCancellationsGo) {
    Fleet f;
    f.up("n-1");
    auto& half = f.add(f.spec("wk-1", 2));
    auto& whole = f.add(f.spec("wk-2"));
    auto& cancelled = f.add(f.spec("wk-3"));
    f.place_all();
    f.run("n-1");
    std::vector<TaskStatus> tasks;
    for (auto& a : f.on("n-1")) {
        bool ends = a.task.job == "wk-2" || (a.task.job == "wk-1" && a.task.index == 0);
        tasks.push_back(
            {a, ends ? TaskState::exited : TaskState::running, ends ? Cause::done : Cause::none, false});
    }
    f.cluster->on_heartbeat(f.heartbeat("n-1", tasks), true, f.now);
    f.cluster->cancel(cancelled, f.now);
    EXPECT_EQ(half.done.size(), 1u);
    EXPECT_TRUE(whole.finished());
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

TEST(Cancel, AgainstAStartThatWasNotSentYet) {
    Fleet f;
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1", 2));
    f.cluster->schedule_round(f.now);
    f.cluster->cancel(job, f.now);
    EXPECT_NE(job.job_state(), wire::JobState::cancelled) << "not before it is on record";
    f.write();
    EXPECT_EQ(job.job_state(), wire::JobState::cancelled);
    for (auto& c : f.cluster->push_commands(f.machine("n-1"), f.now)) EXPECT_NE(c.verb, Verb::launch);
    f.write();
    EXPECT_EQ(f.cluster->finished_job("wk-1")->state, wire::JobState::cancelled);
}

TEST(Cancel, AgainstALaunchInFlightAndAgainstDone) {
    Fleet f;
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1"));
    f.place_all();
    auto sent = f.cluster->push_commands(f.machine("n-1"), f.now);
    f.cluster->cancel(job, f.now);
    f.cluster->push_answered(f.machine("n-1"), sent, 10, true, false, f.now);
    auto a = sent.at(0).attempt;
    f.cluster->on_heartbeat(f.heartbeat("n-1", {{a, TaskState::running, Cause::none, false}}), false, f.now);
    auto commands = f.cluster->push_commands(f.machine("n-1"), f.now);
    ASSERT_EQ(commands.size(), 1u);
    EXPECT_EQ(commands[0].verb, Verb::kill);
    EXPECT_EQ(commands[0].grace_s, 0);
    // It may complete before the kill arrives: the job stays cancelled.
    f.cluster->on_heartbeat(f.heartbeat("n-1", {{a, TaskState::exited, Cause::done, false}}), true, f.now);
    f.write();
    f.write();
    EXPECT_EQ(f.cluster->finished_job("wk-1")->state, wire::JobState::cancelled);
}

TEST(Cancel, TasksOfNoKnownJobAreStopped) {
    Fleet f;
    Attempt a{{"wk-9", 0}, 3};
    f.cluster->on_heartbeat(f.heartbeat("n-1", {{a, TaskState::running, Cause::none, false}}), true, f.now);
    auto commands = f.cluster->reply_commands(f.machine("n-1"), f.now);
    ASSERT_EQ(commands.size(), 1u);
    EXPECT_EQ(commands[0].verb, Verb::kill);
}
