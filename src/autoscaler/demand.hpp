#pragma once
// Recent demand for which capacity is kept: arrivals of services, and peaks of the array classes that can't
// wait for a machine to boot.
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "placement/cluster.hpp"

namespace barrowrun::autoscaler {

/// Whether the job is an array whose `wait` objective is too short for a machine to be provisioned and to
/// boot.
bool cannot_wait_for_boots(const placement::Cluster& cluster, const wire::JobSpec& spec);

/// Capacity to keep free for a number of tasks with the needs and constraints of `spec`.
struct Headroom {
    wire::JobSpec spec;
    std::uint32_t tasks = 0;
};

/// Demand observed during one leader term; a new leader starts with an empty history.
class DemandHistory {
  public:
    /// A job was accepted. Jobs other than services are ignored.
    void note_arrival(const wire::JobSpec& spec, TimePoint now);
    /// Updates the peaks of the array classes that can't wait for a boot with their current demand.
    void note_array_demand(const placement::Cluster& cluster, TimePoint now);

    /// Headroom for services that may be submitted soon. It has no tasks while no service is known.
    Headroom service_headroom(const placement::Cluster& cluster, TimePoint now);
    /// Difference between the recent peak of each array class and its current demand. Classes at their peak
    /// are omitted.
    std::vector<Headroom> array_headroom() const;
    /// Whether any array class had demand within the peak window.
    bool has_array_peaks() const;

  private:
    struct Sample {
        TimePoint at{};
        std::uint32_t tasks = 0;
    };
    struct ArrayDemand {
        wire::JobSpec spec;        // its CPU and memory needs are a moving average over the jobs of the class
        std::deque<Sample> peaks;  // in falling order: the first is the highest within the window
        std::uint32_t tasks_now = 0;
    };
    std::map<std::string, ArrayDemand> arrays_;  // by job class
    std::deque<Sample> service_arrivals_;
};

}  // namespace barrowrun::autoscaler
