#pragma once
// Placement of gangs: all tasks of a gang are placed at the same time, or none.
#include <string>
#include <vector>

#include "wire/submission.hpp"

namespace barrowrun::placement::gangs {

// A machine that may be given tasks of the gang.
struct Host {
    std::string zone;
    wire::Resources available;
    double capacity_cpus = 0;
    std::size_t max_tasks = 0;  // most tasks that may be added
    double base_score = 0;      // machine_scores::for_gang_task; greater is better
};

// Returns the index of a host for each task, or an empty list if not all tasks fit. Adds the tightness of the
// fit to the hosts' base scores. A gang bound to one zone is tried zone by zone; a gang that spreads gets at
// most half of its tasks, rounded up, in any one zone.
std::vector<std::size_t> choose_hosts(const wire::JobSpec& spec, const std::vector<Host>& hosts,
                                      const std::vector<std::string>& zones);

}  // namespace barrowrun::placement::gangs
