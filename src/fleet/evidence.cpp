#include "fleet/evidence.hpp"

namespace barrowrun::fleet {

const char* describe(GoneEvidence evidence) {
    switch (evidence) {
        case GoneEvidence::later_agent_epoch:
            return "the heartbeat is of a later agent epoch";
        case GoneEvidence::launch_void:
            return "its launch can't be executed any more and the heartbeat doesn't list it";
        case GoneEvidence::worker_knows_token:
            return "the worker knows this leader's fencing token and doesn't list it";
        case GoneEvidence::reaped:
            return "the worker listed it before and doesn't any more";
        case GoneEvidence::agent_epoch_expired:
            return "the machine's lease has expired";
        case GoneEvidence::machine_removed:
            return "the machine is gone";
    }
    return "unknown";
}

std::optional<GoneEvidence> evidence_of_absence(const Assignment& assignment,
                                                const wire::WorkerHeartbeat& heartbeat,
                                                bool from_heartbeat_route, std::uint64_t own_fencing_token) {
    const auto if_launch_is_void = [&](GoneEvidence evidence) -> std::optional<GoneEvidence> {
        if (!assignment.launch_is_void(heartbeat.fencing_token)) return std::nullopt;
        return evidence;
    };
    // An agent epoch ends with all its attempts, and launches name the epoch for which they are meant.
    // Whether this leader had heard of an earlier epoch before is no evidence: the heartbeat may be old, and
    // a previous leader may have started the attempt in the heartbeat's epoch, after the heartbeat was sent.
    if (assignment.may_have_been_sent() && assignment.agent_epoch &&
        heartbeat.agent_epoch > *assignment.agent_epoch)
        return GoneEvidence::later_agent_epoch;
    switch (assignment.phase) {
        case AssignmentPhase::recording:
        case AssignmentPhase::ready:
            return std::nullopt;
        case AssignmentPhase::pushed:
            return if_launch_is_void(GoneEvidence::launch_void);
        case AssignmentPhase::replied:
            // The worker has one heartbeat in flight at a time: the next one shows whether the response to
            // the previous one was received or dropped.
            if (!from_heartbeat_route || heartbeat.seq <= assignment.reply_seq) return std::nullopt;
            return if_launch_is_void(GoneEvidence::launch_void);
        case AssignmentPhase::recovered:
            // Launches of the previous leader are void once the worker has seen this leader's fencing token.
            if (heartbeat.fencing_token < own_fencing_token) return std::nullopt;
            return GoneEvidence::worker_knows_token;
        case AssignmentPhase::confirmed:
            // Listed before and missing now in the same agent epoch. This leader reaps only what no push can
            // start again, unless the push got no answer; earlier versions reaped it under any token.
            if (assignment.direct_launch_token >= own_fencing_token && !assignment.in_flight &&
                !assignment.launch_unanswered)
                return GoneEvidence::reaped;
            return if_launch_is_void(GoneEvidence::reaped);
    }
    return std::nullopt;
}

}  // namespace barrowrun::fleet
