#pragma once
// Reachability between workers and nodes, inferred from the heartbeats and answers that a node receives. The
// module does no I/O and reads no clock.
#include <algorithm>
#include <deque>
#include <string>
#include <unordered_map>

#include "base/clock.hpp"

namespace barrowrun::fleet {

/// Detects on the leader whether workers reach it directly or only through other nodes.
///
/// In simulations the leader alone lost its connections to the workers for 41 s: their heartbeats arrived
/// late through other nodes, the leader could send them no commands, and because of their silence it returned
/// 400 healthy machines (docs/incidents/leader-without-workers.md).
class LeaderReachability {
  public:
    /// `heartbeat_interval`: interval of each worker's heartbeats; `start`: start of this leader's term.
    LeaderReachability(Clock::duration heartbeat_interval, TimePoint start)
        : heartbeat_interval_(heartbeat_interval), last_direct_(start) {}
    /// Call when a worker's heartbeat arrived here, or a machine answered a probe or command of this leader.
    void heard_directly(TimePoint now) { last_direct_ = std::max(last_direct_, now); }
    /// Call when another node has forwarded a heartbeat.
    void heard_via_peer(TimePoint now) { last_via_peer_ = std::max(last_via_peer_, now); }
    /// Whether nothing arrives directly any more while other nodes forward heartbeats: one of these nodes
    /// should lead instead. `machines`: number of machines that have sent a heartbeat to this leader.
    bool cut_off(TimePoint now, std::size_t machines) const {
        const auto allowed = silence_allowed(machines);
        return machines > 0 && now - last_direct_ > allowed && last_via_peer_ > last_direct_ &&
               now - last_via_peer_ <= allowed;
    }

  private:
    // With this many machines heartbeats arrive all the time; fewer may all be silent for a whole interval.
    static constexpr std::size_t many_machines = 20;
    Clock::duration silence_allowed(std::size_t machines) const {
        if (machines < many_machines) return heartbeat_interval_ * 3 / 2 + std::chrono::seconds(1);
        return std::max<Clock::duration>(std::chrono::milliseconds(2500), heartbeat_interval_ * 6 / 10);
    }

    Clock::duration heartbeat_interval_;
    TimePoint last_direct_, last_via_peer_{};
};

/// Decides on a follower which workers are redirected to the leader and whose heartbeats are forwarded
/// instead.
class WorkerRedirects {
  public:
    /// Call when a worker has sent a heartbeat to this node. Returns true if the worker is to be redirected
    /// to the leader, false if its heartbeat is to be forwarded.
    ///
    /// A worker that comes back soon could not reach the leader: its heartbeats are forwarded for a while. If
    /// several workers come back, no worker can reach the leader. Redirecting each of a thousand workers
    /// would then cost each of them 5 s without a heartbeat, so one worker per trial interval is redirected
    /// to check the leader. `leader` identifies the leader's process, so that a restarted leader is not taken
    /// for the unreachable one.
    bool should_redirect(const std::string& leader, const std::string& machine, TimePoint now);
    /// Call when a heartbeat could not be forwarded: the worker may be redirected again at once.
    void on_forwarding_failed(const std::string& machine) { redirected_at_.erase(machine); }
    /// Whether several redirected workers have come back recently.
    bool leader_unreachable(TimePoint now) const { return now < leader_unreachable_until_; }
    std::size_t remembered() const { return redirected_at_.size(); }

  private:
    // How long the heartbeats of a worker are forwarded before it is redirected again.
    static constexpr std::chrono::seconds forwarding_period{30};
    // A worker that comes back within this time did not reach the leader: its attempt takes 4 s, and it comes
    // back a second later.
    static constexpr std::chrono::seconds max_return_delay{12};
    // If this many workers come back within the window, the leader counts as unreachable until
    // `unreachable_period` after the last one.
    static constexpr std::size_t min_returns_to_judge = 3;
    static constexpr std::chrono::seconds return_window{6};
    static constexpr std::chrono::seconds unreachable_period{12};
    // Time between trial redirects while the leader counts as unreachable.
    static constexpr std::chrono::milliseconds trial_interval{2000};

    void remove_old(TimePoint now);
    std::string leader_;  // the leader process that the members below refer to
    std::unordered_map<std::string, TimePoint> redirected_at_;  // by machine
    std::deque<TimePoint> returns_;  // times of returns within the window, oldest first
    TimePoint leader_unreachable_until_{}, last_trial_{}, last_cleanup_{};
};

}  // namespace barrowrun::fleet
