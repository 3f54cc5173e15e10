// Life cycle of jobs: acceptance, waiting, failures, cancellation and end.
#include "placement/cluster.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace barrowrun::placement {
using wire::Cause;
using wire::JobKind;

namespace {
// The tasks of a gang fail together, so their failures are counted under its first task.
std::uint32_t error_key(const Job& job, std::uint32_t index) {
    return job.spec.kind == JobKind::gang ? 0 : index;
}
}  // namespace

wire::JobState Job::job_state() const {
    if (cancel_durable) return failed ? wire::JobState::failed : wire::JobState::cancelled;
    if (finished() && durable_done.size() == spec.tasks) return wire::JobState::done;
    return placements.empty() && delegated.empty() ? wire::JobState::queued : wire::JobState::running;
}

std::vector<quota::TeamQuota> quota_teams(const std::map<std::string, TeamLimits>& teams) {
    // A guarantee or limit of 0 means that none is set.
    auto if_positive = [](double x) { return x > 0 ? std::optional<double>(x) : std::nullopt; };
    std::vector<quota::TeamQuota> out;
    for (auto& [name, t] : teams)
        out.push_back({name,
                       {if_positive(t.cpus_max), if_positive(t.gpus_max), std::nullopt},
                       {if_positive(t.cpus), if_positive(t.gpus), std::nullopt}});
    return out;
}

namespace {
quota::TreePtr first_tree(const Config& config) {
    auto teams = quota_teams(config.teams);
    if (auto built = quota::Tree::build(config.quotas.value_or(std::vector<quota::QuotaEntry>{}), teams);
        built.tree)
        return built.tree;
    // Settings are validated when they are read, but a team of the platform may still have a guarantee above
    // its limit. The limit takes precedence, and the guarantees are dropped.
    spdlog::error("quotas: the quota tree is invalid; only the limits of the platform's teams apply");
    for (auto& t : teams) t.guarantee = {};
    return quota::Tree::build({}, teams).tree;
}
}  // namespace

Cluster::Cluster(Config config)
    : config_(std::move(config)),
      queue_(config_.queue_bound),
      shards_(config_.max_record_bytes()),
      ledger_(first_tree(config_)) {}

bool fits_type(const wire::JobSpec& spec, const wire::MachineType& t) {
    if (spec.types && std::find(spec.types->begin(), spec.types->end(), t.name) == spec.types->end())
        return false;
    if (spec.zone && std::find(t.zones.begin(), t.zones.end(), *spec.zone) == t.zones.end()) return false;
    return spec.need.fits({t.cpus, t.gpus, t.mem_gb});
}

bool fits_some_type(const wire::JobSpec& spec, const std::vector<wire::MachineType>& types) {
    return std::any_of(types.begin(), types.end(), [&](auto& t) { return fits_type(spec, t); });
}

void Cluster::set_types(std::vector<wire::MachineType> types) {
    for (auto& t : types) types_[t.name] = t;
    longest_cpu_boot_s_ = 0;
    for (auto& [name, t] : types_)
        if (t.gpus <= 0) longest_cpu_boot_s_ = std::max(longest_cpu_boot_s_, t.boot_s);
    for (auto& [id, job] : jobs_) job->candidate_class_count = 0;
    for (auto& [name, m] : machines_) {
        capacity_index_.mark_changed(*m);
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
    auto [it, inserted] = jobs_.try_emplace(record.spec.id);
    if (!inserted) return *it->second;
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
    auto& shape = shapes_[job.shape];
    if (shape.jobs++ == 0) {
        shape.number = static_cast<std::uint32_t>(shapes_.size() - 1);
        if (!free_shapes_.empty()) shape.number = free_shapes_.back(), free_shapes_.pop_back();
    }
    job.shape_number = shape.number;
    for (auto& objective : config_.objectives)
        if (objective.job_class == s.job_class) job.objectives.push_back(&objective);
    job.accepted = now - std::chrono::milliseconds(
                             std::clamp<std::int64_t>(wall_ms - record.accepted_ms, 0, 86'400'000));
    if (progress) {
        recover_done_tasks(job, *progress);
        job.cancelled = job.cancel_durable = progress->cancelled;
        job.failed = progress->failed;
        job.errors = progress->errors;
        job.error_count = progress->total;
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
    // Workers may have reported tasks of the job before this leader knew it. Only then are the assignments of
    // all machines searched for its tasks.
    if (unknown_jobs_.erase(job.spec.id) > 0)
        for (auto& [name, m] : machines_)
            for (auto& [a, e] : m->assignments)
                if (a.task.job == job.spec.id && a.task.index < job.spec.tasks && !e.exited()) {
                    occupy(job, a, e, *m);
                }
    job.fully_scheduled = job.waiting.empty();
    if (job.cancelled || job.finished() || job.durable_done.size() < job.done.size()) mark_write_pending(job);
    return job;
}

// Tasks that a record of another layout names are done, but not durable: they are written again, to the
// records of this layout, before the other record may be overwritten or deleted.
void Cluster::recover_done_tasks(Job& job, const state::Progress& progress) {
    const state::ProgressLayout layout(job.spec, config_.max_record_bytes());
    const auto main = layout.main();
    job.progress_written = true;
    job.done = progress.done;
    job.durable_done = progress.done.within(main.first, main.end);
    const auto parts = layout.parts();
    for (auto& [tasks, done] : progress.parts) {
        job.progress_parts.insert(tasks);
        job.done.insert(done);
        if (std::find(parts.begin(), parts.end(), tasks) != parts.end()) job.durable_done.insert(done);
    }
}

void Cluster::release_shape(const Job& job) {
    auto it = shapes_.find(job.shape);
    if (it == shapes_.end() || --it->second.jobs > 0) return;
    free_shapes_.push_back(it->second.number);
    shapes_.erase(it);
}

Job* Cluster::find_job(const std::string& id) {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : it->second.get();
}

std::optional<state::FinishedRecord> Cluster::finished_job(const std::string& id) const {
    auto it = finished_jobs_.find(id);
    if (it == finished_jobs_.end()) return std::nullopt;
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
    if (job.waiting.empty() && !job.cancelled) job.fully_scheduled = true;
}

bool Cluster::start_is_overdue(const Job& job, TimePoint now) const {
    double max_wait_s = std::max(60.0, 2 * longest_cpu_boot_s_);
    for (auto* objective : job.objectives)
        if (objective->kind == "wait") max_wait_s = std::max(max_wait_s, objective->within_s);
    // A job that waits because of its own limit is not starved by other jobs.
    return now - job.accepted > secs(max_wait_s) && ledger_.admits(job.account, job.spec.need, 1);
}

std::vector<StarvationMonitor::Finding> Cluster::check_starvation(TimePoint now) {
    starvation_.begin_pass(now);
    for (auto& [id, job] : jobs_) {
        if (job->cancelled) continue;
        job->start_overdue = !job->fully_scheduled && start_is_overdue(*job, now);
        if (job->fully_scheduled || job->start_overdue)
            starvation_.observe(job->spec.job_class, job->spec.team, job->fully_scheduled);
    }
    return starvation_.end_pass(now);
}

void Cluster::mark_write_pending(Job& job) {
    if (job.runs_for_origin_cell) {
        changed_delegated_shards_.insert(job.spec.id);
        return;
    }
    job.write_pending = true;
    pending_jobs_.insert(job.spec.id);
}

void Cluster::cancel(Job& job, TimePoint now) {
    if (job.cancelled) return;
    job.cancelled = true;
    queue_.set_waiting(job.spec.priority, {job.accepted_ms, job.spec.id}, job.waiting.size(), 0);
    job.waiting = {};
    // Further results of the tasks are discarded, so they get no time to checkpoint.
    auto placements = job.placements;
    for (auto& [index, list] : placements)
        for (auto& [name, number] : list)
            if (Machine* m = find_machine(name)) {
                Attempt a{{job.spec.id, index}, number};
                auto it = m->assignments.find(a);
                if (it != m->assignments.end()) request_stop(*m, a, it->second, 0, now, "cancelled");
            }
    mark_write_pending(job);
}

std::set<std::string> Cluster::machines_with_cancelled_tasks() const {
    std::set<std::string> out;
    for (auto& [id, job] : jobs_)
        if (job->cancelled)
            for (auto& [index, list] : job->placements)
                for (auto& [name, number] : list) out.insert(name);
    return out;
}

void Cluster::unplace(Job& job, std::uint32_t index, const std::string& machine, std::uint64_t attempt) {
    auto it = job.placements.find(index);
    if (it != job.placements.end()) {
        std::erase(it->second, std::pair(machine, attempt));
        if (!it->second.empty()) return;
        job.placements.erase(it);
    }
    if (!job.done.contains(index) && !job.cancelled && !job.unrecorded_errors.contains(error_key(job, index)))
        set_waiting(job, index, true);
    if ((job.cancelled || job.finished()) && job.placements.empty()) mark_write_pending(job);
}

void Cluster::finish_task(Job& job, std::uint32_t index) {
    if (!job.done.insert(index)) return;
    set_waiting(job, index, false);
    job.errors.erase(index);
    mark_write_pending(job);
}

// ---- counted failures ----------------------------------------------------------------------------------

void Cluster::count_error(Job& job, const Machine& m, const Attempt& a, TimePoint now) {
    if (!job.spec.retries || job.cancelled || job.finished() || job.done.contains(a.task.index)) return;
    auto key = error_key(job, a.task.index);
    auto& errors = job.errors[key];
    // The failure was counted before: from this worker, by a predecessor or, in a gang, for another task.
    if (a.number <= errors.last) return;
    errors.count++;
    errors.last = a.number;
    job.unrecorded_errors.insert(key);
    job.error_count->errors++;
    job.error_count->last = wire::Failure{a.task.str(), m.name, a.number};
    mark_write_pending(job);
    // The record names every task that failed and is not done. The job fails before this record outgrows the
    // size limit of a value.
    bool too_many = job.errors.size() > state::max_failed_tasks(config_.max_record_bytes());
    if (errors.count <= *job.spec.retries && !too_many) return;
    spdlog::info("job {}: failed: task {} failed {} times, last on machine {}{}", job.spec.id, a.task.str(),
                 errors.count, m.name, too_many ? "; too many of its tasks have failed" : "");
    job.failed = true;
    cancel(job, now);
}

void Cluster::on_errors_recorded(Job& job, const std::map<std::uint32_t, state::TaskFailures>& written) {
    for (auto it = job.unrecorded_errors.begin(); it != job.unrecorded_errors.end();) {
        auto current = job.errors.find(*it);
        auto recorded = written.find(*it);
        if (current != job.errors.end() &&
            (recorded == written.end() || recorded->second != current->second)) {
            ++it;
            continue;
        }
        auto key = *it;
        it = job.unrecorded_errors.erase(it);
        if (job.cancelled) continue;
        const bool gang = job.spec.kind == JobKind::gang;
        for (std::uint32_t i = gang ? 0 : key; i < (gang ? job.spec.tasks : key + 1); ++i)
            if (!job.placements.contains(i) && !job.done.contains(i)) set_waiting(job, i, true);
    }
}

bool Cluster::has_unrecorded_error(const Attempt& a, const Assignment& e) const {
    if (e.cause != Cause::error) return false;
    auto it = jobs_.find(a.task.job);
    if (it == jobs_.end() || it->second->cancelled) return false;
    return it->second->unrecorded_errors.contains(error_key(*it->second, a.task.index));
}

}  // namespace barrowrun::placement
