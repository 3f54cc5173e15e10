#pragma once
// Scale in: which machines to return to the cloud, and which one to drain so that it can be returned.
#include <cstdint>
#include <string>
#include <vector>

#include "autoscaler/supply.hpp"
#include "placement/cluster.hpp"

namespace barrowrun::autoscaler {

/// Machines on which nothing runs and into which the plan packed nothing, idle for the configured time.
std::vector<std::string> idle_machines(const placement::Cluster& cluster, const Supply& supply,
                                       TimePoint now);

/// Machines that have not come up long after their boot time, and those that are drained or quarantined and
/// empty by now.
std::vector<std::string> unusable_machines(const placement::Cluster& cluster, TimePoint now);

/// A machine that runs nothing but replicas of services, which all find room on other machines of their zone,
/// while room for `keep_free` more replicas stays. Empty: there is none.
std::string machine_to_drain(const placement::Cluster& cluster, TimePoint now, std::uint32_t keep_free);

}  // namespace barrowrun::autoscaler
