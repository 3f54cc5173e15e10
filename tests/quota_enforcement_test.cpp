// Tests of quota enforcement by the scheduler: guarantees, borrowing and lowered limits.
#include "quota_fleet.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;

// Guards against guarantees that are read from the platform's file (`cpus` and `gpus`) but not enforced, so
// that a team with a guarantee waits behind other teams.
TEST(QuotaEnforcement, BorrowingTasksOfHigherPriorityArePreemptedUpToTheUnmetGuarantee) {
    QuotaFleet fleet(config_with_two_teams());
    fleet.up("n-1");
    fleet.up("n-2");
    fleet.add(fleet.job_spec("wk-1", "desk", 8, Priority::production));
    fleet.schedule_and_write();
    fleet.complete_commands();
    ASSERT_EQ(fleet.used_cpus("desk"), 8);
    fleet.add(fleet.job_spec("wk-2", "crew", 6, Priority::low));
    fleet.cluster->schedule_round(fleet.now);
    EXPECT_EQ(fleet.stopping_tasks(), 4u) << "the guarantee covers 4 of the 6 waiting tasks";
    fleet.cluster->schedule_round(fleet.now);
    EXPECT_EQ(fleet.stopping_tasks(), 4u) << "no further preemption while capacity is being freed";
    fleet.complete_commands();
    fleet.schedule_and_write();
    fleet.complete_commands();
    EXPECT_EQ(fleet.used_cpus("crew"), 4);
    EXPECT_EQ(fleet.used_cpus("desk"), 4);
    // The preempted tasks are first in the queue of a higher priority, but they neither regain the capacity
    // nor preempt other tasks.
    for (int i = 0; i < 5; ++i) {
        fleet.now += 1s;
        fleet.schedule_and_write();
        EXPECT_EQ(fleet.stopping_tasks(), 0u);
        fleet.complete_commands();
    }
    EXPECT_EQ(fleet.used_cpus("crew"), 4);
}

TEST(QuotaEnforcement, CapacityBeingFreedForAGuaranteeIsNotGivenToTheBorrowingTeam) {
    QuotaFleet fleet(config_with_two_teams(3));
    fleet.up("n-1");
    fleet.add(fleet.job_spec("wk-1", "desk", 4, Priority::normal));
    fleet.schedule_and_write();
    fleet.complete_commands();
    fleet.add([&] {
        auto spec = fleet.job_spec("wk-2", "crew", 1, Priority::low);
        spec.need.cpus = 3;
        return spec;
    }());
    fleet.cluster->schedule_round(fleet.now);
    ASSERT_EQ(fleet.stopping_tasks(), 3u);
    // One of the three tasks has exited. A task of the borrowing team, whose priority is higher, would fit
    // into its capacity.
    std::vector<TaskStatus> tasks;
    bool one_exited = false;
    for (auto& [attempt, assignment] : fleet.machine("n-1").assignments) {
        bool exits =
            assignment.stop_requested && !std::exchange(one_exited, one_exited || assignment.stop_requested);
        tasks.push_back({attempt, exits ? TaskState::exited : TaskState::running,
                         exits ? Cause::stopped : Cause::none, false});
    }
    fleet.cluster->on_heartbeat(fleet.heartbeat("n-1", tasks), true, fleet.now);
    fleet.schedule_and_write();
    EXPECT_EQ(fleet.used_cpus("desk"), 3);
    EXPECT_EQ(fleet.on("n-1").size(), 4u) << "including the exited task; no task was started";
    fleet.complete_commands();
    fleet.schedule_and_write();
    EXPECT_EQ(fleet.used_cpus("crew"), 3);
}

TEST(QuotaEnforcement, GangIsPreemptedAsAWholeAndGuaranteedTasksAreNotPreemptedForHigherPriorities) {
    QuotaFleet fleet(config_with_two_teams());
    fleet.up("n-1");
    fleet.up("n-2");
    auto gang = fleet.job_spec("wk-1", "desk", 2, Priority::production);
    gang.kind = JobKind::gang;
    gang.need.cpus = 4;
    fleet.add(gang);
    fleet.schedule_and_write();
    fleet.complete_commands();
    auto guaranteed_job = fleet.job_spec("wk-2", "crew", 1, Priority::low);
    fleet.add(guaranteed_job);
    fleet.cluster->schedule_round(fleet.now);
    EXPECT_EQ(fleet.stopping_tasks(), 2u) << "both tasks of the gang are preempted for one CPU";
    fleet.complete_commands();
    fleet.schedule_and_write();
    fleet.complete_commands();
    ASSERT_EQ(fleet.used_cpus("crew"), 1);
    // The other team's job has a higher priority and needs all CPUs, but the task within the guarantee
    // continues.
    for (int i = 0; i < 3; ++i) {
        fleet.now += 1s;
        fleet.schedule_and_write();
        fleet.complete_commands();
    }
    EXPECT_EQ(fleet.used_cpus("crew"), 1);
}

TEST(QuotaEnforcement, ProjectThatFillsTheParentLimitIsPreemptedForTheGuaranteeOfItsSibling) {
    placement::Config config;
    config.teams["crew"] = {};
    config.quotas = quota_entries(R"({"name":"bureau","limit":{"cpus":8},"guarantee":{"cpus":8}},
        {"name":"crew","in":"bureau","team":"crew","guarantee":{"cpus":8}},
        {"name":"slips","in":"crew","guarantee":{"cpus":3}},{"name":"rebuild","in":"crew"})");
    QuotaFleet fleet(config);
    for (auto name : {"n-1", "n-2", "n-3"}) fleet.up(name);
    fleet.add(fleet.job_spec("wk-1", "crew", 40, Priority::high, "rebuild"));
    fleet.schedule_and_write();
    fleet.complete_commands();
    EXPECT_EQ(fleet.used_cpus("bureau"), 8) << "of 12 CPUs: the limit of an ancestor of the project's team";
    EXPECT_EQ(fleet.cluster->explain(*fleet.cluster->find_job("wk-1"), fleet.now),
              "the limit of bureau: cpus in use 8, limit 8, wanted 1");
    // The machines have free capacity, but the limit is exhausted: the sibling's tasks are preempted.
    fleet.add(fleet.job_spec("wk-2", "crew", 5, Priority::low, "slips"));
    fleet.cluster->schedule_round(fleet.now);
    EXPECT_EQ(fleet.stopping_tasks(), 3u);
    fleet.complete_commands();
    fleet.schedule_and_write();
    fleet.complete_commands();
    EXPECT_EQ(fleet.used_cpus("bureau/crew/slips"), 3);
    EXPECT_EQ(fleet.used_cpus("bureau"), 8);
}

TEST(QuotaEnforcement, LoweredLimitBlocksStartsAndPreemptsInStepsAcrossAFailover) {
    auto config = without_leases();
    config.teams["crew"] = {};
    QuotaFleet fleet(config);
    fleet.up("n-1");
    fleet.up("n-2");
    auto checkpointing = fleet.job_spec("wk-1", "crew", 2, Priority::normal);
    checkpointing.checkpoint_s = 5;
    checkpointing.save_s = 1;
    fleet.add(checkpointing);
    fleet.add(fleet.job_spec("wk-2", "crew", 4, Priority::normal));
    fleet.schedule_and_write();
    fleet.complete_commands();
    ASSERT_EQ(fleet.used_cpus("crew"), 6);
    auto tree = build_tree(R"({"name":"crew","team":"crew","limit":{"cpus":3}})", config);
    fleet.cluster->set_quotas(tree, fleet.now, 60);
    fleet.cluster->tick(fleet.now);
    EXPECT_EQ(fleet.stopping_tasks(), 2u) << "checkpointing tasks are preempted at once";
    fleet.add(fleet.job_spec("wk-3", "crew", 1, Priority::production));
    fleet.schedule_and_write();
    fleet.complete_commands();
    EXPECT_EQ(fleet.used_cpus("crew"), 4) << "no task starts while the team is above its limit";
    fleet.cluster->tick(fleet.now);
    EXPECT_EQ(fleet.stopping_tasks(), 0u) << "tasks that do not checkpoint may continue for shrink_s";
    // The leader crashes. The new leader reads the same quotas and the time of their last change.
    auto quotas_changed = fleet.now;
    std::vector<placement::Write> shards;
    fleet.cluster->mark_machine_changed("n-1");
    fleet.cluster->mark_machine_changed("n-2");
    std::vector<state::MachineRecord> records;
    for (auto& write : fleet.write())
        if (state::parse_assignment_shard_key(write.key)) {
            auto shard = state::parse_assignment_shard(*write.value);
            records.insert(records.end(), shard->begin(), shard->end());
        }
    std::vector<wire::JobSpec> specs{checkpointing, fleet.job_spec("wk-2", "crew", 4, Priority::normal)};
    fleet.now += 20s;
    fleet.restart(20);
    for (auto& spec : specs) fleet.add(spec);
    fleet.cluster->set_quotas(tree, quotas_changed, 60);
    for (auto& record : records) fleet.cluster->recover_machine(1, record, fleet.now, fleet.wall);
    EXPECT_EQ(fleet.used_cpus("crew"), 4);
    fleet.cluster->tick(fleet.now);
    EXPECT_EQ(fleet.stopping_tasks(), 0u);
    fleet.now += 61s;
    fleet.cluster->tick(fleet.now);
    EXPECT_EQ(fleet.stopping_tasks(), 1u) << "preempting one more task is enough";
}

TEST(QuotaEnforcement, NoMachineIsProvisionedForTasksThatExceedTheLimitOfTheirTeam) {
    placement::Config config;
    config.teams["crew"] = {0, 0, 4, 0};
    QuotaFleet fleet(config);
    fleet.up("n-1");
    fleet.add(fleet.job_spec("wk-1", "crew", 4, Priority::normal));
    fleet.schedule_and_write();
    fleet.complete_commands();
    auto service = fleet.job_spec("wk-2", "crew", 4, Priority::production);
    service.kind = JobKind::service;
    fleet.add(service);
    autoscaler::Autoscaler autoscaler;
    EXPECT_TRUE(autoscaler.plan(*fleet.cluster, fleet.now).scale_out.empty());
    fleet.cluster->set_quotas(build_tree("", config_with_two_teams(0)), fleet.now, 60);
    EXPECT_FALSE(autoscaler.plan(*fleet.cluster, fleet.now).scale_out.empty());
}

TEST(QuotaEnforcement, ExplainReportsWhyATaskIsPending) {
    QuotaFleet fleet;
    auto& job = fleet.add(fleet.job_spec("wk-1", "crew", 1, Priority::normal));
    EXPECT_EQ(fleet.cluster->explain(job, fleet.now), "no machine that it may use is up");
    fleet.up("n-1");
    EXPECT_EQ(fleet.cluster->explain(job, fleet.now), "nothing is in its way: it starts with the next round");
    auto big = fleet.job_spec("wk-2", "crew", 1, Priority::normal);
    big.need = {5, 0, 1};
    EXPECT_EQ(fleet.cluster->explain(fleet.add(big), fleet.now),
              "no room: a task needs 5 CPUs, 1 GB; of 1 machines that it may use the roomiest has 4 CPUs, 32 "
              "GB free");
    EXPECT_EQ(fleet.cluster->explain(fleet.add(fleet.job_spec("wk-3", "crew", 1, Priority::low)), fleet.now),
              "2 tasks of higher levels or older jobs come first");
    fleet.schedule_and_write();
    EXPECT_EQ(fleet.cluster->explain(job, fleet.now), "") << "no task of the job is waiting any more";
}
