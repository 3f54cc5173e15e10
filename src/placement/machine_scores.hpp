#pragma once
// Scores of machines for the placement of a task: pure functions of the machine and the job; greater is
// better. Scores are in seconds of waiting, as far as the terms can be compared.
#include "fleet/machine.hpp"
#include "wire/submission.hpp"

namespace barrowrun::placement::machine_scores {

// Machines whose tasks take more than this multiple of the usual run time get no gangs, and no task is
// preempted on them.
inline constexpr double max_slowness = 1.8;

// Seconds that the machine needs to fetch the job's whole image.
double image_fetch_s(const fleet::Machine& machine, const wire::JobSpec& spec);

// The score of a machine for one task of an array or service. `available`: its free capacity that is not
// reserved. `failed_before`: a task of the job has failed there.
double for_task(const fleet::Machine& machine, const wire::JobSpec& spec, const wire::Resources& available,
                bool failed_before);

// The score of a machine for a task of a gang, without the tightness of the fit: `gangs::choose_hosts` adds
// that while it fills the machine.
double for_gang_task(const fleet::Machine& machine, const wire::JobSpec& spec, bool failed_before);

}  // namespace barrowrun::placement::machine_scores
