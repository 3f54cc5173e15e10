#include "autoscaler/offers.hpp"

#include <algorithm>

namespace barrowrun::autoscaler {

namespace {
// Backoff added by each consecutive refusal, and the number of refusals after which it stops growing.
constexpr double backoff_step_s = 4.0;
constexpr int max_backoff_steps = 3;
}  // namespace

void OfferBackoff::on_refused(const Offer& offer, TimePoint now) {
    Refusal& refusal = refusals_[offer];
    refusal.consecutive = std::min(refusal.consecutive + 1, max_backoff_steps);
    refusal.until = now + secs(backoff_step_s * refusal.consecutive);
}

void OfferBackoff::on_granted(const Offer& offer) {
    refusals_.erase(offer);
}

bool OfferBackoff::is_backing_off(const Offer& offer, TimePoint now) const {
    auto refusal = refusals_.find(offer);
    return refusal != refusals_.end() && now < refusal->second.until;
}

}  // namespace barrowrun::autoscaler
