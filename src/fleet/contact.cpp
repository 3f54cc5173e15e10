#include "fleet/contact.hpp"

namespace barrowrun::fleet {

bool Redirects::send_to(const std::string& leader, const std::string& machine, TimePoint now) {
    if (leader != leader_) {
        // Of another leader nothing is known yet.
        leader_ = leader;
        sent_.clear();
        back_.clear();
        out_of_reach_until_ = TimePoint{};
    }
    tidy(now);
    auto [it, fresh] = sent_.try_emplace(machine, now);
    if (!fresh && now - it->second <= soon) {
        back_.push_back(now);
        while (now - back_.front() > together) back_.pop_front();
        if (back_.size() >= several || leader_out_of_reach(now)) out_of_reach_until_ = now + believed;
    }
    if (!fresh && now - it->second <= kept) return false;
    if (leader_out_of_reach(now) && now - tried_ < trial) {
        // Served here as if it had come back from there, though not counted as that.
        it->second = now - soon - std::chrono::milliseconds(1);
        return false;
    }
    tried_ = now;
    it->second = now;
    return true;
}

void Redirects::tidy(TimePoint now) {
    if (now - tidied_ < kept) return;
    tidied_ = now;
    std::erase_if(sent_, [&](auto& s) { return now - s.second > 2 * kept; });
}

}  // namespace barrowrun::fleet
