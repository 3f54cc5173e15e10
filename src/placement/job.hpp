#pragma once
// A job as the leader knows it: its description, its progress, and where its tasks may be.
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "placement/capacity_index.hpp"
#include "placement/config.hpp"
#include "quota/tree.hpp"
#include "state/records.hpp"
#include "wire/submission.hpp"

namespace barrowrun::placement {

using state::IndexSet;

struct Job {
    wire::JobSpec spec;
    std::int64_t accepted_ms = 0;
    quota::NodeId account = quota::root;
    std::string shape;  // requirements of a task, as a key: jobs of one shape fit the same machines
    std::uint32_t shape_number = 0;
    std::vector<const ServiceLevelObjective*> objectives;  // of the job's class
    // The machine classes that the job may use, and the number of classes when this list was built.
    std::vector<const CapacityIndex::MachineClass*> candidate_classes;
    std::uint64_t candidate_class_count = 0;
    TimePoint accepted{};
    IndexSet waiting, done, durable_done;
    bool cancelled = false, cancel_durable = false;
    // Tasks delegated to executor cells (src/cells): they are neither queued nor started here.
    IndexSet delegated;
    // The job belongs to an origin cell and only a shard of it was delegated to this one: tasks outside the
    // shard count as done here, and this cluster does not write the job's records.
    bool runs_for_origin_cell = false;
    bool failed = false;  // cancelled because a task failed more often than the job allows
    // `progress_written`: the job has a progress record; `progress_parts`: and these further ones.
    bool write_pending = false, progress_written = false;
    std::set<state::TaskRange> progress_parts;
    // A write that changes the job state shown to users is in flight, or has had no reply: other nodes may
    // already read the new record. Until the outcome is known, no request is answered from memory.
    bool write_in_flight = false, write_unanswered = false;
    bool write_outcome_unknown() const { return write_in_flight || write_unanswered; }
    bool fully_scheduled = false;  // every task has been started at least once
    bool start_overdue = false;    // by the last check_starvation(): overdue, and not fully scheduled
    // By task index: each machine and attempt number that may exist for the task. A task is started only
    // while it has no entry.
    std::unordered_map<std::uint32_t, std::vector<std::pair<std::string, std::uint64_t>>> placements;
    TimePoint retry_at{};
    int consecutive_errors = 0;
    std::set<std::string> failed_machines;  // names of machines on which a task failed
    // For a job that limits its retries: the failure count of each task, and the tasks whose count is not
    // recorded yet. Until the count is recorded, the worker keeps the failed attempt and the task is not
    // restarted, so that a successor counts each failure exactly once.
    std::map<std::uint32_t, state::TaskFailures> errors;
    std::set<std::uint32_t> unrecorded_errors;
    std::optional<wire::ErrorCount> error_count;
    double total_run_s = 0;  // total run time of the measured tasks, in seconds
    int measured_runs = 0;   // number of measured tasks

    bool finished() const { return done.size() == spec.tasks; }
    wire::JobState job_state() const;
    std::uint64_t running() const { return placements.size(); }
    // Estimated run time of a task: the mean of the finished ones, or the owner's estimate until two have
    // finished.
    double estimated_run_s() const {
        return measured_runs >= 2 ? total_run_s / measured_runs : std::max(1.0, spec.estimate_s);
    }
};

// Whether a task of the job fits an empty machine of the type, or of one of the types.
bool fits_type(const wire::JobSpec& spec, const wire::MachineType& type);
bool fits_some_type(const wire::JobSpec& spec, const std::vector<wire::MachineType>& types);

}  // namespace barrowrun::placement
