#include "autoscaler/offers.hpp"

#include <algorithm>

namespace barrowrun::autoscaler {

namespace {
// Wait after one refusal, and after how many in a row it grows no more.
constexpr double backoff_step_s = 4.0;
constexpr int max_backoff_steps = 3;
}  // namespace

void OfferBackoff::on_refused(const Offer& offer, TimePoint now) {
    Refusal& refusal = refusals_[offer];
    refusal.in_row = std::min(refusal.in_row + 1, max_backoff_steps);
    refusal.until = now + secs(backoff_step_s * refusal.in_row);
}

void OfferBackoff::on_granted(const Offer& offer) {
    refusals_.erase(offer);
}

bool OfferBackoff::is_backing_off(const Offer& offer, TimePoint now) const {
    auto refusal = refusals_.find(offer);
    return refusal != refusals_.end() && now < refusal->second.until;
}

}  // namespace barrowrun::autoscaler
