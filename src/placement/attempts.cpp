// Machines, and the life of the attempts on them: reports, commands, stops, ends.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "placement/cluster.hpp"
#include "placement/faults.hpp"

namespace barrowrun::placement {
namespace {
// Names remembered: some fleets' worth.
constexpr std::size_t most_gone = 50'000;
}  // namespace
using fleet::Change;
using wire::Cause;
using wire::Priority;
using wire::Sort;
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
    m.known = m.rented = m.idle_since = now;
    if (auto t = types_.find(type); t != types_.end()) {
        m.capacity = {t->second.cpus, t->second.gpus, t->second.mem_gb};
        m.cache_gb = t->second.cache_gb;
        m.fetch_gb_per_s = t->second.fetch_gb_per_s;
    }
    rooms_.changed(m);
    return m;
}

void Cluster::inherit(std::uint32_t sheet, const state::MachineRecord& record, TimePoint now,
                      std::int64_t wall_ms) {
    const auto& name = record.name;
    sheets_.inherit(sheet, name);
    Machine& m = add_machine(name, record.type, record.zone, record.spot, now);
    if (!record.address.empty()) m.address = record.address;
    if (record.rented_ms)
        m.rented = now - std::chrono::milliseconds(
                             std::clamp<std::int64_t>(wall_ms - record.rented_ms, 0, 86'400'000));
    for (auto& a : record.attempts) {
        Entry e;
        e.phase = Phase::inherited;
        e.since = now;
        Job* job = find_job(a.task.job);
        if (job) {
            occupy(*job, a, e, m);
            if (job->cancelled) e.stop = true;
        } else {
            e.stop = true;
            strangers_.insert(a.task.job);
        }
        m.entries.emplace(a, e);
    }
}

void Cluster::machine_gone(const std::string& name, const char* proof, TimePoint now) {
    if (gone_.insert(name).second) gone_order_.push_back(name);
    if (gone_order_.size() > most_gone) {
        gone_.erase(gone_order_.front());
        gone_order_.pop_front();
    }
    auto it = machines_.find(name);
    if (it == machines_.end()) return;
    Machine& m = *it->second;
    std::vector<Change> changes;
    std::size_t n = m.live();
    m.clear(changes);
    if (n)
        spdlog::info("machine {} is gone ({}), {} tasks move", name, proof, n);
    else
        spdlog::info("machine {} is gone ({})", name, proof);
    apply(m, changes, now);
    // In no hurry: a record may name what is gone, never the other way round.
    sheets_.remove(name);
    rooms_.removed(m);
    machines_.erase(it);
}

void Cluster::lease_over(Machine& m, TimePoint now) {
    // The worker has killed and forgotten everything; launches still on their way name its old session.
    std::vector<Change> changes;
    std::size_t n = m.live();
    m.clear(changes);
    if (n) spdlog::info("machine {}: its lease has run out, {} tasks move", m.name, n);
    apply(m, changes, now);
}

bool Cluster::on_report(const wire::Report& report, bool hello, TimePoint now) {
    // Reports that a cut had held came from 338 machines that had been returned meanwhile: they were taken
    // for new ones, and what really ran was stopped as "also elsewhere"
    // (docs/incidents/leader-without-workers.md).
    if (gone_.contains(report.machine)) return false;
    Machine* known = find_machine(report.machine);
    if (!known) {
        known = &add_machine(report.machine, report.type, report.zone, report.spot, now);
        spdlog::info("machine {} ({}, {}{}) reports for the first time", report.machine, report.type,
                     report.zone, report.spot ? ", spot" : "");
        mark_machine_dirty(report.machine);
    }
    Machine& m = *known;
    bool first = !m.up;
    std::string old_address = m.address;
    std::vector<Change> changes;
    if (!m.apply(report, hello, first_fencing_token_, now, changes)) return false;
    if (first) {
        if (m.type.empty()) {
            m.type = report.type, m.zone = report.zone, m.spot = report.spot;
            if (auto t = types_.find(m.type); t != types_.end()) {
                m.capacity = {t->second.cpus, t->second.gpus, t->second.mem_gb};
                m.cache_gb = t->second.cache_gb;
            }
            rooms_.changed(m);
        }
        m.idle_since = now;
        // The address must be on record: a successor asks every known worker.
        if (m.address != old_address) mark_machine_dirty(m.name);
    }
    apply(m, changes, now);
    reconcile_reported(m, now);
    if (m.any_live()) m.idle_since = now;
    return true;
}

void Cluster::apply(Machine& m, const std::vector<Change>& changes, TimePoint now) {
    if (!changes.empty()) rooms_.changed(m);
    for (auto& c : changes) {
        Job* job = find_job(c.attempt.task.job);
        auto index = c.attempt.task.index;
        if (job && index >= job->spec.tasks) job = nullptr;
        if (c.kind == Change::vanished) {
            Entry gone = c.entry;
            release(gone);
        } else if (c.kind == Change::ended) {
            if (auto it = m.entries.find(c.attempt); it != m.entries.end()) release(it->second);
        }
        switch (c.kind) {
            case Change::adopted: {
                auto it = m.entries.find(c.attempt);
                if (it == m.entries.end()) break;
                if (!job) {
                    if (!past_.contains(c.attempt.task.job)) strangers_.insert(c.attempt.task.job);
                    break;
                }
                occupy(*job, c.attempt, it->second, m);
                break;
            }
            case Change::started:
                if (job) m.use_image(job->spec.image, job->spec.image_gb);
                break;
            case Change::ended:
                ended(m, c.attempt, c.entry, now);
                break;
            case Change::vanished:
                if (!job) break;
                if (c.entry.phase != Phase::recording && c.entry.phase != Phase::ready)
                    spdlog::debug("{} attempt {} is no longer on {}", c.attempt.task.str(), c.attempt.number,
                                  m.name);
                unplace(*job, index, m.name, c.attempt.number);
                if (job->spec.sort == Sort::gang && !job->finished())
                    stop_gang(*job, 0, now, "a gang task is gone");
                break;
        }
    }
}

void Cluster::ended(Machine& m, const Attempt& a, const Entry& e, TimePoint now) {
    touch(m.name);
    Job* job = find_job(a.task.job);
    if (!job || a.task.index >= job->spec.tasks) return;
    bool counted = e.running != TimePoint{} && e.running > e.since;
    double ran = counted ? Seconds(now - e.running).count() : 0;
    switch (e.cause) {
        case Cause::done:
            faults::succeeded(m);
            job->errors_in_row = 0;
            if (counted && job->spec.sort == Sort::array) {
                job->run_sum += ran;
                job->runs++;
            }
            if (job->spec.sort == Sort::gang) {
                for (std::uint32_t i = 0; i < job->spec.tasks; ++i) finish_task(*job, i);
            } else {
                finish_task(*job, a.task.index);
            }
            break;
        case Cause::error: {
            job->failed_on.insert(m.name);
            count_error(*job, m, a, now);
            const bool machines_fault = runs_well(*job, now);
            faults::failed(m, machines_fault, now);
            if (!machines_fault) {
                job->errors_in_row++;
                // One that fails wherever it goes speaks against itself: replicas must not be kept off every
                // machine that it has tried.
                if (job->failed_on.size() >= 3)
                    for (auto& name : job->failed_on)
                        if (Machine* tried = find_machine(name); tried && tried->blamed == 0)
                            tried->errors = 0;
                // A job that fails everywhere must not burn machines: its tries grow rarer.
                job->retry_at =
                    now + secs(job->errors_in_row == 1
                                   ? 0.5
                                   : std::min(30.0, 0.5 * std::pow(2.0, std::min(job->errors_in_row, 8))));
            }
            spdlog::info("{} failed on {} ({} errors in a row there, {} for the job)", a.task.str(), m.name,
                         m.errors, job->errors_in_row);
            break;
        }
        case Cause::no_room:
        case Cause::busy:
        case Cause::unknown:
            spdlog::info("{} refused a start of {}: {}", m.name, a.task.str(), wire::cause_name(e.cause));
            job->retry_at = now + secs(1);
            break;
        default:
            spdlog::debug("{} ended on {}: {}{}", a.task.str(), m.name, wire::cause_name(e.cause),
                          e.saved ? ", saved" : "");
            break;
    }
    unplace(*job, a.task.index, m.name, a.number);
    if (job->spec.sort == Sort::gang && e.cause != Cause::done && !job->finished() && !e.stop)
        stop_gang(*job, 0, now, "a gang task ended");
}

// Tasks that a worker reports but that nobody has any use for are stopped.
void Cluster::reconcile_reported(Machine& m, TimePoint now) {
    for (auto& [a, e] : m.entries) {
        if (e.phase != Phase::seen) continue;
        if (e.exited()) {
            touch(m.name);
            continue;
        }
        if (e.stop) continue;
        Job* job = find_job(a.task.job);
        if (!job) {
            note_stop(m, a, e, 0, now, "of no known job");
        } else if (job->cancelled) {
            note_stop(m, a, e, 0, now, "of a cancelled job");
        } else if (job->done.contains(a.task.index)) {
            if (job->spec.sort != Sort::gang) note_stop(m, a, e, 0, now, "done elsewhere");
        } else if (auto it = job->places.find(a.task.index);
                   it != job->places.end() && it->second.size() > 1) {
            // Only records of a predecessor can name two places; the others resolve by themselves.
            for (auto& [name, number] : it->second) {
                if (name == m.name && number == a.number) continue;
                Machine* other = find_machine(name);
                if (!other) continue;
                auto o = other->entries.find({a.task, number});
                // A late report of a machine that a predecessor returned may speak of the dead: only one that
                // has shown this leader's token was heard of now.
                if (o != other->entries.end() && o->second.phase == Phase::seen && !o->second.exited() &&
                    other->fencing_token_seen >= first_fencing_token_ && number < a.number) {
                    spdlog::error("{} is on {} and on {}", a.task.str(), name, m.name);
                    note_stop(m, a, e, 0, now, "also elsewhere");
                }
            }
        }
    }
}

void Cluster::note_stop(Machine& m, const Attempt& a, Entry& e, double grace, TimePoint now,
                        const char* why) {
    if (e.exited()) return;
    if (e.stop && e.grace_s <= grace) return;
    spdlog::debug("stop {} on {}: {}", a.task.str(), m.name, why);
    e.stop = true;
    e.grace_s = grace;
    e.stop_at = now;
    touch(m.name);
    rooms_.changed(m);
}

bool Cluster::runs_service(const Machine& m) const {
    return std::any_of(m.entries.begin(), m.entries.end(),
                       [](auto& kv) { return kv.second.service && !kv.second.exited(); });
}

void Cluster::stop_gang(Job& job, double grace, TimePoint now, const char* why) {
    for (auto& [index, list] : job.places)
        for (auto& [name, number] : list)
            if (Machine* m = find_machine(name)) {
                auto it = m->entries.find({{job.spec.id, index}, number});
                if (it != m->entries.end()) note_stop(*m, it->first, it->second, grace, now, why);
            }
}

bool Cluster::may_reap(const Attempt& a, const Entry& e) const {
    if (unrecorded_error(a, e)) return false;
    if (e.cause != Cause::done) return true;
    auto it = jobs_.find(a.task.job);
    // A result is let go once it is on record.
    return it == jobs_.end() || it->second->cancelled || it->second->durable_done.contains(a.task.index);
}

// Entries whose start was never sent can simply be dropped when they are to be stopped.
void Cluster::drop_unsent(Machine& m) {
    std::vector<Attempt> dropped;
    for (auto& [a, e] : m.entries)
        if (e.stop && !e.late && !e.in_flight && (e.phase == Phase::recording || e.phase == Phase::ready))
            dropped.push_back(a);
    for (auto& a : dropped) {
        release(m.entries.at(a));
        m.entries.erase(a);
        rooms_.changed(m);
        if (Job* job = find_job(a.task.job)) unplace(*job, a.task.index, m.name, a.number);
    }
}

std::vector<wire::Command> Cluster::reply_commands(Machine& m, TimePoint now, bool all) {
    drop_unsent(m);
    // Launches go by push where the address answers; a response carries them where it does not.
    auto out = m.commands(now, all && !m.push_ok, [&](auto& a, auto& e) { return all && may_reap(a, e); });
    for (auto& c : out)
        if (c.verb == wire::Verb::launch) {
            Entry& e = m.entries.at(c.attempt);
            e.phase = Phase::replied;
            e.reply_seq = m.seq;
        }
    return out;
}

std::vector<wire::Command> Cluster::push_commands(Machine& m, TimePoint now) {
    drop_unsent(m);
    auto out = m.commands(now, true, [this](auto& a, auto& e) { return may_reap(a, e); });
    // A response is at most 64 KiB, and so is a report.
    if (out.size() > 300) out.resize(300);
    for (auto& c : out)
        if (c.verb == wire::Verb::launch) {
            Entry& e = m.entries.at(c.attempt);
            e.phase = Phase::pushed;
            e.in_flight = true;
            e.sent_fencing_token = fencing_token_;
        }
    return out;
}

void Cluster::push_answered(Machine& m, const std::vector<wire::Command>& sent, std::uint64_t fencing_token,
                            bool executed, bool may_execute, TimePoint) {
    for (auto& c : sent) {
        if (c.verb != wire::Verb::launch) continue;
        auto it = m.entries.find(c.attempt);
        if (it == m.entries.end()) continue;
        Entry& e = it->second;
        e.in_flight = false;
        if (executed) continue;  // the report that came with the answer has settled it, or will
        if (may_execute) {
            e.late = true;
            e.sent_fencing_token = std::max(e.sent_fencing_token, fencing_token);
        } else if (e.phase == Phase::pushed && !e.late) {
            e.phase = Phase::ready;
        }
    }
}

bool Cluster::unsettled(TimePoint now) const {
    for (auto& [name, m] : machines_)
        for (auto& [a, e] : m->entries)
            if (e.late && e.sent_fencing_token >= fencing_token_ &&
                m->fencing_token_seen <= e.sent_fencing_token && now - e.since > secs(3))
                return true;
    return false;
}

}  // namespace barrowrun::placement
