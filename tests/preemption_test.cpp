// Preemption of tasks of lower priority, and graceful eviction from machines that the cloud reclaims.
#include "support.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;
using wire::JobKind;
using wire::Priority;

TEST(Preemption, ProductionServicePreemptsOneNormalTaskAndNormalJobPreemptsNone) {
    Fleet f;
    f.up("n-1");
    auto batch = f.spec("wk-1", 4);
    f.add(batch);
    f.schedule_and_write();
    f.run("n-1");
    auto same_priority = f.spec("wk-2");
    f.add(same_priority);
    f.schedule_and_write();
    EXPECT_TRUE(f.cluster->push_commands(f.machine("n-1"), f.now).empty());
    auto service = f.spec("wk-3");
    service.kind = JobKind::service;
    service.priority = Priority::production;
    f.add(service);
    f.schedule_and_write();
    auto kills = f.cluster->push_commands(f.machine("n-1"), f.now);
    ASSERT_EQ(kills.size(), 1u);
    EXPECT_EQ(kills[0].attempt.task.job, "wk-1");
    // No further victim is chosen while the first one is being stopped.
    f.schedule_and_write();
    int stopping_tasks = 0;
    for (auto& [a, e] : f.machine("n-1").assignments) stopping_tasks += e.stop_requested;
    EXPECT_EQ(stopping_tasks, 1);
}

TEST(Drain, MachineWithSpotNoticeGetsNoNewTasksAndItsTaskGetsTimeToSaveACheckpoint) {
    Fleet f;
    f.up("n-1", "a", "small", true);
    auto s = f.spec("wk-1");
    s.spot_ok = true;
    s.checkpoint_s = 15;
    s.save_s = 5;
    f.add(s);
    f.schedule_and_write();
    f.run("n-1");
    auto r = f.heartbeat("n-1", {{f.on("n-1").at(0), TaskState::running, Cause::none, false}});
    r.notice_s = 12;
    f.cluster->on_heartbeat(r, true, f.now);
    f.cluster->tick(f.now);
    auto commands = f.cluster->push_commands(f.machine("n-1"), f.now);
    ASSERT_EQ(commands.size(), 1u);
    EXPECT_EQ(commands[0].verb, Verb::kill);
    EXPECT_GE(commands[0].grace_s, 5);
    f.add(f.spec("wk-2"));
    f.schedule_and_write();
    EXPECT_EQ(f.on("n-1").size(), 1u);
}

// Fetching an image can take longer than a service may wait to start: a task of lower priority is preempted
// on the machine that already has the image.
TEST(Preemption, ServiceWithShortWaitObjectivePreemptsWhereItsImageIsCached) {
    placement::Config config;
    config.teams["crew"] = {};
    config.objectives = {{"wait", "web", 1.0, 1}};
    Fleet f(config);
    f.up("n-1").use_image("web-img", 1);
    f.add(f.spec("wk-1", 4));
    f.schedule_and_write();
    f.run("n-1");
    f.up("n-2");  // free, but does not have the image
    auto s = f.spec("wk-2");
    s.job_class = "web";
    s.image = "web-img";
    s.kind = JobKind::service;
    s.priority = Priority::production;
    f.add(s);
    f.schedule_and_write();
    EXPECT_TRUE(f.on("n-2").empty());
    EXPECT_EQ(f.cluster->push_commands(f.machine("n-1"), f.now).size(), 1u);
    f.now += 2s;  // the objective is missed: the service takes any free machine
    f.up("n-2");
    f.schedule_and_write();
    EXPECT_EQ(f.on("n-2").size(), 1u);
}

// If saving a checkpoint takes longer than a replica may wait to start, the victim is stopped without it.
TEST(Preemption, VictimGetsTimeToSaveOnlyIfWaitObjectiveOfReplicaAllows) {
    for (double wait_s : {1.0, 60.0}) {
        placement::Config config;
        config.teams["crew"] = {};
        config.objectives = {{"wait", "web", wait_s, 1}};
        Fleet f(config);
        f.up("n-1");
        auto batch = f.spec("wk-1", 1, 4);
        batch.checkpoint_s = 15;
        batch.save_s = 5;
        f.add(batch);
        f.schedule_and_write();
        f.run("n-1");
        auto s = f.spec("wk-2");
        s.job_class = "web";
        s.kind = JobKind::service;
        s.priority = Priority::production;
        f.add(s);
        f.schedule_and_write();
        auto kills = f.cluster->push_commands(f.machine("n-1"), f.now);
        ASSERT_EQ(kills.size(), 1u);
        EXPECT_EQ(kills[0].grace_s >= 5, wait_s > 10) << "wait objective of " << wait_s << " s";
    }
}
