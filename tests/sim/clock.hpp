#pragma once
// Virtual time, in place of the machine's clocks where BARROWRUN_VIRTUAL_TIME is defined: whole nodes run on
// it in one thread, and it passes only from event to event.
#include <chrono>
#include <cstdint>

namespace barrowrun::sim {

using Nanos = std::chrono::nanoseconds;

// The world's time, and how the clocks of the process that runs just now differ from it.
struct Present {
    inline static Nanos now{0};
    inline static double rate = 1;
    inline static Nanos day_off{0};
    inline static std::uint32_t seed = 1;
};

struct Clock {
    using duration = Nanos;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock>;
    static constexpr bool is_steady = true;
    static time_point now() noexcept {
        return time_point(std::chrono::seconds(100'000) +
                          Nanos(static_cast<rep>(static_cast<double>(Present::now.count()) * Present::rate)));
    }
};

struct DayClock {
    static std::chrono::sys_time<Nanos> now() noexcept {
        return std::chrono::sys_time<Nanos>(std::chrono::seconds(1'700'000'000) + Present::now +
                                            Present::day_off);
    }
};

inline std::uint32_t fresh_seed() {
    return Present::seed = Present::seed * 1664525u + 1013904223u;
}

}  // namespace barrowrun::sim
