#pragma once
// Waiting jobs: one first-come, first-served queue per priority level. A job is in the queue of its level
// while any of its tasks waits. The design follows the scheduler of the Bolt thesis (sections 3.2 and 3.3),
// and differs from it in that a job keeps its position when none of its tasks fits.
#include <array>
#include <cstdint>
#include <set>
#include <string>

#include "wire/submission.hpp"

namespace barrowrun::queue {

inline constexpr std::uint64_t default_max_waiting_tasks = 200'000;  // tasks

struct QueuePosition {
    std::int64_t accepted_ms;
    std::string id;
    auto operator<=>(const QueuePosition&) const = default;
};

class JobQueue {
  public:
    explicit JobQueue(std::uint64_t bound = default_max_waiting_tasks) : bound_(bound) {}
    // Whether a job of so many tasks may be queued. A job that would exceed the bound is refused as a whole.
    bool admits(std::uint64_t tasks) const { return waiting_ + tasks <= bound_; }
    // Changes the number of waiting tasks of the job at the position; the job leaves the queue at 0.
    void set_waiting(wire::Priority level, const QueuePosition& position, std::uint64_t before,
                     std::uint64_t now);
    // Waiting tasks of all jobs.
    std::uint64_t waiting() const { return waiting_; }
    const std::set<QueuePosition>& level(int level) const { return levels_[static_cast<std::size_t>(level)]; }
    // Number of insertions into and removals from the queue of a level.
    std::uint64_t changes(int level) const { return changes_[static_cast<std::size_t>(level)]; }

  private:
    std::array<std::set<QueuePosition>, wire::priority_levels> levels_;
    std::array<std::uint64_t, wire::priority_levels> changes_{};
    std::uint64_t bound_, waiting_ = 0;
};

}  // namespace barrowrun::queue
