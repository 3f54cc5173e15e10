#include "placement/cluster.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "placement/faults.hpp"
#include "placement/gangs.hpp"
#include "placement/preemption.hpp"

namespace barrowrun::placement {
using fleet::Change;
using wire::Cause;
using wire::Json;
using wire::Priority;
using wire::Sort;
using wire::TaskState;

namespace {
std::size_t text_size(const wire::Json& value) {
    return value.dump(-1, ' ', false, wire::Json::error_handler_t::replace).size();
}

// Tasks of a gang fail together: their failures count under the first.
std::uint32_t error_key(const Job& job, std::uint32_t index) {
    return job.spec.sort == Sort::gang ? 0 : index;
}
}  // namespace

wire::Standing Job::standing() const {
    if (cancel_durable) return failed ? wire::Standing::failed : wire::Standing::cancelled;
    if (finished() && durable_done.size() == spec.tasks) return wire::Standing::done;
    return places.empty() ? wire::Standing::queued : wire::Standing::running;
}

std::vector<quota::Team> quota_teams(const std::map<std::string, TeamLimits>& teams) {
    auto some = [](double x) { return x > 0 ? std::optional<double>(x) : std::nullopt; };  // 0: none
    std::vector<quota::Team> out;
    for (auto& [name, t] : teams)
        out.push_back({name,
                       {some(t.cpus_max), some(t.gpus_max), std::nullopt},
                       {some(t.cpus), some(t.gpus), std::nullopt}});
    return out;
}

namespace {
quota::TreePtr first_tree(const Rules& rules) {
    auto teams = quota_teams(rules.teams);
    if (auto built = quota::Tree::build(rules.quotas.value_or(std::vector<quota::Line>{}), teams); built.tree)
        return built.tree;
    // Settings are checked when they are read. A platform's own team with a guarantee beyond its limit can
    // still come here: its limit is the rule.
    spdlog::error("the quotas can't be used: the platform's limits alone hold");
    for (auto& t : teams) t.guarantee = {};
    return quota::Tree::build({}, teams).tree;
}
}  // namespace

Cluster::Cluster(Rules rules)
    : rules_(std::move(rules)),
      queue_(rules_.queue_bound),
      sheets_(rules_.value_bytes),
      ledger_(first_tree(rules_)) {}

bool fits_some_type(const wire::JobSpec& spec, const std::vector<wire::MachineType>& types) {
    for (auto& t : types) {
        if (spec.types && std::find(spec.types->begin(), spec.types->end(), t.name) == spec.types->end())
            continue;
        if (spec.zone && std::find(t.zones.begin(), t.zones.end(), *spec.zone) == t.zones.end()) continue;
        if (spec.need.fits({t.cpus, t.gpus, t.mem_gb})) return true;
    }
    return false;
}

void Cluster::set_types(std::vector<wire::MachineType> types) {
    for (auto& t : types) types_[t.name] = t;
    for (auto& [name, m] : machines_) {
        auto it = types_.find(m->type);
        if (it == types_.end()) continue;
        m->capacity = {it->second.cpus, it->second.gpus, it->second.mem_gb};
        m->cache_gb = it->second.cache_gb;
        m->fetch_gb_per_s = it->second.fetch_gb_per_s;
    }
}

// ---- jobs ----------------------------------------------------------------------------------------------

Job& Cluster::add_job(const state::JobRecord& record, const state::Progress* progress, TimePoint now,
                      std::int64_t wall_ms) {
    auto [it, fresh] = jobs_.try_emplace(record.spec.id);
    if (!fresh) return *it->second;
    it->second = std::make_unique<Job>();
    Job& job = *it->second;
    job.spec = record.spec;
    job.accepted_ms = record.accepted_ms;
    job.account = account_of(job.spec);
    const auto& s = job.spec;
    job.shape = fmt::format("{:.3f}/{:.3f}/{:.3f}/{}/{}", s.need.cpus, s.need.gpus, s.need.mem_gb, s.spot_ok,
                            s.zone.value_or(""));
    if (s.types)
        for (auto& t : *s.types) job.shape += "/" + t;
    job.accepted = now - std::chrono::milliseconds(
                             std::clamp<std::int64_t>(wall_ms - record.accepted_ms, 0, 86'400'000));
    if (progress) {
        job.done = job.durable_done = progress->done;
        job.cancelled = job.cancel_durable = progress->cancelled;
        job.failed = progress->failed;
        job.errors = progress->errors;
        job.error_count = progress->total;
        job.progress_written = true;
    }
    if (job.spec.retries && !job.error_count) job.error_count.emplace();
    if (!job.cancelled) {
        if (job.done.empty()) {
            job.waiting = IndexSet::full(job.spec.tasks);
        } else {
            for (std::uint32_t i = 0; i < job.spec.tasks; ++i)
                if (!job.done.contains(i)) job.waiting.insert(i);
        }
        queue_.set_waiting(job.spec.priority, {job.accepted_ms, job.spec.id}, 0, job.waiting.size());
    }
    // Workers may have reported tasks of it before this leader knew the job: they are on their machines.
    for (auto& [name, m] : machines_)
        for (auto& [a, e] : m->entries)
            if (a.task.job == job.spec.id && a.task.index < job.spec.tasks && !e.exited()) {
                occupy(job, a, e, name);
            }
    if (job.cancelled || job.finished()) mark_dirty(job);
    return job;
}

Job* Cluster::find_job(const std::string& id) {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : it->second.get();
}

std::optional<state::PastRecord> Cluster::past(const std::string& id) const {
    auto it = past_.find(id);
    if (it == past_.end()) return std::nullopt;
    return it->second;
}

void Cluster::set_waiting(Job& job, std::uint32_t index, bool waiting) {
    std::uint64_t before = job.waiting.size();
    if (waiting)
        job.waiting.insert(index);
    else
        job.waiting.erase(index);
    if (job.waiting.size() != before)
        queue_.set_waiting(job.spec.priority, {job.accepted_ms, job.spec.id}, before, job.waiting.size());
}

void Cluster::mark_dirty(Job& job) {
    job.dirty = true;
    dirty_jobs_.insert(job.spec.id);
}

void Cluster::cancel(Job& job, TimePoint now) {
    if (job.cancelled) return;
    job.cancelled = true;
    queue_.set_waiting(job.spec.priority, {job.accepted_ms, job.spec.id}, job.waiting.size(), 0);
    job.waiting = {};
    // Nobody has any use for what its tasks do from here on: no grace.
    auto places = job.places;
    for (auto& [index, list] : places)
        for (auto& [name, number] : list)
            if (Machine* m = find_machine(name)) {
                Attempt a{{job.spec.id, index}, number};
                auto it = m->entries.find(a);
                if (it != m->entries.end()) note_stop(*m, a, it->second, 0, now, "cancelled");
            }
    mark_dirty(job);
}

void Cluster::unplace(Job& job, std::uint32_t index, const std::string& machine, std::uint64_t attempt) {
    auto it = job.places.find(index);
    if (it != job.places.end()) {
        std::erase(it->second, std::pair(machine, attempt));
        if (!it->second.empty()) return;
        job.places.erase(it);
    }
    if (!job.done.contains(index) && !job.cancelled && !job.unrecorded_errors.contains(error_key(job, index)))
        set_waiting(job, index, true);
    if ((job.cancelled || job.finished()) && job.places.empty()) mark_dirty(job);
}

void Cluster::finish_task(Job& job, std::uint32_t index) {
    if (!job.done.insert(index)) return;
    set_waiting(job, index, false);
    job.errors.erase(index);
    mark_dirty(job);
}

// ---- failures that count -------------------------------------------------------------------------------

void Cluster::count_error(Job& job, const Machine& m, const Attempt& a, TimePoint now) {
    if (!job.spec.retries || job.cancelled || job.finished() || job.done.contains(a.task.index)) return;
    auto key = error_key(job, a.task.index);
    auto& errors = job.errors[key];
    // Heard before, from this worker or by a predecessor; of a gang, from another of its tasks.
    if (a.number <= errors.last) return;
    errors.count++;
    errors.last = a.number;
    job.unrecorded_errors.insert(key);
    job.error_count->errors++;
    job.error_count->last = wire::Failure{a.task.str(), m.name, a.number};
    mark_dirty(job);
    // The record names every task that failed and is not done; one that would outgrow its value ends the job.
    bool too_many = job.errors.size() > rules_.value_bytes / 64;
    if (errors.count <= *job.spec.retries && !too_many) return;
    spdlog::info("job {} has failed: {} failed {} times, last on {}{}", job.spec.id, a.task.str(),
                 errors.count, m.name, too_many ? ", as did too many other tasks" : "");
    job.failed = true;
    cancel(job, now);
}

void Cluster::errors_recorded(Job& job, const std::map<std::uint32_t, state::TaskErrors>& written) {
    for (auto it = job.unrecorded_errors.begin(); it != job.unrecorded_errors.end();) {
        auto now = job.errors.find(*it);
        auto then = written.find(*it);
        if (now != job.errors.end() && (then == written.end() || then->second != now->second)) {
            ++it;
            continue;
        }
        auto key = *it;
        it = job.unrecorded_errors.erase(it);
        if (job.cancelled) continue;
        const bool gang = job.spec.sort == Sort::gang;
        for (std::uint32_t i = gang ? 0 : key; i < (gang ? job.spec.tasks : key + 1); ++i)
            if (!job.places.contains(i) && !job.done.contains(i)) set_waiting(job, i, true);
    }
}

bool Cluster::unrecorded_error(const Attempt& a, const Entry& e) const {
    if (e.cause != Cause::error) return false;
    auto it = jobs_.find(a.task.job);
    if (it == jobs_.end() || it->second->cancelled) return false;
    return it->second->unrecorded_errors.contains(error_key(*it->second, a.task.index));
}

// ---- machines ------------------------------------------------------------------------------------------

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
            occupy(*job, a, e, name);
            if (job->cancelled) e.stop = true;
        } else {
            e.stop = true;
        }
        m.entries.emplace(a, e);
    }
}

void Cluster::machine_gone(const std::string& name, const char* proof, TimePoint now) {
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
    if (!m.apply(report, hello, first_token_, now, changes)) return false;
    if (first) {
        if (m.type.empty()) {
            m.type = report.type, m.zone = report.zone, m.spot = report.spot;
            if (auto t = types_.find(m.type); t != types_.end()) {
                m.capacity = {t->second.cpus, t->second.gpus, t->second.mem_gb};
                m.cache_gb = t->second.cache_gb;
            }
        }
        m.idle_since = now;
        // The address must be on record: a successor asks every known worker.
        if (m.address != old_address) mark_machine_dirty(m.name);
    }
    apply(m, changes, now);
    reconcile_reported(m, now);
    if (m.live() > 0) m.idle_since = now;
    return true;
}

void Cluster::apply(Machine& m, const std::vector<Change>& changes, TimePoint now) {
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
                if (!job) break;
                occupy(*job, c.attempt, it->second, m.name);
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
                if (o != other->entries.end() && o->second.phase == Phase::seen && !o->second.exited() &&
                    number < a.number) {
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
}

bool Cluster::runs_service(const Machine& m) const {
    for (auto& [a, e] : m.entries) {
        if (e.exited()) continue;
        auto it = jobs_.find(a.task.job);
        if (it != jobs_.end() && it->second->spec.sort == Sort::service) return true;
    }
    return false;
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
        if (Job* job = find_job(a.task.job)) unplace(*job, a.task.index, m.name, a.number);
    }
}

std::vector<wire::Command> Cluster::reply_commands(Machine& m, TimePoint now) {
    drop_unsent(m);
    // Launches go by push where the address answers; a response carries them where it does not.
    auto out = m.commands(now, !m.push_ok, [this](auto& a, auto& e) { return may_reap(a, e); });
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
            e.sent_token = token_;
        }
    return out;
}

void Cluster::push_answered(Machine& m, const std::vector<wire::Command>& sent, std::uint64_t token,
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
            e.sent_token = std::max(e.sent_token, token);
        } else if (e.phase == Phase::pushed && !e.late) {
            e.phase = Phase::ready;
        }
    }
}

bool Cluster::unsettled(TimePoint now) const {
    for (auto& [name, m] : machines_)
        for (auto& [a, e] : m->entries)
            if (e.late && e.sent_token >= token_ && m->token_seen <= e.sent_token && now - e.since > secs(3))
                return true;
    return false;
}

// ---- decisions -----------------------------------------------------------------------------------------

bool Cluster::usable(const Machine& m, TimePoint now) const {
    return m.up && !m.returning && !m.drain && !m.faulty && !m.suspect && !m.taken_at &&
           m.capacity.mem_gb > 0 && now - m.last_report < secs(rules_.report_s * 1.25 + 1.5);
}

bool Cluster::gpu_reserved(const wire::JobSpec& spec, const wire::MachineType& t) const {
    if (t.gpus <= 0 || spec.need.gpus > 0) return false;
    for (auto& [name, other] : types_)
        if (other.gpus <= 0 && spec.need.fits({other.cpus, other.gpus, other.mem_gb}) &&
            (!spec.types || std::find(spec.types->begin(), spec.types->end(), name) != spec.types->end()))
            return true;
    return false;
}

bool Cluster::allowed(const wire::JobSpec& spec, const Machine& m) const {
    if (m.spot && !spec.spot_ok) return false;
    if (spec.zone && *spec.zone != m.zone) return false;
    if (spec.types && std::find(spec.types->begin(), spec.types->end(), m.type) == spec.types->end())
        return false;
    if (auto t = types_.find(m.type); t != types_.end() && gpu_reserved(spec, t->second)) return false;
    return true;
}

bool Cluster::zone_ok(const Job& job, const std::string& zone) const {
    if (!job.spec.spread && !job.spec.one_zone) return true;
    std::uint32_t here = 0, elsewhere = 0;
    for (auto& [index, list] : job.places)
        for (auto& [name, number] : list) {
            auto it = machines_.find(name);
            if (it == machines_.end()) continue;
            (it->second->zone == zone ? here : elsewhere)++;
        }
    if (job.spec.one_zone && elsewhere > 0) return false;
    if (job.spec.spread && here + 1 > (job.spec.tasks + 1) / 2) return false;
    return true;
}

// An attempt that may be on a machine: its task does not wait any more, and the entry knows what it is.
void Cluster::occupy(Job& job, const Attempt& a, Entry& e, const std::string& machine) {
    e.need = job.spec.need;
    e.level = job.spec.priority;
    e.may_yield = job.spec.sort != Sort::service;
    e.saves = job.spec.checkpoint_s > 0;
    auto& list = job.places[a.task.index];
    std::pair here{machine, a.number};
    if (std::find(list.begin(), list.end(), here) == list.end()) list.push_back(std::move(here));
    if (e.account == quota::no_node) ledger_.charge(e.account = job.account, e.need);
    set_waiting(job, a.task.index, false);
}

void Cluster::release(Entry& e) {
    if (e.account == quota::no_node) return;
    ledger_.release(e.account, e.need);
    e.account = quota::no_node;
}

// A machine that takes a task only becomes the better choice for the next one of the same job (a tighter fit,
// its image under way), and no other machine changes. So the order holds for all of its tasks, and filling
// the machines in turn gives what a search for each task would give.
std::vector<Machine*> Cluster::rank(const Job& job, TimePoint now) const {
    std::vector<std::pair<double, Machine*>> scored;
    const auto& s = job.spec;
    for (auto& [name, mp] : machines_) {
        Machine& m = *mp;
        wire::Resources room = m.unreserved();
        if (!s.need.fits(room) || !usable(m, now) || !allowed(s, m) || m.entries.size() >= most_tasks())
            continue;
        double score = 0;
        double fetch_s = m.has_image(s.image)  ? 0
                         : m.fetching(s.image) ? 0.5 * s.image_gb / m.fetch_gb_per_s
                                               : s.image_gb / m.fetch_gb_per_s;
        score -= fetch_s * (s.sort == Sort::service ? 10.0 : 1.0);
        if (s.spot_ok && m.spot) score += 8;
        if (job.failed_on.contains(name)) score -= 1000;
        score -= m.errors * 20.0;
        score -= (m.slowness - 1.0) * 30.0;
        // The tightest fit keeps other machines whole.
        if (m.capacity.cpus > 0) score -= 3.0 * (room.cpus - s.need.cpus) / m.capacity.cpus;
        scored.emplace_back(score, &m);
    }
    std::stable_sort(scored.begin(), scored.end(), [](auto& x, auto& y) { return x.first > y.first; });
    std::vector<Machine*> out;
    out.reserve(scored.size());
    for (auto& [score, m] : scored) out.push_back(m);
    return out;
}

void Cluster::place(Job& job, std::uint32_t index, Machine& m, std::uint64_t attempt, TimePoint now) {
    Attempt a{{job.spec.id, index}, attempt};
    Entry e;
    e.since = now;
    occupy(job, a, e, m.name);
    m.entries.emplace(a, e);
    m.free -= e.need;
    m.idle_since = now;
    if (!m.has_image(job.spec.image)) m.note_fetch(job.spec.image, job.spec.image_gb);
    sheets_.start(m.name, {job.spec.priority, job.accepted});
    spdlog::debug("place {} attempt {} on {}, image {}, {:.2f} s after it was accepted", a.task.str(),
                  attempt, m.name, m.has_image(job.spec.image) ? "there" : "to fetch",
                  Seconds(now - job.accepted).count());
}

bool Cluster::place_gang(Job& job, TimePoint now) {
    // All or none: every task of the earlier attempt must be gone, and room must show for all at once.
    if (job.waiting.size() != job.spec.tasks || !job.places.empty()) return false;
    if (!ledger_.admits(job.account, job.spec.need, job.spec.tasks)) return false;
    std::vector<gangs::Host> hosts;
    std::vector<Machine*> machines;
    std::set<std::string> zones;
    for (auto& [name, mp] : machines_) {
        Machine& m = *mp;
        zones.insert(m.zone);
        if (!usable(m, now) || !allowed(job.spec, m) || !trusted(m, job, now) || m.slowness > 1.8) continue;
        double merit = (m.has_image(job.spec.image) ? 0 : -job.spec.image_gb / m.fetch_gb_per_s) -
                       (job.failed_on.contains(name) ? 1000 : 0) - m.errors * 20.0 + (m.spot ? 2 : 0);
        hosts.push_back({m.zone, m.unreserved(), m.capacity.cpus, merit});
        machines.push_back(&m);
    }
    auto where = gangs::choose(job.spec, hosts, {zones.begin(), zones.end()});
    if (where.empty()) return false;
    const std::uint64_t attempt = next_attempt();
    for (std::uint32_t i = 0; i < job.spec.tasks; ++i) place(job, i, *machines[where[i]], attempt, now);
    spdlog::info("gang {} starts as attempt {} on {} machines", job.spec.id, attempt,
                 std::set<std::size_t>(where.begin(), where.end()).size());
    return true;
}

wire::Resources Cluster::preemptible(const Machine& m, Priority level, bool kept) const {
    wire::Resources r;
    for (auto& [a, e] : m.entries)
        if (!e.exited() && !e.stop && e.may_yield && e.level > level && (e.saves || !kept)) r += e.need;
    return r;
}

double Cluster::usual_boot_s() const {
    double boot = 0;
    for (auto& [name, t] : types_)
        if (t.gpus <= 0) boot = std::max(boot, t.boot_s);
    return boot;
}

double Cluster::time_left(const Job& job, TimePoint now) const {
    double elapsed = Seconds(now - job.accepted).count();
    double run = job.run_guess();
    std::optional<double> left;
    auto at_most = [&](double x) { left = std::min(left.value_or(x), x); };
    for (auto& o : rules_.objectives) {
        if (o.job_class != job.spec.job_class) continue;
        // Work is lumpy and estimates are off: some of the time is kept back.
        if (o.kind == "wait") at_most((job.spec.sort == Sort::array ? 0.7 : 1.0) * o.within_s - elapsed);
        if (o.kind == "finished") at_most(0.8 * o.within_s - elapsed - run);
        if (o.kind == "deadline" && job.spec.deadline_s) at_most(*job.spec.deadline_s - elapsed - run);
    }
    return left.value_or(std::max(60.0, 3 * run));  // nobody said when
}

bool Cluster::may_preempt(const Job& job, TimePoint now) const {
    if (job.spec.priority <= Priority::high) return true;
    return job.spec.sort == Sort::array && time_left(job, now) < usual_boot_s();
}

// Lower work makes room. Room that is already being made is waited for.
Cluster::Room Cluster::make_room(Job& job, std::uint32_t tasks, TimePoint now, bool with_image) {
    Room out;
    if (!may_preempt(job, now)) return out;
    const bool kept_only = job.spec.priority > Priority::high;
    const bool guarantees = ledger_.tree().guarantees();
    const auto& need = job.spec.need;
    std::vector<preemption::Option> options;
    std::vector<Machine*> machines;
    std::vector<Attempt> victims;
    for (auto& [name, mp] : machines_) {
        Machine& m = *mp;
        if (out.tasks >= tasks) return out;
        bool lower = false;
        for (auto& [a, e] : m.entries)
            lower |= !e.exited() && (e.stop || (e.may_yield && e.level > job.spec.priority));
        if (!lower || !usable(m, now) || !allowed(job.spec, m) || !trusted(m, job, now) ||
            !zone_ok(job, m.zone) || m.slowness > 1.8)
            continue;
        if (with_image && !m.has_image(job.spec.image)) continue;
        wire::Resources room = coming(m);
        if (need.fits(room)) {
            for (; out.tasks < tasks && need.fits(room); room -= need) {
                m.reserved += need;
                ++out.tasks;
            }
            continue;
        }
        preemption::Option option{
            room, {}, m.has_image(job.spec.image) ? 0 : 10 * job.spec.image_gb / m.fetch_gb_per_s};
        for (auto& [a, e] : m.entries) {
            if (e.exited() || e.stop || !e.may_yield || e.level <= job.spec.priority ||
                (kept_only && !e.saves))
                continue;
            Job* other = find_job(a.task.job);
            if (!other || (other->spec.sort == Sort::gang && other->spec.tasks > 1)) continue;
            // What another's guarantee covers goes on, unless this is within one as well: it would only be
            // given its room back.
            if (guarantees && e.account != quota::no_node &&
                !ledger_.may_yield(e.account, e.need, job.account) &&
                ledger_.covered(job.account, need, 1, ledger_.tree().common(e.account, job.account)) == 0)
                continue;
            option.victims.push_back(
                {victims.size(), e.need, loss(*other, e, now) - 10.0 * static_cast<double>(e.level)});
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
            bool hurry =
                job.spec.sort == Sort::service && other && start_slack(job, now) < other->spec.save_s + 1;
            note_stop(m, a, m.entries.at(a), other && !hurry ? grace_for(*other) : 0, now, "preempted");
            ++stopped;
        }
        out.stopped = true;
        ++on;
        for (std::uint32_t k = 0; k < step.tasks; ++k) m.reserved += need;
        out.tasks += step.tasks;
    }
    if (stopped)
        spdlog::info("{} makes room on {} machines, {} first: {} lower tasks stop", job.spec.id, on,
                     first->name, stopped);
    return out;
}

double Cluster::start_slack(const Job& job, TimePoint now) const {
    double slack = 1e9;
    for (auto& o : rules_.objectives)
        if (o.kind == "wait" && o.job_class == job.spec.job_class)
            slack = std::min(slack, o.within_s - Seconds(now - job.accepted).count());
    return slack;
}

// Waiting tasks of a job, in order, onto the machines that suit it best. `make_way`: lower work may be
// stopped where the image is, if a fetch would take too long. `may_fit`: false if its shape is known to fit
// nowhere.
Cluster::Served Cluster::serve(Job& job, std::uint32_t most, TimePoint now, bool make_way, bool may_fit) {
    Served out;
    const auto& s = job.spec;
    std::vector<Machine*> ranked;
    if (may_fit) ranked = rank(job, now);
    std::size_t at = 0;
    auto choose = [&]() -> Machine* {
        for (; at < ranked.size(); ++at) {
            if (s.need.fits(ranked[at]->unreserved()) && trusted(*ranked[at], job, now) &&
                ranked[at]->entries.size() < most_tasks() && zone_ok(job, ranked[at]->zone))
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
            touch(m->name);
            break;
        }
        if (m && make_way && s.priority <= Priority::high && !m->has_image(s.image)) {
            // The fetch alone would take longer than the start may: lower work yields where the image is.
            double slack = start_slack(job, now);
            if (slack > 0.2 && s.image_gb / m->fetch_gb_per_s > slack) {
                auto made = make_room(job, 1, now, true);
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
        ++out.placed;
        cursor = index + 1;
    }
    return out;
}

bool Cluster::round(TimePoint now) {
    if (queue_.waiting() == 0 || now < distrust_until_) return false;
    for (auto& [name, m] : machines_) {
        m->reserved = {};
        m->free = m->room();
    }
    std::size_t placed = 0;
    if (!ledger_.tree().guarantees()) return serve_levels(now, placed);
    bool acted = serve_guarantees(now, placed);
    acted |= serve_levels(now, placed);
    for (auto& [account, need] : promised_) ledger_.release(account, need);
    promised_.clear();
    return acted;
}

// The ordinary path: strict levels, first come first served.
bool Cluster::serve_levels(TimePoint now, std::size_t placed) {
    bool acted = false;
    // Shapes that fitted nowhere in this round need not be tried again: room only shrinks during a round. So
    // a long queue of like tasks costs one look, not a walk over all machines for each.
    std::set<std::string> misfits, stuck;  // stuck: no room can be made either
    for (int level = 0; level < wire::priority_levels; ++level) {
        std::vector<std::string> order;
        for (auto& p : queue_.level(level)) order.push_back(p.id);
        for (auto& id : order) {
            if (placed >= most_starts_a_round) return true;
            Job* job = find_job(id);
            if (!job || job->cancelled || now < job->retry_at) continue;
            const auto& s = job->spec;
            const std::string& shape = job->shape;
            const bool anywhere = !s.spread && !s.one_zone;  // what fits does not depend on its other tasks
            const std::string key = std::to_string(level) + "/" + shape;
            if (misfits.contains(shape) && (stuck.contains(key) || !may_preempt(*job, now))) continue;
            if (s.sort == Sort::gang) {
                if (place_gang(*job, now)) {
                    placed += s.tasks;
                    acted = true;
                } else if (job->places.empty()) {
                    if (s.tasks == 1) acted |= make_room(*job, 1, now, false).stopped;
                    if (anywhere && s.tasks == 1) misfits.insert(shape);
                }
                continue;
            }
            auto served = serve(*job, static_cast<std::uint32_t>(most_starts_a_round - placed), now, true,
                                !misfits.contains(shape));
            placed += served.placed;
            acted |= served.placed > 0 || served.stopped;
            if (!served.no_room) continue;
            if (anywhere) misfits.insert(shape);
            auto wanted = job->waiting.size();
            auto made = make_room(*job, wanted, now, false);
            acted |= made.stopped;
            if (anywhere && made.tasks < wanted && may_preempt(*job, now)) stuck.insert(key);
        }
    }
    return acted;
}

bool Cluster::runs_well(const Job& job, TimePoint now) const {
    if (!job.done.empty()) return true;
    for (auto& [index, list] : job.places)
        for (auto& [name, number] : list) {
            auto m = machines_.find(name);
            if (m == machines_.end()) continue;
            auto e = m->second->entries.find({{job.spec.id, index}, number});
            if (e != m->second->entries.end() && !e->second.exited() && e->second.running != TimePoint{} &&
                now - e->second.running > faults::proven_after)
                return true;
        }
    return false;
}

bool Cluster::trusted(const Machine& m, const Job& job, TimePoint now) const {
    return faults::trusted(m, job.spec.sort == Sort::service, job.failed_on.contains(m.name), now);
}

void Cluster::tick(TimePoint now) {
    for (auto& [name, mp] : machines_) {
        Machine& m = *mp;
        if (m.live() > 0) m.idle_since = now;
        faults::judge(m, now, [&] {
            return std::any_of(jobs_.begin(), jobs_.end(), [&](auto& kv) {
                return kv.second->failed_on.contains(m.name) &&
                       (kv.second->failed_on.size() < 3 || runs_well(*kv.second, now));
            });
        });
        if (m.taken_at || m.drain) {
            for (auto& [a, e] : m.entries) {
                if (e.exited() || e.stop) continue;
                Job* job = find_job(a.task.job);
                if (!job) continue;
                if (job->spec.checkpoint_s > 0 && e.phase == Phase::seen && e.state == TaskState::running) {
                    if (job->spec.sort == Sort::gang)
                        stop_gang(*job, grace_for(*job), now, "its machine goes away");
                    else
                        note_stop(m, a, e, grace_for(*job), now, "its machine goes away");
                } else if (m.drain && job->spec.sort != Sort::gang) {
                    note_stop(m, a, e, 0, now, "its machine is emptied");
                }
            }
        }
    }
    shrink(now);
}

// ---- writes --------------------------------------------------------------------------------------------

bool Cluster::waited_for(const Job& job) {
    return job.finished() || !job.unrecorded_errors.empty() ||
           (job.cancelled && (!job.cancel_durable || job.places.empty()));
}

bool Cluster::has_urgent_writes() const {
    return sheets_.any(false) || !queued_.empty() ||
           std::any_of(dirty_jobs_.begin(), dirty_jobs_.end(), [this](auto& id) {
               auto it = jobs_.find(id);
               return it != jobs_.end() && waited_for(*it->second);
           });
}

std::size_t Cluster::most_tasks() const {
    // The longest name of a task with its attempt takes 52 characters.
    return std::max<std::size_t>(1,
                                 (rules_.value_bytes - std::min<std::size_t>(rules_.value_bytes, 400)) / 56);
}

state::MachineRecord Cluster::record_of(const Machine& m, TimePoint now, std::int64_t wall_ms) const {
    state::MachineRecord r{m.name, m.address, m.type, m.zone, m.spot, 0, {}};
    r.rented_ms = wall_ms - std::chrono::duration_cast<std::chrono::milliseconds>(now - m.rented).count();
    for (auto& [a, e] : m.entries)
        if (!e.exited() || e.late || unrecorded_error(a, e)) r.attempts.push_back(a);
    return r;
}

std::vector<Write> Cluster::take_writes(std::size_t max_ops, std::size_t max_bytes, TimePoint now,
                                        std::int64_t wall_ms, bool progress) {
    std::vector<Write> out;
    std::size_t bytes = 0;
    auto add = [&](Write w) {
        // The limits are counted as JSON text; MessagePack is never longer by much, so measure as JSON.
        bytes += w.key.size() + 40 + (w.value ? text_size(*w.value) : 0);
        out.push_back(std::move(w));
    };
    auto full = [&] { return out.size() >= max_ops || bytes >= max_bytes; };
    while (!queued_.empty() && !full()) {
        add(std::move(queued_.front()));
        queued_.pop_front();
    }
    while (!full()) {
        auto due = sheets_.due(progress);
        if (due.empty()) break;
        auto number = due.front();
        Json value = Json::array();
        std::vector<std::pair<std::string, Attempt>> fresh;
        for (auto& name : sheets_.machines(number)) {
            Machine* m = find_machine(name);
            if (!m) continue;
            value.push_back(state::to_json(record_of(*m, now, wall_ms)));
            for (auto& [a, e] : m->entries)
                if (e.phase == Phase::recording) fresh.emplace_back(name, a);
        }
        std::size_t size = text_size(value);
        if (!sheets_.fits(number, size)) continue;
        if (!out.empty() && bytes + size > max_bytes) break;
        sheets_.taken(number);
        add({state::sheet_key(number), std::move(value), [this, number, fresh = std::move(fresh)] {
                 sheets_.durable(number);
                 for (auto& [name, a] : fresh) {
                     Machine* m = find_machine(name);
                     if (!m) continue;
                     auto it = m->entries.find(a);
                     if (it != m->entries.end() && it->second.phase == Phase::recording)
                         it->second.phase = Phase::ready;
                     touch(name);
                 }
             }});
    }
    for (auto it = dirty_jobs_.begin();
         it != dirty_jobs_.end() && out.size() + 3 <= max_ops && bytes < max_bytes;) {
        std::string id = *it;
        Job* job = find_job(id);
        if (job && !progress && !waited_for(*job)) {
            ++it;
            continue;
        }
        it = dirty_jobs_.erase(it);
        if (!job) continue;
        job->dirty = false;
        bool over = job->cancelled ? (job->cancel_durable && job->places.empty()) : job->finished();
        if (over) {
            state::PastRecord past{job->failed      ? wire::Standing::failed
                                   : job->cancelled ? wire::Standing::cancelled
                                                    : wire::Standing::done,
                                   job->done.size(), job->error_count};
            add({state::past_key(id), state::to_json(past), [this, id, past] {
                     Job* j = find_job(id);
                     if (!j) return;
                     spdlog::debug("job {} is over: {}", id, wire::standing_name(past.standing));
                     past_[id] = past;
                     for (auto& [index, list] : j->places)
                         for (auto& [name, number] : list) touch(name);
                     queue_.set_waiting(j->spec.priority, {j->accepted_ms, id}, j->waiting.size(), 0);
                     for (auto& [name, m] : machines_)
                         for (auto& [a, e] : m->entries)
                             if (a.task.job == id) touch(name);
                     jobs_.erase(id);
                 }});
            add({state::job_key(id), std::nullopt, {}});
            if (job->progress_written) add({state::progress_key(id), std::nullopt, {}});
        } else {
            state::Progress p{job->done, job->cancelled, job->failed, job->errors, job->error_count};
            add({state::progress_key(id), state::to_json(p, job->spec.tasks), [this, id, p] {
                     Job* j = find_job(id);
                     if (!j) return;
                     j->durable_done = p.done;
                     errors_recorded(*j, p.errors);
                     if (p.cancelled) {
                         j->cancel_durable = true;
                         if (j->places.empty()) mark_dirty(*j);
                     }
                     for (auto& [name, m] : machines_)
                         for (auto& [a, e] : m->entries)
                             if (e.exited() && a.task.job == id) touch(name);
                 }});
            job->progress_written = true;
        }
    }
    return out;
}

void Cluster::write_failed(std::vector<Write> writes) {
    // Values are absolute: machines and jobs are written anew from what is known by then.
    std::deque<Write> again;
    for (auto& w : writes) {
        if (auto sheet = state::parse_sheet_key(w.key)) {
            sheets_.failed(*sheet);
        } else if (w.key.starts_with("progress/") && w.value) {
            dirty_jobs_.insert(w.key.substr(9));
        } else if (w.key.starts_with("past/")) {
            dirty_jobs_.insert(w.key.substr(5));
        } else if (w.key.starts_with("jobs/") || w.key.starts_with("progress/")) {
            // goes with its past/ record
        } else {
            again.push_back(std::move(w));
        }
    }
    while (!again.empty()) {
        queued_.push_front(std::move(again.back()));
        again.pop_back();
    }
}

}  // namespace barrowrun::placement
