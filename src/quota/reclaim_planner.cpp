#include "quota/reclaim_planner.hpp"

#include <algorithm>
#include <limits>

namespace barrowrun::quota {
namespace {

// Bounds the tasks considered for one host: the planning time grows with the square of their number.
constexpr std::uint32_t max_tasks_per_host = 16;

// Returns the number of tasks for each host that places as many tasks as possible at the least total loss.
// The loss on each host is taken independently of the other hosts.
std::vector<std::uint32_t> cheapest_distribution(const std::vector<std::vector<VictimSet>>& victims_by_host,
                                                 std::uint32_t tasks) {
    constexpr double infinite_loss = std::numeric_limits<double>::infinity();
    std::vector<double> least_loss(tasks + 1, infinite_loss);  // by number of tasks, on the hosts so far
    least_loss[0] = 0;
    std::vector<std::vector<std::uint32_t>> tasks_chosen(victims_by_host.size(),
                                                         std::vector<std::uint32_t>(tasks + 1));
    for (std::size_t host = 0; host < victims_by_host.size(); ++host) {
        auto next = least_loss;
        for (std::uint32_t total = 1; total <= tasks; ++total)
            for (std::uint32_t tasks_here = 1;
                 tasks_here <= std::min<std::size_t>(total, victims_by_host[host].size()); ++tasks_here) {
                const double loss =
                    least_loss[total - tasks_here] + victims_by_host[host][tasks_here - 1].loss;
                if (loss >= next[total]) continue;
                next[total] = loss;
                tasks_chosen[host][total] = tasks_here;
            }
        least_loss = std::move(next);
    }
    auto tasks_left = tasks;
    while (tasks_left > 0 && least_loss[tasks_left] == infinite_loss) --tasks_left;
    std::vector<std::uint32_t> tasks_by_host(victims_by_host.size());
    for (auto host = victims_by_host.size(); host-- > 0;) {
        tasks_by_host[host] = tasks_chosen[host][tasks_left];
        tasks_left -= tasks_by_host[host];
    }
    return tasks_by_host;
}

}  // namespace

ReclaimPlan ReclaimPlanner::plan(ReclaimStrategy strategy, const std::vector<std::size_t>& spared) {
    state_.restart(spared);
    single_task_victims_.assign(state_.host_count(), {});
    state_.place_in_free_capacity();
    for (auto nearness : state_.nearness_classes()) {
        state_.consider(nearness);
        if (strategy == ReclaimStrategy::cheapest_distribution) distribute_among_hosts();
        while (strategy == ReclaimStrategy::best_host_first && fill_best_host()) {
        }
        while (state_.wants_more() && place_one()) {
        }
    }
    return state_.plan();
}

ReclaimPlanner::HostVictims ReclaimPlanner::victims_by_task_count(std::uint32_t host, std::uint32_t tasks) {
    HostVictims victims_by_count;
    Resources need;
    while (victims_by_count.size() < std::min(tasks, max_tasks_per_host)) {
        need += state_.request().need;
        auto victims = cheapest_victims_on(state_, host, need);
        if (!victims) break;
        victims_by_count.push_back(std::move(*victims));
    }
    return victims_by_count;
}

void ReclaimPlanner::distribute_among_hosts() {
    const ReclaimRequest& request = state_.request();
    const auto tasks = state_.remaining_tasks();
    if (tasks < 2 || !state_.ledger().admits(request.account, request.need, tasks)) return;
    std::vector<HostVictims> victims_by_host;
    for (std::uint32_t host = 0; host < state_.host_count(); ++host)
        victims_by_host.push_back(victims_by_task_count(host, tasks));
    const auto tasks_by_host = cheapest_distribution(victims_by_host, tasks);
    for (auto host = state_.host_count(); host-- > 0;) {
        if (tasks_by_host[host] == 0) continue;
        const auto& victims = victims_by_host[host][tasks_by_host[host] - 1].victims;
        // The victims were selected for each host separately: all of them together may exceed the amounts
        // that their holders borrow. The remaining tasks are placed one by one.
        if (!state_.release_all(victims)) continue;
        state_.preempt(victims);
        place_up_to(tasks_by_host[host], host);
    }
    state_.place_in_free_capacity();
}

bool ReclaimPlanner::fill_best_host() {
    const ReclaimRequest& request = state_.request();
    const auto tasks = state_.remaining_tasks();
    if (tasks == 0 || !state_.ledger().admits(request.account, request.need, tasks)) return false;
    std::optional<VictimSet> best;
    std::uint32_t best_host = 0, best_count = 0;
    double least_loss_per_task = 0;
    for (std::uint32_t host = 0; host < state_.host_count(); ++host) {
        auto victims_by_count = victims_by_task_count(host, tasks);
        for (std::uint32_t count = 1; count <= victims_by_count.size(); ++count) {
            const double loss_per_task = victims_by_count[count - 1].loss / count;
            if (best && loss_per_task >= least_loss_per_task) continue;
            least_loss_per_task = loss_per_task;
            best_host = host;
            best_count = count;
            best = std::move(victims_by_count[count - 1]);
        }
    }
    if (!best || !state_.release_all(best->victims)) return false;
    state_.preempt(best->victims);
    place_up_to(best_count, best_host);
    state_.place_in_free_capacity();
    return true;
}

bool ReclaimPlanner::place_one() {
    const auto victims_for_limits = release_for_limits(state_);
    if (!victims_for_limits) return false;
    if (!victims_for_limits->empty()) state_.preempt(*victims_for_limits);
    auto host = host_with_free_capacity();
    if (!host) {
        host = cheapest_host();
        if (!host || !state_.release_all(victims_for_one_task(*host)->victims)) {
            state_.undo_preempt(*victims_for_limits);
            return false;
        }
        const auto victims = victims_for_one_task(*host)->victims;
        state_.preempt(victims);
    }
    state_.place(*host);
    state_.place_in_free_capacity();
    return true;
}

std::optional<std::uint32_t> ReclaimPlanner::host_with_free_capacity() const {
    for (std::uint32_t host = 0; host < state_.host_count(); ++host)
        if (state_.request().need.fits(state_.free_on(host))) return host;
    return std::nullopt;
}

std::optional<std::uint32_t> ReclaimPlanner::cheapest_host() {
    std::optional<std::uint32_t> best;
    double least_loss = 0;
    for (std::uint32_t host = 0; host < state_.host_count(); ++host) {
        const auto& victims = victims_for_one_task(host);
        if (!victims || (best && victims->loss >= least_loss)) continue;
        best = host;
        least_loss = victims->loss;
    }
    return best;
}

const std::optional<VictimSet>& ReclaimPlanner::victims_for_one_task(std::uint32_t host) {
    CachedVictims& cached = single_task_victims_[host];
    if (cached.revision != state_.revision())
        cached = {state_.revision(), cheapest_victims_on(state_, host, state_.request().need)};
    return cached.victims;
}

void ReclaimPlanner::place_up_to(std::uint32_t tasks, std::uint32_t host) {
    while (tasks-- > 0 && state_.wants_more()) state_.place(host);
}

}  // namespace barrowrun::quota
