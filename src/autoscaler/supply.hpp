#pragma once
// The machines that a scaling plan counts on, as bins to pack tasks into: those that are up or booting, those
// on order, and those that the plan adds.
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "autoscaler/offers.hpp"
#include "placement/cluster.hpp"

namespace barrowrun::autoscaler {

/// Which capacity of running lower-priority work counts as free for a job.
enum class PreemptibleUse {
    none,
    checkpointing,  // only of work that loses nothing when it is stopped
    all,
};

/// Capacity of one machine, as the plan fills it.
struct MachineBin {
    std::string machine;    // its name; empty: not provisioned yet
    std::size_t offer = 0;  // index into Supply::offers()
    wire::Resources available;
    wire::Resources preemptible, preemptible_checkpointing;
    bool used = false;           // something runs there, or was packed into it
    double array_cpus = 0;       // that arrays have or can get
    double committed_cpu_s = 0;  // that running tasks of arrays still need
    double ready_in_s = 0;       // until it is up, as far as can be told
    double fetch_gb_per_s = 0.1;
    std::size_t cached_images = 0;

    wire::Resources available_with(PreemptibleUse use) const;
};

/// Slots of one size that array tasks leave before a new machine could be up.
struct FreedSlot {
    bool spot = false;
    double cpus = 0;  // size of one slot
    auto operator<=>(const FreedSlot&) const = default;
};

/// Built anew for each plan; refers to the cluster, which must outlive it.
class Supply {
  public:
    Supply(const placement::Cluster& cluster, TimePoint now, const std::vector<MachineOrder>& pending);

    const std::vector<Offer>& offers() const { return offers_; }
    const Offer& offer_of(const MachineBin& bin) const { return offers_[bin.offer]; }
    std::vector<MachineBin>& bins() { return bins_; }
    const std::vector<MachineBin>& bins() const { return bins_; }
    /// Total CPUs of the slots that will be freed, by their size; the plan takes from it what it relies on.
    std::map<FreedSlot, double>& freed_cpus() { return freed_cpus_; }

    /// A machine that the plan would provision. Invalidates references to bins.
    MachineBin& add_bin(std::size_t offer);
    /// Whether the job may run on machines of the offer, room aside.
    bool suits(const wire::JobSpec& spec, const Offer& offer) const;

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
