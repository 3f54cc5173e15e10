#pragma once
// One term of leadership: the cluster's decisions, and the coroutines that carry them out.
#include <map>
#include <memory>

#include "api/cell_delegations.hpp"
#include "api/quota_service.hpp"
#include "autoscaler/autoscaler.hpp"
#include "election/election.hpp"
#include "fleet/cloud_client.hpp"
#include "fleet/failure_detector.hpp"
#include "fleet/reachability.hpp"
#include "leases/leases.hpp"
#include "net/http_server.hpp"
#include "placement/cluster.hpp"
#include "settings/settings.hpp"

namespace barrowrun::api {

using net::Response;
using net::Task;
using wire::Json;

// What every part of a node shares.
struct Services {
    net::asio::io_context& io;
    const settings::Settings& settings;
    state::StateClient& state;
    fleet::CloudClient& cloud;
    net::HttpClient& workers;
    net::HttpClient& peers;
    election::Election& election;
    std::vector<wire::MachineType>& catalog;  // machine types as last known
    const leases::LeaseRenewer& renewer;      // what this node knows of cancelled jobs without the records
};

// Questions to machines beside their heartbeats, at once: a share of what a process with a fraction of a core
// can do.
inline constexpr int max_concurrent_probes = 16;

class Leader : public std::enable_shared_from_this<Leader> {
  public:
    Leader(Services services, std::uint64_t fencing_token, TimePoint acquired);
    void start();
    void stop();

    bool recovered() const { return recovered_; }
    // Its part with other cells; nothing: there are none, or the records are still being read.
    CellDelegations* cells() { return recovered_ ? cell_delegations_.get() : nullptr; }
    bool may_act() const { return !stopped_ && services_.election.leading(Clock::now()); }
    // A worker's heartbeat, at this node or by way of another.
    Task<Response> worker_heartbeat(wire::WorkerHeartbeat heartbeat, bool direct);
    // This node renewed the lease of a machine's worker while the term had no right to act
    // (leases::LeaseRenewer). The right may come back, and then the lease counts from there
    // (docs/incidents/lapsed-right.md).
    void lease_renewed(const std::string& machine, TimePoint when);
    // The state of a job if this leader knows it, and no record that changes it is under way.
    std::optional<wire::JobStatus> status(const std::string& id) const;
    Task<Response> cancel(std::string id);
    // A job was accepted by some node and is on record.
    Task<> job_accepted(std::string id);
    void job_accepted_locally(const state::JobRecord& record);
    bool admits(std::uint32_t tasks) const { return cluster_.queue().admits(tasks); }
    std::uint64_t waiting() const { return cluster_.queue().waiting(); }
    // Operators: what every node of the quotas has in use, in pages; a change, on record before it is
    // answered; what keeps a job waiting.
    Response quota_page(std::uint64_t since, std::uint64_t page) const;
    Task<Response> change_quotas(Json change);
    std::optional<Json> explain(const std::string& id) const;
    // Another node's heartbeat; what it may keep until the next, if its answer may say so.
    std::optional<leases::RenewalGrant> node_heartbeat(const std::string& node,
                                                       const leases::Heartbeat& heartbeat);
    std::optional<leases::RenewalGrant> grant() const;
    std::uint64_t quota_version() const { return quotas_.version(); }
    const quota::Tree& quota_tree() const { return cluster_.ledger().tree(); }

  private:
    Task<> recover();
    Task<> recover_quotas();
    void apply_quotas(quota::VersionedQuotas book, quota::TreePtr tree);
    Task<> placement_loop();
    Task<> write_loop();
    Task<> tick_loop();
    Task<> watch_jobs();
    Task<> refresh_machine_types();
    Task<> reconcile_cloud_machines();
    Task<> scaling_loop();
    Task<> provision(std::string request, state::ProvisioningRecord record,
                     bool asked);  // asked: it may have been sent before
    Task<> deprovision(std::vector<std::string> names, bool proof);
    Task<> dispatch(std::string machine, bool fence);
    Task<> probe(std::string machine);
    void start_probe(fleet::Machine& m) {  // unless a question to it is open
        m.probing = true;
        spawn("probe " + m.name, probe(m.name));
    }
    Task<> fence_known_workers(std::shared_ptr<std::deque<std::string>> names);
    Task<> refresh_fencing_token();
    void log_starvation(TimePoint now);
    void spawn(std::string name, Task<> duty) {
        duties_.spawn(std::move(name), shared_from_this(), std::move(duty));
    }
    void dispatch_pending_commands();
    void add_job(const state::JobRecord& record);

    Services services_;
    placement::Cluster cluster_;
    autoscaler::Autoscaler autoscaler_;
    net::Duties duties_;
    net::Signal placement_signal_, write_signal_;
    TimePoint acquired_;
    bool recovered_ = false, stopped_ = false, refreshing_fencing_token_ = false;
    quota::VersionedQuotas quotas_;
    bool changing_quotas_ = false;
    std::uint64_t watch_revision_ = 0, requests_made_ = 0;
    std::map<std::string, wire::WorkerHeartbeat>
        pending_heartbeats_;                                     // heartbeats before the records were read
    std::map<std::string, TimePoint> renewals_before_recovery_;  // leases renewed by then
    std::map<std::string, state::ProvisioningRecord> open_requests_;
    TimePoint last_worker_heartbeat_{}, starvation_checked_{}, reachability_probed_{};
    fleet::FailureDetector failure_detector_;
    fleet::LeaderReachability reachability_;
    const Clock::duration renewal_period_;  // leases::renewal_period
    leases::RenewalBound renewal_bound_;
    std::unique_ptr<CellDelegations> cell_delegations_;
    TimePoint lagging_until_{};  // as it was last said
};

}  // namespace barrowrun::api
