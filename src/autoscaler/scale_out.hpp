#pragma once
// Scale out: packs the waiting tasks into the supply, and orders machines for the tasks that don't fit.
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "autoscaler/demand.hpp"
#include "autoscaler/offers.hpp"
#include "autoscaler/supply.hpp"

namespace barrowrun::autoscaler {

/// One planning pass. Keeps references to its arguments, which must outlive it; fills the bins of the supply.
class ScaleOutPlanner {
  public:
    /// `pending`: orders that the cloud has not answered yet.
    ScaleOutPlanner(const placement::Cluster& cluster, TimePoint now, const OfferBackoff& backoff,
                    const std::vector<MachineOrder>& pending, Supply& supply);

    /// Covers all waiting jobs, in the order in which the scheduler places them.
    void cover_queue();
    /// Covers tasks that may be submitted soon.
    void cover_headroom(const Headroom& headroom, PreemptibleUse use);
    /// The orders of this pass, largest first, each no larger than the cloud accepts.
    std::vector<MachineOrder> orders() const;

  private:
    // CPU time needed by an array that is ahead in the queue.
    struct QueuedWork {
        bool spot_ok = false;
        double cpu_s = 0;
    };
    // Estimates of one array: times in seconds from now, work in CPU seconds.
    struct ArrayEstimate {
        double run_s = 0;     // of one task
        double slack_s = 0;   // until all of its tasks should have started; negative: it is late
        double finish_s = 0;  // until all of its tasks should have ended
        double work_cpu_s = 0;
    };
    // Tasks of one shape that are being packed.
    struct Packing {
        const wire::JobSpec& spec;
        PreemptibleUse use;
        placement::Cluster::ZoneConstraint zones;
        std::uint32_t missing = 0;  // tasks that are not packed yet
    };

    std::uint32_t within_limits(const placement::Job& job, std::uint32_t tasks);
    std::uint32_t array_tasks_to_cover(const placement::Job& job, std::uint32_t tasks);
    std::uint32_t missing_slots(const placement::Job& job, std::uint32_t tasks,
                                const ArrayEstimate& estimate) const;
    bool supply_suffices(const placement::Job& job, const ArrayEstimate& estimate) const;
    std::uint32_t take_freed_slots(const placement::Job& job, std::uint32_t tasks,
                                   const ArrayEstimate& estimate);
    PreemptibleUse preemptible_use(const placement::Job& job) const;

    void cover(const placement::Job* job, const wire::JobSpec& spec, std::uint32_t tasks, PreemptibleUse use);
    void find_suitable_offers(const wire::JobSpec& spec);
    void rank_fitting_bins(const Packing& packing);
    void fill(MachineBin& bin, Packing& packing) const;
    void order_machines(Packing& packing);
    std::optional<std::size_t> cheapest_offer(const Packing& packing) const;
    int ordered(const Offer& offer) const;

    const placement::Cluster& cluster_;
    const TimePoint now_;
    const OfferBackoff& backoff_;
    const std::vector<MachineOrder>& pending_;
    Supply& supply_;
    std::optional<quota::Ledger> planned_usage_;  // set only if quota limits exist
    std::vector<QueuedWork> queued_work_;
    std::map<Offer, int> orders_;
    // Scratch buffers for the job that is being covered; members to avoid allocations.
    std::vector<char> suitable_offers_;
    std::vector<std::size_t> fitting_bins_;
};

}  // namespace barrowrun::autoscaler
