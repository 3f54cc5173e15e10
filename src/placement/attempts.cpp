// Life cycle of machines and of the attempts on them: heartbeats, stops and ends.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "placement/cluster.hpp"
#include "placement/failure_attribution.hpp"

namespace barrowrun::placement {
using fleet::AssignmentChange;
using fleet::GoneEvidence;
namespace {
// Bounds the memory for names of removed machines; several times the size of a fleet.
constexpr std::size_t max_removed_names = 50'000;
// The first failure may be transient, so its retry comes soon; from the second on, the delay doubles.
constexpr double first_retry_s = 0.5, max_retry_s = 30;
constexpr int max_retry_doublings = 8;
// Delay after a worker refused a start; the attempts that it still holds may have ended by then.
constexpr double refused_retry_s = 1;

// Back-off by consecutive failures of the job, so that a job that always fails does not occupy machines.
double retry_delay_s(int consecutive_errors) {
    if (consecutive_errors == 1) return first_retry_s;
    return std::min(max_retry_s,
                    first_retry_s * std::pow(2.0, std::min(consecutive_errors, max_retry_doublings)));
}

bool is_refusal(wire::Cause cause) {
    return cause == wire::Cause::no_room || cause == wire::Cause::busy || cause == wire::Cause::unknown;
}

// Logs on which evidence the attempts are taken for gone.
void log_lost_attempts(const Machine& machine, const std::vector<AssignmentChange>& changes) {
    for (auto& change : changes)
        if (change.evidence)
            spdlog::debug("task {}: attempt {} ({}) is gone from machine {}: {}", change.attempt.task.str(),
                          change.attempt.number, fleet::phase_name(change.assignment.phase), machine.name,
                          fleet::describe(*change.evidence));
}

// The same for a heartbeat that proves it, with a line at the default log level that names the heartbeat.
void log_lost_attempts(const Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                       const std::vector<AssignmentChange>& changes) {
    const auto is_lost = [](auto& change) { return change.evidence.has_value(); };
    const auto first = std::find_if(changes.begin(), changes.end(), is_lost);
    if (first == changes.end()) return;
    spdlog::info(
        "machine {}: {} tasks are gone by its heartbeat (agent epoch {}, sequence number {}, fencing token "
        "{}), the first is {} ({}): {}",
        machine.name, std::count_if(first, changes.end(), is_lost), heartbeat.agent_epoch, heartbeat.seq,
        heartbeat.fencing_token, first->attempt.task.str(), fleet::phase_name(first->assignment.phase),
        fleet::describe(*first->evidence));
    log_lost_attempts(machine, changes);
}
}  // namespace
using wire::Cause;
using wire::JobKind;
using wire::Priority;
using wire::TaskState;

Machine* Cluster::find_machine(const std::string& name) {
    auto it = machines_.find(name);
    return it == machines_.end() ? nullptr : it->second.get();
}

Machine& Cluster::add_machine(const std::string& name, const std::string& type, const std::string& zone,
                              bool spot, TimePoint now) {
    auto [it, inserted] = machines_.try_emplace(name);
    if (!inserted) return *it->second;
    it->second = std::make_unique<Machine>();
    Machine& m = *it->second;
    m.name = name;
    m.type = type;
    m.zone = zone;
    m.spot = spot;
    m.known_since = m.provisioned_at = m.idle_since = now;
    if (auto t = types_.find(type); t != types_.end()) {
        m.capacity = {t->second.cpus, t->second.gpus, t->second.mem_gb};
        m.cache_gb = t->second.cache_gb;
        m.fetch_gb_per_s = t->second.fetch_gb_per_s;
    }
    capacity_index_.mark_changed(m);
    return m;
}

void Cluster::recover_machine(std::uint32_t shard, const state::MachineRecord& record, TimePoint now,
                              std::int64_t wall_ms) {
    const auto& name = record.name;
    shards_.recover(shard, name);
    Machine& m = add_machine(name, record.type, record.zone, record.spot, now);
    if (!record.address.empty()) m.address = record.address;
    if (record.provisioned_ms)
        m.provisioned_at = now - std::chrono::milliseconds(std::clamp<std::int64_t>(
                                     wall_ms - record.provisioned_ms, 0, 86'400'000));
    for (auto& a : record.attempts) {
        Assignment e;
        e.phase = AssignmentPhase::recovered;
        e.agent_epoch = record.agent_epoch;
        e.direct_launch_token = tokens_.first() - 1;
        e.placed_at = now;
        Job* job = find_job(a.task.job);
        if (job) {
            occupy(*job, a, e, m);
            if (job->cancelled) e.stop_requested = true;
        } else {
            e.stop_requested = true;
            unknown_jobs_.insert(a.task.job);
        }
        m.recover(a, e);
    }
}

void Cluster::remove_machine(const std::string& name, const char* proof, TimePoint now) {
    if (removed_machines_.insert(name).second) removal_order_.push_back(name);
    if (removal_order_.size() > max_removed_names) {
        removed_machines_.erase(removal_order_.front());
        removal_order_.pop_front();
    }
    auto it = machines_.find(name);
    if (it == machines_.end()) return;
    Machine& m = *it->second;
    std::vector<AssignmentChange> changes;
    std::size_t n = m.live();
    m.clear(GoneEvidence::machine_removed, changes);
    if (n)
        spdlog::info("machine {}: removed ({}), {} tasks are rescheduled", name, proof, n);
    else
        spdlog::info("machine {}: removed ({})", name, proof);
    log_lost_attempts(m, changes);
    apply_changes(m, changes, now);
    // Not written at once: a record may name a removed machine, but it must not omit an existing one.
    shards_.remove_machine(name);
    capacity_index_.remove(m);
    machines_.erase(it);
}

void Cluster::expire_lease(Machine& m, TimePoint now) {
    // The worker has killed and forgotten all its tasks; launches in flight name its previous agent epoch.
    std::vector<AssignmentChange> changes;
    std::size_t n = m.live();
    m.clear(GoneEvidence::agent_epoch_expired, changes);
    if (n) spdlog::info("machine {}: lease expired, {} tasks are rescheduled", m.name, n);
    log_lost_attempts(m, changes);
    apply_changes(m, changes, now);
}

bool Cluster::on_heartbeat(const wire::WorkerHeartbeat& heartbeat, bool from_heartbeat_route, TimePoint now) {
    // After a network partition, delayed heartbeats of 338 machines that had been returned meanwhile were
    // taken for new machines, and the attempts that really ran were stopped as duplicates
    // (docs/incidents/leader-without-workers.md).
    if (removed_machines_.contains(heartbeat.machine)) return false;
    Machine* known = find_machine(heartbeat.machine);
    if (!known) {
        known = &add_machine(heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot, now);
        spdlog::info("machine {}: first heartbeat ({}, {}{})", heartbeat.machine, heartbeat.type,
                     heartbeat.zone, heartbeat.spot ? ", spot" : "");
        mark_machine_changed(heartbeat.machine);
    }
    Machine& m = *known;
    bool first_heartbeat = !m.up;
    const auto old_agent_epoch = m.agent_epoch;
    std::string old_address = m.address;
    std::vector<AssignmentChange> changes;
    if (!m.apply_heartbeat(heartbeat, from_heartbeat_route, tokens_.first(), now, changes)) return false;
    if (first_heartbeat) {
        if (m.type.empty()) {
            m.type = heartbeat.type, m.zone = heartbeat.zone, m.spot = heartbeat.spot;
            if (auto t = types_.find(m.type); t != types_.end()) {
                m.capacity = {t->second.cpus, t->second.gpus, t->second.mem_gb};
                m.cache_gb = t->second.cache_gb;
            }
            capacity_index_.mark_changed(m);
        }
        m.idle_since = now;
        // The address must be recorded: a successor queries every recorded worker.
        if (m.address != old_address) mark_machine_changed(m.name);
    }
    // The records name the latest agent epoch in which a start may be launched, so that a successor knows
    // with which epoch it has ended. These starts have waited for a record before, so they come first.
    if (m.agent_epoch > old_agent_epoch && m.return_starts_to_recording())
        shards_.add_start(m.name, {Priority::production, TimePoint{}});
    log_lost_attempts(m, heartbeat, changes);
    apply_changes(m, changes, now);
    reconcile_reported(m, now);
    if (m.has_live()) m.idle_since = now;
    return true;
}

void Cluster::apply_changes(Machine& m, const std::vector<AssignmentChange>& changes, TimePoint now) {
    if (!changes.empty()) capacity_index_.mark_changed(m);
    for (auto& c : changes) {
        Job* job = find_job(c.attempt.task.job);
        auto index = c.attempt.task.index;
        if (job && index >= job->spec.tasks) job = nullptr;
        if (c.kind == AssignmentChange::lost) {
            Assignment lost = c.assignment;
            release_charge(lost);
        } else if (c.kind == AssignmentChange::ended) {
            if (auto it = m.assignments.find(c.attempt); it != m.assignments.end())
                release_charge(it->second);
        }
        switch (c.kind) {
            case AssignmentChange::confirmed: {
                auto it = m.assignments.find(c.attempt);
                if (it == m.assignments.end()) break;
                if (!job) {
                    if (!finished_jobs_.contains(c.attempt.task.job))
                        unknown_jobs_.insert(c.attempt.task.job);
                    break;
                }
                occupy(*job, c.attempt, it->second, m);
                break;
            }
            case AssignmentChange::started:
                if (job) m.use_image(job->spec.image, job->spec.image_gb);
                break;
            case AssignmentChange::ended:
                on_attempt_ended(m, c.attempt, c.assignment, now);
                break;
            case AssignmentChange::reappeared:
                on_attempt_reappeared(m, c.attempt, now);
                break;
            case AssignmentChange::lost:
                if (!job) break;
                unplace(*job, index, m.name, c.attempt.number);
                if (job->spec.kind == JobKind::gang && !job->finished())
                    stop_gang(*job, 0, now, "a task of its gang was lost");
                break;
        }
    }
}

// An attempt that this leader launched and had taken for gone is there again: a late copy of its launch was
// executed. Its task may have another attempt by now, and the work of both may have been damaged: all end.
void Cluster::on_attempt_reappeared(Machine& m, const Attempt& a, TimePoint now) {
    reaped_.log_reappearance(a, m, now);
    // A copy that the worker refused has started nothing.
    auto& reappeared = m.assignments.at(a);
    if (is_refusal(reappeared.cause)) return;
    Job* job = find_job(a.task.job);
    if (job && a.task.index >= job->spec.tasks) job = nullptr;
    if (job && !reappeared.exited()) occupy(*job, a, reappeared, m);
    auto stop = [&](const std::string& name, const Attempt& attempt) {
        Machine* host = find_machine(name);
        if (!host) return;
        auto it = host->assignments.find(attempt);
        if (it != host->assignments.end())
            request_stop(*host, attempt, it->second, 0, now, "a late copy of a launch was executed");
    };
    stop(m.name, a);
    if (!job) return;
    if (job->spec.kind == JobKind::gang && !job->finished())
        stop_gang(*job, 0, now, "a late copy of a launch of its gang was executed");
    if (auto it = job->placements.find(a.task.index); it != job->placements.end())
        for (auto& [name, number] : it->second) stop(name, {a.task, number});
}

void Cluster::on_attempt_ended(Machine& m, const Attempt& a, const Assignment& e, TimePoint now) {
    mark_command_pending(m.name);
    Job* job = find_job(a.task.job);
    if (!job || a.task.index >= job->spec.tasks) return;
    bool run_measured = e.started_at != TimePoint{} && e.started_at > e.placed_at;
    double run_s = run_measured ? Seconds(now - e.started_at).count() : 0;
    switch (e.cause) {
        case Cause::done:
            failure_attribution::record_success(m);
            job->consecutive_errors = 0;
            if (run_measured && job->spec.kind == JobKind::array) {
                job->total_run_s += run_s;
                job->measured_runs++;
            }
            if (job->spec.kind == JobKind::gang) {
                for (std::uint32_t i = 0; i < job->spec.tasks; ++i) finish_task(*job, i);
            } else {
                finish_task(*job, a.task.index);
            }
            break;
        case Cause::error: {
            job->failed_machines.insert(m.name);
            count_error(*job, m, a, now);
            const bool fault_of_machine = has_proven_run(*job, now);
            failure_attribution::record_failure(m, fault_of_machine, now);
            if (!fault_of_machine) {
                job->consecutive_errors++;
                // A job that fails wherever it runs is itself at fault: replicas must not be kept off all the
                // machines that it has tried.
                if (job->failed_machines.size() >= failure_attribution::min_machines_for_job_fault)
                    for (auto& name : job->failed_machines)
                        if (Machine* tried = find_machine(name))
                            failure_attribution::clear_unattributed_failures(*tried);
                job->retry_at = now + secs(retry_delay_s(job->consecutive_errors));
            }
            spdlog::info("task {}: failed on machine {} ({} consecutive failures there, {} of the job)",
                         a.task.str(), m.name, m.errors, job->consecutive_errors);
            break;
        }
        case Cause::no_room:
        case Cause::busy:
        case Cause::unknown:
            spdlog::info("task {}: start refused by machine {}: {}", a.task.str(), m.name,
                         wire::exit_cause_name(e.cause));
            job->retry_at = now + secs(refused_retry_s);
            break;
        default:
            spdlog::debug("task {}: ended on machine {}: {}{}", a.task.str(), m.name,
                          wire::exit_cause_name(e.cause), e.checkpointed ? ", checkpointed" : "");
            break;
    }
    unplace(*job, a.task.index, m.name, a.number);
    if (job->spec.kind == JobKind::gang && e.cause != Cause::done && !job->finished() && !e.stop_requested)
        stop_gang(*job, 0, now, "a task of its gang ended");
}

// Stops reported tasks whose results are not needed.
void Cluster::reconcile_reported(Machine& m, TimePoint now) {
    for (auto& [a, e] : m.assignments) {
        if (e.phase != AssignmentPhase::confirmed) continue;
        if (e.exited()) {
            mark_command_pending(m.name);
            continue;
        }
        if (e.stop_requested) continue;
        Job* job = find_job(a.task.job);
        if (!job) {
            request_stop(m, a, e, 0, now, "its job is unknown");
        } else if (job->cancelled) {
            request_stop(m, a, e, 0, now, "its job is cancelled");
        } else if (job->done.contains(a.task.index)) {
            if (job->spec.kind != JobKind::gang) request_stop(m, a, e, 0, now, "the task is already done");
        } else if (auto it = job->placements.find(a.task.index);
                   it != job->placements.end() && it->second.size() > 1) {
            // Only a predecessor's records can give a task two attempts. If either is unconfirmed, a later
            // heartbeat or the end of a lease settles it without a stop.
            for (auto& [name, number] : it->second) {
                if (name == m.name && number == a.number) continue;
                Machine* other = find_machine(name);
                if (!other) continue;
                auto o = other->assignments.find({a.task, number});
                // A delayed heartbeat of a machine that a predecessor returned may list ended attempts: only
                // a machine that has reported a token of this leader's term is known to run them now.
                if (o != other->assignments.end() && o->second.phase == AssignmentPhase::confirmed &&
                    !o->second.exited() && other->fencing_token_seen >= tokens_.first() &&
                    number < a.number) {
                    spdlog::error("task {}: runs on machine {} and on machine {}; the latter is stopped",
                                  a.task.str(), name, m.name);
                    request_stop(m, a, e, 0, now, "an earlier attempt runs on another machine");
                }
            }
        }
    }
}

void Cluster::request_stop(Machine& m, const Attempt& a, Assignment& e, double grace, TimePoint now,
                           const char* why) {
    if (e.exited()) return;
    if (e.stop_requested && e.grace_s <= grace) return;
    spdlog::debug("task {}: stop requested on machine {}: {}", a.task.str(), m.name, why);
    e.stop_requested = true;
    e.grace_s = grace;
    e.stop_at = now;
    mark_command_pending(m.name);
    capacity_index_.mark_changed(m);
}

bool Cluster::runs_service(const Machine& m) const {
    return std::any_of(m.assignments.begin(), m.assignments.end(),
                       [](auto& kv) { return kv.second.service && !kv.second.exited(); });
}

void Cluster::stop_gang(Job& job, double grace, TimePoint now, const char* why) {
    for (auto& [index, list] : job.placements)
        for (auto& [name, number] : list)
            if (Machine* m = find_machine(name)) {
                auto it = m->assignments.find({{job.spec.id, index}, number});
                if (it != m->assignments.end()) request_stop(*m, it->first, it->second, grace, now, why);
            }
}

}  // namespace barrowrun::placement
