#pragma once
// Decides which machines to provision and which to return to the cloud. Decisions only: no I/O, no clock of
// its own.
//
// A plan packs all waiting tasks, and headroom for tasks that may be submitted soon, into the existing
// machines (Supply, ScaleOutPlanner). Machines are ordered for the tasks that don't fit, and machines that no
// task was packed into are returned (scale_in).
#include <string>
#include <vector>

#include "autoscaler/demand.hpp"
#include "autoscaler/offers.hpp"
#include "placement/cluster.hpp"

namespace barrowrun::autoscaler {

/// Result of one planning pass.
struct ScalingPlan {
    std::vector<MachineOrder> scale_out;
    std::vector<std::string> scale_in;  // machines to return
    std::string drain;                  // a machine whose replicas fit on other machines; empty: none
};

/// Plans scaling, and owns the state that is kept between plans: refused offers and recent demand. Each
/// leader term has its own instance.
class Autoscaler {
  public:
    /// The cloud refused or granted an order. A refused offer is not ordered again until its backoff ends.
    void on_order_refused(const Offer& offer, TimePoint now) { backoff_.on_refused(offer, now); }
    void on_order_granted(const Offer& offer) { backoff_.on_granted(offer); }
    /// The offer is in backoff after a refusal.
    bool is_backing_off(const Offer& offer, TimePoint now) const {
        return backoff_.is_backing_off(offer, now);
    }

    /// `pending`: orders that the cloud has not answered yet.
    ScalingPlan plan(const placement::Cluster& cluster, TimePoint now,
                     const std::vector<MachineOrder>& pending = {});
    /// A job was accepted.
    void note_arrival(const wire::JobSpec& spec, TimePoint now) { demand_.note_arrival(spec, now); }

  private:
    OfferBackoff backoff_;
    DemandHistory demand_;
};

}  // namespace barrowrun::autoscaler
