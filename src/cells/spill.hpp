#pragma once
// When work spills over, and how much of it. Decisions only: no I/O, no clock.
#include <map>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "cells/settings.hpp"
#include "wire/submission.hpp"

namespace barrowrun::cells {

// What a cell tells its neighbours of itself: free room, by what is free on one machine.
struct Digest {
    struct Hole {
        wire::Resources free;
        std::uint32_t machines = 0;
    };
    std::vector<Hole> holes;    // at most `most_holes`
    std::uint64_t waiting = 0;  // tasks: a cell in which work waits takes none of others

    static constexpr std::size_t most_holes = 16;
    // Gathers holes of like size; when there are too many sorts, the smaller of two that are nearest stands
    // for both.
    void add(const wire::Resources& free);
    std::uint32_t fits(const wire::Resources& need) const;
    // As if so many tasks had been placed.
    void take(const wire::Resources& need, std::uint32_t tasks);
};
wire::Json to_json(const Digest& d);
std::optional<Digest> parse_digest(const wire::Json& value);

// A job of which tasks wait here, in the queues' order.
struct Candidate {
    std::string id, team;
    wire::JobKind kind = wire::JobKind::array;
    wire::Resources need;
    std::uint32_t waiting = 0;
    Clock::duration waited{};
};

struct Spill {
    std::string job, to;
    std::uint32_t tasks = 0;
};

// What was sent counts against a digest until one comes that is younger than the answer: the view is old by
// seconds.
class Spiller {
  public:
    // `asked`: when the question was sent that it answers.
    void heard(const std::string& cell, Digest digest, TimePoint asked, TimePoint now);
    // A part was offered; its room is used from here on, whatever a digest from before says.
    void sent(const std::string& cell, const wire::Resources& need, std::uint32_t tasks);
    // The part was taken, or refused: digests asked for from here on know of it.
    void answered(const std::string& cell, TimePoint now);
    // A cell that refused is left alone for a while.
    void refused(const std::string& cell, TimePoint now);

    // Arrays by ranges, oldest of the highest level first; those that have waited long enough; to the
    // neighbour with most room for them. At most so many parts at once.
    std::vector<Spill> choose(const Settings& settings, const std::vector<Candidate>& waiting, TimePoint now,
                              std::size_t most) const;

  private:
    struct View {
        Digest digest;
        TimePoint heard{}, blind_until{}, refused_until{};
        std::uint32_t open = 0;  // offers without an answer
    };
    std::map<std::string, View> views_;
};

}  // namespace barrowrun::cells
