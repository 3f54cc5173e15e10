#include "election/leader_lease.hpp"

#include <gtest/gtest.h>

#include "election/lease_voter.hpp"

using namespace barrowrun;
using namespace barrowrun::election;
using namespace std::chrono_literals;

namespace {
const TimePoint t0 = TimePoint{} + 100s;
}

TEST(LeaderLease, ExpiresAfterItsDurationFromSendingTheExtensionLessClockDrift) {
    LeaderLease lease(2);
    EXPECT_FALSE(lease.valid(t0));
    lease.extended(t0, 3s);
    EXPECT_TRUE(lease.valid(t0 + 2900ms));
    EXPECT_FALSE(lease.valid(t0 + 2990ms));  // the service may end it at 3 s, and the local clock may be slow
}

TEST(LeaderLease, ExtensionRestoresAnExpiredLeaseUnlessItWasRevoked) {
    LeaderLease lease(2);
    lease.extended(t0, 3s);
    EXPECT_FALSE(lease.valid(t0 + 10s));
    lease.extended(t0 + 20s, 3s);
    EXPECT_TRUE(lease.valid(t0 + 21s));
    lease.revoke();
    EXPECT_FALSE(lease.valid(t0 + 21s));
}

TEST(LeaderLease, StaysValidWhileEveryPeerGrantsAVote) {
    LeaderLease lease(2);
    lease.extended(t0, 3s);
    lease.vote_granted("p", t0 + 2s, 2500ms);
    EXPECT_FALSE(lease.valid(t0 + 3500ms)) << "a vote of only one of two peers does not prolong the lease";
    LeaderLease voted_lease(2);
    voted_lease.extended(t0, 3s);
    voted_lease.vote_granted("p", t0 + 2s, 2500ms);
    voted_lease.vote_granted("q", t0 + 2s, 2500ms);
    EXPECT_TRUE(voted_lease.valid(t0 + 4s));
    EXPECT_FALSE(voted_lease.valid(t0 + 5s));
}

// Guards against a leader that acts on votes after its lease expired unnoticed: a peer may have led in
// between.
TEST(LeaderLease, VotesNeverRestoreAnExpiredLease) {
    LeaderLease lease(1);
    lease.extended(t0, 3s);
    lease.vote_granted("p", t0 + 4s, 2500ms);
    EXPECT_FALSE(lease.valid(t0 + 5s));
}

TEST(LeaseVoter, RestartedProcessDoesNotCampaignUntilItsPredecessorsVotesHaveExpired) {
    LeaseVoter voter(t0, 2500ms);
    EXPECT_FALSE(voter.may_campaign(t0 + 2500ms));
    EXPECT_TRUE(voter.may_campaign(t0 + 2600ms));
    voter.grant(t0 + 10s, 2500ms);
    voter.grant(t0 + 10s, 100ms);
    EXPECT_FALSE(voter.may_campaign(t0 + 12s));
}

TEST(LeaseVoter, MayNotCampaignWhileItsVoteKeepsALeaderLeaseValid) {
    LeaderLease leader(1);
    leader.extended(t0, 100ms);
    leader.vote_granted("p", t0 + 50ms, 2s);
    LeaseVoter peer(t0 - 1h, 2s);
    peer.grant(t0 + 50ms, 2s);  // received no earlier than sent
    for (auto t = t0; t < t0 + 4s; t += 5ms) EXPECT_FALSE(leader.valid(t) && peer.may_campaign(t));
}
