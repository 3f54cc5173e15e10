#pragma once
// Attributes task failures to machines or to jobs, and quarantines machines that fail their tasks. The module
// owns no state: the counts are fields of the machine (`errors`, `attributed_errors`, `last_error`,
// `quarantined_since`), which no other module changes, and facts about jobs are passed in. The functions take
// the time as an argument, never suspend and cannot fail.
#include <functional>

#include "fleet/machine.hpp"

namespace barrowrun::placement::failure_attribution {

// A task that ran longer than this proves that its job can run: faulty machines fail their tasks sooner.
inline constexpr std::chrono::seconds proven_run_time{10};
// A quarantined machine that still runs tasks can't be returned to the cloud: it gets a trial task after this
// time. Consecutive failures also stop restricting a machine this long after the last one.
inline constexpr std::chrono::seconds quarantine_time{60};
// A job that has failed on this many machines is taken to fail on any machine: its failures are attributed to
// the job.
inline constexpr std::size_t min_machines_for_job_fault = 3;

// A task has succeeded: resets the machine's count of consecutive failures.
void record_success(fleet::Machine& machine);
// A task has failed. `job_proven`: the job has shown that its tasks can run, so the failure is attributed to
// the machine.
void record_failure(fleet::Machine& machine, bool job_proven, TimePoint now);

// A job that failed on the machine turned out to fail on any machine: clears the machine's consecutive
// failures, unless some of them were attributed to the machine.
void clear_unattributed_failures(fleet::Machine& machine);

// Whether the machine may be given a task. While it has consecutive failures it gets no service replicas and
// only one trial task at a time; if failures were attributed to it, it gets no task of a job that failed
// there.
bool may_take_work(const fleet::Machine& machine, bool replica, bool failed_here, TimePoint now);

// Quarantines the machine, or releases it for a trial task, according to its failure counts.
// `failed_by_healthy_job`: whether a job has failed there that isn't known to fail on any machine. It is
// called only if the counts alone don't decide.
void update_quarantine(fleet::Machine& machine, TimePoint now,
                       const std::function<bool()>& failed_by_healthy_job);

}  // namespace barrowrun::placement::failure_attribution
