// Enforcement of quotas: work within a guarantee is placed first and preempts borrowing tasks, and tasks
// above a lowered limit are preempted in steps. quota/ chooses the victims; this file collects the candidates
// and their preemption costs.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "placement/cluster.hpp"

namespace barrowrun::placement {
using fleet::AssignmentPhase;
using wire::JobKind;

namespace {
// Bound the planning time of a round and the number of tasks that it stops at once; the next round continues.
constexpr std::size_t max_reclaim_plans_per_round = 8;
constexpr std::uint32_t max_tasks_per_reclaim_plan = 64;
// The following constants give the cost of preempting a task, in CPU seconds of lost work.
// Stopping a replica reduces the service that its users get.
constexpr double replica_cost = 100;
// A checkpointing task loses at most this much run time, besides the time to write its checkpoint.
constexpr double max_unsaved_s = 2;
// A start is of use only if the task then runs undisturbed for a while, so recently started tasks cost more.
constexpr double settling_s = 30, unsettled_cost_s = 10;
// Every preempted task has to be started again; a task with fewer CPUs counts as one with `min_cpus`.
constexpr double restart_s = 2, min_cpus = 0.1;
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
                // The job has ended but its task may still run: charged to the account of the same path, or
                // to its nearest ancestor that still exists.
                auto n = e.account;
                std::optional<quota::NodeId> account;
                while (n != quota::root && !(account = ledger_.tree().find_by_path(before->node(n).path)))
                    n = before->node(n).parent;
                e.account = account.value_or(quota::root);
            }
            ledger_.charge(e.account, e.need);
        }
}

double Cluster::preemption_cost(const Job& job, const Assignment& e, TimePoint now) const {
    double run_s = e.started_at == TimePoint{} ? 0 : Seconds(now - e.started_at).count();
    double lost_s = e.checkpoints ? std::min(run_s, max_unsaved_s) + job.spec.save_s : run_s;
    if (run_s < settling_s) lost_s += unsettled_cost_s;
    return (lost_s + restart_s) * std::max(min_cpus, e.need.cpus) +
           (job.spec.kind == JobKind::service ? replica_cost : 0);
}

wire::Resources Cluster::capacity_after_stops(const CapacityIndex::IndexedMachine& indexed) {
    wire::Resources room = indexed.machine->unreserved();
    room += indexed.capacity.stopping;
    return room;
}

Cluster::RunningWork Cluster::running_work(const std::vector<Machine*>& hosts, TimePoint now) const {
    RunningWork out;
    std::unordered_map<std::string, std::uint32_t> host_numbers;
    for (std::uint32_t h = 0; h < hosts.size(); ++h) host_numbers[hosts[h]->name] = h;
    std::unordered_set<std::string> gangs;
    for (std::uint32_t h = 0; h < hosts.size(); ++h)
        for (auto& [a, e] : hosts[h]->assignments) {
            if (e.exited() || e.stop_requested || e.account == quota::no_node) continue;
            auto it = jobs_.find(a.task.job);
            if (it == jobs_.end()) continue;
            const Job& job = *it->second;
            quota::PreemptionCandidate candidate{
                {{h, e.need}}, e.account, preemption_cost(job, e, now), e.checkpoints};
            if (job.spec.kind == JobKind::gang && job.spec.tasks > 1) {
                // A gang is preempted as a whole or not at all. Its tasks on machines outside `hosts` get the
                // number after the last host.
                if (!gangs.insert(job.spec.id).second) continue;
                candidate.parts.clear();
                candidate.loss = 0;
                for (auto& [index, list] : job.placements)
                    for (auto& [name, attempt] : list) {
                        auto m = machines_.find(name);
                        if (m == machines_.end()) continue;
                        auto part = m->second->assignments.find({{job.spec.id, index}, attempt});
                        if (part == m->second->assignments.end() || part->second.exited()) continue;
                        auto at = host_numbers.find(name);
                        candidate.parts.push_back(
                            {at == host_numbers.end() ? static_cast<std::uint32_t>(hosts.size()) : at->second,
                             part->second.need});
                        candidate.loss += preemption_cost(job, part->second, now);
                    }
            }
            out.candidates.push_back(std::move(candidate));
            out.tasks.emplace_back(hosts[h], a);
        }
    return out;
}

// Serves the deepest guarantees first: a team's guarantee covers its projects against other teams, but not
// one of its projects against the guarantee of another.
bool Cluster::schedule_guaranteed(TimePoint now, std::size_t& placed) {
    bool acted = false;
    const auto deepest = ledger_.deepest_unmet_guarantee();
    if (deepest == 0) return acted;
    std::size_t plans = 0;
    std::set<std::string> unplaceable_shapes;
    std::set<std::pair<quota::NodeId, std::string>> failed_reclaims;
    std::vector<Job*> order;
    for (int level = 0; level < wire::priority_levels; ++level)
        for (Job* job : waiting_jobs_in_order(level))
            if (!job->cancelled && now >= job->retry_at) order.push_back(job);
    for (auto depth = deepest; depth > 0; --depth)
        for (Job* job : order) {
            if (placed >= max_starts_per_round) return acted;
            const auto& s = job->spec;
            auto tasks_covered = [&] {
                return ledger_.tasks_within_guarantee_at(depth, job->account, s.need, job->waiting.size());
            };
            auto n = tasks_covered();
            if (n == 0) continue;
            const bool any_zone = !s.spread && !s.one_zone;
            if (s.kind == JobKind::gang) {
                if (n < s.tasks || job->waiting.size() != s.tasks || !job->placements.empty()) continue;
                if (place_gang(*job, now)) {
                    placed += s.tasks;
                    acted = true;
                    continue;
                }
            } else {
                auto scheduled = schedule_job(
                    *job, static_cast<std::uint32_t>(std::min<std::size_t>(n, max_starts_per_round - placed)),
                    now, false, !unplaceable_shapes.contains(job->shape));
                placed += scheduled.placed;
                acted |= scheduled.placed > 0;
                if (scheduled.no_room && any_zone) unplaceable_shapes.insert(job->shape);
                n = tasks_covered();
            }
            if (n == 0 || plans >= max_reclaim_plans_per_round ||
                failed_reclaims.contains({job->account, job->shape}))
                continue;
            ++plans;
            if (reclaim_for_guarantee(
                    *job, std::min(n, s.kind == JobKind::gang ? s.tasks : max_tasks_per_reclaim_plan), now))
                acted = true;
            else
                failed_reclaims.emplace(job->account, job->shape);
        }
    return acted;
}

// Makes room for tasks of a job that its guarantee covers. Capacity that stopping tasks will free is reserved
// for the job, so that no other takes it meanwhile; borrowing tasks are preempted for the rest.
bool Cluster::reclaim_for_guarantee(Job& job, std::uint32_t tasks, TimePoint now) {
    const auto& s = job.spec;
    const bool gang = s.kind == JobKind::gang;
    const ZoneConstraint zone_constraint(*this, s, &job);
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
        // Stopping tasks are not counted as used.
        quota::Ledger ledger = ledger_;
        for (auto& [name, m] : machines_) {
            for (auto& [a, e] : m->assignments)
                if (e.stop_requested && !e.exited() && e.account != quota::no_node)
                    ledger.release(e.account, e.need);
            if ((!zone.empty() && m->zone != zone) || !schedulable(*m, now) || !eligible(s, *m) ||
                !passes_failure_check(*m, job, now) || !zone_constraint.allows(m->zone))
                continue;
            hosts.push_back(m.get());
            rooms.push_back(capacity_after_stops(capacity_index_.find(*m)));
        }
        if (hosts.empty()) continue;
        // The host number for gang tasks on other machines; no task fits there.
        rooms.push_back({-quota::no_limit, -quota::no_limit, -quota::no_limit});
        auto running = running_work(hosts, now);
        auto plan =
            quota::plan_guarantee_reclaim(ledger, rooms, running.candidates, {job.account, s.need, tasks});
        if (plan.task_hosts.empty() || (gang && plan.task_hosts.size() < tasks)) continue;
        // Neither the room nor the remaining quota may go to another job in this round.
        for (auto h : plan.task_hosts) {
            reserve(*hosts[h], s.need);
            ledger_.charge(job.account, s.need);
            reclaim_charges_.emplace_back(job.account, s.need);
        }
        for (auto u : plan.victims) {
            auto& [m, a] = running.tasks[u];
            Job* other = find_job(a.task.job);
            if (!other) continue;
            if (running.candidates[u].parts.size() > 1)
                stop_gang(*other, grace_for(*other), now,
                          "its borrowed capacity is reclaimed for a guarantee");
            else
                request_stop(*m, a, m->assignments.at(a), grace_for(*other), now,
                             "its borrowed capacity is reclaimed for a guarantee");
        }
        if (!plan.victims.empty())
            spdlog::info(
                "job {}: preempts {} borrowing tasks or gangs for its guarantee, room for "
                "{} of its tasks",
                s.id, plan.victims.size(), plan.task_hosts.size());
        return !plan.victims.empty();
    }
    return false;
}

void Cluster::enforce_lowered_limits(TimePoint now) {
    const auto& tree = ledger_.tree();
    if (!tree.has_limits() || now < starts_deferred_until_) return;
    std::optional<RunningWork> running;
    const bool checkpointing_only = now < std::max(quotas_changed_, acquired_) + secs(over_limit_grace_s_);
    // The deepest nodes come first, as what they give up also lowers the usage of their parents.
    for (auto n = static_cast<quota::NodeId>(tree.size()); n-- > 1;) {
        auto over = ledger_.over_limit(n);
        if (over.cpus <= 0 && over.gpus <= 0 && over.mem_gb <= 0) continue;
        if (!running) {
            std::vector<Machine*> hosts;
            for (auto& [name, m] : machines_) hosts.push_back(m.get());
            running = running_work(hosts, now);
        }
        wire::Resources stopping;
        for (auto& [name, m] : machines_)
            for (auto& [a, e] : m->assignments)
                if (e.stop_requested && !e.exited() && e.account != quota::no_node &&
                    tree.within(e.account, n))
                    stopping += e.need;
        std::vector<quota::PreemptionCandidate> candidates;
        std::vector<std::size_t> candidate_numbers;
        for (std::size_t u = 0; u < running->candidates.size(); ++u) {
            auto& [m, a] = running->tasks[u];
            if (m->assignments.at(a).stop_requested) continue;  // requested just now for a deeper node
            candidates.push_back(running->candidates[u]);
            candidate_numbers.push_back(u);
        }
        for (auto u : quota::plan_limit_reclaim(ledger_, n, stopping, candidates, checkpointing_only)) {
            auto& [m, a] = running->tasks[candidate_numbers[u]];
            Job* job = find_job(a.task.job);
            if (!job) continue;
            spdlog::info("task {}: preempted, quota node {} is above its limit", a.task.str(),
                         tree.node(n).path);
            if (candidates[u].parts.size() > 1)
                stop_gang(*job, grace_for(*job), now, "its quota node is above a lowered limit");
            else
                request_stop(*m, a, m->assignments.at(a), grace_for(*job), now,
                             "its quota node is above a lowered limit");
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
    wire::Resources wanted = s.need;
    if (gang) wanted = {s.need.cpus * s.tasks, s.need.gpus * s.tasks, s.need.mem_gb * s.tasks};
    if (auto n = ledger_.first_exceeded_limit(job.account, wanted)) {
        const auto& node = tree.node(*n);
        auto used = ledger_.used(*n);
        std::string out = "the limit of " + node.path + ":";
        for (std::size_t d = 0; d < std::size(quota::dimensions); ++d) {
            auto dim = quota::dimensions[d];
            if (wanted.*dim > 0 && used.*dim + wanted.*dim > node.limit.*dim + 1e-6)
                out += fmt::format(" {} in use {:g}, limit {:g}, wanted {:g};", quota::dimension_names[d],
                                   used.*dim, node.limit.*dim, wanted.*dim);
        }
        out.pop_back();
        return out;
    }
    if (gang && !job.placements.empty()) return "tasks of its last attempt may still be on their machines";
    std::size_t usable = 0, fitting = 0;
    const ZoneConstraint zone_constraint(*this, s, &job);
    const Machine* roomiest = nullptr;
    wire::Resources most_free;
    for (auto& [name, m] : machines_) {
        if (!schedulable(*m, now) || !eligible(s, *m) || !zone_constraint.allows(m->zone)) continue;
        ++usable;
        auto room = m->available();
        fitting += s.need.fits(room);
        if (!roomiest || room.cpus > most_free.cpus) roomiest = m.get(), most_free = room;
    }
    if (usable == 0) return "no machine that it may use is up";
    if (fitting == 0)
        return fmt::format(
            "no room: a task needs {}; of {} machines that it may use the roomiest has {} free",
            quota::format_resources(s.need), usable, quota::format_resources(most_free));
    std::uint64_t tasks_before = 0;
    for (int level = 0; level <= static_cast<int>(s.priority); ++level)
        for (auto& p : queue_.level(level)) {
            if (level == static_cast<int>(s.priority) && !(p < queue::QueuePosition{job.accepted_ms, s.id}))
                break;
            if (auto it = jobs_.find(p.id); it != jobs_.end()) tasks_before += it->second->waiting.size();
        }
    if (gang && fitting < s.tasks)
        return fmt::format("no room for all at once: {} machines have room for one of its {} tasks", fitting,
                           s.tasks);
    return tasks_before > 0 ? fmt::format("{} tasks of higher levels or older jobs come first", tasks_before)
                            : "nothing is in its way: it starts with the next round";
}

}  // namespace barrowrun::placement
