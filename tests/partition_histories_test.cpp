// Random histories of placement. The checker knows which tasks really run on every machine, and compares the
// results of the capacity index with those of a linear search over all machines.
#include "partition_history.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;

namespace {

// Reference implementation of `Cluster::rank_machines`: scores every machine.
std::vector<Machine*> rank_by_linear_search(Cluster& cluster, const Job& job, TimePoint now) {
    std::vector<std::pair<double, Machine*>> scored;
    const auto& spec = job.spec;
    for (auto& [name, machine] : cluster.machines()) {
        Machine& m = *machine;
        auto free = m.available();
        free -= m.reserved;
        if (!spec.need.fits(free) || !cluster.schedulable(m, now) || !cluster.eligible(spec, m)) continue;
        double fetch_s = m.has_image(spec.image)  ? 0
                         : m.fetching(spec.image) ? 0.5 * spec.image_gb / m.fetch_gb_per_s
                                                  : spec.image_gb / m.fetch_gb_per_s;
        double score = -fetch_s * (spec.kind == JobKind::service ? 10.0 : 1.0);
        if (spec.spot_ok && m.spot) score += 8;
        if (job.failed_machines.contains(name)) score -= 1000;
        score -= m.errors * 20.0 + (m.slowness - 1.0) * 30.0;
        if (m.capacity.cpus > 0) score -= 3.0 * (free.cpus - spec.need.cpus) / m.capacity.cpus;
        scored.emplace_back(score, &m);
    }
    std::stable_sort(scored.begin(), scored.end(), [](auto& x, auto& y) { return x.first > y.first + 1e-9; });
    std::vector<Machine*> out;
    for (auto& [score, m] : scored) out.push_back(m);
    return out;
}

// Returns the first violated rule of the history so far; empty if there is none.
std::string first_violation(const PartitionHistory& history) {
    if (!history.violation.empty()) return history.violation;
    auto& cluster = history.cluster;
    const TimePoint now = history.now;
    for (auto& [id, job] : cluster->jobs()) {
        auto indexed = cluster->rank_machines(*job, now),
             expected = rank_by_linear_search(*cluster, *job, now);
        if (indexed != expected)
            return fmt::format(
                "job {}: the index ranks {} machines and a linear search {}, or in another order", id,
                indexed.size(), expected.size());
    }
    for (auto& [name, m] : cluster->machines()) {
        if (m->capacity_stale) continue;  // the next lookup updates the index
        auto& indexed = cluster->capacity_index().find(*m).capacity;
        auto expected = placement::attainable_capacity(*m);
        if (std::abs(indexed.free.cpus - m->available().cpus) > 1e-6 ||
            indexed.has_stopping != expected.has_stopping ||
            indexed.may_yield_capacity != expected.may_yield_capacity)
            return "machine " + name + ": the capacity index has wrong free capacity or flags";
        for (int level = 0; level < wire::priority_levels; ++level)
            if (std::abs(indexed.attainable_for_level(level).cpus -
                         expected.attainable_for_level(level).cpus) > 1e-6)
                return "machine " + name + ": the capacity index has wrong CPUs attainable by preemption";
    }
    return "";
}

}  // namespace

// Guards against tasks that run twice. They did when the leader counted leases from the last answered
// heartbeat alone: an agent epoch of which the leader first learned by a push was taken for expired although
// its worker still had its whole lease.
TEST(PartitionHistories, NoTaskRunsTwiceDespitePartitionsDelayedMessagesAndFailovers) {
    QuietLog quiet;
#ifdef __SANITIZE_ADDRESS__
    constexpr std::uint64_t histories = 500;
#else
    constexpr std::uint64_t histories = 12'000;
#endif
    std::size_t starts = 0, agent_epochs = 0, failovers = 0, expired_leases = 0, renewals_by_node = 0;
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        PartitionHistory history(seed);
        for (int step = 0; step < 200; ++step) {
            history.step();
            auto violation = first_violation(history);
            ASSERT_EQ(violation, "") << "seed " << seed << ", step " << step;
        }
        starts += history.starts, agent_epochs += history.agent_epochs, failovers += history.failovers;
        expired_leases += history.expired_leases, renewals_by_node += history.renewals_by_node;
    }
    EXPECT_GT(starts, 5 * histories);
    EXPECT_GT(agent_epochs, histories);
    EXPECT_GT(failovers, histories);
    EXPECT_GT(expired_leases, histories / 20);
    EXPECT_GT(renewals_by_node, histories);
    std::printf(
        "%llu histories: %zu task starts, %zu new agent epochs, %zu failovers, %zu expired leases, "
        "%zu renewals by a partitioned node\n",
        static_cast<unsigned long long>(histories), starts, agent_epochs, failovers, expired_leases,
        renewals_by_node);
}

// A task ran on two machines after copies of start commands, answered seconds before, had reached workers
// that had reaped the attempts meanwhile.
TEST(PartitionHistories, NoAttemptStartsAgainByACopyOfCommandsThatWereAnswered) {
    QuietLog quiet;
#ifdef __SANITIZE_ADDRESS__
    constexpr std::uint64_t histories = 300;
#else
    constexpr std::uint64_t histories = 6'000;
#endif
    std::size_t starts = 0;
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        PartitionHistory history(seed, true);
        for (int step = 0; step < 200; ++step) {
            history.step();
            auto violation = first_violation(history);
            ASSERT_EQ(violation, "") << "seed " << seed << ", step " << step;
        }
        starts += history.starts;
    }
    EXPECT_GT(starts, 5 * histories);
}
