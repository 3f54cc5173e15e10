#include "state/records.hpp"

#include <gtest/gtest.h>

#include "queue/job_queue.hpp"

using namespace barrowrun;
using namespace barrowrun::state;

TEST(IndexSet, KeepsRangesThroughInsertsAndErasures) {
    IndexSet s;
    for (std::uint32_t i : {5u, 3u, 4u, 9u, 0u}) EXPECT_TRUE(s.insert(i));
    EXPECT_FALSE(s.insert(4));
    EXPECT_EQ(s.size(), 5u);
    EXPECT_EQ(s.ranges().size(), 3u);
    EXPECT_TRUE(s.erase(4));
    EXPECT_FALSE(s.contains(4));
    EXPECT_TRUE(s.contains(3) && s.contains(5));
    EXPECT_EQ(*s.next(4), 5u);
    EXPECT_FALSE(s.next(10));
    s.insert_range(0, 20);
    EXPECT_EQ(s.size(), 20u);
    EXPECT_EQ(s.ranges().size(), 1u);
}

// A value may be 32 KiB: the worst pattern of the largest job must fit.
TEST(IndexSet, LargestJobFitsAValueWhateverThePattern) {
    IndexSet s;
    for (std::uint32_t i = 0; i < 100'000; i += 2) s.insert(i);
    auto j = s.json(100'000);
    EXPECT_LT(j.dump().size(), 20'000u);
    auto back = IndexSet::parse(j, 100'000);
    ASSERT_TRUE(back);
    EXPECT_EQ(back->ranges(), s.ranges());
    EXPECT_LT(IndexSet::full(100'000).json(100'000).dump().size(), 20u);
}

TEST(IndexSet, RefusesWhatDoesNotBelongToTheJob) {
    EXPECT_FALSE(IndexSet::parse(wire::Json::array({5u, 10u}), 12));
    EXPECT_FALSE(IndexSet::parse(wire::Json::array({5u}), 12));
    EXPECT_FALSE(IndexSet::parse("___", 12));
    EXPECT_TRUE(IndexSet::parse(wire::Json::array({5u, 7u}), 12));
}

TEST(Records, SurviveARoundTrip) {
    MachineRecord m{"n-7", "10.0.0.1:9", "g8", "a", true, 77, {{{"wk-1", 3}, (5ULL << 40) + 1}}};
    auto back = parse_machine_record(*wire::decode(wire::encode(to_json(m))));
    ASSERT_TRUE(back);
    EXPECT_EQ(back->attempts, m.attempts);
    EXPECT_EQ(back->provisioned_ms, 77);
    EXPECT_EQ(parse_assignment_shard_key(assignment_shard_key(12)), 12u);
    EXPECT_FALSE(parse_assignment_shard(wire::Json::array({to_json(m), "n-8"}))) << "whole or not at all";
    Progress p;
    p.done.insert_range(2, 5);
    p.cancelled = true;
    auto q = parse_progress(to_json(p, 9), 9);
    ASSERT_TRUE(q);
    EXPECT_TRUE(q->cancelled);
    EXPECT_EQ(q->done.size(), 3u);
    EXPECT_FALSE(parse_finished_record(wire::Json{{"state", "nonsense"}}));
}

TEST(Queue, OneFirstComeQueuePerLevelAndABound) {
    queue::JobQueue q(10);
    q.set_waiting(wire::Priority::normal, {20, "wk-2"}, 0, 4);
    q.set_waiting(wire::Priority::normal, {10, "wk-9"}, 0, 3);
    q.set_waiting(wire::Priority::low, {1, "wk-1"}, 0, 2);
    EXPECT_EQ(q.level(2).begin()->id, "wk-9");
    EXPECT_EQ(q.level(3).begin()->id, "wk-1");
    EXPECT_TRUE(q.admits(1));
    EXPECT_FALSE(q.admits(2));
    // A job keeps its place while any of its tasks waits.
    q.set_waiting(wire::Priority::normal, {10, "wk-9"}, 3, 1);
    EXPECT_EQ(q.level(2).begin()->id, "wk-9");
    q.set_waiting(wire::Priority::normal, {10, "wk-9"}, 1, 0);
    EXPECT_EQ(q.level(2).begin()->id, "wk-2");
    EXPECT_EQ(q.waiting(), 6u);
}
