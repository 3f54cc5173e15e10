// Golden files of what stands in the state service: keys and values.
#include <gtest/gtest.h>

#include "cells/records.hpp"
#include "golden.hpp"
#include "golden_samples.hpp"
#include "quota/versions.hpp"
#include "state/records.hpp"

namespace barrowrun {

using testing::GoldenDirectory;
using testing::Json;
using testing::rewrite_by;

namespace {

constexpr std::int64_t accepted_ms = 1'750'000'000'123;

state::IndexSet members(std::vector<std::uint32_t> numbers) {
    state::IndexSet set;
    for (auto number : numbers) set.insert(number);
    return set;
}

DayTime moment(std::int64_t ms) {
    return DayTime(std::chrono::milliseconds(ms));
}

testing::Rewrite rewrite_progress(std::uint32_t tasks) {
    return [tasks](const Json& document) -> std::optional<Json> {
        auto progress = state::parse_progress(document, tasks);
        if (!progress) return std::nullopt;
        return to_json(*progress, tasks);
    };
}

Json machines_json(const std::vector<state::MachineRecord>& machines) {
    Json out = Json::array();
    for (auto& machine : machines) out.push_back(to_json(machine));
    return out;
}

std::vector<state::MachineRecord> sample_machines() {
    return {{"n-7",
             "10.0.0.1:9",
             "g8",
             "a",
             true,
             1'750'000'000'077,
             {{{"wk-1", 3}, (5ULL << 40) + 1}, {{"wk-20", 0}, 2}},
             {}},
            {"n-8", "10.0.0.2:9", "c4", "b", false, 0, {}, {}}};
}

/// As written since the records name the agent epoch; the others are of earlier versions.
std::vector<state::MachineRecord> sample_machines_with_agent_epochs() {
    auto machines = sample_machines();
    machines.front().agent_epoch = 3;
    return machines;
}

cells::StoredExecutor sample_held(std::optional<DayTime> until) {
    return {"east",
            {3, true, members({5, 6, 9}), members({6}), until},
            testing::job_with_every_field(),
            accepted_ms};
}

quota::QuotaEntry sample_node() {
    return {"night", "lab/slips", "harbour", {12.5, 2.0, 64.0}, {4.0, 1.0, 16.0}};
}

/// The team of the platform that the sample quotas name.
std::vector<quota::TeamQuota> sample_teams() {
    return {{"harbour", {}, {}}};
}

quota::Change first_change() {
    return {
        0,
        {{"lab", "", "", {60.0, {}, 256.0}, {20.0, {}, {}}}, {"slips", "lab", "harbour", {}, {10.0, {}, {}}}},
        {},
        90.0,
        "an operator",
        "a second hall",
        "n-1"};
}

quota::Change second_change() {
    return {1, {{"slips", "lab", "harbour", {8.0, {}, {}}, {}}}, {}, {}, "an operator", "", "n-2"};
}

quota::Change change_with_every_field() {
    return {6, {sample_node()}, {"lab/old"}, 90.0, "an operator", "a second hall", "n-1"};
}

Json writes_json(const std::vector<quota::VersionedQuotas::RecordWrite>& writes) {
    Json out = Json::array();
    for (auto& written : writes) out.push_back({{"key", written.key}, {"value", written.value}});
    return out;
}

std::map<std::string, Json> as_records(const Json& writes) {
    std::map<std::string, Json> out;
    for (auto& write : writes) out[write["key"].get<std::string>()] = write["value"];
    return out;
}

/// The writes of a change; an empty list and a failure if it was refused.
Json writes_of(const quota::VersionedQuotas& book, const quota::Change& change, std::int64_t at_ms) {
    auto next = book.with_change(change, sample_teams(), at_ms);
    if (auto* made = std::get_if<quota::VersionedQuotas::NextVersion>(&next))
        return writes_json(made->writes);
    ADD_FAILURE() << std::get<1>(next).front().str();
    return Json::array();
}

}  // namespace

TEST(GoldenRecords, Keys) {
    GoldenDirectory golden("keys");
    golden.document("keys", {{"job", state::job_key("wk-1")},
                             {"progress of a job", state::progress_key("wk-1")},
                             {"finished job", state::finished_key("wk-1")},
                             {"machines 0", state::assignment_shard_key(0)},
                             {"machines 12", state::assignment_shard_key(12)},
                             {"machines 1234567", state::assignment_shard_key(1'234'567)},
                             {"rental of unknown outcome", state::provisioning_key("r-1")},
                             {"leader", state::leader_key},
                             {"machine types", state::catalog_key},
                             {"quotas", quota::record_prefix},
                             {"head of the quotas", quota::head_key},
                             {"part that is lent", cells::origin_key("wk-1")},
                             {"part that is held", cells::executor_key("wk-1")},
                             {"part that is over", cells::closed_epoch_key("wk-1")}});
    EXPECT_EQ(state::parse_assignment_shard_key("sheets/000012"), 12u);
    EXPECT_FALSE(state::parse_assignment_shard_key("sheet/000012"));
}

// Of a job whose finished tasks don't fit into one value.
TEST(GoldenRecords, FurtherProgress) {
    GoldenDirectory golden("further_progress");
    const state::TaskRange tasks{92'160, 92'500};
    golden.document("keys", {{"tasks 92160 to 92499", state::progress_part_key("wk-1", tasks)}});
    const auto rewrite =
        rewrite_by([&](const Json& value) { return state::parse_progress_part(value, tasks); },
                   [&](auto& value) { return state::progress_part_json(value, tasks); });
    golden.message("as-ranges",
                   state::progress_part_json(members({5, 92'160, 92'161, 92'499, 92'600}), tasks), rewrite);
    state::IndexSet every_other;
    for (std::uint32_t i = tasks.first; i < tasks.end; i += 2) every_other.insert(i);
    golden.message("as-bitmap", state::progress_part_json(every_other, tasks), rewrite);
    EXPECT_FALSE(state::parse_progress_key("progress/wk-1/92500-92160"));
    EXPECT_FALSE(state::parse_progress_key("progress/wk-1/5"));
    EXPECT_FALSE(state::parse_progress_key("progress/wk-1/0-100001"));
}

TEST(GoldenRecords, Jobs) {
    GoldenDirectory golden("jobs");
    auto rewrite = rewrite_by(state::parse_job_record, [](auto& value) { return to_json(value); });
    golden.message_and_malformed(
        "job", to_json(state::JobRecord{testing::job_with_every_field(), accepted_ms}), rewrite);
    golden.message("job-with-no-optional-field",
                   to_json(state::JobRecord{testing::job_with_no_optional_field(), 0}), rewrite);
    golden.message("set-of-tasks-as-ranges", members({0, 1, 2, 7, 20}).json(100),
                   rewrite_by([](const Json& value) { return state::IndexSet::parse(value, 100); },
                              [](auto& value) { return value.json(100); }));
}

TEST(GoldenRecords, Progress) {
    GoldenDirectory golden("progress");
    wire::ErrorCount total{5, wire::Failure{"wk-1/7", "n-7", (5ULL << 40) + 1}};
    state::Progress progress{
        members({0, 1, 2, 7}), true, true, {{3, {2, 9}}, {8, {3, (5ULL << 40) + 1}}}, total};
    golden.message_and_malformed("progress", to_json(progress, 30), rewrite_progress(30));
    golden.message("only-finished-tasks", to_json(state::Progress{members({4}), false, false, {}, {}}, 30),
                   rewrite_progress(30));
    golden.message("cancelled", to_json(state::Progress{{}, true, false, {}, {}}, 30), rewrite_progress(30));
    golden.message("failed",
                   to_json(state::Progress{{}, true, true, {}, wire::ErrorCount{1, std::nullopt}}, 30),
                   rewrite_progress(30));
    state::IndexSet every_third;
    for (std::uint32_t i = 0; i < 500; i += 3) every_third.insert(i);
    golden.message("finished-tasks-as-bitmap",
                   to_json(state::Progress{every_third, false, false, {}, {}}, 500), rewrite_progress(500));
}

TEST(GoldenRecords, FinishedJobs) {
    GoldenDirectory golden("past");
    auto rewrite = rewrite_by(state::parse_finished_record, [](auto& value) { return to_json(value); });
    wire::ErrorCount errors{2, wire::Failure{"wk-1/7", "n-7", 12}};
    golden.message_and_malformed("failed", to_json(state::FinishedRecord{wire::JobState::failed, 11, errors}),
                                 rewrite);
    golden.message("done", to_json(state::FinishedRecord{wire::JobState::done, 12, {}}), rewrite);
    golden.message("cancelled", to_json(state::FinishedRecord{wire::JobState::cancelled, 0, {}}), rewrite);
}

TEST(GoldenRecords, MachinesRentalsLeaderAndMachineTypes) {
    GoldenDirectory golden("cluster");
    golden.message_and_malformed("machines", machines_json(sample_machines()),
                                 rewrite_by(state::parse_assignment_shard, machines_json));
    golden.message_and_malformed("machines-with-agent-epochs",
                                 machines_json(sample_machines_with_agent_epochs()),
                                 rewrite_by(state::parse_assignment_shard, machines_json));
    golden.message_and_malformed(
        "rental-of-unknown-outcome", to_json(state::ProvisioningRecord{"g8", "a", true, 50}),
        rewrite_by(state::parse_provisioning_record, [](auto& value) { return to_json(value); }));
    golden.message_and_malformed(
        "leader", to_json(state::LeaderRecord{"barrow-0", "i-1", 77, 41}),
        rewrite_by(state::parse_leader_record, [](auto& value) { return to_json(value); }));
    golden.message("machine-types", wire::types_json(testing::sample_machine_types()),
                   rewrite_by(wire::parse_types, wire::types_json));
}

TEST(GoldenRecords, PartsOfJobsInOtherCells) {
    GoldenDirectory golden("cells");
    auto rewrite_lent = rewrite_by(cells::parse_origin, [](auto& value) { return to_json(value); });
    auto rewrite_held = rewrite_by(cells::parse_executor, [](auto& value) { return to_json(value); });
    golden.message_and_malformed(
        "lent",
        to_json(cells::StoredOrigin{"west", {3, true, members({5, 6, 9}), moment(accepted_ms + 60'000)}}),
        rewrite_lent);
    golden.message("lent-without-an-end", to_json(cells::StoredOrigin{"west", {3, true, members({5}), {}}}),
                   rewrite_lent);
    golden.message("lent-and-closed", to_json(cells::StoredOrigin{"west", {4, false, {}, {}}}), rewrite_lent);
    golden.message_and_malformed("held", to_json(sample_held(moment(accepted_ms + 60'000))), rewrite_held);
    golden.message("held-without-an-end", to_json(sample_held(std::nullopt)), rewrite_held);
    golden.message_and_malformed("over", cells::closed_epoch_json({3, false, {}, members({5, 6}), {}}),
                                 rewrite_by(cells::parse_closed_epoch, cells::closed_epoch_json));
}

TEST(GoldenRecords, Quotas) {
    GoldenDirectory golden("quotas");
    golden.message_and_malformed(
        "node", to_json(sample_node()),
        rewrite_by(quota::parse_quota_entry, [](auto& value) { return to_json(value); }));
    golden.message_and_malformed(
        "history-entry",
        to_json(quota::ChangeSummary{7, accepted_ms, "an operator", "a second hall", "n-1", 2, 1}),
        rewrite_by(quota::parse_change_summary, [](auto& value) { return to_json(value); }));
    golden.message_and_malformed("change", to_json(change_with_every_field()),
                                 testing::RewriteOrWhy([](const Json& document) -> testing::Rewritten {
                                     auto parsed = quota::parse_change(document);
                                     if (auto* why = std::get_if<std::string>(&parsed))
                                         return {std::nullopt, *why};
                                     return {to_json(std::get<quota::Change>(parsed)), ""};
                                 }));
}

TEST(GoldenRecords, QuotaPagesAndHeadThroughTwoChanges) {
    GoldenDirectory golden("quota_versions");
    const auto first = writes_of(quota::VersionedQuotas{}, first_change(), accepted_ms);
    golden.document("first-version", first);
    auto read = quota::VersionedQuotas::from_records(as_records(first), 16 * 1024);
    ASSERT_TRUE(std::holds_alternative<quota::VersionedQuotas>(read)) << std::get<std::string>(read);
    golden.document("second-version",
                    writes_of(std::get<quota::VersionedQuotas>(read), second_change(), accepted_ms + 1000));
}

}  // namespace barrowrun
