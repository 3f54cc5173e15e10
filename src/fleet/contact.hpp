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
// Found on simulated days on which the leader alone lost the workers, for 41 s: their reports came by way of
// the other nodes, late, it could send them nothing, and their silence on its own way made it return 400
// machines that were well (docs/incidents/leader-without-workers.md).
class Contact {
  public:
    Contact(Clock::duration report, TimePoint begun) : report_(report), direct_(begun) {}
    // A worker's report came here, or a machine answered a question of ours.
    void direct(TimePoint now) { direct_ = std::max(direct_, now); }
    // A report came by way of another node.
    void passed_on(TimePoint now) { passed_on_ = std::max(passed_on_, now); }
    // Nothing comes directly any more, while others pass on what reaches them: one of those would lead
    // better. `machines`: that have reported. Of many, some report every moment.
    bool cut_off(TimePoint now, std::size_t machines) const {
        const auto patience =
            machines >= 20 ? std::max<Clock::duration>(std::chrono::milliseconds(2500), report_ * 6 / 10)
                           : report_ * 3 / 2 + std::chrono::seconds(1);
        return machines > 0 && now - direct_ > patience && passed_on_ > direct_ &&
               now - passed_on_ <= patience;
    }

  private:
    Clock::duration report_;
    TimePoint direct_, passed_on_{};
};

// A follower's side: which workers are sent to the leader, and whose reports are passed on.
class Redirects {
  public:
    // A worker has reported here. True: it is sent to the leader; false: its report is passed on.
    //
    // One that comes back soon could not reach the leader: it is served by way of this node for a while. If
    // several come back, the leader can't be reached by workers at all, and sending each of a thousand there
    // costs each of them 5 s of silence: only one now and then is sent, to see.
    // `leader`: its process, so that one that was started again is not taken for the one that was out of
    // reach.
    bool send_to(const std::string& leader, const std::string& machine, TimePoint now);
    // Its report could not be passed on: it may as well try the leader.
    void not_passed_on(const std::string& machine) { sent_.erase(machine); }
    bool leader_out_of_reach(TimePoint now) const { return now < out_of_reach_until_; }
    std::size_t remembered() const { return sent_.size(); }

  private:
    static constexpr std::chrono::seconds kept{30};     // served by way of this node, before it is sent again
    static constexpr std::chrono::seconds soon{12};     // a try takes 4 s, a second more to come back
    static constexpr std::chrono::seconds together{6};  // within which several come back
    static constexpr std::chrono::seconds believed{12};      // after the last that came back
    static constexpr std::chrono::milliseconds trial{2000};  // between those that are sent to see
    static constexpr std::size_t several = 3;
    void tidy(TimePoint now);
    std::string leader_;
    std::unordered_map<std::string, TimePoint> sent_;
    std::deque<TimePoint> back_;
    TimePoint out_of_reach_until_{}, tried_{}, tidied_{};
};

}  // namespace barrowrun::fleet
