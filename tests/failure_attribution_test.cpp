// Whether a failure is the machine's or the job's.
#include <random>

#include "support.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;
using wire::Priority;

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
