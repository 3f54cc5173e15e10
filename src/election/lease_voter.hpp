#pragma once
// The follower's side of lease votes: when this node may campaign for leadership. Pure logic on steady-clock
// times that the caller passes in; performs no I/O and reads no clock.
#include <algorithm>
#include <set>
#include <string>

#include "base/clock.hpp"

namespace barrowrun::election {

// Records the expiry of the lease votes that this node has granted. A lease vote promises one leader process
// that this node will not become leader before the vote expires; the node does not campaign until then.
//
// A restarted process does not know which votes its predecessor granted, so it does not campaign for the
// longest duration of a vote. It may campaign earlier once the current process of every other node has
// answered a heartbeat, sent after the start of this process, that it does not lead. This is safe: a vote
// binds this node only towards the process that led when the vote was granted, and is void once that process
// has ended or no longer leads, because lost leadership can only be regained through the state service and
// then relies on new votes alone. If all nodes are killed at once, the wait ends when the last of them has
// restarted and answered, up to 2.5 s before the votes of the predecessor have certainly expired. A node that
// has not answered may be the leader, so the wait continues.
class LeaseVoter {
  public:
    // `start`: when this process started; `max_vote`: the longest vote that its predecessor may have granted;
    // `others`: names of the other nodes (if empty, only the passing of time ends the wait).
    LeaseVoter(TimePoint start, Clock::duration max_vote, const std::set<std::string>& others = {})
        : start_(start),
          predecessor_votes_expiry_(start + upper_bound_with_drift(max_vote)),
          others_known_(!others.empty()),
          possible_leaders_(others) {}

    // Grants a vote on a request received at `now`. The vote lasts `duration` on the leader's clock, so the
    // clock drift is added to it here.
    void grant(TimePoint now, Clock::duration duration) {
        own_votes_expiry_ = std::max(own_votes_expiry_, now + upper_bound_with_drift(duration));
    }

    // Records another node's answer to a heartbeat sent at `sent`.
    void peer_reported(const std::string& node, bool leads, TimePoint sent) {
        if (!leads && sent >= start_) possible_leaders_.erase(node);
    }

    // Whether a vote that the predecessor process may have granted can still be in force.
    bool bound_by_predecessor(TimePoint now) const {
        return now < predecessor_votes_expiry_ && (!others_known_ || !possible_leaders_.empty());
    }

    bool may_campaign(TimePoint now) const { return now >= own_votes_expiry_ && !bound_by_predecessor(now); }

    // The time after which this node may campaign; answers of other nodes may make it earlier.
    TimePoint may_campaign_at(TimePoint now) const {
        return bound_by_predecessor(now) ? std::max(own_votes_expiry_, predecessor_votes_expiry_)
                                         : own_votes_expiry_;
    }

  private:
    TimePoint start_, own_votes_expiry_{}, predecessor_votes_expiry_;
    bool others_known_;
    std::set<std::string> possible_leaders_;  // other nodes that have not reported that they do not lead
};

}  // namespace barrowrun::election
