// The cancellation gap: what becomes of its tasks after a job was confirmed as cancelled, while leaders
// change and the state service is out for longer than `cancel_s`.
#include <gtest/gtest.h>

#include "sim/faults.hpp"

using namespace barrowrun;
using namespace barrowrun::sim;

namespace {

// A machine that hears nobody for a moment holds a task of a job that the leader has confirmed as cancelled.
// The leader ends. Its successor is elected, and before it has read the records the state service is out for
// all. `another_leads`: the old leader's node, which is back soon, has not won the election itself.
void confirmed_then_unread(Site& site, std::string& id, Nanos after_election, bool& another_leads) {
    site.poll_all(2s);
    auto spec = site.job(1, 500);
    id = spec.id;
    site.submit(spec);
    ASSERT_TRUE(run_until(site, 30s, [&] { return site.worker_running(id) != nullptr; }));
    site.run(4s);
    auto* worker = site.worker_running(id);
    const auto old = site.leader();
    const auto old_process = site.leading_process();
    ASSERT_TRUE(old);
    cut_machine(site, worker->name(), 4200ms);
    site.cancel(id, old);
    ASSERT_TRUE(run_until(site, 2s, [&] { return site.checker.over(id); }));
    site.kill(*old, 300ms);
    ASSERT_TRUE(
        run_until(site, 6s, [&] { return site.leading_process() && site.leading_process() != old_process; }));
    another_leads = site.leader() != old;
    site.run(after_election);
    site.state().outage(50s);
}

}  // namespace

TEST(Sim, ASiteWithoutTroublesKeepsEveryRuleAndRepeatsItself) {
    std::string first;
    for (int pass = 0; pass < 2; ++pass) {
        Site site({.seed = 5});
        site.poll_all(2s);
        for (int i = 0; i < 6; ++i) site.submit(site.job(4, 15));
        site.run(10s);
        auto late = site.job(3, 500);
        site.submit(late);
        site.run(20s);
        site.cancel(late.id);
        site.run(90s);
        EXPECT_EQ(site.verdict(0s), "");
        EXPECT_EQ(site.checker.confirmed(), 1u);
        EXPECT_GE(site.checker.starts(), 27u);
        if (pass == 0)
            first = site.history();
        else
            EXPECT_EQ(site.history(), first);
    }
}

TEST(Gap, ALeaderThatHasNotReadTheRecordsKeepsNoTaskOfACancelledJobAlive) {
    // At every moment from its election to when it has read all.
    for (auto after = 0ms; after < 40ms; after += 2ms) {
        bool another_leads = false;
        for (std::uint64_t seed = 1; !another_leads; ++seed) {
            ASSERT_LE(seed, 10u) << after.count() << " ms after the election";
            Site site({.seed = seed, .machines = 3});
            std::string id;
            confirmed_then_unread(site, id, after, another_leads);
            site.run(60s);
            EXPECT_EQ(site.verdict(site.world.now()), "") << after.count() << " ms after the election";
        }
    }
}

// A launch was pushed to a machine and is held up on the way, while the machine reports by way of other
// nodes. The job is cancelled, and then the state service is out, so that the token can't be renewed.
TEST(Gap, ALaunchThatIsHeldUpForLongStartsNothingThatWasCancelled) {
    // Whether a connection holds the launch or can't be opened at all is drawn.
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        // The lease is long enough for the worker to find a node that passes its heartbeats on.
        Site site({.seed = seed, .machines = 1, .most_machines = 1, .lease_s = 26, .cancel_s = 52});
        site.poll_all(2s);
        auto before = site.job(1, 500);
        site.submit(before);
        ASSERT_TRUE(run_until(site, 30s, [&] { return site.worker_running(before.id) != nullptr; }));
        site.run(2s);
        auto* worker = site.worker_running(before.id);
        const auto old = *site.leader();
        site.world.cut(worker->name(), site.node_name(old), 80s, Fault::Kind::hold);
        std::vector<std::string> ids;
        for (int i = 0; i < 3; ++i) {
            auto spec = site.job(1, 500);
            ids.push_back(spec.id);
            site.submit(spec);
        }
        site.run(1s);
        for (auto& id : ids) site.cancel(id, old);
        ASSERT_TRUE(run_until(site, 3s, [&] { return site.checker.confirmed() == 3; }));
        site.state().outage(100s);
        site.run(130s);
        EXPECT_EQ(site.verdict(site.world.now()), "") << "seed " << seed;
    }
}
