#pragma once
// Selects the lower-priority tasks that are stopped to make room for higher-priority ones, cheapest first.
#include <cstdint>
#include <vector>

#include "wire/submission.hpp"

namespace barrowrun::placement::preemption {

struct Victim {
    std::size_t id = 0;  // chosen by the caller
    wire::Resources need;
    double cost = 0;
};

// A machine where tasks could be stopped. `available`: capacity that is free, or about to be freed.
struct Candidate {
    wire::Resources available;
    std::vector<Victim> victims;
    double cost = 0;  // added to the victims' costs: fetching a missing image
};

struct Selection {
    std::size_t candidate;             // index into the candidates
    std::vector<std::size_t> victims;  // their ids
    std::uint32_t tasks;               // number of tasks that will fit there
};

// Selects victims that make room for up to `tasks` tasks, the cheapest machine first. On each machine the
// cheapest victims are stopped until one task fits; as many tasks are then counted as fit into the capacity.
std::vector<Selection> select_victims(std::vector<Candidate> candidates, const wire::Resources& need,
                                      std::uint32_t tasks);

}  // namespace barrowrun::placement::preemption
