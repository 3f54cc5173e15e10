#pragma once
// Renewal of worker leases by a node that is in the same network partition as the workers. Pure logic: no I/O
// and no clock.
//
// The network inside a partitioned zone still works, and the leases of its workers do not expire as long as a
// node in the zone answers their heartbeats with a valid token (the protocol, "Outages and cuts"). A node
// that can reach neither the leader nor the state service answers the workers of its own zone without
// commands, for a bounded time after the leader's last answer to it. The leader treats a lease as expired
// only once no node can have renewed it in this way.
//
// The bound: the tasks of a job must have stopped `cancel_s` after the user was told that the job is
// cancelled. Each answer of the leader tells the node which machines may hold a task of a cancelled job,
// including launches in flight, and the node renews no lease of these machines. For a job that is cancelled
// later, the node's last renewal is within `renewal_period` of its last contact, and the worker's lease
// expires after that: renewal_period + lease < cancel_s.
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.hpp"
#include "wire/messages.hpp"

namespace barrowrun::leases {

// Returns how long after its last contact with a leader a node may renew leases; zero: never. `lease_s`: the
// duration of a worker's lease; `cancel_s`: the time after a confirmed cancellation by which the job's tasks
// must have stopped.
Clock::duration renewal_period(double lease_s, double cancel_s);
// How long a node renews no leases after a heartbeat that announces a pause.
inline constexpr std::chrono::milliseconds renewal_pause{2500};

// Permission of the leader for a node to renew leases; part of the answer to the node's heartbeat.
struct RenewalGrant {
    std::uint64_t fencing_token = 0;
    std::uint64_t timestamp_ms = 0;  // ms on the leader's clock; meaningful only to that leader
    bool forbids_renewals = false;   // no lease may be renewed: too many machines would have to be listed
    std::set<std::string> excluded_machines;  // machines that may hold a task of a cancelled job
};
wire::Json to_json(const RenewalGrant& grant);
std::optional<RenewalGrant> parse_renewal_grant(const wire::Json& value);

// The part of a node's heartbeat to the leader that concerns lease renewal; sent once a second.
struct Heartbeat {
    std::string zone;
    std::uint64_t fencing_token = 0, timestamp_ms = 0;  // of the last grant; 0 if there is none
    std::uint64_t grant_age_ms = 0;                     // time since that grant was received
    bool pauses_renewal = false;  // the node renews no lease for the next `renewal_pause`
    // Time since the node last renewed a lease, or since its process started.
    std::uint64_t last_renewal_age_ms = 0;
};
wire::Json to_json(const Heartbeat& heartbeat);
std::optional<Heartbeat> parse_heartbeat(const wire::Json& value);

// The node's side: which leases the node may renew without the leader.
class LeaseRenewer {
  public:
    LeaseRenewer(std::string zone, Clock::duration period, TimePoint start)
        : zone_(std::move(zone)), renewal_period_(period), last_renewal_(start) {}
    // Records the grant that the leader returned to a heartbeat sent at `sent`.
    void record_grant(TimePoint sent, TimePoint received, RenewalGrant grant);
    // Records that this node leads with a valid lease at `now`, which counts as contact with the leader.
    void record_own_leadership(TimePoint now, RenewalGrant grant);
    // Returns the heartbeat to be sent now. Starts the renewal pause if the heartbeat announces one.
    Heartbeat heartbeat(TimePoint now);
    // Whether the lease of the machine's worker may be renewed by what this node knows of cancelled jobs: at
    // the last contact the machine held no task of a cancelled job, and tasks of jobs cancelled since then
    // still stop in time if the node renews now. The rule also applies to a new leader that has not read the
    // records yet (docs/incidents/unread-leader.md).
    bool may_renew(const std::string& machine, TimePoint now) const;
    // Whether the worker's heartbeat may be answered with the token alone, without commands; if so, this
    // counts as a renewal. `partitioned`: this node can reach neither the leader nor the state service.
    bool may_renew_in_partition(const wire::WorkerHeartbeat& heartbeat, TimePoint now, bool partitioned);
    std::uint64_t fencing_token() const { return grant_.fencing_token; }

  private:
    std::string zone_;
    Clock::duration renewal_period_;
    std::optional<TimePoint> last_contact_;
    TimePoint grant_received_{}, renewal_paused_until_{}, last_renewal_;
    RenewalGrant grant_;
    bool grant_is_remote_ = false;  // another node issued the grant; its timestamp is echoed in heartbeats
};

// The leader's side: the latest time at which other nodes may have renewed leases.
class RenewalBound {
  public:
    // `nodes`: names of the other nodes. Until a node reports its zone, it may be in any zone.
    // `fencing_token`: the first token of the term.
    RenewalBound(const std::set<std::string>& nodes, Clock::duration period, TimePoint acquired,
                 std::uint64_t fencing_token);
    // Records a heartbeat; `granted`: whether it is answered with a grant.
    void record_heartbeat(const std::string& node, const Heartbeat& heartbeat, TimePoint now, bool granted);
    // Returns the timestamp for a grant issued now; later heartbeats of the node echo it.
    std::uint64_t timestamp_ms(TimePoint now) const;
    // Returns the latest time up to now at which a node may have renewed a lease in the zone without the
    // leader.
    TimePoint latest_possible_renewal(const std::string& zone, TimePoint now) const;

  private:
    struct Node {
        std::optional<std::string> zone;
        TimePoint last_renewal{}, renewal_paused_until{}, grants_expiry{};
    };
    Clock::duration renewal_period_;
    TimePoint acquired_;
    std::uint64_t first_fencing_token_;
    std::map<std::string, Node> nodes_;
};

}  // namespace barrowrun::leases
