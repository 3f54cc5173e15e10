#pragma once
// Histories in which requests that were carried out and answered arrive once more, up to minutes later.
#include "sim/histories.hpp"

namespace barrowrun::sim {

// Copies of direct commands to workers. Every other seed adds troubles of `pairs`.
Drawn copied_commands(std::uint64_t seed);
// Copies of transactions of the state service; every fourth seed copies direct commands as well.
Drawn copied_transactions(std::uint64_t seed);

}  // namespace barrowrun::sim
