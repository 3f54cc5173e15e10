#pragma once
// The leader of a cell for one term: it schedules tasks and runs the coroutines that carry the decisions out.
#include <map>
#include <memory>

#include "api/cell_delegations.hpp"
#include "api/command_dispatcher.hpp"
#include "api/provisioner.hpp"
#include "api/quota_service.hpp"
#include "api/record_writer.hpp"
#include "api/services.hpp"
#include "api/worker_monitor.hpp"
#include "placement/cluster.hpp"

namespace barrowrun::api {

using net::Response;
using net::Task;
using wire::Json;

// Owns and connects the components of one term: scheduler state, record writer, command dispatcher, worker
// monitor, provisioner and quota service. The node releases the leader when the term ends; coroutines that
// are still suspended keep the object alive until they end. Each coroutine checks `may_act` before every
// action or response that only a leader may take or give.
class Leader : public std::enable_shared_from_this<Leader> {
  public:
    Leader(Services services, std::uint64_t fencing_token, TimePoint acquired);
    void start();
    void stop();

    bool recovered() const { return recovered_; }
    // Delegations to and from other cells; null if no cells are configured or recovery has not finished.
    CellDelegations* cells() { return recovered_ ? cell_delegations_.get() : nullptr; }
    bool may_act() const { return !stopped_ && services_.election.leading(Clock::now()); }
    // Handles a worker's heartbeat. `direct`: sent to this node, not forwarded by another node.
    Task<Response> worker_heartbeat(wire::WorkerHeartbeat heartbeat, bool direct);
    // This node renewed the lease of a machine's worker while its leader lease had expired
    // (leases::LeaseRenewer). If the leader lease is extended again, the worker's lease must be counted from
    // that renewal (docs/incidents/lapsed-right.md).
    void lease_renewed(const std::string& machine, TimePoint when);
    // The state of a job; nothing if this leader does not know the job, or if the outcome of a write that
    // changes its state is not known yet.
    std::optional<wire::JobStatus> status(const std::string& id) const;
    Task<Response> cancel(std::string id);
    // A node accepted a job, and its record is durable: reads the record and adds the job.
    Task<> job_accepted(std::string id);
    // This node accepted a job, and `record` is durable: adds the job.
    void job_accepted_locally(const state::JobRecord& record);
    bool admits(std::uint32_t tasks) const { return cluster_.queue().admits(tasks); }
    std::uint64_t waiting() const { return cluster_.queue().waiting(); }
    // Requests of operators: the usage of every node of the quota tree, in pages; a change of the quotas,
    // answered once its record is durable; the reason why a job waits.
    Response quota_page(std::uint64_t since, std::uint64_t page) const;
    Task<Response> change_quotas(Json change);
    std::optional<Json> explain(const std::string& id) const;
    // Handles another node's heartbeat. Returns the grant for the response, which allows that node to renew
    // worker leases while it is partitioned from the leader. Nothing if no grant may be given now.
    std::optional<leases::RenewalGrant> node_heartbeat(const std::string& node,
                                                       const leases::Heartbeat& heartbeat);
    std::optional<leases::RenewalGrant> grant() const;
    std::uint64_t quota_version() const { return quotas_.version(); }
    const quota::Tree& quota_tree() const { return cluster_.ledger().tree(); }

  private:
    // Reads the records, then starts the term's loops. No other coroutine reads `cluster_` before it is done.
    Task<> recover();
    Task<> read_delegation_records();
    Task<> recover_delegations(TimePoint now, std::int64_t wall);
    Task<state::Snapshot> read_snapshot();
    Task<> recover_catalog();
    static std::optional<state::Progress> read_progress(const std::vector<const state::KeyValue*>& records,
                                                        const wire::JobSpec& spec);
    Task<std::size_t> recover_jobs(const state::Snapshot& records, TimePoint now, std::int64_t wall,
                                   net::TimeSlicer& slicer);
    Task<> recover_machines(const state::Listing& shards, std::int64_t wall, net::TimeSlicer& slicer);
    void recover_provisioning_requests(const state::Listing& requests);
    Task<> apply_pending_heartbeats(TimePoint now, net::TimeSlicer& slicer);
    void fence_known_workers(TimePoint now);
    void start_loops();
    Response renew_before_recovery(const wire::WorkerHeartbeat& heartbeat, TimePoint now);
    // Loads a job that this term does not know from the records. Returns an error response if the job does
    // not exist or can't be read.
    Task<std::optional<Response>> load_unknown_job(std::string id);
    Task<> placement_loop();
    Task<> tick_loop();
    Task<> watch_jobs();
    void fence_unconfirmed_launches();
    void log_starvation(TimePoint now);
    void log_fencing(TimePoint now);
    void spawn(std::string name, Task<> coroutine) {
        coroutines_.spawn(std::move(name), shared_from_this(), std::move(coroutine));
    }
    void wake_writes_if_any() {
        if (cluster_.has_writes()) record_writer_.wake();
    }
    void add_job(const state::JobRecord& record);

    Services services_;
    placement::Cluster cluster_;
    net::CoroutineGroup coroutines_;
    net::Signal placement_signal_;
    TimePoint acquired_;
    bool recovered_ = false, stopped_ = false;
    RecordWriter record_writer_;
    CommandDispatcher dispatcher_;
    Provisioner provisioner_;
    QuotaService quotas_;
    WorkerMonitor worker_monitor_;
    std::uint64_t watch_revision_ = 0;  // revision of the recovered job records; the watch starts there
    // Heartbeats received before recovery finished: the newest of each machine, and when the machine's lease
    // was last renewed.
    std::map<std::string, wire::WorkerHeartbeat> pending_heartbeats_;
    std::map<std::string, TimePoint> renewals_before_recovery_;
    TimePoint starvation_checked_{}, fencing_logged_{};
    const Clock::duration renewal_period_;  // leases::renewal_period
    leases::RenewalBound renewal_bound_;
    std::unique_ptr<CellDelegations> cell_delegations_;
};

}  // namespace barrowrun::api
