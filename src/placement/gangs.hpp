#pragma once
// Where the tasks of a gang go: all at once or none.
#include <string>
#include <vector>

#include "wire/submission.hpp"

namespace barrowrun::placement::gangs {

// A machine that may take tasks of the gang.
struct Host {
    std::string zone;
    wire::Resources room;
    double capacity_cpus = 0;
    double merit = 0;  // greater first: image there, no failures; the tightest fit is reckoned here
};

// A host for each task, or nothing. A gang of one place is tried zone by zone; one that spreads has at most
// half of its tasks, rounded up, in any.
std::vector<std::size_t> choose(const wire::JobSpec& spec, const std::vector<Host>& hosts,
                                const std::vector<std::string>& zones);

}  // namespace barrowrun::placement::gangs
