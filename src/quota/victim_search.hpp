#pragma once
// Searches for the candidates to preempt: for an amount of capacity on one host, for room within limits, or
// over all hosts at once.
#include <optional>
#include <vector>

#include "quota/reclaim_state.hpp"

namespace barrowrun::quota {

struct VictimSet {
    double loss = 0;
    std::vector<std::size_t> victims;
};

// Returns the victims with the least loss whose preemption makes `need` fit on the host; nothing if it cannot
// be made to fit. The search is exact for few candidates; for more it is greedy, and spares victims that turn
// out to be unnecessary. Leaves the state unchanged.
std::optional<VictimSet> cheapest_victims_on(ReclaimState& state, std::uint32_t host, const Resources& need);

// Selects victims so that one more task fits within the limits of the request's account and its ancestors:
// for each exhausted limit, borrowing candidates within its node, on any host. Returns an empty list if no
// limit is exhausted. The victims stay released in the ledger; the state is otherwise unchanged. Returns
// nothing, with the ledger unchanged, if some limit leaves no room.
std::optional<std::vector<std::size_t>> release_for_limits(ReclaimState& state);

// Replaces `best` by a plan for the same number of tasks at less loss, if one is found within a bounded
// number of steps. Does nothing unless all candidates are equally near to the account: otherwise the search
// might spare a nearer candidate and preempt a more distant one. Restarts the state.
void improve_by_full_search(ReclaimState& state, ReclaimPlan& best);

}  // namespace barrowrun::quota
