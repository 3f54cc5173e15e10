#pragma once
// The machines that a scaling plan counts on, as bins to pack tasks into: machines that are up or booting,
// machines on order, and machines that the plan adds.
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "autoscaler/offers.hpp"
#include "placement/cluster.hpp"

namespace barrowrun::autoscaler {

/// Which running tasks of lower priority count as free capacity for a job.
enum class PreemptibleUse {
    none,
    checkpointing,  // only tasks that save checkpoints, which lose nothing when they are stopped
    all,
};

/// Capacity of one machine, as the plan fills it.
struct MachineBin {
    std::string machine;    // machine name; empty: not provisioned yet
    std::size_t offer = 0;  // index into Supply::offers()
    wire::Resources available;
    wire::Resources preemptible, preemptible_checkpointing;
    std::size_t task_slots = 0;  // most tasks that can be added, whatever their size
    bool used = false;           // the machine runs a task, or the plan packed one into it
    double array_cpus = 0;       // CPUs that arrays hold or can get
    double committed_cpu_s = 0;  // CPU time that running array tasks still need
    double ready_in_s = 0;       // estimated time until the machine is up
    double fetch_gb_per_s = 0.1;
    std::size_t cached_images = 0;

    wire::Resources available_with(PreemptibleUse use) const;
};

/// Slots of one size that array tasks will free before a new machine could be up.
struct FreedSlot {
    bool spot = false;
    double cpus = 0;  // size of one slot
    auto operator<=>(const FreedSlot&) const = default;
};

/// Built for each plan. Keeps a reference to the cluster, which must outlive it.
class Supply {
  public:
    Supply(const placement::Cluster& cluster, TimePoint now, const std::vector<MachineOrder>& pending);

    const std::vector<Offer>& offers() const { return offers_; }
    const Offer& offer_of(const MachineBin& bin) const { return offers_[bin.offer]; }
    std::vector<MachineBin>& bins() { return bins_; }
    const std::vector<MachineBin>& bins() const { return bins_; }
    /// Total CPUs of the slots that will be freed, by slot size. The plan deducts the CPUs that it assigns to
    /// tasks.
    std::map<FreedSlot, double>& freed_cpus() { return freed_cpus_; }

    /// Adds a machine that the plan would provision. Invalidates references to bins.
    MachineBin& add_bin(std::size_t offer);
    /// Whether the job may run on machines of the offer, regardless of free capacity.
    bool is_eligible(const wire::JobSpec& spec, const Offer& offer) const;

  private:
    std::size_t index_of(const Offer& offer);
    void add_machine(const fleet::Machine& machine, TimePoint now);
    void add_running_arrays(MachineBin& bin, const fleet::Machine& machine, TimePoint now);

    const placement::Cluster& cluster_;
    std::vector<Offer> offers_;
    std::map<Offer, std::size_t> offer_index_;
    std::vector<MachineBin> bins_;
    std::map<FreedSlot, double> freed_cpus_;
};

/// Nominal boot time of the machine's type.
double boot_s(const placement::Cluster& cluster, const fleet::Machine& machine);

}  // namespace barrowrun::autoscaler
