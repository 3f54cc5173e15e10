#pragma once
// Seeds for random number generators that differ from process to process.
#include <cstdint>
#include <random>
#ifdef BARROWRUN_VIRTUAL_TIME
#include <sim/clock.hpp>
#endif

namespace barrowrun {
inline std::uint32_t fresh_seed() {
#ifdef BARROWRUN_VIRTUAL_TIME
    return sim::fresh_seed();  // derived from the simulation's seed, so that a run can be repeated
#else
    return std::random_device{}();
#endif
}
}  // namespace barrowrun
