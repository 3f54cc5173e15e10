#pragma once
// When a leader may act, and when a follower may take over. Plain arithmetic on the steady clock.
#include <map>
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
class Abstention {
  public:
    Abstention(TimePoint start, Clock::duration longest) : until_(start + longer(longest)) {}
    void promise(TimePoint now, Clock::duration length) { until_ = std::max(until_, now + longer(length)); }
    bool free(TimePoint now) const { return now >= until_; }
    TimePoint until() const { return until_; }

  private:
    TimePoint until_;
};

}  // namespace barrowrun::election
