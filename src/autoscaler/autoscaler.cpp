#include "autoscaler/autoscaler.hpp"

#include "autoscaler/scale_in.hpp"
#include "autoscaler/scale_out.hpp"
#include "autoscaler/supply.hpp"

namespace barrowrun::autoscaler {
using placement::Cluster;

ScalingPlan Autoscaler::plan(const Cluster& cluster, TimePoint now,
                             const std::vector<MachineOrder>& pending) {
    ScalingPlan plan;
    if (cluster.types().empty()) return plan;

    Supply supply(cluster, now, pending);
    ScaleOutPlanner scale_out(cluster, now, backoff_, pending, supply);
    scale_out.cover_queue();
    const Headroom service_headroom = demand_.service_headroom(cluster, now);
    if (service_headroom.tasks > 0) scale_out.cover_headroom(service_headroom, PreemptibleUse::all);
    demand_.note_array_demand(cluster, now);
    for (auto& array_headroom : demand_.array_headroom())
        scale_out.cover_headroom(array_headroom, PreemptibleUse::none);
    plan.scale_out = scale_out.orders();

    plan.scale_in = idle_machines(cluster, supply, now);
    // While capacity is kept for array peaks, a drained machine would be kept as well: its replicas would be
    // moved without any saving.
    if (!demand_.has_array_peaks() && plan.scale_out.empty() && plan.scale_in.empty() &&
        cluster.queue().waiting() == 0)
        plan.drain = machine_to_drain(cluster, now, service_headroom.tasks);
    const auto unusable = unusable_machines(cluster, now);
    plan.scale_in.insert(plan.scale_in.end(), unusable.begin(), unusable.end());
    return plan;
}

}  // namespace barrowrun::autoscaler
