#include "cells/offload.hpp"

#include <random>

#include "cells/records.hpp"
#include "config/cells.hpp"
#include "support.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;
using namespace barrowrun::cells;

namespace {

const TimePoint t0 = TimePoint{} + 1000s;

Settings settings_of_east() {
    Settings settings;
    settings.self = "east";
    settings.peer_cells = {{"north", {"127.0.0.1:1"}}, {"west", {"127.0.0.1:2"}}};
    settings.teams["desk"] = {"east", {"west"}};
    settings.teams["home"] = {"east", {}};
    return settings;
}
CapacityDigest digest_of(std::uint32_t machines, double cpus = 4) {
    CapacityDigest digest;
    for (std::uint32_t i = 0; i < machines; ++i) digest.add({cpus, 0, 32});
    return digest;
}
OffloadCandidate job(const std::string& id, std::uint32_t waiting, const std::string& team = "desk") {
    return {id, team, wire::JobKind::array, {1, 0, 1}, waiting, 60s};
}

}  // namespace

TEST(OffloadPlanner, OffersTasksOnlyToPermittedCellsWithKnownFreeCapacity) {
    OffloadPlanner planner;
    EXPECT_TRUE(planner.plan_offers(settings_of_east(), {job("wk-1", 10)}, t0, 8).empty())
        << "no digest of another cell has arrived";
    planner.on_digest("north", digest_of(100), t0, t0);
    EXPECT_TRUE(planner.plan_offers(settings_of_east(), {job("wk-1", 10)}, t0, 8).empty())
        << "the team may not run in north";
    planner.on_digest("west", digest_of(2), t0, t0);
    auto out = planner.plan_offers(settings_of_east(),
                                   {job("wk-1", 5), job("wk-2", 10), job("wk-3", 9, "home")}, t0, 8);
    ASSERT_EQ(out.size(), 2u);
    EXPECT_EQ(out[0].tasks, 5u);
    EXPECT_EQ(out[0].to, "west");
    EXPECT_EQ(out[1].tasks, 3u) << "the offers together fill the free capacity";
    EXPECT_TRUE(planner.plan_offers(settings_of_east(), {job("wk-1", 5)}, t0 + 10s, 8).empty())
        << "the digest is too old";
    auto recent = job("wk-1", 5);
    recent.waited = 1s;
    EXPECT_TRUE(planner.plan_offers(settings_of_east(), {recent}, t0, 8).empty());
    auto full = digest_of(50);
    full.waiting = 1;
    planner.on_digest("west", full, t0, t0);
    EXPECT_TRUE(planner.plan_offers(settings_of_east(), {job("wk-1", 5)}, t0, 8).empty())
        << "tasks also wait in west";
}

// A digest may be seconds old and does not include offers that were sent since it was requested.
TEST(OffloadPlanner, SentOffersUseCapacityUntilADigestRequestedAfterTheirAnswerArrives) {
    OffloadPlanner planner;
    planner.on_digest("west", digest_of(2), t0, t0);
    planner.on_offer_sent("west", {1, 0, 1}, 8);
    EXPECT_TRUE(planner.plan_offers(settings_of_east(), {job("wk-2", 5)}, t0, 8).empty());
    planner.on_digest("west", digest_of(2), t0 + 1s, t0 + 1s);
    EXPECT_TRUE(planner.plan_offers(settings_of_east(), {job("wk-2", 5)}, t0 + 1s, 8).empty())
        << "the offer has not been answered yet";
    planner.on_offer_answered("west", t0 + 2s);
    planner.on_digest("west", digest_of(2), t0 + 1900ms, t0 + 2100ms);
    EXPECT_TRUE(planner.plan_offers(settings_of_east(), {job("wk-2", 5)}, t0 + 2100ms, 8).empty())
        << "the digest was requested before the offer was answered";
    planner.on_digest("west", digest_of(2), t0 + 2200ms, t0 + 2300ms);
    EXPECT_EQ(planner.plan_offers(settings_of_east(), {job("wk-2", 5)}, t0 + 2300ms, 8).size(), 1u);
    planner.on_offer_refused("west", t0 + 3s);
    planner.on_digest("west", digest_of(2), t0 + 4s, t0 + 4s);
    EXPECT_TRUE(planner.plan_offers(settings_of_east(), {job("wk-2", 5)}, t0 + 4s, 8).empty())
        << "west refused an offer a second ago";
}

TEST(CapacityDigest, NeverReportsMoreCapacityThanIsFree) {
    std::mt19937 random(7);
    for (int round = 0; round < 300; ++round) {
        CapacityDigest digest;
        std::vector<wire::Resources> machines;
        for (int i = 0; i < 60; ++i) {
            machines.push_back({static_cast<double>(random() % 33), 0, static_cast<double>(random() % 129)});
            digest.add(machines.back());
        }
        EXPECT_LE(digest.free_capacities.size(), CapacityDigest::max_entries);
        for (double cpus : {1.0, 3.0, 8.0}) {
            const wire::Resources need{cpus, 0, 2 * cpus};
            std::uint32_t really_fit = 0;
            for (auto free : machines)
                for (; need.fits(free); free -= need) ++really_fit;
            EXPECT_LE(digest.fits(need), really_fit);
            auto used = digest;
            used.take(need, 5);
            EXPECT_LE(used.fits(need) + std::min(5u, digest.fits(need)), digest.fits(need));
        }
        auto parsed = parse_capacity_digest(*wire::decode(wire::encode(to_json(digest))));
        ASSERT_TRUE(parsed);
        EXPECT_EQ(parsed->fits({1, 0, 1}), digest.fits({1, 0, 1}));
    }
    EXPECT_FALSE(parse_capacity_digest({{"holes", {{1, 2}}}, {"waiting", 0}}));
}

TEST(CellRecords, RoundTripThroughJsonAndMalformedOnesAreRefused) {
    Fleet f;
    StoredOrigin origin;
    origin.to = "west";
    origin.record.epoch = 3;
    origin.record.open = true;
    for (std::uint32_t i = 0; i < 400; i += 2) origin.record.tasks.insert(i);
    auto parsed_origin = parse_origin(to_json(origin));
    ASSERT_TRUE(parsed_origin);
    EXPECT_EQ(parsed_origin->record.tasks.ranges(), origin.record.tasks.ranges());
    EXPECT_EQ(parsed_origin->record.epoch, 3u);
    DelegationRequest request;
    request.from = "east", request.job = "wk-7", request.epoch = 2, request.accepted_ms = 5;
    request.spec = f.spec("wk-7", 10);
    request.tasks.insert_range(4, 10);
    auto parsed_request = parse_delegation_request(*wire::decode(wire::encode(to_json(request))));
    ASSERT_TRUE(parsed_request);
    EXPECT_EQ(parsed_request->tasks.size(), 6u);
    EXPECT_EQ(parsed_request->spec->tasks, 10u);
    request.tasks.insert_range(10, 11);
    EXPECT_FALSE(parse_delegation_request(to_json(request))) << "the job has only 10 tasks";
    request.spec.reset();
    EXPECT_TRUE(parse_delegation_request(to_json(request))) << "a request without a job is a recall";
    request.epoch = 0;
    EXPECT_FALSE(parse_delegation_request(to_json(request)));
    for (auto status : {DelegationReply::Status::undecided, DelegationReply::Status::executing,
                        DelegationReply::Status::closed}) {
        DelegationReply reply;
        reply.status = status, reply.epoch = 9;
        reply.done.insert(5);
        auto parsed_reply = parse_delegation_reply(to_json(reply));
        ASSERT_TRUE(parsed_reply);
        EXPECT_EQ(parsed_reply->status, status);
        EXPECT_EQ(parsed_reply->done.size(), 1u);
    }
    EXPECT_FALSE(parse_executor(wire::Json::object()));
}

TEST(CellSettings, ErrorsNameTheOffendingSetting) {
    auto error_of = [](const std::string& text, const std::set<std::string>& limited = {}) {
        try {
            config::parse_cells(wire::Json::parse(text), limited);
        } catch (const config::ConfigError& e) {
            return std::string(e.what());
        }
        return std::string();
    };
    const std::string good =
        R"({"self":"east","neighbours":{"west":{"nodes":["127.0.0.1:1"]}},"teams":{"desk":{"home":"east","run_in":["west"]}}})";
    EXPECT_EQ(error_of(good), "");
    EXPECT_NE(error_of(good, {"desk"}).find("teams.desk.run_in"), std::string::npos);
    EXPECT_NE(error_of(R"({"self":"east","neighbours":{"east":{"nodes":["x"]}},"teams":{}})")
                  .find("neighbours.east"),
              std::string::npos);
    EXPECT_NE(error_of(R"({"self":"east","neighbours":{},"teams":{"desk":{"home":"north"}}})")
                  .find("teams.desk.home"),
              std::string::npos);
    EXPECT_NE(error_of(R"({"self":"east","neighbours":{},"teams":{},"spil_after_s":3})").find("spil_after_s"),
              std::string::npos);
    EXPECT_NE(
        error_of(R"({"self":"east","neighbours":{},"teams":{},"return_after_s":{"batch":0}})").find("batch"),
        std::string::npos);
    auto given = config::parse_cells(
        wire::Json::parse(R"({"self":"east","neighbours":{},"teams":{},"return_after_s":{"batch":90.5}})"),
        {});
    EXPECT_EQ(given.return_after.at("batch"), 90'500ms);
}

// The deadline of a shard must survive restarts and the way between cells; a request with a malformed
// deadline is refused.
TEST(DelegationDeadline, IsStoredAndSentAndRefusedIfMalformed) {
    const auto job_of_two = Fleet().spec("wk-1", 2);
    const DayTime deadline{1'790'000'000'123ms};
    IndexSet tasks;
    tasks.insert(1);
    StoredOrigin stored_origin{"west", {3, true, tasks, deadline}};
    ASSERT_TRUE(parse_origin(to_json(stored_origin)));
    EXPECT_EQ(parse_origin(to_json(stored_origin))->record.deadline, deadline);
    DelegationRequest request{"east", "wk-1", 3, job_of_two, tasks, 5, deadline};
    ASSERT_TRUE(parse_delegation_request(to_json(request)));
    EXPECT_EQ(parse_delegation_request(to_json(request))->deadline, deadline);
    StoredExecutor stored_executor;
    stored_executor.owner = "east", stored_executor.spec = job_of_two, stored_executor.accepted_ms = 5;
    stored_executor.record.epoch = 3, stored_executor.record.executing = true;
    stored_executor.record.tasks = tasks, stored_executor.record.deadline = deadline;
    ASSERT_TRUE(parse_executor(to_json(stored_executor)));
    EXPECT_EQ(parse_executor(to_json(stored_executor))->record.deadline, deadline);
    auto malformed = to_json(request);
    malformed["until"] = -1;
    EXPECT_FALSE(parse_delegation_request(malformed));
    auto without_deadline = request;
    without_deadline.deadline.reset();
    EXPECT_FALSE(parse_delegation_request(to_json(without_deadline))->deadline);
}

// The executor starts only the tasks of the shard, keeps finished tasks on the worker until their results are
// recorded, and writes none of the job's own records.
TEST(DelegatedShard, ExecutorRunsOnlyTasksOfTheShardAndWritesNoRecordsOfTheJob) {
    Fleet f;
    f.up("n-1");
    cells::IndexSet shard;
    shard.insert_range(2, 4);
    f.cluster->add_delegated_shard({f.spec("wk-1", 10), 5}, shard, {}, f.now, f.wall);
    f.schedule_and_write();
    f.run("n-1");
    std::set<std::uint32_t> started;
    for (auto& a : f.on("n-1")) started.insert(a.task.index);
    EXPECT_EQ(started, (std::set<std::uint32_t>{2, 3}));
    f.cluster->take_changed_delegated_shards();
    std::vector<TaskStatus> ended;
    for (auto& a : f.on("n-1")) ended.push_back({a, TaskState::exited, Cause::done, false});
    f.cluster->on_heartbeat(f.heartbeat("n-1", ended), true, f.now);
    EXPECT_EQ(f.cluster->take_changed_delegated_shards().size(), 1u);
    for (auto& w : f.write()) EXPECT_TRUE(state::parse_assignment_shard_key(w.key)) << w.key;
    auto count_reap_commands = [&] {
        int count = 0;
        for (auto& command : f.cluster->push_commands(f.machine("n-1"), f.now))
            count += command.verb == Verb::reap;
        return count;
    };
    EXPECT_EQ(count_reap_commands(), 0);
    auto& job = *f.cluster->find_job("wk-1");
    f.cluster->delegated_results_recorded(job, shard);
    f.refresh_fencing_token();
    EXPECT_EQ(count_reap_commands(), 2);
    f.cluster->drop_delegated_shard(job);
    EXPECT_EQ(f.cluster->find_job("wk-1"), nullptr);
    EXPECT_EQ(f.cluster->queue().waiting(), 0u);
}

TEST(DelegatedShard, OriginDoesNotStartDelegatedTasksAndKeepsTheJobOpen) {
    Fleet f;
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1", 10));
    auto delegated = f.cluster->delegate(job, 7);
    EXPECT_EQ(delegated.size(), 7u);
    EXPECT_TRUE(delegated.contains(9));
    f.schedule_and_write();
    f.run("n-1");
    EXPECT_EQ(f.on("n-1").size(), 3u);
    std::vector<TaskStatus> ended;
    for (auto& a : f.on("n-1")) ended.push_back({a, TaskState::exited, Cause::done, false});
    f.cluster->on_heartbeat(f.heartbeat("n-1", ended), true, f.now);
    f.write();
    EXPECT_EQ(job.job_state(), wire::JobState::running);
    // The job does not finish before the shard is closed, even if all its tasks are done.
    for (std::uint32_t i = 3; i < 10; ++i) f.cluster->finish_delegated(job, i);
    f.write();
    ASSERT_NE(f.cluster->find_job("wk-1"), nullptr);
    f.cluster->reclaim_delegated(job, delegated, delegated);
    f.write();
    EXPECT_EQ(f.cluster->find_job("wk-1"), nullptr);
    EXPECT_EQ(f.cluster->finished_job("wk-1")->state, wire::JobState::done);
}

TEST(DelegatedShard, UnfinishedTasksOfAReclaimedShardWaitAgainUnlessTheJobIsCancelled) {
    Fleet f;
    auto& job = f.add(f.spec("wk-1", 10));
    auto delegated = f.cluster->delegate(job, 4);
    cells::IndexSet done;
    done.insert(9);
    f.cluster->reclaim_delegated(job, delegated, done);
    EXPECT_EQ(job.waiting.size(), 9u);
    EXPECT_TRUE(job.done.contains(9));
    // Tasks of a job that was cancelled in the meantime don't wait again.
    delegated = f.cluster->delegate(job, 4);
    f.cluster->cancel(job, f.now);
    f.write();
    ASSERT_NE(f.cluster->find_job("wk-1"), nullptr) << "a shard of the job is still delegated";
    f.cluster->reclaim_delegated(job, delegated, {});
    EXPECT_TRUE(job.waiting.empty());
    f.write();
    EXPECT_EQ(f.cluster->find_job("wk-1"), nullptr);
}
