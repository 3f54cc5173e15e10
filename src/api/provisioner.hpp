#pragma once
// The leader's use of the cloud API: machine types, the list of machines, provisioning and returning
// machines.
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
    prove_empty,  // declared failed: no task can run there once the cloud has taken the machine back
};

// Owns the open provisioning requests of one term. Each request is recorded before it is sent, so that a new
// leader repeats it. A repeated request with the same name is idempotent.
class Provisioner {
  public:
    struct Host {
        placement::Cluster& cluster;
        std::function<bool()> may_act;  // whether this node holds a valid leader lease now
        std::function<bool()> stopped;  // whether the term has ended
        std::function<void(std::string, net::Task<>)> spawn;  // starts a coroutine that ends with the term
        std::function<void()> wake_placement, wake_writes;
    };
    Provisioner(Services services, Host host) : services_(services), host_(std::move(host)) {}

    // Adds a request that a predecessor recorded. Called before `start`.
    void recover_request(std::string request, state::ProvisioningRecord record);
    std::size_t open_requests() const { return open_requests_.size(); }
    // Starts the loops and repeats the recovered requests.
    void start();
    // A job has arrived. The autoscaler uses the arrival rate.
    void note_arrival(const wire::JobSpec& spec, TimePoint now) { autoscaler_.note_arrival(spec, now); }
    // Returns machines to the cloud and repeats the request until it succeeds. The caller has set their
    // `returning`. `name`: name of the coroutine in the log.
    void return_machines(std::string name, std::vector<std::string> machines, ReturnReason reason);

  private:
    // `repeat`: the request may have been sent before.
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
    std::map<std::string, state::ProvisioningRecord> open_requests_;  // by request name
    std::uint64_t requests_made_ = 0;  // in this term; part of the request names
};

}  // namespace barrowrun::api
