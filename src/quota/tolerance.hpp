#pragma once

namespace barrowrun::quota {

/// Sums of decimal amounts drift: differences of CPUs, GPUs or GB up to this are none.
inline constexpr double amount_tolerance = 1e-6;

}  // namespace barrowrun::quota
