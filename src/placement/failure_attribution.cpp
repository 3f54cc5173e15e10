#include "placement/failure_attribution.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace barrowrun::placement::failure_attribution {
namespace {
// Consecutive failures after which a machine is quarantined: fewer if they were attributed to it.
constexpr int quarantine_after_attributed = 2, quarantine_after = 3;

// Gives one more trial to a quarantined machine that its running tasks keep provisioned: the cause of its
// failures may be gone.
void release_for_trial(fleet::Machine& machine) {
    machine.quarantined_since.reset();
    machine.errors = 1;
    machine.attributed_errors = 0;
}
}  // namespace

void record_success(fleet::Machine& machine) {
    machine.successes++;
    machine.errors = machine.attributed_errors = 0;
}

void record_failure(fleet::Machine& machine, bool job_proven, TimePoint now) {
    machine.errors++;
    machine.last_error = now;
    // An attributed failure sends the job's tasks to other machines at once: without it a few faulty machines
    // delayed a whole urgent array.
    if (job_proven) machine.attributed_errors++;
}

void clear_unattributed_failures(fleet::Machine& machine) {
    if (machine.attributed_errors == 0) machine.errors = 0;
}

bool may_take_work(const fleet::Machine& machine, bool replica, bool failed_here, TimePoint now) {
    if (machine.errors == 0 || now - machine.last_error > quarantine_time) return true;
    if (replica || (machine.attributed_errors > 0 && failed_here)) return false;
    const bool has_trial_task = std::any_of(
        machine.assignments.begin(), machine.assignments.end(),
        [&](auto& entry) { return !entry.second.exited() && entry.second.placed_at >= machine.last_error; });
    return !has_trial_task;
}

void update_quarantine(fleet::Machine& machine, TimePoint now,
                       const std::function<bool()>& failed_by_healthy_job) {
    if (machine.quarantined_since && now - *machine.quarantined_since > quarantine_time && machine.live() > 0)
        release_for_trial(machine);
    if (machine.quarantined_since || machine.draining) return;
    if (machine.errors < quarantine_after_attributed) return;
    bool machine_at_fault = machine.attributed_errors >= quarantine_after_attributed;
    if (!machine_at_fault && machine.errors >= quarantine_after) {
        // A job that failed on few machines counts against this machine; a job that fails on any machine
        // doesn't. Each job is judged separately: otherwise many faulty machines would shield one another.
        machine_at_fault = failed_by_healthy_job();
        if (!machine_at_fault) machine.errors = 0;
    }
    if (!machine_at_fault) return;
    spdlog::warn(
        "machine {}: quarantined after {} consecutive task failures; it will be returned to the cloud once "
        "it is empty, or get a trial task if its tasks keep running",
        machine.name, machine.errors);
    machine.quarantined_since = now;
}

}  // namespace barrowrun::placement::failure_attribution
