#include "quota/victim_search.hpp"

#include <algorithm>
#include <numeric>

namespace barrowrun::quota {
namespace {

// Largest number of candidates on a host for which all subsets are searched: at most 2^10 subsets.
constexpr std::size_t max_exact_candidates = 10;
// Bounds the search over the candidates of all hosts to a few milliseconds.
constexpr int max_search_steps = 20'000;
// A plan counts as cheaper only if its loss is smaller by more than this, to allow for rounding.
constexpr double loss_tolerance = 1e-9;

// Finds the cheapest victims on one host by branch and bound over all subsets of its candidates.
class HostSearch {
  public:
    HostSearch(ReclaimState& state, std::uint32_t host, const Resources& need,
               const std::vector<std::size_t>& candidates)
        : state_(state), host_(host), need_(need), candidates_(candidates) {}

    std::optional<VictimSet> cheapest() {
        descend(0, state_.free_on(host_), 0);
        return std::move(best_);
    }

  private:
    // `next`: position of the first undecided candidate.
    void descend(std::size_t next, const Resources& free, double loss) {
        if (best_ && loss >= best_->loss) return;
        if (need_.fits(free)) {
            best_ = VictimSet{loss, chosen_};
            return;
        }
        if (next == candidates_.size()) return;
        const auto candidate = candidates_[next];
        if (state_.release(candidate)) {
            Resources free_after_preemption = free;
            free_after_preemption += state_.need_on(candidate, host_);
            chosen_.push_back(candidate);
            descend(next + 1, free_after_preemption, loss + state_.candidate(candidate).loss);
            chosen_.pop_back();
            state_.restore(candidate);
        }
        descend(next + 1, free, loss);
    }

    ReclaimState& state_;
    const std::uint32_t host_;
    const Resources need_;
    const std::vector<std::size_t>& candidates_;
    std::vector<std::size_t> chosen_;
    std::optional<VictimSet> best_;
};

// Takes candidates in order of preference until the need fits, then spares the unnecessary ones, beginning
// with the costliest.
std::optional<VictimSet> greedy_victims(ReclaimState& state, std::uint32_t host, const Resources& need,
                                        const std::vector<std::size_t>& candidates) {
    VictimSet chosen;
    Resources free = state.free_on(host);
    for (auto candidate : candidates) {
        if (need.fits(free)) break;
        if (!state.release(candidate)) continue;
        chosen.victims.push_back(candidate);
        free += state.need_on(candidate, host);
        chosen.loss += state.candidate(candidate).loss;
    }
    const bool found = need.fits(free);
    if (found) {
        auto costliest_first = chosen.victims;
        std::stable_sort(costliest_first.begin(), costliest_first.end(),
                         [&](auto a, auto b) { return state.candidate(a).loss > state.candidate(b).loss; });
        for (auto candidate : costliest_first) {
            Resources free_if_spared = free;
            free_if_spared -= state.need_on(candidate, host);
            if (!need.fits(free_if_spared)) continue;
            free = free_if_spared;
            chosen.loss -= state.candidate(candidate).loss;
            state.restore(candidate);
            std::erase(chosen.victims, candidate);
        }
    }
    for (auto candidate : chosen.victims) state.restore(candidate);
    if (!found) return std::nullopt;
    return chosen;
}

// Branch and bound over all subsets of the candidates of all hosts.
class FullSearch {
  public:
    FullSearch(ReclaimState& state, ReclaimPlan& best)
        : state_(state), best_(best), tasks_(static_cast<std::uint32_t>(best.task_hosts.size())) {
        for (std::uint32_t host = 0; host < state.host_count(); ++host) free_.push_back(state.free_on(host));
        order_.resize(state.candidate_count());
        std::iota(order_.begin(), order_.end(), std::size_t{0});
        std::sort(order_.begin(), order_.end(), [&](auto a, auto b) { return state.precedes(a, b); });
    }

    void run() { descend(0, 0); }

  private:
    void descend(std::size_t next, double loss) {
        if (--steps_left_ < 0 || loss >= best_.loss - loss_tolerance) return;
        find_hosts();
        if (hosts_.size() == tasks_) {
            best_ = {chosen_, hosts_, loss};
            return;
        }
        if (next == order_.size()) return;
        const auto candidate = order_[next];
        const auto& parts = state_.candidate(candidate).parts;
        if (state_.release(candidate)) {
            chosen_.push_back(candidate);
            for (auto& part : parts) free_[part.host] += part.need;
            descend(next + 1, loss + state_.candidate(candidate).loss);
            for (auto& part : parts) free_[part.host] -= part.need;
            chosen_.pop_back();
            state_.restore(candidate);
        }
        descend(next + 1, loss);
    }

    // Sets `hosts_` to a host for each task that fits, in host order, up to the number of tasks of the plan.
    void find_hosts() {
        const Resources& need = state_.request().need;
        hosts_.clear();
        for (std::uint32_t host = 0; host < free_.size(); ++host) {
            Resources remaining = free_[host];
            for (; hosts_.size() < tasks_ && need.fits(remaining); remaining -= need) hosts_.push_back(host);
        }
    }

    ReclaimState& state_;
    ReclaimPlan& best_;
    const std::uint32_t tasks_;
    std::vector<Resources> free_;  // by host
    std::vector<std::uint32_t> hosts_;
    std::vector<std::size_t> order_;
    std::vector<std::size_t> chosen_;
    int steps_left_ = max_search_steps;
};

// Returns the preferred candidate that may be preempted among those within a node whose limit is exhausted
// and that are not chosen yet.
std::optional<std::size_t> preferred_candidate_within(ReclaimState& state, NodeId exhausted,
                                                      const std::vector<std::size_t>& chosen) {
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < state.candidate_count(); ++i) {
        if (!state.available(i) || !state.ledger().tree().within(state.candidate(i).account, exhausted))
            continue;
        if (std::find(chosen.begin(), chosen.end(), i) != chosen.end()) continue;
        if (best && !state.precedes(i, *best)) continue;
        if (!state.release(i)) continue;
        state.restore(i);
        best = i;
    }
    return best;
}

}  // namespace

std::optional<VictimSet> cheapest_victims_on(ReclaimState& state, std::uint32_t host, const Resources& need) {
    const auto candidates = state.available_on(host);
    if (candidates.empty()) return std::nullopt;
    if (candidates.size() <= max_exact_candidates)
        return HostSearch(state, host, need, candidates).cheapest();
    return greedy_victims(state, host, need, candidates);
}

std::optional<std::vector<std::size_t>> release_for_limits(ReclaimState& state) {
    const ReclaimRequest& request = state.request();
    std::vector<std::size_t> chosen;
    while (const auto exhausted = state.ledger().first_exceeded_limit(request.account, request.need)) {
        const auto best = preferred_candidate_within(state, *exhausted, chosen);
        if (!best) {
            for (auto candidate : chosen) state.restore(candidate);
            return std::nullopt;
        }
        state.release(*best);
        chosen.push_back(*best);
    }
    return chosen;
}

void improve_by_full_search(ReclaimState& state, ReclaimPlan& best) {
    if (state.nearness_classes().size() > 1) return;
    state.restart({});
    const ReclaimRequest& request = state.request();
    const auto tasks = static_cast<std::uint32_t>(best.task_hosts.size());
    if (!state.ledger().admits(request.account, request.need, tasks)) return;
    FullSearch(state, best).run();
}

}  // namespace barrowrun::quota
