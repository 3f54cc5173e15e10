#include "fleet/reachability.hpp"

#include "support.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;
using fleet::LeaderReachability;
using fleet::WorkerRedirects;

namespace {
const TimePoint t0 = TimePoint{} + 1000s;
}

TEST(LeaderWithoutWorkers, IsToldByHeartbeatsThatComeByWayOfPeersAlone) {
    LeaderReachability c(5s, t0);
    EXPECT_FALSE(c.cut_off(t0 + 10s, 1000)) << "nobody passes anything on: the trouble may be the workers'";
    c.heard_via_peer(t0 + 10s);
    EXPECT_TRUE(c.cut_off(t0 + 10s, 1000));
    EXPECT_FALSE(c.cut_off(t0 + 10s, 0));
    c.heard_directly(t0 + 11s);
    EXPECT_FALSE(c.cut_off(t0 + 12s, 1000));
    c.heard_via_peer(t0 + 13s);
    EXPECT_FALSE(c.cut_off(t0 + 13s, 1000)) << "a single worker that can't reach it says nothing";
    c.heard_via_peer(t0 + 15s);
    EXPECT_TRUE(c.cut_off(t0 + 15s, 1000));
    EXPECT_FALSE(c.cut_off(t0 + 15s, 3)) << "three workers may well be silent for that long";
    c.heard_via_peer(t0 + 20s);
    EXPECT_TRUE(c.cut_off(t0 + 20s, 3));
    EXPECT_FALSE(c.cut_off(t0 + 40s, 1000)) << "long ago";
}

TEST(Redirect, AWorkerThatComesBackIsServedHere) {
    WorkerRedirects r;
    EXPECT_TRUE(r.should_redirect("b", "n-1", t0));
    EXPECT_FALSE(r.should_redirect("b", "n-1", t0 + 6s));
    EXPECT_FALSE(r.leader_unreachable(t0 + 6s)) << "one alone may have its own trouble";
    EXPECT_FALSE(r.should_redirect("b", "n-1", t0 + 11s));
    EXPECT_TRUE(r.should_redirect("b", "n-1", t0 + 31s)) << "sent again after a while";
    r.on_forwarding_failed("n-1");
    EXPECT_TRUE(r.should_redirect("b", "n-1", t0 + 32s));
}

// Each of a thousand workers that is sent to a leader out of reach is silent for 5 s.
TEST(Redirect, WhenSeveralComeBackTheOthersAreNotSent) {
    WorkerRedirects r;
    for (int i = 0; i < 4; ++i) EXPECT_TRUE(r.should_redirect("b", "n-" + std::to_string(i), t0));
    for (int i = 0; i < 3; ++i) EXPECT_FALSE(r.should_redirect("b", "n-" + std::to_string(i), t0 + 5s));
    EXPECT_TRUE(r.leader_unreachable(t0 + 5s));
    int sent = 0;
    for (int i = 100; i < 600; ++i)
        sent += r.should_redirect("b", "n-" + std::to_string(i), t0 + 5s + 20ms * (i - 100));
    EXPECT_GE(sent, 4) << "one now and then, to see";
    EXPECT_LE(sent, 7);
    // Nobody comes back: it is reached again, and those that were served here go to it.
    sent = 0;
    for (int i = 100; i < 600; ++i) sent += r.should_redirect("b", "n-" + std::to_string(i), t0 + 60s);
    EXPECT_EQ(sent, 500);
    // Another leader: nothing is known of it.
    EXPECT_TRUE(r.should_redirect("c", "n-0", t0 + 61s));
    EXPECT_FALSE(r.leader_unreachable(t0 + 61s));
}

TEST(Redirect, OldOnesAreForgotten) {
    WorkerRedirects r;
    for (int i = 0; i < 1000; ++i) r.should_redirect("b", "n-" + std::to_string(i), t0);
    r.should_redirect("b", "n-0", t0 + 5min);
    EXPECT_LE(r.remembered(), 1u);
}

// Heartbeats that a cut had held came from machines that had been returned: taken for new ones, they made the
// leader stop what really ran.
TEST(LateHeartbeat, OfAMachineThatIsGoneIsOfNoAccount) {
    Fleet f;
    f.up("n-1");
    f.add(f.spec("wk-1"));
    f.place_all();
    f.run("n-1");
    auto a = f.on("n-1").at(0);
    auto held = f.heartbeat("n-1", {{a, TaskState::running, Cause::none, false}});
    f.cluster->machine_gone("n-1", "returned", f.now);
    f.up("n-2");
    f.place_all();
    f.run("n-2");
    ASSERT_EQ(f.on("n-2").size(), 1u);
    EXPECT_FALSE(f.cluster->on_heartbeat(held, true, f.now));
    EXPECT_EQ(f.cluster->find_machine("n-1"), nullptr);
    f.cluster->on_heartbeat(f.heartbeat("n-2", {{f.on("n-2")[0], TaskState::running, Cause::none, false}}),
                            true, f.now);
    EXPECT_FALSE(f.machine("n-2").assignments.begin()->second.stop_requested);
}

TEST(LateHeartbeat, OfAMachineThatAPredecessorReturnedStopsNothing) {
    Fleet f;
    f.up("n-1");
    f.add(f.spec("wk-1"));
    f.place_all();
    f.run("n-1");
    auto old = f.on("n-1").at(0);
    auto held = f.heartbeat("n-1", {{old, TaskState::running, Cause::none, false}});
    f.cluster->machine_gone("n-1", "returned", f.now);
    f.up("n-2");
    f.place_all();
    f.run("n-2");
    auto real = f.on("n-2").at(0);
    ASSERT_GT(real.number, old.number);
    // A successor, whose records name n-2 alone.
    f.restart(20);
    f.add(f.spec("wk-1"));
    f.cluster->on_heartbeat(f.heartbeat("n-2", {{real, TaskState::running, Cause::none, false}}, 20), true,
                            f.now);
    f.cluster->on_heartbeat(held, true, f.now);  // shows the predecessor's token
    f.cluster->on_heartbeat(f.heartbeat("n-2", {{real, TaskState::running, Cause::none, false}}, 20), true,
                            f.now);
    EXPECT_FALSE(f.machine("n-2").assignments.at(real).stop_requested);
    // One that has shown this leader's token is real.
    auto alive = f.heartbeat("n-1", {{old, TaskState::running, Cause::none, false}}, 20);
    f.cluster->on_heartbeat(alive, true, f.now);
    f.cluster->on_heartbeat(f.heartbeat("n-2", {{real, TaskState::running, Cause::none, false}}, 20), true,
                            f.now);
    EXPECT_TRUE(f.machine("n-2").assignments.at(real).stop_requested);
}
