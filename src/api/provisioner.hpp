#pragma once
// The term's part with the cloud: machine types, the list of machines, provisioning requests and returns.
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "api/services.hpp"
#include "autoscaler/autoscaler.hpp"
#include "placement/cluster.hpp"
#include "state/records.hpp"

namespace barrowrun::api {

// Why machines are returned.
enum class ReturnReason {
    not_needed,   // idle, or listed as failed
    prove_empty,  // silent: once it is returned nothing can run there
};

// Owns the open provisioning requests of one term. Each is on record before it is sent, so that a successor
// repeats it rather than forget it; a repeat under the same name is idempotent.
class Provisioner {
  public:
    struct Host {
        placement::Cluster& cluster;
        std::function<bool()> may_act;                        // whether this node leads, at this moment
        std::function<bool()> stopped;                        // the term is over
        std::function<void(std::string, net::Task<>)> spawn;  // ends with the term
        std::function<void()> wake_placement, wake_writes;
    };
    Provisioner(Services services, Host host) : services_(services), host_(std::move(host)) {}

    // A request that a predecessor recorded. Before `start`.
    void recover_request(std::string request, state::ProvisioningRecord record);
    std::size_t open_requests() const { return open_requests_.size(); }
    // Starts the loops, and repeats the requests that were recovered.
    void start();
    // A job has arrived: the autoscaler reckons with the rate of arrivals.
    void note_arrival(const wire::JobSpec& spec, TimePoint now) { autoscaler_.note_arrival(spec, now); }
    // Returns machines to the cloud, and repeats that until it is done. Their `returning` is set by the
    // caller. `name`: of the coroutine, in the log.
    void return_machines(std::string name, std::vector<std::string> machines, ReturnReason reason);

  private:
    // Whether a request may have been sent before.
    enum class Attempt { first, repeat };
    using Listed = wire::ListedMachine;

    net::Task<> refresh_machine_types();
    net::Task<> reconcile_machines();
    void reconcile(const Listed& listed, TimePoint now, std::vector<std::string>& failed);
    net::Task<> scaling_loop();
    void scale(TimePoint now);
    void return_idle(const std::vector<std::string>& machines);
    void request_machines(const autoscaler::MachineOrder& order);
    net::Task<> provision(std::string request, state::ProvisioningRecord record, Attempt attempt);
    void add_machines(const std::vector<std::string>& names, const state::ProvisioningRecord& record,
                      TimePoint sent);
    void close_request(const std::string& request);
    net::Task<> deprovision(std::vector<std::string> machines, ReturnReason reason);
    std::size_t max_open_requests() const;

    Services services_;
    Host host_;
    autoscaler::Autoscaler autoscaler_;
    std::map<std::string, state::ProvisioningRecord> open_requests_;  // by name
    std::uint64_t requests_made_ = 0;                                 // in this term, part of their names
};

}  // namespace barrowrun::api
