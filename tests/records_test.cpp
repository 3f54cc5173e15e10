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

// The state service accepts values of up to 32 KiB, so the set with the longest encoding must fit.
TEST(IndexSet, EncodedSetOfTheLargestJobFitsAValueForAnyPattern) {
    IndexSet s;
    for (std::uint32_t i = 0; i < 100'000; i += 2) s.insert(i);
    auto j = s.json(100'000);
    EXPECT_LT(j.dump().size(), 20'000u);
    auto parsed = IndexSet::parse(j, 100'000);
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->ranges(), s.ranges());
    EXPECT_LT(IndexSet::full(100'000).json(100'000).dump().size(), 20u);
}

TEST(IndexSet, ParseRefusesMalformedRangesAndIndicesOutsideTheJob) {
    EXPECT_FALSE(IndexSet::parse(wire::Json::array({5u, 10u}), 12));
    EXPECT_FALSE(IndexSet::parse(wire::Json::array({5u}), 12));
    EXPECT_FALSE(IndexSet::parse("___", 12));
    EXPECT_TRUE(IndexSet::parse(wire::Json::array({5u, 7u}), 12));
}

TEST(Records, RoundTripThroughJsonAndMalformedOnesAreRefused) {
    MachineRecord machine{"n-7", "10.0.0.1:9", "g8", "a", true, 77, {{{"wk-1", 3}, (5ULL << 40) + 1}}, {}};
    auto parsed = parse_machine_record(*wire::decode(wire::encode(to_json(machine))));
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->attempts, machine.attempts);
    EXPECT_EQ(parsed->provisioned_ms, 77);
    EXPECT_FALSE(parsed->agent_epoch) << "as in records of earlier versions";
    machine.agent_epoch = 4;
    EXPECT_EQ(parse_machine_record(*wire::decode(wire::encode(to_json(machine))))->agent_epoch, 4u);
    auto with_text = to_json(machine);
    with_text[7] = "4";
    EXPECT_FALSE(parse_machine_record(with_text));
    EXPECT_EQ(parse_assignment_shard_key(assignment_shard_key(12)), 12u);
    EXPECT_FALSE(parse_assignment_shard(wire::Json::array({to_json(machine), "n-8"})))
        << "one machine record of the shard is malformed";
    Progress progress;
    progress.done.insert_range(2, 5);
    progress.cancelled = true;
    auto parsed_progress = parse_progress(to_json(progress, 9), 9);
    ASSERT_TRUE(parsed_progress);
    EXPECT_TRUE(parsed_progress->cancelled);
    EXPECT_EQ(parsed_progress->done.size(), 3u);
    EXPECT_FALSE(parse_finished_record(wire::Json{{"state", "nonsense"}}));
}

TEST(JobQueue, OrdersJobsByAcceptanceTimeWithinEachPriorityAndBoundsTheBacklog) {
    queue::JobQueue job_queue(10);
    job_queue.set_waiting(wire::Priority::normal, {20, "wk-2"}, 0, 4);
    job_queue.set_waiting(wire::Priority::normal, {10, "wk-9"}, 0, 3);
    job_queue.set_waiting(wire::Priority::low, {1, "wk-1"}, 0, 2);
    EXPECT_EQ(job_queue.level(2).begin()->id, "wk-9");
    EXPECT_EQ(job_queue.level(3).begin()->id, "wk-1");
    EXPECT_TRUE(job_queue.admits(1));
    EXPECT_FALSE(job_queue.admits(2));
    // A job keeps its position while any of its tasks waits.
    job_queue.set_waiting(wire::Priority::normal, {10, "wk-9"}, 3, 1);
    EXPECT_EQ(job_queue.level(2).begin()->id, "wk-9");
    job_queue.set_waiting(wire::Priority::normal, {10, "wk-9"}, 1, 0);
    EXPECT_EQ(job_queue.level(2).begin()->id, "wk-2");
    EXPECT_EQ(job_queue.waiting(), 6u);
}
