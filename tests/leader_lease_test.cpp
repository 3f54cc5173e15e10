#include "election/leader_lease.hpp"

#include <gtest/gtest.h>

#include "election/lease_voter.hpp"

using namespace barrowrun;
using namespace barrowrun::election;
using namespace std::chrono_literals;

namespace {
const TimePoint t0 = TimePoint{} + 100s;
}

TEST(LeaderLease, CountsFromWhenTheExtensionWasSentLessDrift) {
    LeaderLease a(2);
    EXPECT_FALSE(a.valid(t0));
    a.extended(t0, 3s);
    EXPECT_TRUE(a.valid(t0 + 2900ms));
    EXPECT_FALSE(a.valid(t0 + 2990ms));  // the service may end it at 3 s; our clock may be slow
}

TEST(LeaderLease, AnExtensionOfTheSameLeaseRestoresIt) {
    LeaderLease a(2);
    a.extended(t0, 3s);
    EXPECT_FALSE(a.valid(t0 + 10s));
    a.extended(t0 + 20s, 3s);
    EXPECT_TRUE(a.valid(t0 + 21s));
    a.revoke();
    EXPECT_FALSE(a.valid(t0 + 21s));
}

TEST(LeaderLease, StaysValidWhileEveryPeerGrantsAVote) {
    LeaderLease a(2);
    a.extended(t0, 3s);
    a.vote_granted("p", t0 + 2s, 2500ms);
    EXPECT_FALSE(a.valid(t0 + 3500ms)) << "one of two peers is not enough";
    LeaderLease b(2);
    b.extended(t0, 3s);
    b.vote_granted("p", t0 + 2s, 2500ms);
    b.vote_granted("q", t0 + 2s, 2500ms);
    EXPECT_TRUE(b.valid(t0 + 4s));
    EXPECT_FALSE(b.valid(t0 + 5s));
}

// Guards against a leader that lapsed unnoticed: a peer may have led in between.
TEST(LeaderLease, VotesNeverRestoreAnExpiredLease) {
    LeaderLease a(1);
    a.extended(t0, 3s);
    a.vote_granted("p", t0 + 4s, 2500ms);
    EXPECT_FALSE(a.valid(t0 + 5s));
}

TEST(LeaseVoter, ARestartedProcessIsBoundByItsPredecessorsVotes) {
    LeaseVoter a(t0, 2500ms);
    EXPECT_FALSE(a.may_campaign(t0 + 2500ms));
    EXPECT_TRUE(a.may_campaign(t0 + 2600ms));
    a.grant(t0 + 10s, 2500ms);
    a.grant(t0 + 10s, 100ms);
    EXPECT_FALSE(a.may_campaign(t0 + 12s));
}

TEST(LeaseVoter, MayNotCampaignWhileTheLeaderCountsItsVote) {
    LeaderLease leader(1);
    leader.extended(t0, 100ms);
    leader.vote_granted("p", t0 + 50ms, 2s);
    LeaseVoter peer(t0 - 1h, 2s);
    peer.grant(t0 + 50ms, 2s);  // received no earlier than sent
    for (auto t = t0; t < t0 + 4s; t += 5ms) EXPECT_FALSE(leader.valid(t) && peer.may_campaign(t));
}
