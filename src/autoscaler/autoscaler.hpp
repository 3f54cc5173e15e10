#pragma once
// How many machines there should be: which to provision, and which to return. Decisions only: no I/O, no
// clock of its own.
//
// A plan packs all waiting work, and headroom for work that may come soon, into the machines there are
// (Supply, ScaleOutPlanner); what finds no room is ordered, and machines that nothing was packed into are
// returned (scale_in).
#include <string>
#include <vector>

#include "autoscaler/demand.hpp"
#include "autoscaler/offers.hpp"
#include "placement/cluster.hpp"

namespace barrowrun::autoscaler {

/// What to do now.
struct ScalingPlan {
    std::vector<MachineOrder> scale_out;
    std::vector<std::string> scale_in;  // machines to return
    std::string drain;                  // a machine whose replicas have room elsewhere; empty: none
};

/// Owns what a plan must remember: which offers were refused, and recent demand. One for each term of a
/// leader.
class Autoscaler {
  public:
    /// The cloud's answer to an order. A refusal keeps the offer from being asked for, for a while.
    void refused(const Offer& offer, TimePoint now) { backoff_.on_refused(offer, now); }
    void granted(const Offer& offer) { backoff_.on_granted(offer); }
    bool refuses(const Offer& offer, TimePoint now) const { return backoff_.is_backing_off(offer, now); }

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
