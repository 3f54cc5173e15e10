#pragma once
// Whose fault a failure is: the machine's or the job's. What is known of a machine stands in it; what speaks
// for or against a job is told by whoever knows the jobs.
#include <functional>

#include "fleet/machine.hpp"

namespace barrowrun::placement::faults {

// A job whose task ran that long can run: faulty machines fail theirs sooner.
inline constexpr std::chrono::seconds proven_after{10};
// A faulty machine that replicas keep rented is tried again after this.
inline constexpr std::chrono::seconds faulty_for{60};

// A task has ended as it should.
void succeeded(fleet::Machine& m);
// A task has failed. `job_runs_well`: it has shown elsewhere that it can run, so the machine is to blame.
void failed(fleet::Machine& m, bool job_runs_well, TimePoint now);

// A machine under suspicion gets no replicas, nothing that was blamed on it before, and one trial at a time.
bool trusted(const fleet::Machine& m, bool replica, bool failed_here, TimePoint now);

// Whether the machine is out of use from now on. `speaks_against`: a job failed there that isn't known to
// fail wherever it goes. Asked only if it matters.
void judge(fleet::Machine& m, TimePoint now, const std::function<bool()>& speaks_against);

}  // namespace barrowrun::placement::faults
