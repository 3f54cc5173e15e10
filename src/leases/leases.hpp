#pragma once
// Leases of workers that a node keeps while it is cut off together with them. Decisions only: no I/O, no
// clock.
//
// A zone that is cut off goes on working inside, and its workers' leases do not expire as long as a node
// there answers them with a valid token (the protocol, "Outages and cuts"). A node that has lost the leader
// and the state service answers the workers of its own zone without commands, for a bounded time since the
// leader last answered it. A leader takes a lease for over only once no node can have answered in that way.
//
// The bound: a task must be gone `cancel_s` after its user was told that its job is cancelled. With each
// answer of the leader a node learns which machines may hold a task of a cancelled job, launches on their way
// included, and keeps no lease of these; for a job that is cancelled later the last answer comes within
// `keep`, and a lease after that all is gone: keep + lease < cancel_s.
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.hpp"
#include "wire/messages.hpp"

namespace barrowrun::leases {

// For how long after its last contact a node may answer; zero: never.
Clock::duration keep_for(double lease_s, double cancel_s);
// For how long a node promises, with each sign of life to a leader that answers it, to keep nothing.
inline constexpr std::chrono::milliseconds quiet{2500};

// What the leader tells with its answer to a node's sign of life.
struct Grant {
    std::uint64_t token = 0;
    std::uint64_t stamp = 0;    // ms on the leader's clock; means something to it alone
    bool nothing = false;       // nothing may be kept: too many to name
    std::set<std::string> but;  // machines that may hold a task of a cancelled job
};
wire::Json to_json(const Grant& g);
std::optional<Grant> parse_grant(const wire::Json& value);

// What a node says with its sign of life.
struct Sign {
    std::string zone;
    std::uint64_t token = 0, stamp = 0;  // of the last grant; 0: none
    std::uint64_t held_ms = 0;           // how long ago that came
    bool quiet = false;                  // keeps nothing for `quiet` from now
    std::uint64_t own_ms = 0;            // since when it has kept no lease, at the latest its start
};
wire::Json to_json(const Sign& s);
std::optional<Sign> parse_sign(const wire::Json& value);

// A node's side.
class Keeper {
  public:
    Keeper(std::string zone, Clock::duration keep, TimePoint start)
        : zone_(std::move(zone)), keep_(keep), own_(start) {}
    // The leader answered a sign of life that was sent then.
    void granted(TimePoint sent, TimePoint received, Grant grant);
    // This node leads, and has the right to at this moment: it counts as its own contact.
    void leads(TimePoint now, Grant grant);
    Sign sign(TimePoint now);
    // Whether the lease of the machine's worker may be renewed from what this node knows of cancelled jobs:
    // by its last contact nothing there was to be gone, and what was cancelled since is gone in time if it
    // answers now. Whoever hasn't read the records has no better right, a new leader included
    // (docs/incidents/unread-leader.md).
    bool may_renew(const std::string& machine, TimePoint now) const;
    // Whether the report may be answered with the token alone. `cut_off`: neither the leader nor the state
    // service is heard.
    bool may_keep(const wire::Report& report, TimePoint now, bool cut_off);
    std::uint64_t token() const { return grant_.token; }

  private:
    std::string zone_;
    Clock::duration keep_;
    std::optional<TimePoint> contact_;
    TimePoint received_{}, quiet_until_{}, own_;
    Grant grant_;
    bool echoes_ = false;  // the stamp is another's: to be sent back
};

// The leader's side: until when other nodes may have kept leases.
class Cover {
  public:
    // `nodes`: by name; their zones are not known before they say so, so that any may be theirs.
    // `token`: the term's first.
    Cover(const std::set<std::string>& nodes, Clock::duration keep, TimePoint acquired, std::uint64_t token);
    // A sign of life, and whether it is answered with a grant.
    void heard(const std::string& node, const Sign& sign, TimePoint now, bool granted);
    std::uint64_t stamp(TimePoint now) const;
    // The latest moment up to now at which a node may have answered a worker of the zone by itself.
    TimePoint answered(const std::string& zone, TimePoint now) const;

  private:
    struct Node {
        std::optional<std::string> zone;
        TimePoint own{}, quiet_until{}, limit{};
    };
    Clock::duration keep_;
    TimePoint acquired_;
    std::uint64_t first_token_;
    std::map<std::string, Node> nodes_;
};

}  // namespace barrowrun::leases
