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
struct Tally {
    wire::Resources free;      // capacity less all of it
    wire::Resources stopping;  // what was told to stop and is not out yet
    bool stops = false;
    // By the level that asks: work below it that may be stopped; whether there is any, or anything stopping.
    std::array<wire::Resources, wire::priority_levels> yields{};
    std::array<bool, wire::priority_levels> lower{};
    // The most that could be free for the level.
    wire::Resources reach(int level) const;
};
Tally tally(const Machine& m);

class Rooms {
  public:
    struct Alike;
    struct Filed {
        Machine* machine = nullptr;
        Alike* alike = nullptr;
        Tally tally;
    };
    struct ByName {
        bool operator()(const Filed* a, const Filed* b) const { return a->machine->name < b->machine->name; }
    };
    struct MostFree {
        bool operator()(const Filed* a, const Filed* b) const {
            if (a->tally.free.cpus != b->tally.free.cpus) return a->tally.free.cpus > b->tally.free.cpus;
            return a->machine->name < b->machine->name;
        }
    };
    using Set = std::set<Filed*, ByName>;
    // Machines of one type, zone and kind: a job may use all of them or none.
    struct Alike {
        std::string type, zone;
        bool spot = false;
        std::set<Filed*, MostFree> by_free;
        Set stopping;
        std::array<Set, wire::priority_levels> lower;
    };

    // Something that may be on the machine came, went or was told to stop, or what the machine is was learnt.
    void changed(Machine& m);
    void removed(Machine& m);
    // Brings everything up to date, and `free` of each machine that changed.
    void refresh();
    const std::map<std::tuple<std::string, std::string, bool>, std::unique_ptr<Alike>>& alike() const {
        return alike_;
    }
    // Rises whenever a new sort of machines appears.
    std::uint64_t sorts() const { return alike_.size(); }
    const Filed& filed(const Machine& m) const { return *filed_.at(&m); }
    std::size_t size() const { return filed_.size(); }

    // Calls f for each machine of these that has at least the CPUs free; the rest is the caller's to check.
    template <class F>
    static void with_free(const Alike& those, const wire::Resources& need, F f) {
        for (auto* filed : those.by_free) {
            if (filed->tally.free.cpus < need.cpus - 1e-3) break;
            f(*filed);
        }
    }

  private:
    void take_out(Filed& filed);
    void put_in(Filed& filed);
    std::map<std::tuple<std::string, std::string, bool>, std::unique_ptr<Alike>> alike_;
    std::unordered_map<const Machine*, std::unique_ptr<Filed>> filed_;
    std::vector<Machine*> changed_;
};

}  // namespace barrowrun::placement
