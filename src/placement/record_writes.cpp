// The records of jobs and machines: which writes are pending, and their effects once they are durable.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "placement/cluster.hpp"

namespace barrowrun::placement {
using wire::Json;

namespace {
// A start whose record is being written, and the agent epoch that the record allows for it.
struct RecordedStart {
    std::string machine;
    Attempt attempt;
    std::uint64_t agent_epoch;
};

}  // namespace

bool Cluster::write_is_urgent(const Job& job) {
    return job.finished() || !job.unrecorded_errors.empty() ||
           (job.cancelled && (!job.cancel_durable || job.placements.empty()));
}

bool Cluster::has_urgent_writes() const {
    return shards_.any_due(false) || !queued_writes_.empty() ||
           std::any_of(pending_jobs_.begin(), pending_jobs_.end(), [this](auto& id) {
               auto it = jobs_.find(id);
               return it != jobs_.end() && write_is_urgent(*it->second);
           });
}

std::size_t Cluster::max_tasks_per_machine() const {
    // The longest task name together with its attempt number takes 52 characters.
    return std::max<std::size_t>(
        1, (config_.value_bytes - std::min<std::size_t>(config_.value_bytes, 400)) / 56);
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
    std::vector<Write> out;
    std::size_t bytes = 0;
    auto add = [&](Write w) {
        // Measured as JSON text, which the state service's limits count; MessagePack is never much longer.
        bytes += w.key.size() + 40 + (w.value ? wire::text_size(*w.value) : 0);
        out.push_back(std::move(w));
    };
    auto full = [&] { return out.size() >= max_ops || bytes >= max_bytes; };
    while (!queued_writes_.empty() && !full()) {
        add(std::move(queued_writes_.front()));
        queued_writes_.pop_front();
    }
    while (!full()) {
        auto due = shards_.due(progress);
        if (due.empty()) break;
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
        std::size_t size = wire::text_size(value);
        if (!shards_.record_size(number, size)) continue;
        if (!out.empty() && bytes + size > max_bytes) break;
        shards_.on_write_sent(number);
        add({state::assignment_shard_key(number), std::move(value),
             [this, number, starts = std::move(starts)] {
                 shards_.on_write_durable(number);
                 for (auto& start : starts) {
                     Machine* m = find_machine(start.machine);
                     // A start of an earlier agent epoch is being recorded again.
                     if (!m || m->agent_epoch != start.agent_epoch) continue;
                     auto it = m->assignments.find(start.attempt);
                     if (it != m->assignments.end() && it->second.phase == AssignmentPhase::recording)
                         it->second.phase = AssignmentPhase::ready;
                     mark_command_pending(start.machine);
                 }
             }});
    }
    for (auto it = pending_jobs_.begin();
         it != pending_jobs_.end() && out.size() + 3 <= max_ops && bytes < max_bytes;) {
        std::string id = *it;
        Job* job = find_job(id);
        if (job && !progress && !write_is_urgent(*job)) {
            ++it;
            continue;
        }
        it = pending_jobs_.erase(it);
        if (!job) continue;
        job->write_pending = false;
        bool ended = job->cancelled ? (job->cancel_durable && job->placements.empty()) : job->finished();
        ended &= job->delegated.empty();  // not while an executor cell has a shard of the job
        job->write_in_flight |= (ended || job->cancelled) && !job->cancel_durable;
        if (ended) {
            state::FinishedRecord finished{job->failed      ? wire::JobState::failed
                                           : job->cancelled ? wire::JobState::cancelled
                                                            : wire::JobState::done,
                                           job->done.size(), job->error_count};
            add({state::finished_key(id), state::to_json(finished), [this, id, finished] {
                     Job* j = find_job(id);
                     if (!j) return;
                     spdlog::debug("job {}: end recorded as {}", id, wire::job_state_name(finished.state));
                     finished_jobs_[id] = finished;
                     for (auto& [index, list] : j->placements)
                         for (auto& [name, number] : list) mark_command_pending(name);
                     queue_.set_waiting(j->spec.priority, {j->accepted_ms, id}, j->waiting.size(), 0);
                     release_shape(*j);
                     if (j->fully_scheduled || j->start_overdue)
                         starvation_.record_finished_job(j->spec.job_class, j->spec.team, j->fully_scheduled);
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
                     on_errors_recorded(*j, p.errors);
                     if (p.cancelled) {
                         j->cancel_durable = true;
                         j->write_in_flight = j->write_unanswered = false;
                         if (j->placements.empty()) mark_write_pending(*j);
                     }
                 }});
            job->progress_written = true;
        }
    }
    return out;
}

void Cluster::write_failed(std::vector<Write> writes, bool may_be_executed) {
    // Each value is a complete record, so the records of machines and jobs are built again from the
    // state at the time of the next write.
    std::deque<Write> other_writes;
    for (auto& w : writes) {
        if (auto* job = find_job(w.key.substr(w.key.find('/') + 1)); job && job->write_in_flight) {
            job->write_in_flight = false;
            job->write_unanswered |= may_be_executed;
        }
        if (auto shard = state::parse_assignment_shard_key(w.key)) {
            shards_.on_write_failed(*shard);
        } else if (w.key.starts_with("progress/") && w.value) {
            pending_jobs_.insert(w.key.substr(9));
        } else if (w.key.starts_with("past/")) {
            pending_jobs_.insert(w.key.substr(5));
        } else if (w.key.starts_with("jobs/") || w.key.starts_with("progress/")) {
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

}  // namespace barrowrun::placement
