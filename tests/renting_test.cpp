#include "support.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;
using fleet::Offer;
using fleet::Renting;

namespace {
int count(const fleet::RentPlan& plan, bool spot) {
    int n = 0;
    for (auto& o : plan.rent)
        if (o.offer.spot == spot) n += o.count;
    return n;
}
}  // namespace

TEST(Renting, CheapMachinesOnlyForJobsThatMayUseThem) {
    Fleet f;
    auto s = f.spec("wk-1", 4);
    s.sort = wire::Sort::service;
    f.add(s);
    Renting r;
    auto plan = r.plan(*f.cluster, f.now);
    EXPECT_EQ(count(plan, true), 0);
    EXPECT_GT(count(plan, false), 0);
    for (auto& o : plan.rent) EXPECT_EQ(o.offer.type, "small");
}

TEST(Renting, ARefusedOfferIsLeftAloneForAWhile) {
    Fleet f;
    auto s = f.spec("wk-1", 1, 4);
    s.spot_ok = true;
    f.add(s);
    Renting r;
    EXPECT_EQ(count(r.plan(*f.cluster, f.now), true), 1);
    r.refused({"small", "a", true}, f.now);
    r.refused({"small", "b", true}, f.now);
    r.refused({"card", "a", true}, f.now);
    r.refused({"card", "b", true}, f.now);
    EXPECT_EQ(count(r.plan(*f.cluster, f.now), true), 0);
    EXPECT_EQ(count(r.plan(*f.cluster, f.now + 60s), true), 1);
}

TEST(Renting, MachinesOnTheirWayAreCounted) {
    Fleet f;
    f.add(f.spec("wk-1", 1, 4));
    Renting r;
    f.cluster->add_machine("n-1", "small", "a", false, f.now);
    EXPECT_TRUE(r.plan(*f.cluster, f.now).rent.empty());
}

TEST(Renting, IdleMachinesGoBackAndBusyOnesStay) {
    Fleet f;
    f.up("n-1");
    f.up("n-2");
    f.add(f.spec("wk-1", 4));
    f.place_all();
    Renting r;
    EXPECT_TRUE(r.plan(*f.cluster, f.now).give_back.empty());
    f.now += 120s;
    auto plan = r.plan(*f.cluster, f.now);
    ASSERT_EQ(plan.give_back.size(), 1u);
    EXPECT_TRUE(f.on(plan.give_back[0]).empty());
}

TEST(Renting, AMachineThatNeverComesUpIsReplaced) {
    Fleet f;
    f.cluster->add_machine("n-1", "small", "a", false, f.now);
    Renting r;
    EXPECT_TRUE(r.plan(*f.cluster, f.now + 30s).give_back.empty());
    EXPECT_EQ(r.plan(*f.cluster, f.now + 200s).give_back, std::vector<std::string>{"n-1"});
}
