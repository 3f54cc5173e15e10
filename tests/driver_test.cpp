// The driver of a flow against a scripted site: what is on record when, and what a successor makes of it.
#include "workflow/driver.hpp"

#include <gtest/gtest.h>

#include "temp_dir.hpp"

using namespace barrowrun;
using namespace barrowrun::workflow;
using namespace std::chrono_literals;
using barrowrun::testing::TempDir;
using client::Answer;
using client::Outcome;
using net::Task;

namespace {

// Rules a -> b, each a file.
struct Pair : Rules {
    Graph g;
    int asked = 0;
    Pair() {
        for (auto* name : {"a", "b"}) {
            Node n;
            n.name = name;
            n.outputs = {name};
            n.has_work = true;
            g.nodes.push_back(n);
        }
        g.nodes[1].needs = {{0, false}};
        g.goals = {1};
        g.by_output = {{"a", 0}, {"b", 1}};
    }
    const Graph& graph() const override { return g; }
    Work work(NodeId n, const std::vector<NodeId>&) override {
        ++asked;
        Work w;
        w.steps = {{"make " + g.nodes[n].name, true, false}};
        return w;
    }
};

struct Site : client::JobService {
    std::vector<std::string> submitted, cancelled;
    std::map<std::string, wire::JobState> jobs;
    std::function<void(const std::string& job)> on_submit;
    bool silent = false, loses_submissions = false;
    Outcome known(const std::string& id) {
        Outcome o;
        if (silent) return o;
        auto it = jobs.find(id);
        o.answer = it == jobs.end() ? Answer::unknown : Answer::accepted;
        if (it != jobs.end()) o.status.state = it->second;
        return o;
    }
    Task<Outcome> submit(wire::JobSpec spec) override {
        submitted.push_back(spec.id);
        co_await net::sleep_for(1ms);
        if (!loses_submissions) jobs.emplace(spec.id, wire::JobState::running);
        if (on_submit) on_submit(spec.id);
        Outcome o = known(spec.id);
        if (loses_submissions) o.answer = Answer::accepted;
        loses_submissions = false;
        co_return o;
    }
    Task<Outcome> cancel(std::string id) override {
        cancelled.push_back(id);
        jobs[id] = wire::JobState::cancelled;
        co_return known(id);
    }
    Task<Outcome> status(std::string id) override { co_return known(id); }
};

struct Play {
    TempDir dir, shared;
    depot::Depot depot{shared.path};
    Pair rules;
    Site site;
    std::unique_ptr<Journal> journal = std::make_unique<Journal>(dir.str());
    std::vector<std::string> said;
    // What a worker does that succeeds.
    void publish(const std::string& job) {
        auto d = depot.description(job).value();
        depot::Final f;
        f.published = true;
        f.attempt = 1;
        for (auto& o : d.outputs) {
            shared.write("staged/" + job + o, o);
            f.outputs.push_back({shared.str("staged/" + job + o), dir.str(o), "", 0});
        }
        if (depot.decide({job, 0}, f)) depot.settle({job, 0}, f);
        site.jobs[job] = wire::JobState::done;
    }
    // Drives until the flow is over, or for the time given, as if killed then.
    std::optional<FlowState> drive(Clock::duration most = 10s) {
        net::asio::io_context io;
        DriverSettings settings;
        settings.dir = dir.str();
        settings.team = "crew";
        settings.poll = 20ms;
        auto record = journal->open("key", "make", "{}", 1);
        Driver driver(io, site, depot, *journal, rules, record, settings);
        driver.on_report = [this](const NodeReport& r) {
            said.push_back(r.node->name + " " + state_name(r.state) + (r.why.empty() ? "" : ": " + r.why));
        };
        std::optional<FlowState> state;
        net::asio::co_spawn(io, driver.run(), [&](std::exception_ptr e, FlowState s) {
            if (!e) state = s;
            io.stop();
        });
        io.run_for(most);
        return state;
    }
    using Names = std::vector<std::string>;
};

}  // namespace

TEST(Driver, MakesEachTargetOnceInItsOrder) {
    Play p;
    p.site.on_submit = [&](auto& job) { p.publish(job); };
    EXPECT_EQ(p.drive(), FlowState::done);
    EXPECT_EQ(p.said, (Play::Names{"a done", "b done"}));
    EXPECT_EQ(p.site.submitted.size(), 2u);
    EXPECT_EQ(p.dir.read("b"), "b");
    EXPECT_FALSE(p.journal->unfinished());
}

TEST(Driver, IsOnRecordBeforeItIsSentAndTheSameNameIsSentAgain) {
    Play p;
    bool on_record = false;
    p.site.silent = true;
    p.site.on_submit = [&](auto& job) {
        Journal other(p.dir.str());
        auto flow = other.unfinished();
        for (auto& n : other.nodes(flow->id)) on_record |= n.job == job;
        EXPECT_TRUE(p.depot.description(job));
    };
    EXPECT_FALSE(p.drive(100ms));  // killed, with no answer
    EXPECT_TRUE(on_record);
    auto first = p.site.submitted.at(0);
    p.site.silent = false;
    p.site.on_submit = [&](auto& job) { p.publish(job); };
    EXPECT_EQ(p.drive(), FlowState::done);
    for (auto& job : p.site.submitted) EXPECT_TRUE(job == first || job == p.site.submitted.back());
    EXPECT_EQ(p.said, (Play::Names{"a done", "b done"}));
}

TEST(Driver, WhatIsDoneIsNotDoneAgainBySuccessors) {
    Play p;
    p.site.on_submit = [&](auto& job) {
        if (p.depot.description(job)->outputs.at(0) == "a") p.publish(job);
    };
    EXPECT_FALSE(p.drive(300ms));  // killed while b runs
    EXPECT_EQ(p.said, Play::Names{"a done"});
    auto b = p.site.submitted.back();
    p.publish(b);  // and it ends while nobody looks
    p.said.clear();
    p.site.submitted.clear();
    EXPECT_EQ(p.drive(), FlowState::done);
    EXPECT_EQ(p.said, (Play::Names{"a up to date", "b done"}));
    EXPECT_LE(p.site.submitted.size(), 1u);  // b by its own name, which is known
    for (auto& job : p.site.submitted) EXPECT_EQ(job, b);
}

TEST(Driver, ASubmissionThatWasLostIsSentAgain) {
    Play p;
    p.site.loses_submissions = true;
    int times = 0;
    p.site.on_submit = [&](auto& job) {
        if (++times > 1) p.publish(job);
    };
    EXPECT_EQ(p.drive(), FlowState::done);
    EXPECT_EQ(p.site.submitted.size(), 3u);
    EXPECT_EQ(p.site.submitted[0], p.site.submitted[1]);
}

TEST(Driver, AFailureIsFinalAndNoLateAttemptCanUndoIt) {
    Play p;
    std::string job;
    p.site.on_submit = [&](auto& j) {
        job = j;
        depot::Result r;
        r.status = 3;
        r.cause = "exit status 3";
        r.machine = "n-7";
        r.attempt = 5;
        p.depot.keep_result({{j, 0}, 5}, r);
        p.site.jobs[j] = wire::JobState::failed;
    };
    EXPECT_EQ(p.drive(), FlowState::failed);
    EXPECT_EQ(p.said, Play::Names{"a failed: exit status 3"});
    p.publish(job);
    EXPECT_FALSE(p.dir.has("a"));
}

TEST(Driver, AnAttemptThatPublishedBeforeTheFailureWasSeenCounts) {
    Play p;
    p.site.on_submit = [&](auto& job) {
        p.publish(job);
        p.site.jobs[job] = wire::JobState::failed;  // another attempt failed last
    };
    EXPECT_EQ(p.drive(), FlowState::done);
}

TEST(Driver, ACancelledFlowStopsItsJobsAndSaysSo) {
    Play p;
    p.site.on_submit = [&](auto&) {
        Journal other(p.dir.str());
        other.ask_cancel(other.unfinished()->id);
    };
    EXPECT_EQ(p.drive(), FlowState::cancelled);
    EXPECT_EQ(p.site.cancelled.size(), 1u);
    EXPECT_EQ(p.journal->flows().at(0).state, FlowState::cancelled);
}

TEST(Driver, ADecisionWhoseRenamesWereCutOffIsFinished) {
    Play p;
    p.site.on_submit = [&](auto& job) {
        auto d = p.depot.description(job).value();
        depot::Final f;
        f.published = true;
        for (auto& o : d.outputs) {
            p.shared.write("staged/" + job + o, o);
            f.outputs.push_back({p.shared.str("staged/" + job + o), p.dir.str(o), "", 0});
        }
        p.depot.decide({job, 0}, f);  // and the machine is lost
    };
    EXPECT_EQ(p.drive(), FlowState::done);
    EXPECT_EQ(p.dir.read("a"), "a");
}

TEST(DriverLock, OneDriverAtATime) {
    TempDir dir;
    auto first = DriverLock::take(dir.str());
    EXPECT_TRUE(first);
    EXPECT_FALSE(DriverLock::take(dir.str()));
    first.reset();
    EXPECT_TRUE(DriverLock::take(dir.str()));
}

TEST(Journal, AnOpenFlowIsRecognisedByItsKeyAndAnEndedOneIsNot) {
    TempDir dir;
    Journal j(dir.str());
    auto first = j.open("k", "make", "{}", 1);
    EXPECT_EQ(j.open("k", "make", "{}", 2).id, first.id);
    j.close(first.id, FlowState::failed, 3);
    EXPECT_NE(j.open("k", "make", "{}", 4).id, first.id);
    EXPECT_EQ(j.find(first.id.substr(0, 9))->state, FlowState::failed);
}
