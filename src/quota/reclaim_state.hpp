#pragma once
// A reclaim plan under construction: the ledger as it will be after the chosen victims have stopped and the
// tasks are placed, the free capacity of each host, and the victims chosen so far.
#include <cstdint>
#include <vector>

#include "quota/reclaim.hpp"

namespace barrowrun::quota {

// Candidates are identified by their index in the list passed to the constructor. The constructor's arguments
// have to outlive the object.
class ReclaimState {
  public:
    ReclaimState(const Ledger& ledger, const std::vector<Resources>& free_capacity,
                 const std::vector<PreemptionCandidate>& candidates, const ReclaimRequest& request);

    // Discards the plan and starts a new one, which does not preempt the candidates in `spared`.
    void restart(const std::vector<std::size_t>& spared);
    // From now on, only candidates of at least this nearness to the account are available.
    void consider(std::uint32_t nearness);

    const ReclaimRequest& request() const { return request_; }
    const PreemptionCandidate& candidate(std::size_t index) const { return candidates_[index]; }
    std::size_t candidate_count() const { return candidates_.size(); }
    std::uint32_t host_count() const { return static_cast<std::uint32_t>(free_.size()); }
    const Resources& free_on(std::uint32_t host) const { return free_[host]; }
    const Ledger& ledger() const { return ledger_; }
    const ReclaimPlan& plan() const { return plan_; }
    // Changes whenever the free capacity, the victims or the required nearness change.
    std::uint64_t revision() const { return revision_; }

    // The distinct nearness values of the candidates, the nearest first. The nearness of a candidate is the
    // depth of the lowest common ancestor of its account and the request's account.
    const std::vector<std::uint32_t>& nearness_classes() const { return nearness_classes_; }
    // Returns whether `a` is preempted in preference to `b`: the nearer one, then the one with less loss.
    bool precedes(std::size_t a, std::size_t b) const;
    // Returns whether the candidate is neither a victim nor spared, and has the required nearness.
    bool available(std::size_t candidate) const;
    // Returns the available candidates with a part on the host, in the order of precedes().
    std::vector<std::size_t> available_on(std::uint32_t host) const;
    Resources need_on(std::size_t candidate, std::uint32_t host) const;

    // Returns whether the request asks for one more task and a guarantee covers it.
    bool wants_more() const;
    // Returns the number of requested tasks that are not placed yet and that a guarantee covers.
    std::uint32_t remaining_tasks() const;

    // Removes a candidate from the ledger without making it a victim. Returns false and changes nothing if it
    // may not be preempted for the request's account in the current state.
    bool release(std::size_t candidate);
    void restore(std::size_t candidate);
    // Calls release() for all of the candidates. If one of them is already a victim or spared, or may not be
    // preempted, restores those released before it and returns false.
    bool release_all(const std::vector<std::size_t>& candidates);
    // Makes released candidates victims and adds their resources to the free capacity.
    void preempt(const std::vector<std::size_t>& released);
    // Reverts preempt() for the most recent victims and charges them to the ledger again.
    void undo_preempt(const std::vector<std::size_t>& latest);

    void place(std::uint32_t host);
    // Places tasks on capacity that is already free, or that the other parts of a preempted gang leave free:
    // this causes no loss.
    void place_in_free_capacity();

  private:
    const Ledger& initial_ledger_;
    const std::vector<Resources>& initial_free_;
    const std::vector<PreemptionCandidate>& candidates_;
    const ReclaimRequest& request_;
    std::vector<NodeId> common_ancestors_;  // of the candidate's and the request's account, by candidate
    std::vector<std::uint32_t> nearness_;   // depth of common_ancestors_, by candidate
    std::vector<std::uint32_t> nearness_classes_;
    std::vector<std::vector<std::size_t>> candidates_on_;  // by host

    Ledger ledger_;
    std::vector<Resources> free_;    // by host
    std::vector<char> unavailable_;  // by candidate: is a victim or spared
    std::uint32_t min_nearness_ = 0;
    std::uint64_t revision_ = 0;
    ReclaimPlan plan_;
};

}  // namespace barrowrun::quota
