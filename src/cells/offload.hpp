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
struct CapacityDigest {
    struct FreeCapacity {
        wire::Resources free;
        std::uint32_t machines = 0;
    };
    std::vector<FreeCapacity> free_capacities;  // at most `max_entries`
    std::uint64_t waiting = 0;                  // tasks: a cell in which work waits takes none of others

    static constexpr std::size_t max_entries = 16;
    // Gathers holes of like size; when there are too many sorts, the smaller of two that are nearest stands
    // for both.
    void add(const wire::Resources& free);
    std::uint32_t fits(const wire::Resources& need) const;
    // As if so many tasks had been placed.
    void take(const wire::Resources& need, std::uint32_t tasks);
};
wire::Json to_json(const CapacityDigest& d);
std::optional<CapacityDigest> parse_capacity_digest(const wire::Json& value);

// A job of which tasks wait here, in the queues' order.
struct OffloadCandidate {
    std::string id, team;
    wire::JobKind kind = wire::JobKind::array;
    wire::Resources need;
    std::uint32_t waiting = 0;
    Clock::duration waited{};
};

struct OffloadDecision {
    std::string job, to;
    std::uint32_t tasks = 0;
};

// What was sent counts against a digest until one comes that is younger than the answer: the view is old by
// seconds.
class OffloadPlanner {
  public:
    // `asked`: when the question was sent that it answers.
    void on_digest(const std::string& cell, CapacityDigest digest, TimePoint requested, TimePoint now);
    // A part was offered; its room is used from here on, whatever a digest from before says.
    void on_offer_sent(const std::string& cell, const wire::Resources& need, std::uint32_t tasks);
    // The part was taken, or refused: digests asked for from here on know of it.
    void on_offer_answered(const std::string& cell, TimePoint now);
    // A cell that refused is left alone for a while.
    void on_offer_refused(const std::string& cell, TimePoint now);

    // Arrays by ranges, oldest of the highest level first; those that have waited long enough; to the
    // neighbour with most room for them. At most so many parts at once.
    std::vector<OffloadDecision> choose(const Settings& settings,
                                        const std::vector<OffloadCandidate>& waiting, TimePoint now,
                                        std::size_t most) const;

  private:
    struct View {
        CapacityDigest digest;
        TimePoint received{}, stale_before{}, backoff_until{};
        std::uint32_t open = 0;  // offers without an answer
    };
    std::map<std::string, View> views_;
};

}  // namespace barrowrun::cells
