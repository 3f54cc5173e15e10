#pragma once
// Which silent machines are asked, and which are given up: returned, which proves them empty the quickest.
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "fleet/machine.hpp"

namespace barrowrun::fleet {

struct SilenceRules {
    Clock::duration report, lease;
    std::size_t asked_at_once = 16;  // questions that one look may add
};

class Silence {
  public:
    explicit Silence(SilenceRules rules) : rules_(rules) {}
    struct Verdict {
        std::vector<Machine*> ask, give_up;
    };
    // `acquired`: since when this leader listens. `runs_service`: users depend on what the machine runs, so
    // it is asked sooner. `state_heard`: the state service answered just now; a leader that is itself cut off
    // must not send returns, which may be held and executed minutes later.
    Verdict judge(const std::map<std::string, std::unique_ptr<Machine>>& machines, TimePoint now,
                  TimePoint acquired, const std::function<bool(const Machine&)>& runs_service,
                  bool state_heard);
    void gave_up(TimePoint now) { given_up_.push_back(now); }
    // Until then this process hears late, having fallen behind itself: silence proves nothing about a
    // machine.
    void deaf_until(TimePoint t) { deaf_until_ = t; }

  private:
    SilenceRules rules_;
    TimePoint deaf_until_{};
    std::deque<TimePoint> given_up_;                  // lately
    std::map<std::string, TimePoint> patient_until_;  // with zones that are cut off, or were just now
};

// Of how much of the fleet something was heard within the window.
std::size_t heard_within(const std::map<std::string, std::unique_ptr<Machine>>& machines, TimePoint now,
                         Clock::duration window);

}  // namespace barrowrun::fleet
