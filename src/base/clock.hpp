#pragma once
// The clocks and time types of this program, and safety margins for clock drift.
#include <algorithm>
#include <chrono>
#include <cstdint>
#ifdef BARROWRUN_VIRTUAL_TIME  // set for tests/sim only: whole nodes run on a clock that the test advances
#include <sim/clock.hpp>
#endif

namespace barrowrun {
#ifdef BARROWRUN_VIRTUAL_TIME
using Clock = sim::Clock;
using DayClock = sim::DayClock;
#else
using Clock = std::chrono::steady_clock;
using DayClock = std::chrono::system_clock;
#endif
using TimePoint = Clock::time_point;
using Seconds = std::chrono::duration<double>;

// Longest duration that `secs` returns, about 30 years: sums of several still fit the clock's representation.
inline constexpr double max_duration_s = 1e9;

// Durations come from messages and settings, too: those outside the clock's range are limited.
inline Clock::duration secs(double s) {
    return std::chrono::duration_cast<Clock::duration>(
        Seconds(std::clamp(s, -max_duration_s, max_duration_s)));
}

// Steady clocks of different machines drift apart by up to 0.05%. Both sides of a comparison may be off, so
// the margin is twice that, plus 20 ms for the granularity of timers.
inline constexpr double drift = 0.001;
inline Clock::duration upper_bound_with_drift(Clock::duration d) {
    return std::chrono::duration_cast<Clock::duration>(d * (1 + drift)) + std::chrono::milliseconds(20);
}
inline Clock::duration lower_bound_with_drift(Clock::duration d) {
    return std::chrono::duration_cast<Clock::duration>(d * (1 - drift)) - std::chrono::milliseconds(20);
}
// Wall-clock time, for stored records: unlike the steady clock, it stays comparable after a restart.
using DayTime = std::chrono::sys_time<std::chrono::milliseconds>;
inline DayTime day_now() {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(DayClock::now());
}
inline std::int64_t wall_ms() {
    return day_now().time_since_epoch().count();
}
}  // namespace barrowrun
