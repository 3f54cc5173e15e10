#include "autoscaler/supply.hpp"

#include <algorithm>

namespace barrowrun::autoscaler {
using fleet::Machine;
using placement::Cluster;
using wire::JobKind;

namespace {
// Share of the capacity of ending tasks that is counted as freed: run times are estimates.
constexpr double freed_capacity_share = 0.7;
// A machine that has not come up after this multiple of its nominal boot time is not counted: it may never
// come up.
constexpr double late_boot_factor = 1.7;
// For machines of a type that the catalog doesn't name.
constexpr double unknown_type_boot_s = 60;
// Lower bound for the estimated remaining time of a booting machine or a running task.
constexpr double min_remaining_s = 2.0;

bool takes_new_work(const Machine& machine) {
    return !machine.returning && !machine.draining && !machine.quarantined_since && !machine.suspected &&
           !machine.spot_reclaim_at && machine.capacity.mem_gb > 0;
}
}  // namespace

double boot_s(const Cluster& cluster, const Machine& machine) {
    auto type = cluster.types().find(machine.type);
    return type == cluster.types().end() ? unknown_type_boot_s : type->second.boot_s;
}

wire::Resources MachineBin::available_with(PreemptibleUse use) const {
    wire::Resources total = available;
    if (use == PreemptibleUse::all) total += preemptible;
    if (use == PreemptibleUse::checkpointing) total += preemptible_checkpointing;
    return total;
}

Supply::Supply(const Cluster& cluster, TimePoint now, const std::vector<MachineOrder>& pending)
    : cluster_(cluster) {
    for (auto& [name, type] : cluster.types())
        for (auto& zone : type.zones)
            for (bool spot : {true, false}) index_of({name, zone, spot});
    for (auto& order : pending)
        if (cluster.types().contains(order.offer.type))
            for (int k = 0; k < order.count; ++k) add_bin(index_of(order.offer));
    for (auto& [name, machine] : cluster.machines()) add_machine(*machine, now);
}

std::size_t Supply::index_of(const Offer& offer) {
    auto [it, is_new] = offer_index_.try_emplace(offer, offers_.size());
    if (is_new) offers_.push_back(offer);
    return it->second;
}

MachineBin& Supply::add_bin(std::size_t offer) {
    const auto& type = cluster_.types().at(offers_[offer].type);
    MachineBin bin;
    bin.offer = offer;
    bin.available = {type.cpus, type.gpus, type.mem_gb};
    bin.task_slots = cluster_.max_tasks_per_machine();
    bin.array_cpus = type.cpus;
    bin.ready_in_s = type.boot_s;
    bin.fetch_gb_per_s = type.fetch_gb_per_s;
    return bins_.emplace_back(std::move(bin));
}

void Supply::add_machine(const Machine& machine, TimePoint now) {
    if (!takes_new_work(machine)) return;
    const auto age = now - machine.provisioned_at;
    if (!machine.up && machine.assignments.empty() &&
        age > secs(late_boot_factor * boot_s(cluster_, machine)))
        return;
    MachineBin bin;
    bin.machine = machine.name;
    bin.offer = index_of({machine.type, machine.zone, machine.spot});
    bin.available = machine.available();
    bin.task_slots = cluster_.task_slots(machine);
    bin.used = machine.has_live();
    bin.cached_images = machine.images.size();
    bin.fetch_gb_per_s = machine.fetch_gb_per_s;
    for (auto& [attempt, assignment] : machine.assignments)
        if (assignment.stop_requested && !assignment.exited()) {
            bin.available += assignment.need;
            ++bin.task_slots;
        }
    bin.preemptible = cluster_.preemptible(machine, wire::Priority::production);
    bin.preemptible_checkpointing = cluster_.preemptible(machine, wire::Priority::normal, true);
    bin.array_cpus = std::max(0.0, bin.available.cpus);
    if (!machine.up)
        bin.ready_in_s = std::max(min_remaining_s, boot_s(cluster_, machine) - Seconds(age).count());
    add_running_arrays(bin, machine, now);
    bins_.push_back(std::move(bin));
}

void Supply::add_running_arrays(MachineBin& bin, const Machine& machine, TimePoint now) {
    for (auto& [attempt, assignment] : machine.assignments) {
        if (assignment.exited() || assignment.stop_requested) continue;
        auto job = cluster_.jobs().find(attempt.task.job);
        if (job == cluster_.jobs().end() || job->second->spec.kind != JobKind::array) continue;
        const double cpus = assignment.need.cpus;
        const double ran_s =
            assignment.started_at == TimePoint{} ? 0 : Seconds(now - assignment.started_at).count();
        const double remaining_s = std::max(min_remaining_s, job->second->estimated_run_s() - ran_s);
        bin.array_cpus += cpus;
        bin.committed_cpu_s += cpus * remaining_s;
        if (remaining_s <= cluster_.longest_cpu_boot_s())
            freed_cpus_[{machine.spot, cpus}] += freed_capacity_share * cpus;
    }
}

bool Supply::is_eligible(const wire::JobSpec& spec, const Offer& offer) const {
    if (offer.spot && !spec.spot_ok) return false;
    if (spec.zone && *spec.zone != offer.zone) return false;
    if (spec.types && std::find(spec.types->begin(), spec.types->end(), offer.type) == spec.types->end())
        return false;
    auto type = cluster_.types().find(offer.type);
    return type != cluster_.types().end() && !cluster_.is_gpu_reserved(spec, type->second);
}

}  // namespace barrowrun::autoscaler
