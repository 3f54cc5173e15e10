// Snakefiles as they are read: errors with their place, before anything runs.
#include <gtest/gtest.h>

#include "temp_dir.hpp"
#include "workflow/snakemake/snakefile.hpp"

using namespace barrowrun;
using namespace barrowrun::workflow;
using barrowrun::testing::TempDir;
using snakemake::Snakefile;

namespace {

std::string error(const std::string& text, std::vector<std::string> targets = {},
                  std::vector<std::string> config = {}) {
    TempDir dir;
    dir.write("Snakefile", text);
    try {
        Snakefile s({dir.str(), "", std::move(targets), std::move(config)});
    } catch (const RuleError& e) {
        return e.what();
    }
    return "";
}

}  // namespace

TEST(Snake, ErrorsNameFileAndLine) {
    struct {
        const char *text, *error;
    } cases[] = {
        {"rule a:\n    output: 'x'\n    script: 's.py'\n", "Snakefile:3: script: isn't supported"},
        {"checkpoint a:\n    output: 'x'\n    shell: 'x'\n", "Snakefile:1: checkpoints aren't supported"},
        {"rule a:\n    outptu: 'x'\n", "Snakefile:2: a rule has no part 'outptu'"},
        {"rule a:\n    output: 'x'\n    shell: 'cp {inptu} x'\n", "'{inptu}' is no name here"},
        {"rule a:\n    output: 'x'\nrule a:\n    output: 'y'\n",
         "Snakefile:3: a second rule a; the first is at Snakefile:1"},
        {"rule a:\n    input: 'x'\n    output: 'x'\n    shell: 'true'\n", "a cycle: a <- a"},
        {"rule a:\n    input: 'y'\n    output: 'x'\n    shell: 'true'\nrule b:\n    input: 'x'\n    output: "
         "'y'\n    shell: 'true'\n",
         "a cycle: "},
        {"rule a:\n    output: '{n}.x', 'y'\n    shell: 'true'\n",
         "all outputs must have the same wildcards"},
        {"rule a:\n    output: '{n}.x'\n    shell: 'true'\n", "the first rule, a, has wildcards"},
        {"rule a:\n    input: '{m}'\n    output: '{n}.x'\n    shell: 'true'\nrule all:\n    input: '1.x'\n   "
         " default_target: True\n",
         "the wildcard {m} is in no output"},
        {"x = (\n", "Snakefile:"},
        {"def f(w):\n    return 1 / 0\nrule a:\n    input: f\n    output: 'x'\n    shell: 'true'\n",
         "Snakefile:2: ZeroDivisionError"},
        {"rule a:\n    output: 'x'\n", "has outputs and nothing that makes them"},
        {"rule a:\n    output: 'x'\n    threads: 1\n    retries: -1\n    shell: 'true'\n",
         "retries: expected a number"},
        {"configfile: 'none.yaml'\n", "FileNotFoundError"},
        {"workdir: 'x'\n", "Snakefile:1: workdir isn't supported"},
        {"a = 1\n", "there are no rules"},
        {"rule a:\n    output: temp('x'), 'y'\n    shell: 'true'\n", "either all outputs are temp() or none"},
    };
    for (auto& c : cases) {
        auto why = error(c.text);
        EXPECT_NE(why.find(c.error), std::string::npos) << c.text << "-> " << why;
        EXPECT_EQ(why.find('\n'), std::string::npos) << why;
    }
    EXPECT_NE(
        error("rule a:\n    output: 'x'\n    shell: 'true'\n", {"nothing"}).find("no rule makes 'nothing'"),
        std::string::npos);
    EXPECT_NE(
        error("rule a:\n    output: 'x'\n    shell: 'true'\n", {}, {"novalue"}).find("expected KEY=VALUE"),
        std::string::npos);
}

TEST(Snake, ResourcesThreadsAndPrioritiesBecomeWork) {
    TempDir dir;
    dir.write("Snakefile",
              "rule all:\n    input: expand('{n}.txt', n=[1, 2])\n"
              "rule one:\n    output: '{n}.txt'\n    threads: lambda w: 1 + int(w.n)\n    priority: 7\n    "
              "retries: 3\n"
              "    resources:\n        mem_mb=lambda w, attempt: 512 * attempt, gpus=1, barrow_rank='low', "
              "runtime=2\n"
              "    log: 'logs/{n}.log'\n    shell: 'echo {threads} {resources.mem_mb} > {output}'\n");
    Snakefile s({dir.str(), "", {}, {}});
    auto id = s.graph().by_output.at("2.txt");
    auto w = s.work(id, {});
    EXPECT_EQ(w.need.cpus, 3);
    EXPECT_EQ(w.need.mem_gb, 0.5);
    EXPECT_EQ(w.need.gpus, 1);
    EXPECT_EQ(w.rank, wire::Priority::low);
    EXPECT_EQ(w.retries, 3u);
    EXPECT_EQ(w.estimate_s, 120);
    EXPECT_EQ(w.logs, std::vector<std::string>{"logs/2.log"});
    EXPECT_EQ(w.steps.at(0).run, "set -euo pipefail; echo 3 512 > 2.txt");
    EXPECT_EQ(s.graph().nodes[id].priority, 7);
    EXPECT_TRUE(w.must_produce);
    EXPECT_TRUE(w.in_private);
}

TEST(Snake, AncientInputsCountForOrderOnly) {
    TempDir dir;
    dir.write("old", "");
    dir.write("Snakefile",
              "rule a:\n    input: ancient('old')\n    output: 'x'\n    shell: 'cp {input} {output}'\n");
    Snakefile s({dir.str(), "", {}, {}});
    EXPECT_TRUE(s.graph().nodes[s.graph().by_output.at("x")].needs.at(0).order_only);
}
