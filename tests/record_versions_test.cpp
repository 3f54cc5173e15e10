// A transaction's preconditions: a copy of it must not be executed.
#include "state/record_versions.hpp"

#include <gtest/gtest.h>

using namespace barrowrun;
using namespace barrowrun::state;

namespace {

std::vector<RecordChange> changes_of(std::vector<Operation> operations) {
    return RecordVersions::checked_changes(operations);
}

Operation set(const std::string& key) {
    return {key, wire::Json(1), 0};
}

Operation drop(const std::string& key) {
    return {key, std::nullopt, 0};
}

std::uint64_t expected_version(const RecordVersions& versions, const std::string& key) {
    return versions.preconditions(changes_of({set(key)})).at(0).version;
}

Listing listing_of(std::vector<KeyValue> items) {
    Listing listing;
    listing.ok = true;
    listing.items = std::move(items);
    return listing;
}

}  // namespace

TEST(RecordVersions, ACopyOfATransactionFailsOnTheVersionsThatItWrote) {
    RecordVersions versions;
    versions.recovered("sheets/", listing_of({{"sheets/000001", {}, 7}}));
    const auto changes = changes_of({set("sheets/000001"), set("sheets/000002")});
    const auto before = versions.preconditions(changes);
    ASSERT_EQ(before.size(), 2u);
    EXPECT_EQ(before[0].version, 7u);
    EXPECT_EQ(before[1].version, 0u);
    versions.written(changes, 9);
    for (auto& precondition : versions.preconditions(changes)) EXPECT_EQ(precondition.version, 9u);
}

TEST(RecordVersions, AfterAnUnknownOutcomeTheVersionsAreReadAgain) {
    RecordVersions versions;
    versions.recovered("progress/", listing_of({{"progress/wk-1", {}, 3}}));
    const auto changes = changes_of({set("progress/wk-1"), drop("progress/wk-2"), set("past/wk-2")});
    EXPECT_TRUE(versions.unknown(changes).empty());
    versions.outcome_unknown(changes);
    EXPECT_EQ(versions.unknown(changes), (std::vector<std::string>{"progress/wk-1", "progress/wk-2"}));
    versions.read("progress/wk-1", 5);
    versions.read("progress/wk-2", 0);
    EXPECT_TRUE(versions.unknown(changes).empty());
    EXPECT_EQ(expected_version(versions, "progress/wk-1"), 5u);
}

TEST(RecordVersions, ARecordThatWasNeitherListedNorReadIsReadFirst) {
    RecordVersions versions;
    EXPECT_EQ(versions.unknown(changes_of({set("catalog")})), std::vector<std::string>{"catalog"});
    versions.conflicted({"leader", "past/wk-1", "catalog"});
    versions.read("catalog", 4);
    EXPECT_EQ(expected_version(versions, "catalog"), 4u);
}

TEST(RecordVersions, ADeletedRecordDoesNotExist) {
    RecordVersions versions;
    versions.recovered("hires/", listing_of({{"hires/r-1", {}, 4}}));
    versions.written(changes_of({drop("hires/r-1")}), 6);
    EXPECT_EQ(expected_version(versions, "hires/r-1"), 0u);
}

// The end of a job has the same effect each time, and the leader key has its own precondition.
TEST(RecordVersions, EndsOfJobsAndTheLeaderKeyAreNotChecked) {
    EXPECT_TRUE(changes_of({set("past/wk-1"), drop("jobs/wk-1"), set("leader")}).empty());
}
