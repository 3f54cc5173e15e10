#pragma once
// Attributes failures of tasks to machines or to jobs, and quarantines machines that fail their tasks. Owns
// no state: the counts are fields of the machine (`errors`, `attributed_errors`, `last_error`,
// `quarantined_since`), which nothing else changes. What is known of the jobs is passed in. Plain functions
// of the time given; nothing suspends or fails.
#include <functional>

#include "fleet/machine.hpp"

namespace barrowrun::placement::failure_attribution {

// A task that ran this long proves that its job can run: faulty machines fail their tasks sooner.
inline constexpr std::chrono::seconds proven_run_time{10};
// A quarantined machine that still runs something, and so can't be returned, gets a trial task after this.
inline constexpr std::chrono::seconds quarantine_time{60};
// A job that has failed on this many machines fails wherever it goes: its failures speak against itself.
inline constexpr std::size_t fails_anywhere_after = 3;

// A task has ended with success: the machine's failures in a row are over.
void record_success(fleet::Machine& machine);
// A task has failed. `job_proven`: its job has shown elsewhere that it can run, so the failure is the
// machine's.
void record_failure(fleet::Machine& machine, bool job_proven, TimePoint now);

// A job that failed on the machine turned out to fail wherever it goes: failures that weren't attributed to
// the machine don't count any more.
void absolve(fleet::Machine& machine);

// Whether a machine may be given a task. While it has failures in a row it gets no replicas, no task of a job
// that failed there when failures were attributed to the machine, and only one trial at a time.
bool may_take_work(const fleet::Machine& machine, bool replica, bool failed_here, TimePoint now);

// Puts the machine into quarantine, or lets it out for a trial, as its counts say by now.
// `failed_by_healthy_job`: a job has failed there that isn't known to fail wherever it goes. Called only if
// the counts alone don't decide.
void update_quarantine(fleet::Machine& machine, TimePoint now,
                       const std::function<bool()>& failed_by_healthy_job);

}  // namespace barrowrun::placement::failure_attribution
