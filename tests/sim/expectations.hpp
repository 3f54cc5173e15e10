#pragma once
// What the fixed tests of simulated sites expect at their end.
#include <gtest/gtest.h>

#include "sim/faults.hpp"

namespace barrowrun::sim {

// Ends the history; troubles are taken to be over by now.
inline void expect_no_rule_broken(Site& site) {
    EXPECT_EQ(site.verdict(site.world.now()), "") << "seed " << site.options().seed;
}

}  // namespace barrowrun::sim
