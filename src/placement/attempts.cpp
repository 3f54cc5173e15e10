// Machines, and the life of the attempts on them: heartbeats, commands, stops, ends.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "placement/cluster.hpp"
#include "placement/failure_attribution.hpp"

namespace barrowrun::placement {
namespace {
// Names remembered: some fleets' worth.
constexpr std::size_t max_removed_names = 50'000;
// A first failure may be chance, and is retried soon; then each retry waits twice as long, up to a bound.
constexpr double first_retry_s = 0.5, max_retry_s = 30;
constexpr int max_retry_doublings = 8;
// A start that a worker refused: what it still holds may be gone by then.
constexpr double refused_retry_s = 1;
// A response is at most 64 KiB, and so is a heartbeat: more commands would not fit.
constexpr std::size_t max_commands_per_push = 300;
// A push without an answer is settled by a new fencing token, if no heartbeat has settled it by then.
constexpr double unanswered_launch_s = 3;

// A job that fails everywhere must not burn machines: its tries grow rarer.
double retry_delay_s(int errors_in_row) {
    if (errors_in_row == 1) return first_retry_s;
    return std::min(max_retry_s, first_retry_s * std::pow(2.0, std::min(errors_in_row, max_retry_doublings)));
}
}  // namespace
using fleet::AssignmentChange;
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
    auto [it, fresh] = machines_.try_emplace(name);
    if (!fresh) return *it->second;
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
    capacity_index_.changed(m);
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
        e.placed_at = now;
        Job* job = find_job(a.task.job);
        if (job) {
            occupy(*job, a, e, m);
            if (job->cancelled) e.stop_requested = true;
        } else {
            e.stop_requested = true;
            unknown_jobs_.insert(a.task.job);
        }
        m.assignments.emplace(a, e);
    }
}

void Cluster::machine_gone(const std::string& name, const char* proof, TimePoint now) {
    if (gone_.insert(name).second) gone_order_.push_back(name);
    if (gone_order_.size() > max_removed_names) {
        gone_.erase(gone_order_.front());
        gone_order_.pop_front();
    }
    auto it = machines_.find(name);
    if (it == machines_.end()) return;
    Machine& m = *it->second;
    std::vector<AssignmentChange> changes;
    std::size_t n = m.live();
    m.clear(changes);
    if (n)
        spdlog::info("machine {}: gone ({}), {} tasks are rescheduled", name, proof, n);
    else
        spdlog::info("machine {}: gone ({})", name, proof);
    apply(m, changes, now);
    // In no hurry: a record may name what is gone, never the other way round.
    shards_.remove_machine(name);
    capacity_index_.removed(m);
    machines_.erase(it);
}

void Cluster::expire_lease(Machine& m, TimePoint now) {
    // The worker has killed and forgotten everything; launches still on their way name its old agent epoch.
    std::vector<AssignmentChange> changes;
    std::size_t n = m.live();
    m.clear(changes);
    if (n) spdlog::info("machine {}: lease expired, {} tasks are rescheduled", m.name, n);
    apply(m, changes, now);
}

bool Cluster::on_heartbeat(const wire::WorkerHeartbeat& heartbeat, bool from_heartbeat_route, TimePoint now) {
    // Heartbeats that a cut had held came from 338 machines that had been returned meanwhile: they were taken
    // for new ones, and what really ran was stopped as "also elsewhere"
    // (docs/incidents/leader-without-workers.md).
    if (gone_.contains(heartbeat.machine)) return false;
    Machine* known = find_machine(heartbeat.machine);
    if (!known) {
        known = &add_machine(heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot, now);
        spdlog::info("machine {}: first heartbeat ({}, {}{})", heartbeat.machine, heartbeat.type,
                     heartbeat.zone, heartbeat.spot ? ", spot" : "");
        mark_machine_changed(heartbeat.machine);
    }
    Machine& m = *known;
    bool first = !m.up;
    std::string old_address = m.address;
    std::vector<AssignmentChange> changes;
    if (!m.apply_heartbeat(heartbeat, from_heartbeat_route, first_fencing_token_, now, changes)) return false;
    if (first) {
        if (m.type.empty()) {
            m.type = heartbeat.type, m.zone = heartbeat.zone, m.spot = heartbeat.spot;
            if (auto t = types_.find(m.type); t != types_.end()) {
                m.capacity = {t->second.cpus, t->second.gpus, t->second.mem_gb};
                m.cache_gb = t->second.cache_gb;
            }
            capacity_index_.changed(m);
        }
        m.idle_since = now;
        // The address must be on record: a successor asks every known worker.
        if (m.address != old_address) mark_machine_changed(m.name);
    }
    apply(m, changes, now);
    reconcile_reported(m, now);
    if (m.has_live()) m.idle_since = now;
    return true;
}

void Cluster::apply(Machine& m, const std::vector<AssignmentChange>& changes, TimePoint now) {
    if (!changes.empty()) capacity_index_.changed(m);
    for (auto& c : changes) {
        Job* job = find_job(c.attempt.task.job);
        auto index = c.attempt.task.index;
        if (job && index >= job->spec.tasks) job = nullptr;
        if (c.kind == AssignmentChange::lost) {
            Assignment gone = c.assignment;
            release(gone);
        } else if (c.kind == AssignmentChange::ended) {
            if (auto it = m.assignments.find(c.attempt); it != m.assignments.end()) release(it->second);
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
                ended(m, c.attempt, c.assignment, now);
                break;
            case AssignmentChange::lost:
                if (!job) break;
                if (c.assignment.phase != AssignmentPhase::recording &&
                    c.assignment.phase != AssignmentPhase::ready)
                    spdlog::debug("task {}: attempt {} is no longer on machine {}", c.attempt.task.str(),
                                  c.attempt.number, m.name);
                unplace(*job, index, m.name, c.attempt.number);
                if (job->spec.kind == JobKind::gang && !job->finished())
                    stop_gang(*job, 0, now, "a gang task is gone");
                break;
        }
    }
}

void Cluster::ended(Machine& m, const Attempt& a, const Assignment& e, TimePoint now) {
    note_command(m.name);
    Job* job = find_job(a.task.job);
    if (!job || a.task.index >= job->spec.tasks) return;
    bool counted = e.started_at != TimePoint{} && e.started_at > e.placed_at;
    double ran = counted ? Seconds(now - e.started_at).count() : 0;
    switch (e.cause) {
        case Cause::done:
            failure_attribution::record_success(m);
            job->errors_in_row = 0;
            if (counted && job->spec.kind == JobKind::array) {
                job->run_sum += ran;
                job->runs++;
            }
            if (job->spec.kind == JobKind::gang) {
                for (std::uint32_t i = 0; i < job->spec.tasks; ++i) finish_task(*job, i);
            } else {
                finish_task(*job, a.task.index);
            }
            break;
        case Cause::error: {
            job->failed_on.insert(m.name);
            count_error(*job, m, a, now);
            const bool machines_fault = has_proven_run(*job, now);
            failure_attribution::record_failure(m, machines_fault, now);
            if (!machines_fault) {
                job->errors_in_row++;
                // One that fails wherever it goes speaks against itself: replicas must not be kept off every
                // machine that it has tried.
                if (job->failed_on.size() >= failure_attribution::fails_anywhere_after)
                    for (auto& name : job->failed_on)
                        if (Machine* tried = find_machine(name)) failure_attribution::absolve(*tried);
                job->retry_at = now + secs(retry_delay_s(job->errors_in_row));
            }
            spdlog::info("task {}: failed on machine {} ({} failures in a row there, {} of the job)",
                         a.task.str(), m.name, m.errors, job->errors_in_row);
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
        stop_gang(*job, 0, now, "a gang task ended");
}

// Tasks that a worker reports but that nobody has any use for are stopped.
void Cluster::reconcile_reported(Machine& m, TimePoint now) {
    for (auto& [a, e] : m.assignments) {
        if (e.phase != AssignmentPhase::confirmed) continue;
        if (e.exited()) {
            note_command(m.name);
            continue;
        }
        if (e.stop_requested) continue;
        Job* job = find_job(a.task.job);
        if (!job) {
            request_stop(m, a, e, 0, now, "of no known job");
        } else if (job->cancelled) {
            request_stop(m, a, e, 0, now, "of a cancelled job");
        } else if (job->done.contains(a.task.index)) {
            if (job->spec.kind != JobKind::gang) request_stop(m, a, e, 0, now, "done elsewhere");
        } else if (auto it = job->placements.find(a.task.index);
                   it != job->placements.end() && it->second.size() > 1) {
            // Only records of a predecessor can name two places; the others resolve by themselves.
            for (auto& [name, number] : it->second) {
                if (name == m.name && number == a.number) continue;
                Machine* other = find_machine(name);
                if (!other) continue;
                auto o = other->assignments.find({a.task, number});
                // A late heartbeat of a machine that a predecessor returned may speak of the dead: only one
                // that has shown this leader's token was heard of now.
                if (o != other->assignments.end() && o->second.phase == AssignmentPhase::confirmed &&
                    !o->second.exited() && other->fencing_token_seen >= first_fencing_token_ &&
                    number < a.number) {
                    spdlog::error("task {}: runs on machine {} and on machine {}", a.task.str(), name,
                                  m.name);
                    request_stop(m, a, e, 0, now, "also elsewhere");
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
    note_command(m.name);
    capacity_index_.changed(m);
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

bool Cluster::may_reap(const Attempt& a, const Assignment& e) const {
    if (unrecorded_error(a, e)) return false;
    if (e.cause != Cause::done) return true;
    auto it = jobs_.find(a.task.job);
    // A result is let go once it is on record.
    return it == jobs_.end() || it->second->cancelled || it->second->durable_done.contains(a.task.index);
}

// Entries whose start was never sent can simply be dropped when they are to be stopped.
void Cluster::drop_unsent(Machine& m) {
    std::vector<Attempt> dropped;
    for (auto& [a, e] : m.assignments)
        if (e.stop_requested && !e.launch_unanswered && !e.in_flight &&
            (e.phase == AssignmentPhase::recording || e.phase == AssignmentPhase::ready))
            dropped.push_back(a);
    for (auto& a : dropped) {
        release(m.assignments.at(a));
        m.assignments.erase(a);
        capacity_index_.changed(m);
        if (Job* job = find_job(a.task.job)) unplace(*job, a.task.index, m.name, a.number);
    }
}

std::vector<wire::Command> Cluster::reply_commands(Machine& m, TimePoint now, bool all) {
    drop_unsent(m);
    // Launches go by push where the address answers; a response carries them where it does not.
    auto out =
        m.commands(now, all && !m.push_reachable, [&](auto& a, auto& e) { return all && may_reap(a, e); });
    for (auto& c : out)
        if (c.verb == wire::Verb::launch) {
            Assignment& e = m.assignments.at(c.attempt);
            e.phase = AssignmentPhase::replied;
            e.reply_seq = m.seq;
        }
    return out;
}

std::vector<wire::Command> Cluster::push_commands(Machine& m, TimePoint now) {
    drop_unsent(m);
    auto out = m.commands(now, true, [this](auto& a, auto& e) { return may_reap(a, e); });
    if (out.size() > max_commands_per_push) out.resize(max_commands_per_push);
    for (auto& c : out)
        if (c.verb == wire::Verb::launch) {
            Assignment& e = m.assignments.at(c.attempt);
            e.phase = AssignmentPhase::pushed;
            e.in_flight = true;
            e.sent_fencing_token = fencing_token_;
        }
    return out;
}

void Cluster::push_answered(Machine& m, const std::vector<wire::Command>& sent, std::uint64_t fencing_token,
                            bool executed, bool may_execute, TimePoint) {
    for (auto& c : sent) {
        if (c.verb != wire::Verb::launch) continue;
        auto it = m.assignments.find(c.attempt);
        if (it == m.assignments.end()) continue;
        Assignment& e = it->second;
        e.in_flight = false;
        if (executed) continue;  // the heartbeat that came with the answer has settled it, or will
        if (may_execute) {
            e.launch_unanswered = true;
            e.sent_fencing_token = std::max(e.sent_fencing_token, fencing_token);
        } else if (e.phase == AssignmentPhase::pushed && !e.launch_unanswered) {
            e.phase = AssignmentPhase::ready;
        }
    }
}

bool Cluster::has_unanswered_launch(TimePoint now) const {
    for (auto& [name, m] : machines_)
        for (auto& [a, e] : m->assignments)
            if (e.launch_unanswered && e.sent_fencing_token >= fencing_token_ &&
                m->fencing_token_seen <= e.sent_fencing_token &&
                now - e.placed_at > secs(unanswered_launch_s))
                return true;
    return false;
}

}  // namespace barrowrun::placement
