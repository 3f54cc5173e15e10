#pragma once
// Which ways between workers and nodes are open, from what comes in. Decisions only: no I/O, no clock.
#include <algorithm>
#include <deque>
#include <string>
#include <unordered_map>

#include "base/clock.hpp"

namespace barrowrun::fleet {

// A leader's side: whether workers reach it themselves, or only by way of other nodes.
//
// Found on simulated days on which the leader alone lost the workers, for 41 s: their heartbeats came by way
// of the other nodes, late, it could send them nothing, and their silence on its own way made it return 400
// machines that were well (docs/incidents/leader-without-workers.md).
class LeaderReachability {
  public:
    LeaderReachability(Clock::duration heartbeat, TimePoint begun)
        : heartbeat_interval_(heartbeat), last_direct_(begun) {}
    // A worker's heartbeat came here, or a machine answered a question of ours.
    void heard_directly(TimePoint now) { last_direct_ = std::max(last_direct_, now); }
    // A heartbeat came by way of another node.
    void heard_via_peer(TimePoint now) { last_via_peer_ = std::max(last_via_peer_, now); }
    // Nothing comes directly any more, while others pass on what reaches them: one of those would lead
    // better. `machines`: that have reported. Of many, some report every moment.
    bool cut_off(TimePoint now, std::size_t machines) const {
        const auto patience = machines >= 20 ? std::max<Clock::duration>(std::chrono::milliseconds(2500),
                                                                         heartbeat_interval_ * 6 / 10)
                                             : heartbeat_interval_ * 3 / 2 + std::chrono::seconds(1);
        return machines > 0 && now - last_direct_ > patience && last_via_peer_ > last_direct_ &&
               now - last_via_peer_ <= patience;
    }

  private:
    Clock::duration heartbeat_interval_;
    TimePoint last_direct_, last_via_peer_{};
};

// A follower's side: which workers are sent to the leader, and whose reports are passed on.
class WorkerRedirects {
  public:
    // A worker has reported here. True: it is sent to the leader; false: its heartbeat is passed on.
    //
    // One that comes back soon could not reach the leader: it is served by way of this node for a while. If
    // several come back, the leader can't be reached by workers at all, and sending each of a thousand there
    // costs each of them 5 s of silence: only one now and then is sent, to see.
    // `leader`: its process, so that one that was started again is not taken for the one that was out of
    // reach.
    bool should_redirect(const std::string& leader, const std::string& machine, TimePoint now);
    // Its heartbeat could not be passed on: it may as well try the leader.
    void on_forwarding_failed(const std::string& machine) { redirected_at_.erase(machine); }
    bool leader_unreachable(TimePoint now) const { return now < leader_unreachable_until_; }
    std::size_t remembered() const { return redirected_at_.size(); }

  private:
    static constexpr std::chrono::seconds served_here_for{
        30};  // served by way of this node, before it is sent again
    static constexpr std::chrono::seconds returns_within{12};   // a try takes 4 s, a second more to come back
    static constexpr std::chrono::seconds returns_window{6};    // within which several come back
    static constexpr std::chrono::seconds unreachable_for{12};  // after the last that came back
    static constexpr std::chrono::milliseconds trial_interval{2000};  // between those that are sent to see
    static constexpr std::size_t returns_to_conclude = 3;
    void forget_old(TimePoint now);
    std::string leader_;
    std::unordered_map<std::string, TimePoint> redirected_at_;
    std::deque<TimePoint> returns_;
    TimePoint leader_unreachable_until_{}, last_trial_{}, forgot_old_at_{};
};

}  // namespace barrowrun::fleet
