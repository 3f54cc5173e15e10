#pragma once
// Which candidates are stopped for so much capacity on one host, for room within limits, or on all hosts at
// once. Each search leaves the state's plan and free capacity as they were.
#include <optional>
#include <vector>

#include "quota/reclaim_state.hpp"

namespace barrowrun::quota {

struct VictimSet {
    double loss = 0;
    std::vector<std::size_t> victims;
};

// The cheapest candidates whose end makes `need` fit on the host: exact while there are few, else greedy and
// then without those that turn out not to be needed. Nothing: it can't be made to fit. The ledger is left as
// it was.
std::optional<VictimSet> cheapest_victims_on(ReclaimState& state, std::uint32_t host, const Resources& need);

// A limit that others have filled with what they borrow is met by those who are within it, wherever they run.
// Those chosen stay released in the ledger; none need be if no limit is full. Nothing: some limit can't be
// met, and the ledger is as it was.
std::optional<std::vector<std::size_t>> release_for_limits(ReclaimState& state);

// Replaces `best` by a plan that makes the same room at less loss if one is found within a bound of steps.
// Only where all candidates are equally near relatives: else a nearer one would be spared for a stranger.
// Restarts the state.
void improve_by_full_search(ReclaimState& state, ReclaimPlan& best);

}  // namespace barrowrun::quota
