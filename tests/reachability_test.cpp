#include "fleet/reachability.hpp"

#include "support.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;
using fleet::LeaderReachability;
using fleet::WorkerRedirects;

namespace {
const TimePoint start = TimePoint{} + 1000s;
}

TEST(LeaderReachability, LeaderIsCutOffIfHeartbeatsArriveOnlyThroughOtherNodes) {
    LeaderReachability reachability(5s, start);
    EXPECT_FALSE(reachability.cut_off(start + 10s, 1000))
        << "no node forwards heartbeats: the workers may be at fault";
    reachability.heard_via_peer(start + 10s);
    EXPECT_TRUE(reachability.cut_off(start + 10s, 1000));
    EXPECT_FALSE(reachability.cut_off(start + 10s, 0));
    reachability.heard_directly(start + 11s);
    EXPECT_FALSE(reachability.cut_off(start + 12s, 1000));
    reachability.heard_via_peer(start + 13s);
    EXPECT_FALSE(reachability.cut_off(start + 13s, 1000))
        << "a heartbeat arrived directly, so only some workers can't reach the leader";
    reachability.heard_via_peer(start + 15s);
    EXPECT_TRUE(reachability.cut_off(start + 15s, 1000));
    EXPECT_FALSE(reachability.cut_off(start + 15s, 3)) << "three workers may all be silent for 4 s";
    reachability.heard_via_peer(start + 20s);
    EXPECT_TRUE(reachability.cut_off(start + 20s, 3));
    EXPECT_FALSE(reachability.cut_off(start + 40s, 1000)) << "the last forwarded heartbeat is too old";
}

TEST(WorkerRedirects, WorkerThatComesBackIsNotRedirectedAgainFor30SecondsUnlessForwardingFails) {
    WorkerRedirects redirects;
    EXPECT_TRUE(redirects.should_redirect("b", "n-1", start));
    EXPECT_FALSE(redirects.should_redirect("b", "n-1", start + 6s));
    EXPECT_FALSE(redirects.leader_unreachable(start + 6s)) << "a single worker may itself be at fault";
    EXPECT_FALSE(redirects.should_redirect("b", "n-1", start + 11s));
    EXPECT_TRUE(redirects.should_redirect("b", "n-1", start + 31s)) << "redirected again after 30 s";
    redirects.on_forwarding_failed("n-1");
    EXPECT_TRUE(redirects.should_redirect("b", "n-1", start + 32s));
}

// Each of a thousand workers that is redirected to an unreachable leader is silent for 5 s.
TEST(WorkerRedirects, AfterSeveralReturnsOtherWorkersAreRedirectedOnlyAsTrials) {
    WorkerRedirects redirects;
    for (int i = 0; i < 4; ++i) EXPECT_TRUE(redirects.should_redirect("b", "n-" + std::to_string(i), start));
    for (int i = 0; i < 3; ++i)
        EXPECT_FALSE(redirects.should_redirect("b", "n-" + std::to_string(i), start + 5s));
    EXPECT_TRUE(redirects.leader_unreachable(start + 5s));
    int redirected = 0;
    for (int i = 100; i < 600; ++i)
        redirected += redirects.should_redirect("b", "n-" + std::to_string(i), start + 5s + 20ms * (i - 100));
    EXPECT_GE(redirected, 4) << "one worker per trial interval";
    EXPECT_LE(redirected, 7);
    // No worker has come back lately: the leader counts as reachable, and all workers are redirected to it.
    redirected = 0;
    for (int i = 100; i < 600; ++i)
        redirected += redirects.should_redirect("b", "n-" + std::to_string(i), start + 60s);
    EXPECT_EQ(redirected, 500);
    // The returns from one leader don't count for the next one.
    EXPECT_TRUE(redirects.should_redirect("c", "n-0", start + 61s));
    EXPECT_FALSE(redirects.leader_unreachable(start + 61s));
}

TEST(WorkerRedirects, OldRedirectsAreRemoved) {
    WorkerRedirects redirects;
    for (int i = 0; i < 1000; ++i) redirects.should_redirect("b", "n-" + std::to_string(i), start);
    redirects.should_redirect("b", "n-0", start + 5min);
    EXPECT_LE(redirects.remembered(), 1u);
}

// The network delivered heartbeats late, from machines that had been returned meanwhile. The leader took them
// for new machines and stopped the attempts that really ran.
TEST(LateHeartbeat, FromAReturnedMachineIsIgnored) {
    Fleet f;
    f.up("n-1");
    f.add(f.spec("wk-1"));
    f.schedule_and_write();
    f.run("n-1");
    auto a = f.on("n-1").at(0);
    auto late = f.heartbeat("n-1", {{a, TaskState::running, Cause::none, false}});
    f.cluster->remove_machine("n-1", "returned", f.now);
    f.up("n-2");
    f.schedule_and_write();
    f.run("n-2");
    ASSERT_EQ(f.on("n-2").size(), 1u);
    EXPECT_FALSE(f.cluster->on_heartbeat(late, true, f.now));
    EXPECT_EQ(f.cluster->find_machine("n-1"), nullptr);
    f.cluster->on_heartbeat(f.heartbeat("n-2", {{f.on("n-2")[0], TaskState::running, Cause::none, false}}),
                            true, f.now);
    EXPECT_FALSE(f.machine("n-2").assignments.begin()->second.stop_requested);
}

TEST(LateHeartbeat, FromAMachineThatAPreviousLeaderReturnedStopsNoAttempt) {
    Fleet f;
    f.up("n-1");
    f.add(f.spec("wk-1"));
    f.schedule_and_write();
    f.run("n-1");
    auto old = f.on("n-1").at(0);
    auto late = f.heartbeat("n-1", {{old, TaskState::running, Cause::none, false}});
    f.cluster->remove_machine("n-1", "returned", f.now);
    f.up("n-2");
    f.schedule_and_write();
    f.run("n-2");
    auto running = f.on("n-2").at(0);
    ASSERT_GT(running.number, old.number);
    // The next leader's records list only n-2.
    f.restart(20);
    f.add(f.spec("wk-1"));
    f.cluster->on_heartbeat(f.heartbeat("n-2", {{running, TaskState::running, Cause::none, false}}, 20), true,
                            f.now);
    f.cluster->on_heartbeat(late, true, f.now);  // carries the previous leader's token
    f.cluster->on_heartbeat(f.heartbeat("n-2", {{running, TaskState::running, Cause::none, false}}, 20), true,
                            f.now);
    EXPECT_FALSE(f.machine("n-2").assignments.at(running).stop_requested);
    // A machine that reports this leader's token exists.
    auto alive = f.heartbeat("n-1", {{old, TaskState::running, Cause::none, false}}, 20);
    f.cluster->on_heartbeat(alive, true, f.now);
    f.cluster->on_heartbeat(f.heartbeat("n-2", {{running, TaskState::running, Cause::none, false}}, 20), true,
                            f.now);
    EXPECT_TRUE(f.machine("n-2").assignments.at(running).stop_requested);
}
