#include "placement/capacity_index.hpp"

#include <algorithm>

namespace barrowrun::placement {

wire::Resources AttainableCapacity::attainable_for_level(int level) const {
    auto total = free;
    total += stopping;
    total += preemptible[static_cast<std::size_t>(level)];
    return total;
}

AttainableCapacity attainable_capacity(const Machine& m) {
    AttainableCapacity result;
    result.free = m.capacity;
    for (auto& [a, e] : m.assignments) {
        if (e.exited()) continue;
        result.free -= e.need;
        if (e.stop_requested) {
            result.stopping += e.need;
            result.has_stopping = true;
            result.may_yield_capacity.fill(true);
        }
        for (std::size_t level = 0; level < result.preemptible.size(); ++level)
            if (e.preemptible_by(static_cast<wire::Priority>(level))) {
                result.preemptible[level] += e.need;
                result.may_yield_capacity[level] = true;
            }
    }
    return result;
}

void CapacityIndex::mark_changed(Machine& m) {
    if (m.capacity_stale) return;
    m.capacity_stale = true;
    changed_.push_back(&m);
}

void CapacityIndex::remove(Machine& m) {
    if (auto it = indexed_.find(&m); it != indexed_.end()) {
        unlink(*it->second);
        indexed_.erase(it);
    }
    if (m.capacity_stale) std::erase(changed_, &m);
    m.capacity_stale = false;
}

void CapacityIndex::unlink(IndexedMachine& indexed) {
    if (!indexed.machine_class) return;
    indexed.machine_class->by_free.erase(&indexed);
    if (indexed.capacity.has_stopping) indexed.machine_class->stopping.erase(&indexed);
    for (std::size_t level = 0; level < indexed.capacity.may_yield_capacity.size(); ++level)
        if (indexed.capacity.may_yield_capacity[level])
            indexed.machine_class->may_yield_capacity[level].erase(&indexed);
}

void CapacityIndex::link(IndexedMachine& indexed) {
    indexed.machine_class->by_free.insert(&indexed);
    if (indexed.capacity.has_stopping) indexed.machine_class->stopping.insert(&indexed);
    for (std::size_t level = 0; level < indexed.capacity.may_yield_capacity.size(); ++level)
        if (indexed.capacity.may_yield_capacity[level])
            indexed.machine_class->may_yield_capacity[level].insert(&indexed);
}

void CapacityIndex::refresh() {
    for (Machine* m : changed_) {
        m->capacity_stale = false;
        auto [it, inserted] = indexed_.try_emplace(m);
        if (inserted) {
            it->second = std::make_unique<IndexedMachine>();
            it->second->machine = m;
        }
        IndexedMachine& indexed = *it->second;
        unlink(indexed);
        // The class may have changed: a machine known only by name reports its type with its first heartbeat.
        auto& machine_class = classes_[{m->type, m->zone, m->spot}];
        if (!machine_class) {
            machine_class = std::make_unique<MachineClass>();
            machine_class->type = m->type, machine_class->zone = m->zone, machine_class->spot = m->spot;
        }
        indexed.machine_class = machine_class.get();
        indexed.capacity = attainable_capacity(*m);
        m->free = indexed.capacity.free;
        link(indexed);
    }
    changed_.clear();
}

}  // namespace barrowrun::placement
