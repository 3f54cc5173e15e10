#include "support.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;
using autoscaler::Autoscaler;
using autoscaler::Offer;

namespace {
int ordered_machines(const autoscaler::ScalingPlan& plan, bool spot) {
    int n = 0;
    for (auto& o : plan.scale_out)
        if (o.offer.spot == spot) n += o.count;
    return n;
}
}  // namespace

TEST(Autoscaler, NoSpotInstancesAreOrderedForAJobThatMayNotUseThem) {
    Fleet f;
    auto s = f.spec("wk-1", 4);
    s.kind = wire::JobKind::service;
    f.add(s);
    Autoscaler scaler;
    auto plan = scaler.plan(*f.cluster, f.now);
    EXPECT_EQ(ordered_machines(plan, true), 0);
    EXPECT_GT(ordered_machines(plan, false), 0);
    for (auto& o : plan.scale_out) EXPECT_EQ(o.offer.type, "small");
}

TEST(Autoscaler, RefusedOffersAreNotOrderedUntilTheirBackoffEnds) {
    Fleet f;
    auto s = f.spec("wk-1", 1, 4);
    s.spot_ok = true;
    f.add(s);
    Autoscaler scaler;
    EXPECT_EQ(ordered_machines(scaler.plan(*f.cluster, f.now), true), 1);
    scaler.on_order_refused({"small", "a", true}, f.now);
    scaler.on_order_refused({"small", "b", true}, f.now);
    scaler.on_order_refused({"card", "a", true}, f.now);
    scaler.on_order_refused({"card", "b", true}, f.now);
    EXPECT_EQ(ordered_machines(scaler.plan(*f.cluster, f.now), true), 0);
    EXPECT_EQ(ordered_machines(scaler.plan(*f.cluster, f.now + 60s), true), 1);
}

// Guards against ordering the whole demand from one refused offer after the other, which delayed machines of
// available offers by 20 s.
TEST(Autoscaler, OneMachineIsOrderedOfARecentlyRefusedOfferAndTheRestOfOtherOffers) {
    Fleet f;
    auto s = f.spec("wk-1", 12, 4);
    s.spot_ok = true;
    f.add(s);
    Autoscaler scaler;
    ASSERT_GT(ordered_machines(scaler.plan(*f.cluster, f.now), true), 2);
    for (auto type : {"small", "card"})
        for (auto zone : {"a", "b"}) scaler.on_order_refused({type, zone, true}, f.now);
    auto plan = scaler.plan(*f.cluster, f.now + 60s);
    for (auto& o : plan.scale_out) EXPECT_TRUE(!o.offer.spot || o.count == 1);
    EXPECT_GT(ordered_machines(plan, false), 0);
    // While such an order is pending, no further one is placed for the offer.
    auto later = scaler.plan(*f.cluster, f.now + 60s, {{{"small", "a", true}, 1}, {{"small", "b", true}, 1}});
    for (auto& o : later.scale_out) EXPECT_FALSE(o.offer.spot && o.offer.type == "small");
}

// The cloud accepts at most 50 machines per request.
TEST(Autoscaler, LargeDemandIsOrderedInFewLargeRequestsLargestFirst) {
    Fleet f;
    auto s = f.spec("wk-1", 280, 4);
    s.kind = wire::JobKind::service;
    f.add(s);
    auto plan = Autoscaler().plan(*f.cluster, f.now);
    EXPECT_GE(ordered_machines(plan, false), 280);
    for (std::size_t i = 0; i < plan.scale_out.size(); ++i) {
        EXPECT_LE(plan.scale_out[i].count, 50);
        EXPECT_LE(plan.scale_out[i].count, plan.scale_out[i > 0 ? i - 1 : 0].count);
    }
    EXPECT_LE(plan.scale_out.size(), 8u);
    // Machines on order are not ordered again.
    std::vector<autoscaler::MachineOrder> pending;
    for (auto& o : plan.scale_out) pending.push_back(o);
    EXPECT_EQ(ordered_machines(Autoscaler().plan(*f.cluster, f.now, pending), false), 0);
}

// Machines that were provisioned for tasks that fit into slots of ending tasks came up only to stand idle. A
// late job gets additional machines nevertheless.
TEST(Autoscaler, SlotsFreedBeforeAMachineCouldBootReplaceNewMachinesUnlessTheJobIsLate) {
    placement::Config config;
    config.teams["crew"] = {};
    config.headroom_min = config.headroom_max = 0;
    config.objectives = {{"finished", "batch", 100, 1}};
    Fleet f(config);
    for (auto name : {"n-1", "n-2", "n-3"}) f.up(name);
    f.add(f.spec("wk-1", 12));
    f.schedule_and_write();
    for (auto name : {"n-1", "n-2", "n-3"}) f.run(name);
    auto machines_ordered_for = [&](std::uint32_t tasks, Clock::duration waited) {
        auto s = f.spec("wk-2", tasks);
        s.estimate_s = 60;  // with this run time each task needs its own slot
        auto& job = f.add(s);
        job.accepted = f.now - waited;
        int n = ordered_machines(Autoscaler().plan(*f.cluster, f.now), false);
        f.cluster->cancel(job, f.now);
        f.write();
        f.write();
        return n;
    };
    EXPECT_EQ(machines_ordered_for(8, 0s), 0);
    EXPECT_GT(machines_ordered_for(40, 0s), 0);
    EXPECT_GT(machines_ordered_for(8, 60s), 0);
}

TEST(Autoscaler, BootingMachinesAreCountedAsSupply) {
    Fleet f;
    f.add(f.spec("wk-1", 1, 4));
    Autoscaler scaler;
    f.cluster->add_machine("n-1", "small", "a", false, f.now);
    EXPECT_TRUE(scaler.plan(*f.cluster, f.now).scale_out.empty());
}

TEST(Autoscaler, IdleMachineIsReturnedAndBusyMachineIsKept) {
    Fleet f;
    f.up("n-1");
    f.up("n-2");
    f.add(f.spec("wk-1", 4));
    f.schedule_and_write();
    Autoscaler scaler;
    EXPECT_TRUE(scaler.plan(*f.cluster, f.now).scale_in.empty());
    f.now += 120s;
    auto plan = scaler.plan(*f.cluster, f.now);
    ASSERT_EQ(plan.scale_in.size(), 1u);
    EXPECT_TRUE(f.on(plan.scale_in[0]).empty());
}

TEST(Autoscaler, CapacityIsKeptForArraysThatCannotWaitForABootAndReturnedLater) {
    // A machine boots in 25 s: a start within 20 s needs capacity that is already there, a start within 60 s
    // does not.
    for (double within : {20.0, 60.0}) {
        placement::Config config;
        config.objectives = {{"wait", "batch", within}};
        Fleet f(config);
        f.up("n-1");
        f.up("n-2");
        f.up("n-3");
        f.add(f.spec("wk-1", 12));
        f.schedule_and_write();
        for (auto* name : {"n-1", "n-2", "n-3"}) f.run(name);
        Autoscaler scaler;
        scaler.plan(*f.cluster, f.now);
        f.cluster->cancel(*f.cluster->find_job("wk-1"), f.now);
        f.now += 120s;
        for (auto* name : {"n-1", "n-2", "n-3"}) f.cluster->on_heartbeat(f.heartbeat(name), true, f.now);
        f.write();
        EXPECT_EQ(scaler.plan(*f.cluster, f.now).scale_in.size(), within < 30 ? 0u : 3u);
        f.now += 10min;
        for (auto* name : {"n-1", "n-2", "n-3"}) f.cluster->on_heartbeat(f.heartbeat(name), true, f.now);
        EXPECT_EQ(scaler.plan(*f.cluster, f.now).scale_in.size(), 3u)
            << "the peak is forgotten after its window";
    }
}

TEST(Autoscaler, MachineThatDoesNotComeUpIsReturned) {
    Fleet f;
    f.cluster->add_machine("n-1", "small", "a", false, f.now);
    Autoscaler scaler;
    EXPECT_TRUE(scaler.plan(*f.cluster, f.now + 30s).scale_in.empty());
    EXPECT_EQ(scaler.plan(*f.cluster, f.now + 200s).scale_in, std::vector<std::string>{"n-1"});
}

namespace {
// Two machines, each with one replica that started long ago.
void add_two_half_empty_machines(Fleet& f) {
    for (auto name : {"n-1", "n-2"}) {
        auto s = f.spec(name == std::string("n-1") ? "wk-1" : "wk-2");
        s.kind = wire::JobKind::service;
        f.add(s);
        f.up(name).use_image("img", 1);
        f.schedule_and_write();
        f.run(name);
        f.machine(name).draining = true;  // so that the second replica is placed on the other machine
    }
    f.now += 200s;
    for (auto name : {"n-1", "n-2"}) {
        f.machine(name).draining = false;
        std::vector<TaskStatus> tasks;
        for (auto& a : f.on(name)) tasks.push_back({a, TaskState::running, Cause::none, false});
        f.cluster->on_heartbeat(f.heartbeat(name, tasks), true, f.now);
    }
}
}  // namespace

// Replicas stay spread over half-empty machines after the load that spread them has gone, which costs money.
TEST(Autoscaler, MachineIsDrainedIfItsReplicasFitOnMachinesThatHaveTheImage) {
    placement::Config config;
    config.teams["crew"] = {};
    config.headroom_min = config.headroom_max = 0;
    Fleet f(config);
    add_two_half_empty_machines(f);
    Autoscaler scaler;
    EXPECT_FALSE(scaler.plan(*f.cluster, f.now).drain.empty());
    f.machine("n-1").images.clear();
    f.machine("n-2").images.clear();
    EXPECT_TRUE(scaler.plan(*f.cluster, f.now).drain.empty())
        << "fetching the image would interrupt the service";
}

TEST(Autoscaler, MachineIsNotDrainedIfHeadroomForServicesWouldBeLost) {
    placement::Config config;
    config.teams["crew"] = {};
    config.headroom_min = config.headroom_max = 3;
    Fleet f(config);
    add_two_half_empty_machines(f);
    EXPECT_TRUE(Autoscaler().plan(*f.cluster, f.now).drain.empty());
}
