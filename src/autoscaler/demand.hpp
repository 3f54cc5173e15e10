#pragma once
// Demand of the recent past, for which capacity is kept: arrivals of services, and the peaks of array classes
// that can't wait for a machine to boot.
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "placement/cluster.hpp"

namespace barrowrun::autoscaler {

/// Whether a job's tasks should all have started before a machine that is provisioned for it would be up.
bool cannot_wait_for_boots(const placement::Cluster& cluster, const wire::JobSpec& spec);

/// Capacity to keep free: room for so many tasks like this one.
struct Headroom {
    wire::JobSpec like;
    std::uint32_t tasks = 0;
};

/// Remembers demand while this node leads; a new leader begins with none.
class DemandHistory {
  public:
    /// A job was accepted. Only services count here.
    void note_arrival(const wire::JobSpec& spec, TimePoint now);
    /// Takes the present demand of the array classes that can't wait for a boot into their peaks.
    void note_array_demand(const placement::Cluster& cluster, TimePoint now);

    /// For services that may come. No tasks while no service is known.
    Headroom service_headroom(const placement::Cluster& cluster, TimePoint now);
    /// By how much each array class is below its recent peak now; classes at their peak are left out.
    std::vector<Headroom> array_headroom() const;
    /// Whether any array class has had demand lately.
    bool has_array_peaks() const;

  private:
    struct Sample {
        TimePoint at{};
        std::uint32_t tasks = 0;
    };
    struct ArrayDemand {
        wire::JobSpec like;        // its needs are a moving average over the jobs of the class
        std::deque<Sample> peaks;  // falling: the first is the highest of the window
        std::uint32_t tasks_now = 0;
    };
    std::map<std::string, ArrayDemand> arrays_;  // by job class
    std::deque<Sample> service_arrivals_;
};

}  // namespace barrowrun::autoscaler
