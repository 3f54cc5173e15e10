#pragma once
// Stand-in for the cloud: rentals under names that are never reused, boots, a list that is late, returns.
// Plain decisions; starting and ending the machines' processes is the service's.
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "wire/messages.hpp"

namespace barrowrun::lab {

struct CloudLimits {
    double rps = 20, list_lag_s = 1;
    std::size_t machines = 8;   // in all
    double failed_after_s = 1;  // until a machine that died is listed as failed
};

class CloudModel {
  public:
    CloudModel(std::vector<wire::MachineType> types, CloudLimits limits, std::uint64_t seed)
        : types_(std::move(types)), limits_(limits), random_(seed) {}
    struct Machine {
        std::string name, address, type, zone;
        bool spot = false, started = false;
        TimePoint rented{}, boots{};
        std::optional<TimePoint> up, died, gone;
    };
    const std::vector<wire::MachineType>& types() const { return types_; }
    bool within_rate(TimePoint now);
    // The names, or nothing: none to be had. A malformed request is the caller's to refuse: `known` tells.
    std::optional<std::vector<std::string>> rent(const wire::ProvisioningRequest& r, TimePoint now);
    bool known(const wire::ProvisioningRequest& r) const;
    // Machines that are there before anyone asks.
    void warm(std::size_t n, TimePoint now);
    // Whose processes are to be started now.
    std::vector<std::string> boots_due(TimePoint now);
    void came_up(const std::string& name, const std::string& address, TimePoint now);
    void died(const std::string& name, TimePoint now);
    // Their processes have ended already.
    void returned(const std::vector<std::string>& names, TimePoint now);
    wire::MachineList list(const std::string& after, std::size_t page, TimePoint now);
    Machine* find(const std::string& name);
    std::vector<std::string> alive() const;
    // What a successor of this process needs to know: names are not given again, and what ran is dead.
    wire::Json save() const;
    void restore(const wire::Json& saved, TimePoint now);

  private:
    std::string add(const std::string& type, const std::string& zone, bool spot, TimePoint now);
    const wire::MachineType* type(const std::string& name) const;
    std::vector<wire::MachineType> types_;
    CloudLimits limits_;
    std::mt19937_64 random_;
    std::map<std::string, Machine> machines_;
    std::map<std::string, std::vector<std::string>> hires_;
    std::uint64_t last_ = 0;
    double level_ = -1;
    TimePoint level_at_{};
};

}  // namespace barrowrun::lab
