#pragma once
// Histories in which two or three troubles meet that nobody has named: a seed draws the site, its work, the
// troubles and the moments at which they begin.
#include "sim/histories.hpp"

namespace barrowrun::sim {

// SIM_TROUBLES="outage freeze" leaves out all other troubles, to shorten a history that failed.
Drawn pairs(std::uint64_t seed);

// Begins one of the troubles of `pairs`.
void begin_any_trouble(Site& site);
// Runs until all of them are over, and on for as long as a job may be left waiting then. Returns when they
// were over.
Nanos watch_until_settled(Site& site);

}  // namespace barrowrun::sim
