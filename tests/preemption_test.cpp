// Lower work that is preempted for higher, and machines that are evicted gracefully.
#include "support.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;
using wire::JobKind;
using wire::Priority;

TEST(Preemption, ProductionTakesRoomFromLowerWorkButNeverFromItsOwnLevel) {
    Fleet f;
    f.up("n-1");
    auto batch = f.spec("wk-1", 4);
    f.add(batch);
    f.place_all();
    f.run("n-1");
    auto same = f.spec("wk-2");
    f.add(same);
    f.place_all();
    EXPECT_TRUE(f.cluster->push_commands(f.machine("n-1"), f.now).empty());
    auto service = f.spec("wk-3");
    service.kind = JobKind::service;
    service.priority = Priority::production;
    f.add(service);
    f.place_all();
    auto kills = f.cluster->push_commands(f.machine("n-1"), f.now);
    ASSERT_EQ(kills.size(), 1u);
    EXPECT_EQ(kills[0].attempt.task.job, "wk-1");
    // While the room is being made, no further victim is picked.
    f.place_all();
    int stopped = 0;
    for (auto& [a, e] : f.machine("n-1").assignments) stopped += e.stop_requested;
    EXPECT_EQ(stopped, 1);
}

TEST(Drain, ANoticedMachineGetsNothingNewAndSavesWhatCanBeSaved) {
    Fleet f;
    f.up("n-1", "a", "small", true);
    auto s = f.spec("wk-1");
    s.spot_ok = true;
    s.checkpoint_s = 15;
    s.save_s = 5;
    f.add(s);
    f.place_all();
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
    f.place_all();
    EXPECT_EQ(f.on("n-1").size(), 1u);
}

// A fetch can take longer than a service may wait: lower work yields where the image already is.
TEST(Preemption, AServiceWithLittleTimeGoesWhereItsImageIs) {
    placement::Config rules;
    rules.teams["crew"] = {};
    rules.objectives = {{"wait", "web", 1.0, 1}};
    Fleet f(rules);
    f.up("n-1").use_image("web-img", 1);
    f.add(f.spec("wk-1", 4));
    f.place_all();
    f.run("n-1");
    f.up("n-2");  // free, but without the image
    auto s = f.spec("wk-2");
    s.job_class = "web";
    s.image = "web-img";
    s.kind = JobKind::service;
    s.priority = Priority::production;
    f.add(s);
    f.place_all();
    EXPECT_TRUE(f.on("n-2").empty());
    EXPECT_EQ(f.cluster->push_commands(f.machine("n-1"), f.now).size(), 1u);
    f.now += 2s;  // too late for that: any room will do
    f.up("n-2");
    f.place_all();
    EXPECT_EQ(f.on("n-2").size(), 1u);
}

// Saving takes longer than a replica may be away: the victim is not given the time.
TEST(Preemption, VictimsSaveOnlyIfNoReplicaWaitsForIt) {
    for (double aim : {1.0, 60.0}) {
        placement::Config rules;
        rules.teams["crew"] = {};
        rules.objectives = {{"wait", "web", aim, 1}};
        Fleet f(rules);
        f.up("n-1");
        auto batch = f.spec("wk-1", 1, 4);
        batch.checkpoint_s = 15;
        batch.save_s = 5;
        f.add(batch);
        f.place_all();
        f.run("n-1");
        auto s = f.spec("wk-2");
        s.job_class = "web";
        s.kind = JobKind::service;
        s.priority = Priority::production;
        f.add(s);
        f.place_all();
        auto kills = f.cluster->push_commands(f.machine("n-1"), f.now);
        ASSERT_EQ(kills.size(), 1u);
        EXPECT_EQ(kills[0].grace_s >= 5, aim > 10) << aim;
    }
}
