#pragma once
/// Offloading: which waiting tasks are offered to which other cell. Decisions only: no I/O and no clock.
#include <map>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "cells/settings.hpp"
#include "wire/submission.hpp"

namespace barrowrun::cells {

/// A cell's free capacity, as it tells other cells: a bounded summary of what is free on each machine.
struct CapacityDigest {
    /// Machines with the same free resources.
    struct FreeCapacity {
        wire::Resources free;
        std::uint32_t machines = 0;
    };
    std::vector<FreeCapacity> free_capacities;  ///< at most `max_entries`
    std::uint64_t waiting = 0;                  ///< waiting tasks; a cell that has any accepts no offers

    static constexpr std::size_t max_entries = 16;
    /// Adds a machine's free resources. Beyond `max_entries` the two entries that lose least are merged into
    /// their component-wise minimum, so that a digest never promises more than there is.
    void add(const wire::Resources& free);
    /// How many tasks of this size fit.
    std::uint32_t fits(const wire::Resources& need) const;
    /// Removes the capacity that so many tasks take.
    void take(const wire::Resources& need, std::uint32_t tasks);
};
wire::Json to_json(const CapacityDigest& digest);
/// Nothing if the value is malformed.
std::optional<CapacityDigest> parse_capacity_digest(const wire::Json& value);

/// A job with waiting tasks, in the order of the queues.
struct OffloadCandidate {
    std::string id, team;
    wire::JobKind kind = wire::JobKind::array;
    wire::Resources need;  ///< of each task
    std::uint32_t waiting = 0;
    Clock::duration waited{};
};

/// So many tasks of the job are to be offered to the cell `to`.
struct OffloadDecision {
    std::string job, to;
    std::uint32_t tasks = 0;
};

/// Plans offers from the digests of other cells. A digest is seconds old, so offers that were sent count
/// against it until a digest arrives that was requested after the offer was answered.
class OffloadPlanner {
  public:
    /// A digest has arrived; `requested`: when its request was sent.
    void on_digest(const std::string& cell, CapacityDigest digest, TimePoint requested, TimePoint now);
    /// An offer was sent: its capacity counts as used, whatever an earlier digest says.
    void on_offer_sent(const std::string& cell, const wire::Resources& need, std::uint32_t tasks);
    /// An offer was accepted or refused: digests requested from now on take it into account.
    void on_offer_answered(const std::string& cell, TimePoint now);
    /// A cell that refused gets no offers for a while.
    void on_offer_refused(const std::string& cell, TimePoint now);

    /// At most `most` offers: job arrays that waited for `Settings::offload_after`, in the given order, each
    /// to the permitted cell with the most capacity for it.
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
