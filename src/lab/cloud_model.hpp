#pragma once
// Model of a simulated cloud: rents machines under names that are never reused, boots them, lists them with a
// delay, and takes them back. It does no I/O; CloudService starts and kills the processes of the machines.
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
    std::size_t machines = 8;   // maximum number of machines
    double failed_after_s = 1;  // delay until a failed machine is listed as failed
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
    // Returns the names of the rented machines, possibly fewer than requested, or nothing if there is no
    // capacity. A repeated request returns the same names. The caller refuses requests for which `known` is
    // false.
    std::optional<std::vector<std::string>> rent(const wire::ProvisioningRequest& request, TimePoint now);
    // Whether the machine type exists in the zone of the request.
    bool known(const wire::ProvisioningRequest& request) const;
    // Adds machines that are available from the start, without a rental request.
    void warm(std::size_t n, TimePoint now);
    // Returns the machines whose boot time has come; the caller starts their processes.
    std::vector<std::string> boots_due(TimePoint now);
    void came_up(const std::string& name, const std::string& address, TimePoint now);
    void died(const std::string& name, TimePoint now);
    // Records that machines were returned. Their processes must have ended before the call.
    void returned(const std::vector<std::string>& names, TimePoint now);
    wire::MachineList list(const std::string& after, std::size_t page, TimePoint now);
    Machine* find(const std::string& name);
    std::vector<std::string> alive() const;
    // Saves and restores the state across a restart of the process. Names are not reused, and all machines of
    // the earlier process are listed as failed.
    wire::Json save() const;
    void restore(const wire::Json& saved, TimePoint now);

  private:
    std::string add_machine(const std::string& type, const std::string& zone, bool spot, TimePoint now);
    const wire::MachineType* type(const std::string& name) const;
    std::vector<wire::MachineType> types_;
    CloudLimits limits_;
    std::mt19937_64 random_;
    std::map<std::string, Machine> machines_;
    std::map<std::string, std::vector<std::string>> rentals_by_request_;
    std::uint64_t last_machine_number_ = 0;
    double tokens_ = -1;
    TimePoint tokens_updated_at_{};
};

}  // namespace barrowrun::lab
