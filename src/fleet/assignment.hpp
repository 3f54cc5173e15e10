#pragma once
// An attempt that may be on a machine, and how far its start has come.
#include <cstdint>
#include <optional>

#include "base/clock.hpp"
#include "wire/messages.hpp"
#include "wire/submission.hpp"

namespace barrowrun::fleet {

// An attempt's number is the first fencing token of its leader's term, followed by a counter of these bits.
inline constexpr int attempt_counter_bits = 20;
inline std::uint64_t first_attempt_number(std::uint64_t first_fencing_token) {
    return first_fencing_token << attempt_counter_bits;
}

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
    // Highest fencing token under which its launch was sent to /commands; 0: it was not. The worker may
    // execute the launch, or a late copy of it, until it has seen a higher token. Of a previous leader's
    // launch it is only known that the token was below this term's.
    std::uint64_t direct_launch_token = 0;
    bool in_flight = false;          // a push with the launch is neither answered nor timed out
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
    // Whether a launch was sent to /commands of which it is not known whether the worker executed it.
    bool launch_unconfirmed() const {
        return !in_flight && (launch_unanswered || phase == AssignmentPhase::pushed);
    }
    // Whether a worker that has seen the token refuses every push of the launch. An answer to a push does not
    // void it: a copy may arrive at any later time.
    bool launch_is_void(std::uint64_t worker_token) const {
        return !in_flight && (direct_launch_token == 0 || worker_token > direct_launch_token);
    }
};

}  // namespace barrowrun::fleet
