#pragma once
// A leader's part with other cells: what it delegates to them and executes for them, as the records and
// answers say.
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

// All of it belongs to one term. What it wants done of the leader stands in `Host`.
class CellDelegations {
  public:
    using Json = wire::Json;
    struct Host {
        placement::Cluster& cluster;
        state::StateClient& state;
        net::HttpClient& nodes;
        std::function<bool()> may_act;
        std::function<void()> wake_writes, wake_places;
        std::function<void(std::string, net::Task<>)> spawn;  // ends with the term
        std::chrono::milliseconds max_clock_error;
        // A cancelled job's tasks are gone within this; and how long after it was cancelled the last answer
        // that renews a lease of a machine that may hold one of them may be given, so that this holds.
        std::chrono::milliseconds gone_within, renewed_within;
    };
    CellDelegations(const cells::Settings& settings, Host host);
    // Reads the records of shards. False: not now. Before any other.
    net::Task<bool> read_records();
    // Takes them over. False: not now. Before anything is started.
    net::Task<bool> recover(TimePoint now, std::int64_t wall_ms);
    // Whether a heartbeat may be answered, which renews the worker's lease: what a shard with a deadline may
    // have on the machine must be gone in time. `m`: absent while the records are being read.
    bool may_renew(const wire::WorkerHeartbeat& heartbeat, const fleet::Machine* m) const;
    // Once a second or so: spills, sends again what has no answer, asks for what is done.
    net::Task<> run();
    // Stops what must be gone before long. Before every round, the first above all: leaders that follow each
    // other faster than `loop` looks started tasks of a shard whose end was over.
    void stop_before_deadlines();
    // Another cell's request: an offer or a recall.
    net::Task<net::Response> handle_request(cells::DelegationRequest request);
    wire::Json capacity_digest();

  private:
    struct Delegated {
        std::string to;
        cells::DelegationOrigin origin;
        bool writing = false, asking = false;
        bool awaiting_first_reply = false;  // offered in this term, and nothing was heard of it yet
        TimePoint last_request{};
    };
    struct Executing {
        std::string owner;
        wire::JobSpec spec;
        std::int64_t accepted_ms = 0;
        cells::DelegationExecutor executor;
        bool writing = false;
    };
    void offload_waiting_tasks(TimePoint now);
    void advance(const std::string& job, TimePoint now);
    net::Task<> exchange(std::string job);
    void write_executor_record(const std::string& job);
    void on_executor_recorded(const std::string& job, const cells::ExecutorRecord& record);
    void collect_executed_changes();
    net::Task<> request_digest(std::string cell, std::string node);
    const cells::PeerCell* peer_cell(const std::string& name) const;
    const std::string& node_of(const std::string& cell);
    std::optional<DayTime> deadline_for(const std::string& job_class) const;
    // How long before its end a shard must be told to stop here.
    std::chrono::milliseconds stop_ahead() const {
        return host_.gone_within + 2 * host_.max_clock_error + slack;
    }
    DayTime stop_by(DayTime deadline) const { return deadline - stop_ahead(); }
    void stop_executing(const std::string& job);

    static constexpr std::chrono::seconds slack{2};  // until the next look, and a takeover's records are read

    const cells::Settings& settings_;
    Host host_;
    cells::OffloadPlanner offload_planner_;
    std::map<std::string, Delegated> delegated_;
    std::map<std::string, Executing> executing_;
    // As read, until they are taken over; and the first end among those held, of one that can't be read: long
    // ago.
    state::Listing origin_listing_;
    std::vector<std::pair<std::string, std::optional<cells::StoredExecutor>>> executor_records_;
    std::optional<DayTime> earliest_deadline_;
    Json digest_;
    TimePoint digest_made_{};
    std::map<std::string, std::size_t> node_;  // which of a cell's nodes answered last
};

}  // namespace barrowrun::api
