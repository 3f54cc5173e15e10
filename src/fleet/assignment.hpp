#pragma once
// An attempt that may be on a machine, and how far its start has come.
#include <cstdint>
#include <optional>

#include "base/clock.hpp"
#include "wire/messages.hpp"
#include "wire/submission.hpp"

namespace barrowrun::fleet {

// Progress of the start of an attempt.
enum class AssignmentPhase {
    recording,  // its record is being written; no launch was sent
    ready,      // recorded; its launch can be sent
    pushed,     // launch sent to /commands; the answer is pending or was lost
    replied,    // launch sent in the response to a heartbeat
    recovered,  // recorded by a previous leader; it may run, may still start, or be gone
    confirmed,  // the worker has reported it
};
const char* phase_name(AssignmentPhase phase);

struct Assignment {
    AssignmentPhase phase = AssignmentPhase::recording;
    std::uint64_t sent_fencing_token = 0;  // highest token of a launch that may still be delivered
    bool in_flight = false;                // a push with the launch is neither answered nor timed out
    bool launch_unanswered = false;  // a push got no answer; the worker may execute it at any later time
    std::uint64_t reply_seq = 0;
    // The latest agent epoch in which the attempt may be on the machine: that of the launches sent for it, of
    // the heartbeat that listed it, or of a previous leader's record. Unknown if the record doesn't name it.
    std::optional<std::uint64_t> agent_epoch;
    wire::TaskState state = wire::TaskState::fetching;
    wire::Cause cause = wire::Cause::none;
    bool checkpointed = false;
    bool stop_requested = false;
    double grace_s = 0;
    TimePoint stop_at{}, stop_sent{};
    TimePoint placed_at{};   // when the scheduler placed it
    TimePoint started_at{};  // when a heartbeat first showed it running
    TimePoint ended_at{};
    wire::Resources need;
    std::uint32_t account = ~0u;  // node of the quota tree that is charged; ~0u: none
    // Copied from the job, so that decisions about a machine need no look-up of jobs.
    wire::Priority priority = wire::Priority::low;
    bool preemptible = false;  // not a service replica: may be stopped for tasks of higher priority
    bool service = false;
    bool checkpoints = false;
    bool exited() const { return phase == AssignmentPhase::confirmed && state == wire::TaskState::exited; }
    // Whether the attempt may be stopped for a task of priority `higher`.
    bool preemptible_by(wire::Priority higher) const {
        return !exited() && !stop_requested && preemptible && priority > higher;
    }
    // Whether a launch of the attempt was sent, so that it may be on the machine or may still start there.
    bool may_have_been_sent() const {
        return phase != AssignmentPhase::recording && phase != AssignmentPhase::ready;
    }
    // Whether no push of the launch can be executed any more. A push without an answer may still be executed
    // as long as the worker has seen no token higher than that of the push.
    bool launch_settled(std::uint64_t worker_token) const {
        return !in_flight && (!launch_unanswered || worker_token > sent_fencing_token);
    }
};

}  // namespace barrowrun::fleet
