#pragma once
// Waiting jobs: one first-come queue per priority level (thesis 3.2, 3.3). A job stands in its level's queue
// while any of its tasks waits; it keeps its place when nothing of it fits (the thesis swaps it back).
#include <array>
#include <cstdint>
#include <set>
#include <string>

#include "wire/submission.hpp"

namespace barrowrun::queue {

inline constexpr std::uint64_t default_bound = 200'000;  // tasks

struct Position {
    std::int64_t accepted_ms;
    std::string id;
    auto operator<=>(const Position&) const = default;
};

class JobQueue {
  public:
    explicit JobQueue(std::uint64_t bound = default_bound) : bound_(bound) {}
    // Whether a job of n tasks may join. A job that would pass the bound is refused whole.
    bool admits(std::uint64_t n) const { return waiting_ + n <= bound_; }
    void set_waiting(wire::Priority level, const Position& place, std::uint64_t before, std::uint64_t now);
    std::uint64_t waiting() const { return waiting_; }
    const std::set<Position>& level(int n) const { return levels_[static_cast<std::size_t>(n)]; }
    // Counts the jobs that came to stand in a level's queue and those that left it.
    std::uint64_t changes(int n) const { return changes_[static_cast<std::size_t>(n)]; }

  private:
    std::array<std::set<Position>, wire::priority_levels> levels_;
    std::array<std::uint64_t, wire::priority_levels> changes_{};
    std::uint64_t bound_, waiting_ = 0;
};

}  // namespace barrowrun::queue
