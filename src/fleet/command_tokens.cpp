#include "fleet/command_tokens.hpp"

#include <algorithm>

namespace barrowrun::fleet {

void CommandTokens::obtained(std::uint64_t token, TimePoint now) {
    if (tokens_.empty()) first_ = token;
    if (token <= current()) return;
    tokens_.push_back({token, now});
    while (tokens_.size() > 1 && tokens_[1].at + propagation <= now) tokens_.pop_front();
}

std::uint64_t CommandTokens::propagated(TimePoint now) const {
    auto highest = first();
    for (auto& [token, at] : tokens_)
        if (at + propagation <= now) highest = token;
    return highest;
}

void CommandTokens::choose_for(Machine& machine, const Machine::LaunchesToVoid& launches, TimePoint now) {
    auto& token = machine.fencing_token_sent;
    // A worker that has seen a token above the current one follows another leader.
    token = std::clamp(std::max(token, machine.fencing_token_seen), first(), current());
    if (launches.unlisted >= token) token = current();
    if (launches.reapable < token) return;
    token = std::max(token, propagated(now));
    if (launches.reapable >= token)
        unvoided_launch_token_ = std::max(unvoided_launch_token_, launches.reapable);
}

}  // namespace barrowrun::fleet
