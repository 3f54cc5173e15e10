#pragma once
// How well a machine suits a task: pure functions of the machine and the job, greater is better. The units
// are seconds of waiting, as far as they can be compared.
#include "fleet/machine.hpp"
#include "wire/submission.hpp"

namespace barrowrun::placement::machine_scores {

// Machines slower than this, compared with their type, get no gangs, and nothing is preempted for them.
inline constexpr double max_slowness = 1.8;

// How long the machine needs to fetch the job's whole image. Seconds.
double image_fetch_s(const fleet::Machine& machine, const wire::JobSpec& spec);

// The score of a machine for one task of an array or service. `available`: what of it nothing has reserved.
// `failed_before`: a task of the job has failed there.
double for_task(const fleet::Machine& machine, const wire::JobSpec& spec, const wire::Resources& available,
                bool failed_before);

// The score of a machine for a task of a gang, without how tightly it fits: `gangs::choose` adds that as it
// fills the machine.
double for_gang_task(const fleet::Machine& machine, const wire::JobSpec& spec, bool failed_before);

}  // namespace barrowrun::placement::machine_scores
