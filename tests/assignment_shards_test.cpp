// Tests of the records of started attempts: starts on many machines cost few writes, and a crash after any
// write loses no start.
#include <random>

#include "support.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;
using fleet::AssignmentShards;
using wire::Priority;

namespace {

placement::Config small_records() {
    placement::Config config;
    config.txn_ops = 20, config.value_bytes = 16 * 1024;
    return config;
}

struct WriteCounts {
    std::size_t transactions = 0, changes = 0, largest = 0;
};

// Writes all pending records as the leader does. Stores in `stored` the values that the state service then
// holds.
WriteCounts write_all(Fleet& f, std::map<std::string, wire::Json>* stored = nullptr) {
    WriteCounts counts;
    while (f.cluster->has_writes()) {
        auto writes = f.cluster->take_writes(f.rules.txn_ops, 48 * 1024, f.now, f.wall);
        if (writes.empty()) break;
        ++counts.transactions;
        counts.changes += writes.size();
        for (auto& w : writes) {
            if (w.value) counts.largest = std::max(counts.largest, w.value->dump().size());
            if (stored && w.value) (*stored)[w.key] = *w.value;
            if (w.on_durable) w.on_durable();
        }
    }
    return counts;
}

std::string name_of(int i) {
    return "n-" + std::to_string(100000 + i);
}

}  // namespace

TEST(AssignmentShards, StartsOfAnArrayOnHundredsOfMachinesCostFewWrites) {
    Fleet f(small_records());
    for (int i = 0; i < 600; ++i) f.up(name_of(i));
    write_all(f);
    f.add(f.spec("wk-1", 350, 4));
    f.cluster->schedule_round(f.now);
    EXPECT_TRUE(f.cluster->has_urgent_writes());
    auto array = write_all(f);
    EXPECT_LE(array.changes, 20u);
    EXPECT_LE(array.transactions, 3u);
    EXPECT_LT(array.largest, 16 * 1024u);
    // Many failed machines, and confirmations from all others at once, are no urgent writes.
    std::vector<std::string> ran;
    for (int i = 0; i < 600; ++i) {
        if (!f.on(name_of(i)).empty()) ran.push_back(name_of(i));
        f.run(name_of(i));
    }
    ASSERT_EQ(ran.size(), 350u);
    EXPECT_FALSE(f.cluster->has_urgent_writes());
    for (int i = 0; i < 60; ++i)
        f.cluster->remove_machine(ran[static_cast<std::size_t>(i)], "returned", f.now);
    EXPECT_FALSE(f.cluster->has_urgent_writes());
    EXPECT_LE(write_all(f).changes, 20u);
}

TEST(AssignmentShards, StartOfAServiceIsWrittenBeforeTheWaitingStartsOfAnArray) {
    Fleet f(small_records());
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
    bool service_written = false;
    for (auto& [machine, attempts] : Fleet::recorded(writes))
        for (auto& a : attempts) service_written |= a.task.job == "wk-2";
    EXPECT_TRUE(service_written);
}

TEST(AssignmentShards, ShardThatGrewTooLargeIsWrittenOnlyAfterTheShardThatTookItsMachines) {
    AssignmentShards s(1000);
    for (int i = 0; i < 3; ++i) s.add_start(name_of(i), {Priority::normal, {}});
    ASSERT_EQ(s.due(false).size(), 1u);
    EXPECT_FALSE(s.record_size(0, 1200));
    EXPECT_EQ(s.due(false), std::vector<AssignmentShards::ShardId>{1})
        << "the shard with the moved machines is written first";
    s.on_write_sent(1);
    EXPECT_TRUE(s.due(true).empty());
    s.on_write_failed(1);
    EXPECT_EQ(s.due(false), std::vector<AssignmentShards::ShardId>{1});
    s.on_write_sent(1);
    s.on_write_durable(1);
    EXPECT_EQ(s.due(false), std::vector<AssignmentShards::ShardId>{0});
    EXPECT_EQ(s.machines(0).size() + s.machines(1).size(), 3u);
}

// Random histories with a crash between any two writes: every launch that was sent to a machine and may be
// there is on record, so the next leader knows of it.
TEST(AssignmentShards, NextLeaderRecoversEveryStartThatMayBeOnAMachine) {
    std::size_t shards = 0, crashes = 0;
    for (unsigned seed = 1; seed <= 30; ++seed) {
        std::mt19937 random(seed);
        auto random_below = [&](int n) { return std::uniform_int_distribution<int>(0, n - 1)(random); };
        placement::Config config;
        config.value_bytes = 1000;  // three machines per shard; shards split as their machines get tasks
        Fleet f(config);
        std::map<std::string, wire::Json> stored;
        // By machine: the attempts whose launch was sent to it.
        std::map<std::string, std::set<std::string>> sent_launches;
        std::uint64_t fencing_token = 1'000'000'000;
        f.restart(fencing_token);
        int jobs = 0;
        for (int step = 0; step < 120; ++step) {
            f.now += 100ms;
            auto chosen = name_of(random_below(25));
            switch (random_below(6)) {
                case 0: {
                    auto heartbeat = f.heartbeat(chosen, {}, fencing_token, "a", "card");
                    for (auto& t : sent_launches[chosen]) {
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
                                       static_cast<std::uint32_t>(1 + random_below(30)));
                    spec.need.gpus = 0.01;
                    f.add(spec);
                    break;
                }
                case 2:
                    if (f.cluster->find_machine(chosen)) {
                        f.cluster->remove_machine(chosen, "returned", f.now);
                        sent_launches.erase(chosen);
                    }
                    break;
                case 3: {
                    ++crashes;
                    // A crash: the next leader knows only the records and the jobs.
                    std::vector<wire::JobSpec> specs;
                    for (auto& [id, job] : f.cluster->jobs()) specs.push_back(job->spec);
                    f.restart(fencing_token += 10);
                    for (auto& s : specs) f.add(s);
                    for (auto& [key, value] : stored) {
                        auto records = state::parse_assignment_shard(value);
                        ASSERT_TRUE(records);
                        for (auto& r : *records)
                            f.cluster->recover_machine(*state::parse_assignment_shard_key(key), r, f.now,
                                                       f.wall);
                    }
                    for (auto& [machine, tasks] : sent_launches)
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
                    auto writes = f.cluster->take_writes(static_cast<std::size_t>(1 + random_below(3)), 4096,
                                                         f.now, f.wall, random_below(2) == 0);
                    if (random_below(4) == 0) {
                        f.cluster->write_failed(std::move(writes));
                        break;
                    }
                    for (auto& w : writes) {
                        if (w.value && state::parse_assignment_shard_key(w.key)) stored[w.key] = *w.value;
                        if (w.on_durable) w.on_durable();
                    }
                    for (auto& [name, m] : f.cluster->machines())
                        for (auto& c : f.cluster->push_commands(*m, f.now))
                            if (c.verb == Verb::launch)
                                sent_launches[name].insert(c.attempt.task.str() + "#" +
                                                           std::to_string(c.attempt.number));
                    break;
                }
            }
        }
        shards += stored.size();
    }
    EXPECT_GT(shards, 60u);
    EXPECT_GT(crashes, 300u);
}

TEST(Failover, UnreadableRecordDelaysAllStartsForTheDurationOfALease) {
    Fleet f;
    f.add(f.spec("wk-1"));
    f.cluster->on_unreadable_shard(0, f.now + 20s);
    f.up("n-1");
    for (auto& w : f.write())
        EXPECT_NE(w.key, state::assignment_shard_key(0))
            << "an unreadable record must stay for the next leader to see";
    f.schedule_and_write();
    EXPECT_TRUE(f.on("n-1").empty());
    f.now += 21s;
    f.up("n-1");
    f.schedule_and_write();
    EXPECT_EQ(f.on("n-1").size(), 1u);
}
