// Which machines a job may use, and which machines may be given new tasks at all.
#include <algorithm>

#include "placement/cluster.hpp"

namespace barrowrun::placement {

bool Cluster::schedulable(const Machine& m, TimePoint now) const {
    return m.up && !m.returning && !m.draining && !m.quarantined_since && !m.suspected &&
           !m.spot_reclaim_at && m.capacity.mem_gb > 0 && now >= m.no_starts_before &&
           now - m.last_heartbeat < secs(config_.heartbeat_s * 1.25 + 1.5);
}

bool Cluster::is_gpu_reserved(const wire::JobSpec& spec, const wire::MachineType& type) const {
    if (type.gpus <= 0 || spec.need.gpus > 0) return false;
    for (auto& [name, other_type] : types_)
        if (other_type.gpus <= 0 && spec.need.fits({other_type.cpus, other_type.gpus, other_type.mem_gb}) &&
            (!spec.types || std::find(spec.types->begin(), spec.types->end(), name) != spec.types->end()))
            return true;
    return false;
}

bool Cluster::eligible(const wire::JobSpec& spec, const std::string& type, const std::string& zone,
                       bool spot) const {
    if (spot && !spec.spot_ok) return false;
    if (spec.zone && *spec.zone != zone) return false;
    if (spec.types && std::find(spec.types->begin(), spec.types->end(), type) == spec.types->end())
        return false;
    if (auto t = types_.find(type); t != types_.end() && is_gpu_reserved(spec, t->second)) return false;
    return true;
}

const std::vector<const CapacityIndex::MachineClass*>& Cluster::candidate_classes(Job& job) {
    if (job.candidate_class_count != capacity_index_.class_count()) {
        job.candidate_classes.clear();
        for (auto& [key, machine_class] : capacity_index_.classes())
            if (eligible(job.spec, machine_class->type, machine_class->zone, machine_class->spot))
                job.candidate_classes.push_back(machine_class.get());
        job.candidate_class_count = capacity_index_.class_count();
    }
    return job.candidate_classes;
}

}  // namespace barrowrun::placement
