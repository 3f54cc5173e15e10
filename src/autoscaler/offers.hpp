#pragma once
// Offers of the cloud, orders for machines, and the backoff after refused orders.
#include <compare>
#include <map>
#include <string>

#include "base/clock.hpp"

namespace barrowrun::autoscaler {

/// A kind of machine that the cloud provisions: machine type, zone, and whether it is a spot instance.
struct Offer {
    std::string type, zone;
    bool spot = false;
    auto operator<=>(const Offer&) const = default;
};

/// One provisioning request for a number of machines of one offer.
struct MachineOrder {
    Offer offer;
    int count = 0;
};

/// Backoff for offers that the cloud refused for lack of capacity.
class OfferBackoff {
  public:
    /// Each consecutive refusal makes the backoff longer, up to a bound.
    void on_refused(const Offer& offer, TimePoint now);
    void on_granted(const Offer& offer);
    /// The offer must not be ordered now.
    bool is_backing_off(const Offer& offer, TimePoint now) const;
    /// The latest order for the offer was refused, however long ago.
    bool was_refused(const Offer& offer) const { return refusals_.contains(offer); }

  private:
    struct Refusal {
        TimePoint until{};
        int consecutive = 0;
    };
    std::map<Offer, Refusal> refusals_;
};

}  // namespace barrowrun::autoscaler
