// The state service answers transactions with 400: it never executes them as they are.
#include "sim/expectations.hpp"

using namespace barrowrun;
using namespace barrowrun::sim;

namespace {

SiteOptions four_machines(std::uint64_t seed) {
    SiteOptions options;
    options.seed = seed;
    options.machines = options.most_machines = 4;
    return options;
}

// Jobs start, end and are cancelled as if nothing was wrong.
void expect_other_jobs_go_on(Site& site) {
    auto ends = site.job(3, 5), stays = site.job(2, 300);
    site.submit(ends);
    site.submit(stays);
    EXPECT_TRUE(run_until(site, 20s, [&] { return site.worker_running(stays.id) != nullptr; }));
    site.cancel(stays.id);
    EXPECT_TRUE(run_until(site, 20s, [&] { return site.checker.over(ends.id); }));
    EXPECT_TRUE(run_until(site, 10s, [&] { return site.checker.over(stays.id); }));
}

}  // namespace

// Guards against a leader that repeats a transaction which is refused for good, and does nothing else.
TEST(RejectedWrites, TheProgressOfOneJobHoldsUpNoOtherJob) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        Site site(four_machines(seed));
        site.poll_all(2s);
        site.run(5s);
        auto rejected = site.job(2, 300);
        site.submit(rejected);
        ASSERT_TRUE(run_until(site, 20s, [&] { return site.worker_running(rejected.id) != nullptr; }));
        site.state().reject("progress/" + rejected.id);
        site.cancel(rejected.id);
        site.run(2s);
        expect_other_jobs_go_on(site);
        site.run(60s);
        EXPECT_GE(site.state().rejected(), 1u);
        EXPECT_LE(site.state().rejected(), 10u) << "the same transaction is repeated";
    }
}

// The tasks whose starts can't be recorded run on machines of another record.
TEST(RejectedWrites, ARecordOfMachinesHoldsUpNoOtherMachine) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        SiteOptions options = four_machines(seed);
        options.value_bytes = 600;  // so that each record has one or two machines
        options.machines = options.most_machines = 8;
        Site site(options);
        site.poll_all(2s);
        site.run(8s);
        site.state().reject("sheets/000001");
        expect_other_jobs_go_on(site);
        site.run(60s);
        EXPECT_GE(site.state().rejected(), 1u);
        EXPECT_LE(site.state().rejected(), 20u) << "the same transaction is repeated";
        expect_no_rule_broken(site);
    }
}
