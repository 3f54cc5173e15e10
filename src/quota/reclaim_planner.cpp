#include "quota/reclaim_planner.hpp"

#include <algorithm>
#include <limits>

namespace barrowrun::quota {
namespace {

// Tasks of one host that are priced: what a plan costs grows with the square of their number.
constexpr std::uint32_t max_tasks_per_host = 16;

// For each host, how many of the tasks go there so that all together cost least; as many tasks as can be
// placed at all. Each host's price for so many tasks is taken by itself.
std::vector<std::uint32_t> cheapest_shares(const std::vector<std::vector<VictimSet>>& prices,
                                           std::uint32_t tasks) {
    constexpr double impossible = std::numeric_limits<double>::infinity();
    std::vector<double> least(tasks + 1, impossible);  // by number of tasks, on the hosts so far
    least[0] = 0;
    std::vector<std::vector<std::uint32_t>> picked(prices.size(), std::vector<std::uint32_t>(tasks + 1));
    for (std::size_t host = 0; host < prices.size(); ++host) {
        auto next = least;
        for (std::uint32_t total = 1; total <= tasks; ++total)
            for (std::uint32_t here = 1; here <= std::min<std::size_t>(total, prices[host].size()); ++here) {
                const double cost = least[total - here] + prices[host][here - 1].loss;
                if (cost >= next[total]) continue;
                next[total] = cost;
                picked[host][total] = here;
            }
        least = std::move(next);
    }
    auto left = tasks;
    while (left > 0 && least[left] == impossible) --left;
    std::vector<std::uint32_t> shares(prices.size());
    for (auto host = prices.size(); host-- > 0;) {
        shares[host] = picked[host][left];
        left -= shares[host];
    }
    return shares;
}

}  // namespace

ReclaimPlan ReclaimPlanner::plan(ReclaimStrategy strategy, const std::vector<std::size_t>& spared) {
    state_.restart(spared);
    prices_of_one_.assign(state_.host_count(), {});
    state_.place_in_free_capacity();
    for (auto nearness : state_.nearness_classes()) {
        state_.consider(nearness);
        if (strategy == ReclaimStrategy::cheapest_division) divide_among_hosts();
        while (strategy == ReclaimStrategy::best_host_first && fill_best_host()) {
        }
        while (state_.wants_more() && place_one()) {
        }
    }
    return state_.plan();
}

ReclaimPlanner::HostPrices ReclaimPlanner::prices_of(std::uint32_t host, std::uint32_t tasks) {
    HostPrices prices;
    Resources need;
    while (prices.size() < std::min(tasks, max_tasks_per_host)) {
        need += state_.request().need;
        auto price = cheapest_victims_on(state_, host, need);
        if (!price) break;
        prices.push_back(std::move(*price));
    }
    return prices;
}

void ReclaimPlanner::divide_among_hosts() {
    const ReclaimRequest& request = state_.request();
    const auto tasks = state_.remaining_tasks();
    if (tasks < 2 || !state_.ledger().admits(request.account, request.need, tasks)) return;
    std::vector<HostPrices> prices;
    for (std::uint32_t host = 0; host < state_.host_count(); ++host) prices.push_back(prices_of(host, tasks));
    const auto shares = cheapest_shares(prices, tasks);
    for (auto host = state_.host_count(); host-- > 0;) {
        if (shares[host] == 0) continue;
        const auto& victims = prices[host][shares[host] - 1].victims;
        // Hosts were priced one by one: together their holders may not have as much to give. The rest is
        // placed task by task.
        if (!state_.release_all(victims)) continue;
        state_.preempt(victims);
        place_up_to(shares[host], host);
    }
    state_.place_in_free_capacity();
}

bool ReclaimPlanner::fill_best_host() {
    const ReclaimRequest& request = state_.request();
    const auto tasks = state_.remaining_tasks();
    if (tasks == 0 || !state_.ledger().admits(request.account, request.need, tasks)) return false;
    std::optional<VictimSet> best;
    std::uint32_t best_host = 0, best_count = 0;
    double least_per_task = 0;
    for (std::uint32_t host = 0; host < state_.host_count(); ++host) {
        auto prices = prices_of(host, tasks);
        for (std::uint32_t count = 1; count <= prices.size(); ++count) {
            const double per_task = prices[count - 1].loss / count;
            if (best && per_task >= least_per_task) continue;
            least_per_task = per_task;
            best_host = host;
            best_count = count;
            best = std::move(prices[count - 1]);
        }
    }
    if (!best || !state_.release_all(best->victims)) return false;
    state_.preempt(best->victims);
    place_up_to(best_count, best_host);
    state_.place_in_free_capacity();
    return true;
}

bool ReclaimPlanner::place_one() {
    const auto for_limits = release_for_limits(state_);
    if (!for_limits) return false;
    if (!for_limits->empty()) state_.preempt(*for_limits);
    auto host = host_with_room();
    if (!host) {
        host = cheapest_host();
        if (!host || !state_.release_all(price_of_one(*host)->victims)) {
            state_.undo_preempt(*for_limits);
            return false;
        }
        const auto victims = price_of_one(*host)->victims;
        state_.preempt(victims);
    }
    state_.place(*host);
    state_.place_in_free_capacity();
    return true;
}

std::optional<std::uint32_t> ReclaimPlanner::host_with_room() const {
    for (std::uint32_t host = 0; host < state_.host_count(); ++host)
        if (state_.request().need.fits(state_.free_on(host))) return host;
    return std::nullopt;
}

std::optional<std::uint32_t> ReclaimPlanner::cheapest_host() {
    std::optional<std::uint32_t> best;
    double least = 0;
    for (std::uint32_t host = 0; host < state_.host_count(); ++host) {
        const auto& price = price_of_one(host);
        if (!price || (best && price->loss >= least)) continue;
        best = host;
        least = price->loss;
    }
    return best;
}

const std::optional<VictimSet>& ReclaimPlanner::price_of_one(std::uint32_t host) {
    CachedPrice& cached = prices_of_one_[host];
    if (cached.revision != state_.revision())
        cached = {state_.revision(), cheapest_victims_on(state_, host, state_.request().need)};
    return cached.victims;
}

void ReclaimPlanner::place_up_to(std::uint32_t tasks, std::uint32_t host) {
    while (tasks-- > 0 && state_.wants_more()) state_.place(host);
}

}  // namespace barrowrun::quota
