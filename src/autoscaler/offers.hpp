#pragma once
// What the cloud offers, what is ordered from it, and which offers it refused lately.
#include <compare>
#include <map>
#include <string>

#include "base/clock.hpp"

namespace barrowrun::autoscaler {

/// A sort of machine that the cloud rents out: machine type, zone, and whether it is a spot instance.
struct Offer {
    std::string type, zone;
    bool spot = false;
    auto operator<=>(const Offer&) const = default;
};

/// One provisioning request: so many machines of one offer.
struct MachineOrder {
    Offer offer;
    int count = 0;
};

/// Which offers the cloud refused for lack of capacity, and until when each is not asked for again.
class OfferBackoff {
  public:
    /// Each refusal in a row makes the wait longer, up to a bound.
    void on_refused(const Offer& offer, TimePoint now);
    void on_granted(const Offer& offer);
    /// The offer is not asked for at present.
    bool is_backing_off(const Offer& offer, TimePoint now) const;
    /// The last answer for the offer was a refusal, however long ago.
    bool was_refused(const Offer& offer) const { return refusals_.contains(offer); }

  private:
    struct Refusal {
        TimePoint until{};
        int in_row = 0;
    };
    std::map<Offer, Refusal> refusals_;
};

}  // namespace barrowrun::autoscaler
