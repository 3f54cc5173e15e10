#pragma once
// Distributes the tasks of a reclaim request among hosts; each strategy produces one plan.
#include <optional>
#include <vector>

#include "quota/reclaim_state.hpp"
#include "quota/victim_search.hpp"

namespace barrowrun::quota {

// How tasks are distributed before the remaining ones are placed one by one on the cheapest hosts.
enum class ReclaimStrategy {
    one_by_one,             // no distribution: all tasks are placed one by one
    cheapest_distribution,  // minimizes the sum of each host's separate loss for its number of tasks
    best_host_first,        // fills one host at a time, the one with the least loss per task
};

class ReclaimPlanner {
  public:
    explicit ReclaimPlanner(ReclaimState& state) : state_(state) {}
    // Restarts the state. Candidates in `spared` are not preempted.
    ReclaimPlan plan(ReclaimStrategy strategy, const std::vector<std::size_t>& spared = {});

  private:
    // The victims for one, two, ... tasks on one host. Ends where no further task can be made to fit.
    using HostVictims = std::vector<VictimSet>;

    HostVictims victims_by_task_count(std::uint32_t host, std::uint32_t tasks);
    void distribute_among_hosts();
    bool fill_best_host();
    bool place_one();
    std::optional<std::uint32_t> host_with_free_capacity() const;
    std::optional<std::uint32_t> cheapest_host();
    const std::optional<VictimSet>& victims_for_one_task(std::uint32_t host);
    void place_up_to(std::uint32_t tasks, std::uint32_t host);

    struct CachedVictims {
        std::uint64_t revision = 0;  // of the state; 0 if never computed
        std::optional<VictimSet> victims;
    };
    ReclaimState& state_;
    std::vector<CachedVictims> single_task_victims_;  // by host
};

}  // namespace barrowrun::quota
