#include "fleet/reachability.hpp"

namespace barrowrun::fleet {

bool WorkerRedirects::should_redirect(const std::string& leader, const std::string& machine, TimePoint now) {
    if (leader != leader_) {
        // Of another leader nothing is known yet.
        leader_ = leader;
        redirected_at_.clear();
        returns_.clear();
        leader_unreachable_until_ = TimePoint{};
    }
    forget_old(now);
    auto [it, fresh] = redirected_at_.try_emplace(machine, now);
    if (!fresh && now - it->second <= returns_within) {
        returns_.push_back(now);
        while (now - returns_.front() > returns_window) returns_.pop_front();
        if (returns_.size() >= returns_to_conclude || leader_unreachable(now))
            leader_unreachable_until_ = now + unreachable_for;
    }
    if (!fresh && now - it->second <= served_here_for) return false;
    if (leader_unreachable(now) && now - last_trial_ < trial_interval) {
        // Served here as if it had come back from there, though not counted as that.
        it->second = now - returns_within - std::chrono::milliseconds(1);
        return false;
    }
    last_trial_ = now;
    it->second = now;
    return true;
}

void WorkerRedirects::forget_old(TimePoint now) {
    if (now - forgot_old_at_ < served_here_for) return;
    forgot_old_at_ = now;
    std::erase_if(redirected_at_, [&](auto& s) { return now - s.second > 2 * served_here_for; });
}

}  // namespace barrowrun::fleet
