#pragma once
// Failure detector: decides which silent machines are probed and which are declared failed. A machine that is
// declared failed is returned to the cloud, which is the quickest proof that nothing runs on it. The module
// does no I/O and reads no clock.
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/machine.hpp"

namespace barrowrun::fleet {

struct FailureDetectorConfig {
    Clock::duration heartbeat, lease;  // interval of the workers' heartbeats; duration of their leases
    std::size_t max_new_probes = 16;   // per call of evaluate()
};

/// Created anew for each term of a leader. Keeps the recently failed machines and the zones that are cut off.
class FailureDetector {
  public:
    explicit FailureDetector(FailureDetectorConfig config) : config_(config) {}
    struct Verdict {
        std::vector<Machine*> probe, declare_failed;
    };
    /// Selects machines to probe and to declare failed, and sets `suspected` on silent machines. `acquired`:
    /// start of this leader's term. `runs_service`: whether users depend on a task of the machine, which is
    /// then probed sooner. `state_heard`: whether the state service answered recently. A leader that is
    /// itself cut off must not send returns: the network may hold them and deliver them minutes later.
    Verdict evaluate(const std::map<std::string, std::unique_ptr<Machine>>& machines, TimePoint now,
                     TimePoint acquired, const std::function<bool(const Machine&)>& runs_service,
                     bool state_heard);
    /// Records that a machine of a verdict is being returned to the cloud.
    void note_declared_failed(TimePoint now) { declared_failed_at_.push_back(now); }
    /// Suspends evaluation until `t`: this process lags and receives heartbeats late, so silence proves
    /// nothing about a machine.
    void suspend_until(TimePoint t) { suspended_until_ = t; }

  private:
    // Counts the known and the silent machines of the fleet, and the known and recently heard ones per zone.
    struct Survey {
        struct Zone {
            std::size_t known = 0, heard = 0;
        };
        std::size_t known = 0, silent = 0;
        std::map<std::string, Zone> zones;
    };
    void remove_old_failures(TimePoint now);
    Clock::duration heard_window() const;
    Clock::duration silence_allowed(bool runs_service) const;
    void exempt_during_wide_silence(const Survey& survey, TimePoint now, TimePoint acquired,
                                    std::vector<Machine*>& failed) const;
    void exempt_in_cut_off_zones(const Survey& survey, TimePoint now, TimePoint acquired,
                                 std::vector<Machine*>& failed);

    FailureDetectorConfig config_;
    TimePoint suspended_until_{};
    std::deque<TimePoint> declared_failed_at_;             // recent declarations, oldest first
    std::map<std::string, TimePoint> zone_cut_off_until_;  // by name of the zone
};

/// Returns the number of machines whose last heartbeat was received within the window before `now`.
std::size_t count_heard_within(const std::map<std::string, std::unique_ptr<Machine>>& machines, TimePoint now,
                               Clock::duration window);

}  // namespace barrowrun::fleet
