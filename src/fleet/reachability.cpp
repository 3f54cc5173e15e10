#include "fleet/reachability.hpp"

namespace barrowrun::fleet {

bool WorkerRedirects::should_redirect(const std::string& leader, const std::string& machine, TimePoint now) {
    if (leader != leader_) {
        // The collected data refers to the previous leader.
        leader_ = leader;
        redirected_at_.clear();
        returns_.clear();
        leader_unreachable_until_ = TimePoint{};
    }
    remove_old(now);
    auto [it, inserted] = redirected_at_.try_emplace(machine, now);
    if (!inserted && now - it->second <= max_return_delay) {
        returns_.push_back(now);
        while (now - returns_.front() > return_window) returns_.pop_front();
        if (returns_.size() >= min_returns_to_judge || leader_unreachable(now))
            leader_unreachable_until_ = now + unreachable_period;
    }
    if (!inserted && now - it->second <= forwarding_period) return false;
    if (leader_unreachable(now) && now - last_trial_ < trial_interval) {
        // Forward as for a worker that came back, but with a time that doesn't count as a return.
        it->second = now - max_return_delay - std::chrono::milliseconds(1);
        return false;
    }
    last_trial_ = now;
    it->second = now;
    return true;
}

void WorkerRedirects::remove_old(TimePoint now) {
    if (now - last_cleanup_ < forwarding_period) return;
    last_cleanup_ = now;
    std::erase_if(redirected_at_, [&](auto& s) { return now - s.second > 2 * forwarding_period; });
}

}  // namespace barrowrun::fleet
