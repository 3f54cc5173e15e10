#pragma once
// Which silent machines are asked, and which are given up: returned, which proves them empty the quickest.
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "fleet/machine.hpp"

namespace barrowrun::fleet {

struct FailureDetectorConfig {
    Clock::duration heartbeat, lease;
    std::size_t max_new_probes = 16;  // questions that one look may add
};

class FailureDetector {
  public:
    explicit FailureDetector(FailureDetectorConfig rules) : rules_(rules) {}
    struct Verdict {
        std::vector<Machine*> probe, declare_failed;
    };
    // `acquired`: since when this leader listens. `runs_service`: users depend on what the machine runs, so
    // it is asked sooner. `state_heard`: the state service answered just now; a leader that is itself cut off
    // must not send returns, which may be held and executed minutes later.
    Verdict evaluate(const std::map<std::string, std::unique_ptr<Machine>>& machines, TimePoint now,
                     TimePoint acquired, const std::function<bool(const Machine&)>& runs_service,
                     bool state_heard);
    void note_declared_failed(TimePoint now) { declared_failed_.push_back(now); }
    // Until then this process hears late, having fallen behind itself: silence proves nothing about a
    // machine.
    void suspend_until(TimePoint t) { suspended_until_ = t; }

  private:
    FailureDetectorConfig rules_;
    TimePoint suspended_until_{};
    std::deque<TimePoint> declared_failed_;            // lately
    std::map<std::string, TimePoint> zone_cut_until_;  // with zones that are cut off, or were just now
};

// Of how much of the fleet something was heard within the window.
std::size_t count_heard_within(const std::map<std::string, std::unique_ptr<Machine>>& machines, TimePoint now,
                               Clock::duration window);

}  // namespace barrowrun::fleet
