// Quotas in a leader's decisions: work within a guarantee first, what is borrowed yields to it, lowered
// limits are met in steps. Which tasks yield is decided in quota/; here stands what may, and what it costs.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "placement/cluster.hpp"

namespace barrowrun::placement {
using fleet::AssignmentPhase;
using wire::JobKind;

namespace {
// Bounds what a round spends on plans, and what it stops at once: the next round goes on.
constexpr std::size_t max_reclaim_plans_per_round = 8;
constexpr std::uint32_t max_tasks_per_reclaim_plan = 64;
// What preempting a task costs, in CPU seconds of lost work.
// A replica that is stopped is missed by its users.
constexpr double replica_cost = 100;
// A task that checkpoints loses at most this, besides the time to write its checkpoint.
constexpr double max_unsaved_s = 2;
// A start counts for its users only if the task is left alone for a while.
constexpr double settling_s = 30, unsettled_cost_s = 10;
// Every stop costs a start elsewhere; small tasks count as this many CPUs.
constexpr double restart_s = 2, least_cpus = 0.1;
}  // namespace

quota::NodeId Cluster::account_of(const wire::JobSpec& spec) const {
    return ledger_.tree().account_for(spec.team, spec.project).value_or(quota::root);
}

void Cluster::set_quotas(quota::TreePtr tree, TimePoint changed, double over_limit_grace_s) {
    const auto before = ledger_.tree_ptr();
    quotas_changed_ = changed;
    over_limit_grace_s_ = over_limit_grace_s;
    ledger_ = quota::Ledger(std::move(tree));
    for (auto& [id, job] : jobs_) job->account = account_of(job->spec);
    for (auto& [name, m] : machines_)
        for (auto& [a, e] : m->assignments) {
            if (e.account == quota::no_node) continue;
            if (Job* job = find_job(a.task.job)) {
                e.account = job->account;
            } else {
                // Its job is over, its task may still be there: charged where its account went.
                auto n = e.account;
                std::optional<quota::NodeId> now;
                while (n != quota::root && !(now = ledger_.tree().find_by_path(before->node(n).path)))
                    n = before->node(n).parent;
                e.account = now.value_or(quota::root);
            }
            ledger_.charge(e.account, e.need);
        }
}

double Cluster::preemption_cost(const Job& job, const Assignment& e, TimePoint now) const {
    double ran = e.started_at == TimePoint{} ? 0 : Seconds(now - e.started_at).count();
    double lost = e.checkpoints ? std::min(ran, max_unsaved_s) + job.spec.save_s : ran;
    if (ran < settling_s) lost += unsettled_cost_s;
    return (lost + restart_s) * std::max(least_cpus, e.need.cpus) +
           (job.spec.kind == JobKind::service ? replica_cost : 0);
}

wire::Resources Cluster::capacity_after_stops(const CapacityIndex::IndexedMachine& indexed) {
    wire::Resources room = indexed.machine->unreserved();
    room += indexed.capacity.stopping;
    return room;
}

Cluster::RunningWork Cluster::running_work(const std::vector<Machine*>& hosts, TimePoint now) const {
    RunningWork out;
    std::unordered_map<std::string, std::uint32_t> number;
    for (std::uint32_t h = 0; h < hosts.size(); ++h) number[hosts[h]->name] = h;
    std::unordered_set<std::string> gangs;
    for (std::uint32_t h = 0; h < hosts.size(); ++h)
        for (auto& [a, e] : hosts[h]->assignments) {
            if (e.exited() || e.stop_requested || e.account == quota::no_node) continue;
            auto it = jobs_.find(a.task.job);
            if (it == jobs_.end()) continue;
            const Job& job = *it->second;
            quota::PreemptionCandidate u{
                {{h, e.need}}, e.account, preemption_cost(job, e, now), e.checkpoints};
            if (job.spec.kind == JobKind::gang && job.spec.tasks > 1) {
                // Whole or not at all. Its parts on other machines stand at a place after the last.
                if (!gangs.insert(job.spec.id).second) continue;
                u.parts.clear();
                u.loss = 0;
                for (auto& [index, list] : job.placements)
                    for (auto& [name, attempt] : list) {
                        auto m = machines_.find(name);
                        if (m == machines_.end()) continue;
                        auto part = m->second->assignments.find({{job.spec.id, index}, attempt});
                        if (part == m->second->assignments.end() || part->second.exited()) continue;
                        auto at = number.find(name);
                        u.parts.push_back(
                            {at == number.end() ? static_cast<std::uint32_t>(hosts.size()) : at->second,
                             part->second.need});
                        u.loss += preemption_cost(job, part->second, now);
                    }
            }
            out.units.push_back(std::move(u));
            out.tasks.emplace_back(hosts[h], a);
        }
    return out;
}

// The deepest guarantees first: a team's covers its projects against other teams, not one project against
// what is promised to another.
bool Cluster::schedule_guaranteed(TimePoint now, std::size_t& placed) {
    bool acted = false;
    const auto deepest = ledger_.deepest_unmet_guarantee();
    if (deepest == 0) return acted;
    std::size_t plans = 0;
    std::set<std::string> misfits;
    std::set<std::pair<quota::NodeId, std::string>> in_vain;
    std::vector<Job*> order;
    for (int level = 0; level < wire::priority_levels; ++level)
        for (Job* job : in_order(level))
            if (!job->cancelled && now >= job->retry_at) order.push_back(job);
    for (auto depth = deepest; depth > 0; --depth)
        for (Job* job : order) {
            if (placed >= max_starts_per_round) return acted;
            const auto& s = job->spec;
            auto covered = [&] {
                return ledger_.tasks_within_guarantee_at(depth, job->account, s.need, job->waiting.size());
            };
            auto n = covered();
            if (n == 0) continue;
            const bool anywhere = !s.spread && !s.one_zone;
            if (s.kind == JobKind::gang) {
                if (n < s.tasks || job->waiting.size() != s.tasks || !job->placements.empty()) continue;
                if (place_gang(*job, now)) {
                    placed += s.tasks;
                    acted = true;
                    continue;
                }
            } else {
                auto served = schedule_job(
                    *job, static_cast<std::uint32_t>(std::min<std::size_t>(n, max_starts_per_round - placed)),
                    now, false, !misfits.contains(job->shape));
                placed += served.placed;
                acted |= served.placed > 0;
                if (served.no_room && anywhere) misfits.insert(job->shape);
                n = covered();
            }
            if (n == 0 || plans >= max_reclaim_plans_per_round ||
                in_vain.contains({job->account, job->shape}))
                continue;
            ++plans;
            if (reclaim_for_guarantee(
                    *job, std::min(n, s.kind == JobKind::gang ? s.tasks : max_tasks_per_reclaim_plan), now))
                acted = true;
            else
                in_vain.emplace(job->account, job->shape);
        }
    return acted;
}

// Room for tasks of a job that its guarantee covers. Room that is being made already is kept for it, so that
// nothing takes it meanwhile; the rest is taken from those that borrow.
bool Cluster::reclaim_for_guarantee(Job& job, std::uint32_t tasks, TimePoint now) {
    const auto& s = job.spec;
    const bool whole = s.kind == JobKind::gang;
    const ZoneConstraint taken(*this, s, &job);
    capacity_index_.refresh();
    std::vector<std::string> zones{""};
    if (s.one_zone) {
        std::set<std::string> all;
        for (auto& [name, m] : machines_) all.insert(m->zone);
        zones.clear();
        for (auto& z : all) zones.push_back(z);
    }
    for (auto& zone : zones) {
        std::vector<Machine*> hosts;
        std::vector<wire::Resources> rooms;
        // What is being stopped is as good as gone.
        quota::Ledger ledger = ledger_;
        for (auto& [name, m] : machines_) {
            for (auto& [a, e] : m->assignments)
                if (e.stop_requested && !e.exited() && e.account != quota::no_node)
                    ledger.release(e.account, e.need);
            if ((!zone.empty() && m->zone != zone) || !schedulable(*m, now) || !eligible(s, *m) ||
                !cleared_for(*m, job, now) || !taken.allows(m->zone))
                continue;
            hosts.push_back(m.get());
            rooms.push_back(capacity_after_stops(capacity_index_.find(*m)));
        }
        if (hosts.empty()) continue;
        // The place of what runs on other machines: nothing fits there.
        rooms.push_back({-quota::no_limit, -quota::no_limit, -quota::no_limit});
        auto there = running_work(hosts, now);
        auto plan = quota::plan_guarantee_reclaim(ledger, rooms, there.units, {job.account, s.need, tasks});
        if (plan.task_hosts.empty() || (whole && plan.task_hosts.size() < tasks)) continue;
        // Nobody else gets it in this round: neither the room nor what the limits leave.
        for (auto h : plan.task_hosts) {
            reserve(*hosts[h], s.need);
            ledger_.charge(job.account, s.need);
            promised_.emplace_back(job.account, s.need);
        }
        for (auto u : plan.victims) {
            auto& [m, a] = there.tasks[u];
            Job* other = find_job(a.task.job);
            if (!other) continue;
            if (there.units[u].parts.size() > 1)
                stop_gang(*other, grace_for(*other), now, "borrowed room is claimed");
            else
                request_stop(*m, a, m->assignments.at(a), grace_for(*other), now, "borrowed room is claimed");
        }
        if (!plan.victims.empty())
            spdlog::info(
                "job {}: preempts {} borrowing tasks or gangs within its guarantee, room for {} of its tasks",
                s.id, plan.victims.size(), plan.task_hosts.size());
        return !plan.victims.empty();
    }
    return false;
}

void Cluster::enforce_lowered_limits(TimePoint now) {
    const auto& tree = ledger_.tree();
    if (!tree.has_limits() || now < starts_deferred_until_) return;
    std::optional<RunningWork> there;
    const bool patient = now < std::max(quotas_changed_, acquired_) + secs(over_limit_grace_s_);
    // The deepest first: what it gives up its parents need not.
    for (auto n = static_cast<quota::NodeId>(tree.size()); n-- > 1;) {
        auto over = ledger_.over_limit(n);
        if (over.cpus <= 0 && over.gpus <= 0 && over.mem_gb <= 0) continue;
        if (!there) {
            std::vector<Machine*> hosts;
            for (auto& [name, m] : machines_) hosts.push_back(m.get());
            there = running_work(hosts, now);
        }
        wire::Resources stopping;
        for (auto& [name, m] : machines_)
            for (auto& [a, e] : m->assignments)
                if (e.stop_requested && !e.exited() && e.account != quota::no_node &&
                    tree.within(e.account, n))
                    stopping += e.need;
        std::vector<quota::PreemptionCandidate> units;
        std::vector<std::size_t> which;
        for (std::size_t u = 0; u < there->units.size(); ++u) {
            auto& [m, a] = there->tasks[u];
            if (m->assignments.at(a).stop_requested) continue;  // for a deeper node, just now
            units.push_back(there->units[u]);
            which.push_back(u);
        }
        for (auto u : quota::plan_limit_reclaim(ledger_, n, stopping, units, patient)) {
            auto& [m, a] = there->tasks[which[u]];
            Job* job = find_job(a.task.job);
            if (!job) continue;
            spdlog::info("task {}: preempted, {} is above its limit", a.task.str(), tree.node(n).path);
            if (units[u].parts.size() > 1)
                stop_gang(*job, grace_for(*job), now, "above a lowered limit");
            else
                request_stop(*m, a, m->assignments.at(a), grace_for(*job), now, "above a lowered limit");
        }
    }
}

std::string Cluster::explain(const Job& job, TimePoint now) const {
    const auto& s = job.spec;
    if (job.cancelled || job.waiting.empty()) return "";
    if (now < starts_deferred_until_)
        return fmt::format("a record of starts cannot be read: nothing is started for {:.0f} s",
                           Seconds(starts_deferred_until_ - now).count());
    if (now < job.retry_at)
        return fmt::format("its last try failed: the next is in {:.1f} s",
                           Seconds(job.retry_at - now).count());
    const auto& tree = ledger_.tree();
    const bool gang = s.kind == JobKind::gang;
    wire::Resources all = s.need;
    if (gang) all = {s.need.cpus * s.tasks, s.need.gpus * s.tasks, s.need.mem_gb * s.tasks};
    if (auto n = ledger_.first_exceeded_limit(job.account, all)) {
        const auto& node = tree.node(*n);
        auto used = ledger_.used(*n);
        std::string out = "the limit of " + node.path + ":";
        for (std::size_t d = 0; d < std::size(quota::dimensions); ++d) {
            auto dim = quota::dimensions[d];
            if (all.*dim > 0 && used.*dim + all.*dim > node.limit.*dim + 1e-6)
                out += fmt::format(" {} in use {:g}, limit {:g}, wanted {:g};", quota::dimension_names[d],
                                   used.*dim, node.limit.*dim, all.*dim);
        }
        out.pop_back();
        return out;
    }
    if (gang && !job.placements.empty()) return "tasks of its last attempt may still be on their machines";
    std::size_t may = 0, fit = 0;
    const ZoneConstraint taken(*this, s, &job);
    const Machine* roomiest = nullptr;
    wire::Resources most;
    for (auto& [name, m] : machines_) {
        if (!schedulable(*m, now) || !eligible(s, *m) || !taken.allows(m->zone)) continue;
        ++may;
        auto room = m->available();
        fit += s.need.fits(room);
        if (!roomiest || room.cpus > most.cpus) roomiest = m.get(), most = room;
    }
    if (may == 0) return "no machine that it may use is up";
    if (fit == 0)
        return fmt::format(
            "no room: a task needs {}; of {} machines that it may use the roomiest has {} free",
            quota::format_resources(s.need), may, quota::format_resources(most));
    std::uint64_t before = 0;
    for (int level = 0; level <= static_cast<int>(s.priority); ++level)
        for (auto& p : queue_.level(level)) {
            if (level == static_cast<int>(s.priority) && !(p < queue::Position{job.accepted_ms, s.id})) break;
            if (auto it = jobs_.find(p.id); it != jobs_.end()) before += it->second->waiting.size();
        }
    if (gang && fit < s.tasks)
        return fmt::format("no room for all at once: {} machines have room for one of its {} tasks", fit,
                           s.tasks);
    return before > 0 ? fmt::format("{} tasks of higher levels or older jobs come first", before)
                      : "nothing is in its way: it starts with the next round";
}

}  // namespace barrowrun::placement
