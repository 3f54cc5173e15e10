#pragma once
// Index of machines by free capacity and by capacity that preemption could free, updated incrementally. A
// scheduling round visits only the machines that may suit a job instead of the whole fleet for each job.
// Whether a machine may be used depends on the time and is checked by the caller.
#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "fleet/machine.hpp"

namespace barrowrun::placement {

using fleet::Machine;

// Capacity of a machine, derived from all attempts that may be on it.
struct AttainableCapacity {
    wire::Resources free;      // capacity less the needs of all attempts
    wire::Resources stopping;  // held by attempts that were told to stop and have not ended
    bool has_stopping = false;
    // Both are indexed by the priority level of the task to be placed. `preemptible`: held by attempts of
    // lower priority that may be stopped for it. `may_yield_capacity`: there is such an attempt, or one that
    // is being stopped.
    std::array<wire::Resources, wire::priority_levels> preemptible{};
    std::array<bool, wire::priority_levels> may_yield_capacity{};
    // The most capacity that a task of the level could get: free, stopping and preemptible.
    wire::Resources attainable_for_level(int level) const;
};
AttainableCapacity attainable_capacity(const Machine& m);

class CapacityIndex {
  public:
    struct MachineClass;
    struct IndexedMachine {
        Machine* machine = nullptr;
        MachineClass* machine_class = nullptr;
        AttainableCapacity capacity;
    };
    struct ByName {
        bool operator()(const IndexedMachine* a, const IndexedMachine* b) const {
            return a->machine->name < b->machine->name;
        }
    };
    struct MostFreeFirst {
        bool operator()(const IndexedMachine* a, const IndexedMachine* b) const {
            if (a->capacity.free.cpus != b->capacity.free.cpus)
                return a->capacity.free.cpus > b->capacity.free.cpus;
            return a->machine->name < b->machine->name;
        }
    };
    using MachinesByName = std::set<IndexedMachine*, ByName>;
    // Machines of one type and zone that are all spot instances or all not: a job may use all of them or
    // none.
    struct MachineClass {
        std::string type, zone;
        bool spot = false;
        std::set<IndexedMachine*, MostFreeFirst> by_free;
        MachinesByName stopping;
        std::array<MachinesByName, wire::priority_levels> may_yield_capacity;
    };

    // Marks the machine for the next refresh: an attempt on it was added, removed or told to stop, or its
    // type, zone or capacity became known.
    void mark_changed(Machine& m);
    void remove(Machine& m);
    // Updates the entries of all marked machines, and `Machine::free` of each.
    void refresh();
    const std::map<std::tuple<std::string, std::string, bool>, std::unique_ptr<MachineClass>>& classes()
        const {
        return classes_;
    }
    // Increases whenever a machine of a new class appears.
    std::uint64_t class_count() const { return classes_.size(); }
    const IndexedMachine& find(const Machine& m) const { return *indexed_.at(&m); }
    std::size_t size() const { return indexed_.size(); }

    // Calls f for each machine of the class that has at least the needed CPUs free. The caller checks the
    // other resources.
    template <class F>
    static void for_each_with_free_cpus(const MachineClass& machine_class, const wire::Resources& need, F f) {
        for (auto* indexed : machine_class.by_free) {
            if (indexed->capacity.free.cpus < need.cpus - 1e-3) break;
            f(*indexed);
        }
    }

  private:
    void unlink(IndexedMachine& indexed);
    void link(IndexedMachine& indexed);
    std::map<std::tuple<std::string, std::string, bool>, std::unique_ptr<MachineClass>> classes_;
    std::unordered_map<const Machine*, std::unique_ptr<IndexedMachine>> indexed_;
    std::vector<Machine*> changed_;
};

}  // namespace barrowrun::placement
