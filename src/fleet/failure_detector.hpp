#pragma once
// Failure detector: which silent machines are probed, and which are declared failed. A machine that is
// declared failed is returned to the cloud, which proves it empty the quickest. Decisions only: no I/O, no
// clock of its own.
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/machine.hpp"

namespace barrowrun::fleet {

struct FailureDetectorConfig {
    Clock::duration heartbeat, lease;  // interval of the workers' heartbeats; length of their leases
    std::size_t max_new_probes = 16;   // of one evaluation
};

/// One for each term of a leader. Remembers recent failures and zones that were cut off.
class FailureDetector {
  public:
    explicit FailureDetector(FailureDetectorConfig config) : config_(config) {}
    struct Verdict {
        std::vector<Machine*> probe, declare_failed;
    };
    /// Marks machines as suspected, too. `acquired`: since when this leader listens. `runs_service`: users
    /// depend on what the machine runs, so it is probed sooner. `state_heard`: the state service answered
    /// just now; a leader that is itself cut off must not send returns, which may be held and executed
    /// minutes later.
    Verdict evaluate(const std::map<std::string, std::unique_ptr<Machine>>& machines, TimePoint now,
                     TimePoint acquired, const std::function<bool(const Machine&)>& runs_service,
                     bool state_heard);
    /// A machine of a verdict is being returned.
    void note_declared_failed(TimePoint now) { declared_failed_.push_back(now); }
    /// Until then this process hears late, having fallen behind itself: silence proves nothing about a
    /// machine.
    void suspend_until(TimePoint t) { suspended_until_ = t; }

  private:
    // How much of the fleet, and of each zone, is known, and how much of it is heard or silent.
    struct Survey {
        struct Zone {
            std::size_t known = 0, heard = 0;
        };
        std::size_t known = 0, silent = 0;
        std::map<std::string, Zone> zones;
    };
    void forget_old_failures(TimePoint now);
    Clock::duration heard_window() const;
    Clock::duration silence_allowed(bool runs_service) const;
    void spare_in_wide_silence(const Survey& survey, TimePoint now, TimePoint acquired,
                               std::vector<Machine*>& failed) const;
    void spare_in_cut_zones(const Survey& survey, TimePoint now, TimePoint acquired,
                            std::vector<Machine*>& failed);

    FailureDetectorConfig config_;
    TimePoint suspended_until_{};
    std::deque<TimePoint> declared_failed_;            // lately, oldest first
    std::map<std::string, TimePoint> zone_cut_until_;  // zones that are cut off, or were just now
};

/// Of how many machines a heartbeat was received within the window.
std::size_t count_heard_within(const std::map<std::string, std::unique_ptr<Machine>>& machines, TimePoint now,
                               Clock::duration window);

}  // namespace barrowrun::fleet
