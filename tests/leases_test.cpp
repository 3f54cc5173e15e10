// Leases that a node keeps while it is cut off with its workers, and what the leader reckons with.
#include "leases/leases.hpp"

#include <gtest/gtest.h>

using namespace barrowrun;
using namespace barrowrun::leases;
using namespace std::chrono_literals;

namespace {

struct LeaseRenewal : ::testing::Test {
    TimePoint now = TimePoint{} + 1000s;
    Clock::duration keep = renewal_period(20, 40);
    RenewalBound bound{{"north", "south"}, keep, now, 7};
    LeaseRenewer renewer{"b", keep, now - 100s};
    wire::WorkerHeartbeat worker_heartbeat() {
        wire::WorkerHeartbeat r;
        r.machine = "n-1", r.zone = "b", r.fencing_token = 7;
        return r;
    }
    // A heartbeat that gets through, and the answer to it.
    void exchange(std::set<std::string> but = {}) {
        auto heartbeat = renewer.heartbeat(now);
        bound.heard("south", heartbeat, now, true);
        renewer.granted(now, now, {7, bound.timestamp_ms(now), false, std::move(but)});
    }
};

}  // namespace

// However long it was cut off, what a node kept is over `cancel_s` after the last word of its leader.
TEST_F(LeaseRenewal, NothingIsRenewedForLongerThanACancellationMayTake) {
    EXPECT_LT(keep + longer(20s), 40s);
    EXPECT_EQ(renewal_period(30, 25), Clock::duration::zero()) << "no room for it at all";
    exchange();
    now += 1s;
    exchange();
    const auto contact = now;
    EXPECT_FALSE(renewer.may_renew_cut_off(worker_heartbeat(), now, true))
        << "it has just promised to keep nothing";
    now += 3s;
    EXPECT_FALSE(renewer.may_renew_cut_off(worker_heartbeat(), now, false))
        << "the state service or the leader is heard";
    EXPECT_TRUE(renewer.may_renew_cut_off(worker_heartbeat(), now, true));
    now = contact + keep - 1ms;
    EXPECT_TRUE(renewer.may_renew_cut_off(worker_heartbeat(), now, true));
    now = contact + keep;
    EXPECT_FALSE(renewer.may_renew_cut_off(worker_heartbeat(), now, true));
}

TEST_F(LeaseRenewal, OnlyForWorkersOfItsZoneThatTakeItsTokenAndHoldNothingCancelled) {
    EXPECT_FALSE(renewer.may_renew_cut_off(worker_heartbeat(), now, true)) << "no leader has entitled it";
    exchange({"n-2"});
    now += 4s;
    auto r = worker_heartbeat();
    EXPECT_TRUE(renewer.may_renew_cut_off(r, now, true));
    r.zone = "a";
    EXPECT_FALSE(renewer.may_renew_cut_off(r, now, true));
    r = worker_heartbeat(), r.fencing_token = 8;
    EXPECT_FALSE(renewer.may_renew_cut_off(r, now, true)) << "the worker would drop it, and stay";
    r = worker_heartbeat(), r.machine = "n-2";
    EXPECT_FALSE(renewer.may_renew_cut_off(r, now, true)) << "it may hold a task of a cancelled job";
    renewer.granted(now, now, {7, 1, true, {}});
    now += 4s;
    EXPECT_FALSE(renewer.may_renew_cut_off(worker_heartbeat(), now, true)) << "too many to name";
}

// A leader that has not read the records yet is no better off than a node that was cut off: see
// docs/incidents/unread-leader.md.
TEST_F(LeaseRenewal, WhatIsNotReadIsRenewedOnlyFromTheLastContact) {
    EXPECT_FALSE(renewer.may_renew("n-1", now)) << "a fresh process knows of no cancellation";
    exchange({"n-2"});
    const auto contact = now;
    EXPECT_TRUE(renewer.may_renew("n-1", now));
    EXPECT_FALSE(renewer.may_renew("n-2", now)) << "it may hold a task of a cancelled job";
    EXPECT_TRUE(renewer.may_renew("n-1", contact + keep - 1ms));
    EXPECT_FALSE(renewer.may_renew("n-1", contact + keep));
    renewer.leads(contact + 1s, {8, 0, true, {}});
    EXPECT_FALSE(renewer.may_renew("n-1", contact + 2s)) << "too many to name";
    LeaseRenewer off{"b", Clock::duration::zero(), now};
    off.granted(now, now, {7, 1, false, {}});
    EXPECT_FALSE(off.may_renew("n-1", now)) << "no time between a lease and a cancellation";
}

TEST_F(LeaseRenewal, ASilentNodeMayBeRenewingAndOneThatIsHeardIsNot) {
    const auto began = now;
    EXPECT_EQ(bound.latest_renewal("b", now), now) << "a predecessor's word may still be good";
    for (int i = 0; i < 3; ++i) {
        exchange();
        bound.heard("north", {"a", 0, 0, 0, false, 50'000}, now, false);
        now += 1s;
    }
    EXPECT_LE(bound.latest_renewal("b", now), now - 100s)
        << "heard a second ago, it has kept nothing since it began";
    const auto granted = now - 1s;
    now += 5s;
    EXPECT_EQ(bound.latest_renewal("b", now), now) << "silent: it may be answering this moment";
    now += 60s;
    EXPECT_EQ(bound.latest_renewal("b", now), granted + longer(keep)) << "but not for ever";
    EXPECT_EQ(bound.latest_renewal("a", now), began + longer(keep)) << "what its predecessor granted";
}

TEST_F(LeaseRenewal, RenewalsCountOnceTheNodeIsHeardAgain) {
    exchange();
    now += 1s;
    exchange();
    now += 5s;
    ASSERT_TRUE(renewer.may_renew_cut_off(worker_heartbeat(), now, true));
    const auto kept = now;
    now += 10s;
    bound.heard("north", {"a", 0, 0, 0, false, 0}, now, false);
    exchange();
    now += 1s;
    exchange();
    EXPECT_GE(bound.latest_renewal("b", now), kept);
    EXPECT_LT(bound.latest_renewal("b", now), kept + 1s);
}

// A cut holds messages back for minutes: what they say of the present was true when they were sent.
TEST_F(LeaseRenewal, ADelayedHeartbeatSpeaksForTheTimeWhenItWasSent) {
    exchange();
    now += 1s;
    exchange();
    now += 1s;
    auto heartbeat = renewer.heartbeat(now);  // promises, and is held
    ASSERT_TRUE(heartbeat.pauses_renewal);
    now += 12s;
    ASSERT_TRUE(renewer.may_renew_cut_off(worker_heartbeat(), now, true));
    now += 1s;
    bound.heard("south", heartbeat, now, false);
    EXPECT_GE(bound.latest_renewal("b", now), now - 1s) << "its promise is long over";
}

TEST_F(LeaseRenewal, AHeartbeatOfAnotherTermProvesNothing) {
    auto heartbeat = Heartbeat{"b", 3, 1, 0, true, 100'000};
    now += 1s;
    bound.heard("south", heartbeat, now, true);
    EXPECT_EQ(bound.latest_renewal("b", now), now);
}

TEST_F(LeaseRenewal, MessagesAreReadBackAndMalformedOnesRefused) {
    Heartbeat s{"b", 7, 12, 900, true, 44};
    auto read = parse_heartbeat(to_json(s));
    ASSERT_TRUE(read);
    EXPECT_EQ(std::tie(read->zone, read->fencing_token, read->timestamp_ms, read->grant_age_ms,
                       read->pauses_renewal, read->last_renewal_age_ms),
              std::tie(s.zone, s.fencing_token, s.timestamp_ms, s.grant_age_ms, s.pauses_renewal,
                       s.last_renewal_age_ms));
    EXPECT_FALSE(parse_heartbeat({{"zone", "b"}, {"token", -1}}));
    EXPECT_FALSE(parse_renewal_grant({{"token", 1}, {"stamp", 2}, {"but", {1, 2}}}));
    EXPECT_FALSE(parse_renewal_grant({{"token", 1}, {"stamp", 2}}));
    RenewalGrant many{7, 1, false, {}};
    for (int i = 0; i < 1000; ++i) many.excluded_machines.insert("n-" + std::to_string(i));
    EXPECT_TRUE(parse_renewal_grant(to_json(many))->grants_nothing);
    EXPECT_EQ(parse_renewal_grant(to_json({7, 1, false, {"n-1"}}))->excluded_machines,
              std::set<std::string>{"n-1"});
}
