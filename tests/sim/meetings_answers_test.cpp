// Meetings of docs/design/meetings.md that turn on who leads, and on what users are told.
#include "sim/expectations.hpp"

using namespace barrowrun;
using namespace barrowrun::sim;

namespace {

// Questions at all nodes about all jobs, again and again.
void ask_everywhere(Site& site, Nanos period, Nanos length) {
    site.world.every(period, [&site, until = site.world.now() + length] {
        for (auto& id : site.jobs())
            for (std::size_t n = 0; n < 3; ++n) site.ask(id, n);
        return site.world.now() < until;
    });
}

}  // namespace

// With no other trouble: the last task of a job ends, and users cancel, ask and submit again at that moment.
TEST(EndOfAJob, RequestsAtTheEndOfTheLastTaskGetAnswersThatAgree) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        Site site({.seed = seed});
        site.poll_all(1s);
        std::uint64_t ends = 0;
        site.checker.on_last_task_done = [&](const std::string& id) {
            const auto delay = std::chrono::milliseconds(site.world.random() % 40);
            if (++ends % 3) site.world.after(delay, [&site, id] { site.cancel(id); });
            site.world.after(0ms, [&site, id] { site.look_closely(id); });
            site.world.after(delay, [&site, id] { site.look_closely(id); });
        };
        for (int i = 0; i < 20; ++i) site.submit(site.job(1 + i % 2, 1 + i * 0.3));
        site.run(60s);
        EXPECT_GE(ends, 20u);
        for (auto& id : site.jobs()) EXPECT_TRUE(site.checker.over(id)) << id;
        expect_no_rule_broken(site);
    }
}

// A leader loses the state service and the other nodes, not its workers or users; jobs are cancelled through
// its successor, and users ask both.
TEST(LeaderAlone, ALeaderWithoutStateServiceAndPeersAnswersNothingFromMemoryOnceItsLeaseHasExpired) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        Site site({.seed = seed});
        site.poll_all(1s);
        std::vector<wire::JobSpec> specs;
        for (int i = 0; i < 4; ++i) site.submit(specs.emplace_back(site.job(2, 200)));
        site.run(8s);
        const auto old = *site.leader();
        const auto kind = seed % 3 == 0   ? Fault::Kind::refuse
                          : seed % 3 == 1 ? Fault::Kind::drop
                                          : Fault::Kind::hold;
        cut_node(site, old, {.state = true, .peers = true}, 25s, kind);
        ASSERT_TRUE(run_until(site, 10s, [&] { return site.leader() && *site.leader() != old; }));
        ask_everywhere(site, 50ms, 20s);
        for (auto& spec : specs) site.cancel(spec.id, *site.leader());
        site.run(70s);
        for (auto& spec : specs) EXPECT_TRUE(site.checker.over(spec.id));
        expect_no_rule_broken(site);
    }
}

// All nodes are refused one by one, so that the hold runs out at the service while the leader goes on by the
// promises of the others. One of these ends, is back at once, and finds the service again first.
TEST(LeaseVotes, ARestartedProcessKeepsItsPredecessorsVotes) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Site site({.seed = seed});
        site.poll_all(1s);
        std::vector<wire::JobSpec> specs;
        for (int i = 0; i < 4; ++i) site.submit(specs.emplace_back(site.job(2, 200)));
        site.run(8s);
        const auto old = *site.leader();
        const auto fresh = site.other(old);
        const auto refused = 6s + std::chrono::milliseconds(site.world.random() % 1000);
        for (std::size_t n = 0; n < 3; ++n)
            site.state().refuse(site.node_name(n), n == fresh ? refused : refused + 10s);
        ask_everywhere(site, 20ms, 16s);
        site.run(refused - 600ms);
        // The leader has its promise, and doesn't hear the fresh process's questions in time.
        site.world.cut(site.node_name(old), site.node_name(fresh), 4s, Fault::Kind::drop);
        site.kill(fresh, 100ms);
        site.run(1s);
        for (auto& spec : specs) site.cancel(spec.id, fresh);
        site.run(60s);
        expect_no_rule_broken(site);
    }
}

// Ten leaders in two minutes, some of the changes inside an outage of the state service.
TEST(ManyLeaders, TenChangesInTwoMinutesBreakNoRule) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        Site site({.seed = seed});
        auto& w = site.world;
        site.poll_all(1s);
        for (int i = 0; i < 3; ++i) site.submit(site.job(2, 0, wire::JobKind::service));
        for (int i = 0; i < 6; ++i) site.submit(site.job(2, 70));
        site.run(8s);
        std::size_t changes = 0;
        auto last = site.leading_process();
        w.every(20ms, [&] {
            if (auto now = site.leading_process(); now && now != last) last = now, ++changes;
            return true;
        });
        for (int i = 0; i < 12; ++i) {
            if (i % 4 == 3) site.state().outage(3s);
            site.submit(site.job(2, 20));
            site.kill(site.leader().value_or(0), std::chrono::milliseconds(100 + w.random() % 5000));
            cancel_now(site, 1);
            site.run(10s);
        }
        EXPECT_GE(changes, 10u);
        const auto over = w.now();
        site.watch_waiting();
        site.run(110s);
        EXPECT_EQ(site.verdict(over), "") << "seed " << seed;
    }
}

// The lead goes to another and back; then all nodes end, and one is back within a second, as a new process of
// the same name.
TEST(ManyLeaders, ThereAndBackThenAllEndAndOneReturnsWithinASecond) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Site site({.seed = seed});
        auto& w = site.world;
        site.poll_all(500ms);
        site.close_looks = true;
        for (int i = 0; i < 6; ++i) site.submit(site.job(2, 60));
        site.run(8s);
        for (int i = 0; i < 2; ++i) {
            site.kill(site.leader().value_or(0), 200ms);
            site.run(std::chrono::milliseconds(2500 + w.random() % 2500));
            cancel_now(site, 1);
        }
        cancel_now(site, 2, 6s);
        site.run(std::chrono::milliseconds(w.random() % 400));
        const auto back = w.random() % 3;
        for (std::size_t n = 0; n < 3; ++n)
            site.kill(n, n == back ? 300ms + std::chrono::milliseconds(w.random() % 600) : 20s);
        site.run(100s);
        for (auto& id : site.jobs()) EXPECT_TRUE(site.checker.over(id)) << id << ", seed " << seed;
        expect_no_rule_broken(site);
    }
}

// The leader stands still for some seconds while users ask about hundreds of jobs. The other nodes read these
// in the state service, up to its rate: that may not keep any node from winning the lead, or holding it.
TEST(ManyQuestions, QuestionsDoNotUseUpTheRateThatTheLeadNeeds) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        Site site({.seed = seed, .machines = 4, .most_machines = 4, .state_rps = 60, .state_write_rps = 40});
        auto& w = site.world;
        for (int i = 0; i < 300; ++i) w.after(100ms * i, [&site] { site.submit(site.job(1, 200)); });
        site.run(35s);
        ASSERT_GE(site.jobs().size(), 290u);
        site.poll_all(500ms);
        site.run(4s);
        const auto old = *site.leader();
        const auto refused = site.state().over_the_rate();
        site.freeze(old, 6s);
        site.run(20s);
        EXPECT_LE(site.state().over_the_rate() - refused, 20u) << "seed " << seed;
        // Ever since, somebody leads nearly all the time.
        std::size_t leaderless = 0;
        for (int second = 0; second < 60; ++second) {
            leaderless += !site.leader();
            site.run(1s);
        }
        EXPECT_LE(leaderless, 6u) << "seed " << seed;
        EXPECT_EQ(site.verdict(w.now() - 60s), "") << "seed " << seed;
    }
}

// More work than room at every level, over slow links: lower work is stopped for higher, and moves only once
// it is gone.
TEST(MoreWorkThanRoom, UrgentWorkOverSlowLinksStopsOtherWorkWithoutRunningItTwice) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        Site site({.seed = seed, .machines = 4, .most_machines = 5});
        auto& w = site.world;
        site.poll_all(2s);
        for (int i = 0; i < 6; ++i) {
            auto spec = site.job(4, 40);
            spec.priority = wire::Priority::low;
            if (i % 2) spec.checkpoint_s = 5, spec.save_s = 2;
            site.submit(spec);
        }
        site.run(9s);
        w.slow_links(1200ms, 40s);
        std::vector<std::string> urgent;
        for (int i = 0; i < 4; ++i) {
            auto spec = site.job(2, 15);
            spec.priority = i % 2 ? wire::Priority::high : wire::Priority::production;
            urgent.push_back(spec.id);
            site.submit(spec);
            site.run(4s);
        }
        if (seed % 2) site.kill(site.leader().value_or(0), 1s);
        site.run(60s);
        for (auto& id : urgent) EXPECT_TRUE(site.checker.over(id)) << id << ", seed " << seed;
        expect_no_rule_broken(site);
    }
}
