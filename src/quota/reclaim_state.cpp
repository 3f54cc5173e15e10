#include "quota/reclaim_state.hpp"

#include <algorithm>
#include <tuple>

namespace barrowrun::quota {

ReclaimState::ReclaimState(const Ledger& ledger, const std::vector<Resources>& free_capacity,
                           const std::vector<PreemptionCandidate>& candidates, const ReclaimRequest& request)
    : initial_ledger_(ledger),
      initial_free_(free_capacity),
      candidates_(candidates),
      request_(request),
      candidates_on_(free_capacity.size()),
      ledger_(ledger) {
    const Tree& tree = ledger.tree();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        common_ancestors_.push_back(tree.lowest_common_ancestor(candidates[i].account, request.account));
        nearness_.push_back(tree.node(common_ancestors_.back()).depth);
        for (auto& part : candidates[i].parts)
            if (auto& here = candidates_on_[part.host]; here.empty() || here.back() != i) here.push_back(i);
    }
    for (auto& here : candidates_on_)
        std::sort(here.begin(), here.end(), [&](auto a, auto b) { return precedes(a, b); });
    nearness_classes_ = nearness_;
    std::sort(nearness_classes_.rbegin(), nearness_classes_.rend());
    nearness_classes_.erase(std::unique(nearness_classes_.begin(), nearness_classes_.end()),
                            nearness_classes_.end());
}

void ReclaimState::restart(const std::vector<std::size_t>& spared) {
    ledger_ = initial_ledger_;
    free_ = initial_free_;
    unavailable_.assign(candidates_.size(), 0);
    for (auto index : spared) unavailable_[index] = 1;
    plan_ = {};
    ++revision_;
}

void ReclaimState::consider(std::uint32_t nearness) {
    min_nearness_ = nearness;
    ++revision_;
}

bool ReclaimState::precedes(std::size_t a, std::size_t b) const {
    return std::tuple(~nearness_[a], candidates_[a].loss, a) <
           std::tuple(~nearness_[b], candidates_[b].loss, b);
}

bool ReclaimState::available(std::size_t candidate) const {
    return !unavailable_[candidate] && nearness_[candidate] >= min_nearness_;
}

std::vector<std::size_t> ReclaimState::available_on(std::uint32_t host) const {
    std::vector<std::size_t> out;
    for (auto candidate : candidates_on_[host])
        if (available(candidate)) out.push_back(candidate);
    return out;
}

Resources ReclaimState::need_on(std::size_t candidate, std::uint32_t host) const {
    Resources need;
    for (auto& part : candidates_[candidate].parts)
        if (part.host == host) need += part.need;
    return need;
}

bool ReclaimState::wants_more() const {
    return plan_.task_hosts.size() < request_.tasks &&
           ledger_.tasks_within_guarantee(request_.account, request_.need, 1) > 0;
}

std::uint32_t ReclaimState::remaining_tasks() const {
    return std::min(request_.tasks - static_cast<std::uint32_t>(plan_.task_hosts.size()),
                    ledger_.tasks_within_guarantee(request_.account, request_.need, request_.tasks));
}

bool ReclaimState::release(std::size_t candidate) {
    const PreemptionCandidate& holder = candidates_[candidate];
    // The preemption has to serve the guarantee of a node that does not contain the holder: a node's tasks
    // are not preempted for other tasks of the same node.
    if (ledger_.tasks_within_guarantee(request_.account, request_.need, 1, common_ancestors_[candidate]) == 0)
        return false;
    if (!ledger_.may_be_preempted(holder.account, holder.need(), request_.account)) return false;
    for (auto& part : holder.parts) ledger_.release(holder.account, part.need);
    return true;
}

void ReclaimState::restore(std::size_t candidate) {
    const PreemptionCandidate& holder = candidates_[candidate];
    for (auto& part : holder.parts) ledger_.charge(holder.account, part.need);
}

bool ReclaimState::release_all(const std::vector<std::size_t>& candidates) {
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!unavailable_[candidates[i]] && release(candidates[i])) continue;
        while (i-- > 0) restore(candidates[i]);
        return false;
    }
    return true;
}

void ReclaimState::preempt(const std::vector<std::size_t>& released) {
    for (auto candidate : released) {
        unavailable_[candidate] = 1;
        plan_.victims.push_back(candidate);
        plan_.loss += candidates_[candidate].loss;
        for (auto& part : candidates_[candidate].parts) free_[part.host] += part.need;
    }
    ++revision_;
}

void ReclaimState::undo_preempt(const std::vector<std::size_t>& latest) {
    for (auto candidate : latest) {
        unavailable_[candidate] = 0;
        plan_.victims.pop_back();
        plan_.loss -= candidates_[candidate].loss;
        restore(candidate);
        for (auto& part : candidates_[candidate].parts) free_[part.host] -= part.need;
    }
    ++revision_;
}

void ReclaimState::place(std::uint32_t host) {
    free_[host] -= request_.need;
    ledger_.charge(request_.account, request_.need);
    plan_.task_hosts.push_back(host);
    ++revision_;
}

void ReclaimState::place_in_free_capacity() {
    for (std::uint32_t host = 0; host < host_count(); ++host)
        while (wants_more() && ledger_.admits(request_.account, request_.need, 1) &&
               request_.need.fits(free_[host]))
            place(host);
}

}  // namespace barrowrun::quota
