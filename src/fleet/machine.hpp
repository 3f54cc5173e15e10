#pragma once
// What may be on a machine, and what proves that it is not.
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.hpp"
#include "state/records.hpp"
#include "wire/messages.hpp"

namespace barrowrun::fleet {

// How far the start of an attempt has come.
enum class AssignmentPhase {
    recording,  // its record is being written; nothing was sent
    ready,      // recorded, to be sent
    pushed,     // sent to /commands, no answer yet, or none at all (unsettled)
    replied,    // sent in the response to a heartbeat
    recovered,  // a predecessor recorded it; it may be there, may still start, or be gone
    confirmed,  // the worker has reported it
};

struct Assignment {
    AssignmentPhase phase = AssignmentPhase::recording;
    std::uint64_t sent_fencing_token = 0;  // highest token under which a launch may still be on its way
    bool in_flight = false;          // a push that carries the launch has not been answered or given up yet
    bool launch_unanswered = false;  // such a push got no answer: it may execute any time later
    std::uint64_t reply_seq = 0;
    wire::TaskState state = wire::TaskState::fetching;
    wire::Cause cause = wire::Cause::none;
    bool checkpointed = false;
    bool stop_requested = false;
    double grace_s = 0;
    TimePoint stop_at{}, stop_sent{};
    TimePoint placed_at{};   // when it was placed
    TimePoint started_at{};  // when it was first seen running
    TimePoint ended_at{};
    wire::Resources need;
    std::uint32_t account = ~0u;  // what it is charged to, as long as it is
    // Of its job, kept here so that a look at a machine needs no look-up of jobs.
    wire::Priority priority = wire::Priority::low;
    bool preemptible = false;  // no replica: lower work may be stopped for higher
    bool service = false;
    bool checkpoints = false;
    bool exited() const { return phase == AssignmentPhase::confirmed && state == wire::TaskState::exited; }
    // Whether it may be stopped for work of the level.
    bool preemptible_by(wire::Priority higher) const {
        return !exited() && !stop_requested && preemptible && priority > higher;
    }
};

// Whether a silence is the machine's rather than ours: enough of the others were heard just now.
inline bool hears_enough_of_fleet(std::size_t heard_just_now, std::size_t others) {
    return others == 0 ? false : heard_just_now * 10 >= others * 3;
}

struct AssignmentChange {
    enum Kind { confirmed, started, ended, lost } kind;
    wire::Attempt attempt;
    Assignment assignment;  // as it was last known
};

class Machine {
  public:
    std::string name, address, type, zone;
    bool spot = false;
    std::uint64_t agent_epoch = 0, seq = 0, fencing_token_seen = 0;
    bool up = false;                           // its worker has reported to us
    std::optional<TimePoint> spot_reclaim_at;  // spot notice: when the cloud takes it, as nominally announced
    TimePoint known_since{}, provisioned_at{}, last_heartbeat{}, last_answer{}, idle_since{}, probed{};
    TimePoint agent_epoch_known{};  // when we first heard of the agent epoch: it began no later
    bool returning = false;         // a return request is out, or will be
    bool draining = false;          // to be emptied and returned
    bool suspected = false;         // silent, to be proven empty
    bool push_reachable = true;     // its address answers us
    bool pushing = false, probing = false;
    int missed_probes = 0;          // questions in a row that it did not answer
    int errors = 0, successes = 0;  // failures in a row
    int attributed_errors = 0;      // of them, those of jobs that run well elsewhere
    TimePoint last_error{};
    std::optional<TimePoint>
        quarantined_since;  // it fails what it starts: nothing new for it, what runs goes on
    double slowness = 1.0;
    wire::Resources capacity;
    // In a placing round: room, and what of it is kept for tasks that lower work was stopped for.
    wire::Resources free, reserved;
    bool capacity_stale = false;  // its place among the rooms is out of date
    double cache_gb = 0, fetch_gb_per_s = 0.1;
    std::unordered_map<wire::Attempt, Assignment, wire::AttemptHash> assignments;
    std::list<std::pair<std::string, double>> images;  // most recently used first, as far as we can tell

    wire::Resources unreserved() const {
        auto r = free;
        r -= reserved;
        return r;
    }
    wire::Resources available() const;  // capacity less all that may be there
    bool has_image(const std::string& image) const;
    bool fetching(const std::string& image) const { return fetching_.contains(image); }
    void use_image(const std::string& image, double gb);
    void note_fetch(const std::string& image, double gb) { fetching_[image] = gb; }
    bool holds_task(const wire::TaskId& task) const;
    std::size_t live() const;  // attempts that may be there, exited ones aside
    bool has_live() const;

    // Applies a heartbeat. `reply` tells a heartbeat to /hello from an answer of /commands: only the former
    // proves that an earlier response was received or dropped. Nothing happens for a heartbeat that is not
    // newer.
    bool apply_heartbeat(const wire::WorkerHeartbeat& heartbeat, bool from_heartbeat_route,
                         std::uint64_t own_fencing_token, TimePoint now,
                         std::vector<AssignmentChange>& changes);
    // The machine is proven empty: gone, or its lease has run out.
    void clear(std::vector<AssignmentChange>& changes);
    // When its lease has certainly run out if we don't answer it again; `acquired`: until when others may
    // have answered it. A new agent epoch has a lease of its own from its beginning, without any answer of
    // ours. We may hear of it, and start tasks in it, by an answer of /commands or /inspect alone: counted
    // from the last answered heartbeat those tasks were taken for gone at once, and ran twice
    // (docs/incidents/session-known-by-push.md).
    TimePoint lease_expiry(double lease_s, TimePoint acquired) const {
        return std::max({last_answer, acquired, known_since, agent_epoch_known}) + longer(secs(lease_s));
    }
    // Whether its lease may be renewed. Not for ever while the launch of a task that has to be gone may still
    // be carried out, late, under a token that the worker takes: only the end of its agent epoch is certain
    // to void that, and has to come in time. `keep`: how long after the stop was decided an answer still
    // does.
    bool may_renew(TimePoint now, Clock::duration keep) const;
    // What to tell the worker now. `launches` says whether launches may go with it.
    std::vector<wire::Command> commands(
        TimePoint now, bool launches,
        const std::function<bool(const wire::Attempt&, const Assignment&)>& may_reap) const;

  private:
    std::unordered_map<std::string, double> fetching_;
};

}  // namespace barrowrun::fleet
