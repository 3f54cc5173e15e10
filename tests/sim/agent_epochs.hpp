#pragma once
// Histories in which several old heartbeats of a machine, of different agent epochs, reach a new leader.
#include "sim/histories.hpp"

namespace barrowrun::sim {

// Every other seed adds troubles of `pairs`.
Drawn old_agent_epochs(std::uint64_t seed);

}  // namespace barrowrun::sim
