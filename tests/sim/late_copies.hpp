#pragma once
// Histories in which requests that were carried out and answered arrive once more, up to minutes later.
#include "sim/histories.hpp"

namespace barrowrun::sim {

// Copies of transactions of the state service. Every other seed adds troubles of `pairs`.
Drawn copied_transactions(std::uint64_t seed);

}  // namespace barrowrun::sim
