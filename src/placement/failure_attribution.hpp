#pragma once
// Whose fault a failure is: the machine's or the job's. What is known of a machine stands in it; what speaks
// for or against a job is told by whoever knows the jobs.
#include <functional>

#include "fleet/machine.hpp"

namespace barrowrun::placement::failure_attribution {

// A job whose task ran that long can run: faulty machines fail theirs sooner.
inline constexpr std::chrono::seconds proven_run_time{10};
// A faulty machine that replicas keep rented is tried again after this.
inline constexpr std::chrono::seconds quarantine_time{60};

// A task has ended as it should.
void record_success(fleet::Machine& m);
// A task has failed. `job_proven`: it has shown elsewhere that it can run, so the machine is to blame.
void record_failure(fleet::Machine& m, bool job_proven, TimePoint now);

// A machine under suspicion gets no replicas, nothing that was blamed on it before, and one trial at a time.
bool may_take_work(const fleet::Machine& m, bool replica, bool failed_here, TimePoint now);

// Whether the machine is out of use from now on. `speaks_against`: a job failed there that isn't known to
// fail wherever it goes. Asked only if it matters.
void update_quarantine(fleet::Machine& m, TimePoint now, const std::function<bool()>& speaks_against);

}  // namespace barrowrun::placement::failure_attribution
