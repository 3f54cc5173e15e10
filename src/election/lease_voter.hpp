#pragma once
// The follower's side of lease votes: when this node may campaign for leadership. Plain decisions on times
// that are passed in (steady clock): no I/O, no clock.
#include <algorithm>
#include <set>
#include <string>

#include "base/clock.hpp"

namespace barrowrun::election {

// Remembers which lease votes this node has granted. A vote is a promise to one leader process not to become
// leader for a while; the node withholds its own campaign until then.
//
// A restarted process does not know which votes its predecessor granted, so it begins bound for as long as a
// vote can last. It is freed earlier once the present process of every other node has said, in answer to a
// question sent after this process's start, that it does not lead. That is enough: a vote binds towards the
// process that led when it was granted, and is void once that process has ended or no longer leads, since
// leadership that was lost is only won again through the state service, and counts on new votes alone. With
// all nodes killed at once the wait ends when the last of them is back, up to 2.5 s sooner. A node that is
// not heard may lead, and binds.
class LeaseVoter {
  public:
    // `start`: when this process began; `longest`: the longest vote that its predecessor may have granted;
    // `others`: names of the other nodes (empty: not known, only time frees this node).
    LeaseVoter(TimePoint start, Clock::duration longest, const std::set<std::string>& others = {})
        : start_(start),
          predecessor_votes_expiry_(start + longer(longest)),
          others_known_(!others.empty()),
          may_lead_(others) {}

    // Grants a vote, received at `now`. It lasts `length` on the leader's clock: drift is added here.
    void grant(TimePoint now, Clock::duration length) {
        own_votes_expiry_ = std::max(own_votes_expiry_, now + longer(length));
    }

    // Another node's own answer to a question that was sent at `sent`.
    void peer_reported(const std::string& node, bool leads, TimePoint sent) {
        if (!leads && sent >= start_) may_lead_.erase(node);
    }

    // Whether a vote that the predecessor may have granted still binds.
    bool bound_by_predecessor(TimePoint now) const {
        return now < predecessor_votes_expiry_ && (!others_known_ || !may_lead_.empty());
    }

    bool may_campaign(TimePoint now) const { return now >= own_votes_expiry_ && !bound_by_predecessor(now); }

    // When it may campaign at the latest, from what is known by now.
    TimePoint may_campaign_at(TimePoint now) const {
        return bound_by_predecessor(now) ? std::max(own_votes_expiry_, predecessor_votes_expiry_)
                                         : own_votes_expiry_;
    }

  private:
    TimePoint start_, own_votes_expiry_{}, predecessor_votes_expiry_;
    bool others_known_;
    std::set<std::string> may_lead_;  // other nodes that have not said that they do not lead
};

}  // namespace barrowrun::election
