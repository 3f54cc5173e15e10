#include "fleet/assignment.hpp"

namespace barrowrun::fleet {

const char* phase_name(AssignmentPhase phase) {
    switch (phase) {
        case AssignmentPhase::recording:
            return "recording";
        case AssignmentPhase::ready:
            return "ready";
        case AssignmentPhase::pushed:
            return "pushed";
        case AssignmentPhase::replied:
            return "replied";
        case AssignmentPhase::recovered:
            return "recovered";
        case AssignmentPhase::confirmed:
            return "confirmed";
    }
    return "unknown";
}

}  // namespace barrowrun::fleet
