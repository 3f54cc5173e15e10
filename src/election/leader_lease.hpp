#pragma once
// The leader's side of its lease: until when the leader may act. Pure logic on steady-clock times that the
// caller passes in; performs no I/O and reads no clock.
#include <algorithm>
#include <map>
#include <string>

#include "base/clock.hpp"

namespace barrowrun::election {

// The lease of one term of leadership. It is valid until the state service may end it, counted from the time
// at which the last successful extension was *sent*, less clock drift. If the lease can't be extended, it
// stays valid until the first of the lease votes of all other nodes expires.
class LeaderLease {
  public:
    // `peers`: the number of other nodes. Votes keep the lease valid only if each of these nodes granted one.
    explicit LeaderLease(std::size_t peers) : peer_count_(peers) {}

    // Records that the state service confirmed an extension sent at `sent`.
    void extended(TimePoint sent, Clock::duration ttl) {
        service_expiry_ = std::max(service_expiry_, sent + lower_bound_with_drift(ttl));
    }

    // Records that a peer granted a vote of this duration on a request sent at `sent`.
    void vote_granted(const std::string& peer, TimePoint sent, Clock::duration duration) {
        if (sent >= std::max(service_expiry_, votes_expiry())) interrupted_ = true;
        auto& expiry = vote_expiries_[peer];
        expiry = std::max(expiry, sent + lower_bound_with_drift(duration));
    }

    // Whether the leader may act now. Not const: the object remembers that the lease was found expired. Votes
    // prolong a lease that has not expired. They cannot restore an expired lease, because a peer may have led
    // in between; an extension by the state service can, because it proves that no other node led.
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

    // When the state service may end the lease; lease votes are not taken into account.
    TimePoint expiry() const { return service_expiry_; }

    // Makes the lease invalid for good, after leadership was lost or given up.
    void revoke() { revoked_ = true; }

  private:
    // When the first vote expires; the epoch of the clock if there are no peers or one has not granted a
    // vote.
    TimePoint votes_expiry() const {
        if (peer_count_ == 0 || vote_expiries_.size() < peer_count_) return TimePoint{};
        TimePoint earliest = TimePoint::max();
        for (auto& [peer, expiry] : vote_expiries_) earliest = std::min(earliest, expiry);
        return earliest;
    }

    std::size_t peer_count_;
    TimePoint service_expiry_{};
    std::map<std::string, TimePoint> vote_expiries_;  // keyed by peer name
    bool interrupted_ = false, revoked_ = false;
};

}  // namespace barrowrun::election
