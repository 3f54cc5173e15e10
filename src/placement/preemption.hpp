#pragma once
// Which lower tasks are stopped to make room for higher ones: the least loss first.
#include <cstdint>
#include <vector>

#include "wire/submission.hpp"

namespace barrowrun::placement::preemption {

struct Victim {
    std::size_t id = 0;  // the caller's
    wire::Resources need;
    double cost = 0;
};

// A machine where tasks could be stopped. `room`: free already, or about to be.
struct Candidate {
    wire::Resources room;
    std::vector<Victim> victims;
    double cost = 0;  // of using it at all: its image is to be fetched
};

struct Selection {
    std::size_t option;
    std::vector<std::size_t> stop;  // victims' ids
    std::uint32_t tasks;            // that will find room there
};

// Room for up to `tasks` tasks, machine by machine, the cheapest first; on each as few victims as make one
// task fit, and then as many tasks as fit that room.
std::vector<Selection> plan(std::vector<Candidate> options, const wire::Resources& need, std::uint32_t tasks);

}  // namespace barrowrun::placement::preemption
