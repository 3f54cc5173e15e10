// The decisions of a flow, step by step.
#include "workflow/flow.hpp"

#include <gtest/gtest.h>

using namespace barrowrun;
using namespace barrowrun::workflow;

namespace {

// A small world of files with ages, and a flow that is driven by hand.
struct World {
    Graph g;
    std::map<std::string, std::int64_t> files;  // name -> time
    std::int64_t clock = 1000;
    std::unique_ptr<Flow> flow;
    std::vector<std::string> started, removed;

    NodeId file(const std::string& name, std::int64_t time) {
        files[name] = time;
        return add(name, {}, false);
    }
    NodeId add(const std::string& name, std::vector<NodeId> needs, bool work = true) {
        Node n;
        n.name = name;
        n.outputs = {name};
        n.has_work = work;
        for (auto x : needs) n.needs.push_back({x, false});
        g.nodes.push_back(n);
        g.by_output[name] = static_cast<NodeId>(g.nodes.size() - 1);
        return static_cast<NodeId>(g.nodes.size() - 1);
    }
    NodeId passing(const std::string& name, std::vector<NodeId> needs) {
        auto id = add(name, std::move(needs));
        g.nodes[id].passing = true;
        return id;
    }
    Facts look(NodeId n) {
        Facts f;
        for (auto& o : g.nodes[n].outputs) {
            auto it = files.find(o);
            if (it == files.end())
                f.missing = true;
            else
                f.oldest = f.newest = it->second;
        }
        return f;
    }
    void begin(std::vector<NodeId> goals, FlowOptions options = {}) {
        g.goals = std::move(goals);
        flow = std::make_unique<Flow>(g, options);
        flow->begin();
        turn();
    }
    // Carries out what is asked for, but for the ends of what was started.
    void turn() {
        for (auto actions = flow->take_actions(); !actions.empty(); actions = flow->take_actions())
            for (auto& a : actions) {
                if (a.kind == FlowAction::look) flow->looked(a.node, look(a.node));
                if (a.kind == FlowAction::start) {
                    started.push_back(g.nodes[a.node].name);
                    flow->started(a.node);
                }
                if (a.kind == FlowAction::remove) {
                    removed.push_back(g.nodes[a.node].name);
                    files.erase(g.nodes[a.node].name);
                }
            }
    }
    void end(const std::string& name, bool success = true) {
        auto n = g.by_output.at(name);
        if (success) files[name] = ++clock;
        flow->final(n, success, success ? look(n) : Facts{});
        turn();
    }
    std::vector<std::string> take() { return std::exchange(started, {}); }
    using Names = std::vector<std::string>;
};

}  // namespace

TEST(Flow, WhatIsCurrentIsNotMadeAgain) {
    World w;
    auto s = w.file("src", 10);
    auto a = w.add("a", {s});
    w.files["a"] = 20;
    auto b = w.add("b", {a});
    w.files["b"] = 15;  // older than a
    w.begin({b});
    EXPECT_EQ(w.take(), World::Names{"b"});
    w.end("b");
    EXPECT_TRUE(w.flow->over());
    EXPECT_FALSE(w.flow->failed());
    EXPECT_EQ(w.flow->state(a), State::current);
}

TEST(Flow, ARecipeThatLeftItsFileAsItWasChangesNothing) {
    World w;
    auto s = w.file("src", 100);
    auto header = w.add("header", {s});
    w.files["header"] = 50;
    auto user = w.add("user", {header});
    w.files["user"] = 60;
    w.begin({user});
    EXPECT_EQ(w.take(), World::Names{"header"});
    w.flow->final(header, true, w.look(header));
    w.turn();
    EXPECT_TRUE(w.take().empty());
    EXPECT_EQ(w.flow->state(user), State::current);
}

TEST(Flow, AFailureStopsItsUsersAndWithoutKeepGoingAllElse) {
    for (bool keep : {false, true}) {
        World w;
        auto bad = w.add("bad", {}), after = w.add("after", {bad}), one = w.add("one", {}),
             two = w.add("two", {one});
        FlowOptions o;
        o.keep_going = keep;
        w.begin({after, two}, o);
        EXPECT_EQ(w.take(), (World::Names{"bad", "one"}));
        w.end("bad", false);
        w.end("one");
        EXPECT_EQ(w.take(), keep ? World::Names{"two"} : World::Names{});
        if (keep) w.end("two");
        EXPECT_TRUE(w.flow->over());
        EXPECT_TRUE(w.flow->failed());
        EXPECT_EQ(w.flow->state(after), State::skipped);
        EXPECT_EQ(w.flow->state(one), State::done);
        EXPECT_EQ(w.flow->state(two), keep ? State::done : State::skipped);
    }
}

TEST(Flow, APassingFileThatIsNotThereIsMadeOnlyIfItsUserNeedsIt) {
    World w;
    auto raw = w.file("raw", 10);
    auto mid = w.passing("mid", {raw});
    auto out = w.add("out", {mid});
    w.files["out"] = 20;
    w.begin({out});
    EXPECT_TRUE(w.flow->over());
    EXPECT_TRUE(w.take().empty());

    World v;
    raw = v.file("raw", 30);
    mid = v.passing("mid", {raw});
    out = v.add("out", {mid});
    v.files["out"] = 20;
    v.begin({out});
    EXPECT_EQ(v.take(), World::Names{"mid"});
    v.end("mid");
    EXPECT_EQ(v.take(), World::Names{"out"});
    v.end("out");
    EXPECT_TRUE(v.flow->over());
    EXPECT_EQ(v.removed, World::Names{"mid"});
}

TEST(Flow, AUserThatWaitsForOtherThingsWaitsForADemandedPassingFileToo) {
    World w;
    auto raw = w.file("raw", 30);
    auto mid = w.passing("mid", {raw});
    auto slow = w.add("slow", {});
    auto first = w.add("first", {mid});
    auto second = w.add("second", {mid, slow});
    w.begin({first, second});
    // `first` is missing and demands mid; `second` still waits for slow.
    EXPECT_EQ(w.take(), (World::Names{"mid", "slow"}));
    w.end("slow");
    EXPECT_TRUE(w.take().empty());
    w.end("mid");
    EXPECT_EQ(w.take(), (World::Names{"first", "second"}));
    w.end("first");
    EXPECT_TRUE(w.removed.empty());
    w.end("second");
    EXPECT_TRUE(w.flow->over());
    EXPECT_EQ(w.removed, World::Names{"mid"});
}

TEST(Flow, NoMoreAtOnceThanAllowedAndGreaterPriorityFirst) {
    World w;
    std::vector<NodeId> all;
    for (int i = 0; i < 5; ++i) all.push_back(w.add("t" + std::to_string(i), {}));
    w.g.nodes[all[3]].priority = 9;
    FlowOptions o;
    o.most_at_once = 2;
    w.begin(all, o);
    EXPECT_EQ(w.take(), (World::Names{"t3", "t0"}));
    w.end("t0");
    EXPECT_EQ(w.take(), World::Names{"t1"});
}

TEST(Flow, AResumedNodeIsStartedUnderItsOldNameAndADoneOneIsNot) {
    World w;
    auto a = w.add("a", {}), b = w.add("b", {a}), c = w.add("c", {b});
    w.files["a"] = 5;
    w.g.goals = {c};
    w.flow = std::make_unique<Flow>(w.g, FlowOptions{});
    w.flow->made_before(a);
    w.flow->resumed(b);
    w.flow->begin();
    w.turn();
    EXPECT_EQ(w.take(), World::Names{"b"});
    w.end("b");
    EXPECT_EQ(w.take(), World::Names{"c"});
}

TEST(Flow, PhonyNamesAreDoneEachTimeAndMakeTheirUsersNew) {
    World w;
    auto p = w.add("p", {});
    w.g.nodes[p].phony = true;
    w.g.nodes[p].outputs.clear();
    auto u = w.add("u", {p});
    w.files["u"] = 10;
    w.begin({u});
    EXPECT_EQ(w.take(), World::Names{"p"});
    w.flow->final(p, true, {});
    w.turn();
    EXPECT_EQ(w.take(), World::Names{"u"});
}

TEST(Flow, StoppingLetsWhatRunsEnd) {
    World w;
    auto a = w.add("a", {}), b = w.add("b", {a});
    w.begin({b});
    w.flow->stop();
    w.turn();
    EXPECT_FALSE(w.flow->over());
    w.end("a");
    EXPECT_TRUE(w.flow->over());
    EXPECT_EQ(w.flow->state(b), State::skipped);
}

TEST(Flow, AChainOfTensOfThousandsNeedsNoDeepStack) {
    World w;
    NodeId last = w.add("n0", {});
    for (int i = 1; i < 50'000; ++i) last = w.add("n" + std::to_string(i), {last});
    FlowOptions o;
    w.begin({last}, o);
    w.end("n0", false);
    EXPECT_TRUE(w.flow->over());
    EXPECT_EQ(w.flow->state(last), State::skipped);
}

// `clean all` raced once: what `all` made was removed by `clean`, which ran beside it.
TEST(Flow, GoalsInOrderBeginOneAfterTheOther) {
    World w;
    auto clean = w.add("clean", {});
    w.g.nodes[clean].phony = true;
    auto shared = w.add("shared", {});
    auto first = w.add("first", {shared});
    auto source = w.file("source", 10);
    auto last = w.add("last", {source, shared});
    w.g.goals = {clean, first, last, clean};
    w.g.goals_in_order();
    w.g.check_acyclic();
    w.begin({clean, first, last, clean}, {.keep_going = true});
    EXPECT_EQ(w.started, (std::vector<std::string>{"clean"}));
    w.flow->final(clean, false);  // with -k the goals after a failed one are made all the same
    w.turn();
    EXPECT_EQ(w.started, (std::vector<std::string>{"clean", "shared"}));
    w.files["shared"] = ++w.clock;
    w.flow->final(shared, true, w.look(shared));
    w.turn();
    EXPECT_EQ(w.started.back(), "first");
    EXPECT_EQ(w.flow->state(last), State::waiting);
    w.files["first"] = ++w.clock;
    w.flow->final(first, true, w.look(first));
    w.turn();
    EXPECT_EQ(w.started.back(), "last");
}

TEST(Graph, ACycleIsNamed) {
    World w;
    auto a = w.add("a", {}), b = w.add("b", {a});
    w.g.nodes[a].needs.push_back({b, false});
    try {
        w.g.check_acyclic();
        FAIL();
    } catch (const RuleError& e) {
        EXPECT_NE(std::string(e.what()).find("a cycle: "), std::string::npos);
    }
}
