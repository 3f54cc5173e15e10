// Quotas on record: changes, torn writes, and changes that are refused.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "quota/versions.hpp"

using namespace barrowrun;
using namespace barrowrun::quota;

TEST(QuotaVersions, AChangeWritesItsPagesThenTheHeadAndATornWriteLeavesTheVersionBefore) {
    std::mt19937_64 random(3);
    std::vector<QuotaEntry> lines;
    for (int i = 0; i < 600; ++i)
        lines.push_back(
            {"n" + std::to_string(i), i % 10 ? "n" + std::to_string(i - i % 10) : "", "", {}, {}});
    VersionedQuotas book(lines, 16 * 1024);
    std::map<std::string, Json> stored;
    for (int step = 0; step < 60; ++step) {
        Change change;
        change.base_version = book.version();
        auto k = random() % 600;
        change.set_entries.push_back(
            {"n" + std::to_string(k), k % 10 ? "n" + std::to_string(k - k % 10) : "", "", {5, {}, {}}, {}});
        change.set_entries.back().limit.cpus = static_cast<double>(random() % 100);
        if (k % 10) change.set_entries.back().limit = {};
        if (step % 7 == 3) change.set_entries.push_back({"new" + std::to_string(step), "n0", "", {}, {}});
        if (step % 7 == 5) change.removed_paths.push_back("n0/new" + std::to_string(step - 2));
        auto result = book.with_change(change, {}, 1000 + step);
        if (auto* f = std::get_if<std::vector<ValidationError>>(&result)) FAIL() << f->front().str();
        auto& next = std::get<VersionedQuotas::NextVersion>(result);
        if (step > 0 && change.set_entries.size() == 1 && change.removed_paths.empty()) {
            EXPECT_LE(next.writes.size(), 2u);
        }
        EXPECT_EQ(next.writes.back().key, head_key);
        for (auto& w : next.writes) EXPECT_LE(w.value.dump().size(), 16u * 1024);
        // Some pages arrive, the head doesn't: what was there before is read, whole.
        if (step > 0) {
            auto torn = stored;
            for (std::size_t i = 0; i + 1 < next.writes.size(); ++i)
                torn[next.writes[i].key] = next.writes[i].value;
            auto before = VersionedQuotas::from_records(torn, 16 * 1024);
            ASSERT_TRUE(std::holds_alternative<VersionedQuotas>(before));
            EXPECT_EQ(std::get<VersionedQuotas>(before).entries(), book.entries());
            EXPECT_EQ(std::get<VersionedQuotas>(before).version(), book.version());
        }
        for (auto& w : next.writes) stored[w.key] = w.value;
        book = next.book;
        auto read = VersionedQuotas::from_records(stored, 16 * 1024);
        ASSERT_TRUE(std::holds_alternative<VersionedQuotas>(read));
        EXPECT_EQ(std::get<VersionedQuotas>(read).entries(), book.entries());
        EXPECT_EQ(std::get<VersionedQuotas>(read).history().back().version, book.version());
    }
    EXPECT_LE(book.history().size(), 16u);
    // A page that is gone is said, not guessed.
    stored.erase(record_prefix + std::string("0") +
                 stored.at(head_key).at("slots").get<std::string>().front());
    EXPECT_TRUE(std::holds_alternative<std::string>(VersionedQuotas::from_records(stored, 16 * 1024)));
}

TEST(QuotaVersions, InvalidChangesAreRejectedWhole) {
    VersionedQuotas book({{"a", "", "", {4, {}, {}}, {}}}, 16 * 1024);
    auto said = [&](Change c) {
        auto result = book.with_change(c, {}, 0);
        auto* f = std::get_if<std::vector<ValidationError>>(&result);
        return f ? f->front().str() : "";
    };
    Change child;
    child.set_entries.push_back({"b", "a", "", {5, {}, {}}, {}});
    EXPECT_EQ(said(child), "a/b: limit.cpus 5: a allows 4");
    Change gone;
    gone.removed_paths = {"z"};
    EXPECT_EQ(said(gone), "z: there is no such node to drop");
    Change orphan;
    orphan.set_entries.push_back({"b", "a", "", {}, {}});
    orphan.removed_paths = {"a"};
    EXPECT_EQ(said(orphan), "b: no node 'a' to be in");
    for (const char* bad : {R"([])", R"({})", R"({"base":1,"set":{}})", R"({"base":1,"set":[{}]})",
                            R"({"base":1,"drop":[1]})", R"({"base":1,"shrink_s":-2})", R"({"base":-1})"})
        EXPECT_TRUE(std::holds_alternative<std::string>(parse_change(Json::parse(bad)))) << bad;
    auto back = parse_change(to_json(child));
    EXPECT_EQ(std::get<Change>(back).set_entries, child.set_entries);
}
