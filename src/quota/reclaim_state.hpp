#pragma once
// One reclaim plan in the making: the ledger as it will be once the chosen victims are gone and the tasks are
// placed, the free capacity of each host, and who was chosen so far.
#include <cstdint>
#include <vector>

#include "quota/reclaim.hpp"

namespace barrowrun::quota {

// Candidates are named by their index in the list that the state was made with. The arguments of the
// constructor have to outlive it.
class ReclaimState {
  public:
    ReclaimState(const Ledger& ledger, const std::vector<Resources>& free_capacity,
                 const std::vector<PreemptionCandidate>& candidates, const ReclaimRequest& request);

    // Back to the beginning. `spared` candidates go on in any case.
    void restart(const std::vector<std::size_t>& spared);
    // From now on only candidates at least as near to the account are considered.
    void consider(std::uint32_t nearness);

    const ReclaimRequest& request() const { return request_; }
    const PreemptionCandidate& candidate(std::size_t index) const { return candidates_[index]; }
    std::size_t candidate_count() const { return candidates_.size(); }
    std::uint32_t host_count() const { return static_cast<std::uint32_t>(free_.size()); }
    const Resources& free_on(std::uint32_t host) const { return free_[host]; }
    const Ledger& ledger() const { return ledger_; }
    const ReclaimPlan& plan() const { return plan_; }
    // Changes whenever free capacity, victims or the nearness considered do.
    std::uint64_t revision() const { return revision_; }

    // How near relatives candidates are, each value once, the nearest first: the depth of the deepest node
    // that holds both the candidate and the account.
    const std::vector<std::uint32_t>& nearness_classes() const { return nearness_classes_; }
    // Whether `a` is stopped rather than `b`: the nearer relative, then the lesser loss.
    bool precedes(std::size_t a, std::size_t b) const;
    // Neither a victim nor spared, and near enough.
    bool available(std::size_t candidate) const;
    // Those with a part on the host, in the order of precedes().
    std::vector<std::size_t> available_on(std::uint32_t host) const;
    Resources need_on(std::size_t candidate, std::uint32_t host) const;

    // Whether the account is entitled to one task more and wants it.
    bool wants_more() const;
    // Tasks that are still wanted and covered by a guarantee.
    std::uint32_t remaining_tasks() const;

    // Takes a candidate out of the ledger, and out of the ledger only. False: it may not be stopped for this
    // account as things stand; then nothing has changed.
    bool release(std::size_t candidate);
    void restore(std::size_t candidate);
    // All of them or none.
    bool release_all(const std::vector<std::size_t>& candidates);
    // Released candidates become victims, and their capacity is free.
    void preempt(const std::vector<std::size_t>& released);
    // The most recent victims go on after all, and are charged again.
    void undo_preempt(const std::vector<std::size_t>& latest);

    void place(std::uint32_t host);
    // Capacity that is there, or that a gang's other parts have left, costs nothing.
    void place_in_free_capacity();

  private:
    const Ledger& initial_ledger_;
    const std::vector<Resources>& initial_free_;
    const std::vector<PreemptionCandidate>& candidates_;
    const ReclaimRequest& request_;
    std::vector<NodeId> common_ancestors_;  // of candidate and account, by candidate
    std::vector<std::uint32_t> nearness_;   // depth of these
    std::vector<std::uint32_t> nearness_classes_;
    std::vector<std::vector<std::size_t>> candidates_on_;  // by host

    Ledger ledger_;
    std::vector<Resources> free_;    // by host
    std::vector<char> unavailable_;  // by candidate: victim or spared
    std::uint32_t min_nearness_ = 0;
    std::uint64_t revision_ = 0;
    ReclaimPlan plan_;
};

}  // namespace barrowrun::quota
