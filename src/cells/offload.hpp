#pragma once
/// Offloading: chooses which waiting tasks are offered to which other cell. Pure logic: no I/O and no clock.
#include <map>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "cells/settings.hpp"
#include "wire/submission.hpp"

namespace barrowrun::cells {

/// Bounded summary of the free resources of a cell's machines, which the cell sends to other cells.
struct CapacityDigest {
    /// A number of machines with the same free resources.
    struct FreeCapacity {
        wire::Resources free;
        std::uint32_t machines = 0;
    };
    std::vector<FreeCapacity> free_capacities;  ///< at most `max_entries`
    std::uint64_t waiting = 0;  ///< number of waiting tasks; a cell that has any accepts no offers

    static constexpr std::size_t max_entries = 16;
    /// Adds a machine's free resources. Beyond `max_entries`, the two entries whose merging loses the least
    /// capacity are replaced by their component-wise minimum, so that a digest never exceeds the free
    /// capacity.
    void add(const wire::Resources& free);
    /// Returns how many tasks with these needs fit.
    std::uint32_t fits(const wire::Resources& need) const;
    /// Subtracts the capacity that this number of tasks uses.
    void take(const wire::Resources& need, std::uint32_t tasks);
};
wire::Json to_json(const CapacityDigest& digest);
/// Returns nothing if the value is malformed.
std::optional<CapacityDigest> parse_capacity_digest(const wire::Json& value);

/// A job with waiting tasks. Candidates are listed in the order of the queues.
struct OffloadCandidate {
    std::string id, team;
    wire::JobKind kind = wire::JobKind::array;
    wire::Resources need;       ///< resources that each task needs
    std::uint32_t waiting = 0;  ///< number of waiting tasks
    Clock::duration waited{};
};

/// An offer to be made: a number of tasks of the job for the cell `to`.
struct OffloadDecision {
    std::string job, to;
    std::uint32_t tasks = 0;
};

/// Plans offers from the digests of other cells. A digest may be seconds old, so the capacity of each sent
/// offer is subtracted from it until a digest arrives that was requested after the offer was answered.
class OffloadPlanner {
  public:
    /// Records a digest; `requested`: when its request was sent.
    void on_digest(const std::string& cell, CapacityDigest digest, TimePoint requested, TimePoint now);
    /// Records that an offer was sent: its capacity counts as used, and digests are ignored until the offer
    /// is answered.
    void on_offer_sent(const std::string& cell, const wire::Resources& need, std::uint32_t tasks);
    /// Records that an offer was accepted or refused: digests requested from now on take it into account.
    void on_offer_answered(const std::string& cell, TimePoint now);
    /// Records that the cell refused an offer: the cell gets no offers for the next 10 s.
    void on_offer_refused(const std::string& cell, TimePoint now);

    /// Returns at most `max_offers` offers. Considers array jobs that have waited for
    /// `Settings::offload_after`, in the order of `waiting`, and offers each to the permitted cell with the
    /// most capacity for it.
    std::vector<OffloadDecision> plan_offers(const Settings& settings,
                                             const std::vector<OffloadCandidate>& waiting, TimePoint now,
                                             std::size_t max_offers) const;

  private:
    struct CellView {
        CapacityDigest digest;
        TimePoint received{}, stale_before{}, backoff_until{};
        std::uint32_t unanswered_offers = 0;
    };
    std::map<std::string, CellView> views_;
};

}  // namespace barrowrun::cells
