// Tests that the simulated state service and cloud follow their protocols. Other tests run against them and
// would come to rely on anything that they allow by mistake.
#include <gtest/gtest.h>

#include "lab/cloud_model.hpp"
#include "lab/state_store.hpp"
#include "temp_dir.hpp"

using namespace barrowrun;
using namespace barrowrun::lab;
using namespace std::chrono_literals;
using barrowrun::testing::TempDir;

namespace {

struct StateStoreTest {
    TempDir dir;
    TimePoint now = TimePoint{} + 1000s;
    StateLimits limits;
    std::unique_ptr<StateStore> store;
    StateStoreTest() { open(); }
    void open() {
        store.reset();
        store = std::make_unique<StateStore>(dir.str("state.db"), limits, now);
    }
    Answer multi(Json conditions, Json operations) {
        return store->multi({{"if", std::move(conditions)}, {"then", std::move(operations)}}, 100);
    }
    std::uint64_t set(const std::string& key, Json value) {
        return multi(Json::array(), {{{"set", key}, {"value", std::move(value)}}}).body.at("ledger");
    }
};

}  // namespace

TEST(StateStore, TransactionIsAtomicAndCreatesOneRevision) {
    StateStoreTest test;
    auto first = test.set("a", 1);
    auto bad = test.multi({{{"key", "a"}, {"mark", first}}, {{"key", "b"}, {"mark", 7}}},
                          {{{"set", "a"}, {"value", 2}}, {{"set", "b"}, {"value", 2}}});
    EXPECT_EQ(bad.status, 409);
    EXPECT_EQ(bad.body.at("failed"), Json({"b"}));
    EXPECT_EQ(test.store->get("a").body.at("value"), 1);
    auto good = test.multi({{{"key", "a"}, {"mark", first}}, {{"key", "b"}, {"mark", 0}}},
                           {{{"set", "a"}, {"value", 2}}, {{"set", "b"}, {"value", {{"deep", {1, 2}}}}}});
    EXPECT_EQ(good.status, 200);
    EXPECT_EQ(test.store->get("a").body.at("mark"), test.store->get("b").body.at("mark"));
    EXPECT_EQ(test.store->get("b").body.at("value").at("deep"), Json({1, 2}));
    EXPECT_EQ(test.store->get("c").status, 404);
}

TEST(StateStore, RestartKeepsKeysAndLeasesAndDropsTheChangeLog) {
    StateStoreTest test;
    auto mark = test.set("a", "kept");
    auto lease = test.store->create_hold({{"ttl_ms", 3000}}, test.now).body.at("permit").get<std::uint64_t>();
    test.multi(Json::array(), {{{"set", "held"}, {"value", 1}, {"permit", lease}}});
    test.now += 2900ms;
    test.open();
    EXPECT_EQ(test.store->get("a").body.at("mark"), mark);
    // After a restart every lease has its full TTL again.
    test.now += 2900ms;
    EXPECT_FALSE(test.store->expire(test.now));
    EXPECT_EQ(test.store->get("held").status, 200);
    test.now += 200ms;
    EXPECT_TRUE(test.store->expire(test.now));
    EXPECT_EQ(test.store->get("held").status, 404);
    // Lease IDs are not reused. The change log is lost in a restart, so watchers must list the keys again.
    EXPECT_GT(test.store->create_hold({{"ttl_ms", 3000}}, test.now).body.at("permit").get<std::uint64_t>(),
              lease);
    EXPECT_EQ(test.store->changes("", 0)->status, 410);
}

TEST(StateStore, LeaseThatIsNotRenewedExpiresWithItsKeys) {
    StateStoreTest test;
    auto lease = test.store->create_hold({{"ttl_ms", 1000}}, test.now).body.at("permit").get<std::uint64_t>();
    test.multi(Json::array(), {{{"set", "k"}, {"value", 1}, {"permit", lease}}});
    test.multi(Json::array(), {{{"set", "free"}, {"value", 1}, {"permit", lease}}});
    // The second write does not name the lease, so the key is detached from it.
    test.multi(Json::array(), {{{"set", "free"}, {"value", 2}}});
    test.now += 900ms;
    EXPECT_EQ(test.store->extend_hold(lease, test.now).status, 200);
    test.now += 900ms;
    test.store->expire(test.now);
    EXPECT_EQ(test.store->get("k").status, 200);
    test.now += 200ms;
    EXPECT_EQ(test.store->extend_hold(lease, test.now).status, 404);
    EXPECT_EQ(test.store->get("k").status, 404);
    EXPECT_EQ(test.store->get("free").status, 200);
    auto late = test.multi(Json::array(), {{{"set", "k"}, {"value", 1}, {"permit", lease}}});
    EXPECT_EQ(late.status, 400);
    EXPECT_EQ(late.body.at("error"), "no such lease");
    EXPECT_EQ(test.store->create_hold({{"ttl_ms", 99}}, test.now).status, 400);
}

TEST(StateStore, WatchReturnsEveryChangeOnceAndRefusesRevisionsThatAreTooOld) {
    StateStoreTest test;
    test.limits.kept_changes = 5;
    test.open();
    auto from = test.set("c/1", 1);
    EXPECT_FALSE(test.store->changes("c/", from));
    test.set("d/1", 1);
    EXPECT_FALSE(test.store->changes("c/", from));
    test.set("c/2", 2);
    test.multi(Json::array(), {{{"drop", "c/1"}}, {{"drop", "c/none"}}});
    auto seen = test.store->changes("c/", from);
    ASSERT_TRUE(seen);
    ASSERT_EQ(seen->body.at("events").size(), 2u);
    EXPECT_EQ(seen->body["events"][0].at("set"), "c/2");
    EXPECT_EQ(seen->body["events"][1].at("drop"), "c/1");
    for (int i = 0; i < 6; ++i) test.set("c/x", i);
    EXPECT_EQ(test.store->changes("c/", from)->status, 410);
}

TEST(StateStore, ListReturnsSortedPages) {
    StateStoreTest test;
    for (auto* k : {"p/b", "p/a", "q", "p/c", "o"}) test.set(k, k);
    auto page = test.store->list("p/", "", 2).body;
    EXPECT_EQ(page.at("entries").size(), 2u);
    EXPECT_EQ(page["entries"][1].at("key"), "p/b");
    EXPECT_TRUE(page.at("truncated"));
    auto rest = test.store->list("p/", "p/b", 2).body;
    EXPECT_EQ(rest.at("entries").size(), 1u);
    EXPECT_FALSE(rest.at("truncated"));
}

TEST(StateStore, RequestsThatAreMalformedOrOverALimitAreRefusedWithoutEffect) {
    StateStoreTest test;
    auto before = test.store->revision();
    EXPECT_EQ(test.multi(Json::array(), {{{"set", "has space"}, {"value", 1}}}).status, 400);
    EXPECT_EQ(test.multi(Json::array(), {{{"set", std::string(201, 'k')}, {"value", 1}}}).status, 400);
    EXPECT_EQ(test.multi(Json::array(), {{{"set", "big"}, {"value", std::string(33 * 1024, 'v')}}}).status,
              400);
    EXPECT_EQ(test.multi(Json::array(), {{{"set", "a"}, {"drop", "a"}}}).status, 400);
    Json many = Json::array();
    for (int i = 0; i < 33; ++i) many.push_back({{"set", "k" + std::to_string(i)}, {"value", 1}});
    EXPECT_EQ(test.multi(Json::array(), many).status, 400);
    EXPECT_EQ(test.store->multi(Json{{"then", Json::array()}}, 65 * 1024).status, 400);
    EXPECT_EQ(test.store->revision(), before);
}

TEST(StateStore, RateLimitsAllowABurstOfOneSecond) {
    StateStoreTest test;
    test.limits.rps = 10, test.limits.write_rps = 5;
    test.open();
    int allowed = 0;
    for (int i = 0; i < 20; ++i) allowed += test.store->within_rates(0, test.now);
    EXPECT_EQ(allowed, 10);
    test.now += 1s;
    allowed = 0;
    for (int i = 0; i < 20; ++i) allowed += test.store->within_rates(1, test.now);
    EXPECT_EQ(allowed, 5);
}

namespace {
struct CloudTest {
    TimePoint now = TimePoint{} + 1000s;
    CloudModel model;
    CloudTest() : model(types(), {5, 3, 4, 1}, 42) {}
    static std::vector<wire::MachineType> types() {
        return {{"box", 4, 0, 8, 10, 1, 1, 0.5, 10, {"a", "b"}}};
    }
};
}  // namespace

TEST(CloudModel, RepeatedRequestReturnsTheSameMachines) {
    CloudTest cloud;
    wire::ProvisioningRequest request{"r-1", "box", "a", false, 3};
    auto first = cloud.model.rent(request, cloud.now);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->size(), 3u);
    EXPECT_EQ(cloud.model.rent(request, cloud.now), first);
    request.request = "r-2";
    EXPECT_EQ(cloud.model.rent(request, cloud.now)->size(), 1u);  // partially filled: the machine limit is 4
    request.request = "r-3";
    EXPECT_FALSE(cloud.model.rent(request, cloud.now));
    cloud.model.returned(*first, cloud.now);
    EXPECT_TRUE(cloud.model.rent(request, cloud.now));  // a refused request may be repeated
    EXPECT_FALSE(cloud.model.known({"r-4", "box", "z", false, 1}));
}

TEST(CloudModel, MachineListShowsChangesAfterADelay) {
    CloudTest cloud;
    auto names = *cloud.model.rent({"r-1", "box", "a", false, 1}, cloud.now);
    EXPECT_TRUE(cloud.model.list("", 500, cloud.now + 2900ms).machines.empty());
    auto later = cloud.model.list("", 500, cloud.now + 6100ms);
    ASSERT_EQ(later.machines.size(), 1u);
    EXPECT_EQ(later.machines[0].state, wire::ListedMachine::State::booting);
    EXPECT_TRUE(cloud.model.boots_due(cloud.now + 5s).empty());
    EXPECT_EQ(cloud.model.boots_due(cloud.now + 16s), names);
    EXPECT_TRUE(cloud.model.boots_due(cloud.now + 17s).empty());
    cloud.model.came_up(names[0], "127.0.0.1:9", cloud.now + 16s);
    EXPECT_EQ(cloud.model.list("", 500, cloud.now + 30s).machines[0].address, "127.0.0.1:9");
    cloud.model.died(names[0], cloud.now + 40s);
    EXPECT_EQ(cloud.model.list("", 500, cloud.now + 50s).machines[0].state,
              wire::ListedMachine::State::failed);
    cloud.model.returned(names, cloud.now + 60s);
    EXPECT_EQ(cloud.model.list("", 500, cloud.now + 62s).machines.size(), 1u);
    EXPECT_TRUE(cloud.model.list("", 500, cloud.now + 70s).machines.empty());
}

TEST(CloudModel, RestoredCloudKeepsRequestsAndDoesNotReuseNames) {
    CloudTest cloud;
    auto names = *cloud.model.rent({"r-1", "box", "a", false, 2}, cloud.now);
    auto saved = cloud.model.save();
    CloudModel next(CloudTest::types(), {5, 3, 4, 1}, 1);
    next.restore(saved, cloud.now);
    EXPECT_EQ(next.rent({"r-1", "box", "a", false, 2}, cloud.now), names);
    auto more = *next.rent({"r-2", "box", "a", false, 1}, cloud.now);
    EXPECT_EQ(std::count(names.begin(), names.end(), more[0]), 0);
    EXPECT_EQ(next.list("", 500, cloud.now + 30s).machines[0].state, wire::ListedMachine::State::failed);
}
