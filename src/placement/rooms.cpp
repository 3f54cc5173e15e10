#include "placement/rooms.hpp"

#include <algorithm>

namespace barrowrun::placement {

wire::Resources Tally::reach(int level) const {
    auto all = free;
    all += stopping;
    all += yields[static_cast<std::size_t>(level)];
    return all;
}

Tally tally(const Machine& m) {
    Tally out;
    out.free = m.capacity;
    for (auto& [a, e] : m.assignments) {
        if (e.exited()) continue;
        out.free -= e.need;
        if (e.stop_requested) {
            out.stopping += e.need;
            out.stops = true;
            out.lower.fill(true);
        }
        for (std::size_t level = 0; level < out.yields.size(); ++level)
            if (e.preemptible_by(static_cast<wire::Priority>(level))) {
                out.yields[level] += e.need;
                out.lower[level] = true;
            }
    }
    return out;
}

void Rooms::changed(Machine& m) {
    if (m.refile) return;
    m.refile = true;
    changed_.push_back(&m);
}

void Rooms::removed(Machine& m) {
    if (auto it = filed_.find(&m); it != filed_.end()) {
        take_out(*it->second);
        filed_.erase(it);
    }
    if (m.refile) std::erase(changed_, &m);
    m.refile = false;
}

void Rooms::take_out(Filed& filed) {
    if (!filed.alike) return;
    filed.alike->by_free.erase(&filed);
    if (filed.tally.stops) filed.alike->stopping.erase(&filed);
    for (std::size_t level = 0; level < filed.tally.lower.size(); ++level)
        if (filed.tally.lower[level]) filed.alike->lower[level].erase(&filed);
}

void Rooms::put_in(Filed& filed) {
    filed.alike->by_free.insert(&filed);
    if (filed.tally.stops) filed.alike->stopping.insert(&filed);
    for (std::size_t level = 0; level < filed.tally.lower.size(); ++level)
        if (filed.tally.lower[level]) filed.alike->lower[level].insert(&filed);
}

void Rooms::refresh() {
    for (Machine* m : changed_) {
        m->refile = false;
        auto [it, fresh] = filed_.try_emplace(m);
        if (fresh) {
            it->second = std::make_unique<Filed>();
            it->second->machine = m;
        }
        Filed& filed = *it->second;
        take_out(filed);
        // A machine that is known by its name alone says its type with its first heartbeat.
        auto& sort = alike_[{m->type, m->zone, m->spot}];
        if (!sort) {
            sort = std::make_unique<Alike>();
            sort->type = m->type, sort->zone = m->zone, sort->spot = m->spot;
        }
        filed.alike = sort.get();
        filed.tally = tally(*m);
        m->free = filed.tally.free;
        put_in(filed);
    }
    changed_.clear();
}

}  // namespace barrowrun::placement
