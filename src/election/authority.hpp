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
class Authority {
  public:
    explicit Authority(std::size_t peers) : peers_(peers) {}
    void hold_extended(TimePoint sent, Clock::duration ttl) {
        hold_until_ = std::max(hold_until_, sent + shorter(ttl));
    }
    void promised(const std::string& peer, TimePoint sent, Clock::duration length) {
        if (sent >= std::max(hold_until_, promised_until())) lapsed_ = true;
        auto& until = promises_[peer];
        until = std::max(until, sent + shorter(length));
    }
    // Promises renew a right that was never interrupted; they can't bring one back that has run out, since
    // a peer may have led in between.
    bool holds(TimePoint now) {
        TimePoint promised = promised_until();
        if (lost_ || now >= std::max(hold_until_, promised)) {
            lapsed_ = true;
            return now < hold_until_ && !lost_;
        }
        if (now < hold_until_) {
            lapsed_ = false;
            return true;
        }
        return !lapsed_;
    }
    TimePoint hold_until() const { return hold_until_; }
    void lose() { lost_ = true; }

  private:
    TimePoint promised_until() const {
        if (peers_ == 0 || promises_.size() < peers_) return TimePoint{};
        TimePoint least = TimePoint::max();
        for (auto& [peer, until] : promises_) least = std::min(least, until);
        return least;
    }
    std::size_t peers_;
    TimePoint hold_until_{};
    std::map<std::string, TimePoint> promises_;
    bool lapsed_ = false, lost_ = false;
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
class Abstention {
  public:
    Abstention(TimePoint start, Clock::duration longest, const std::set<std::string>& others = {})
        : start_(start), inherited_until_(start + longer(longest)), may_lead_(others) {
        known_ = !others.empty();
    }
    void promise(TimePoint now, Clock::duration length) { until_ = std::max(until_, now + longer(length)); }
    // A node's own answer to a question that was sent then.
    void said(const std::string& node, bool leads, TimePoint sent) {
        if (!leads && sent >= start_) may_lead_.erase(node);
    }
    // Whether what a predecessor may have promised still binds.
    bool inherited(TimePoint now) const { return now < inherited_until_ && (!known_ || !may_lead_.empty()); }
    bool free(TimePoint now) const { return now >= until_ && !inherited(now); }
    // When it will be free, from what is known by now.
    TimePoint until(TimePoint now) const {
        return inherited(now) ? std::max(until_, inherited_until_) : until_;
    }

  private:
    TimePoint start_, until_{}, inherited_until_;
    std::set<std::string> may_lead_;  // other nodes that haven't said that they don't
    bool known_ = false;
};

}  // namespace barrowrun::election
