#pragma once
// What proves that an attempt is gone from a machine and won't start there any more.
#include <optional>

#include "fleet/assignment.hpp"
#include "wire/messages.hpp"

namespace barrowrun::fleet {

// Why an attempt that was not reported as exited is known to be gone.
enum class GoneEvidence {
    later_agent_epoch,    // a heartbeat of a later agent epoch than the last one in which it may run
    launch_void,          // no launch of it can be executed any more, and a heartbeat doesn't list it
    worker_knows_token,   // the worker has seen this leader's fencing token, and doesn't list it
    reaped,               // the worker listed it before, and doesn't any more
    agent_epoch_expired,  // the machine's lease has certainly expired
    machine_removed,      // the cloud has taken the machine back, or lists it as failed
};
const char* describe(GoneEvidence evidence);

// What proves, in a heartbeat that doesn't list the attempt, that the attempt is not on the machine and won't
// start there; nothing if the heartbeat is no proof. `own_fencing_token`: the first one of the leader's term.
std::optional<GoneEvidence> evidence_of_absence(const Assignment& assignment,
                                                const wire::WorkerHeartbeat& heartbeat,
                                                bool from_heartbeat_route, std::uint64_t own_fencing_token);

// An event in the life of an attempt on its machine.
struct AssignmentChange {
    // reappeared: a heartbeat lists an attempt that this leader launched and had taken for gone or reaped.
    enum Kind { confirmed, started, ended, lost, reappeared } kind;
    wire::Attempt attempt;
    Assignment assignment;                 // last known state
    std::optional<GoneEvidence> evidence;  // only for `lost`
};

}  // namespace barrowrun::fleet
