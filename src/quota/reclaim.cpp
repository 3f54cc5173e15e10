#include "quota/reclaim.hpp"

#include "quota/reclaim_planner.hpp"

namespace barrowrun::quota {
namespace {

// With more candidates than this, neither refine() nor the full search is run.
constexpr std::size_t max_refined_candidates = 64;
constexpr double loss_tolerance = 1e-9;

constexpr ReclaimStrategy all_strategies[] = {ReclaimStrategy::cheapest_distribution,
                                              ReclaimStrategy::one_by_one, ReclaimStrategy::best_host_first};

// Returns whether plan `a` places more tasks than plan `b`, or as many tasks at less loss.
bool is_better(const ReclaimPlan& a, const ReclaimPlan& b) {
    if (a.task_hosts.size() != b.task_hosts.size()) return a.task_hosts.size() > b.task_hosts.size();
    return a.loss < b.loss - loss_tolerance;
}

// Replaces `best` by the plan of each strategy that is better. Returns whether there was one.
bool improve(ReclaimPlanner& planner, ReclaimPlan& best, const std::vector<std::size_t>& spared) {
    bool improved = false;
    for (auto strategy : all_strategies) {
        auto plan = planner.plan(strategy, spared);
        if (!is_better(plan, best)) continue;
        best = std::move(plan);
        improved = true;
    }
    return improved;
}

// Plans again with each victim spared in turn, until no victim can be spared to the plan's advantage.
void refine(ReclaimPlanner& planner, ReclaimPlan& best) {
    std::vector<std::size_t> spared;
    for (bool improved = true; improved;) {
        improved = false;
        const auto victims = best.victims;
        for (auto victim : victims) {
            auto spared_now = spared;
            spared_now.push_back(victim);
            if (!improve(planner, best, spared_now)) continue;
            spared = std::move(spared_now);
            improved = true;
        }
    }
}

}  // namespace

Resources PreemptionCandidate::need() const {
    Resources sum;
    for (auto& part : parts) sum += part.need;
    return sum;
}

ReclaimPlan plan_guarantee_reclaim(const Ledger& ledger, const std::vector<Resources>& free_capacity,
                                   const std::vector<PreemptionCandidate>& candidates,
                                   const ReclaimRequest& request) {
    ReclaimState state(ledger, free_capacity, candidates, request);
    ReclaimPlanner planner(state);
    auto best = planner.plan(ReclaimStrategy::cheapest_distribution);
    if (best.victims.empty()) return best;
    for (auto strategy : {ReclaimStrategy::one_by_one, ReclaimStrategy::best_host_first})
        if (auto plan = planner.plan(strategy); is_better(plan, best)) best = std::move(plan);
    if (candidates.size() > max_refined_candidates) return best;
    refine(planner, best);
    improve_by_full_search(state, best);
    return best;
}

}  // namespace barrowrun::quota
