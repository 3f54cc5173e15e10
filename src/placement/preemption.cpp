#include "placement/preemption.hpp"

#include <algorithm>

namespace barrowrun::placement::preemption {

std::vector<Selection> select_victims(std::vector<Candidate> candidates, const wire::Resources& need,
                                      std::uint32_t tasks) {
    struct CostedCandidate {
        std::size_t candidate;
        double cost;
        wire::Resources available;  // after its victims have stopped
    };
    std::vector<CostedCandidate> costed;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        auto& candidate = candidates[i];
        std::sort(candidate.victims.begin(), candidate.victims.end(),
                  [](auto& x, auto& y) { return x.cost < y.cost; });
        auto available = candidate.available;
        double cost = candidate.cost;
        std::size_t victim_count = 0;
        while (victim_count < candidate.victims.size() && !need.fits(available)) {
            available += candidate.victims[victim_count].need;
            cost += candidate.victims[victim_count++].cost;
        }
        candidate.victims.resize(victim_count);
        if (need.fits(available) && victim_count > 0) costed.push_back({i, cost, available});
    }
    std::stable_sort(costed.begin(), costed.end(), [](auto& x, auto& y) { return x.cost < y.cost; });
    std::vector<Selection> selections;
    std::uint32_t found = 0;
    for (auto& chosen : costed) {
        if (found >= tasks) break;
        Selection selection{chosen.candidate, {}, 0};
        for (auto& v : candidates[chosen.candidate].victims) selection.victims.push_back(v.id);
        for (auto available = chosen.available; found < tasks && need.fits(available); available -= need)
            ++found, ++selection.tasks;
        selections.push_back(std::move(selection));
    }
    return selections;
}

}  // namespace barrowrun::placement::preemption
