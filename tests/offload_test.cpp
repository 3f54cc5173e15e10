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

Settings two() {
    Settings s;
    s.self = "east";
    s.peer_cells = {{"north", {"127.0.0.1:1"}}, {"west", {"127.0.0.1:2"}}};
    s.teams["desk"] = {"east", {"west"}};
    s.teams["home"] = {"east", {}};
    return s;
}
CapacityDigest room(std::uint32_t machines, double cpus = 4) {
    CapacityDigest d;
    for (std::uint32_t i = 0; i < machines; ++i) d.add({cpus, 0, 32});
    return d;
}
OffloadCandidate job(const std::string& id, std::uint32_t waiting, const std::string& team = "desk") {
    return {id, team, wire::JobKind::array, {1, 0, 1}, waiting, 60s};
}

}  // namespace

TEST(Offload, GoesWhereTheTeamMayAndRoomIsKnown) {
    OffloadPlanner s;
    EXPECT_TRUE(s.choose(two(), {job("wk-1", 10)}, t0, 8).empty()) << "nothing is known of the others";
    s.on_digest("north", room(100), t0, t0);
    EXPECT_TRUE(s.choose(two(), {job("wk-1", 10)}, t0, 8).empty()) << "its team may not run there";
    s.on_digest("west", room(2), t0, t0);
    auto out = s.choose(two(), {job("wk-1", 5), job("wk-2", 10), job("wk-3", 9, "home")}, t0, 8);
    ASSERT_EQ(out.size(), 2u);
    EXPECT_EQ(out[0].tasks, 5u);
    EXPECT_EQ(out[0].to, "west");
    EXPECT_EQ(out[1].tasks, 3u) << "no more than fits in all";
    EXPECT_TRUE(s.choose(two(), {job("wk-1", 5)}, t0 + 10s, 8).empty()) << "an old view says nothing";
    auto young = job("wk-1", 5);
    young.waited = 1s;
    EXPECT_TRUE(s.choose(two(), {young}, t0, 8).empty());
    auto full = room(50);
    full.waiting = 1;
    s.on_digest("west", full, t0, t0);
    EXPECT_TRUE(s.choose(two(), {job("wk-1", 5)}, t0, 8).empty()) << "work waits there, too";
}

// The view is old by seconds: what was sent since is not in it.
TEST(Offload, WhatWasSentCountsUntilADigestKnowsOfIt) {
    OffloadPlanner s;
    s.on_digest("west", room(2), t0, t0);
    s.on_offer_sent("west", {1, 0, 1}, 8);
    EXPECT_TRUE(s.choose(two(), {job("wk-2", 5)}, t0, 8).empty());
    s.on_digest("west", room(2), t0 + 1s, t0 + 1s);
    EXPECT_TRUE(s.choose(two(), {job("wk-2", 5)}, t0 + 1s, 8).empty()) << "the part is not answered yet";
    s.on_offer_answered("west", t0 + 2s);
    s.on_digest("west", room(2), t0 + 1900ms, t0 + 2100ms);
    EXPECT_TRUE(s.choose(two(), {job("wk-2", 5)}, t0 + 2100ms, 8).empty()) << "asked before that";
    s.on_digest("west", room(2), t0 + 2200ms, t0 + 2300ms);
    EXPECT_EQ(s.choose(two(), {job("wk-2", 5)}, t0 + 2300ms, 8).size(), 1u);
    s.on_offer_refused("west", t0 + 3s);
    s.on_digest("west", room(2), t0 + 4s, t0 + 4s);
    EXPECT_TRUE(s.choose(two(), {job("wk-2", 5)}, t0 + 4s, 8).empty()) << "it refused a moment ago";
}

TEST(Offload, ADigestNeverPromisesMoreThanThereIs) {
    std::mt19937 random(7);
    for (int turn = 0; turn < 300; ++turn) {
        CapacityDigest d;
        std::vector<wire::Resources> machines;
        for (int i = 0; i < 60; ++i) {
            machines.push_back({static_cast<double>(random() % 33), 0, static_cast<double>(random() % 129)});
            d.add(machines.back());
        }
        EXPECT_LE(d.free_capacities.size(), CapacityDigest::max_entries);
        for (double cpus : {1.0, 3.0, 8.0}) {
            const wire::Resources need{cpus, 0, 2 * cpus};
            std::uint32_t fits = 0;
            for (auto m : machines)
                for (; need.fits(m); m -= need) ++fits;
            EXPECT_LE(d.fits(need), fits);
            auto used = d;
            used.take(need, 5);
            EXPECT_LE(used.fits(need) + std::min(5u, d.fits(need)), d.fits(need));
        }
        auto again = parse_capacity_digest(*wire::decode(wire::encode(to_json(d))));
        ASSERT_TRUE(again);
        EXPECT_EQ(again->fits({1, 0, 1}), d.fits({1, 0, 1}));
    }
    EXPECT_FALSE(parse_capacity_digest({{"holes", {{1, 2}}}, {"waiting", 0}}));
}

TEST(CellRecords, AreReadAsTheyWereWritten) {
    Fleet f;
    StoredOrigin l;
    l.to = "west";
    l.record.epoch = 3;
    l.record.open = true;
    for (std::uint32_t i = 0; i < 400; i += 2) l.record.tasks.insert(i);
    auto lent = parse_origin(to_json(l));
    ASSERT_TRUE(lent);
    EXPECT_EQ(lent->record.tasks.ranges(), l.record.tasks.ranges());
    EXPECT_EQ(lent->record.epoch, 3u);
    DelegationRequest r;
    r.from = "east", r.job = "wk-7", r.epoch = 2, r.accepted_ms = 5;
    r.spec = f.spec("wk-7", 10);
    r.tasks.insert_range(4, 10);
    auto request = parse_delegation_request(*wire::decode(wire::encode(to_json(r))));
    ASSERT_TRUE(request);
    EXPECT_EQ(request->tasks.size(), 6u);
    EXPECT_EQ(request->spec->tasks, 10u);
    r.tasks.insert_range(10, 11);
    EXPECT_FALSE(parse_delegation_request(to_json(r))) << "a task that the job doesn't have";
    r.spec.reset();
    EXPECT_TRUE(parse_delegation_request(to_json(r))) << "a recall";
    r.epoch = 0;
    EXPECT_FALSE(parse_delegation_request(to_json(r)));
    for (auto status : {DelegationReply::Status::undecided, DelegationReply::Status::executing,
                        DelegationReply::Status::closed}) {
        DelegationReply a;
        a.status = status, a.epoch = 9;
        a.done.insert(5);
        auto answer = parse_delegation_reply(to_json(a));
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, status);
        EXPECT_EQ(answer->done.size(), 1u);
    }
    EXPECT_FALSE(parse_executor(wire::Json::object()));
}

TEST(CellSettings, FaultsAreNamedByPlace) {
    auto fault = [](const std::string& text, const std::set<std::string>& limited = {}) {
        try {
            config::parse_cells(wire::Json::parse(text), limited);
        } catch (const config::ConfigError& e) {
            return std::string(e.what());
        }
        return std::string();
    };
    const std::string good =
        R"({"self":"east","neighbours":{"west":{"nodes":["127.0.0.1:1"]}},"teams":{"desk":{"home":"east","run_in":["west"]}}})";
    EXPECT_EQ(fault(good), "");
    EXPECT_NE(fault(good, {"desk"}).find("teams.desk.run_in"), std::string::npos);
    EXPECT_NE(
        fault(R"({"self":"east","neighbours":{"east":{"nodes":["x"]}},"teams":{}})").find("neighbours.east"),
        std::string::npos);
    EXPECT_NE(
        fault(R"({"self":"east","neighbours":{},"teams":{"desk":{"home":"north"}}})").find("teams.desk.home"),
        std::string::npos);
    EXPECT_NE(fault(R"({"self":"east","neighbours":{},"teams":{},"spil_after_s":3})").find("spil_after_s"),
              std::string::npos);
    EXPECT_NE(
        fault(R"({"self":"east","neighbours":{},"teams":{},"return_after_s":{"batch":0}})").find("batch"),
        std::string::npos);
    auto given = config::parse_cells(
        wire::Json::parse(R"({"self":"east","neighbours":{},"teams":{},"return_after_s":{"batch":90.5}})"),
        {});
    EXPECT_EQ(given.return_after.at("batch"), 90'500ms);
}

// The end of a shard outlives processes and ways between cells, and one that is no moment is no part.
TEST(Parts, TheirEndsAreOnRecordAndSent) {
    const auto job_of_two = Fleet().spec("wk-1", 2);
    const DayTime end{1'790'000'000'123ms};
    IndexSet tasks;
    tasks.insert(1);
    StoredOrigin lent{"west", {3, true, tasks, end}};
    ASSERT_TRUE(parse_origin(to_json(lent)));
    EXPECT_EQ(parse_origin(to_json(lent))->record.deadline, end);
    DelegationRequest request{"east", "wk-1", 3, job_of_two, tasks, 5, end};
    ASSERT_TRUE(parse_delegation_request(to_json(request)));
    EXPECT_EQ(parse_delegation_request(to_json(request))->deadline, end);
    StoredExecutor held;
    held.owner = "east", held.spec = job_of_two, held.accepted_ms = 5;
    held.record.epoch = 3, held.record.executing = true;
    held.record.tasks = tasks, held.record.deadline = end;
    ASSERT_TRUE(parse_executor(to_json(held)));
    EXPECT_EQ(parse_executor(to_json(held))->record.deadline, end);
    auto bad = to_json(request);
    bad["until"] = -1;
    EXPECT_FALSE(parse_delegation_request(bad));
    auto without = request;
    without.deadline.reset();
    EXPECT_FALSE(parse_delegation_request(to_json(without))->deadline);
}

// A part at the executor: only its tasks are started, what is done stays with the worker until it is on
// record, and nothing of the job's records is written there.
TEST(Borrowed, OnlyThePartRunsAndItsRecordsAreNotThisCellsOwn) {
    Fleet f;
    f.up("n-1");
    cells::IndexSet part;
    part.insert_range(2, 4);
    f.cluster->add_delegated_shard({f.spec("wk-1", 10), 5}, part, {}, f.now, f.wall);
    f.place_all();
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
    auto reaps = [&] {
        int n = 0;
        for (auto& c : f.cluster->push_commands(f.machine("n-1"), f.now)) n += c.verb == Verb::reap;
        return n;
    };
    EXPECT_EQ(reaps(), 0);
    auto& job = *f.cluster->find_job("wk-1");
    f.cluster->delegated_results_recorded(job, part);
    EXPECT_EQ(reaps(), 2);
    f.cluster->drop_delegated_shard(job);
    EXPECT_EQ(f.cluster->find_job("wk-1"), nullptr);
    EXPECT_EQ(f.cluster->queue().waiting(), 0u);
}

TEST(StoredOrigin, TasksThatAreAwayAreNotStartedAndKeepTheJobOpen) {
    Fleet f;
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1", 10));
    auto away = f.cluster->delegate(job, 7);
    EXPECT_EQ(away.size(), 7u);
    EXPECT_TRUE(away.contains(9));
    f.place_all();
    f.run("n-1");
    EXPECT_EQ(f.on("n-1").size(), 3u);
    std::vector<TaskStatus> ended;
    for (auto& a : f.on("n-1")) ended.push_back({a, TaskState::exited, Cause::done, false});
    f.cluster->on_heartbeat(f.heartbeat("n-1", ended), true, f.now);
    f.write();
    EXPECT_EQ(job.job_state(), wire::JobState::running);
    // All of it is done, and not over before the shard is closed.
    for (std::uint32_t i = 3; i < 10; ++i) f.cluster->finish_delegated(job, i);
    f.write();
    ASSERT_NE(f.cluster->find_job("wk-1"), nullptr);
    f.cluster->reclaim_delegated(job, away, away);
    f.write();
    EXPECT_EQ(f.cluster->find_job("wk-1"), nullptr);
    EXPECT_EQ(f.cluster->finished_job("wk-1")->state, wire::JobState::done);
}

TEST(StoredOrigin, WhatComesBackUndoneWaitsAgain) {
    Fleet f;
    auto& job = f.add(f.spec("wk-1", 10));
    auto away = f.cluster->delegate(job, 4);
    cells::IndexSet done;
    done.insert(9);
    f.cluster->reclaim_delegated(job, away, done);
    EXPECT_EQ(job.waiting.size(), 9u);
    EXPECT_TRUE(job.done.contains(9));
    // Not of a job that is cancelled meanwhile.
    away = f.cluster->delegate(job, 4);
    f.cluster->cancel(job, f.now);
    f.write();
    ASSERT_NE(f.cluster->find_job("wk-1"), nullptr) << "its part is still out";
    f.cluster->reclaim_delegated(job, away, {});
    EXPECT_TRUE(job.waiting.empty());
    f.write();
    EXPECT_EQ(f.cluster->find_job("wk-1"), nullptr);
}
