#pragma once
// Delegations between cells: shards of jobs that this cell delegates to other cells as their origin cell, and
// shards that it runs for other cells as their executor cell.
#include <map>
#include <memory>
#include <utility>

#include "cells/offload.hpp"
#include "cells/records.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "placement/cluster.hpp"
#include "state/state_client.hpp"

namespace barrowrun::api {

// Drives the delegation state machines (src/cells) of one term: records, requests to other cells and their
// requests to this one. `Host` connects it to the leader.
class CellDelegations {
  public:
    using Json = wire::Json;
    struct Host {
        placement::Cluster& cluster;
        state::StateClient& state;
        net::HttpClient& nodes;
        std::function<bool()> may_act;
        std::function<void()> wake_writes, wake_placement;
        std::function<void(std::string, net::Task<>)> spawn;  // starts a coroutine that ends with the term
        std::chrono::milliseconds max_clock_error;
        // After a cancellation, the job's tasks are gone from all machines within `max_cancellation_time`.
        // For this, the lease of a machine that may hold one of them is last renewed within `renewal_period`.
        std::chrono::milliseconds max_cancellation_time, renewal_period;
    };
    CellDelegations(const cells::Settings& settings, Host host);
    // Reads the delegation records. Called before any other records are read. False: not possible now, to be
    // repeated.
    net::Task<bool> read_records();
    // Restores the delegations from these records. Called before any task is started. False: not possible
    // now, to be repeated.
    net::Task<bool> recover(TimePoint now, std::int64_t wall_ms);
    // Whether a heartbeat may be answered. The answer renews the worker's lease, and tasks of a shard must be
    // gone from the machine before the shard's deadline. `machine`: null while the records are being read.
    bool may_renew(const wire::WorkerHeartbeat& heartbeat, const fleet::Machine* machine) const;
    // Loop, twice a second: offers waiting tasks to other cells, repeats requests without a reply, and
    // collects results.
    net::Task<> run();
    // Stops shards whose deadline is near. Called before every scheduling round, and above all before the
    // first one: when leaders succeeded each other faster than `run` checks deadlines, they started tasks of
    // a shard after its deadline.
    void stop_before_deadlines();
    // Handles another cell's request, which is an offer or a recall.
    net::Task<net::Response> handle_request(cells::DelegationRequest request);
    // A summary of this cell's free capacity, for other cells.
    wire::Json capacity_digest();

  private:
    // A shard that this cell has delegated as the origin cell. Kept until its job is over, also once its
    // epoch is closed.
    struct DelegatedShard {
        std::string to;
        cells::DelegationOrigin origin;
        bool write_in_flight = false, request_in_flight = false;
        bool awaiting_first_reply = false;  // offered in this term, the executor has not replied yet
        TimePoint last_request{};
    };
    // A shard that this cell runs as the executor cell, or whose epoch it has closed.
    struct ExecutedShard {
        std::string owner;
        wire::JobSpec spec;
        std::int64_t accepted_ms = 0;
        cells::DelegationExecutor executor;
        bool write_in_flight = false;
    };
    void offload_waiting_tasks(TimePoint now);
    void advance(const std::string& job, TimePoint now);
    net::Task<> send_request(std::string job);
    void write_executor_record(const std::string& job);
    void on_executor_recorded(const std::string& job, const cells::ExecutorRecord& record);
    void collect_executed_changes();
    net::Task<> request_digest(std::string cell, std::string node);
    const cells::PeerCell* peer_cell(const std::string& name) const;
    const std::string& node_of(const std::string& cell);
    std::optional<DayTime> deadline_for(const std::string& job_class) const;
    // How long before its deadline a shard is stopped here.
    std::chrono::milliseconds stop_ahead() const {
        return host_.max_cancellation_time + 2 * host_.max_clock_error + stop_margin;
    }
    DayTime stop_by(DayTime deadline) const { return deadline - stop_ahead(); }
    // Whether the state service of this cell would keep the record of the shard until its end.
    bool fits_into_record(const cells::DelegationRequest& offer) const;
    void stop_executing(const std::string& job);

    // Covers the time until the next check of deadlines, and the recovery of a new leader.
    static constexpr std::chrono::seconds stop_margin{2};

    const cells::Settings& settings_;
    Host host_;
    cells::OffloadPlanner offload_planner_;
    std::map<std::string, DelegatedShard> delegated_;
    std::map<std::string, ExecutedShard> executing_;
    // Records as read, until `recover` restores them, and the earliest deadline of the executor records. A
    // record that can't be read counts as one whose deadline has passed.
    state::Listing origin_listing_;
    std::vector<std::pair<std::string, std::optional<cells::StoredExecutor>>> executor_records_;
    std::optional<DayTime> earliest_deadline_;
    Json digest_;  // last answer of `capacity_digest`
    TimePoint digest_time_{};
    std::map<std::string, std::size_t> node_index_;  // by cell: the node that requests are sent to
};

}  // namespace barrowrun::api
