// Renewal of worker leases by a node that is partitioned together with its workers, and the leader's bound on
// such renewals.
#include <gtest/gtest.h>

#include "leases/leases.hpp"

using namespace barrowrun;
using namespace barrowrun::leases;
using namespace std::chrono_literals;

namespace {

struct LeaseRenewal : ::testing::Test {
    TimePoint now = TimePoint{} + 1000s;
    Clock::duration period = renewal_period(20, 40);
    RenewalBound bound{{"north", "south"}, period, now, 7};
    LeaseRenewer renewer{"b", period, now - 100s};
    wire::WorkerHeartbeat worker_heartbeat() {
        wire::WorkerHeartbeat heartbeat;
        heartbeat.machine = "n-1", heartbeat.zone = "b", heartbeat.fencing_token = 7;
        return heartbeat;
    }
    // Delivers a heartbeat of the node to the leader and the leader's grant to the node.
    void exchange(std::set<std::string> excluded_machines = {}) {
        auto heartbeat = renewer.heartbeat(now);
        bound.record_heartbeat("south", heartbeat, now, true);
        renewer.record_grant(now, now, {7, bound.timestamp_ms(now), false, std::move(excluded_machines)});
    }
};

}  // namespace

// However long a node is partitioned, the leases that it renewed expire within `cancel_s` after the leader's
// last answer.
TEST_F(LeaseRenewal, PartitionedNodeRenewsLeasesOnlyWithinTheRenewalPeriod) {
    EXPECT_LT(period + upper_bound_with_drift(20s), 40s);
    EXPECT_EQ(renewal_period(30, 25), Clock::duration::zero()) << "the lease lasts longer than cancel_s";
    exchange();
    now += 1s;
    exchange();
    const auto contact = now;
    EXPECT_FALSE(renewer.may_renew_in_partition(worker_heartbeat(), now, true))
        << "the node's heartbeat has just announced a renewal pause";
    now += 3s;
    EXPECT_FALSE(renewer.may_renew_in_partition(worker_heartbeat(), now, false))
        << "the node can reach the leader or the state service";
    EXPECT_TRUE(renewer.may_renew_in_partition(worker_heartbeat(), now, true));
    now = contact + period - 1ms;
    EXPECT_TRUE(renewer.may_renew_in_partition(worker_heartbeat(), now, true));
    now = contact + period;
    EXPECT_FALSE(renewer.may_renew_in_partition(worker_heartbeat(), now, true));
}

TEST_F(LeaseRenewal, PartitionedNodeRenewsOnlyForItsZoneAndNotForNewerTokensOrCancelledTasks) {
    EXPECT_FALSE(renewer.may_renew_in_partition(worker_heartbeat(), now, true))
        << "no leader has granted renewals";
    exchange({"n-2"});
    now += 4s;
    auto heartbeat = worker_heartbeat();
    EXPECT_TRUE(renewer.may_renew_in_partition(heartbeat, now, true));
    heartbeat.zone = "a";
    EXPECT_FALSE(renewer.may_renew_in_partition(heartbeat, now, true));
    heartbeat = worker_heartbeat(), heartbeat.fencing_token = 8;
    EXPECT_FALSE(renewer.may_renew_in_partition(heartbeat, now, true))
        << "the worker would ignore the answer and keep sending its heartbeats to this node";
    heartbeat = worker_heartbeat(), heartbeat.machine = "n-2";
    EXPECT_FALSE(renewer.may_renew_in_partition(heartbeat, now, true))
        << "n-2 may hold a task of a cancelled job";
    renewer.record_grant(now, now, {7, 1, true, {}});
    now += 4s;
    EXPECT_FALSE(renewer.may_renew_in_partition(worker_heartbeat(), now, true))
        << "the grant allows no renewals";
}

// A new leader that has not read the records yet may renew no more leases than a partitioned node: see
// docs/incidents/unread-leader.md.
TEST_F(LeaseRenewal, RenewalWithoutTheRecordsEndsOneRenewalPeriodAfterTheLastContact) {
    EXPECT_FALSE(renewer.may_renew("n-1", now)) << "a new process does not know which jobs are cancelled";
    exchange({"n-2"});
    const auto contact = now;
    EXPECT_TRUE(renewer.may_renew("n-1", now));
    EXPECT_FALSE(renewer.may_renew("n-2", now)) << "n-2 may hold a task of a cancelled job";
    EXPECT_TRUE(renewer.may_renew("n-1", contact + period - 1ms));
    EXPECT_FALSE(renewer.may_renew("n-1", contact + period));
    renewer.record_own_leadership(contact + 1s, {8, 0, true, {}});
    EXPECT_FALSE(renewer.may_renew("n-1", contact + 2s)) << "the grant allows no renewals";
    LeaseRenewer without_period{"b", Clock::duration::zero(), now};
    without_period.record_grant(now, now, {7, 1, false, {}});
    EXPECT_FALSE(without_period.may_renew("n-1", now)) << "the renewal period is zero";
}

TEST_F(LeaseRenewal, LeaderAssumesThatASilentNodeRenewsLeasesAndThatAReachableNodeDoesNot) {
    const auto term_start = now;
    EXPECT_EQ(bound.latest_possible_renewal("b", now), now)
        << "a grant of the previous leader may still be in force";
    for (int i = 0; i < 3; ++i) {
        exchange();
        bound.record_heartbeat("north", {"a", 0, 0, 0, false, 50'000}, now, false);
        now += 1s;
    }
    EXPECT_LE(bound.latest_possible_renewal("b", now), now - 100s)
        << "the last heartbeat of node south, a second ago, reported no renewal since its start";
    const auto last_grant = now - 1s;
    now += 5s;
    EXPECT_EQ(bound.latest_possible_renewal("b", now), now) << "a silent node may be renewing leases now";
    now += 60s;
    EXPECT_EQ(bound.latest_possible_renewal("b", now), last_grant + upper_bound_with_drift(period))
        << "the last grant has expired";
    EXPECT_EQ(bound.latest_possible_renewal("a", now), term_start + upper_bound_with_drift(period))
        << "grants of the previous leader have expired";
}

TEST_F(LeaseRenewal, LeaderLearnsTheTimeOfTheLastRenewalFromTheNextHeartbeat) {
    exchange();
    now += 1s;
    exchange();
    now += 5s;
    ASSERT_TRUE(renewer.may_renew_in_partition(worker_heartbeat(), now, true));
    const auto renewed = now;
    now += 10s;
    bound.record_heartbeat("north", {"a", 0, 0, 0, false, 0}, now, false);
    exchange();
    now += 1s;
    exchange();
    EXPECT_GE(bound.latest_possible_renewal("b", now), renewed);
    EXPECT_LT(bound.latest_possible_renewal("b", now), renewed + 1s);
}

// A partition may delay messages for minutes, so their content holds for the time at which they were sent.
TEST_F(LeaseRenewal, RenewalPauseOfADelayedHeartbeatCountsFromWhenItWasSent) {
    exchange();
    now += 1s;
    exchange();
    now += 1s;
    auto heartbeat = renewer.heartbeat(now);  // announces a renewal pause and is delayed
    ASSERT_TRUE(heartbeat.pauses_renewal);
    now += 12s;
    ASSERT_TRUE(renewer.may_renew_in_partition(worker_heartbeat(), now, true));
    now += 1s;
    bound.record_heartbeat("south", heartbeat, now, false);
    EXPECT_GE(bound.latest_possible_renewal("b", now), now - 1s) << "the announced renewal pause has ended";
}

TEST_F(LeaseRenewal, RenewalPauseInAHeartbeatWithATokenOfAnEarlierTermIsIgnored) {
    auto heartbeat = Heartbeat{"b", 3, 1, 0, true, 100'000};
    now += 1s;
    bound.record_heartbeat("south", heartbeat, now, true);
    EXPECT_EQ(bound.latest_possible_renewal("b", now), now);
}

TEST_F(LeaseRenewal, MessagesRoundTripThroughJsonAndMalformedOnesAreRefused) {
    Heartbeat heartbeat{"b", 7, 12, 900, true, 44};
    auto read = parse_heartbeat(to_json(heartbeat));
    ASSERT_TRUE(read);
    EXPECT_EQ(std::tie(read->zone, read->fencing_token, read->timestamp_ms, read->grant_age_ms,
                       read->pauses_renewal, read->last_renewal_age_ms),
              std::tie(heartbeat.zone, heartbeat.fencing_token, heartbeat.timestamp_ms,
                       heartbeat.grant_age_ms, heartbeat.pauses_renewal, heartbeat.last_renewal_age_ms));
    EXPECT_FALSE(parse_heartbeat({{"zone", "b"}, {"token", -1}}));
    EXPECT_FALSE(parse_renewal_grant({{"token", 1}, {"stamp", 2}, {"but", {1, 2}}}));
    EXPECT_FALSE(parse_renewal_grant({{"token", 1}, {"stamp", 2}}));
    RenewalGrant many{7, 1, false, {}};
    for (int i = 0; i < 1000; ++i) many.excluded_machines.insert("n-" + std::to_string(i));
    EXPECT_TRUE(parse_renewal_grant(to_json(many))->forbids_renewals);
    EXPECT_EQ(parse_renewal_grant(to_json({7, 1, false, {"n-1"}}))->excluded_machines,
              std::set<std::string>{"n-1"});
}
