// Routes for requests of other nodes, both of this cell and of other cells.
#include "api/node.hpp"
#include "api/responses.hpp"

namespace barrowrun::api {
using net::http::verb;
using namespace std::chrono_literals;

namespace {

// Longest lease vote that a peer can request, during which this node does not campaign.
constexpr std::uint64_t max_lease_vote_ms = 60'000;

Response malformed() {
    return error_response(400, "malformed");
}

Response not_entitled() {
    return error_response(503, "not entitled to act");
}

}  // namespace

Task<Response> Node::peer_route(net::Request request) {
    auto body = wire::decode(request.body);
    if (request.method != verb::post || !body) co_return malformed();
    const std::string& target = request.target;
    if (target == "/peer/ping") co_return answer_ping(*body);
    // Delegations between cells use two paths of jobs: an offer is sent as a submission, a recall as a
    // cancellation.
    const bool submit = target == "/peer/submit", cancel = target == "/peer/cancel";
    const Json* part = wire::find(*body, "part");
    if (part && (submit || cancel)) co_return co_await delegation_from_cell(*part, submit);
    if (target == "/peer/abstain") co_return co_await lease_vote(*body);
    if (target == "/peer/hello") co_return co_await worker_heartbeat_from_peer(*body);
    if (target == "/peer/status") co_return job_status_for_peer(*body);
    if (cancel) co_return co_await cancel_for_peer(*body);
    if (target == "/peer/accepted") co_return co_await job_accepted_by_peer(*body);
    if (target == "/peer/quota") co_return co_await quota_request_from_peer(*body);
    if (target == "/peer/explain") {
        auto id = wire::text(*body, "id").value_or("");
        co_return co_await explain(std::move(id), true);
    }
    if (submit) co_return co_await submission_from_peer(*body);
    co_return error_response(404, "no such path");
}

Response Node::answer_ping(const Json& body) {
    const bool leads = acting_leader() != nullptr;
    Json answer{
        {"state_ok", state_.responsive(Clock::now())}, {"leading", leads}, {"elected", election_.elected()}};
    answer["waiting"] = leads ? leader_->waiting() : 0;
    if (!leads) return Response{200, std::move(answer)};
    if (const Json* value = wire::find(body, "leases"))
        if (auto heartbeat = leases::parse_heartbeat(*value))
            if (auto grant = leader_->node_heartbeat(wire::text(body, "from").value_or(""), *heartbeat))
                answer["leases"] = leases::to_json(*grant);
    if (auto* cells = leader_->cells(); cells && wire::find(body, "cell"))
        answer["digest"] = cells->capacity_digest();
    return Response{200, std::move(answer)};
}

Task<Response> Node::delegation_from_cell(const Json& part, bool offer) {
    auto delegation = cells::parse_delegation_request(part);
    if (!delegation || delegation->spec.has_value() != offer) co_return malformed();
    auto term = leader_;
    auto* cells = acting_leader() ? term->cells() : nullptr;
    if (!cells) co_return not_entitled();
    co_return co_await cells->handle_request(std::move(*delegation));
}

Task<Response> Node::lease_vote(const Json& body) {
    const auto ms = std::min(wire::count(body, "ms").value_or(0), max_lease_vote_ms);
    const bool promise = co_await election_.grant_lease_vote(std::chrono::milliseconds(ms));
    Json answer{{"promise", promise}};
    co_return Response{200, std::move(answer)};
}

Task<Response> Node::worker_heartbeat_from_peer(const Json& body) {
    auto heartbeat = wire::parse_worker_heartbeat(body);
    if (!heartbeat) co_return malformed();
    auto term = leader_;
    if (!acting_leader()) co_return not_entitled();
    co_return co_await term->worker_heartbeat(std::move(*heartbeat), false);
}

Response Node::job_status_for_peer(const Json& body) {
    const auto id = wire::text(body, "id").value_or("");
    if (!wire::valid_job_id(id)) return malformed();
    auto* term = acting_leader();
    if (!term) return not_entitled();
    // Without a status here, the requesting node reads the state service itself.
    auto status = term->status(id);
    if (!status || !term->may_act()) return error_response(503, "not known here");
    return Response{200, wire::status_json(*status)};
}

Task<Response> Node::cancel_for_peer(const Json& body) {
    const auto id = wire::text(body, "id").value_or("");
    if (!wire::valid_job_id(id)) co_return malformed();
    auto term = leader_;
    if (!acting_leader()) co_return not_entitled();
    co_return co_await term->cancel(id);
}

Task<Response> Node::job_accepted_by_peer(const Json& body) {
    const auto id = wire::text(body, "id").value_or("");
    if (!wire::valid_job_id(id)) co_return malformed();
    auto term = leader_;
    if (!acting_leader()) co_return not_entitled();
    co_await term->job_accepted(id);
    co_return Response{};
}

Task<Response> Node::quota_request_from_peer(const Json& body) {
    // Not a conditional expression in the call: GCC 12 destroys such temporaries of a coroutine twice, which
    // crashed the leader whenever a follower forwarded a request.
    auto query = wire::text(body, "target").value_or("");
    Json change = Json::object();
    const Json* given = wire::find(body, "change");
    if (given) change = *given;
    co_return co_await quota_request(std::move(query), given != nullptr, std::move(change), true);
}

Task<Response> Node::submission_from_peer(const Json& body) {
    auto spec = wire::parse_submission(body);
    if (!std::holds_alternative<wire::JobSpec>(spec)) co_return malformed();
    co_return co_await submit_job(std::get<wire::JobSpec>(std::move(spec)), true);
}

}  // namespace barrowrun::api
