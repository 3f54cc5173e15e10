#include "election/authority.hpp"

#include <gtest/gtest.h>

using namespace barrowrun;
using namespace barrowrun::election;
using namespace std::chrono_literals;

namespace {
const TimePoint t0 = TimePoint{} + 100s;
}

TEST(Authority, CountsTheHoldFromWhenTheExtensionWasSentLessDrift) {
    Authority a(2);
    EXPECT_FALSE(a.holds(t0));
    a.hold_extended(t0, 3s);
    EXPECT_TRUE(a.holds(t0 + 2900ms));
    EXPECT_FALSE(a.holds(t0 + 2990ms));  // the service may end it at 3 s; our clock may be slow
}

TEST(Authority, AnExtensionOfTheSameHoldBringsTheRightBack) {
    Authority a(2);
    a.hold_extended(t0, 3s);
    EXPECT_FALSE(a.holds(t0 + 10s));
    a.hold_extended(t0 + 20s, 3s);
    EXPECT_TRUE(a.holds(t0 + 21s));
    a.lose();
    EXPECT_FALSE(a.holds(t0 + 21s));
}

TEST(Authority, GoesOnWhileEveryPeerPromises) {
    Authority a(2);
    a.hold_extended(t0, 3s);
    a.promised("p", t0 + 2s, 2500ms);
    EXPECT_FALSE(a.holds(t0 + 3500ms)) << "one of two peers is not enough";
    Authority b(2);
    b.hold_extended(t0, 3s);
    b.promised("p", t0 + 2s, 2500ms);
    b.promised("q", t0 + 2s, 2500ms);
    EXPECT_TRUE(b.holds(t0 + 4s));
    EXPECT_FALSE(b.holds(t0 + 5s));
}

// Guards against a leader that lapsed unnoticed: a peer may have led in between.
TEST(Authority, PromisesNeverBringBackARightThatRanOut) {
    Authority a(1);
    a.hold_extended(t0, 3s);
    a.promised("p", t0 + 4s, 2500ms);
    EXPECT_FALSE(a.holds(t0 + 5s));
}

TEST(Abstention, AFreshProcessIsBoundByWhatItsPredecessorMayHavePromised) {
    Abstention a(t0, 2500ms);
    EXPECT_FALSE(a.free(t0 + 2500ms));
    EXPECT_TRUE(a.free(t0 + 2600ms));
    a.promise(t0 + 10s, 2500ms);
    a.promise(t0 + 10s, 100ms);
    EXPECT_FALSE(a.free(t0 + 12s));
}

TEST(Abstention, OutlastsWhatTheLeaderCountsOn) {
    Authority leader(1);
    leader.hold_extended(t0, 100ms);
    leader.promised("p", t0 + 50ms, 2s);
    Abstention peer(t0 - 1h, 2s);
    peer.promise(t0 + 50ms, 2s);  // received no earlier than sent
    for (auto t = t0; t < t0 + 4s; t += 5ms) EXPECT_FALSE(leader.holds(t) && peer.free(t));
}
