#include "placement/preemption.hpp"

#include <algorithm>

namespace barrowrun::placement::preemption {

std::vector<Selection> plan(std::vector<Candidate> options, const wire::Resources& need,
                            std::uint32_t tasks) {
    struct Priced {
        std::size_t option;
        double cost;
        wire::Resources room;  // once its victims are gone
    };
    std::vector<Priced> priced;
    for (std::size_t i = 0; i < options.size(); ++i) {
        auto& o = options[i];
        std::sort(o.victims.begin(), o.victims.end(), [](auto& x, auto& y) { return x.cost < y.cost; });
        auto room = o.room;
        double cost = o.cost;
        std::size_t used = 0;
        while (used < o.victims.size() && !need.fits(room)) {
            room += o.victims[used].need;
            cost += o.victims[used++].cost;
        }
        o.victims.resize(used);
        if (need.fits(room) && used > 0) priced.push_back({i, cost, room});
    }
    std::stable_sort(priced.begin(), priced.end(), [](auto& x, auto& y) { return x.cost < y.cost; });
    std::vector<Selection> out;
    std::uint32_t found = 0;
    for (auto& p : priced) {
        if (found >= tasks) break;
        Selection step{p.option, {}, 0};
        for (auto& v : options[p.option].victims) step.stop.push_back(v.id);
        for (auto room = p.room; found < tasks && need.fits(room); room -= need) ++found, ++step.tasks;
        out.push_back(std::move(step));
    }
    return out;
}

}  // namespace barrowrun::placement::preemption
