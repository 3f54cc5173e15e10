#pragma once
// One term of leadership: the cluster's decisions, and the coroutines that carry them out.
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

// Coordinates what belongs to one term: the cluster's decisions, the records, workers, machines and quotas,
// each with an owner of its own. The node drops it when the term ends; coroutines that are still suspended
// keep it alive until then, and look at `may_act` before every act or answer that only a leader may give.
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
    // Reads the records, then starts the term's loops. Until it is done nobody else looks at the cluster.
    Task<> recover();
    Task<> read_delegation_records();
    Task<> recover_delegations(TimePoint now, std::int64_t wall);
    Task<state::Snapshot> read_snapshot();
    Task<> recover_catalog();
    Task<std::size_t> recover_jobs(const state::Snapshot& records, TimePoint now, std::int64_t wall,
                                   net::Slices& slices);
    Task<> recover_machines(const state::Listing& shards, std::int64_t wall, net::Slices& slices);
    void recover_provisioning_requests(const state::Listing& requests);
    Task<> apply_pending_heartbeats(TimePoint now, net::Slices& slices);
    void fence_known_workers(TimePoint now);
    void start_loops();
    Response renew_before_recovery(const wire::WorkerHeartbeat& heartbeat, TimePoint now);
    // Puts a job that this term does not know into its memory, from the records. A response: that can't be.
    Task<std::optional<Response>> load_unknown_job(std::string id);
    Task<> placement_loop();
    Task<> tick_loop();
    Task<> watch_jobs();
    Task<> refresh_fencing_token();
    void log_starvation(TimePoint now);
    void spawn(std::string name, Task<> duty) {
        duties_.spawn(std::move(name), shared_from_this(), std::move(duty));
    }
    void wake_writes_if_any() {
        if (cluster_.has_writes()) record_writer_.wake();
    }
    void add_job(const state::JobRecord& record);

    Services services_;
    placement::Cluster cluster_;
    net::Duties duties_;
    net::Signal placement_signal_;
    TimePoint acquired_;
    bool recovered_ = false, stopped_ = false, refreshing_fencing_token_ = false;
    RecordWriter record_writer_;
    CommandDispatcher dispatcher_;
    Provisioner provisioner_;
    QuotaService quotas_;
    WorkerMonitor worker_monitor_;
    std::uint64_t watch_revision_ = 0;  // of the records that were read: the watch goes on from there
    // Of workers that reported before the records were read: their newest heartbeats, and when leases were
    // renewed by an answer.
    std::map<std::string, wire::WorkerHeartbeat> pending_heartbeats_;
    std::map<std::string, TimePoint> renewals_before_recovery_;
    TimePoint starvation_checked_{};
    const Clock::duration renewal_period_;  // leases::renewal_period
    leases::RenewalBound renewal_bound_;
    std::unique_ptr<CellDelegations> cell_delegations_;
};

}  // namespace barrowrun::api
