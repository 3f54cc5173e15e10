// Accounting of the attempts that may be on machines: the zones of a job's tasks, and charges to quotas.
#include <algorithm>

#include "placement/cluster.hpp"

namespace barrowrun::placement {
using wire::JobKind;

Cluster::ZoneConstraint::ZoneConstraint(const Cluster& cluster, const wire::JobSpec& spec, const Job* job)
    : spec_(spec) {
    if (!job || (!spec_.spread && !spec_.one_zone)) return;
    for (auto& [index, list] : job->placements)
        for (auto& [name, number] : list)
            if (auto it = cluster.machines_.find(name); it != cluster.machines_.end()) add(it->second->zone);
}

bool Cluster::ZoneConstraint::allows(const std::string& zone) const {
    if (!spec_.spread && !spec_.one_zone) return true;
    auto it = tasks_in_zone_.find(zone);
    const std::uint32_t tasks_here = it == tasks_in_zone_.end() ? 0 : it->second;
    if (spec_.one_zone && total_tasks_ > tasks_here) return false;
    return !spec_.spread || tasks_here + 1 <= (spec_.tasks + 1) / 2;
}

// Registers an attempt that may be on a machine: takes its task out of the queue, charges its quota account
// and copies the attributes of its job into the assignment.
void Cluster::occupy(Job& job, const Attempt& a, Assignment& e, Machine& m) {
    capacity_index_.mark_changed(m);
    e.need = job.spec.need;
    e.service = job.spec.kind == JobKind::service;
    e.priority = job.spec.priority;
    e.preemptible = job.spec.kind != JobKind::service;
    e.checkpoints = job.spec.checkpoint_s > 0;
    auto& list = job.placements[a.task.index];
    std::pair placement{m.name, a.number};
    if (std::find(list.begin(), list.end(), placement) == list.end()) list.push_back(std::move(placement));
    if (e.account == quota::no_node) ledger_.charge(e.account = job.account, e.need);
    set_waiting(job, a.task.index, false);
}

void Cluster::release_charge(Assignment& e) {
    if (e.account == quota::no_node) return;
    ledger_.release(e.account, e.need);
    e.account = quota::no_node;
}

}  // namespace barrowrun::placement
