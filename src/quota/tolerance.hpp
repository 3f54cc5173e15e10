#pragma once

namespace barrowrun::quota {

/// Differences of up to this many CPUs, GPUs or GB count as none, because sums of decimal amounts drift.
inline constexpr double amount_tolerance = 1e-6;

}  // namespace barrowrun::quota
