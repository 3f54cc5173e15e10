#pragma once
// Histories in which two or three troubles meet that nobody has named: a seed draws the site, its work, the
// troubles and the moments at which they begin.
#include "sim/histories.hpp"

namespace barrowrun::sim {

// SIM_TROUBLES="outage freeze" leaves out all other troubles, to shorten a history that failed.
Drawn pairs(std::uint64_t seed);

// Begins one of the troubles, all of which are over after `longest_trouble`.
inline constexpr std::chrono::seconds longest_trouble{45};
void begin_any_trouble(Site& site);

}  // namespace barrowrun::sim
