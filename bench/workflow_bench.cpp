// The decisions and the Make reader at growing sizes: time per target must not grow faster than its
// logarithm.
#include <benchmark/benchmark.h>

#include <filesystem>
#include <fstream>

#include "workflow/flow.hpp"
#include "workflow/make/makefile.hpp"

using namespace barrowrun;
using namespace barrowrun::workflow;

namespace {

// Layers of a hundred, each node needing three of the layer before.
Graph layers(std::size_t n) {
    Graph g;
    for (std::size_t i = 0; i < n; ++i) {
        Node node;
        node.name = "t" + std::to_string(i);
        node.outputs = {node.name};
        node.has_work = true;
        if (i >= 100)
            for (std::size_t k = 0; k < 3; ++k)
                node.needs.push_back(
                    {static_cast<NodeId>(i / 100 * 100 - 100 + (i * 7 + k * 31) % 100), false});
        g.nodes.push_back(std::move(node));
        if (i + 100 >= n) g.goals.push_back(static_cast<NodeId>(i));
    }
    return g;
}

// From the first look to the last result, with everything missing at the start.
void whole_flow(benchmark::State& state) {
    auto g = layers(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) {
        Flow flow(g, {});
        flow.begin();
        for (auto actions = flow.take_actions(); !actions.empty(); actions = flow.take_actions())
            for (auto& a : actions) {
                if (a.kind == FlowAction::look) flow.looked(a.node, Facts{true, 0, 0, false});
                if (a.kind == FlowAction::start) {
                    flow.started(a.node);
                    flow.final(a.node, true, Facts{false, 1, 1, false});
                }
            }
        if (!flow.over()) state.SkipWithError("the flow is not over");
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(whole_flow)
    ->RangeMultiplier(4)
    ->Range(1000, 64000)
    ->Complexity(benchmark::oNLogN)
    ->Unit(benchmark::kMillisecond);

void read_makefile(benchmark::State& state) {
    auto dir = std::filesystem::temp_directory_path() / ("barrowrun-bench-" + std::to_string(::getpid()));
    std::filesystem::create_directories(dir);
    {
        std::ofstream out(dir / "Makefile");
        auto g = layers(static_cast<std::size_t>(state.range(0)));
        out << "all:";
        for (auto goal : g.goals) out << " " << g.nodes[goal].name;
        out << "\n";
        for (auto& n : g.nodes) {
            out << n.name << ":";
            for (auto& need : n.needs) out << " " << g.nodes[need.node].name;
            out << "\n\t@echo $^ > $@\n";
        }
    }
    for (auto _ : state) {
        make::Makefile m(make::MakeOptions{dir.string(), "", {}, {}, {}});
        benchmark::DoNotOptimize(m.graph().nodes.size());
    }
    std::filesystem::remove_all(dir);
    state.SetComplexityN(state.range(0));
}
BENCHMARK(read_makefile)
    ->UseRealTime()  // it is read on a thread of its own
    ->RangeMultiplier(4)
    ->Range(1000, 64000)
    ->Complexity(benchmark::oNLogN)
    ->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
