// Attribution of task failures to the machine or to the job.
#include <random>

#include "support.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;
using wire::Priority;

TEST(FailureAttribution, JobThatFailsOnItsOnlyMachineIsRetriedThereWithGrowingBackoff) {
    Fleet f;
    f.up("n-1");
    auto& job = f.add(f.spec("wk-1"));
    TimePoint last_retry{};
    for (int i = 0; i < 4; ++i) {
        f.now = std::max(f.now, job.retry_at);
        f.cluster->on_heartbeat(f.heartbeat("n-1"), true, f.now);
        f.schedule_and_write();
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
// Advances a small fleet by one second. Launched tasks start at once. Tasks of faulty jobs and new tasks on
// faulty machines fail; other array tasks end after three seconds. Returns the number of commands sent.
int advance(Fleet& f, const std::set<std::string>& faulty_machines, const std::set<std::string>& faulty_jobs,
            std::mt19937& random, std::map<std::string, int>& failures) {
    f.now += 1s;
    f.schedule_and_write();
    int sent = 0;
    std::vector<std::string> names;
    for (auto& [name, m] : f.cluster->machines()) names.push_back(name);
    std::shuffle(names.begin(), names.end(), random);
    for (auto& name : names) {
        sent += static_cast<int>(f.run(name).size());
        std::vector<TaskStatus> tasks;
        for (auto& [a, e] : f.machine(name).assignments) {
            if (e.exited()) continue;
            bool fails = faulty_jobs.contains(a.task.job) ||
                         (faulty_machines.contains(name) && f.now - e.placed_at < 5s);
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
        // Exited tasks have been reaped: the next heartbeat doesn't list them.
        std::erase_if(tasks, [](auto& t) { return t.state == TaskState::exited; });
        f.cluster->on_heartbeat(f.heartbeat(name, tasks), true, f.now);
    }
    f.cluster->tick(f.now);
    return sent;
}
}  // namespace

// Scenarios 0 to 2, each with five seeds: a third of the machines are faulty, one job is faulty, or both.
TEST(FailureAttribution, HealthyJobFinishesDespiteFaultyMachinesAndFaultyJobQuarantinesFewHealthyMachines) {
    for (unsigned seed = 1; seed <= 5; ++seed)
        for (int scenario = 0; scenario < 3; ++scenario) {
            std::mt19937 random(seed);
            Fleet f(without_leases());
            std::set<std::string> faulty_machines, faulty_jobs;
            for (int i = 0; i < 40; ++i) {
                auto name = "n-" + std::to_string(100 + i);
                f.up(name);
                if (scenario != 1 && i % 3 == 0) faulty_machines.insert(name);
            }
            if (scenario > 0) {
                faulty_jobs.insert("wk-9");
                f.add(f.spec("wk-9", 10, 4));
            }
            auto& healthy_job = f.add(f.spec("wk-1", 200, 4));
            std::map<std::string, int> failures;
            int steps = 0;
            while (!healthy_job.finished() && steps < 80)
                advance(f, faulty_machines, faulty_jobs, random, failures), ++steps;
            EXPECT_TRUE(healthy_job.finished()) << "seed " << seed << ", scenario " << scenario;
            EXPECT_LE(failures["wk-1"], 80)
                << "each faulty machine may fail only a few trial tasks of the healthy job";
            for (int i = 0; i < 60; ++i) advance(f, faulty_machines, faulty_jobs, random, failures);
            EXPECT_LE(failures["wk-9"], 200)
                << "each retry of the faulty job runs ten tasks, and retries are up to 30 s apart";
            std::size_t quarantined_healthy = 0;
            for (auto& [name, m] : f.cluster->machines())
                if (m->quarantined_since && !faulty_machines.contains(name)) ++quarantined_healthy;
            EXPECT_LE(quarantined_healthy, 3u)
                << "a faulty job must not put healthy machines into quarantine";
        }
}

TEST(FailureAttribution, ServiceIsPlacedOnMachinesOnWhichOnlyAFaultyJobFailed) {
    Fleet f;
    std::mt19937 random(1);
    std::map<std::string, int> failures;
    for (auto* name : {"n-1", "n-2", "n-3"}) f.up(name);
    f.add(f.spec("wk-1", 3, 4));
    for (int i = 0; i < 3; ++i) advance(f, {}, {"wk-1"}, random, failures);
    ASSERT_GE(failures["wk-1"], 3);
    auto service = f.spec("wk-2", 3);
    service.kind = wire::JobKind::service;
    service.priority = Priority::production;
    auto& job = f.add(service);
    f.schedule_and_write();
    EXPECT_EQ(job.placements.size(), 3u);
}
