#pragma once
// Selects the tasks to preempt, either to provide a node with its guarantee or to bring a node down to a
// lowered limit. Pure functions of their arguments: no I/O, no clock. A gang is one candidate: it is
// preempted as a whole or not at all.
#include "quota/ledger.hpp"

namespace barrowrun::quota {

// A single task or a whole gang that may be preempted.
struct PreemptionCandidate {
    struct Part {
        std::uint32_t host;
        Resources need;
    };
    std::vector<Part> parts;
    NodeId account = root;
    double loss = 0;           // cost of preempting it, in CPU seconds or any other consistent unit
    bool checkpoints = false;  // its tasks write checkpoints
    Resources need() const;
};

struct ReclaimRequest {
    NodeId account = root;
    Resources need;  // per task
    std::uint32_t tasks = 0;
};

struct ReclaimPlan {
    std::vector<std::size_t> victims;       // indices of candidates
    std::vector<std::uint32_t> task_hosts;  // the host of each task that can be placed
    double loss = 0;
};

// Plans room for as many tasks of the request as the guarantees of its account and of the account's ancestors
// cover, on hosts with the given free capacity. The candidates nearest to the account in the quota tree are
// preempted first, then those with the least loss. Only borrowed capacity is reclaimed, and no more than
// needed.
ReclaimPlan plan_guarantee_reclaim(const Ledger& ledger, const std::vector<Resources>& free_capacity,
                                   const std::vector<PreemptionCandidate>& candidates,
                                   const ReclaimRequest& request);

// Selects candidates within `node` whose preemption brings it down to its limit: checkpointing ones first,
// then those with the least loss. `stopping`: resources that will be freed by tasks already being stopped,
// which are not among the candidates. `checkpointing_only`: other candidates are not preempted for now.
std::vector<std::size_t> plan_limit_reclaim(const Ledger& ledger, NodeId node, const Resources& stopping,
                                            const std::vector<PreemptionCandidate>& candidates,
                                            bool checkpointing_only);

}  // namespace barrowrun::quota
