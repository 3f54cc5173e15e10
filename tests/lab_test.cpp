// The stand-ins keep to the protocol: what they allow in error would be taken for granted elsewhere.
#include <gtest/gtest.h>

#include "lab/cloud_model.hpp"
#include "lab/state_store.hpp"
#include "temp_dir.hpp"

using namespace barrowrun;
using namespace barrowrun::lab;
using namespace std::chrono_literals;
using barrowrun::testing::TempDir;

namespace {

struct Store {
    TempDir dir;
    TimePoint now = TimePoint{} + 1000s;
    StateLimits limits;
    std::unique_ptr<StateStore> s;
    Store() { open(); }
    void open() {
        s.reset();
        s = std::make_unique<StateStore>(dir.str("state.db"), limits, now);
    }
    Answer multi(Json conditions, Json operations) {
        return s->multi({{"if", std::move(conditions)}, {"then", std::move(operations)}}, 100);
    }
    std::uint64_t set(const std::string& key, Json value) {
        return multi(Json::array(), {{{"set", key}, {"value", std::move(value)}}}).body.at("ledger");
    }
};

}  // namespace

TEST(StateStore, TransactionsAreAllOrNothingAndOneRevision) {
    Store t;
    auto first = t.set("a", 1);
    auto bad = t.multi({{{"key", "a"}, {"mark", first}}, {{"key", "b"}, {"mark", 7}}},
                       {{{"set", "a"}, {"value", 2}}, {{"set", "b"}, {"value", 2}}});
    EXPECT_EQ(bad.status, 409);
    EXPECT_EQ(bad.body.at("failed"), Json({"b"}));
    EXPECT_EQ(t.s->get("a").body.at("value"), 1);
    auto good = t.multi({{{"key", "a"}, {"mark", first}}, {{"key", "b"}, {"mark", 0}}},
                        {{{"set", "a"}, {"value", 2}}, {{"set", "b"}, {"value", {{"deep", {1, 2}}}}}});
    EXPECT_EQ(good.status, 200);
    EXPECT_EQ(t.s->get("a").body.at("mark"), t.s->get("b").body.at("mark"));
    EXPECT_EQ(t.s->get("b").body.at("value").at("deep"), Json({1, 2}));
    EXPECT_EQ(t.s->get("c").status, 404);
}

TEST(StateStore, ItSurvivesItsOwnEnd) {
    Store t;
    auto mark = t.set("a", "kept");
    auto hold = t.s->create_hold({{"ttl_ms", 3000}}, t.now).body.at("permit").get<std::uint64_t>();
    t.multi(Json::array(), {{{"set", "held"}, {"value", 1}, {"permit", hold}}});
    t.now += 2900ms;
    t.open();
    EXPECT_EQ(t.s->get("a").body.at("mark"), mark);
    // After an outage every hold has its full time again.
    t.now += 2900ms;
    EXPECT_FALSE(t.s->expire(t.now));
    EXPECT_EQ(t.s->get("held").status, 200);
    t.now += 200ms;
    EXPECT_TRUE(t.s->expire(t.now));
    EXPECT_EQ(t.s->get("held").status, 404);
    // Numbers of holds are not given twice, and the changes of before are gone: watchers read anew.
    EXPECT_GT(t.s->create_hold({{"ttl_ms", 3000}}, t.now).body.at("permit").get<std::uint64_t>(), hold);
    EXPECT_EQ(t.s->changes("", 0)->status, 410);
}

TEST(StateStore, HoldsEndUnlessRenewedAndTakeTheirKeysAlong) {
    Store t;
    auto hold = t.s->create_hold({{"ttl_ms", 1000}}, t.now).body.at("permit").get<std::uint64_t>();
    t.multi(Json::array(), {{{"set", "k"}, {"value", 1}, {"permit", hold}}});
    t.multi(Json::array(), {{{"set", "free"}, {"value", 1}, {"permit", hold}}});
    t.multi(Json::array(), {{{"set", "free"}, {"value", 2}}});  // detached
    t.now += 900ms;
    EXPECT_EQ(t.s->extend_hold(hold, t.now).status, 200);
    t.now += 900ms;
    t.s->expire(t.now);
    EXPECT_EQ(t.s->get("k").status, 200);
    t.now += 200ms;
    EXPECT_EQ(t.s->extend_hold(hold, t.now).status, 404);
    EXPECT_EQ(t.s->get("k").status, 404);
    EXPECT_EQ(t.s->get("free").status, 200);
    auto late = t.multi(Json::array(), {{{"set", "k"}, {"value", 1}, {"permit", hold}}});
    EXPECT_EQ(late.status, 400);
    EXPECT_EQ(late.body.at("error"), "no such lease");
    EXPECT_EQ(t.s->create_hold({{"ttl_ms", 99}}, t.now).status, 400);
}

TEST(StateStore, WatchersSeeEveryChangeOnceAndAreToldWhenTheyAreTooLate) {
    Store t;
    t.limits.kept_changes = 5;
    t.open();
    auto from = t.set("c/1", 1);
    EXPECT_FALSE(t.s->changes("c/", from));
    t.set("d/1", 1);
    EXPECT_FALSE(t.s->changes("c/", from));
    t.set("c/2", 2);
    t.multi(Json::array(), {{{"drop", "c/1"}}, {{"drop", "c/none"}}});
    auto seen = t.s->changes("c/", from);
    ASSERT_TRUE(seen);
    ASSERT_EQ(seen->body.at("events").size(), 2u);
    EXPECT_EQ(seen->body["events"][0].at("set"), "c/2");
    EXPECT_EQ(seen->body["events"][1].at("drop"), "c/1");
    for (int i = 0; i < 6; ++i) t.set("c/x", i);
    EXPECT_EQ(t.s->changes("c/", from)->status, 410);
}

TEST(StateStore, ListsInOrderByPages) {
    Store t;
    for (auto* k : {"p/b", "p/a", "q", "p/c", "o"}) t.set(k, k);
    auto page = t.s->list("p/", "", 2).body;
    EXPECT_EQ(page.at("entries").size(), 2u);
    EXPECT_EQ(page["entries"][1].at("key"), "p/b");
    EXPECT_TRUE(page.at("truncated"));
    auto rest = t.s->list("p/", "p/b", 2).body;
    EXPECT_EQ(rest.at("entries").size(), 1u);
    EXPECT_FALSE(rest.at("truncated"));
}

TEST(StateStore, LimitsAndMalformedRequestsAreRefusedWithoutAnEffect) {
    Store t;
    auto before = t.s->revision();
    EXPECT_EQ(t.multi(Json::array(), {{{"set", "has space"}, {"value", 1}}}).status, 400);
    EXPECT_EQ(t.multi(Json::array(), {{{"set", std::string(201, 'k')}, {"value", 1}}}).status, 400);
    EXPECT_EQ(t.multi(Json::array(), {{{"set", "big"}, {"value", std::string(33 * 1024, 'v')}}}).status, 400);
    EXPECT_EQ(t.multi(Json::array(), {{{"set", "a"}, {"drop", "a"}}}).status, 400);
    Json many = Json::array();
    for (int i = 0; i < 33; ++i) many.push_back({{"set", "k" + std::to_string(i)}, {"value", 1}});
    EXPECT_EQ(t.multi(Json::array(), many).status, 400);
    EXPECT_EQ(t.s->multi(Json{{"then", Json::array()}}, 65 * 1024).status, 400);
    EXPECT_EQ(t.s->revision(), before);
}

TEST(StateStore, RatesAllowABurstOfASecond) {
    Store t;
    t.limits.rps = 10, t.limits.write_rps = 5;
    t.open();
    int let = 0;
    for (int i = 0; i < 20; ++i) let += t.s->within_rates(0, t.now);
    EXPECT_EQ(let, 10);
    t.now += 1s;
    let = 0;
    for (int i = 0; i < 20; ++i) let += t.s->within_rates(1, t.now);
    EXPECT_EQ(let, 5);
}

namespace {
struct Cloud {
    TimePoint now = TimePoint{} + 1000s;
    CloudModel model;
    Cloud() : model(types(), {5, 3, 4, 1}, 42) {}
    static std::vector<wire::MachineType> types() {
        return {{"box", 4, 0, 8, 10, 1, 1, 0.5, 10, {"a", "b"}}};
    }
};
}  // namespace

TEST(CloudModel, ARepeatedRequestRentsNothingMore) {
    Cloud c;
    wire::ProvisioningRequest r{"r-1", "box", "a", false, 3};
    auto first = c.model.rent(r, c.now);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->size(), 3u);
    EXPECT_EQ(c.model.rent(r, c.now), first);
    r.request = "r-2";
    EXPECT_EQ(c.model.rent(r, c.now)->size(), 1u);  // partly filled
    r.request = "r-3";
    EXPECT_FALSE(c.model.rent(r, c.now));
    c.model.returned(*first, c.now);
    EXPECT_TRUE(c.model.rent(r, c.now));  // after a refusal the same request may be sent again
    EXPECT_FALSE(c.model.known({"r-4", "box", "z", false, 1}));
}

TEST(CloudModel, TheListIsLate) {
    Cloud c;
    auto names = *c.model.rent({"r-1", "box", "a", false, 1}, c.now);
    EXPECT_TRUE(c.model.list("", 500, c.now + 2900ms).machines.empty());
    auto later = c.model.list("", 500, c.now + 6100ms);
    ASSERT_EQ(later.machines.size(), 1u);
    EXPECT_EQ(later.machines[0].state, wire::ListedMachine::State::booting);
    EXPECT_TRUE(c.model.boots_due(c.now + 5s).empty());
    EXPECT_EQ(c.model.boots_due(c.now + 16s), names);
    EXPECT_TRUE(c.model.boots_due(c.now + 17s).empty());
    c.model.came_up(names[0], "127.0.0.1:9", c.now + 16s);
    EXPECT_EQ(c.model.list("", 500, c.now + 30s).machines[0].address, "127.0.0.1:9");
    c.model.died(names[0], c.now + 40s);
    EXPECT_EQ(c.model.list("", 500, c.now + 50s).machines[0].state, wire::ListedMachine::State::failed);
    c.model.returned(names, c.now + 60s);
    EXPECT_EQ(c.model.list("", 500, c.now + 62s).machines.size(), 1u);
    EXPECT_TRUE(c.model.list("", 500, c.now + 70s).machines.empty());
}

TEST(CloudModel, AfterItsOwnEndNamesAndRequestsAreNotReused) {
    Cloud c;
    auto names = *c.model.rent({"r-1", "box", "a", false, 2}, c.now);
    auto saved = c.model.save();
    CloudModel next(Cloud::types(), {5, 3, 4, 1}, 1);
    next.restore(saved, c.now);
    EXPECT_EQ(next.rent({"r-1", "box", "a", false, 2}, c.now), names);
    auto more = *next.rent({"r-2", "box", "a", false, 1}, c.now);
    EXPECT_EQ(std::count(names.begin(), names.end(), more[0]), 0);
    EXPECT_EQ(next.list("", 500, c.now + 30s).machines[0].state, wire::ListedMachine::State::failed);
}
