#include <random>

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

TEST(Preemption, ProductionTakesRoomFromLowerWorkButNeverFromItsOwnLevel) {
    Fleet f;
    f.up("n-1");
    auto batch = f.spec("wk-1", 4);
    f.add(batch);
    f.place_all();
    f.run("n-1");
    auto same = f.spec("wk-2");
    f.add(same);
    f.place_all();
    EXPECT_TRUE(f.cluster->push_commands(f.machine("n-1"), f.now).empty());
    auto service = f.spec("wk-3");
    service.kind = JobKind::service;
    service.priority = Priority::production;
    f.add(service);
    f.place_all();
    auto kills = f.cluster->push_commands(f.machine("n-1"), f.now);
    ASSERT_EQ(kills.size(), 1u);
    EXPECT_EQ(kills[0].attempt.task.job, "wk-1");
    // While the room is being made, no further victim is picked.
    f.place_all();
    int stopped = 0;
    for (auto& [a, e] : f.machine("n-1").assignments) stopped += e.stop_requested;
    EXPECT_EQ(stopped, 1);
}

TEST(Errors, AJobThatFailsEverywhereBacksOffAndKeepsTheMachines) {
    Fleet f;
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1"));
    TimePoint last_retry{};
    for (int i = 0; i < 4; ++i) {
        f.now = std::max(f.now, job.retry_at);
        f.cluster->on_heartbeat(f.heartbeat("n-1"), true, f.now);
        f.place_all();
        auto list = f.on("n-1");
        ASSERT_EQ(list.size(), 1u) << i;
        f.run("n-1");
        f.cluster->on_heartbeat(f.heartbeat("n-1", {{list[0], TaskState::exited, Cause::error, false}}), true,
                                f.now);
        EXPECT_GT(job.retry_at - f.now, i > 0 ? last_retry - TimePoint{} : 0s);
        last_retry = TimePoint{} + (job.retry_at - f.now);
        f.cluster->on_heartbeat(f.heartbeat("n-1"), true, f.now);
    }
}

namespace {
// One step of a small fleet: all that is sent starts at once; it fails on faulty machines and of faulty jobs,
// else arrays end.
int step(Fleet& f, const std::set<std::string>& faulty, const std::set<std::string>& bad,
         std::mt19937& random, std::map<std::string, int>& failures) {
    f.now += 1s;
    f.place_all();
    int sent = 0;
    std::vector<std::string> names;
    for (auto& [name, m] : f.cluster->machines()) names.push_back(name);
    std::shuffle(names.begin(), names.end(), random);
    for (auto& name : names) {
        sent += static_cast<int>(f.run(name).size());
        std::vector<TaskStatus> tasks;
        for (auto& [a, e] : f.machine(name).assignments) {
            if (e.exited()) continue;
            bool fails = bad.contains(a.task.job) || (faulty.contains(name) && f.now - e.placed_at < 5s);
            bool ends = f.cluster->find_job(a.task.job)->spec.kind == wire::JobKind::array &&
                        f.now - e.placed_at > 3s;
            if (fails) ++failures[a.task.job];
            tasks.push_back({a, fails || ends ? TaskState::exited : TaskState::running,
                             fails  ? Cause::error
                             : ends ? Cause::done
                                    : Cause::none,
                             false});
        }
        f.cluster->on_heartbeat(f.heartbeat(name, tasks), true, f.now);
        std::erase_if(tasks, [](auto& t) { return t.state == TaskState::exited; });  // these are reaped
        f.cluster->on_heartbeat(f.heartbeat(name, tasks), true, f.now);
    }
    f.cluster->tick(f.now);
    return sent;
}
}  // namespace

// Seeded: many faulty machines, a faulty job, and both together.
TEST(Errors, FaultyMachinesAndFaultyJobsAreToldApart) {
    for (unsigned seed = 1; seed <= 5; ++seed)
        for (int kind = 0; kind < 3; ++kind) {
            std::mt19937 random(seed);
            Fleet f(without_leases());
            std::set<std::string> faulty, bad;
            for (int i = 0; i < 40; ++i) {
                auto name = "n-" + std::to_string(100 + i);
                f.up(name);
                if (kind != 1 && i % 3 == 0) faulty.insert(name);
            }
            if (kind > 0) {
                bad.insert("wk-9");
                f.add(f.spec("wk-9", 10, 4));
            }
            auto& good = f.add(f.spec("wk-1", 200, 4));
            std::map<std::string, int> failures;
            int steps = 0;
            while (!good.finished() && steps < 80) step(f, faulty, bad, random, failures), ++steps;
            EXPECT_TRUE(good.finished()) << "seed " << seed << ", kind " << kind;
            EXPECT_LE(failures["wk-1"], 80) << "a few trials a machine";
            for (int i = 0; i < 60; ++i) step(f, faulty, bad, random, failures);
            EXPECT_LE(failures["wk-9"], 200) << "ten tasks a try, tries up to 30 s apart";
            std::size_t given_up = 0;
            for (auto& [name, m] : f.cluster->machines())
                if (m->quarantined_since && !faulty.contains(name)) ++given_up;
            EXPECT_LE(given_up, 3u) << "a faulty job does not cost the fleet";
        }
}

TEST(Errors, AJobThatFailsEverywhereKeepsNoReplicaOffTheMachines) {
    Fleet f;
    std::mt19937 random(1);
    std::map<std::string, int> failures;
    for (auto* name : {"n-1", "n-2", "n-3"}) f.up(name);
    f.add(f.spec("wk-1", 3, 4));
    for (int i = 0; i < 3; ++i) step(f, {}, {"wk-1"}, random, failures);
    ASSERT_GE(failures["wk-1"], 3);
    auto service = f.spec("wk-2", 3);
    service.kind = wire::JobKind::service;
    service.priority = Priority::production;
    auto& job = f.add(service);
    f.place_all();
    EXPECT_EQ(job.placements.size(), 3u);
}

TEST(Drain, ANoticedMachineGetsNothingNewAndSavesWhatCanBeSaved) {
    Fleet f;
    f.up("n-1", "a", "small", true);
    auto s = f.spec("wk-1");
    s.spot_ok = true;
    s.checkpoint_s = 15;
    s.save_s = 5;
    f.add(s);
    f.place_all();
    f.run("n-1");
    auto r = f.heartbeat("n-1", {{f.on("n-1").at(0), TaskState::running, Cause::none, false}});
    r.notice_s = 12;
    f.cluster->on_heartbeat(r, true, f.now);
    f.cluster->tick(f.now);
    auto commands = f.cluster->push_commands(f.machine("n-1"), f.now);
    ASSERT_EQ(commands.size(), 1u);
    EXPECT_EQ(commands[0].verb, Verb::kill);
    EXPECT_GE(commands[0].grace_s, 5);
    f.add(f.spec("wk-2"));
    f.place_all();
    EXPECT_EQ(f.on("n-1").size(), 1u);
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

// A fetch can take longer than a service may wait: lower work yields where the image already is.
TEST(Preemption, AServiceWithLittleTimeGoesWhereItsImageIs) {
    placement::Config rules;
    rules.teams["crew"] = {};
    rules.objectives = {{"wait", "web", 1.0, 1}};
    Fleet f(rules);
    f.up("n-1").use_image("web-img", 1);
    f.add(f.spec("wk-1", 4));
    f.place_all();
    f.run("n-1");
    f.up("n-2");  // free, but without the image
    auto s = f.spec("wk-2");
    s.job_class = "web";
    s.image = "web-img";
    s.kind = JobKind::service;
    s.priority = Priority::production;
    f.add(s);
    f.place_all();
    EXPECT_TRUE(f.on("n-2").empty());
    EXPECT_EQ(f.cluster->push_commands(f.machine("n-1"), f.now).size(), 1u);
    f.now += 2s;  // too late for that: any room will do
    f.up("n-2");
    f.place_all();
    EXPECT_EQ(f.on("n-2").size(), 1u);
}

// Saving takes longer than a replica may be away: the victim is not given the time.
TEST(Preemption, VictimsSaveOnlyIfNoReplicaWaitsForIt) {
    for (double aim : {1.0, 60.0}) {
        placement::Config rules;
        rules.teams["crew"] = {};
        rules.objectives = {{"wait", "web", aim, 1}};
        Fleet f(rules);
        f.up("n-1");
        auto batch = f.spec("wk-1", 1, 4);
        batch.checkpoint_s = 15;
        batch.save_s = 5;
        f.add(batch);
        f.place_all();
        f.run("n-1");
        auto s = f.spec("wk-2");
        s.job_class = "web";
        s.kind = JobKind::service;
        s.priority = Priority::production;
        f.add(s);
        f.place_all();
        auto kills = f.cluster->push_commands(f.machine("n-1"), f.now);
        ASSERT_EQ(kills.size(), 1u);
        EXPECT_EQ(kills[0].grace_s >= 5, aim > 10) << aim;
    }
}
