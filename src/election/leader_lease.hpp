#pragma once
// The leader's side of its lease: until when it may act. Plain decisions on times that are passed in (steady
// clock): no I/O, no clock.
#include <algorithm>
#include <map>
#include <string>

#include "base/clock.hpp"

namespace barrowrun::election {

// The lease of one term of leadership. It is valid until the state service may end it, counted from when the
// last successful extension was *sent*, less clock drift; or, while the state service answers nobody, until
// the first lease vote of any other node expires.
class LeaderLease {
  public:
    // `peers`: how many other nodes there are; the lease goes on by votes only if each of them granted one.
    explicit LeaderLease(std::size_t peers) : peers_(peers) {}

    // The state service confirmed an extension that was sent at `sent`.
    void extended(TimePoint sent, Clock::duration ttl) {
        service_expiry_ = std::max(service_expiry_, sent + shorter(ttl));
    }

    // A peer granted a vote on a request that was sent at `sent`.
    void vote_granted(const std::string& peer, TimePoint sent, Clock::duration length) {
        if (sent >= std::max(service_expiry_, votes_expiry())) interrupted_ = true;
        auto& expiry = vote_expiries_[peer];
        expiry = std::max(expiry, sent + shorter(length));
    }

    // Whether the leader may act now. Not const: it remembers that the lease was found expired. Votes carry
    // on a lease that was never interrupted. They cannot restore one that has expired, since a peer may have
    // led in between; an extension by the state service can, since it shows that nobody did.
    bool valid(TimePoint now) {
        if (revoked_ || now >= std::max(service_expiry_, votes_expiry())) {
            interrupted_ = true;
            return now < service_expiry_ && !revoked_;
        }
        if (now < service_expiry_) {
            interrupted_ = false;
            return true;
        }
        return !interrupted_;
    }

    // When the state service may end the lease; votes are not counted.
    TimePoint expiry() const { return service_expiry_; }

    // Leadership was lost or given up: never valid again.
    void revoke() { revoked_ = true; }

  private:
    // When the first vote expires; the beginning of time if any peer has granted none.
    TimePoint votes_expiry() const {
        if (peers_ == 0 || vote_expiries_.size() < peers_) return TimePoint{};
        TimePoint earliest = TimePoint::max();
        for (auto& [peer, expiry] : vote_expiries_) earliest = std::min(earliest, expiry);
        return earliest;
    }

    std::size_t peers_;
    TimePoint service_expiry_{};
    std::map<std::string, TimePoint> vote_expiries_;  // by peer
    bool interrupted_ = false, revoked_ = false;
};

}  // namespace barrowrun::election
