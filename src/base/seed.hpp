#pragma once
// What makes one process's draws differ from another's.
#include <cstdint>
#include <random>
#ifdef BARROWRUN_VIRTUAL_TIME
#include <sim/clock.hpp>
#endif

namespace barrowrun {
inline std::uint32_t fresh_seed() {
#ifdef BARROWRUN_VIRTUAL_TIME
    return sim::fresh_seed();  // the same seed gives the same history
#else
    return std::random_device{}();
#endif
}
}  // namespace barrowrun
