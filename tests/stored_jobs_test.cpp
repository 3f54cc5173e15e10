// What is accepted from a user can be read back wherever its record is sent: drawn submissions with unknown
// fields of any shape.
#include <gtest/gtest.h>

#include <random>

#include "cells/records.hpp"
#include "state/records.hpp"

using namespace barrowrun;
using wire::Json;

namespace {

constexpr int drawn_bodies = 3000;

Json smallest_submission() {
    return Json{{"name_id", "wk-000412"}, {"docket", "train"}, {"crew", "vision"}, {"sort", "sweep"},
                {"rank", "urgent"},       {"parcels", 16},     {"vcpus", 8.0},     {"cards", 1.0},
                {"mem_gb", 64.0},         {"cargo", "img-07"}, {"image_gb", 6.2},  {"same_place", true},
                {"spread", false},        {"loaners", true},   {"haul_s", 240.0},  {"waymark_s", 30.0},
                {"stow_s", 4.0}};
}

// Draws values as MessagePack: the library's own values can't express all that a user can send.
class DrawnBytes {
  public:
    explicit DrawnBytes(std::uint64_t seed) : random_(seed) {}

    std::size_t below(std::size_t n) { return random_() % n; }
    std::string value() {
        std::string out;
        // Chains as deep as a body allows, and a little above and below every limit on levels.
        for (std::size_t levels = below(4) ? below(40) : below(30'000); levels > 0; --levels)
            out += below(2) ? std::string("\x91") : std::string("\x81") + key();
        return out + leaf();
    }
    std::string key() {
        switch (below(12)) {
            case 0:
                return "\x07";  // a number
            case 1:
                return "\xa1\xff";  // not UTF-8
            default:
                return "\xa1k";
        }
    }
    std::string leaf() {
        static const std::vector<std::string> leaves{
            std::string("\xc0"),
            "\xa2ok",
            "\xa2\xc3\x28",                                          // not UTF-8
            std::string("\xc4\x01\x00", 3),                          // binary
            std::string("\xd4\x01\x00", 3),                          // extension
            std::string("\xcb\x7f\xf8\x00\x00\x00\x00\x00\x00", 9),  // not a number
            std::string("\xcb\x7f\xf0\x00\x00\x00\x00\x00\x00", 9),  // infinite
            std::string("\xcf\xff\xff\xff\xff\xff\xff\xff\xff", 9),
            "\x90",
            "\x80",
            std::string("\xd9\xc8") + std::string(200, '"'),
        };
        return leaves[below(leaves.size())];
    }

  private:
    std::mt19937_64 random_;
};

std::string drawn_submission(std::uint64_t seed) {
    DrawnBytes draw(seed);
    std::string known = wire::encode(smallest_submission());
    const std::size_t fields = smallest_submission().size(), unknown = 1 + draw.below(4);
    std::string body = "\xde";  // a map with a count of two bytes
    body += '\0';
    body += static_cast<char>(fields + unknown);
    body += known.substr(3);
    for (std::size_t i = 0; i < unknown; ++i) body += "\xa2x" + std::to_string(i) + draw.value();
    return body;
}

Json sent(const Json& message) {
    auto received = wire::decode(wire::encode(message));
    return received ? *received : Json("the whole message is unreadable");
}

// The job in each message that carries its record, after the message was sent.
std::vector<Json> received_records(const Json& record) {
    std::vector<Json> out;
    auto single = sent({{"key", "jobs/wk-000412"}, {"value", record}, {"mark", 7}});
    out.push_back(single.value("value", Json()));
    auto page = sent({{"entries", {{{"key", "jobs/wk-000412"}, {"value", record}, {"mark", 7}}}},
                      {"truncated", false},
                      {"ledger", 9}});
    if (page.contains("entries")) out.push_back(page["entries"][0]["value"]);
    auto changes = sent({{"ledger", 9}, {"events", {{{"set", "jobs/wk-000412"}, {"value", record}}}}});
    if (changes.contains("events")) out.push_back(changes["events"][0]["value"]);
    return out;
}

}  // namespace

// Guards against accepted jobs whose records no controller can read: the recovery of a new leader never
// ended.
TEST(StoredJobs, AnyAcceptedSubmissionIsReadBackWhereverItsRecordIsSent) {
    int accepted = 0, with_unknown_fields = 0;
    for (std::uint64_t seed = 1; seed <= drawn_bodies; ++seed) {
        auto body = wire::decode(drawn_submission(seed));
        ASSERT_TRUE(body) << "an unknown field is not ignored, seed " << seed;
        auto parsed = wire::parse_submission(*body);
        ASSERT_TRUE(std::holds_alternative<wire::JobSpec>(parsed)) << "seed " << seed;
        const auto& spec = std::get<wire::JobSpec>(parsed);
        ++accepted;
        with_unknown_fields += spec.extra.is_object();
        const auto record = state::to_json(state::JobRecord{spec, 77});
        EXPECT_TRUE(wire::is_storable(record, wire::max_depth)) << "seed " << seed;
        const auto received = received_records(record);
        ASSERT_EQ(received.size(), 3u) << "seed " << seed;
        for (auto& value : received) {
            auto again = state::parse_job_record(value);
            ASSERT_TRUE(again) << "seed " << seed;
            EXPECT_EQ(state::to_json(*again), record) << "seed " << seed;
        }
    }
    EXPECT_EQ(accepted, drawn_bodies);
    EXPECT_GT(with_unknown_fields, drawn_bodies / 20) << "fields that can be kept are kept";
}

TEST(StoredJobs, AnyAcceptedSubmissionIsReadBackInAnotherCell) {
    for (std::uint64_t seed = 1; seed <= drawn_bodies; ++seed) {
        auto body = wire::decode(drawn_submission(seed));
        ASSERT_TRUE(body) << "seed " << seed;
        cells::DelegationRequest request{"north", "wk-000412", 3, {}, cells::IndexSet::full(16), 77, {}};
        request.spec = std::get<wire::JobSpec>(wire::parse_submission(*body));
        const auto message = sent({{"part", cells::to_json(request)}});
        ASSERT_TRUE(message.contains("part")) << "seed " << seed;
        auto offer = cells::parse_delegation_request(message["part"]);
        ASSERT_TRUE(offer && offer->spec) << "seed " << seed;
        cells::StoredExecutor stored;
        stored.owner = "north";
        stored.record.tasks = offer->tasks;
        stored.spec = *offer->spec;
        const auto page =
            sent({{"entries", {{{"key", "held/wk-000412"}, {"value", cells::to_json(stored)}}}}});
        ASSERT_TRUE(page.contains("entries")) << "seed " << seed;
        auto read = cells::parse_executor(page["entries"][0]["value"]);
        ASSERT_TRUE(read) << "seed " << seed;
        EXPECT_EQ(wire::submission_json(read->spec), wire::submission_json(*request.spec)) << "seed " << seed;
    }
}
