// Golden files of what nodes send one another, in one cell and between cells.
#include <gtest/gtest.h>

#include <filesystem>

#include "cells/offload.hpp"
#include "cells/records.hpp"
#include "golden.hpp"
#include "golden_samples.hpp"
#include "leases/leases.hpp"

namespace barrowrun {

using testing::GoldenDirectory;
using testing::Json;
using testing::rewrite_by;

namespace {

constexpr std::int64_t accepted_ms = 1'750'000'000'123;

state::IndexSet members(std::initializer_list<std::uint32_t> numbers) {
    state::IndexSet set;
    for (auto number : numbers) set.insert(number);
    return set;
}

std::optional<DayTime> end_of_part() {
    return DayTime(std::chrono::milliseconds(accepted_ms + 60'000));
}

}  // namespace

TEST(GoldenPeers, HeartbeatsAndGrants) {
    GoldenDirectory golden("leases");
    auto rewrite_grant = rewrite_by(leases::parse_renewal_grant, [](auto& value) { return to_json(value); });
    golden.message_and_malformed(
        "heartbeat", to_json(leases::Heartbeat{"a", 77, 123'456, 250, true, 60'000}),
        rewrite_by(leases::parse_heartbeat, [](auto& value) { return to_json(value); }));
    golden.message_and_malformed("grant", to_json(leases::RenewalGrant{77, 123'456, false, {"n-7", "n-8"}}),
                                 rewrite_grant);
    golden.message("grant-without-exceptions", to_json(leases::RenewalGrant{77, 123'456, false, {}}),
                   rewrite_grant);
    golden.message("grant-of-nothing", to_json(leases::RenewalGrant{77, 123'456, true, {}}), rewrite_grant);
}

TEST(GoldenPeers, PartsOfJobsBetweenCells) {
    GoldenDirectory golden("between_cells");
    auto rewrite = rewrite_by(cells::parse_delegation_request, [](auto& value) { return to_json(value); });
    auto job = testing::job_with_every_field();
    golden.message_and_malformed("offer",
                                 to_json(cells::DelegationRequest{"east", "wk-1", 3, job, members({5, 6, 9}),
                                                                  accepted_ms, end_of_part()}),
                                 rewrite);
    golden.message(
        "offer-without-an-end",
        to_json(cells::DelegationRequest{"east", "wk-1", 3, job, members({5}), accepted_ms, std::nullopt}),
        rewrite);
    golden.message_and_malformed(
        "recall", to_json(cells::DelegationRequest{"east", "wk-1", 3, std::nullopt, {}, 0, std::nullopt}),
        rewrite);
    auto rewrite_answer =
        rewrite_by(cells::parse_delegation_reply, [](auto& value) { return to_json(value); });
    using Status = cells::DelegationReply::Status;
    golden.message_and_malformed("answer-holds",
                                 to_json(cells::DelegationReply{Status::executing, 3, members({5, 6})}),
                                 rewrite_answer);
    golden.message("answer-over", to_json(cells::DelegationReply{Status::closed, 3, members({5, 6, 9})}),
                   rewrite_answer);
    golden.message("answer-later", to_json(cells::DelegationReply{Status::undecided, 3, {}}), rewrite_answer);
    golden.message_and_malformed(
        "free-room", to_json(cells::CapacityDigest{{{{4.0, 1.0, 16.5}, 3}, {{8.0, 0.0, 32.0}, 1}}, 12}),
        rewrite_by(cells::parse_capacity_digest, [](auto& value) { return to_json(value); }));
}

/// A directory that no test compares would pin nothing.
TEST(GoldenFiles, EveryDirectoryBelongsToATest) {
    const std::set<std::string> compared{"answers",
                                         "between_cells",
                                         "cells",
                                         "cloud",
                                         "cloud_requests",
                                         "cluster",
                                         "depot",
                                         "depot_tree",
                                         "further_progress",
                                         "jobs",
                                         "journal",
                                         "keys",
                                         "leases",
                                         "outer_names.txt",  // tools/outer-names compares this file
                                         "past",
                                         "progress",
                                         "quota_versions",
                                         "quotas",
                                         "settings_operator",
                                         "settings_platform",
                                         "settings_worker",
                                         "stage",
                                         "state_reads",
                                         "state_writes",
                                         "submissions",
                                         "user_requests",
                                         "words",
                                         "workers"};
    std::set<std::string> present;
    for (auto& entry : std::filesystem::directory_iterator(GOLDEN_FILES))
        present.insert(entry.path().filename().string());
    EXPECT_EQ(present, compared);
}

}  // namespace barrowrun
