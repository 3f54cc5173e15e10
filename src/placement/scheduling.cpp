// Decisions: which waiting task gets which room.
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
// Work is lumpy and estimates are off: only this share of an objective's time is counted on.
constexpr double array_wait_share = 0.7, finish_time_share = 0.8;
// Within which a job without an objective should have started: at least this, or so many run times.
constexpr double default_slack_s = 60, default_slack_runs = 3;
// Where no objective says when a task should start. Seconds.
constexpr double no_wait_objective_s = 1e9;
// With less time than this before its start is due a task takes any machine: preemption would come too late.
constexpr double least_preemption_slack_s = 0.2;
// What a missing image adds to the cost of preempting on a machine, for each second of its fetch, and what
// each level of priority above the lowest saves of a victim's cost, both as `preemption_cost` counts.
constexpr double preemption_fetch_cost = 10, preemption_priority_discount = 10;
}  // namespace

// A machine that takes a task only becomes the better choice for the next one of the same job (a tighter fit,
// its image under way), and no other machine changes. So the order holds for all of its tasks, and filling
// the machines in turn gives what a search for each task would give.
std::vector<Machine*> Cluster::rank_machines(Job& job, TimePoint now) {
    std::vector<std::pair<double, Machine*>> scored;
    const auto& s = job.spec;
    auto look = [&](const CapacityIndex::IndexedMachine& indexed) {
        Machine& m = *indexed.machine;
        wire::Resources room = m.unreserved();
        if (!s.need.fits(room) || !schedulable(m, now) || m.assignments.size() >= max_tasks_per_machine())
            return;
        scored.emplace_back(machine_scores::for_task(m, s, room, job.failed_on.contains(m.name)), &m);
    };
    capacity_index_.refresh();
    for (auto* those : candidate_classes(job)) CapacityIndex::for_each_with_free_cpus(*those, s.need, look);
    std::sort(scored.begin(), scored.end(), [](auto& x, auto& y) {
        return x.first != y.first ? x.first > y.first : x.second->name < y.second->name;
    });
    std::vector<Machine*> out;
    out.reserve(scored.size());
    for (auto& [score, m] : scored) out.push_back(m);
    return out;
}

void Cluster::place(Job& job, std::uint32_t index, Machine& m, std::uint64_t attempt, TimePoint now) {
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
                  a.task.str(), attempt, m.name, m.has_image(job.spec.image) ? "there" : "to fetch",
                  Seconds(now - job.accepted).count());
}

bool Cluster::place_gang(Job& job, TimePoint now) {
    // All or none: every task of the earlier attempt must be gone, and room must show for all at once.
    if (job.waiting.size() != job.spec.tasks || !job.placements.empty()) return false;
    if (!ledger_.admits(job.account, job.spec.need, job.spec.tasks)) return false;
    std::vector<gangs::Host> hosts;
    std::vector<Machine*> machines;
    std::set<std::string> zones;
    capacity_index_.refresh();
    for (auto& [key, those] : capacity_index_.classes()) zones.insert(those->zone);
    std::vector<const CapacityIndex::IndexedMachine*> near;
    for (auto* those : candidate_classes(job))
        CapacityIndex::for_each_with_free_cpus(
            *those, job.spec.need, [&](const CapacityIndex::IndexedMachine& f) { near.push_back(&f); });
    std::sort(near.begin(), near.end(), CapacityIndex::ByName{});
    for (auto* indexed : near) {
        Machine& m = *indexed->machine;
        if (!job.spec.need.fits(m.unreserved()) || !schedulable(m, now) || !cleared_for(m, job, now) ||
            m.slowness > machine_scores::max_slowness)
            continue;
        hosts.push_back({m.zone, m.unreserved(), m.capacity.cpus,
                         machine_scores::for_gang_task(m, job.spec, job.failed_on.contains(m.name))});
        machines.push_back(&m);
    }
    auto where = gangs::choose(job.spec, hosts, {zones.begin(), zones.end()});
    if (where.empty()) return false;
    const std::uint64_t attempt = next_attempt();
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) place(job, i, *machines[where[i]], attempt, now);
    spdlog::info("job {}: gang starts as attempt {} on {} machines", job.spec.id, attempt,
                 std::set<std::size_t>(where.begin(), where.end()).size());
    return true;
}

wire::Resources Cluster::preemptible(const Machine& m, Priority level, bool kept) const {
    wire::Resources r;
    for (auto& [a, e] : m.assignments)
        if (e.preemptible_by(level) && (e.checkpoints || !kept)) r += e.need;
    return r;
}

double Cluster::objective_slack_s(const Job& job, TimePoint now) const {
    double elapsed = Seconds(now - job.accepted).count();
    double run = job.estimated_run_s();
    std::optional<double> left;
    auto at_most = [&](double x) { left = std::min(left.value_or(x), x); };
    for (auto* objective : job.objectives) {
        auto& o = *objective;
        if (o.kind == "wait")
            at_most((job.spec.kind == JobKind::array ? array_wait_share : 1.0) * o.within_s - elapsed);
        if (o.kind == "finished") at_most(finish_time_share * o.within_s - elapsed - run);
        if (o.kind == "deadline" && job.spec.deadline_s) at_most(*job.spec.deadline_s - elapsed - run);
    }
    return left.value_or(std::max(default_slack_s, default_slack_runs * run));  // nobody said when
}

bool Cluster::may_preempt(const Job& job, TimePoint now) const {
    if (job.spec.priority <= Priority::high) return true;
    return job.spec.kind == JobKind::array && objective_slack_s(job, now) < usual_boot_s();
}

// Lower work makes room. Room that is already being made is waited for.
Cluster::PreemptionResult Cluster::preempt_for(Job& job, std::uint32_t tasks, TimePoint now,
                                               bool with_image) {
    PreemptionResult out;
    if (!may_preempt(job, now)) return out;
    const bool kept_only = job.spec.priority > Priority::high;
    const bool guarantees = ledger_.tree().has_guarantees();
    const auto& need = job.spec.need;
    std::vector<preemption::Candidate> options;
    std::vector<Machine*> machines;
    std::vector<Attempt> victims;
    const auto level = static_cast<std::size_t>(job.spec.priority);
    const ZoneConstraint zones(*this, job.spec, &job);
    std::vector<const CapacityIndex::MachineClass*> sorts;
    capacity_index_.refresh();
    for (auto* those : candidate_classes(job))
        if (!those->may_free[level].empty() && zones.allows(those->zone)) sorts.push_back(those);
    auto suits = [&](const Machine& m) {
        return schedulable(m, now) && cleared_for(m, job, now) &&
               m.slowness <= machine_scores::max_slowness && (!with_image || m.has_image(job.spec.image));
    };
    // Room that is being made, on machines where there is some: where something stops, or enough is free.
    std::vector<const CapacityIndex::IndexedMachine*> near;
    for (auto* those : sorts) {
        near.insert(near.end(), those->stopping.begin(), those->stopping.end());
        CapacityIndex::for_each_with_free_cpus(*those, need, [&](const CapacityIndex::IndexedMachine& f) {
            if (f.capacity.may_free[level] && !f.capacity.has_stopping) near.push_back(&f);
        });
    }
    std::sort(near.begin(), near.end(), CapacityIndex::ByName{});
    std::unordered_set<const CapacityIndex::IndexedMachine*> kept;
    for (auto* indexed : near) {
        Machine& m = *indexed->machine;
        if (out.tasks >= tasks) return out;
        wire::Resources room = capacity_after_stops(*indexed);
        if (!need.fits(room) || !suits(m)) continue;
        for (; out.tasks < tasks && need.fits(room); room -= need) {
            reserve(m, need);
            ++out.tasks;
        }
        kept.insert(indexed);
    }
    if (out.tasks >= tasks) return out;
    near.clear();
    for (auto* those : sorts)
        for (auto* indexed : those->may_free[level])
            if (need.fits(indexed->capacity.up_to_level(static_cast<int>(level))) && !kept.contains(indexed))
                near.push_back(indexed);
    std::sort(near.begin(), near.end(), CapacityIndex::ByName{});
    for (auto* indexed : near) {
        Machine& m = *indexed->machine;
        if (!suits(m)) continue;
        preemption::Candidate option{
            capacity_after_stops(*indexed),
            {},
            m.has_image(job.spec.image) ? 0 : preemption_fetch_cost * job.spec.image_gb / m.fetch_gb_per_s};
        for (auto& [a, e] : m.assignments) {
            if (!e.preemptible_by(job.spec.priority) || (kept_only && !e.checkpoints)) continue;
            Job* other = find_job(a.task.job);
            if (!other || (other->spec.kind == JobKind::gang && other->spec.tasks > 1)) continue;
            // What another's guarantee covers goes on, unless this is within one as well: it would only be
            // given its room back.
            if (guarantees && e.account != quota::no_node &&
                !ledger_.may_be_preempted(e.account, e.need, job.account) &&
                ledger_.tasks_within_guarantee(
                    job.account, need, 1, ledger_.tree().lowest_common_ancestor(e.account, job.account)) == 0)
                continue;
            option.victims.push_back({victims.size(), e.need,
                                      preemption_cost(*other, e, now) -
                                          preemption_priority_discount * static_cast<double>(e.priority)});
            victims.push_back(a);
        }
        if (option.victims.empty()) continue;
        options.push_back(std::move(option));
        machines.push_back(&m);
    }
    std::size_t stopped = 0, on = 0;
    const Machine* first = nullptr;
    for (auto& step : preemption::plan(std::move(options), need, tasks - out.tasks)) {
        Machine& m = *machines[step.option];
        if (!first) first = &m;
        for (auto v : step.stop) {
            const Attempt& a = victims[v];
            Job* other = find_job(a.task.job);
            // Saving comes first unless users would wait for it: a replica is late, or would be.
            bool hurry = job.spec.kind == JobKind::service && other &&
                         wait_objective_slack_s(job, now) < other->spec.save_s + 1;
            request_stop(m, a, m.assignments.at(a), other && !hurry ? grace_for(*other) : 0, now,
                         "preempted");
            ++stopped;
        }
        out.stopped = true;
        ++on;
        for (std::uint32_t k = 0; k < step.tasks; ++k) reserve(m, need);
        out.tasks += step.tasks;
    }
    if (stopped)
        spdlog::info("job {}: preempts {} lower tasks on {} machines, {} first", job.spec.id, stopped, on,
                     first->name);
    return out;
}

double Cluster::wait_objective_slack_s(const Job& job, TimePoint now) const {
    double slack = no_wait_objective_s;
    for (auto* o : job.objectives)
        if (o->kind == "wait") slack = std::min(slack, o->within_s - Seconds(now - job.accepted).count());
    return slack;
}

// Waiting tasks of a job, in order, onto the machines that suit it best. `make_way`: lower work may be
// stopped where the image is, if a fetch would take too long. `may_fit`: false if its shape is known to fit
// nowhere.
Cluster::Scheduled Cluster::schedule_job(Job& job, std::uint32_t most, TimePoint now, bool make_way,
                                         bool may_fit) {
    Scheduled out;
    const auto& s = job.spec;
    std::vector<Machine*> ranked;
    if (may_fit) ranked = rank_machines(job, now);
    std::size_t at = 0;
    ZoneConstraint zones(*this, job.spec, &job);
    auto choose = [&]() -> Machine* {
        for (; at < ranked.size(); ++at) {
            if (s.need.fits(ranked[at]->unreserved()) && cleared_for(*ranked[at], job, now) &&
                ranked[at]->assignments.size() < max_tasks_per_machine() && zones.allows(ranked[at]->zone))
                return ranked[at];
        }
        return nullptr;
    };
    std::uint32_t cursor = 0;
    while (auto next = job.waiting.next(cursor)) {
        if (out.placed >= most || !ledger_.admits(job.account, s.need, 1)) break;
        std::uint32_t index = *next;
        Machine* m = choose();
        // The worker refuses a second attempt of a task that it still lists.
        if (m && m->holds_task({s.id, index})) {
            note_command(m->name);
            break;
        }
        if (m && make_way && s.priority <= Priority::high && !m->has_image(s.image)) {
            // The fetch alone would take longer than the start may: lower work yields where the image is.
            double slack = wait_objective_slack_s(job, now);
            if (slack > least_preemption_slack_s && machine_scores::image_fetch_s(*m, s) > slack) {
                auto made = preempt_for(job, 1, now, true);
                if (made.tasks > 0) {
                    out.stopped |= made.stopped;
                    cursor = index + 1;
                    continue;
                }
            }
        }
        if (!m) {
            out.no_room = true;
            break;
        }
        place(job, index, *m, next_attempt(), now);
        zones.add(m->zone);
        ++out.placed;
        cursor = index + 1;
    }
    return out;
}

bool Cluster::schedule_round(TimePoint now) {
    if (queue_.waiting() == 0 || now < starts_deferred_until_) return false;
    std::size_t placed = 0;
    bool acted = ledger_.tree().has_guarantees() && schedule_guaranteed(now, placed);
    acted |= schedule_by_priority(now, placed);
    for (auto& [account, need] : promised_) ledger_.release(account, need);
    promised_.clear();
    for (Machine* m : reserved_) m->reserved = {};
    reserved_.clear();
    return acted;
}

// Room that is kept from others until the round ends.
void Cluster::reserve(Machine& m, const wire::Resources& need) {
    m.reserved += need;
    reserved_.push_back(&m);
}

const std::vector<Job*>& Cluster::in_order(int level) {
    Order& order = order_[static_cast<std::size_t>(level)];
    if (order.changes != queue_.changes(level)) {
        order.changes = queue_.changes(level);
        order.jobs.clear();
        for (auto& p : queue_.level(level))
            if (Job* job = find_job(p.id)) order.jobs.push_back(job);
    }
    return order.jobs;
}

// The ordinary path: strict levels, first come first served.
bool Cluster::schedule_by_priority(TimePoint now, std::size_t placed) {
    bool acted = false;
    // Shapes that fitted nowhere in this round need not be tried again: room only shrinks during a round. So
    // a long queue of like tasks costs one look, not a walk over all machines for each.
    const std::size_t shapes = shapes_.size() + free_shapes_.size();
    std::vector<bool> misfits(shapes);
    for (int level = 0; level < wire::priority_levels; ++level) {
        std::vector<bool> stuck(shapes);  // no room can be made either
        for (Job* job : in_order(level)) {
            if (placed >= max_starts_per_round) return true;
            if (job->cancelled || now < job->retry_at) continue;
            const auto& s = job->spec;
            const auto shape = job->shape_number;
            const bool anywhere = !s.spread && !s.one_zone;  // what fits does not depend on its other tasks
            if (misfits[shape] && (stuck[shape] || !may_preempt(*job, now))) continue;
            if (s.kind == JobKind::gang) {
                if (place_gang(*job, now)) {
                    placed += s.tasks;
                    acted = true;
                } else if (job->placements.empty()) {
                    if (s.tasks == 1) acted |= preempt_for(*job, 1, now, false).stopped;
                    if (anywhere && s.tasks == 1) misfits[shape] = true;
                }
                continue;
            }
            auto served = schedule_job(*job, static_cast<std::uint32_t>(max_starts_per_round - placed), now,
                                       true, !misfits[shape]);
            placed += served.placed;
            acted |= served.placed > 0 || served.stopped;
            if (!served.no_room) continue;
            if (anywhere) misfits[shape] = true;
            auto wanted = job->waiting.size();
            auto made = preempt_for(*job, wanted, now, false);
            acted |= made.stopped;
            if (anywhere && made.tasks < wanted && may_preempt(*job, now)) stuck[shape] = true;
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

bool Cluster::cleared_for(const Machine& m, const Job& job, TimePoint now) const {
    return failure_attribution::may_take_work(m, job.spec.kind == JobKind::service,
                                              job.failed_on.contains(m.name), now);
}

}  // namespace barrowrun::placement
