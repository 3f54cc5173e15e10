#pragma once
// Histories that a seed draws: each brings about a meeting of troubles at moments of its own.
#include <functional>
#include <string>

#include "sim/site.hpp"

namespace barrowrun::sim {

// Draws and plays a history; troubles are over at the moment that it gives.
using History = std::function<Nanos(Site& site)>;
struct Drawn {
    SiteOptions options;
    History play;
};
using Draw = std::function<Drawn(std::uint64_t seed)>;

struct Seeds {
    std::uint64_t first = 1, count = 0;
};
// So many, or what SIM_SEEDS ("first count") asks for: more outside CI, or one that failed, again.
Seeds seeds(std::uint64_t count);
// What was broken, by seed, with the command that plays it again; empty: nothing. The number of histories is
// printed. One in which nothing was started counts as broken.
std::string play(const std::string& name, const Draw& draw, Seeds seeds);

// The meetings, as docs/design/meetings.md numbers them.
Drawn gap(std::uint64_t seed);
Drawn close_looks(std::uint64_t seed);
Drawn lost_answers(std::uint64_t seed);
Drawn limits(std::uint64_t seed);
Drawn handover(std::uint64_t seed);
Drawn new_machines(std::uint64_t seed);
Drawn old_reports(std::uint64_t seed);
Drawn many_small(std::uint64_t seed);

}  // namespace barrowrun::sim
