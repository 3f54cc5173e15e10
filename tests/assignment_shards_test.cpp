// Recorded starts: few changes for many machines, and nothing lost whatever write a crash falls behind.
#include <random>

#include "support.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;
using fleet::AssignmentShards;
using wire::Priority;

namespace {

placement::Config tight() {
    placement::Config r;
    r.txn_ops = 20, r.value_bytes = 16 * 1024;
    return r;
}

struct Count {
    std::size_t transactions = 0, changes = 0, largest = 0;
};

// All that waits, as the leader writes it, with what the state service would hold afterwards.
Count write_all(Fleet& f, std::map<std::string, wire::Json>* kept = nullptr) {
    Count c;
    while (f.cluster->has_writes()) {
        auto writes = f.cluster->take_writes(f.rules.txn_ops, 48 * 1024, f.now, f.wall);
        if (writes.empty()) break;
        ++c.transactions;
        c.changes += writes.size();
        for (auto& w : writes) {
            if (w.value) c.largest = std::max(c.largest, w.value->dump().size());
            if (kept && w.value) (*kept)[w.key] = *w.value;
            if (w.durable) w.durable();
        }
    }
    return c;
}

std::string name_of(int i) {
    return "n-" + std::to_string(100000 + i);
}

}  // namespace

TEST(AssignmentShards, AnArrayOnHundredsOfMachinesCostsAFewChanges) {
    Fleet f(tight());
    for (int i = 0; i < 600; ++i) f.up(name_of(i));
    write_all(f);
    f.add(f.spec("wk-1", 350, 4));
    f.cluster->schedule_round(f.now);
    EXPECT_TRUE(f.cluster->has_urgent_writes());
    auto array = write_all(f);
    EXPECT_LE(array.changes, 20u);
    EXPECT_LE(array.transactions, 3u);
    EXPECT_LT(array.largest, 16 * 1024u);
    // A wave of dead machines, and all others settling at once: nothing of that is pressing.
    std::vector<std::string> ran;
    for (int i = 0; i < 600; ++i) {
        if (!f.on(name_of(i)).empty()) ran.push_back(name_of(i));
        f.run(name_of(i));
    }
    ASSERT_EQ(ran.size(), 350u);
    EXPECT_FALSE(f.cluster->has_urgent_writes());
    for (int i = 0; i < 60; ++i) f.cluster->machine_gone(ran[static_cast<std::size_t>(i)], "returned", f.now);
    EXPECT_FALSE(f.cluster->has_urgent_writes());
    EXPECT_LE(write_all(f).changes, 20u);
}

TEST(AssignmentShards, AServicesStartOvertakesAWaitingArray) {
    Fleet f(tight());
    for (int i = 0; i < 400; ++i) f.up(name_of(i));
    write_all(f);
    f.add(f.spec("wk-1", 350, 4));
    f.cluster->schedule_round(f.now);
    auto service = f.spec("wk-2", 1, 4);
    service.kind = wire::JobKind::service;
    service.priority = Priority::production;
    f.add(service);
    f.cluster->schedule_round(f.now);
    auto writes = f.cluster->take_writes(1, 48 * 1024, f.now, f.wall);
    bool first = false;
    for (auto& [machine, attempts] : Fleet::recorded(writes))
        for (auto& a : attempts) first |= a.task.job == "wk-2";
    EXPECT_TRUE(first);
}

TEST(AssignmentShards, OneThatGrewTooLargeIsWrittenOnlyAfterWhatItGaveAway) {
    AssignmentShards s(1000);
    for (int i = 0; i < 3; ++i) s.add_start(name_of(i), {Priority::normal, {}});
    ASSERT_EQ(s.due(false).size(), 1u);
    EXPECT_FALSE(s.record_size(0, 1200));
    EXPECT_EQ(s.due(false), std::vector<AssignmentShards::ShardId>{1}) << "the part that moved goes first";
    s.on_write_sent(1);
    EXPECT_TRUE(s.due(true).empty());
    s.on_write_failed(1);
    EXPECT_EQ(s.due(false), std::vector<AssignmentShards::ShardId>{1});
    s.on_write_sent(1);
    s.on_write_durable(1);
    EXPECT_EQ(s.due(false), std::vector<AssignmentShards::ShardId>{0});
    EXPECT_EQ(s.machines(0).size() + s.machines(1).size(), 3u);
}

// Random histories with a crash between any two writes: what was sent to a machine and may be there is on
// record, so a successor believes it.
TEST(AssignmentShards, ASuccessorBelievesEveryStartThatMayBeOnAMachine) {
    std::size_t shards = 0, crashes = 0;
    for (unsigned seed = 1; seed <= 30; ++seed) {
        std::mt19937 random(seed);
        auto any = [&](int n) { return std::uniform_int_distribution<int>(0, n - 1)(random); };
        placement::Config rules;
        rules.value_bytes = 1000;  // three machines a sheet, which split as their places fill
        Fleet f(rules);
        std::map<std::string, wire::Json> kept;
        std::map<std::string, std::set<std::string>> there;  // by machine: tasks that it was sent
        std::uint64_t fencing_token = 1'000'000'000;
        f.restart(fencing_token);
        int jobs = 0;
        for (int step = 0; step < 120; ++step) {
            f.now += 100ms;
            auto some = name_of(any(25));
            switch (any(6)) {
                case 0: {
                    auto heartbeat = f.heartbeat(some, {}, fencing_token, "a", "card");
                    for (auto& t : there[some]) {
                        auto slash = t.find('#');
                        heartbeat.tasks.push_back(
                            {{*wire::TaskId::parse(t.substr(0, slash)), std::stoull(t.substr(slash + 1))},
                             TaskState::running,
                             Cause::none,
                             false});
                    }
                    f.cluster->on_heartbeat(heartbeat, true, f.now);
                    break;
                }
                case 1: {
                    auto spec = f.spec("wk-" + std::to_string(100'000'000'000'000L + ++jobs),
                                       static_cast<std::uint32_t>(1 + any(30)));
                    spec.need.gpus = 0.01;
                    f.add(spec);
                    break;
                }
                case 2:
                    if (f.cluster->find_machine(some)) {
                        f.cluster->machine_gone(some, "returned", f.now);
                        there.erase(some);
                    }
                    break;
                case 3: {
                    ++crashes;
                    // A crash: the successor knows the records and the jobs only.
                    std::vector<wire::JobSpec> specs;
                    for (auto& [id, job] : f.cluster->jobs()) specs.push_back(job->spec);
                    f.restart(fencing_token += 10);
                    for (auto& s : specs) f.add(s);
                    for (auto& [key, value] : kept) {
                        auto records = state::parse_assignment_shard(value);
                        ASSERT_TRUE(records);
                        for (auto& r : *records)
                            f.cluster->recover_machine(*state::parse_assignment_shard_key(key), r, f.now,
                                                       f.wall);
                    }
                    for (auto& [machine, tasks] : there)
                        for (auto& t : tasks) {
                            auto id = *wire::TaskId::parse(t.substr(0, t.find('#')));
                            auto& places = f.cluster->find_job(id.job)->placements;
                            ASSERT_TRUE(places.contains(id.index))
                                << t << " on " << machine << ", seed " << seed;
                            auto& list = places.at(id.index);
                            EXPECT_TRUE(std::any_of(list.begin(), list.end(),
                                                    [&, &at = machine](auto& p) { return p.first == at; }));
                        }
                    break;
                }
                default: {
                    f.cluster->schedule_round(f.now);
                    auto writes = f.cluster->take_writes(static_cast<std::size_t>(1 + any(3)), 4096, f.now,
                                                         f.wall, any(2) == 0);
                    if (any(4) == 0) {
                        f.cluster->write_failed(std::move(writes));
                        break;
                    }
                    for (auto& w : writes) {
                        if (w.value && state::parse_assignment_shard_key(w.key)) kept[w.key] = *w.value;
                        if (w.durable) w.durable();
                    }
                    for (auto& [name, m] : f.cluster->machines())
                        for (auto& c : f.cluster->push_commands(*m, f.now))
                            if (c.verb == Verb::launch)
                                there[name].insert(c.attempt.task.str() + "#" +
                                                   std::to_string(c.attempt.number));
                    break;
                }
            }
        }
        shards += kept.size();
    }
    EXPECT_GT(shards, 60u);
    EXPECT_GT(crashes, 300u);
}

TEST(Failover, RecordsThatCannotBeReadHoldAllStartsForALease) {
    Fleet f;
    f.add(f.spec("wk-1"));
    f.cluster->note_unreadable_record(0, f.now + 20s);
    f.up("n-1");
    for (auto& w : f.write())
        EXPECT_NE(w.key, state::assignment_shard_key(0)) << "a successor must see it too";
    f.place_all();
    EXPECT_TRUE(f.on("n-1").empty());
    f.now += 21s;
    f.up("n-1");
    f.place_all();
    EXPECT_EQ(f.on("n-1").size(), 1u);
}
