#pragma once
// State of one machine: attempts that may be on it, and what its heartbeats change.
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.hpp"
#include "fleet/evidence.hpp"
#include "state/records.hpp"
#include "wire/messages.hpp"

namespace barrowrun::fleet {

// Whether at least 30 % of the other machines were heard recently; if not, the leader itself may be cut off.
inline bool hears_enough_of_fleet(std::size_t heard_just_now, std::size_t others) {
    return others == 0 ? false : heard_just_now * 10 >= others * 3;
}

class Machine {
  public:
    std::string name, address, type, zone;
    bool spot = false;
    std::uint64_t agent_epoch = 0, seq = 0;
    std::uint64_t fencing_token_seen = 0;  // highest token that its heartbeats have shown
    std::uint64_t fencing_token_sent = 0;  // highest token under which this leader has written to its worker
    bool up = false;                       // this leader has received a heartbeat from its worker
    std::optional<TimePoint> spot_reclaim_at;  // spot notice: nominal time of reclaim by the cloud
    TimePoint no_starts_before{};              // after a record of its starts could not be written
    TimePoint known_since{}, provisioned_at{}, last_heartbeat{}, last_answer{}, idle_since{}, last_probe{};
    TimePoint agent_epoch_known{};  // when the leader first heard of the agent epoch, which began no later
    bool returning = false;         // a return request to the cloud was or will be sent
    bool draining = false;          // gets no new tasks; is emptied, then returned
    bool suspected = false;         // silent; gets no new tasks until it is heard again or proven empty
    bool push_reachable = true;     // its address answers requests of the leader
    bool push_in_flight = false, probe_in_flight = false;
    int missed_probes = 0;          // consecutive probes without an answer
    int errors = 0, successes = 0;  // errors: consecutive task failures
    int attributed_errors = 0;      // of these, failures of jobs that run well elsewhere
    TimePoint last_error{};
    std::optional<TimePoint>
        quarantined_since;  // its tasks fail: it gets no new tasks, running ones continue
    double slowness = 1.0;
    wire::Resources capacity;
    // During a scheduling round: free capacity, and the part reserved for tasks that preempted others.
    wire::Resources free, reserved;
    bool capacity_stale = false;  // its entry in the capacity index is out of date
    double cache_gb = 0, fetch_gb_per_s = 0.1;
    std::unordered_map<wire::Attempt, Assignment, wire::AttemptHash> assignments;
    std::list<std::pair<std::string, double>> images;  // estimated cache, most recently used image first

    wire::Resources unreserved() const {
        auto r = free;
        r -= reserved;
        return r;
    }
    wire::Resources available() const;  // capacity minus the needs of all attempts that may be on the machine
    bool has_image(const std::string& image) const;
    bool fetching(const std::string& image) const { return fetching_.contains(image); }
    void use_image(const std::string& image, double gb);
    void note_fetch(const std::string& image, double gb) { fetching_[image] = gb; }
    bool holds_task(const wire::TaskId& task) const;
    std::size_t live() const;  // number of attempts that may be on the machine and haven't exited
    bool has_live() const;

    // Applies a heartbeat; one that is not newer than the last is ignored and returns false.
    // `from_heartbeat_route`: it was sent to /hello rather than in an answer of /commands; only the former
    // proves that the response to the previous heartbeat was received or dropped.
    bool apply_heartbeat(const wire::WorkerHeartbeat& heartbeat, bool from_heartbeat_route,
                         std::uint64_t own_fencing_token, TimePoint now,
                         std::vector<AssignmentChange>& changes);
    // The latest agent epoch in which any attempt that is or was to be launched here may run; nothing if it
    // is not known of one of them, or if there is none.
    std::optional<std::uint64_t> latest_agent_epoch() const;
    // Adds an attempt from a previous leader's record; two records may list it.
    void recover(const wire::Attempt& attempt, const Assignment& assignment);
    // Starts that were not sent yet are recorded again before they are sent. Returns whether there are any.
    bool return_starts_to_recording();
    // Drops all assignments, because the machine is proven empty: it is gone or its lease has expired.
    void clear(GoneEvidence evidence, std::vector<AssignmentChange>& changes);
    // When the machine's lease has certainly expired, unless this leader answers another heartbeat.
    // `acquired`: until when previous leaders may have answered. An agent epoch starts with its own lease.
    // The leader may learn of it, and start tasks in it, by an answer of /commands or /inspect alone: counted
    // from the last answered heartbeat, the lease seemed expired at once, and those tasks ran twice
    // (docs/incidents/session-known-by-push.md).
    TimePoint lease_expiry(double lease_s, TimePoint acquired) const {
        return std::max({last_answer, acquired, known_since, agent_epoch_known}) +
               upper_bound_with_drift(secs(lease_s));
    }
    // Whether an answer to a heartbeat may renew the machine's lease. Renewals end `keep` after the stop of
    // an attempt was due if an unanswered launch of that attempt may still be executed, under a fencing token
    // that the worker accepts: only the end of the agent epoch voids such a launch for certain, so the lease
    // has to expire.
    bool may_renew(TimePoint now, Clock::duration keep) const;
    // Returns the commands for the worker in a message under `fencing_token_sent`; launches are included only
    // if `launches` is set. Attempts whose launch this token does not void are not reaped.
    using MayReap = std::function<bool(const wire::Attempt&, const Assignment&)>;
    std::vector<wire::Command> commands(TimePoint now, bool launches, const MayReap& may_reap) const;
    // Highest tokens of launches that a message to the worker should void; 0: of none.
    struct LaunchesToVoid {
        std::uint64_t unlisted = 0;  // of attempts that the worker may still start, or has started unseen
        std::uint64_t reapable = 0;  // of exited attempts that may be reaped
    };
    LaunchesToVoid launches_to_void(const MayReap& may_reap) const;

  private:
    // Removes the attempts of which the heartbeat proves that they are gone; those that had not exited are
    // reported as lost.
    void remove_gone(const wire::WorkerHeartbeat& heartbeat, bool from_heartbeat_route,
                     std::uint64_t own_fencing_token, std::vector<AssignmentChange>& changes);
    std::unordered_map<std::string, double> fetching_;
};

}  // namespace barrowrun::fleet
