// Leases that a node keeps while it is cut off with its workers, and what the leader reckons with.
#include "leases/leases.hpp"

#include <gtest/gtest.h>

using namespace barrowrun;
using namespace barrowrun::leases;
using namespace std::chrono_literals;

namespace {

struct Kept : ::testing::Test {
    TimePoint now = TimePoint{} + 1000s;
    Clock::duration keep = keep_for(20, 40);
    Cover cover{{"north", "south"}, keep, now, 7};
    Keeper keeper{"b", keep, now - 100s};
    wire::Report report() {
        wire::Report r;
        r.machine = "n-1", r.zone = "b", r.token = 7;
        return r;
    }
    // A sign of life that gets through, and the answer to it.
    void exchange(std::set<std::string> but = {}) {
        auto sign = keeper.sign(now);
        cover.heard("south", sign, now, true);
        keeper.granted(now, now, {7, cover.stamp(now), false, std::move(but)});
    }
};

}  // namespace

// However long it was cut off, what a node kept is over `cancel_s` after the last word of its leader.
TEST_F(Kept, NothingIsKeptForLongerThanACancellationMayTake) {
    EXPECT_LT(keep + longer(20s), 40s);
    EXPECT_EQ(keep_for(30, 25), Clock::duration::zero()) << "no room for it at all";
    exchange();
    now += 1s;
    exchange();
    const auto contact = now;
    EXPECT_FALSE(keeper.may_keep(report(), now, true)) << "it has just promised to keep nothing";
    now += 3s;
    EXPECT_FALSE(keeper.may_keep(report(), now, false)) << "the state service or the leader is heard";
    EXPECT_TRUE(keeper.may_keep(report(), now, true));
    now = contact + keep - 1ms;
    EXPECT_TRUE(keeper.may_keep(report(), now, true));
    now = contact + keep;
    EXPECT_FALSE(keeper.may_keep(report(), now, true));
}

TEST_F(Kept, OnlyForWorkersOfItsZoneThatTakeItsTokenAndHoldNothingCancelled) {
    EXPECT_FALSE(keeper.may_keep(report(), now, true)) << "no leader has entitled it";
    exchange({"n-2"});
    now += 4s;
    auto r = report();
    EXPECT_TRUE(keeper.may_keep(r, now, true));
    r.zone = "a";
    EXPECT_FALSE(keeper.may_keep(r, now, true));
    r = report(), r.token = 8;
    EXPECT_FALSE(keeper.may_keep(r, now, true)) << "the worker would drop it, and stay";
    r = report(), r.machine = "n-2";
    EXPECT_FALSE(keeper.may_keep(r, now, true)) << "it may hold a task of a cancelled job";
    keeper.granted(now, now, {7, 1, true, {}});
    now += 4s;
    EXPECT_FALSE(keeper.may_keep(report(), now, true)) << "too many to name";
}

// A leader that has not read the records yet is no better off than a node that was cut off: see
// docs/incidents/unread-leader.md.
TEST_F(Kept, WhatIsNotReadIsRenewedOnlyFromTheLastContact) {
    EXPECT_FALSE(keeper.may_renew("n-1", now)) << "a fresh process knows of no cancellation";
    exchange({"n-2"});
    const auto contact = now;
    EXPECT_TRUE(keeper.may_renew("n-1", now));
    EXPECT_FALSE(keeper.may_renew("n-2", now)) << "it may hold a task of a cancelled job";
    EXPECT_TRUE(keeper.may_renew("n-1", contact + keep - 1ms));
    EXPECT_FALSE(keeper.may_renew("n-1", contact + keep));
    keeper.leads(contact + 1s, {8, 0, true, {}});
    EXPECT_FALSE(keeper.may_renew("n-1", contact + 2s)) << "too many to name";
    Keeper off{"b", Clock::duration::zero(), now};
    off.granted(now, now, {7, 1, false, {}});
    EXPECT_FALSE(off.may_renew("n-1", now)) << "no time between a lease and a cancellation";
}

TEST_F(Kept, TheLeaderReckonsWithANodeThatIsSilentAndNotWithOneThatIsHeard) {
    const auto began = now;
    EXPECT_EQ(cover.answered("b", now), now) << "a predecessor's word may still be good";
    for (int i = 0; i < 3; ++i) {
        exchange();
        cover.heard("north", {"a", 0, 0, 0, false, 50'000}, now, false);
        now += 1s;
    }
    EXPECT_LE(cover.answered("b", now), now - 100s)
        << "heard a second ago, it has kept nothing since it began";
    const auto granted = now - 1s;
    now += 5s;
    EXPECT_EQ(cover.answered("b", now), now) << "silent: it may be answering this moment";
    now += 60s;
    EXPECT_EQ(cover.answered("b", now), granted + longer(keep)) << "but not for ever";
    EXPECT_EQ(cover.answered("a", now), began + longer(keep)) << "what its predecessor granted";
}

TEST_F(Kept, WhatANodeKeptCountsWhenItIsHeardAgain) {
    exchange();
    now += 1s;
    exchange();
    now += 5s;
    ASSERT_TRUE(keeper.may_keep(report(), now, true));
    const auto kept = now;
    now += 10s;
    cover.heard("north", {"a", 0, 0, 0, false, 0}, now, false);
    exchange();
    now += 1s;
    exchange();
    EXPECT_GE(cover.answered("b", now), kept);
    EXPECT_LT(cover.answered("b", now), kept + 1s);
}

// A cut holds messages back for minutes: what they say of the present was true when they were sent.
TEST_F(Kept, ASignOfLifeThatWasHeldSpeaksForTheTimeWhenItWasSent) {
    exchange();
    now += 1s;
    exchange();
    now += 1s;
    auto sign = keeper.sign(now);  // promises, and is held
    ASSERT_TRUE(sign.quiet);
    now += 12s;
    ASSERT_TRUE(keeper.may_keep(report(), now, true));
    now += 1s;
    cover.heard("south", sign, now, false);
    EXPECT_GE(cover.answered("b", now), now - 1s) << "its promise is long over";
}

TEST_F(Kept, AWordOfAnotherLeadersTermPromisesNothing) {
    auto sign = Sign{"b", 3, 1, 0, true, 100'000};
    now += 1s;
    cover.heard("south", sign, now, true);
    EXPECT_EQ(cover.answered("b", now), now);
}

TEST_F(Kept, TheFormatsAreReadBackAndBadOnesRefused) {
    Sign s{"b", 7, 12, 900, true, 44};
    auto read = parse_sign(to_json(s));
    ASSERT_TRUE(read);
    EXPECT_EQ(std::tie(read->zone, read->token, read->stamp, read->held_ms, read->quiet, read->own_ms),
              std::tie(s.zone, s.token, s.stamp, s.held_ms, s.quiet, s.own_ms));
    EXPECT_FALSE(parse_sign({{"zone", "b"}, {"token", -1}}));
    EXPECT_FALSE(parse_grant({{"token", 1}, {"stamp", 2}, {"but", {1, 2}}}));
    EXPECT_FALSE(parse_grant({{"token", 1}, {"stamp", 2}}));
    Grant many{7, 1, false, {}};
    for (int i = 0; i < 1000; ++i) many.but.insert("n-" + std::to_string(i));
    EXPECT_TRUE(parse_grant(to_json(many))->nothing);
    EXPECT_EQ(parse_grant(to_json({7, 1, false, {"n-1"}}))->but, std::set<std::string>{"n-1"});
}
