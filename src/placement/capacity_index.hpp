#pragma once
// Machines by what is free on them and by what would yield there, kept up change by change: a round looks at
// the machines that may matter to a job, not at the whole fleet for each job. What is usable depends on the
// time and is judged by whoever looks.
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

// What a machine has, from all that may be on it.
struct AttainableCapacity {
    wire::Resources free;      // capacity less all of it
    wire::Resources stopping;  // what was told to stop and is not out yet
    bool has_stopping = false;
    // By the level that asks: work below it that may be stopped; whether there is any, or anything stopping.
    std::array<wire::Resources, wire::priority_levels> preemptible{};
    std::array<bool, wire::priority_levels> may_free{};
    // The most that could be free for the level.
    wire::Resources up_to_level(int level) const;
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
    using Set = std::set<IndexedMachine*, ByName>;
    // Machines of one type, zone and kind: a job may use all of them or none.
    struct MachineClass {
        std::string type, zone;
        bool spot = false;
        std::set<IndexedMachine*, MostFreeFirst> by_free;
        Set stopping;
        std::array<Set, wire::priority_levels> may_free;
    };

    // Something that may be on the machine came, went or was told to stop, or what the machine is was learnt.
    void changed(Machine& m);
    void removed(Machine& m);
    // Brings everything up to date, and `free` of each machine that changed.
    void refresh();
    const std::map<std::tuple<std::string, std::string, bool>, std::unique_ptr<MachineClass>>& classes()
        const {
        return classes_;
    }
    // Rises whenever a new sort of machines appears.
    std::uint64_t class_count() const { return classes_.size(); }
    const IndexedMachine& find(const Machine& m) const { return *indexed_.at(&m); }
    std::size_t size() const { return indexed_.size(); }

    // Calls f for each machine of these that has at least the CPUs free; the rest is the caller's to check.
    template <class F>
    static void for_each_with_free_cpus(const MachineClass& those, const wire::Resources& need, F f) {
        for (auto* indexed : those.by_free) {
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
