// Drawn histories of placement. The checker sees what is really on every machine, and compares what the
// capacity index finds with a plain walk over all machines.
#include "cut_history.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;

namespace {

// The choice of machines as it is meant: a look at every machine.
std::vector<Machine*> plain_rank(Cluster& cluster, const Job& job, TimePoint now) {
    std::vector<std::pair<double, Machine*>> scored;
    const auto& s = job.spec;
    for (auto& [name, mp] : cluster.machines()) {
        Machine& m = *mp;
        auto room = m.available();
        room -= m.reserved;
        if (!s.need.fits(room) || !cluster.schedulable(m, now) || !cluster.eligible(s, m)) continue;
        double fetch_s = m.has_image(s.image)  ? 0
                         : m.fetching(s.image) ? 0.5 * s.image_gb / m.fetch_gb_per_s
                                               : s.image_gb / m.fetch_gb_per_s;
        double score = -fetch_s * (s.kind == JobKind::service ? 10.0 : 1.0);
        if (s.spot_ok && m.spot) score += 8;
        if (job.failed_on.contains(name)) score -= 1000;
        score -= m.errors * 20.0 + (m.slowness - 1.0) * 30.0;
        if (m.capacity.cpus > 0) score -= 3.0 * (room.cpus - s.need.cpus) / m.capacity.cpus;
        scored.emplace_back(score, &m);
    }
    std::stable_sort(scored.begin(), scored.end(), [](auto& x, auto& y) { return x.first > y.first + 1e-9; });
    std::vector<Machine*> out;
    for (auto& [score, m] : scored) out.push_back(m);
    return out;
}

// What is wrong with the history by now; empty: nothing.
std::string first_violation(const CutHistory& history) {
    if (!history.broken.empty()) return history.broken;
    auto& cluster = history.cluster;
    const TimePoint now = history.now;
    for (auto& [id, job] : cluster->jobs()) {
        auto fast = cluster->rank_machines(*job, now), plain = plain_rank(*cluster, *job, now);
        if (fast != plain)
            return fmt::format("{} machines for {} by index, {} by a walk", fast.size(), id, plain.size());
    }
    for (auto& [name, m] : cluster->machines()) {
        if (m->capacity_stale) continue;  // to be brought up to date by the next look
        auto& indexed = cluster->capacity_index().find(*m).capacity;
        auto plain = placement::attainable_capacity(*m);
        if (std::abs(indexed.free.cpus - m->available().cpus) > 1e-6 ||
            indexed.has_stopping != plain.has_stopping || indexed.may_free != plain.may_free)
            return name + " is filed wrongly";
        for (int level = 0; level < wire::priority_levels; ++level)
            if (std::abs(indexed.up_to_level(level).cpus - plain.up_to_level(level).cpus) > 1e-6)
                return name + " is filed with another reach";
    }
    return "";
}

}  // namespace

// With leases counted from the last answered heartbeat alone, these histories start tasks twice: a session
// that is first heard of by a push was taken for over while its worker had its whole lease left.
TEST(CutHistories, NothingStartsTwiceWhateverIsCutOffHeldOrTakenOver) {
    QuietLog quiet;
#ifdef __SANITIZE_ADDRESS__
    constexpr std::uint64_t histories = 500;
#else
    constexpr std::uint64_t histories = 12'000;
#endif
    std::size_t starts = 0, agent_epochs = 0, failovers = 0, leases = 0, kept = 0;
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        CutHistory w(seed);
        for (int step = 0; step < 200; ++step) {
            w.step();
            auto wrong = first_violation(w);
            ASSERT_EQ(wrong, "") << "seed " << seed << ", step " << step;
        }
        starts += w.starts, agent_epochs += w.agent_epochs, failovers += w.failovers, leases += w.leases_over;
        kept += w.kept;
    }
    EXPECT_GT(starts, 5 * histories);
    EXPECT_GT(agent_epochs, histories);
    EXPECT_GT(failovers, histories);
    EXPECT_GT(leases, histories / 20);
    EXPECT_GT(kept, histories);
    std::printf(
        "%llu histories: %zu starts, %zu new agent epochs, %zu failovers, %zu leases that ran out, %zu "
        "answers "
        "of a node that was cut off\n",
        static_cast<unsigned long long>(histories), starts, agent_epochs, failovers, leases, kept);
}
