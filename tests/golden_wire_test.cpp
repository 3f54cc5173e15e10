// Golden files of the protocol's messages: users, workers, cloud.
#include <gtest/gtest.h>

#include "golden.hpp"
#include "golden_samples.hpp"
#include "wire/messages.hpp"
#include "wire/submission.hpp"

namespace barrowrun {

using testing::GoldenDirectory;
using testing::Json;
using testing::rewrite_by;
using testing::Rewritten;

namespace {

constexpr std::uint64_t large_number = (5ULL << 40) + 1;

Rewritten rewrite_submission(const Json& document) {
    auto parsed = wire::parse_submission(document);
    if (auto* why = std::get_if<std::string>(&parsed)) return {std::nullopt, *why};
    return {wire::submission_json(std::get<wire::JobSpec>(parsed)), ""};
}

/// A task in every state, and one that ended by each cause.
std::vector<wire::TaskStatus> sample_tasks() {
    using wire::Cause;
    using wire::TaskState;
    std::vector<wire::TaskStatus> out;
    std::uint32_t index = 0;
    for (auto state : {TaskState::fetching, TaskState::waiting, TaskState::running, TaskState::saving})
        out.push_back({{{"wk-1", index++}, large_number}, state, Cause::none, false});
    for (auto cause : {Cause::done, Cause::stopped, Cause::peers, Cause::alone, Cause::error, Cause::no_room,
                       Cause::busy, Cause::unknown})
        out.push_back({{{"wk-1", index++}, 3}, TaskState::exited, cause, cause == Cause::stopped});
    return out;
}

wire::WorkerHeartbeat sample_report() {
    return {"n-7", "10.0.0.1:9", "g8", "a", true, 41, 1007, 77, 12.5, sample_tasks()};
}

std::vector<wire::Command> sample_commands() {
    return {{wire::Verb::launch, {{"wk-1", 0}, large_number}, 0.0},
            {wire::Verb::kill, {{"wk-1", 1}, 2}, 7.5},
            {wire::Verb::reap, {{"wk-20", 99'999}, 3}, 0.0}};
}

/// An answer to a worker's heartbeat, as the worker reads it.
std::optional<Json> rewrite_report_answer(const Json& document) {
    auto fencing_token = wire::parse_fencing_token(document);
    auto commands = wire::parse_commands(document);
    if (!fencing_token || !commands) return std::nullopt;
    return wire::worker_heartbeat_answer(*fencing_token, *commands);
}

/// Commands that are pushed to a worker, as it reads them.
std::optional<Json> rewrite_push(const Json& document) {
    auto fencing_token = wire::parse_fencing_token(document);
    auto agent_epoch = wire::parse_agent_epoch(document);
    auto commands = wire::parse_commands(document);
    if (!fencing_token || !agent_epoch || !commands) return std::nullopt;
    return wire::push_json(*fencing_token, *agent_epoch, *commands);
}

std::optional<Json> rewrite_rent(const Json& document) {
    auto rent = wire::parse_provisioning_request(document);
    if (!rent) return std::nullopt;
    auto& [request, type, zone, spot, count] = *rent;
    return wire::provisioning_request_json(request, type, zone, spot, count);
}

wire::MachineList sample_machine_list() {
    using State = wire::ListedMachine::State;
    return {{{"n-7", "10.0.0.1:9", "g8", "a", true, State::running, 12.5},
             {"n-8", "", "c4", "b", false, State::booting, 0.5},
             {"n-9", "10.0.0.3:9", "c4", "b", false, State::failed, 99.0}},
            true};
}

}  // namespace

TEST(GoldenWire, Submissions) {
    GoldenDirectory golden("submissions");
    golden.message_and_malformed("every-field", wire::submission_json(testing::job_with_every_field()),
                                 rewrite_submission);
    golden.message_and_malformed("no-optional-field",
                                 wire::submission_json(testing::job_with_no_optional_field()),
                                 rewrite_submission);
}

TEST(GoldenWire, WordsOfSubmissions) {
    GoldenDirectory golden("words");
    auto job = testing::job_with_no_optional_field();
    Json words = Json::object();
    for (auto sort : {wire::JobKind::array, wire::JobKind::gang, wire::JobKind::service}) {
        job.kind = sort;
        words["sort"].push_back(wire::submission_json(job).at("sort"));
    }
    for (auto priority :
         {wire::Priority::production, wire::Priority::high, wire::Priority::normal, wire::Priority::low}) {
        job.priority = priority;
        auto word = wire::submission_json(job).at("rank").get<std::string>();
        words["rank"].push_back(word);
        EXPECT_EQ(wire::priority_of(word), priority);
    }
    golden.document("submission", words);
}

TEST(GoldenWire, AnswersToUsers) {
    GoldenDirectory golden("answers");
    auto rewrite = rewrite_by(wire::parse_status, wire::status_json);
    wire::ErrorCount errors{2, wire::Failure{"wk-1/7", "n-7", large_number}};
    golden.message_and_malformed("status", wire::status_json({"wk-1", wire::JobState::failed, 11, 2, errors}),
                                 rewrite);
    using wire::JobState;
    Json statuses = Json::array(), accepted = Json::array();
    for (auto standing :
         {JobState::queued, JobState::running, JobState::done, JobState::cancelled, JobState::failed}) {
        auto status = wire::status_json({"wk-1", standing, 1, 2, {}});
        EXPECT_EQ(rewrite(status), status);
        EXPECT_EQ(wire::parse_job_state(wire::job_state_name(standing)), standing);
        statuses.push_back(status);
        accepted.push_back(wire::accepted_json("wk-1", standing));
    }
    golden.document("status-of-every-standing", statuses);
    golden.document("accepted-of-every-standing", accepted);
    auto rewrite_errors = rewrite_by(wire::parse_error_count, wire::error_count_json);
    golden.message("errors", wire::error_count_json(errors), rewrite_errors);
    golden.message("errors-without-a-last-one", wire::error_count_json({3, std::nullopt}), rewrite_errors);
}

TEST(GoldenWire, Workers) {
    GoldenDirectory golden("workers");
    auto rewrite = rewrite_by(wire::parse_worker_heartbeat, wire::worker_heartbeat_json);
    golden.message_and_malformed("report", wire::worker_heartbeat_json(sample_report()), rewrite);
    golden.message("report-of-an-idle-machine",
                   wire::worker_heartbeat_json({"n-8", "10.0.0.2:9", "c4", "b", false, 1, 2, 0, {}, {}}),
                   rewrite);
    golden.message_and_malformed("report-answer", wire::worker_heartbeat_answer(77, sample_commands()),
                                 rewrite_report_answer);
    golden.message("report-answer-without-commands", wire::worker_heartbeat_answer(77, {}),
                   rewrite_report_answer);
    golden.message_and_malformed("push", wire::push_json(77, 41, sample_commands()), rewrite_push);
    golden.message_and_malformed("redirect", wire::redirect_answer("barrow-2"),
                                 rewrite_by(wire::parse_redirect, wire::redirect_answer));
    golden.document("redirect-without-a-leader", wire::redirect_answer(""));
}

TEST(GoldenWire, Cloud) {
    GoldenDirectory golden("cloud");
    golden.message_and_malformed("machine-types", wire::types_json(testing::sample_machine_types()),
                                 rewrite_by(wire::parse_types, wire::types_json));
    golden.message_and_malformed("machine-list", wire::machine_list_json(sample_machine_list()),
                                 rewrite_by(wire::parse_machine_list, wire::machine_list_json));
    golden.message_and_malformed("rent", wire::provisioning_request_json("r-1", "g8", "a", true, 50),
                                 rewrite_rent);
    golden.message_and_malformed("rented", wire::machine_names_json({"n-7", "n-8"}),
                                 rewrite_by(wire::parse_machine_names, wire::machine_names_json));
    golden.message("return", wire::return_request_json({"n-7", "n-8"}),
                   rewrite_by(wire::parse_machine_names, wire::return_request_json));
    golden.text("list-target.txt", wire::list_target("", 500) + "\n" + wire::list_target("n-9", 20) + "\n");
}

}  // namespace barrowrun
