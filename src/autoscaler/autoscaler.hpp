#pragma once
// How many machines to rent, of which sort, and which to give back.
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "placement/cluster.hpp"

namespace barrowrun::autoscaler {

struct Offer {
    std::string type, zone;
    bool spot = false;
    auto operator<=>(const Offer&) const = default;
};

struct MachineOrder {
    Offer offer;
    int count = 0;
};

struct ScalingPlan {
    std::vector<MachineOrder> scale_out;
    std::vector<std::string> scale_in;
    std::string drain;  // a machine whose replicas have room elsewhere
};

class Autoscaler {
  public:
    // A refusal for lack of capacity keeps the offer off the list for a while.
    void refused(const Offer& offer, TimePoint now);
    void granted(const Offer& offer);
    bool refuses(const Offer& offer, TimePoint now) const;
    // `coming`: machines asked for whose requests are not answered yet.
    ScalingPlan plan(const placement::Cluster& cluster, TimePoint now,
                     const std::vector<MachineOrder>& pending = {});
    void note_arrival(const wire::JobSpec& spec, TimePoint now);

  private:
    // How many tasks an array class that can't wait for boots held at once, lately.
    struct Demand {
        wire::JobSpec like;                                     // what its jobs need, on average
        std::deque<std::pair<TimePoint, std::uint32_t>> peaks;  // falling
        std::uint32_t now = 0;
    };
    void note_demand(const placement::Cluster& cluster, TimePoint now);
    std::string machine_to_drain(const placement::Cluster& cluster, TimePoint now,
                                 std::uint32_t keep_free) const;
    struct Refusal {
        TimePoint until{};
        int row = 0;
    };
    std::map<Offer, Refusal> refusals_;
    std::map<std::string, Demand> demand_;
    std::deque<std::pair<TimePoint, std::uint32_t>> service_arrivals_;  // tasks of services, lately
};

}  // namespace barrowrun::autoscaler
