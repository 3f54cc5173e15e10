#pragma once
// When a leader may act, and when a follower may take over. Plain arithmetic on the steady clock.
#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "base/clock.hpp"

namespace barrowrun::election {

// The leader's right to act: its hold, counted from when the last successful extension was *sent*, or, while
// the state service answers nobody, the promises of all other nodes not to take over.
class LeaderLease {
  public:
    explicit LeaderLease(std::size_t peers) : peers_(peers) {}
    void extended(TimePoint sent, Clock::duration ttl) {
        lease_expiry_ = std::max(lease_expiry_, sent + shorter(ttl));
    }
    void vote_granted(const std::string& peer, TimePoint sent, Clock::duration length) {
        if (sent >= std::max(lease_expiry_, votes_expiry())) interrupted_ = true;
        auto& until = vote_expiries_[peer];
        until = std::max(until, sent + shorter(length));
    }
    // Promises renew a right that was never interrupted; they can't bring one back that has run out, since
    // a peer may have led in between.
    bool valid(TimePoint now) {
        TimePoint promised = votes_expiry();
        if (revoked_ || now >= std::max(lease_expiry_, promised)) {
            interrupted_ = true;
            return now < lease_expiry_ && !revoked_;
        }
        if (now < lease_expiry_) {
            interrupted_ = false;
            return true;
        }
        return !interrupted_;
    }
    TimePoint expiry() const { return lease_expiry_; }
    void revoke() { revoked_ = true; }

  private:
    TimePoint votes_expiry() const {
        if (peers_ == 0 || vote_expiries_.size() < peers_) return TimePoint{};
        TimePoint least = TimePoint::max();
        for (auto& [peer, until] : vote_expiries_) least = std::min(least, until);
        return least;
    }
    std::size_t peers_;
    TimePoint lease_expiry_{};
    std::map<std::string, TimePoint> vote_expiries_;
    bool interrupted_ = false, revoked_ = false;
};

// A follower's side of the promises. A fresh process does not know what its predecessor promised, so it
// begins bound for as long as a promise can last.
//
// A promise binds towards one process that led when it was given. It is void once that process has ended, or
// does not lead any more: a right that was lost is only won again by way of the state service, and counts on
// new promises alone. So a fresh process is free of its predecessor's as soon as the present process of every
// other node has said, after this one's start, that it does not lead: whoever was promised anything was one
// of these, or has ended. With all nodes killed at once that is when the last of them is back, 2.5 s sooner.
// A node that is not heard may lead, and binds.
class LeaseVoter {
  public:
    LeaseVoter(TimePoint start, Clock::duration longest, const std::set<std::string>& others = {})
        : start_(start), predecessor_votes_expiry_(start + longer(longest)), may_lead_(others) {
        known_ = !others.empty();
    }
    void grant(TimePoint now, Clock::duration length) { until_ = std::max(until_, now + longer(length)); }
    // A node's own answer to a question that was sent then.
    void peer_reported(const std::string& node, bool leads, TimePoint sent) {
        if (!leads && sent >= start_) may_lead_.erase(node);
    }
    // Whether what a predecessor may have promised still binds.
    bool bound_by_predecessor(TimePoint now) const {
        return now < predecessor_votes_expiry_ && (!known_ || !may_lead_.empty());
    }
    bool may_campaign(TimePoint now) const { return now >= until_ && !bound_by_predecessor(now); }
    // When it will be free, from what is known by now.
    TimePoint may_campaign_at(TimePoint now) const {
        return bound_by_predecessor(now) ? std::max(until_, predecessor_votes_expiry_) : until_;
    }

  private:
    TimePoint start_, until_{}, predecessor_votes_expiry_;
    std::set<std::string> may_lead_;  // other nodes that haven't said that they don't
    bool known_ = false;
};

}  // namespace barrowrun::election
