// Time-driven events: lease expiry, quarantine, and stops on machines that are drained or reclaimed by the
// cloud.
#include <map>

#include "placement/cluster.hpp"
#include "placement/failure_attribution.hpp"

namespace barrowrun::placement {
using wire::JobKind;
using wire::TaskState;

bool Cluster::tick(TimePoint now, const std::function<TimePoint(const std::string&)>& others) {
    retry_rejected_writes(now);
    bool lease_expired = false;
    std::map<std::string, TimePoint> renewed_until;
    auto answered = [&](const std::string& zone) {
        auto [it, fresh] = renewed_until.try_emplace(zone, acquired_);
        if (fresh && others) it->second = std::max(acquired_, others(zone));
        return it->second;
    };
    for (auto& [name, mp] : machines_) {
        Machine& m = *mp;
        if (!m.assignments.empty() && now >= m.lease_expiry(config_.lease_s, answered(m.zone))) {
            expire_lease(m, now);
            lease_expired = true;
        }
        if (m.has_live()) m.idle_since = now;
        failure_attribution::update_quarantine(m, now, [&] {
            return std::any_of(jobs_.begin(), jobs_.end(), [&](auto& kv) {
                return kv.second->failed_machines.contains(m.name) &&
                       (kv.second->failed_machines.size() < failure_attribution::min_machines_for_job_fault ||
                        has_proven_run(*kv.second, now));
            });
        });
        if (m.spot_reclaim_at || m.draining) {
            for (auto& [a, e] : m.assignments) {
                if (e.exited() || e.stop_requested) continue;
                Job* job = find_job(a.task.job);
                if (!job) continue;
                if (job->spec.checkpoint_s > 0 && e.phase == AssignmentPhase::confirmed &&
                    e.state == TaskState::running) {
                    if (job->spec.kind == JobKind::gang)
                        stop_gang(*job, grace_for(*job), now, "its machine is drained or reclaimed");
                    else
                        request_stop(m, a, e, grace_for(*job), now, "its machine is drained or reclaimed");
                } else if (m.draining && job->spec.kind != JobKind::gang) {
                    request_stop(m, a, e, 0, now, "its machine is drained");
                }
            }
        }
    }
    enforce_lowered_limits(now);
    return lease_expired;
}

}  // namespace barrowrun::placement
