// Requests that were carried out and answered arrive once more: commands at workers, transactions at the
// state service.
#include "sim/expectations.hpp"

using namespace barrowrun;
using namespace barrowrun::sim;

namespace {

constexpr std::uint64_t seed_count = 8;

SiteOptions three_machines(std::uint64_t seed) {
    SiteOptions options;
    options.seed = seed;
    options.machines = options.most_machines = 3;
    return options;
}

// Users ask about their jobs, and a node leads.
void begin(Site& site) {
    site.poll_all(2s);
    site.run(3s);
}

void expect_nothing_launched_again(Site& site) {
    EXPECT_EQ(site.checker.launched_again(), 0u) << "seed " << site.options().seed;
    expect_no_rule_broken(site);
}

}  // namespace

// The task failed and runs on another machine when a copy of its first start command arrives.
TEST(LateCopies, AStartCommandDoesNotRestartATaskThatFailedAndMovedOn) {
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        Site site(three_machines(seed));
        begin(site);
        copy_commands(site, 1, 20s, 12s);
        fail_tasks(site, 2, 15s);
        for (int i = 0; i < 3; ++i) site.submit(site.job(2, 60));
        site.run(120s);
        expect_nothing_launched_again(site);
    }
}

// Also long after `cancel_s`.
TEST(LateCopies, AStartCommandDoesNotRestartATaskOfACancelledJob) {
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        Site site(three_machines(seed));
        begin(site);
        copy_commands(site, 1, 10s, 60s);
        std::vector<wire::JobSpec> specs;
        for (int i = 0; i < 3; ++i) site.submit(specs.emplace_back(site.job(2, 300)));
        site.run(6s);
        for (auto& spec : specs) site.cancel(spec.id);
        site.run(120s);
        EXPECT_EQ(site.checker.confirmed(), specs.size());
        expect_nothing_launched_again(site);
    }
}

// A machine of the gangs hangs, so that they stop and start anew.
TEST(LateCopies, AStartCommandOfAnEarlierAttemptDoesNotMeetANewAttemptOfItsGang) {
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        Site site(three_machines(seed));
        begin(site);
        copy_commands(site, 1, 30s, 15s);
        for (int i = 0; i < 2; ++i) site.submit(site.job(3, 40, wire::JobKind::gang));
        site.run(5s);
        site.live_workers()[seed % 3]->hang(6s);
        site.run(140s);
        expect_nothing_launched_again(site);
    }
}

// A copy of a transaction overwrites the record of a machine that has been given a task since. The leader
// ends, and its successor can't ask the machine.
TEST(LateCopies, ATransactionDoesNotHideAStartFromTheNextLeader) {
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        Site site(three_machines(seed));
        site.poll_all(2s);
        site.run(4s);
        site.state().lose_only("sheets/");
        site.state().copy_transactions(1, 900ms, 5s);
        site.submit(site.job(1, 2));
        site.run(1s);
        auto spec = site.job(2, 100);
        site.submit(spec);
        ASSERT_TRUE(run_until(site, 30s, [&] { return site.worker_running(spec.id) != nullptr; }));
        site.run(7s);
        for (auto* worker : site.live_workers())
            if (worker->runs(spec.id)) cut_machine(site, worker->name(), 9s);
        site.kill(*site.leader(), 1s);
        site.run(60s);
        EXPECT_EQ(site.state().copies_carried_out(), 0u) << "seed " << seed;
        expect_no_rule_broken(site);
    }
}
