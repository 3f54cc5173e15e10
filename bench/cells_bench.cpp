// What a leader with neighbours pays for them: gathering a digest of its free room, and choosing what spills
// over, twice a second each. usage: cells_bench [--benchmark_filter=...]
#include <benchmark/benchmark.h>

#include <random>

#include "cells/offload.hpp"

using namespace barrowrun;

namespace {

// Machines of two sizes with anything from nothing to all of it free.
std::vector<wire::Resources> rooms(std::size_t n) {
    std::mt19937 random(1);
    std::vector<wire::Resources> out;
    for (std::size_t i = 0; i < n; ++i) {
        const double cpus = i % 3 == 0 ? 64 : 16, used = static_cast<double>(random() % 17) / 16;
        out.push_back({std::floor(cpus * used), 0, std::floor(2 * cpus * used)});
    }
    return out;
}

void digest(benchmark::State& state) {
    auto all = rooms(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) {
        cells::CapacityDigest d;
        for (auto& r : all) d.add(r);
        benchmark::DoNotOptimize(d.fits({4, 0, 4}));
    }
}
BENCHMARK(digest)->Arg(100)->Arg(1000)->Arg(10000)->Unit(benchmark::kMicrosecond);

void choose(benchmark::State& state) {
    cells::Settings settings;
    settings.self = "a";
    for (auto* name : {"b", "c", "d", "e", "f", "g", "h"})
        settings.peer_cells.push_back({name, {"127.0.0.1:1"}});
    settings.teams["desk"] = {"a", {"b", "c", "d", "e", "f", "g", "h"}};
    cells::OffloadPlanner planner;
    const TimePoint now = TimePoint{} + std::chrono::hours(1);
    for (auto& n : settings.peer_cells) {
        cells::CapacityDigest d;
        for (auto& r : rooms(1000)) d.add(r);
        planner.on_digest(n.name, std::move(d), now, now);
    }
    std::vector<cells::OffloadCandidate> waiting;
    for (int i = 0; i < state.range(0); ++i)
        waiting.push_back({"wk-" + std::to_string(i),
                           "desk",
                           wire::JobKind::array,
                           {4, 0, 4},
                           50,
                           std::chrono::minutes(1)});
    for (auto _ : state) benchmark::DoNotOptimize(planner.plan_offers(settings, waiting, now, 32));
}
BENCHMARK(choose)->Arg(10)->Arg(1000)->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
