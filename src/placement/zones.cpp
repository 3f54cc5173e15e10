// What may be on machines, as placement counts it: zones of a job's tasks, charges to quotas.
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
    auto it = in_.find(zone);
    const std::uint32_t here = it == in_.end() ? 0 : it->second;
    if (spec_.one_zone && all_ > here) return false;
    return !spec_.spread || here + 1 <= (spec_.tasks + 1) / 2;
}

// An attempt that may be on a machine: its task does not wait any more, and the entry knows what it is.
void Cluster::occupy(Job& job, const Attempt& a, Assignment& e, Machine& m) {
    capacity_index_.changed(m);
    e.need = job.spec.need;
    e.service = job.spec.kind == JobKind::service;
    e.priority = job.spec.priority;
    e.preemptible = job.spec.kind != JobKind::service;
    e.checkpoints = job.spec.checkpoint_s > 0;
    auto& list = job.placements[a.task.index];
    std::pair here{m.name, a.number};
    if (std::find(list.begin(), list.end(), here) == list.end()) list.push_back(std::move(here));
    if (e.account == quota::no_node) ledger_.charge(e.account = job.account, e.need);
    set_waiting(job, a.task.index, false);
}

void Cluster::release(Assignment& e) {
    if (e.account == quota::no_node) return;
    ledger_.release(e.account, e.need);
    e.account = quota::no_node;
}

}  // namespace barrowrun::placement
