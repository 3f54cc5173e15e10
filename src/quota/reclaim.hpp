#pragma once
// Which tasks yield: to give a node its guarantee, or to bring one down to a lowered limit. State -> what is
// to be stopped; no I/O, no clock. A gang is one unit: it is stopped whole or not at all.
#include "quota/ledger.hpp"

namespace barrowrun::quota {

// A task that may be stopped, or a gang.
struct PreemptionCandidate {
    struct Part {
        std::uint32_t host;
        Resources need;
    };
    std::vector<Part> parts;
    NodeId account = root;
    double loss = 0;           // what stopping it costs, in CPU seconds or any one measure
    bool checkpoints = false;  // it saves what it has done
    Resources need() const;
};

struct ReclaimRequest {
    NodeId account = root;
    Resources need;  // of one task
    std::uint32_t tasks = 0;
};

struct ReclaimPlan {
    std::vector<std::size_t> victims;       // units
    std::vector<std::uint32_t> task_hosts;  // a host for each task that will find room
    double loss = 0;
};

// Room for as many tasks of a node below its guarantee as it is entitled to, on hosts with the rooms given.
// Nearest relatives yield first, then the least loss. Only what is borrowed yields, and no more than is
// needed.
ReclaimPlan plan_guarantee_reclaim(const Ledger& ledger, const std::vector<Resources>& rooms,
                                   const std::vector<PreemptionCandidate>& units, const ReclaimRequest& want);

// What brings `node` down to its limit: units within it that aren't being stopped yet, those that save first,
// then the least loss. `stopping`: what those that are will free. `checkpointing_only`: others are let run
// for now.
std::vector<std::size_t> plan_limit_reclaim(const Ledger& ledger, NodeId node, const Resources& stopping,
                                            const std::vector<PreemptionCandidate>& units,
                                            bool checkpointing_only);

}  // namespace barrowrun::quota
