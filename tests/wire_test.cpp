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
