// Quotas in a leader's decisions: guarantees, borrowing, lowered limits.
#include "quota_fleet.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;

// `cpus` and `gpus` of the platform's file were read and used nowhere: a team with a guarantee waited behind
// others.
TEST(Guarantees, WhatAnotherTeamBorrowsYieldsWhateverItsLevelAndNoMoreThanIsMissing) {
    QuotaFleet f(two_teams());
    f.up("n-1");
    f.up("n-2");
    f.add(f.of("wk-1", "desk", 8, Priority::production));
    f.place_all();
    f.settle();
    ASSERT_EQ(f.used("desk"), 8);
    f.add(f.of("wk-2", "crew", 6, Priority::low));
    f.cluster->schedule_round(f.now);
    EXPECT_EQ(f.stopping(), 4u) << "the guarantee is 4 of the 6 that wait";
    f.cluster->schedule_round(f.now);
    EXPECT_EQ(f.stopping(), 4u) << "room that is being made is waited for";
    f.settle();
    f.place_all();
    f.settle();
    EXPECT_EQ(f.used("crew"), 4);
    EXPECT_EQ(f.used("desk"), 4);
    // What yielded stands first in the queue of a higher level, and doesn't win the room back, nor stop
    // anything.
    for (int i = 0; i < 5; ++i) {
        f.now += 1s;
        f.place_all();
        EXPECT_EQ(f.stopping(), 0u);
        f.settle();
    }
    EXPECT_EQ(f.used("crew"), 4);
}

TEST(Guarantees, RoomThatIsBeingMadeIsNotTakenByThoseWhoBorrow) {
    QuotaFleet f(two_teams(3));
    f.up("n-1");
    f.add(f.of("wk-1", "desk", 4, Priority::normal));
    f.place_all();
    f.settle();
    f.add([&] {
        auto s = f.of("wk-2", "crew", 1, Priority::low);
        s.need.cpus = 3;
        return s;
    }());
    f.cluster->schedule_round(f.now);
    ASSERT_EQ(f.stopping(), 3u);
    // One of the three is out. Its room fits a task of the borrower, who stands at a higher level.
    std::vector<TaskStatus> tasks;
    bool out = false;
    for (auto& [a, e] : f.machine("n-1").assignments) {
        bool ends = e.stop_requested && !std::exchange(out, out || e.stop_requested);
        tasks.push_back(
            {a, ends ? TaskState::exited : TaskState::running, ends ? Cause::stopped : Cause::none, false});
    }
    f.cluster->on_heartbeat(f.heartbeat("n-1", tasks), true, f.now);
    f.place_all();
    EXPECT_EQ(f.used("desk"), 3);
    EXPECT_EQ(f.on("n-1").size(), 4u) << "with the ended one; nothing new";
    f.settle();
    f.place_all();
    EXPECT_EQ(f.used("crew"), 3);
}

TEST(Guarantees, AGangIsNeverHalfStoppedAndHigherWorkDoesNotStopWhatIsGuaranteed) {
    QuotaFleet f(two_teams());
    f.up("n-1");
    f.up("n-2");
    auto gang = f.of("wk-1", "desk", 2, Priority::production);
    gang.kind = JobKind::gang;
    gang.need.cpus = 4;
    f.add(gang);
    f.place_all();
    f.settle();
    auto mine = f.of("wk-2", "crew", 1, Priority::low);
    f.add(mine);
    f.cluster->schedule_round(f.now);
    EXPECT_EQ(f.stopping(), 2u) << "both tasks of the gang, for one CPU";
    f.settle();
    f.place_all();
    f.settle();
    ASSERT_EQ(f.used("crew"), 1);
    // Now urgent work of the other team wants all: what is within the guarantee goes on.
    for (int i = 0; i < 3; ++i) {
        f.now += 1s;
        f.place_all();
        f.settle();
    }
    EXPECT_EQ(f.used("crew"), 1);
}

TEST(Guarantees, ABurstOfASiblingDoesNotKeepAnotherBelowItsGuarantee) {
    placement::Config rules;
    rules.teams["crew"] = {};
    rules.quotas = quota_entries(R"({"name":"bureau","limit":{"cpus":8},"guarantee":{"cpus":8}},
        {"name":"crew","in":"bureau","team":"crew","guarantee":{"cpus":8}},
        {"name":"slips","in":"crew","guarantee":{"cpus":3}},{"name":"rebuild","in":"crew"})");
    QuotaFleet f(rules);
    for (auto n : {"n-1", "n-2", "n-3"}) f.up(n);
    f.add(f.of("wk-1", "crew", 40, Priority::high, "rebuild"));
    f.place_all();
    f.settle();
    EXPECT_EQ(f.used("bureau"), 8) << "of 12 CPUs: the limit three levels up";
    EXPECT_EQ(f.cluster->explain(*f.cluster->find_job("wk-1"), f.now),
              "the limit of bureau: cpus in use 8, limit 8, wanted 1");
    // The machines have room, the limit has not: the sibling yields.
    f.add(f.of("wk-2", "crew", 5, Priority::low, "slips"));
    f.cluster->schedule_round(f.now);
    EXPECT_EQ(f.stopping(), 3u);
    f.settle();
    f.place_all();
    f.settle();
    EXPECT_EQ(f.used("bureau/crew/slips"), 3);
    EXPECT_EQ(f.used("bureau"), 8);
}

TEST(Guarantees, ALoweredLimitStartsNothingDrainsInStepsAndASuccessorGoesOn) {
    auto rules = without_leases();
    rules.teams["crew"] = {};
    QuotaFleet f(rules);
    f.up("n-1");
    f.up("n-2");
    auto saving = f.of("wk-1", "crew", 2, Priority::normal);
    saving.checkpoint_s = 5;
    saving.save_s = 1;
    f.add(saving);
    f.add(f.of("wk-2", "crew", 4, Priority::normal));
    f.place_all();
    f.settle();
    ASSERT_EQ(f.used("crew"), 6);
    auto tree = build_tree(R"({"name":"crew","team":"crew","limit":{"cpus":3}})", rules);
    f.cluster->set_quotas(tree, f.now, 60);
    f.cluster->tick(f.now);
    EXPECT_EQ(f.stopping(), 2u) << "those that save, at once";
    f.add(f.of("wk-3", "crew", 1, Priority::production));
    f.place_all();
    f.settle();
    EXPECT_EQ(f.used("crew"), 4) << "nothing starts meanwhile";
    f.cluster->tick(f.now);
    EXPECT_EQ(f.stopping(), 0u) << "the others have until shrink_s";
    // The leader ends. Its successor reads the same record, and when it was written.
    auto changed = f.now;
    std::vector<placement::Write> shards;
    f.cluster->mark_machine_changed("n-1");
    f.cluster->mark_machine_changed("n-2");
    std::vector<state::MachineRecord> records;
    for (auto& w : f.write())
        if (state::parse_assignment_shard_key(w.key)) {
            auto shard = state::parse_assignment_shard(*w.value);
            records.insert(records.end(), shard->begin(), shard->end());
        }
    std::vector<wire::JobSpec> specs{saving, f.of("wk-2", "crew", 4, Priority::normal)};
    f.now += 20s;
    f.restart(20);
    for (auto& s : specs) f.add(s);
    f.cluster->set_quotas(tree, changed, 60);
    for (auto& r : records) f.cluster->recover_machine(1, r, f.now, f.wall);
    EXPECT_EQ(f.used("crew"), 4);
    f.cluster->tick(f.now);
    EXPECT_EQ(f.stopping(), 0u);
    f.now += 61s;
    f.cluster->tick(f.now);
    EXPECT_EQ(f.stopping(), 1u) << "one more is enough";
}

TEST(Guarantees, ALimitKeepsMachinesFromBeingRentedForWorkThatMayNotStart) {
    placement::Config rules;
    rules.teams["crew"] = {0, 0, 4, 0};
    QuotaFleet f(rules);
    f.up("n-1");
    f.add(f.of("wk-1", "crew", 4, Priority::normal));
    f.place_all();
    f.settle();
    auto service = f.of("wk-2", "crew", 4, Priority::production);
    service.kind = JobKind::service;
    f.add(service);
    autoscaler::Autoscaler autoscaler;
    EXPECT_TRUE(autoscaler.plan(*f.cluster, f.now).scale_out.empty());
    f.cluster->set_quotas(build_tree("", two_teams(0)), f.now, 60);
    EXPECT_FALSE(autoscaler.plan(*f.cluster, f.now).scale_out.empty());
}

TEST(Guarantees, WhatATaskWaitsForIsSaid) {
    QuotaFleet f;
    auto& job = f.add(f.of("wk-1", "crew", 1, Priority::normal));
    EXPECT_EQ(f.cluster->explain(job, f.now), "no machine that it may use is up");
    f.up("n-1");
    EXPECT_EQ(f.cluster->explain(job, f.now), "nothing is in its way: it starts with the next round");
    auto big = f.of("wk-2", "crew", 1, Priority::normal);
    big.need = {5, 0, 1};
    EXPECT_EQ(f.cluster->explain(f.add(big), f.now),
              "no room: a task needs 5 CPUs, 1 GB; of 1 machines that it may use the roomiest has 4 CPUs, 32 "
              "GB free");
    EXPECT_EQ(f.cluster->explain(f.add(f.of("wk-3", "crew", 1, Priority::low)), f.now),
              "2 tasks of higher levels or older jobs come first");
    f.place_all();
    EXPECT_EQ(f.cluster->explain(job, f.now), "") << "it waits for nothing any more";
}
