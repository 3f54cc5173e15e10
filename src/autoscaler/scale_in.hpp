#pragma once
// Scale in: selects machines to return to the cloud, and a machine to drain so that it can be returned.
#include <cstdint>
#include <string>
#include <vector>

#include "autoscaler/supply.hpp"
#include "placement/cluster.hpp"

namespace barrowrun::autoscaler {

/// Machines that run no task, that the plan packed no task into, and that were idle for the configured time.
std::vector<std::string> idle_machines(const placement::Cluster& cluster, const Supply& supply,
                                       TimePoint now);

/// Machines that have not come up long after their boot time, and empty machines that are draining or
/// quarantined.
std::vector<std::string> unusable_machines(const placement::Cluster& cluster, TimePoint now);

/// A machine that runs only service replicas, all of which fit on other machines of their zone while capacity
/// for `keep_free` more replicas remains. Empty: there is none.
std::string machine_to_drain(const placement::Cluster& cluster, TimePoint now, std::uint32_t keep_free);

}  // namespace barrowrun::autoscaler
