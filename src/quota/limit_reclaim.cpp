// Selects the tasks to preempt when a node exceeds a lowered limit.
#include <algorithm>
#include <tuple>

#include "quota/reclaim.hpp"
#include "quota/tolerance.hpp"

namespace barrowrun::quota {
namespace {

bool is_eliminated(const Resources& excess) {
    return std::all_of(std::begin(dimensions), std::end(dimensions),
                       [&](auto dimension) { return excess.*dimension <= amount_tolerance; });
}

// Returns whether preempting a candidate that holds `need` reduces the excess.
bool reduces(const Resources& excess, const Resources& need) {
    return std::any_of(std::begin(dimensions), std::end(dimensions), [&](auto dimension) {
        return excess.*dimension > amount_tolerance && need.*dimension > 0;
    });
}

// Returns the candidates within the node in order of preemption: checkpointing ones first, then by loss.
std::vector<std::size_t> preemption_order(const Tree& tree, NodeId node,
                                          const std::vector<PreemptionCandidate>& candidates,
                                          bool checkpointing_only) {
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < candidates.size(); ++i)
        if (tree.within(candidates[i].account, node) && (candidates[i].checkpoints || !checkpointing_only))
            order.push_back(i);
    const auto key = [&](std::size_t i) {
        return std::tuple(!candidates[i].checkpoints, candidates[i].loss);
    };
    std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) { return key(a) < key(b); });
    return order;
}

}  // namespace

std::vector<std::size_t> plan_limit_reclaim(const Ledger& ledger, NodeId node, const Resources& stopping,
                                            const std::vector<PreemptionCandidate>& candidates,
                                            bool checkpointing_only) {
    Resources excess = ledger.over_limit(node);
    for (auto dimension : dimensions)
        excess.*dimension = std::max(0.0, excess.*dimension - stopping.*dimension);
    std::vector<std::size_t> victims;
    for (auto candidate : preemption_order(ledger.tree(), node, candidates, checkpointing_only)) {
        if (is_eliminated(excess)) break;
        const auto need = candidates[candidate].need();
        if (!reduces(excess, need)) continue;
        excess -= need;
        victims.push_back(candidate);
    }
    // Victims that turned out to be unnecessary are spared, beginning with the last one selected: among
    // victims that all checkpoint, or all do not, it has the largest loss.
    for (auto i = victims.size(); i-- > 0;) {
        Resources excess_if_spared = excess;
        excess_if_spared += candidates[victims[i]].need();
        if (!is_eliminated(excess_if_spared)) continue;
        excess = excess_if_spared;
        victims.erase(victims.begin() + static_cast<std::ptrdiff_t>(i));
    }
    return victims;
}

}  // namespace barrowrun::quota
