// Delegation of tasks to executor cells, and execution of shards that origin cells delegated to this one.
#include <algorithm>

#include "placement/cluster.hpp"

namespace barrowrun::placement {

IndexSet Cluster::delegate(Job& job, std::uint32_t max_tasks) {
    IndexSet out;
    if (job.cancelled || job.runs_for_origin_cell) return out;
    // The last tasks in order are delegated, since the first ones start next in this cell.
    std::uint32_t kept_waiting = job.waiting.size() - std::min(job.waiting.size(), max_tasks);
    job.waiting.each([&](std::uint32_t i) {
        if (kept_waiting > 0)
            --kept_waiting;
        else if (!job.placements.contains(i))
            out.insert(i);
    });
    delegate(job, out);
    return out;
}

void Cluster::delegate(Job& job, const IndexSet& tasks) {
    tasks.each([&](std::uint32_t i) {
        if (i >= job.spec.tasks || job.done.contains(i)) return;
        set_waiting(job, i, false);
        job.delegated.insert(i);
    });
}

void Cluster::reclaim_delegated(Job& job, const IndexSet& tasks, const IndexSet& done) {
    tasks.each([&](std::uint32_t i) {
        if (i >= job.spec.tasks) return;
        job.delegated.erase(i);
        if (done.contains(i))
            finish_task(job, i);
        else if (!job.done.contains(i) && !job.cancelled && !job.placements.contains(i))
            set_waiting(job, i, true);
    });
    mark_write_pending(job);
}

Job& Cluster::add_delegated_shard(const state::JobRecord& record, const IndexSet& tasks, const IndexSet& done,
                                  TimePoint now, std::int64_t wall_ms) {
    state::Progress progress;
    progress.done = IndexSet::full(record.spec.tasks);
    tasks.each([&](std::uint32_t i) {
        if (!done.contains(i)) progress.done.erase(i);
    });
    Job& job = add_job(record, &progress, now, wall_ms);
    // Only the origin cell writes the record of the job's progress. If all tasks of the shard are done,
    // add_job() has added the job to the pending writes, from which it is removed here.
    job.runs_for_origin_cell = true;
    job.durable_done = progress.done;
    pending_jobs_.erase(record.spec.id);
    changed_delegated_shards_.insert(record.spec.id);
    return job;
}

void Cluster::delegated_results_recorded(Job& job, const IndexSet& done) {
    job.durable_done.insert(done);
    for (auto& [index, list] : job.placements)
        for (auto& [name, number] : list) mark_command_pending(name);
}

void Cluster::drop_delegated_shard(Job& job) {
    const auto id = job.spec.id;
    for (auto& [index, list] : job.placements)
        for (auto& [name, number] : list) mark_command_pending(name);
    queue_.set_waiting(job.spec.priority, {job.accepted_ms, id}, job.waiting.size(), 0);
    release_shape(job);
    changed_delegated_shards_.erase(id);
    jobs_.erase(id);
}

bool Cluster::fits_some_type(const wire::JobSpec& spec) const {
    return std::any_of(types_.begin(), types_.end(), [&](auto& t) { return fits_type(spec, t.second); });
}

void Cluster::for_each_free_capacity(TimePoint now,
                                     const std::function<void(const wire::Resources&)>& each) const {
    for (auto& [name, m] : machines_)
        if (schedulable(*m, now)) each(m->available());
}

}  // namespace barrowrun::placement
