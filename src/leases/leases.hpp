#pragma once
// Leases of workers that a node keeps while it is cut off together with them. Decisions only: no I/O, no
// clock.
//
// A zone that is cut off goes on working inside, and its workers' leases do not expire as long as a node
// there answers them with a valid token (the protocol, "Outages and cuts"). A node that has lost the leader
// and the state service answers the workers of its own zone without commands, for a bounded time since the
// leader last answered it. A leader takes a lease as expired only once no node can have answered in that way.
//
// The bound: a task must be gone `cancel_s` after its user was told that its job is cancelled. With each
// answer of the leader a node learns which machines may hold a task of a cancelled job, launches on their way
// included, and renews no lease of these; for a job that is cancelled later the last answer comes within
// `renewal_period`, and a lease after that all is gone: renewal_period + lease < cancel_s.
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.hpp"
#include "wire/messages.hpp"

namespace barrowrun::leases {

// For how long after its last contact with a leader a node may renew leases; zero: never. `lease_s`: how long
// a worker's lease lasts; `cancel_s`: how soon after a confirmed cancellation its tasks must be gone.
Clock::duration renewal_period(double lease_s, double cancel_s);
// For how long a node renews no leases, counted from each heartbeat that says so.
inline constexpr std::chrono::milliseconds renewal_pause{2500};

// What a leader allows a node, with its answer to the node's heartbeat.
struct RenewalGrant {
    std::uint64_t fencing_token = 0;
    std::uint64_t timestamp_ms = 0;  // ms on the leader's clock; means something to it alone
    bool grants_nothing = false;     // no lease may be renewed: too many machines would have to be named
    std::set<std::string> excluded_machines;  // they may hold a task of a cancelled job
};
wire::Json to_json(const RenewalGrant& grant);
std::optional<RenewalGrant> parse_renewal_grant(const wire::Json& value);

// A node's part of its heartbeat to the leader, once a second.
struct Heartbeat {
    std::string zone;
    std::uint64_t fencing_token = 0, timestamp_ms = 0;  // of the last grant; 0: none
    std::uint64_t grant_age_ms = 0;                     // how long ago that came
    bool pauses_renewal = false;                        // renews no lease for `renewal_pause` from now
    // How long ago it last renewed a lease; at the most, since its start.
    std::uint64_t last_renewal_age_ms = 0;
};
wire::Json to_json(const Heartbeat& heartbeat);
std::optional<Heartbeat> parse_heartbeat(const wire::Json& value);

// A node's side: which leases it may renew by itself.
class LeaseRenewer {
  public:
    LeaseRenewer(std::string zone, Clock::duration period, TimePoint start)
        : zone_(std::move(zone)), renewal_period_(period), last_renewal_(start) {}
    // The leader answered a heartbeat that was sent then.
    void granted(TimePoint sent, TimePoint received, RenewalGrant grant);
    // This node leads, and has the right to at this moment: it counts as its own contact.
    void leads(TimePoint now, RenewalGrant grant);
    // What to send to the leader now. Pauses its renewals if it says so.
    Heartbeat heartbeat(TimePoint now);
    // Whether the lease of the machine's worker may be renewed from what this node knows of cancelled jobs:
    // by its last contact nothing there was to be gone, and what was cancelled since is gone in time if it
    // answers now. Whoever hasn't read the records has no better right, a new leader included
    // (docs/incidents/unread-leader.md).
    bool may_renew(const std::string& machine, TimePoint now) const;
    // Whether the heartbeat may be answered with the token alone. `cut_off`: neither the leader nor the state
    // service is heard.
    bool may_renew_cut_off(const wire::WorkerHeartbeat& heartbeat, TimePoint now, bool cut_off);
    std::uint64_t fencing_token() const { return grant_.fencing_token; }

  private:
    std::string zone_;
    Clock::duration renewal_period_;
    std::optional<TimePoint> contact_;
    TimePoint received_{}, renewal_paused_until_{}, last_renewal_;
    RenewalGrant grant_;
    bool grant_is_remote_ = false;  // its timestamp is another node's, and goes back with the heartbeat
};

// The leader's side: until when other nodes may have renewed leases.
class RenewalBound {
  public:
    // `nodes`: by name; their zones are not known before they say so, so that any may be theirs.
    // `fencing_token`: the term's first.
    RenewalBound(const std::set<std::string>& nodes, Clock::duration period, TimePoint acquired,
                 std::uint64_t fencing_token);
    // A heartbeat, and whether it is answered with a grant.
    void heard(const std::string& node, const Heartbeat& heartbeat, TimePoint now, bool granted);
    // What a grant is stamped with now; a heartbeat brings it back.
    std::uint64_t timestamp_ms(TimePoint now) const;
    // The latest moment up to now at which a node may have renewed a lease in the zone by itself.
    TimePoint latest_renewal(const std::string& zone, TimePoint now) const;

  private:
    struct Node {
        std::optional<std::string> zone;
        TimePoint last_renewal{}, renewal_paused_until{}, grants_end{};
    };
    Clock::duration renewal_period_;
    TimePoint acquired_;
    std::uint64_t first_fencing_token_;
    std::map<std::string, Node> nodes_;
};

}  // namespace barrowrun::leases
