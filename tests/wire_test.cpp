// Reading of submissions and worker heartbeats, and the limits of the MessagePack decoder.
#include <gtest/gtest.h>

#include <limits>

#include "wire/messages.hpp"
#include "wire/submission.hpp"

using namespace barrowrun::wire;

namespace {
Json valid_submission() {
    return Json{{"name_id", "wk-000412"}, {"docket", "train"},  {"crew", "vision"}, {"sort", "gang"},
                {"rank", "urgent"},       {"parcels", 16},      {"vcpus", 8.0},     {"cards", 1.0},
                {"mem_gb", 64.0},         {"cargo", "img-07"},  {"image_gb", 6.2},  {"builds", {"g8"}},
                {"yard", nullptr},        {"same_place", true}, {"spread", false},  {"loaners", true},
                {"haul_s", 240.0},        {"waymark_s", 30.0},  {"stow_s", 4.0},    {"due_s", 900.0}};
}
bool is_accepted(const Json& j) {
    return std::holds_alternative<JobSpec>(parse_submission(j));
}
}  // namespace

TEST(Submission, AValidSubmissionIsParsedAndUnchangedByARoundTrip) {
    ASSERT_TRUE(is_accepted(valid_submission()));
    auto spec = std::get<JobSpec>(parse_submission(valid_submission()));
    EXPECT_EQ(spec.kind, JobKind::gang);
    EXPECT_EQ(spec.priority, Priority::high);
    EXPECT_EQ(spec.tasks, 16u);
    EXPECT_EQ(*spec.deadline_s, 900.0);
    EXPECT_FALSE(spec.zone);
    auto again = std::get<JobSpec>(parse_submission(*decode(encode(submission_json(spec)))));
    EXPECT_EQ(submission_json(again), submission_json(spec));
}

TEST(Submission, NullableFieldsMayBeAbsentAndUnknownFieldsAreAccepted) {
    auto j = valid_submission();
    j.erase("builds"), j.erase("yard"), j.erase("due_s");
    j["novelty"] = {{"a", 1}};
    EXPECT_TRUE(is_accepted(j));
}

TEST(Submission, ASubmissionWithAnInvalidFieldIsRejected) {
    const double inf = std::numeric_limits<double>::infinity(), nan = std::nan("");
    const std::vector<std::pair<const char*, Json>> table = {
        {"name_id", "000412"}, {"name_id", "wk-"},   {"name_id", "wk-12/3"},
        {"name_id", 7},        {"name_id", nullptr}, {"docket", 1},
        {"crew", nullptr},     {"sort", "array"},    {"rank", "high"},
        {"parcels", 0},        {"parcels", -1},      {"parcels", 100'001},
        {"parcels", 1.5},      {"parcels", "3"},     {"vcpus", -1.0},
        {"vcpus", inf},        {"cards", nan},       {"mem_gb", "64"},
        {"cargo", nullptr},    {"image_gb", -0.1},   {"builds", "g8"},
        {"builds", {1}},       {"yard", 3},          {"same_place", 1},
        {"spread", nullptr},   {"loaners", "yes"},   {"haul_s", nan},
        {"waymark_s", -1},     {"stow_s", nullptr},  {"due_s", -5.0},
        {"due_s", inf}};
    for (auto& [field, value] : table) {
        auto j = valid_submission();
        j[field] = value;
        EXPECT_FALSE(is_accepted(j)) << field << " = " << value.dump();
    }
    EXPECT_FALSE(is_accepted(Json::array()));
    EXPECT_FALSE(is_accepted(Json("text")));
}

// The MessagePack decoder recurses, so deep nesting would overflow the stack.
TEST(Codec, DeepNestingIsRejectedBeforeTheDocumentIsBuilt) {
    EXPECT_FALSE(decode(std::string(60'000, '\x91')));
    std::string maps;
    for (int i = 0; i < 20'000; ++i) maps += "\x81\xa1k";
    EXPECT_FALSE(decode(maps));
}

// Guards against a whole message that is refused because of one unknown field in it.
TEST(Codec, AnUnknownFieldIsIgnoredHoweverDeepOrWhateverItsKeys) {
    const std::string known = encode(Json{{"name_id", "wk-1"}}).substr(1);
    const std::vector<std::string> unknown_values{std::string(60'000, '\x91') + "\x90",
                                                  std::string(max_depth, '\x91') + "\x90", "\x81\x07\xa1v",
                                                  std::string("\x92\x81\x90\x07\x81\xa1k\x81\xc0\xc0", 10)};
    for (auto& value : unknown_values) {
        auto body = decode(
            "\x83\xa1"
            "a" +
            value + known + "\xa1z\x07");
        ASSERT_TRUE(body) << value.size();
        EXPECT_EQ(text(*body, "name_id"), "wk-1");
        EXPECT_EQ(count(*body, "z"), 7u) << "the field after it is read";
    }
}

TEST(Codec, ADocumentOfEveryTypeIsDecodedInTheSameWayBesideAnUnreadableValue) {
    const Json values{nullptr,
                      true,
                      -1,
                      -40,
                      -200,
                      -40'000,
                      -3'000'000'000,
                      5,
                      200,
                      40'000,
                      3'000'000'000,
                      10'000'000'000'000,
                      1.5,
                      0.1,
                      std::string(5, 'a'),
                      std::string(40, 'b'),
                      std::string(300, 'c'),
                      std::string(70'000, 'd'),
                      Json::array({1, 2}),
                      Json(std::vector<int>(20, 3)),
                      Json(std::vector<int>(70'000, 4)),
                      Json{{"a", {{"b", 1}}}},
                      Json::binary({1, 2, 3}),
                      Json::binary({1, 2, 3, 4}, 9),
                      Json::binary(std::vector<std::uint8_t>(300), 9)};
    auto body = decode("\x92" + encode(values) + std::string(100, '\x91') + "\x90");
    ASSERT_TRUE(body);
    EXPECT_EQ((*body)[0], values);
    EXPECT_FALSE(decode_unchanged("\x92" + encode(values) + std::string(100, '\x91') + "\x90", max_depth));
    EXPECT_EQ(decode_unchanged(encode(values), max_depth), values);
}

// A header of five bytes may declare 2^32 - 1 elements, which the decoder must not allocate in advance.
TEST(Codec, ADeclaredLengthBeyondTheBodyIsRejected) {
    EXPECT_FALSE(decode(std::string("\xdd\xff\xff\xff\xff", 5)));
    EXPECT_FALSE(decode(std::string("\xdf\xff\xff\xff\xff", 5)));
    EXPECT_FALSE(decode(std::string("\xdb\xff\xff\xff\xff", 5)));
}

TEST(Codec, InvalidBytesAndTrailingBytesAreRejected) {
    EXPECT_FALSE(decode(""));
    EXPECT_FALSE(decode("\xc1"));
    EXPECT_FALSE(decode(encode(valid_submission()) + "x"));
    EXPECT_TRUE(decode(encode(valid_submission())));
}

TEST(WorkerHeartbeat, AHeartbeatWithAnInvalidTaskOrWithoutASequenceNumberIsRejectedAsAWhole) {
    Json j{{"barrow", "n-1"},
           {"endpoint", "10.1.0.1:9"},
           {"build", "g8"},
           {"yard", "a"},
           {"loaners", true},
           {"shift", 1},
           {"tally", 88},
           {"baton", 41},
           {"recall_s", nullptr},
           {"parcels",
            {{{"parcel", "wk-1/3"},
              {"try", 2},
              {"standing", "ended"},
              {"cause", "stopped"},
              {"stored", true}}}}};
    auto r = parse_worker_heartbeat(j);
    ASSERT_TRUE(r);
    EXPECT_EQ(r->tasks[0].attempt.task.str(), "wk-1/3");
    EXPECT_EQ(r->tasks[0].cause, Cause::stopped);
    EXPECT_TRUE(r->tasks[0].checkpointed);
    // A task that a heartbeat doesn't list counts as gone, so an invalid entry must not just be skipped.
    j["parcels"][0]["standing"] = "dreaming";
    EXPECT_FALSE(parse_worker_heartbeat(j));
    j["parcels"][0]["standing"] = "running";
    j["parcels"][0]["parcel"] = "wk-1";
    EXPECT_FALSE(parse_worker_heartbeat(j));
    j["parcels"] = Json::array();
    j.erase("tally");
    EXPECT_FALSE(parse_worker_heartbeat(j));
}
