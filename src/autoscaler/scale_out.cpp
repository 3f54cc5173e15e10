#include "autoscaler/scale_out.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "wire/numbers.hpp"

namespace barrowrun::autoscaler {
using placement::Cluster;
using placement::Job;
using wire::JobKind;

namespace {
constexpr int max_machines_per_request = 50;  // limit of the cloud
// No machines are ordered for a job with more consecutive failures than this.
constexpr int max_consecutive_errors = 4;
// Weights of the capacity that the job would use and of the whole machine: other jobs can use part of the
// capacity that this job leaves unused.
constexpr double used_capacity_weight = 0.6, whole_machine_weight = 0.4;
// Share of the existing fleet's capacity that is counted for an array. It is counted only if the time left is
// at least this multiple of a boot and a run: a later decision would leave no time for them.
constexpr double counted_supply_share = 0.8, min_boot_and_run_factor = 1.8;
// A freed slot is usable for a task if it has at least this share of the CPUs that the task needs.
constexpr double min_slot_share = 0.8;
// Tolerance for rounding errors in the number of tasks per machine.
constexpr double rounding_tolerance = 1e-6;

// Number of tasks that an empty machine of the type holds, at most `task_slots`; at least one, as the type
// fits the task.
double tasks_per_machine(const wire::Resources& need, const wire::MachineType& type, std::size_t task_slots) {
    auto tasks = static_cast<double>(task_slots);
    if (need.cpus > 0) tasks = std::min(tasks, std::floor(type.cpus / need.cpus + rounding_tolerance));
    if (need.gpus > 0) tasks = std::min(tasks, std::floor(type.gpus / need.gpus + rounding_tolerance));
    if (need.mem_gb > 0) tasks = std::min(tasks, std::floor(type.mem_gb / need.mem_gb + rounding_tolerance));
    return tasks;
}

// Price of a machine of the type per task, if `missing` tasks are still without a machine.
double cost_per_task(const wire::Resources& need, const wire::MachineType& type, bool spot,
                     std::uint32_t missing, std::size_t task_slots) {
    const double whole = tasks_per_machine(need, type, task_slots);
    const double used = std::max(1.0, std::min(whole, static_cast<double>(missing)));
    return (spot ? type.spot_price : type.price) /
           (used_capacity_weight * used + whole_machine_weight * whole);
}
}  // namespace

ScaleOutPlanner::ScaleOutPlanner(const Cluster& cluster, TimePoint now, const OfferBackoff& backoff,
                                 const std::vector<MachineOrder>& pending, Supply& supply)
    : cluster_(cluster), now_(now), backoff_(backoff), pending_(pending), supply_(supply) {
    if (cluster.ledger().tree().has_limits()) planned_usage_ = cluster.ledger();
}

void ScaleOutPlanner::cover_queue() {
    for (int level = 0; level < wire::priority_levels; ++level)
        for (auto& position : cluster_.queue().level(level)) {
            auto it = cluster_.jobs().find(position.id);
            if (it == cluster_.jobs().end()) continue;
            const Job& job = *it->second;
            if (job.cancelled || job.consecutive_errors > max_consecutive_errors) continue;
            std::uint32_t tasks = within_limits(job, job.waiting.size());
            if (job.spec.kind == JobKind::array) tasks = array_tasks_to_cover(job, tasks);
            cover(&job, job.spec, tasks, preemptible_use(job));
        }
}

void ScaleOutPlanner::cover_headroom(const Headroom& headroom, PreemptibleUse use) {
    cover(nullptr, headroom.spec, headroom.tasks, use);
}

// A request names at most 50 machines, and the cloud accepts few requests per second. The largest requests go
// first; those that exceed the request rate are left to a later plan.
std::vector<MachineOrder> ScaleOutPlanner::orders() const {
    std::vector<MachineOrder> requests;
    for (auto& [offer, count] : orders_)
        for (int remaining = count; remaining > 0; remaining -= max_machines_per_request)
            requests.push_back({offer, std::min(remaining, max_machines_per_request)});
    std::stable_sort(requests.begin(), requests.end(), [](auto& x, auto& y) { return x.count > y.count; });
    return requests;
}

// Number of the tasks that quota limits admit; all or none for a gang. The others can't start and need no
// machine.
std::uint32_t ScaleOutPlanner::within_limits(const Job& job, std::uint32_t tasks) {
    if (!planned_usage_ || tasks == 0) return tasks;
    auto admitted = planned_usage_->admissible_tasks(job.account, job.spec.need, tasks);
    if (job.spec.kind == JobKind::gang && admitted < tasks) return 0;
    for (std::uint32_t i = 0; i < admitted; ++i) planned_usage_->charge(job.account, job.spec.need);
    return admitted;
}

// Number of waiting tasks of an array that need an additional machine. Several tasks may run one after
// another in the same slot, and no machine is ordered for tasks that the existing fleet will finish in time.
std::uint32_t ScaleOutPlanner::array_tasks_to_cover(const Job& job, std::uint32_t tasks) {
    ArrayEstimate estimate;
    estimate.run_s = job.estimated_run_s() + 1;
    estimate.slack_s = cluster_.objective_slack_s(job, now_);
    estimate.finish_s = std::max(estimate.run_s, estimate.slack_s) + estimate.run_s;
    estimate.work_cpu_s = static_cast<double>(tasks) * estimate.run_s * job.spec.need.cpus;
    tasks = missing_slots(job, tasks, estimate);
    if (supply_suffices(job, estimate)) tasks = 0;
    queued_work_.push_back({job.spec.spot_ok, estimate.work_cpu_s});
    return take_freed_slots(job, tasks, estimate);
}

std::uint32_t ScaleOutPlanner::missing_slots(const Job& job, std::uint32_t tasks,
                                             const ArrayEstimate& estimate) const {
    const auto running = static_cast<std::uint32_t>(job.placements.size());
    const double total = static_cast<double>(tasks) + static_cast<double>(job.placements.size());
    // A slot can't serve two tasks if all tasks should start before the first one could have ended.
    const double wanted =
        cannot_wait_for_boots(cluster_, job.spec) ? total : total * estimate.run_s / estimate.finish_s;
    const auto slots = wire::to_integer_saturated<std::uint32_t>(std::ceil(wanted));
    return std::min(tasks, slots > running ? slots - running : 0);
}

// Whether the existing fleet will finish the array in time, after the running tasks and the arrays ahead of
// it. False when time is short: tasks end unevenly, and low priority levels wait for all others.
bool ScaleOutPlanner::supply_suffices(const Job& job, const ArrayEstimate& estimate) const {
    const double elapsed_s = Seconds(now_ - job.accepted).count();
    if (job.spec.need.cpus <= 0 || estimate.slack_s <= elapsed_s) return false;
    if (estimate.finish_s <= min_boot_and_run_factor * (cluster_.longest_cpu_boot_s() + estimate.run_s))
        return false;
    double supply_cpu_s = 0, earlier_cpu_s = 0;
    for (auto& bin : supply_.bins()) {
        if (!supply_.is_eligible(job.spec, supply_.offer_of(bin))) continue;
        double time_s = estimate.finish_s - bin.ready_in_s;
        // On a machine that is not up yet only complete runs after the image fetch count.
        if (bin.ready_in_s > 0)
            time_s = estimate.run_s *
                     std::floor((time_s - job.spec.image_gb / bin.fetch_gb_per_s) / estimate.run_s);
        supply_cpu_s += bin.array_cpus * std::max(0.0, time_s);
        earlier_cpu_s += bin.committed_cpu_s;
    }
    for (auto& work : queued_work_)
        if (job.spec.spot_ok || !work.spot_ok) earlier_cpu_s += work.cpu_s;
    return counted_supply_share * supply_cpu_s >= earlier_cpu_s + estimate.work_cpu_s;
}

// Deducts the tasks that will get a slot freed by ending tasks before a new machine could be up; jobs take
// such slots in queue order. A job that is already late indicates a backlog, which only more machines reduce.
std::uint32_t ScaleOutPlanner::take_freed_slots(const Job& job, std::uint32_t tasks,
                                                const ArrayEstimate& estimate) {
    const double need = job.spec.need.cpus;
    if (estimate.slack_s <= 0 || need <= 0) return tasks;
    for (auto& [slot, cpus] : supply_.freed_cpus()) {
        if (tasks == 0) break;
        if ((slot.spot && !job.spec.spot_ok) || slot.cpus < min_slot_share * need) continue;
        auto taken = std::min<std::uint32_t>(tasks, wire::to_integer_saturated<std::uint32_t>(cpus / need));
        tasks -= taken;
        cpus -= taken * need;
    }
    return tasks;
}

PreemptibleUse ScaleOutPlanner::preemptible_use(const Job& job) const {
    if (job.spec.priority == wire::Priority::production) return PreemptibleUse::all;
    if (job.spec.priority == wire::Priority::normal && cluster_.may_preempt(job, now_))
        return PreemptibleUse::checkpointing;
    return PreemptibleUse::none;
}

// Packs tasks of one shape into bins, and orders machines for the rest. Packing a task only makes its bin a
// better choice for the next task, so the bins are filled in order: the bins are ranked once for a job, not
// once for each of its tasks.
void ScaleOutPlanner::cover(const Job* job, const wire::JobSpec& spec, std::uint32_t tasks,
                            PreemptibleUse use) {
    Packing packing{spec, use, Cluster::ZoneConstraint(cluster_, spec, job), tasks};
    find_suitable_offers(spec);
    rank_fitting_bins(packing);
    for (auto i : fitting_bins_) {
        if (packing.missing == 0) return;
        fill(supply_.bins()[i], packing);
    }
    order_machines(packing);
}

void ScaleOutPlanner::find_suitable_offers(const wire::JobSpec& spec) {
    const auto& offers = supply_.offers();
    suitable_offers_.resize(offers.size());
    for (std::size_t i = 0; i < offers.size(); ++i)
        suitable_offers_[i] = supply_.is_eligible(spec, offers[i]);
}

// Ranks machines in use first, then spot instances if the job may use them, then the bins with the fewest
// free CPUs, then those with more cached images.
void ScaleOutPlanner::rank_fitting_bins(const Packing& packing) {
    const auto& bins = supply_.bins();
    fitting_bins_.clear();
    for (std::size_t i = 0; i < bins.size(); ++i)
        if (suitable_offers_[bins[i].offer] && bins[i].task_slots > 0 &&
            packing.spec.need.fits(bins[i].available_with(packing.use)))
            fitting_bins_.push_back(i);
    auto rank = [&](std::size_t i) {
        const MachineBin& bin = bins[i];
        return std::tuple(!bin.used, packing.spec.spot_ok && !supply_.offer_of(bin).spot, bin.available.cpus,
                          ~bin.cached_images, i);
    };
    std::sort(fitting_bins_.begin(), fitting_bins_.end(),
              [&](std::size_t x, std::size_t y) { return rank(x) < rank(y); });
}

void ScaleOutPlanner::fill(MachineBin& bin, Packing& packing) const {
    const wire::Resources& need = packing.spec.need;
    const std::string& zone = supply_.offer_of(bin).zone;
    while (packing.missing > 0 && bin.task_slots > 0 && need.fits(bin.available_with(packing.use)) &&
           packing.zones.allows(zone)) {
        bin.available -= need;
        --bin.task_slots;
        bin.used = true;
        packing.zones.add(zone);
        --packing.missing;
    }
}

void ScaleOutPlanner::order_machines(Packing& packing) {
    while (packing.missing > 0) {
        auto offer = cheapest_offer(packing);
        if (!offer) return;
        fill(supply_.add_bin(*offer), packing);
        ++orders_[supply_.offers()[*offer]];
    }
}

std::optional<std::size_t> ScaleOutPlanner::cheapest_offer(const Packing& packing) const {
    const auto& offers = supply_.offers();
    std::optional<std::size_t> cheapest;
    double lowest_cost = 0;
    for (std::size_t i = 0; i < offers.size(); ++i) {
        if (!suitable_offers_[i] || !packing.zones.allows(offers[i].zone)) continue;
        const auto& type = cluster_.types().at(offers[i].type);
        if (!packing.spec.need.fits({type.cpus, type.gpus, type.mem_gb})) continue;
        if (backoff_.is_backing_off(offers[i], now_)) continue;
        // Only one machine is ordered of an offer whose last order was refused: the remaining demand must not
        // wait for a likely refusal while other offers have capacity.
        if (backoff_.was_refused(offers[i]) && ordered(offers[i]) > 0) continue;
        const double cost = cost_per_task(packing.spec.need, type, offers[i].spot, packing.missing,
                                          cluster_.max_tasks_per_machine());
        if (!cheapest || cost < lowest_cost) cheapest = i, lowest_cost = cost;
    }
    return cheapest;
}

int ScaleOutPlanner::ordered(const Offer& offer) const {
    int count = 0;
    if (auto it = orders_.find(offer); it != orders_.end()) count += it->second;
    for (auto& order : pending_)
        if (order.offer == offer) count += order.count;
    return count;
}

}  // namespace barrowrun::autoscaler
