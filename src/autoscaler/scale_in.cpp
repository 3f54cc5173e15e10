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
// The cloud charges a machine's first minute in any case.
constexpr double least_charged_s = 55;
// A machine that has not come up after this many times its boot time, and a little more, never will. One that
// this leader has only just heard of gets some time to report.
constexpr double hopeless_boot = 2.5, hopeless_boot_extra_s = 5, least_known_s = 15;
// A machine with more replicas than this, or provisioned less than this long ago, is not drained.
constexpr std::size_t max_drained_replicas = 16;
constexpr double least_drain_age_s = 90;
// A start counts for its objective only if the task is left alone for this long.
constexpr double settled_after_s = 60;

// What a machine could still take while other machines' replicas are moved to it.
struct FreeCapacity {
    const Machine* machine = nullptr;
    wire::Resources free;
};

std::vector<FreeCapacity> capacity_of_used_machines(const Cluster& cluster, TimePoint now) {
    std::vector<FreeCapacity> out;
    for (auto& [name, machine] : cluster.machines())
        if (cluster.schedulable(*machine, now) && machine->has_live())
            out.push_back({machine.get(), machine->available()});
    return out;
}

bool is_settled(const fleet::Assignment& assignment, TimePoint now) {
    return assignment.phase == AssignmentPhase::confirmed && assignment.state == wire::TaskState::running &&
           !assignment.stop_requested && now - assignment.started_at > secs(settled_after_s);
}

// Moves all that runs on the machine to the others, on paper. The need of one of its replicas; nothing if
// some have no room, or aren't replicas that may be moved.
std::optional<wire::Resources> move_replicas(const Cluster& cluster, const Machine& machine, TimePoint now,
                                             std::vector<FreeCapacity>& others) {
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

// Whether so many more replicas find room, also where lower-priority work would be preempted.
bool has_room_for(const Cluster& cluster, const std::vector<FreeCapacity>& machines,
                  const wire::Resources& need, std::uint32_t replicas) {
    std::uint32_t found = 0;
    for (auto& [machine, available] : machines) {
        if (found >= replicas) break;
        auto free = available;
        free += cluster.preemptible(*machine, wire::Priority::production);
        while (found < replicas && need.cpus > 0 && need.fits(free)) {
            free -= need;
            ++found;
        }
    }
    return found >= replicas;
}

bool never_came_up(const Cluster& cluster, const Machine& machine, TimePoint now) {
    return !machine.up && machine.assignments.empty() &&
           now - machine.provisioned_at >
               secs(hopeless_boot * boot_s(cluster, machine) + hopeless_boot_extra_s) &&
           now - machine.known_since > secs(least_known_s);
}
}  // namespace

std::vector<std::string> idle_machines(const Cluster& cluster, const Supply& supply, TimePoint now) {
    std::vector<std::string> out;
    const auto patience = secs(cluster.config().idle_return_s);  // work comes all the time
    for (auto& bin : supply.bins()) {
        if (bin.machine.empty() || bin.used) continue;
        const Machine& machine = *cluster.machines().at(bin.machine);
        if (machine.up && now - machine.idle_since > patience &&
            now - machine.provisioned_at > secs(least_charged_s))
            out.push_back(bin.machine);
    }
    return out;
}

std::vector<std::string> unusable_machines(const Cluster& cluster, TimePoint now) {
    std::vector<std::string> out;
    for (auto& [name, machine] : cluster.machines()) {
        if (machine->returning) continue;
        if (never_came_up(cluster, *machine, now)) {
            spdlog::warn("machine {} has not come up in {:.0f} s: it is returned", name,
                         Seconds(now - machine->provisioned_at).count());
            out.push_back(name);
        } else if ((machine->draining || machine->quarantined_since) && !machine->has_live()) {
            out.push_back(name);
        }
    }
    return out;
}

// Replicas outlast the load that spread them out.
std::string machine_to_drain(const Cluster& cluster, TimePoint now, std::uint32_t keep_free) {
    const Machine* best = nullptr;
    // Gathered once: gathered anew for each of 600 candidates it took the leader's share for half a second.
    const std::vector<FreeCapacity> all = capacity_of_used_machines(cluster, now);
    std::vector<FreeCapacity> others;
    for (auto& candidate : all) {
        const Machine& machine = *candidate.machine;
        const std::size_t replicas = machine.live();
        if (replicas > max_drained_replicas || now - machine.provisioned_at < secs(least_drain_age_s))
            continue;
        if (best && replicas >= best->live()) continue;
        others = all;
        std::erase_if(others, [&](auto& other) { return other.machine == &machine; });
        auto need = move_replicas(cluster, machine, now, others);
        if (need && has_room_for(cluster, others, *need, keep_free)) best = &machine;
    }
    return best ? best->name : std::string();
}

}  // namespace barrowrun::autoscaler
