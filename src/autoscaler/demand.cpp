#include "autoscaler/demand.hpp"

#include <algorithm>
#include <cmath>

namespace barrowrun::autoscaler {
using placement::Cluster;
using wire::JobKind;

namespace {
// Ordinary boots take up to this multiple of the nominal boot time.
constexpr double slow_boot_factor = 1.5;
// Time for which a peak of arrays is remembered: several of the usual gaps between large arrays.
constexpr std::chrono::minutes peak_window{5};
// The rate of service arrivals within the window is taken as the future rate. Capacity is kept for the
// arrivals within the horizon at that rate; the horizon is about the boot time of a machine.
constexpr double arrival_window_s = 120, arrival_horizon_s = 45;
// Weight of one job in the moving average of the needs of its class.
constexpr double need_weight = 0.01;

// Nominal boot time of the fastest-booting type that fits the job.
double quickest_boot_s(const Cluster& cluster, const wire::JobSpec& spec) {
    double boot_s = 1e9;
    for (auto& [name, type] : cluster.types())
        if (spec.need.fits({type.cpus, type.gpus, type.mem_gb}) && !cluster.is_gpu_reserved(spec, type))
            boot_s = std::min(boot_s, type.boot_s);
    return boot_s;
}

void average_in(double& mean, double value) {
    mean += need_weight * (value - mean);
}
}  // namespace

bool cannot_wait_for_boots(const Cluster& cluster, const wire::JobSpec& spec) {
    if (spec.kind != JobKind::array) return false;
    const double boot_s = quickest_boot_s(cluster, spec);
    const auto& objectives = cluster.config().objectives;
    return std::any_of(objectives.begin(), objectives.end(), [&](auto& objective) {
        return objective.kind == "wait" && objective.job_class == spec.job_class &&
               objective.within_s < slow_boot_factor * boot_s;
    });
}

void DemandHistory::note_arrival(const wire::JobSpec& spec, TimePoint now) {
    if (spec.kind == JobKind::service) service_arrivals_.push_back({now, spec.tasks});
}

// Arrays that should start sooner than a machine boots depend on capacity that is already there. The capacity
// of the class's recent peak is therefore kept, or provisioned again, while its demand is lower.
void DemandHistory::note_array_demand(const Cluster& cluster, TimePoint now) {
    for (auto& [job_class, demand] : arrays_) demand.tasks_now = 0;
    for (auto& [id, job] : cluster.jobs()) {
        if (job->cancelled || !cannot_wait_for_boots(cluster, job->spec)) continue;
        auto [it, is_new] = arrays_.try_emplace(job->spec.job_class);
        ArrayDemand& demand = it->second;
        if (is_new) demand.spec = job->spec;
        average_in(demand.spec.need.cpus, job->spec.need.cpus);
        average_in(demand.spec.need.mem_gb, job->spec.need.mem_gb);
        demand.tasks_now += job->waiting.size() + static_cast<std::uint32_t>(job->placements.size());
    }
    for (auto& [job_class, demand] : arrays_) {
        auto& peaks = demand.peaks;
        while (!peaks.empty() && peaks.back().tasks <= demand.tasks_now) peaks.pop_back();
        peaks.push_back({now, demand.tasks_now});
        while (now - peaks.front().at > peak_window) peaks.pop_front();
    }
}

Headroom DemandHistory::service_headroom(const Cluster& cluster, TimePoint now) {
    while (!service_arrivals_.empty() && now - service_arrivals_.front().at > secs(arrival_window_s))
        service_arrivals_.pop_front();
    double arrived = 0;
    for (auto& arrival : service_arrivals_) arrived += arrival.tasks;

    const auto& jobs = cluster.jobs();
    auto service = std::find_if(jobs.begin(), jobs.end(),
                                [](auto& job) { return job.second->spec.kind == JobKind::service; });
    if (service == jobs.end() || service->second->spec.tasks == 0) return {};
    Headroom headroom{service->second->spec, 0};
    headroom.spec.spread = headroom.spec.one_zone = false;
    const double min_tasks = cluster.config().headroom_min;
    const double max_tasks = std::max<double>(min_tasks, cluster.config().headroom_max);
    headroom.tasks = static_cast<std::uint32_t>(
        std::clamp(std::ceil(arrived / arrival_window_s * arrival_horizon_s), min_tasks, max_tasks));
    return headroom;
}

std::vector<Headroom> DemandHistory::array_headroom() const {
    std::vector<Headroom> headrooms;
    for (auto& [job_class, demand] : arrays_)
        if (demand.peaks.front().tasks > demand.tasks_now)
            headrooms.push_back({demand.spec, demand.peaks.front().tasks - demand.tasks_now});
    return headrooms;
}

bool DemandHistory::has_array_peaks() const {
    return std::any_of(arrays_.begin(), arrays_.end(),
                       [](auto& demand) { return demand.second.peaks.front().tasks > 0; });
}

}  // namespace barrowrun::autoscaler
