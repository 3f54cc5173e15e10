// The records of jobs and machines: which writes are pending, and their effects once they are durable.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "placement/cluster.hpp"

namespace barrowrun::placement {
using wire::Json;

using wire::JobKind;

namespace {
// How long a record that the state service does not take is left alone.
constexpr std::chrono::seconds rejected_write_pause{30};
// Most bytes of a machine in its record: without its attempts, and of the name and number of each.
constexpr std::size_t max_machine_bytes = 400, max_attempt_bytes = 56;
}  // namespace

bool Cluster::write_is_urgent(const Job& job) {
    return job.finished() || !job.unrecorded_errors.empty() ||
           (job.cancelled && (!job.cancel_durable || job.placements.empty()));
}

bool Cluster::has_urgent_writes() const {
    return shards_.any_due(false) || !queued_writes_.empty() ||
           std::any_of(pending_jobs_.begin(), pending_jobs_.end(), [this](auto& id) {
               auto it = jobs_.find(id);
               return it != jobs_.end() && !rejected_jobs_.contains(id) && write_is_urgent(*it->second);
           });
}

std::size_t Cluster::max_tasks_per_machine() const {
    const auto bytes = config_.max_record_bytes() - std::min(config_.max_record_bytes(), max_machine_bytes);
    return std::max<std::size_t>(1, bytes / max_attempt_bytes);
}

std::size_t Cluster::task_slots(const Machine& m) const {
    return max_tasks_per_machine() - std::min(max_tasks_per_machine(), m.assignments.size());
}

state::MachineRecord Cluster::record_of(const Machine& m, TimePoint now, std::int64_t wall_ms) const {
    state::MachineRecord r{m.name, m.address, m.type, m.zone, m.spot, 0, {}, m.latest_agent_epoch()};
    r.provisioned_ms =
        wall_ms - std::chrono::duration_cast<std::chrono::milliseconds>(now - m.provisioned_at).count();
    for (auto& [a, e] : m.assignments)
        if (!e.exited() || e.launch_unanswered || has_unrecorded_error(a, e)) r.attempts.push_back(a);
    return r;
}

std::vector<Write> Cluster::take_writes(std::size_t max_ops, std::size_t max_bytes, TimePoint now,
                                        std::int64_t wall_ms, bool progress) {
    WriteBatch batch(max_ops, max_bytes);
    while (!queued_writes_.empty() && batch.add({queued_writes_.front()})) queued_writes_.pop_front();
    take_shard_writes(batch, now, wall_ms, progress);
    for (auto it = pending_jobs_.begin(); it != pending_jobs_.end();) {
        Job* job = find_job(*it);
        if (job && (rejected_jobs_.contains(*it) || (!progress && !write_is_urgent(*job)))) {
            ++it;
            continue;
        }
        if (job && !take_job_writes(*job, batch)) break;
        if (job) job->write_pending = false;
        it = pending_jobs_.erase(it);
    }
    return batch.take();
}

void Cluster::take_shard_writes(WriteBatch& batch, TimePoint now, std::int64_t wall_ms, bool all) {
    for (;;) {
        auto due = shards_.due(all);
        if (due.empty()) return;
        auto number = due.front();
        Json value = Json::array();
        std::vector<RecordedStart> starts;
        for (auto& name : shards_.machines(number)) {
            Machine* m = find_machine(name);
            if (!m) continue;
            value.push_back(state::to_json(record_of(*m, now, wall_ms)));
            for (auto& [a, e] : m->assignments)
                if (e.phase == AssignmentPhase::recording) starts.push_back({name, a, m->agent_epoch});
        }
        if (!shards_.record_size(number, wire::text_size(value))) continue;
        const bool added =
            batch.add({{state::assignment_shard_key(number), std::move(value),
                        [this, number, starts = std::move(starts)] { on_shard_durable(number, starts); }}});
        if (!added) return;
        shards_.on_write_sent(number);
    }
}

void Cluster::on_shard_durable(std::uint32_t shard, const std::vector<RecordedStart>& starts) {
    shards_.on_write_durable(shard);
    for (auto& start : starts) {
        Machine* m = find_machine(start.machine);
        // A start of an earlier agent epoch is being recorded again.
        if (!m || m->agent_epoch != start.agent_epoch) continue;
        auto it = m->assignments.find(start.attempt);
        if (it != m->assignments.end() && it->second.phase == AssignmentPhase::recording)
            it->second.phase = AssignmentPhase::ready;
        mark_command_pending(start.machine);
    }
}

bool Cluster::take_job_writes(Job& job, WriteBatch& batch) {
    bool ended = job.cancelled ? (job.cancel_durable && job.placements.empty()) : job.finished();
    ended &= job.delegated.empty();  // not while an executor cell has a shard of the job
    return ended ? take_end(job, batch) : take_progress(job, batch);
}

// The end and the deletion of the job's record are one transaction. Further progress records are deleted
// after it: without the job, nobody reads them.
bool Cluster::take_end(Job& job, WriteBatch& batch) {
    const std::string id = job.spec.id;
    state::FinishedRecord finished{job.failed      ? wire::JobState::failed
                                   : job.cancelled ? wire::JobState::cancelled
                                                   : wire::JobState::done,
                                   job.done.size(), job.error_count};
    std::vector<Write> writes{{state::finished_key(id), state::to_json(finished),
                               [this, id, finished] { on_end_durable(id, finished); }},
                              {state::job_key(id), std::nullopt, {}}};
    if (job.progress_written) writes.push_back({state::progress_key(id), std::nullopt, {}});
    if (!batch.add(std::move(writes))) return false;
    job.write_in_flight |= !job.cancel_durable;
    return true;
}

void Cluster::on_end_durable(const std::string& id, const state::FinishedRecord& finished) {
    Job* job = find_job(id);
    if (!job) return;
    spdlog::debug("job {}: end recorded as {}", id, wire::job_state_name(finished.state));
    finished_jobs_[id] = finished;
    for (auto& [index, list] : job->placements)
        for (auto& [name, number] : list) mark_command_pending(name);
    for (auto tasks : job->progress_parts) enqueue({state::progress_part_key(id, tasks), std::nullopt, {}});
    queue_.set_waiting(job->spec.priority, {job->accepted_ms, id}, job->waiting.size(), 0);
    release_shape(*job);
    if (job->fully_scheduled || job->start_overdue)
        starvation_.record_finished_job(job->spec.job_class, job->spec.team, job->fully_scheduled);
    jobs_.erase(id);
}

// The main record comes first only if there is none yet: without it the others are not looked for. Otherwise
// it comes last: tasks that move from it to a record of their own, after a change of the layout, are on
// record there first.
bool Cluster::take_progress(Job& job, WriteBatch& batch) {
    const state::ProgressLayout layout(job.spec, config_.max_record_bytes());
    const bool first = !job.progress_written;
    if (first && !take_main_progress(job, layout.main(), batch)) return false;
    const auto parts = layout.parts();
    for (auto tasks : parts)
        if (has_unrecorded_tasks(job, tasks) && !take_progress_part(job, tasks, batch)) return false;
    const bool unchanged =
        !parts.empty() && !job.cancelled && !job.spec.retries && !has_unrecorded_tasks(job, layout.main());
    return first || unchanged || take_main_progress(job, layout.main(), batch);
}

bool Cluster::has_unrecorded_tasks(const Job& job, state::TaskRange tasks) {
    return job.done.within(tasks.first, tasks.end).size() !=
           job.durable_done.within(tasks.first, tasks.end).size();
}

bool Cluster::take_progress_part(Job& job, state::TaskRange tasks, WriteBatch& batch) {
    const std::string id = job.spec.id;
    auto on_durable = [this, id, done = job.done.within(tasks.first, tasks.end)] {
        if (Job* j = find_job(id)) j->durable_done.insert(done);
    };
    Write write{state::progress_part_key(id, tasks), state::progress_part_json(job.done, tasks),
                std::move(on_durable)};
    if (!batch.add({std::move(write)})) return false;
    job.progress_parts.insert(tasks);
    return true;
}

bool Cluster::take_main_progress(Job& job, state::TaskRange tasks, WriteBatch& batch) {
    const std::string id = job.spec.id;
    state::Progress p{job.done.within(tasks.first, tasks.end), job.cancelled, job.failed, job.errors,
                      job.error_count};
    Json value = state::to_json(p, tasks.end);
    Write write{state::progress_key(id), std::move(value), [this, id, p] { on_progress_durable(id, p); }};
    if (!batch.add({std::move(write)})) return false;
    job.write_in_flight |= job.cancelled && !job.cancel_durable;
    job.progress_written = true;
    return true;
}

void Cluster::on_progress_durable(const std::string& id, const state::Progress& written) {
    Job* job = find_job(id);
    if (!job) return;
    job->durable_done.insert(written.done);
    on_errors_recorded(*job, written.errors);
    if (!written.cancelled) return;
    job->cancel_durable = true;
    job->write_in_flight = job->write_unanswered = false;
    if (job->placements.empty()) mark_write_pending(*job);
}

// The write of a record that changes the job state shown to users has ended without success.
void Cluster::on_state_change_failed(const std::string& key, bool may_be_executed) {
    const auto progress = state::parse_progress_key(key);
    std::string id;
    if (progress && !progress->part) id = progress->job;
    if (key.starts_with("past/")) id = key.substr(5);
    Job* job = find_job(id);
    if (!job || !job->write_in_flight) return;
    job->write_in_flight = false;
    job->write_unanswered |= may_be_executed;
}

void Cluster::write_failed(std::vector<Write> writes, bool may_be_executed) {
    // Each value is a complete record, so the records of machines and jobs are built again from the
    // state at the time of the next write.
    std::deque<Write> other_writes;
    for (auto& w : writes) {
        on_state_change_failed(w.key, may_be_executed);
        const auto progress = state::parse_progress_key(w.key);
        if (auto shard = state::parse_assignment_shard_key(w.key)) {
            shards_.on_write_failed(*shard);
        } else if (progress && w.value) {
            pending_jobs_.insert(progress->job);
        } else if (w.key.starts_with("past/")) {
            pending_jobs_.insert(w.key.substr(5));
        } else if (w.key.starts_with("jobs/") || (progress && !progress->part)) {
            // written again together with the job's past/ record
        } else {
            other_writes.push_back(std::move(w));
        }
    }
    while (!other_writes.empty()) {
        queued_writes_.push_front(std::move(other_writes.back()));
        other_writes.pop_back();
    }
}

void Cluster::write_rejected(std::vector<Write> writes, TimePoint now) {
    for (auto& w : writes) {
        on_state_change_failed(w.key, false);
        spdlog::error("record {}: the state service does not take it ({} bytes), tried again in {} s", w.key,
                      w.value ? wire::text_size(*w.value) : 0, rejected_write_pause.count());
    }
    const std::string& first = writes.front().key;
    if (auto shard = state::parse_assignment_shard_key(first)) {
        shards_.on_write_rejected(*shard);
        return_starts(*shard, now);
    } else if (auto progress = state::parse_progress_key(first); progress && writes.front().value) {
        rejected_jobs_.insert(progress->job);
        pending_jobs_.insert(progress->job);
    } else if (first.starts_with("past/")) {
        rejected_jobs_.insert(first.substr(5));
        pending_jobs_.insert(first.substr(5));
    }
    rejected_writes_.push_back({now + rejected_write_pause, std::move(writes)});
}

// The starts on the shard's machines can't be recorded, so the tasks go back to their queues. Its machines
// get no further ones until the record is tried again.
void Cluster::return_starts(std::uint32_t shard, TimePoint now) {
    for (auto& name : shards_.machines(shard)) {
        Machine* m = find_machine(name);
        if (!m) continue;
        m->no_starts_before = now + rejected_write_pause;
        std::vector<Attempt> unrecorded;
        for (auto& [a, e] : m->assignments)
            if (e.phase == AssignmentPhase::recording) unrecorded.push_back(a);
        for (auto& a : unrecorded) {
            auto it = m->assignments.find(a);
            if (it == m->assignments.end()) continue;
            Job* job = find_job(a.task.job);
            if (job && job->spec.kind == JobKind::gang)
                stop_gang(*job, 0, now, "its start can't be recorded");
            else
                request_stop(*m, a, it->second, 0, now, "its start can't be recorded");
        }
        drop_unsent_starts(*m);
    }
}

void Cluster::retry_rejected_writes(TimePoint now) {
    while (!rejected_writes_.empty() && rejected_writes_.front().retry_at <= now) {
        auto writes = std::move(rejected_writes_.front().writes);
        rejected_writes_.pop_front();
        const auto progress = state::parse_progress_key(writes.front().key);
        rejected_jobs_.erase(progress ? progress->job
                                      : writes.front().key.substr(writes.front().key.find('/') + 1));
        write_failed(std::move(writes));
    }
}

}  // namespace barrowrun::placement
