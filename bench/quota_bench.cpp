// What a round costs with nested quotas: 1,000 machines of 4 CPUs, all full, 1,000 waiting jobs; one report
// with an ended task, and the round after it. The flat case is one team without bounds. usage: quota_bench
// [--benchmark_filter=...]
#include <benchmark/benchmark.h>
#include <spdlog/spdlog.h>

#include "placement/cluster.hpp"

using namespace barrowrun;

namespace {

// Bureaus of ten teams of projects, each with limits that are never met and guarantees that are.
std::vector<quota::QuotaEntry> tree(std::size_t nodes) {
    std::vector<quota::QuotaEntry> out;
    if (nodes == 0) return out;
    out.push_back({"crew", "", "crew", {1e6, {}, {}}, {100, {}, {}}});
    for (std::size_t i = 1; i < nodes; ++i) {
        auto team = (i - 1) / 10;
        if (i % 10 == 1)
            out.push_back({"t" + std::to_string(team), "crew", "", {1e5, {}, {}}, {}});
        else
            out.push_back({"p" + std::to_string(i), "crew/t" + std::to_string(team), "", {1e4, {}, {}}, {}});
    }
    return out;
}

struct Fleet {
    placement::Config rules;
    std::unique_ptr<placement::Cluster> cluster;
    TimePoint now = TimePoint{} + std::chrono::seconds(1000);
    std::vector<std::uint64_t> seq;
    std::size_t turn = 0;
    std::size_t machines;

    // `shapes`: how many kinds of needs the waiting jobs have.
    explicit Fleet(std::size_t nodes, std::size_t count = 1000, std::size_t shapes = 50) : machines(count) {
        spdlog::set_level(spdlog::level::off);
        rules.teams["crew"] = {};
        auto lines = tree(nodes);
        if (nodes) rules.quotas = lines;
        cluster = std::make_unique<placement::Cluster>(rules);
        cluster->set_fencing_token(10, now);
        cluster->set_types({{"small", 4, 0, 32, 30, 0.5, 1.0, 0.2, 25, {"a"}}});
        seq.resize(machines);
        for (std::size_t i = 0; i < machines; ++i) heartbeat(i, false);
        for (std::size_t k = 0; k < 1000 + machines; ++k) {
            wire::JobSpec s;
            s.id = "wk-" + std::to_string(k);
            s.job_class = "batch", s.team = "crew", s.image = "img", s.image_gb = 1, s.estimate_s = 20;
            s.tasks = k < machines ? 4 : 50;
            s.need = {1, 0, 1 + 0.001 * static_cast<double>(k % shapes)};
            // The waiting ones stand in all parts of the tree.
            if (nodes > 1) {
                auto i = 1 + k * 7919 % (nodes - 1);
                auto team = "t" + std::to_string((i - 1) / 10);
                s.project = i % 10 == 1 ? team : team + "/p" + std::to_string(i);
            }
            cluster->add_job({s, static_cast<std::int64_t>(k)}, nullptr, now, 0);
        }
        for (std::size_t i = 0; i < machines / 25; ++i) cluster->schedule_round(now);
        write();
        for (std::size_t i = 0; i < machines; ++i) heartbeat(i, false);
        // Files the machines that have all just reported: else the first measured round would, and its share
        // of the mean grew with the fleet (2.75 times from 1,000 to 10,000 machines, over 400 rounds).
        cluster->schedule_round(now);
        write();
        cluster->take_machines_with_commands();
    }
    void write() {
        for (auto& w : cluster->take_writes(100'000, 1 << 30, now, 0))
            if (w.on_durable) w.on_durable();
    }
    // All that is on the machine runs; the first of it ends if asked for.
    void heartbeat(std::size_t i, bool end) {
        wire::WorkerHeartbeat r;
        r.machine = "n-" + std::to_string(i);
        r.address = "127.0.0.1:9", r.type = "small", r.zone = "a", r.agent_epoch = 1, r.seq = ++seq[i],
        r.fencing_token = 10;
        if (auto* m = cluster->find_machine(r.machine))
            for (auto& [a, e] : m->assignments) {
                if (e.exited()) continue;
                bool ends = std::exchange(end, false);
                r.tasks.push_back({a, ends ? wire::TaskState::exited : wire::TaskState::running,
                                   ends ? wire::Cause::done : wire::Cause::none, false});
            }
        cluster->on_heartbeat(r, true, now);
    }
};

void rounds(benchmark::State& state, Fleet& f) {
    for (auto _ : state) {
        f.now += std::chrono::milliseconds(1);
        f.heartbeat(f.turn++ % f.machines, true);
        f.cluster->schedule_round(f.now);
        state.PauseTiming();
        f.write();
        f.cluster->take_machines_with_commands();
        state.ResumeTiming();
    }
}

void round_after_a_report(benchmark::State& state) {
    Fleet f(static_cast<std::size_t>(state.range(0)));
    rounds(state, f);
}
BENCHMARK(round_after_a_report)
    ->Arg(0)
    ->Arg(1)
    ->Arg(100)
    ->Arg(10000)
    ->Iterations(400)
    ->Repetitions(7)
    ->ReportAggregatesOnly(true)
    ->Unit(benchmark::kMicrosecond);

// The same without quotas on fleets of growing size; each waiting job has a need of its own.
void round_by_machines(benchmark::State& state) {
    Fleet f(0, static_cast<std::size_t>(state.range(0)), 1000);
    rounds(state, f);
}
BENCHMARK(round_by_machines)
    ->Arg(250)
    ->Arg(1000)
    ->Arg(4000)
    ->Arg(10000)
    ->Iterations(400)
    ->Repetitions(5)
    ->ReportAggregatesOnly(true)
    ->Unit(benchmark::kMicrosecond);

void charge_and_release(benchmark::State& state) {
    auto built = quota::Tree::build(tree(static_cast<std::size_t>(state.range(0))), {{"crew", {}, {}}});
    quota::Ledger ledger(built.tree);
    quota::NodeId n = 0;
    for (auto _ : state) {
        n = (n + 7919) % static_cast<quota::NodeId>(built.tree->size());
        ledger.charge(n, {1, 0, 1});
        benchmark::DoNotOptimize(ledger.admits(n, {1, 0, 1}, 1));
        ledger.release(n, {1, 0, 1});
    }
}
BENCHMARK(charge_and_release)->Arg(1)->Arg(100)->Arg(10000);

void build_a_tree(benchmark::State& state) {
    auto lines = tree(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) benchmark::DoNotOptimize(quota::Tree::build(lines, {{"crew", {}, {}}}));
}
BENCHMARK(build_a_tree)->Arg(100)->Arg(10000)->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
