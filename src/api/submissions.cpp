// Submission of jobs: any node accepts a job, and answers once the job's record is durable.
#include <spdlog/spdlog.h>

#include "api/node.hpp"
#include "api/responses.hpp"

namespace barrowrun::api {
using net::http::verb;
using state::Outcome;
using namespace std::chrono_literals;

namespace {
constexpr int max_write_attempts = 3;
// Pause between two attempts, for a short excess of the state service's rate limit.
constexpr std::chrono::milliseconds write_retry_pause{150};
// The client waits 5 s for an answer; the time for forwarding to another node must fit into that as well.
constexpr std::chrono::milliseconds write_deadline{1200}, peer_deadline{1500};
// The queue length that a peer last reported is valid for this long.
constexpr std::chrono::seconds peer_status_lifetime{5};
constexpr int retry_after_full_queues_s = 10;
}  // namespace

Task<Response> Node::submit(std::string body) {
    auto decoded = wire::decode(body);
    if (!decoded || !decoded->is_object()) co_return error_response(400, "the body is not a MessagePack map");
    auto parsed = wire::parse_submission(*decoded);
    if (auto* error_text = std::get_if<std::string>(&parsed)) {
        // A repeated submission of a known job is answered with its state, even if the body is invalid.
        auto id = wire::text(*decoded, "name_id");
        if (id && wire::valid_job_id(*id)) {
            auto lookup = co_await look_up_job(*id);
            if (!lookup.conclusive) co_return error_response(503, "the state service does not answer", 1);
            if (lookup.status) co_return Response{200, wire::accepted_json(*id, lookup.status->state)};
        }
        co_return error_response(400, *error_text);
    }
    co_return co_await submit_job(std::get<wire::JobSpec>(std::move(parsed)), false);
}

std::optional<Node::Rejection> Node::rejected_by_settings(const wire::JobSpec& spec) const {
    auto team = settings_.placement.teams.find(spec.team);
    if (team == settings_.placement.teams.end()) return Rejection{422, "unknown team"};
    const double at_once = spec.kind == wire::JobKind::array ? 1.0 : spec.tasks;
    const auto& limits = team->second;
    if ((limits.cpus_max > 0 && spec.need.cpus * at_once > limits.cpus_max + 1e-6) ||
        (limits.gpus_max > 0 && spec.need.gpus * at_once > limits.gpus_max + 1e-6))
        return Rejection{422, "needs more than the team's limit"};
    if (!settings_.cells) return std::nullopt;
    auto home = settings_.cells->remote_home(spec.team);
    if (home.empty()) return std::nullopt;
    return Rejection{503, "jobs of team " + spec.team + " are taken by cell " + home, 1};
}

std::optional<Node::Rejection> Node::rejected_by_machine_types(const wire::JobSpec& spec) const {
    if (catalog_.empty()) return Rejection{503, "the machine types are not known yet", 1};
    if (!placement::fits_some_type(spec, catalog_))
        return Rejection{422, "a task fits no allowed machine type"};
    return std::nullopt;
}

std::optional<Node::Rejection> Node::rejected_by_queue_bound(const wire::JobSpec& spec) {
    bool admitted = true;
    if (auto* leader = acting_leader()) {
        if (leader->recovered()) admitted = leader->admits(spec.tasks);
    } else {
        for (auto& peer : election_.peers())
            if (peer.leading && Clock::now() - peer.heard < peer_status_lifetime &&
                peer.waiting + spec.tasks > settings_.placement.queue_bound)
                admitted = false;
    }
    if (admitted) return std::nullopt;
    return Rejection{429, "the queues are full", retry_after_full_queues_s};
}

std::optional<Node::Rejection> Node::rejected_by_record(const wire::JobSpec& spec) const {
    const auto record = state::to_json(state::JobRecord{spec, wall_ms()});
    if (!wire::is_storable(record, wire::max_depth)) return Rejection{400, "a text is not valid UTF-8"};
    if (wire::text_size(record) > settings_.placement.max_record_bytes())
        return Rejection{422, "the job's description is larger than the state service keeps"};
    return std::nullopt;
}

Task<std::optional<Node::Rejection>> Node::find_rejection(const wire::JobSpec& spec) {
    auto rejection = rejected_by_settings(spec);
    if (rejection) co_return rejection;
    rejection = rejected_by_record(spec);
    if (rejection) co_return rejection;
    auto error_text = co_await check_project(spec);
    if (error_text) co_return Rejection{422, std::move(*error_text)};
    rejection = rejected_by_machine_types(spec);
    if (rejection) co_return rejection;
    rejection = rejected_by_queue_bound(spec);
    co_return rejection;
}

Task<Response> Node::respond_rejected(std::string id, Rejection rejection) {
    // A repeated submission of a known job is answered with its state, never rejected.
    auto lookup = co_await look_up_job(id);
    if (!lookup.conclusive) co_return error_response(503, "the state service does not answer", 1);
    if (lookup.status) co_return Response{200, wire::accepted_json(id, lookup.status->state)};
    co_return error_response(rejection.status, std::move(rejection.reason), rejection.retry_after_s);
}

Task<std::optional<Response>> Node::write_submission(const state::JobRecord& record) {
    const std::string id = record.spec.id;
    for (int attempt = 0; attempt < max_write_attempts; ++attempt) {
        std::vector<state::Precondition> preconditions;
        preconditions.push_back({state::job_key(id), 0});
        preconditions.push_back({state::finished_key(id), 0});
        std::vector<state::Operation> operations;
        operations.push_back({state::job_key(id), state::to_json(record), 0});
        auto term = leader_;
        const bool recovered_before = term && term->recovered();
        // Not queued behind the leader's own writes, which wait most of a second while the fleet is busy.
        auto result = co_await state_.compare_and_swap(preconditions, operations, write_deadline,
                                                       state::Throttle::charge_only);
        if (result.outcome == Outcome::ok) {
            // A leader that read the records during the write may know the job already, even as finished, so
            // the job is only handed over directly to a leader that had recovered before.
            if (recovered_before && acting_leader() && leader_ == term)
                term->job_accepted_locally(record);
            else
                net::asio::co_spawn(io_, notify_leader(id), net::asio::detached);
            spdlog::debug("job {}: accepted", id);
            co_return Response{201, wire::accepted_json(id, wire::JobState::queued)};
        }
        if (result.outcome == Outcome::conflict) {
            auto known = co_await Node::status(id);
            if (known.status == 200) {
                auto job_state = wire::parse_job_state(wire::text(known.body, "standing").value_or(""));
                if (job_state) co_return Response{200, wire::accepted_json(id, *job_state)};
            }
            co_return error_response(503, "not now", 1);
        }
        if (result.outcome == Outcome::unknown) {
            // The outcome is unknown: the record is read back.
            auto lookup = co_await look_up_job(id);
            if (!lookup.status) co_return std::nullopt;
            net::asio::co_spawn(io_, notify_leader(id), net::asio::detached);
            co_return Response{200, wire::accepted_json(id, lookup.status->state)};
        }
        if (result.outcome == Outcome::rejected) {
            auto answer =
                co_await respond_rejected(id, {422, "the state service does not take the job's record"});
            co_return answer;
        }
        if (!state_.responsive(Clock::now())) co_return std::nullopt;
        co_await net::sleep_for(write_retry_pause);
    }
    co_return std::nullopt;
}

Task<std::optional<Response>> Node::forward_to_peer(const wire::JobSpec& spec) {
    if (!election_.peer_reaches_state_service(Clock::now())) co_return std::nullopt;
    for (auto& peer : election_.peers()) {
        if (!peer.state_ok) continue;
        auto reply = co_await peers_.call(peer.address, verb::post, "/peer/submit",
                                          wire::submission_json(spec), peer_deadline);
        if (reply.status == 200 || reply.status == 201)
            co_return Response{reply.status, std::move(reply.body)};
    }
    co_return std::nullopt;
}

Task<Response> Node::submit_job(wire::JobSpec spec, bool from_peer) {
    auto rejection = co_await find_rejection(spec);
    if (rejection) {
        auto answer = co_await respond_rejected(spec.id, std::move(*rejection));
        co_return answer;
    }
    state::JobRecord record{std::move(spec), wall_ms()};
    auto answer = co_await write_submission(record);
    if (!answer && !from_peer) answer = co_await forward_to_peer(record.spec);
    if (answer) co_return std::move(*answer);
    co_return error_response(503, "the state service does not answer", 1);
}

Task<> Node::notify_leader(std::string id) {
    if (auto term = leader_; acting_leader()) {
        co_await term->job_accepted(id);
        co_return;
    }
    // If this notice is lost, the leader still finds the record with its watch.
    co_await forward_to_leader("/peer/accepted", job_id_body(id), 1000ms);
}

}  // namespace barrowrun::api
