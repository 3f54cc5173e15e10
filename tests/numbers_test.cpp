// Extreme numbers in settings, messages and records: each has one defined result on every kind of machine.
#include "wire/numbers.hpp"

#include <gtest/gtest.h>

#include "net/connection_limiter.hpp"
#include "settings/settings.hpp"
#include "support.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;

namespace {
constexpr double two_to_64 = 18446744073709551616.0;
constexpr double extremes[] = {-1e300, -two_to_64, -1.0, 0.0, 1e-300, 0.5, 1e13, two_to_64, 1e300};
}  // namespace

TEST(Numbers, AnIntegerTypeThatCannotHoldTheNumberGivesNoInteger) {
    EXPECT_EQ(wire::to_integer<std::uint64_t>(two_to_64), std::nullopt);
    EXPECT_EQ(wire::to_integer<std::uint64_t>(std::nextafter(two_to_64, 0.0)), 18446744073709549568u);
    EXPECT_EQ(wire::to_integer<std::int64_t>(two_to_64 / 2), std::nullopt);
    EXPECT_EQ(wire::to_integer<std::int64_t>(-two_to_64 / 2), std::numeric_limits<std::int64_t>::min());
    EXPECT_EQ(wire::to_integer<std::uint32_t>(-1), std::nullopt);
    EXPECT_EQ(wire::to_integer<std::uint32_t>(-0.5), 0u);
    EXPECT_EQ(wire::to_integer<std::uint32_t>(4294967295.5), 4294967295u);
    EXPECT_EQ(wire::to_integer<int>(std::nan("")), std::nullopt);
}

TEST(Numbers, SaturationGivesTheNearestInteger) {
    EXPECT_EQ(wire::to_integer_saturated<std::uint32_t>(1e300), 4294967295u);
    EXPECT_EQ(wire::to_integer_saturated<std::uint32_t>(-1e300), 0u);
    EXPECT_EQ(wire::to_integer_saturated<std::int64_t>(-1e300), std::numeric_limits<std::int64_t>::min());
    EXPECT_EQ(wire::to_integer_saturated<int>(std::nan("")), 0);
    EXPECT_EQ(wire::to_integer_saturated<int>(7.9), 7);
}

TEST(Numbers, DurationsAreLimitedToTheRangeOfTheClock) {
    EXPECT_EQ(secs(1e300), secs(max_duration_s));
    EXPECT_EQ(secs(-1e300), -secs(max_duration_s));
    EXPECT_LT(Clock::duration::zero(), upper_bound_with_drift(secs(two_to_64)));
    EXPECT_LT(TimePoint{}, TimePoint{} + secs(two_to_64) + secs(two_to_64));
}

// A user's job, a worker's notice and a cloud's machine type with extreme numbers, up to the plan of renting.
TEST(Numbers, ExtremeAmountsOfUsersWorkersAndTheCloudKeepTheSchedulerWorking) {
    for (double extreme : extremes) {
        if (extreme < 0) continue;
        Fleet f;
        wire::MachineType type{"odd", extreme, extreme, extreme, extreme,
                               0.01,  extreme, extreme, extreme, {"a"}};
        f.cluster->set_types({type});
        f.up("n-1");
        auto spec = f.spec("wk-1", 3, std::min(extreme, 1e12));
        spec.estimate_s = spec.save_s = spec.checkpoint_s = spec.image_gb = std::min(extreme, 1e12);
        spec.deadline_s = std::min(extreme, 1e12);
        f.add(spec);
        f.add(f.spec("wk-2", 2, 1e-300));
        auto heartbeat = f.heartbeat("n-1");
        heartbeat.notice_s = extreme;
        EXPECT_TRUE(f.cluster->on_heartbeat(heartbeat, true, f.now));
        f.schedule_and_write();
        autoscaler::Autoscaler scaler;
        (void)scaler.plan(*f.cluster, f.now, {});
        EXPECT_EQ(f.cluster->jobs().size(), 2u);
    }
}
