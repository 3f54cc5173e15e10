#include "autoscaler/scale_in.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>

namespace barrowrun::autoscaler {
using fleet::AssignmentPhase;
using fleet::Machine;
using placement::Cluster;
using wire::JobKind;

namespace {
// The cloud charges the first minute of a machine in any case: a machine isn't returned much before its end.
constexpr double min_billed_s = 55;
// A machine that has not come up after this multiple of its boot time plus the margin is taken to have failed
// to boot. A machine that this leader has just learned of gets some time to report first.
constexpr double failed_boot_factor = 2.5, failed_boot_margin_s = 5, min_known_s = 15;
// A machine is not drained if it has more than `max_drained_replicas` replicas, or was provisioned less than
// `min_drain_age_s` ago.
constexpr std::size_t max_drained_replicas = 16;
constexpr double min_drain_age_s = 90;
// A replica counts as started for its objective only if it isn't stopped within this time.
constexpr double settled_after_s = 60;

// Free capacity of a machine while replicas of other machines are planned to move to it.
struct FreeCapacity {
    const Machine* machine = nullptr;
    wire::Resources free;
};

std::vector<FreeCapacity> capacity_of_used_machines(const Cluster& cluster, TimePoint now) {
    std::vector<FreeCapacity> capacities;
    for (auto& [name, machine] : cluster.machines())
        if (cluster.schedulable(*machine, now) && machine->has_live())
            capacities.push_back({machine.get(), machine->available()});
    return capacities;
}

bool is_settled(const fleet::Assignment& assignment, TimePoint now) {
    return assignment.phase == AssignmentPhase::confirmed && assignment.state == wire::TaskState::running &&
           !assignment.stop_requested && now - assignment.started_at > secs(settled_after_s);
}

// Plans to move all tasks of the machine to the others and deducts their needs there. Returns the need of one
// of its replicas, or nothing if a task doesn't fit or isn't a replica that may be moved.
std::optional<wire::Resources> plan_replica_moves(const Cluster& cluster, const Machine& machine,
                                                  TimePoint now, std::vector<FreeCapacity>& others) {
    wire::Resources need;
    for (auto& [attempt, assignment] : machine.assignments) {
        if (assignment.exited()) continue;
        auto job = cluster.jobs().find(attempt.task.job);
        if (job == cluster.jobs().end() || job->second->spec.kind != JobKind::service ||
            !is_settled(assignment, now))
            return std::nullopt;
        const auto& spec = job->second->spec;
        need = spec.need;
        auto target = std::find_if(others.begin(), others.end(), [&](auto& other) {
            return other.machine->zone == machine.zone && cluster.eligible(spec, *other.machine) &&
                   other.machine->has_image(spec.image) && need.fits(other.free);
        });
        if (target == others.end()) return std::nullopt;
        target->free -= need;
    }
    return need;
}

// Whether the machines have capacity for a number of further replicas; capacity that preemption of
// lower-priority tasks would free counts as well.
bool has_room_for(const Cluster& cluster, const std::vector<FreeCapacity>& machines,
                  const wire::Resources& need, std::uint32_t replicas) {
    std::uint32_t placed = 0;
    for (auto& [machine, available] : machines) {
        if (placed >= replicas) break;
        auto free = available;
        free += cluster.preemptible(*machine, wire::Priority::production);
        while (placed < replicas && need.cpus > 0 && need.fits(free)) {
            free -= need;
            ++placed;
        }
    }
    return placed >= replicas;
}

bool never_came_up(const Cluster& cluster, const Machine& machine, TimePoint now) {
    return !machine.up && machine.assignments.empty() &&
           now - machine.provisioned_at >
               secs(failed_boot_factor * boot_s(cluster, machine) + failed_boot_margin_s) &&
           now - machine.known_since > secs(min_known_s);
}
}  // namespace

std::vector<std::string> idle_machines(const Cluster& cluster, const Supply& supply, TimePoint now) {
    std::vector<std::string> names;
    // Idle machines are kept for a while, as new jobs keep arriving.
    const auto idle_timeout = secs(cluster.config().idle_return_s);
    for (auto& bin : supply.bins()) {
        if (bin.machine.empty() || bin.used) continue;
        const Machine& machine = *cluster.machines().at(bin.machine);
        if (machine.up && now - machine.idle_since > idle_timeout &&
            now - machine.provisioned_at > secs(min_billed_s))
            names.push_back(bin.machine);
    }
    return names;
}

std::vector<std::string> unusable_machines(const Cluster& cluster, TimePoint now) {
    std::vector<std::string> names;
    for (auto& [name, machine] : cluster.machines()) {
        if (machine->returning) continue;
        if (never_came_up(cluster, *machine, now)) {
            spdlog::warn("machine {}: has not come up within {:.0f} s; it is returned to the cloud", name,
                         Seconds(now - machine->provisioned_at).count());
            names.push_back(name);
        } else if ((machine->draining || machine->quarantined_since) && !machine->has_live()) {
            names.push_back(name);
        }
    }
    return names;
}

// Replicas stay spread over many machines after the load that spread them has gone: chooses the machine with
// the fewest replicas that can be drained.
std::string machine_to_drain(const Cluster& cluster, TimePoint now, std::uint32_t keep_free) {
    const Machine* best = nullptr;
    // Computed once: computing it again for each of 600 candidates used up the leader's CPU share for half a
    // second.
    const std::vector<FreeCapacity> all_machines = capacity_of_used_machines(cluster, now);
    std::vector<FreeCapacity> others;
    for (auto& candidate : all_machines) {
        const Machine& machine = *candidate.machine;
        const std::size_t replicas = machine.live();
        if (replicas > max_drained_replicas || now - machine.provisioned_at < secs(min_drain_age_s)) continue;
        if (best && replicas >= best->live()) continue;
        others = all_machines;
        std::erase_if(others, [&](auto& other) { return other.machine == &machine; });
        auto need = plan_replica_moves(cluster, machine, now, others);
        if (need && has_room_for(cluster, others, *need, keep_free)) best = &machine;
    }
    return best ? best->name : std::string();
}

}  // namespace barrowrun::autoscaler
