// Scheduling decisions: where waiting tasks are placed, and which running tasks are preempted for them.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "placement/cluster.hpp"
#include "placement/failure_attribution.hpp"
#include "placement/gangs.hpp"
#include "placement/machine_scores.hpp"
#include "placement/preemption.hpp"

namespace barrowrun::placement {
using wire::JobKind;
using wire::Priority;

namespace {
// Shares of an array's `wait` objective and of a `finished` objective that the scheduler plans with: tasks
// end unevenly and run-time estimates are inexact.
constexpr double array_wait_share = 0.7, finish_time_share = 0.8;
// Time within which a job without an objective should start: the larger of this time and this many run times.
constexpr double default_slack_s = 60, default_slack_runs = 3;
// Slack of a job without a `wait` objective.
constexpr double unlimited_slack_s = 1e9;
// A task whose start is due within less than this takes any machine: a preemption would come too late.
constexpr double min_preemption_slack_s = 0.2;
// In the unit of `preemption_cost`: the cost added to a machine for each second of fetching the job's image,
// and the reduction of a victim's cost for each level of its priority below the highest.
constexpr double preemption_fetch_cost = 10, preemption_priority_discount = 10;
}  // namespace

// Placing a task only makes its machine a better choice for the next task of the same job (a tighter fit, the
// image already being fetched), and changes no other machine. The ranking therefore holds for all tasks of
// the job, and filling the machines in order gives the same result as a search for each task.
std::vector<Machine*> Cluster::rank_machines(Job& job, TimePoint now) {
    std::vector<std::pair<double, Machine*>> scored;
    const auto& s = job.spec;
    auto score_if_usable = [&](const CapacityIndex::IndexedMachine& indexed) {
        Machine& m = *indexed.machine;
        wire::Resources available = m.unreserved();
        if (!s.need.fits(available) || !schedulable(m, now) || task_slots(m) == 0) return;
        scored.emplace_back(machine_scores::for_task(m, s, available, job.failed_machines.contains(m.name)),
                            &m);
    };
    capacity_index_.refresh();
    for (auto* machine_class : candidate_classes(job))
        CapacityIndex::for_each_with_free_cpus(*machine_class, s.need, score_if_usable);
    std::sort(scored.begin(), scored.end(), [](auto& x, auto& y) {
        return x.first != y.first ? x.first > y.first : x.second->name < y.second->name;
    });
    std::vector<Machine*> ranked;
    ranked.reserve(scored.size());
    for (auto& [score, m] : scored) ranked.push_back(m);
    return ranked;
}

void Cluster::place_task(Job& job, std::uint32_t index, Machine& m, std::uint64_t attempt, TimePoint now) {
    Attempt a{{job.spec.id, index}, attempt};
    Assignment e;
    e.placed_at = now;
    occupy(job, a, e, m);
    m.assignments.emplace(a, e);
    m.free -= e.need;
    m.idle_since = now;
    if (!m.has_image(job.spec.image)) m.note_fetch(job.spec.image, job.spec.image_gb);
    shards_.add_start(m.name, {job.spec.priority, job.accepted});
    spdlog::debug("task {}: attempt {} placed on machine {}, image {}, {:.2f} s after its job was accepted",
                  a.task.str(), attempt, m.name, m.has_image(job.spec.image) ? "cached" : "not cached",
                  Seconds(now - job.accepted).count());
}

bool Cluster::place_gang(Job& job, TimePoint now) {
    // All or none: no task of an earlier attempt may be left, and all tasks must fit at the same time.
    if (job.waiting.size() != job.spec.tasks || !job.placements.empty()) return false;
    if (!ledger_.admits(job.account, job.spec.need, job.spec.tasks)) return false;
    std::vector<gangs::Host> hosts;
    std::vector<Machine*> machines;
    std::set<std::string> zones;
    capacity_index_.refresh();
    for (auto& [key, machine_class] : capacity_index_.classes()) zones.insert(machine_class->zone);
    std::vector<const CapacityIndex::IndexedMachine*> candidates;
    for (auto* machine_class : candidate_classes(job))
        CapacityIndex::for_each_with_free_cpus(
            *machine_class, job.spec.need,
            [&](const CapacityIndex::IndexedMachine& indexed) { candidates.push_back(&indexed); });
    std::sort(candidates.begin(), candidates.end(), CapacityIndex::ByName{});
    for (auto* indexed : candidates) {
        Machine& m = *indexed->machine;
        if (!job.spec.need.fits(m.unreserved()) || !schedulable(m, now) ||
            !passes_failure_check(m, job, now) || m.slowness > machine_scores::max_slowness)
            continue;
        hosts.push_back({m.zone, m.unreserved(), m.capacity.cpus, task_slots(m),
                         machine_scores::for_gang_task(m, job.spec, job.failed_machines.contains(m.name))});
        machines.push_back(&m);
    }
    auto chosen_hosts = gangs::choose_hosts(job.spec, hosts, {zones.begin(), zones.end()});
    if (chosen_hosts.empty()) return false;
    const std::uint64_t attempt = next_attempt();
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i)
        place_task(job, i, *machines[chosen_hosts[i]], attempt, now);
    spdlog::info("job {}: gang placed as attempt {} on {} machines", job.spec.id, attempt,
                 std::set<std::size_t>(chosen_hosts.begin(), chosen_hosts.end()).size());
    return true;
}

wire::Resources Cluster::preemptible(const Machine& m, Priority level, bool checkpointing_only) const {
    wire::Resources total;
    for (auto& [a, e] : m.assignments)
        if (e.preemptible_by(level) && (e.checkpoints || !checkpointing_only)) total += e.need;
    return total;
}

double Cluster::objective_slack_s(const Job& job, TimePoint now) const {
    double elapsed_s = Seconds(now - job.accepted).count();
    double run_s = job.estimated_run_s();
    std::optional<double> slack_s;
    auto limit_slack = [&](double limit_s) { slack_s = std::min(slack_s.value_or(limit_s), limit_s); };
    for (auto* objective : job.objectives) {
        auto& o = *objective;
        if (o.kind == "wait")
            limit_slack((job.spec.kind == JobKind::array ? array_wait_share : 1.0) * o.within_s - elapsed_s);
        if (o.kind == "finished") limit_slack(finish_time_share * o.within_s - elapsed_s - run_s);
        if (o.kind == "deadline" && job.spec.deadline_s)
            limit_slack(*job.spec.deadline_s - elapsed_s - run_s);
    }
    return slack_s.value_or(std::max(default_slack_s, default_slack_runs * run_s));  // no objective applies
}

bool Cluster::may_preempt(const Job& job, TimePoint now) const {
    if (job.spec.priority <= Priority::high) return true;
    return job.spec.kind == JobKind::array && objective_slack_s(job, now) < longest_cpu_boot_s();
}

// Makes room for up to `tasks` tasks of the job by preempting tasks of lower priority. Capacity that earlier
// stops are about to free is reserved first. `with_image`: only on machines that have the job's image.
Cluster::PreemptionResult Cluster::preempt_for(Job& job, std::uint32_t tasks, TimePoint now,
                                               bool with_image) {
    PreemptionResult result;
    if (!may_preempt(job, now)) return result;
    const bool checkpointing_only = job.spec.priority > Priority::high;
    const bool guarantees = ledger_.tree().has_guarantees();
    const auto& need = job.spec.need;
    std::vector<preemption::Candidate> candidates;
    std::vector<Machine*> machines;
    std::vector<Attempt> victims;
    const auto level = static_cast<std::size_t>(job.spec.priority);
    const ZoneConstraint zones(*this, job.spec, &job);
    std::vector<const CapacityIndex::MachineClass*> classes;
    capacity_index_.refresh();
    for (auto* machine_class : candidate_classes(job))
        if (!machine_class->may_yield_capacity[level].empty() && zones.allows(machine_class->zone))
            classes.push_back(machine_class);
    auto is_usable = [&](const Machine& m) {
        return schedulable(m, now) && passes_failure_check(m, job, now) &&
               m.slowness <= machine_scores::max_slowness && (!with_image || m.has_image(job.spec.image));
    };
    // First reserves capacity that is free or about to be freed: on machines where a task is being stopped,
    // and on machines with enough free CPUs.
    std::vector<const CapacityIndex::IndexedMachine*> indexed_machines;
    for (auto* machine_class : classes) {
        indexed_machines.insert(indexed_machines.end(), machine_class->stopping.begin(),
                                machine_class->stopping.end());
        CapacityIndex::for_each_with_free_cpus(
            *machine_class, need, [&](const CapacityIndex::IndexedMachine& indexed) {
                if (indexed.capacity.may_yield_capacity[level] && !indexed.capacity.has_stopping)
                    indexed_machines.push_back(&indexed);
            });
    }
    std::sort(indexed_machines.begin(), indexed_machines.end(), CapacityIndex::ByName{});
    std::unordered_set<const CapacityIndex::IndexedMachine*> already_reserved;
    for (auto* indexed : indexed_machines) {
        Machine& m = *indexed->machine;
        if (result.tasks >= tasks) return result;
        wire::Resources available = capacity_after_stops(*indexed);
        if (!need.fits(available) || !is_usable(m)) continue;
        for (; result.tasks < tasks && need.fits(available); available -= need) {
            reserve(m, need);
            ++result.tasks;
        }
        already_reserved.insert(indexed);
    }
    if (result.tasks >= tasks) return result;
    indexed_machines.clear();
    for (auto* machine_class : classes)
        for (auto* indexed : machine_class->may_yield_capacity[level])
            if (need.fits(indexed->capacity.attainable_for_level(static_cast<int>(level))) &&
                !already_reserved.contains(indexed))
                indexed_machines.push_back(indexed);
    std::sort(indexed_machines.begin(), indexed_machines.end(), CapacityIndex::ByName{});
    for (auto* indexed : indexed_machines) {
        Machine& m = *indexed->machine;
        if (!is_usable(m)) continue;
        preemption::Candidate candidate{
            capacity_after_stops(*indexed),
            {},
            m.has_image(job.spec.image) ? 0 : preemption_fetch_cost * job.spec.image_gb / m.fetch_gb_per_s};
        for (auto& [a, e] : m.assignments) {
            if (!e.preemptible_by(job.spec.priority) || (checkpointing_only && !e.checkpoints)) continue;
            Job* other = find_job(a.task.job);
            if (!other || (other->spec.kind == JobKind::gang && other->spec.tasks > 1)) continue;
            // A task within the guarantee of another account is preempted only for a task that is within a
            // guarantee as well: otherwise the victim would be given its capacity back.
            if (guarantees && e.account != quota::no_node &&
                !ledger_.may_be_preempted(e.account, e.need, job.account) &&
                ledger_.tasks_within_guarantee(
                    job.account, need, 1, ledger_.tree().lowest_common_ancestor(e.account, job.account)) == 0)
                continue;
            candidate.victims.push_back({victims.size(), e.need,
                                         preemption_cost(*other, e, now) -
                                             preemption_priority_discount * static_cast<double>(e.priority)});
            victims.push_back(a);
        }
        if (candidate.victims.empty()) continue;
        candidates.push_back(std::move(candidate));
        machines.push_back(&m);
    }
    std::size_t stopped_tasks = 0, machine_count = 0;
    const Machine* first = nullptr;
    for (auto& selection : preemption::select_victims(std::move(candidates), need, tasks - result.tasks)) {
        Machine& m = *machines[selection.candidate];
        if (!first) first = &m;
        for (auto victim : selection.victims) {
            const Attempt& a = victims[victim];
            Job* other = find_job(a.task.job);
            // The victim may save a checkpoint first, unless a replica would miss its `wait` objective.
            bool skip_checkpoint = job.spec.kind == JobKind::service && other &&
                                   wait_objective_slack_s(job, now) < other->spec.save_s + 1;
            request_stop(m, a, m.assignments.at(a), other && !skip_checkpoint ? grace_for(*other) : 0, now,
                         "preempted");
            ++stopped_tasks;
        }
        result.stopped = true;
        ++machine_count;
        for (std::uint32_t k = 0; k < selection.tasks; ++k) reserve(m, need);
        result.tasks += selection.tasks;
    }
    if (stopped_tasks)
        spdlog::info("job {}: preempts {} lower-priority tasks on {} machines, first on machine {}",
                     job.spec.id, stopped_tasks, machine_count, first->name);
    return result;
}

double Cluster::wait_objective_slack_s(const Job& job, TimePoint now) const {
    double slack_s = unlimited_slack_s;
    for (auto* objective : job.objectives)
        if (objective->kind == "wait")
            slack_s = std::min(slack_s, objective->within_s - Seconds(now - job.accepted).count());
    return slack_s;
}

// Places up to `max_tasks` waiting tasks of the job, by index, on the machines that suit it best.
// `preempt_for_image`: tasks of lower priority may be preempted on a machine that has the image, if a fetch
// would take too long. `shape_may_fit`: false if the job's shape is known to fit on no machine in this round.
Cluster::ScheduleResult Cluster::schedule_job(Job& job, std::uint32_t max_tasks, TimePoint now,
                                              bool preempt_for_image, bool shape_may_fit) {
    ScheduleResult result;
    const auto& s = job.spec;
    std::vector<Machine*> ranked;
    if (shape_may_fit) ranked = rank_machines(job, now);
    std::size_t next_machine = 0;
    ZoneConstraint zones(*this, job.spec, &job);
    auto choose_machine = [&]() -> Machine* {
        for (; next_machine < ranked.size(); ++next_machine) {
            if (s.need.fits(ranked[next_machine]->unreserved()) &&
                passes_failure_check(*ranked[next_machine], job, now) &&
                task_slots(*ranked[next_machine]) > 0 && zones.allows(ranked[next_machine]->zone))
                return ranked[next_machine];
        }
        return nullptr;
    };
    std::uint32_t cursor = 0;
    while (auto next = job.waiting.next(cursor)) {
        if (result.placed >= max_tasks || !ledger_.admits(job.account, s.need, 1)) break;
        std::uint32_t index = *next;
        Machine* m = choose_machine();
        // A worker rejects a second attempt of a task whose earlier attempt it still lists.
        if (m && m->holds_task({s.id, index})) {
            mark_command_pending(m->name);
            break;
        }
        if (m && preempt_for_image && s.priority <= Priority::high && !m->has_image(s.image)) {
            // The fetch alone would take longer than the start may: preempt where the image is cached.
            double slack_s = wait_objective_slack_s(job, now);
            if (slack_s > min_preemption_slack_s && machine_scores::image_fetch_s(*m, s) > slack_s) {
                auto preempted = preempt_for(job, 1, now, true);
                if (preempted.tasks > 0) {
                    result.stopped |= preempted.stopped;
                    cursor = index + 1;
                    continue;
                }
            }
        }
        if (!m) {
            result.no_room = true;
            break;
        }
        place_task(job, index, *m, next_attempt(), now);
        zones.add(m->zone);
        ++result.placed;
        cursor = index + 1;
    }
    return result;
}

bool Cluster::schedule_round(TimePoint now) {
    if (queue_.waiting() == 0 || now < starts_deferred_until_) return false;
    std::size_t placed = 0;
    bool acted = ledger_.tree().has_guarantees() && schedule_guaranteed(now, placed);
    acted |= schedule_by_priority(now, placed);
    for (auto& [account, need] : reclaim_charges_) ledger_.release(account, need);
    reclaim_charges_.clear();
    for (Machine* m : reserved_) m->reserved = {};
    reserved_.clear();
    return acted;
}

// Reserves capacity on the machine until the scheduling round ends.
void Cluster::reserve(Machine& m, const wire::Resources& need) {
    m.reserved += need;
    reserved_.push_back(&m);
}

const std::vector<Job*>& Cluster::waiting_jobs_in_order(int level) {
    WaitingOrder& order = waiting_order_[static_cast<std::size_t>(level)];
    if (order.changes != queue_.changes(level)) {
        order.changes = queue_.changes(level);
        order.jobs.clear();
        for (auto& position : queue_.level(level))
            if (Job* job = find_job(position.id)) order.jobs.push_back(job);
    }
    return order.jobs;
}

// Schedules by strict priority level, and in order of acceptance within a level.
bool Cluster::schedule_by_priority(TimePoint now, std::size_t placed) {
    bool acted = false;
    // A shape that fitted on no machine is not tried again in this round, because free capacity only shrinks
    // during a round. A long queue of equal tasks thus costs one search of the machines, not one for each.
    const std::size_t shapes = shapes_.size() + free_shapes_.size();
    std::vector<bool> unplaceable(shapes);
    for (int level = 0; level < wire::priority_levels; ++level) {
        std::vector<bool> preemption_insufficient(shapes);  // preemption cannot make room either
        for (Job* job : waiting_jobs_in_order(level)) {
            if (placed >= max_starts_per_round) return true;
            if (job->cancelled || now < job->retry_at) continue;
            const auto& s = job->spec;
            const auto shape = job->shape_number;
            const bool any_zone = !s.spread && !s.one_zone;  // placement does not depend on its other tasks
            if (unplaceable[shape] && (preemption_insufficient[shape] || !may_preempt(*job, now))) continue;
            if (s.kind == JobKind::gang) {
                if (place_gang(*job, now)) {
                    placed += s.tasks;
                    acted = true;
                } else if (job->placements.empty()) {
                    if (s.tasks == 1) acted |= preempt_for(*job, 1, now, false).stopped;
                    if (any_zone && s.tasks == 1) unplaceable[shape] = true;
                }
                continue;
            }
            auto result = schedule_job(*job, static_cast<std::uint32_t>(max_starts_per_round - placed), now,
                                       true, !unplaceable[shape]);
            placed += result.placed;
            acted |= result.placed > 0 || result.stopped;
            if (!result.no_room) continue;
            if (any_zone) unplaceable[shape] = true;
            auto waiting_tasks = job->waiting.size();
            auto preempted = preempt_for(*job, waiting_tasks, now, false);
            acted |= preempted.stopped;
            if (any_zone && preempted.tasks < waiting_tasks && may_preempt(*job, now))
                preemption_insufficient[shape] = true;
        }
    }
    return acted;
}

bool Cluster::has_proven_run(const Job& job, TimePoint now) const {
    if (!job.done.empty()) return true;
    for (auto& [index, list] : job.placements)
        for (auto& [name, number] : list) {
            auto m = machines_.find(name);
            if (m == machines_.end()) continue;
            auto e = m->second->assignments.find({{job.spec.id, index}, number});
            if (e != m->second->assignments.end() && !e->second.exited() &&
                e->second.started_at != TimePoint{} &&
                now - e->second.started_at > failure_attribution::proven_run_time)
                return true;
        }
    return false;
}

bool Cluster::passes_failure_check(const Machine& m, const Job& job, TimePoint now) const {
    return failure_attribution::may_take_work(m, job.spec.kind == JobKind::service,
                                              job.failed_machines.contains(m.name), now);
}

}  // namespace barrowrun::placement
