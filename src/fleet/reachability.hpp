#pragma once
// Reachability between workers and nodes, as far as it can be told from what comes in. Decisions only: no
// I/O, no clock of its own.
#include <algorithm>
#include <deque>
#include <string>
#include <unordered_map>

#include "base/clock.hpp"

namespace barrowrun::fleet {

/// A leader's side: whether workers reach it directly, or only by way of other nodes.
///
/// Found on simulated days on which the leader alone lost the workers, for 41 s: their heartbeats came by way
/// of the other nodes, late, it could send them nothing, and their silence made it return 400 machines that
/// were well (docs/incidents/leader-without-workers.md).
class LeaderReachability {
  public:
    /// `heartbeat_interval`: of each worker; `start`: since when this leader listens.
    LeaderReachability(Clock::duration heartbeat_interval, TimePoint start)
        : heartbeat_interval_(heartbeat_interval), last_direct_(start) {}
    /// A worker's heartbeat came here, or a machine answered a probe or a command of ours.
    void heard_directly(TimePoint now) { last_direct_ = std::max(last_direct_, now); }
    /// A heartbeat was forwarded by another node.
    void heard_via_peer(TimePoint now) { last_via_peer_ = std::max(last_via_peer_, now); }
    /// Nothing comes directly any more, while other nodes forward what reaches them: one of those would lead
    /// better. `machines`: how many have sent a heartbeat to this leader.
    bool cut_off(TimePoint now, std::size_t machines) const {
        const auto allowed = silence_allowed(machines);
        return machines > 0 && now - last_direct_ > allowed && last_via_peer_ > last_direct_ &&
               now - last_via_peer_ <= allowed;
    }

  private:
    // Of this many machines some heartbeat arrives every moment; few may well be silent for an interval.
    static constexpr std::size_t many_machines = 20;
    Clock::duration silence_allowed(std::size_t machines) const {
        if (machines < many_machines) return heartbeat_interval_ * 3 / 2 + std::chrono::seconds(1);
        return std::max<Clock::duration>(std::chrono::milliseconds(2500), heartbeat_interval_ * 6 / 10);
    }

    Clock::duration heartbeat_interval_;
    TimePoint last_direct_, last_via_peer_{};
};

/// A follower's side: which workers are redirected to the leader, and whose heartbeats are forwarded instead.
class WorkerRedirects {
  public:
    /// A worker has sent a heartbeat here. True: redirect it to the leader; false: forward the heartbeat.
    ///
    /// A worker that comes back soon could not reach the leader: its heartbeats are forwarded for a while. If
    /// several come back, the leader can't be reached by workers at all, and redirecting each of a thousand
    /// costs each of them 5 s of silence: only one now and then is redirected, as a trial. `leader`: its
    /// process, so that one that was started again is not taken for the one that was unreachable.
    bool should_redirect(const std::string& leader, const std::string& machine, TimePoint now);
    /// Its heartbeat could not be forwarded: it may as well try the leader.
    void on_forwarding_failed(const std::string& machine) { redirected_at_.erase(machine); }
    /// Whether several workers have come back from the leader lately.
    bool leader_unreachable(TimePoint now) const { return now < leader_unreachable_until_; }
    std::size_t remembered() const { return redirected_at_.size(); }

  private:
    // Heartbeats of a worker are forwarded for this long before it is redirected again.
    static constexpr std::chrono::seconds served_here_for{30};
    // A worker that is back by then did not reach the leader: a try takes 4 s, a second more to come back.
    static constexpr std::chrono::seconds returns_within{12};
    // So many that come back within the window show that the leader is unreachable, for a while after the
    // last.
    static constexpr std::size_t returns_to_conclude = 3;
    static constexpr std::chrono::seconds returns_window{6};
    static constexpr std::chrono::seconds unreachable_for{12};
    // Between workers that are redirected as a trial meanwhile.
    static constexpr std::chrono::milliseconds trial_interval{2000};

    void forget_old(TimePoint now);
    std::string leader_;                                        // of which the rest is known
    std::unordered_map<std::string, TimePoint> redirected_at_;  // by machine
    std::deque<TimePoint> returns_;                             // within the window, oldest first
    TimePoint leader_unreachable_until_{}, last_trial_{}, forgot_old_at_{};
};

}  // namespace barrowrun::fleet
