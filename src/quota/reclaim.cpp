#include "quota/reclaim.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace barrowrun::quota {
namespace {

constexpr std::size_t searched = 10;  // units of a host of which every choice is weighed
constexpr std::size_t refined = 64;   // units up to which a plan is tried again without each that it stops
constexpr std::uint32_t most_per_host = 16;
constexpr int most_steps = 20'000;  // of a search among all units

using Chosen = std::optional<std::pair<double, std::vector<std::size_t>>>;  // loss, units

// One plan in the making. The ledger is what it will be once those chosen are gone and the tasks are placed.
class Planner {
  public:
    Planner(const Ledger& ledger, const std::vector<Resources>& rooms,
            const std::vector<PreemptionCandidate>& units, const ReclaimRequest& want)
        : before_(ledger),
          before_rooms_(rooms),
          units_(units),
          want_(want),
          on_(rooms.size()),
          ledger_(ledger) {
        const Tree& tree = ledger.tree();
        nearness_.resize(units.size());
        shared_.resize(units.size());
        for (std::size_t u = 0; u < units.size(); ++u) {
            shared_[u] = tree.lowest_common_ancestor(units[u].account, want.account);
            nearness_[u] = tree.node(shared_[u]).depth;
            for (auto& p : units[u].parts)
                if (on_[p.host].empty() || on_[p.host].back() != u) on_[p.host].push_back(u);
        }
        for (auto& list : on_)
            std::sort(list.begin(), list.end(), [&](auto x, auto y) { return before(x, y); });
        classes_ = nearness_;
        std::sort(classes_.rbegin(), classes_.rend());
        classes_.erase(std::unique(classes_.begin(), classes_.end()), classes_.end());
    }

    // How tasks are divided among hosts, before one after the other goes where it costs least: not at all; by
    // what each host would cost for one, two, ... tasks; or a host at a time, where a task of several costs
    // least.
    enum Way { singly, shared, in_bulk };
    // `banned`: units that go on in any case.
    ReclaimPlan make(Way way, const std::vector<std::size_t>& banned = {}) {
        ledger_ = before_;
        rooms_ = before_rooms_;
        gone_.assign(units_.size(), 0);
        for (auto u : banned) gone_[u] = 1;
        out_ = {};
        fill();
        for (auto nearest : classes_) {
            nearest_ = nearest;
            price_.assign(rooms_.size(), std::nullopt);
            priced_.assign(rooms_.size(), 0);
            if (way == shared) share();
            while (way == in_bulk && bulk()) {
            }
            while (wants_more() && one_more()) {
            }
        }
        return out_;
    }

    // Every choice of units, as far as a bound of steps reaches, for what makes the same room at less loss.
    // Only among equally near relatives: else a nearer one would be spared for a stranger.
    void search_all(ReclaimPlan& best) {
        if (classes_.size() > 1) return;
        ledger_ = before_;
        rooms_ = before_rooms_;
        gone_.assign(units_.size(), 0);
        const auto tasks = static_cast<std::uint32_t>(best.task_hosts.size());
        if (ledger_.admissible_tasks(want_.account, want_.need, tasks) < tasks) return;
        std::vector<std::size_t> order(units_.size()), chosen;
        for (std::size_t u = 0; u < order.size(); ++u) order[u] = u;
        std::sort(order.begin(), order.end(), [&](auto x, auto y) { return before(x, y); });
        int steps = most_steps;
        descend(order, 0, 0, tasks, chosen, best, steps);
    }

  private:
    std::uint32_t room_for(const Resources& room, std::uint32_t most) const {
        auto left = room;
        std::uint32_t n = 0;
        for (; n < most && want_.need.fits(left); ++n) left -= want_.need;
        return n;
    }
    void descend(const std::vector<std::size_t>& order, std::size_t at, double loss, std::uint32_t tasks,
                 std::vector<std::size_t>& chosen, ReclaimPlan& best, int& steps) {
        if (--steps < 0 || loss >= best.loss - 1e-9) return;
        std::uint32_t n = 0;
        for (std::uint32_t h = 0; h < rooms_.size() && n < tasks; ++h) n += room_for(rooms_[h], tasks - n);
        if (n == tasks) {
            best = {chosen, {}, loss};
            for (std::uint32_t h = 0; h < rooms_.size(); ++h)
                best.task_hosts.insert(
                    best.task_hosts.end(),
                    room_for(rooms_[h], tasks - static_cast<std::uint32_t>(best.task_hosts.size())), h);
            return;
        }
        if (at == order.size()) return;
        auto u = order[at];
        if (take(u)) {
            chosen.push_back(u);
            for (auto& p : units_[u].parts) rooms_[p.host] += p.need;
            descend(order, at + 1, loss + units_[u].loss, tasks, chosen, best, steps);
            for (auto& p : units_[u].parts) rooms_[p.host] -= p.need;
            chosen.pop_back();
            give_back(u);
        }
        descend(order, at + 1, loss, tasks, chosen, best, steps);
    }
    bool before(std::size_t x, std::size_t y) const {
        return std::tuple(~nearness_[x], units_[x].loss, x) < std::tuple(~nearness_[y], units_[y].loss, y);
    }
    bool wants_more() const {
        return out_.task_hosts.size() < want_.tasks &&
               ledger_.tasks_within_guarantee(want_.account, want_.need, 1) > 0;
    }
    void placed(std::uint32_t host) {
        rooms_[host] -= want_.need;
        ledger_.charge(want_.account, want_.need);
        out_.task_hosts.push_back(host);
        priced_.assign(priced_.size(), 0);
    }
    // Room that is there, or that a gang's other parts have left, costs nothing.
    void fill() {
        for (std::uint32_t h = 0; h < rooms_.size(); ++h)
            while (wants_more() && ledger_.admits(want_.account, want_.need, 1) && want_.need.fits(rooms_[h]))
                placed(h);
    }
    // Into the ledger only. False: it may not be stopped for this.
    bool take(std::size_t u) {
        // Only for a level that is below its guarantee and that the holder isn't in: work of one node doesn't
        // make way for other work of the same.
        if (ledger_.tasks_within_guarantee(want_.account, want_.need, 1, shared_[u]) == 0) return false;
        if (!ledger_.may_be_preempted(units_[u].account, units_[u].need(), want_.account)) return false;
        for (auto& p : units_[u].parts) ledger_.release(units_[u].account, p.need);
        return true;
    }
    void give_back(std::size_t u) {
        for (auto& p : units_[u].parts) ledger_.charge(units_[u].account, p.need);
    }
    bool take_all(const std::vector<std::size_t>& chosen) {
        for (std::size_t i = 0; i < chosen.size(); ++i)
            if (gone_[chosen[i]] || !take(chosen[i])) {
                while (i-- > 0) give_back(chosen[i]);
                return false;
            }
        return true;
    }
    void stopped(const std::vector<std::size_t>& chosen) {
        for (auto u : chosen) {
            gone_[u] = 1;
            out_.victims.push_back(u);
            out_.loss += units_[u].loss;
            for (auto& p : units_[u].parts) rooms_[p.host] += p.need;
        }
    }
    std::vector<std::size_t> candidates(std::uint32_t host) const {
        std::vector<std::size_t> out;
        for (auto u : on_[host])
            if (!gone_[u] && nearness_[u] >= nearest_) out.push_back(u);
        return out;
    }
    Resources on_host(std::size_t u, std::uint32_t host) const {
        Resources r;
        for (auto& p : units_[u].parts)
            if (p.host == host) r += p.need;
        return r;
    }

    // The cheapest units of a host whose room fits `need`: by whole search while they are few, else by what
    // they cost, then without those that turn out not to be needed.
    Chosen cheapest(std::uint32_t host, const Resources& need) {
        auto list = candidates(host);
        Chosen best;
        if (list.empty()) return best;
        std::vector<std::size_t> chosen;
        auto room = rooms_[host];
        if (list.size() <= searched) {
            search(host, need, list, 0, room, 0, chosen, best);
            return best;
        }
        double loss = 0;
        for (auto u : list) {
            if (need.fits(room)) break;
            if (!take(u)) continue;
            chosen.push_back(u);
            room += on_host(u, host);
            loss += units_[u].loss;
        }
        if (need.fits(room)) {
            auto by_loss = chosen;
            std::stable_sort(by_loss.begin(), by_loss.end(),
                             [&](auto x, auto y) { return units_[x].loss > units_[y].loss; });
            for (auto u : by_loss) {
                auto less = room;
                less -= on_host(u, host);
                if (!need.fits(less)) continue;
                room = less;
                loss -= units_[u].loss;
                give_back(u);
                std::erase(chosen, u);
            }
            best = {loss, chosen};
        }
        for (auto u : chosen) give_back(u);
        return best;
    }
    void search(std::uint32_t host, const Resources& need, const std::vector<std::size_t>& list,
                std::size_t at, Resources room, double loss, std::vector<std::size_t>& chosen, Chosen& best) {
        if (best && loss >= best->first) return;
        if (need.fits(room)) {
            best = {loss, chosen};
            return;
        }
        if (at == list.size()) return;
        auto u = list[at];
        if (take(u)) {
            auto more = room;
            more += on_host(u, host);
            chosen.push_back(u);
            search(host, need, list, at + 1, more, loss + units_[u].loss, chosen, best);
            chosen.pop_back();
            give_back(u);
        }
        search(host, need, list, at + 1, room, loss, chosen, best);
    }

    // A limit that others have filled with what they borrow is met by those who are in it, wherever they run.
    // What was chosen is in the ledger then.
    std::optional<std::vector<std::size_t>> make_admitted() {
        std::vector<std::size_t> chosen;
        while (auto full = ledger_.first_exceeded_limit(want_.account, want_.need)) {
            std::optional<std::size_t> best;
            for (std::size_t u = 0; u < units_.size(); ++u) {
                if (gone_[u] || nearness_[u] < nearest_ || !ledger_.tree().within(units_[u].account, *full) ||
                    std::find(chosen.begin(), chosen.end(), u) != chosen.end() || (best && !before(u, *best)))
                    continue;
                if (!take(u)) continue;
                give_back(u);
                best = u;
            }
            if (!best) {
                for (auto u : chosen) give_back(u);
                return std::nullopt;
            }
            take(*best);
            chosen.push_back(*best);
        }
        return chosen;
    }

    bool one_more() {
        auto limited = make_admitted();
        if (!limited) return false;
        if (!limited->empty()) {
            stopped(*limited);
            priced_.assign(priced_.size(), 0);
        }
        auto undo = [&] {
            for (auto u : *limited) {
                gone_[u] = 0;
                out_.victims.pop_back();
                out_.loss -= units_[u].loss;
                give_back(u);
                for (auto& p : units_[u].parts) rooms_[p.host] -= p.need;
            }
        };
        for (std::uint32_t h = 0; h < rooms_.size(); ++h)
            if (want_.need.fits(rooms_[h])) {
                placed(h);
                fill();
                return true;
            }
        std::optional<std::uint32_t> best;
        for (std::uint32_t h = 0; h < rooms_.size(); ++h) {
            if (!priced_[h]) price_[h] = cheapest(h, want_.need), priced_[h] = 1;
            if (price_[h] && (!best || price_[h]->first < price_[*best]->first)) best = h;
        }
        // Prices are of this moment: whoever is taken was looked at with the ledger as it is.
        if (!best || !take_all(price_[*best]->second)) {
            undo();
            return false;
        }
        stopped(price_[*best]->second);
        placed(*best);
        fill();
        return true;
    }

    // The cheapest division of the tasks among hosts, each host's price for so many tasks taken by itself.
    void share() {
        const auto tasks = std::min(want_.tasks - static_cast<std::uint32_t>(out_.task_hosts.size()),
                                    ledger_.tasks_within_guarantee(want_.account, want_.need, want_.tasks));
        if (tasks < 2 || ledger_.admissible_tasks(want_.account, want_.need, tasks) < tasks) return;
        std::vector<std::vector<Chosen>> prices(rooms_.size());  // of one task, two, ...
        constexpr double never = std::numeric_limits<double>::infinity();
        std::vector<double> least(tasks + 1, never);
        least[0] = 0;
        std::vector<std::vector<std::uint32_t>> picked(rooms_.size(), std::vector<std::uint32_t>(tasks + 1));
        for (std::uint32_t h = 0; h < rooms_.size(); ++h) {
            Resources need;
            for (std::uint32_t k = 1; k <= std::min(tasks, most_per_host); ++k) {
                need += want_.need;
                auto price = cheapest(h, need);
                if (!price) break;
                prices[h].push_back(std::move(price));
            }
            auto next = least;
            for (std::uint32_t n = 1; n <= tasks; ++n)
                for (std::uint32_t k = 1; k <= std::min<std::size_t>(n, prices[h].size()); ++k)
                    if (const double cost = least[n - k] + prices[h][k - 1]->first; cost < next[n])
                        next[n] = cost, picked[h][n] = k;
            least = std::move(next);
        }
        auto n = tasks;
        while (n > 0 && least[n] == never) --n;
        for (auto h = static_cast<std::uint32_t>(rooms_.size()); h-- > 0 && n > 0;) {
            auto k = picked[h][n];
            n -= k;
            // Hosts were priced one by one: together their holders may not have as much to give. The rest is
            // left to the search task by task.
            if (k == 0 || !take_all(prices[h][k - 1]->second)) continue;
            stopped(prices[h][k - 1]->second);
            while (k-- > 0 && wants_more()) placed(h);
        }
        fill();
    }

    // The host and number of tasks that cost least for each.
    bool bulk() {
        const auto tasks = std::min(want_.tasks - static_cast<std::uint32_t>(out_.task_hosts.size()),
                                    ledger_.tasks_within_guarantee(want_.account, want_.need, want_.tasks));
        if (tasks == 0 || ledger_.admissible_tasks(want_.account, want_.need, tasks) < tasks) return false;
        Chosen best;
        std::uint32_t host = 0, count = 0;
        double each = 0;
        for (std::uint32_t h = 0; h < rooms_.size(); ++h) {
            Resources need;
            for (std::uint32_t k = 1; k <= std::min(tasks, most_per_host); ++k) {
                need += want_.need;
                auto price = cheapest(h, need);
                if (!price) break;
                if (!best || price->first / k < each)
                    each = price->first / k, host = h, count = k, best = std::move(price);
            }
        }
        if (!best || !take_all(best->second)) return false;
        stopped(best->second);
        while (count-- > 0 && wants_more()) placed(host);
        fill();
        return true;
    }

    const Ledger& before_;
    const std::vector<Resources>& before_rooms_;
    const std::vector<PreemptionCandidate>& units_;
    const ReclaimRequest& want_;
    std::vector<std::vector<std::size_t>> on_;  // units by host, nearest relatives first, then by loss
    std::vector<std::uint32_t> nearness_, classes_;
    std::vector<NodeId> shared_;
    Ledger ledger_;
    std::vector<Resources> rooms_;
    std::vector<char> gone_;
    std::uint32_t nearest_ = 0;
    std::vector<Chosen> price_;  // of one task more, by host
    std::vector<char> priced_;
    ReclaimPlan out_;
};

}  // namespace

Resources PreemptionCandidate::need() const {
    Resources r;
    for (auto& p : parts) r += p.need;
    return r;
}

ReclaimPlan plan_guarantee_reclaim(const Ledger& ledger, const std::vector<Resources>& rooms,
                                   const std::vector<PreemptionCandidate>& units,
                                   const ReclaimRequest& want) {
    Planner planner(ledger, rooms, units, want);
    auto better = [](const ReclaimPlan& x, const ReclaimPlan& y) {
        return x.task_hosts.size() != y.task_hosts.size() ? x.task_hosts.size() > y.task_hosts.size()
                                                          : x.loss < y.loss - 1e-9;
    };
    constexpr Planner::Way ways[] = {Planner::shared, Planner::singly, Planner::in_bulk};
    auto best = planner.make(ways[0]);
    if (best.victims.empty()) return best;
    for (auto way : {ways[1], ways[2]})
        if (auto other = planner.make(way); better(other, best)) best = std::move(other);
    // Few as they are: once more without each that stops, as long as that helps.
    std::vector<std::size_t> banned;
    for (bool again = units.size() <= refined; again;) {
        again = false;
        for (auto u : std::vector<std::size_t>(best.victims)) {
            auto without = banned;
            without.push_back(u);
            bool helped = false;
            for (auto way : ways)
                if (auto other = planner.make(way, without); better(other, best)) {
                    best = std::move(other);
                    helped = true;
                }
            if (helped) banned = std::move(without), again = true;
        }
    }
    if (units.size() <= refined) planner.search_all(best);
    return best;
}

std::vector<std::size_t> plan_limit_reclaim(const Ledger& ledger, NodeId node, const Resources& stopping,
                                            const std::vector<PreemptionCandidate>& units,
                                            bool checkpointing_only) {
    Resources excess = ledger.over_limit(node);
    for (auto dim : dimensions) excess.*dim = std::max(0.0, excess.*dim - stopping.*dim);
    auto met = [&](const Resources& r) {
        return std::all_of(std::begin(dimensions), std::end(dimensions),
                           [&](auto dim) { return r.*dim <= 1e-6; });
    };
    std::vector<std::size_t> order, out;
    for (std::size_t u = 0; u < units.size(); ++u)
        if (ledger.tree().within(units[u].account, node) && (units[u].checkpoints || !checkpointing_only))
            order.push_back(u);
    std::stable_sort(order.begin(), order.end(), [&](auto x, auto y) {
        return std::tuple(!units[x].checkpoints, units[x].loss) <
               std::tuple(!units[y].checkpoints, units[y].loss);
    });
    auto helps = [&](std::size_t u) {
        auto need = units[u].need();
        return std::any_of(std::begin(dimensions), std::end(dimensions),
                           [&](auto dim) { return excess.*dim > 1e-6 && need.*dim > 0; });
    };
    for (auto u : order) {
        if (met(excess)) break;
        if (!helps(u)) continue;
        excess -= units[u].need();
        out.push_back(u);
    }
    // Those that turned out not to be needed go on, the dearest first.
    for (auto it = out.rbegin(); it != out.rend();) {
        auto more = excess;
        more += units[*it].need();
        if (met(more)) {
            excess = more;
            it = std::make_reverse_iterator(out.erase(std::next(it).base()));
        } else {
            ++it;
        }
    }
    return out;
}

}  // namespace barrowrun::quota
