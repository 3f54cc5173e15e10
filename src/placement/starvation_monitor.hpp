#pragma once
// Detects job classes and teams of which less than half of the jobs are served. Decisions only: no I/O, no
// clock.
//
// The requirement is that at least half of the jobs of every class and every team are served on each day.
// Strict priority levels let the urgent jobs of one team take all capacity, so the order of the queues does
// not enforce this floor. The monitor reports a group before its share falls below the floor.
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.hpp"

namespace barrowrun::placement {

class StarvationMonitor {
  public:
    struct Thresholds {
        // After this time a finished job counts for half.
        Clock::duration half_life = std::chrono::minutes(5);
        // Share of served jobs, out of the jobs that were served or should have been served by now.
        double at_risk_below = 0.65, starved_below = 0.5, healthy_from = 0.75;
        // A group with fewer jobs counts as healthy: too few to judge it by its share of served jobs.
        double min_jobs = 4;
        // Classes and teams that are remembered. The number is bounded as users choose the names of classes.
        std::size_t max_groups = 512;
        Clock::duration repeat_interval = std::chrono::seconds(30);
    };
    enum class State { healthy, at_risk, starved };
    struct Finding {
        std::string group;  // `class NAME` or `team NAME`
        State state = State::healthy;
        double served_share = 1, overdue_jobs = 0;
    };

    StarvationMonitor() = default;
    explicit StarvationMonitor(Thresholds thresholds) : thresholds_(thresholds) {}
    // Counts a finished job. `served`: all of its tasks had started once. The caller doesn't report a job
    // that ended before it was served or overdue.
    void record_finished_job(const std::string& job_class, const std::string& team, bool served);
    // A pass over the unfinished jobs: `begin_pass`, then `observe` for each job that is served or overdue.
    void begin_pass(TimePoint now);
    void observe(const std::string& job_class, const std::string& team, bool served);
    // Ends the pass. Returns the groups whose state changed, and repeats those that are still not healthy
    // after the repeat interval.
    std::vector<Finding> end_pass(TimePoint now);
    // The served share of a group as of the last pass; 1 for an unknown group.
    double share(const std::string& group) const;

  private:
    struct Group {
        double served = 0, missed = 0;                 // finished jobs, decayed by their age
        double active_served = 0, active_overdue = 0;  // unfinished jobs of this pass
        State state = State::healthy;
        TimePoint last_reported{};
        double share() const;
        double job_count() const { return served + missed + active_served + active_overdue; }
    };
    // Null if the group is unknown and all remembered groups have at least `min_jobs` jobs.
    Group* find_or_add_group(const std::string& name);
    Thresholds thresholds_;
    std::unordered_map<std::string, Group> groups_;
    TimePoint last_decay_{};
};

}  // namespace barrowrun::placement
