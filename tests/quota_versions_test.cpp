// Tests of quota::VersionedQuotas: changes, incomplete writes and rejected changes.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "quota/versions.hpp"

using namespace barrowrun;
using namespace barrowrun::quota;

TEST(QuotaVersions, ChangeWritesPagesBeforeTheHeadAndAnIncompleteWriteLeavesThePreviousVersion) {
    std::mt19937_64 random(3);
    std::vector<QuotaEntry> entries;
    for (int i = 0; i < 600; ++i)
        entries.push_back(
            {"n" + std::to_string(i), i % 10 ? "n" + std::to_string(i - i % 10) : "", "", {}, {}});
    VersionedQuotas quotas(entries, 16 * 1024);
    std::map<std::string, Json> stored;
    for (int step = 0; step < 60; ++step) {
        Change change;
        change.base_version = quotas.version();
        auto index = random() % 600;
        change.set_entries.push_back({"n" + std::to_string(index),
                                      index % 10 ? "n" + std::to_string(index - index % 10) : "",
                                      "",
                                      {5, {}, {}},
                                      {}});
        change.set_entries.back().limit.cpus = static_cast<double>(random() % 100);
        if (index % 10) change.set_entries.back().limit = {};
        if (step % 7 == 3) change.set_entries.push_back({"new" + std::to_string(step), "n0", "", {}, {}});
        if (step % 7 == 5) change.removed_paths.push_back("n0/new" + std::to_string(step - 2));
        auto result = quotas.with_change(change, {}, 1000 + step);
        if (auto* errors = std::get_if<std::vector<ValidationError>>(&result))
            FAIL() << errors->front().str();
        auto& next = std::get<VersionedQuotas::NextVersion>(result);
        if (step > 0 && change.set_entries.size() == 1 && change.removed_paths.empty()) {
            EXPECT_LE(next.writes.size(), 2u);
        }
        EXPECT_EQ(next.writes.back().key, head_key);
        for (auto& write : next.writes) EXPECT_LE(write.value.dump().size(), 16u * 1024);
        // If the pages are written but the head is not, the complete previous version is read.
        if (step > 0) {
            auto incomplete = stored;
            for (std::size_t i = 0; i + 1 < next.writes.size(); ++i)
                incomplete[next.writes[i].key] = next.writes[i].value;
            auto previous = VersionedQuotas::from_records(incomplete, 16 * 1024);
            ASSERT_TRUE(std::holds_alternative<VersionedQuotas>(previous));
            EXPECT_EQ(std::get<VersionedQuotas>(previous).entries(), quotas.entries());
            EXPECT_EQ(std::get<VersionedQuotas>(previous).version(), quotas.version());
        }
        for (auto& write : next.writes) stored[write.key] = write.value;
        quotas = next.book;
        auto recorded = VersionedQuotas::from_records(stored, 16 * 1024);
        ASSERT_TRUE(std::holds_alternative<VersionedQuotas>(recorded));
        EXPECT_EQ(std::get<VersionedQuotas>(recorded).entries(), quotas.entries());
        EXPECT_EQ(std::get<VersionedQuotas>(recorded).history().back().version, quotas.version());
    }
    EXPECT_LE(quotas.history().size(), 16u);
    // A missing page is reported as an error.
    stored.erase(record_prefix + std::string("0") +
                 stored.at(head_key).at("slots").get<std::string>().front());
    EXPECT_TRUE(std::holds_alternative<std::string>(VersionedQuotas::from_records(stored, 16 * 1024)));
}

TEST(QuotaVersions, InvalidChangesAndMalformedRequestsAreRejected) {
    VersionedQuotas quotas({{"a", "", "", {4, {}, {}}, {}}}, 16 * 1024);
    auto first_error = [&](Change change) {
        auto result = quotas.with_change(change, {}, 0);
        auto* errors = std::get_if<std::vector<ValidationError>>(&result);
        return errors ? errors->front().str() : "";
    };
    Change child;
    child.set_entries.push_back({"b", "a", "", {5, {}, {}}, {}});
    EXPECT_EQ(first_error(child), "a/b: limit.cpus 5: a allows 4");
    Change removal;
    removal.removed_paths = {"z"};
    EXPECT_EQ(first_error(removal), "z: there is no such node to drop");
    Change orphan;
    orphan.set_entries.push_back({"b", "a", "", {}, {}});
    orphan.removed_paths = {"a"};
    EXPECT_EQ(first_error(orphan), "b: no node 'a' to be in");
    for (const char* malformed :
         {R"([])", R"({})", R"({"base":1,"set":{}})", R"({"base":1,"set":[{}]})", R"({"base":1,"drop":[1]})",
          R"({"base":1,"shrink_s":-2})", R"({"base":-1})"})
        EXPECT_TRUE(std::holds_alternative<std::string>(parse_change(Json::parse(malformed)))) << malformed;
    auto parsed = parse_change(to_json(child));
    EXPECT_EQ(std::get<Change>(parsed).set_entries, child.set_entries);
}
