#pragma once
// How the tasks of a reclaim request are divided among hosts, one plan per strategy.
#include <optional>
#include <vector>

#include "quota/reclaim_state.hpp"
#include "quota/victim_search.hpp"

namespace barrowrun::quota {

// What is tried before one task after the other goes where it costs least.
enum class ReclaimStrategy {
    one_by_one,         // nothing
    cheapest_division,  // the tasks are divided by what each host would cost for one, two, ... of them
    best_host_first,    // a host at a time, the one where several tasks cost least for each
};

class ReclaimPlanner {
  public:
    explicit ReclaimPlanner(ReclaimState& state) : state_(state) {}
    // Restarts the state. `spared` candidates go on in any case.
    ReclaimPlan plan(ReclaimStrategy strategy, const std::vector<std::size_t>& spared = {});

  private:
    // By number of tasks, from one: what so many on a host cost. Ends where no more can be made to fit.
    using HostPrices = std::vector<VictimSet>;

    HostPrices prices_of(std::uint32_t host, std::uint32_t tasks);
    void divide_among_hosts();
    bool fill_best_host();
    bool place_one();
    std::optional<std::uint32_t> host_with_room() const;
    std::optional<std::uint32_t> cheapest_host();
    const std::optional<VictimSet>& price_of_one(std::uint32_t host);
    void place_up_to(std::uint32_t tasks, std::uint32_t host);

    struct CachedPrice {
        std::uint64_t revision = 0;  // of the state; 0: never computed
        std::optional<VictimSet> victims;
    };
    ReclaimState& state_;
    std::vector<CachedPrice> prices_of_one_;  // by host
};

}  // namespace barrowrun::quota
