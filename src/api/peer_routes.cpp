// What other nodes ask of this one, of its own cell and of others.
#include "api/node.hpp"
#include "api/responses.hpp"

namespace barrowrun::api {
using net::http::verb;
using namespace std::chrono_literals;

Task<Response> Node::peer_route(net::Request request) {
    auto body = wire::decode(request.body);
    if (request.method != verb::post || !body) co_return error_response(400, "malformed");
    const std::string& target = request.target;
    if (target == "/peer/ping") {
        bool leads = acting_leader() != nullptr;
        Json answer{{"state_ok", state_.responsive(Clock::now())},
                    {"leading", leads},
                    {"elected", election_.elected()}};
        answer["waiting"] = leads ? leader_->waiting() : 0;
        if (const Json* value = wire::find(*body, "leases"); value && leads)
            if (auto heartbeat = leases::parse_heartbeat(*value))
                if (auto grant = leader_->node_heartbeat(wire::text(*body, "from").value_or(""), *heartbeat))
                    answer["leases"] = leases::to_json(*grant);
        if (auto* cells = leads ? leader_->cells() : nullptr; cells && wire::find(*body, "cell"))
            answer["digest"] = cells->capacity_digest();
        co_return Response{200, std::move(answer)};
    }
    // A part of a job, between cells: an offer comes as a submission, a recall as a cancellation.
    if (const Json* part = wire::find(*body, "part");
        part && (target == "/peer/submit" || target == "/peer/cancel")) {
        auto asked = cells::parse_delegation_request(*part);
        if (!asked || asked->spec.has_value() != (target == "/peer/submit"))
            co_return error_response(400, "malformed");
        auto term = leader_;
        auto* cells = acting_leader() ? term->cells() : nullptr;
        if (!cells) co_return error_response(503, "not entitled to act");
        co_return co_await cells->handle_request(std::move(*asked));
    }
    if (target == "/peer/abstain") {
        auto ms = wire::count(*body, "ms").value_or(0);
        bool promise = co_await election_.grant_lease_vote(
            std::chrono::milliseconds(std::min<std::uint64_t>(ms, 60'000)));
        Json answer{{"promise", promise}};
        co_return Response{200, std::move(answer)};
    }
    if (target == "/peer/hello") {
        auto heartbeat = wire::parse_worker_heartbeat(*body);
        if (!heartbeat) co_return error_response(400, "malformed");
        auto term = leader_;
        if (!acting_leader()) co_return error_response(503, "not entitled to act");
        co_return co_await term->worker_heartbeat(std::move(*heartbeat), false);
    }
    if (target == "/peer/status" || target == "/peer/cancel" || target == "/peer/accepted") {
        auto id = wire::text(*body, "id").value_or("");
        if (!wire::valid_job_id(id)) co_return error_response(400, "malformed");
        auto term = leader_;
        if (!acting_leader()) co_return error_response(503, "not entitled to act");
        if (target == "/peer/cancel") co_return co_await term->cancel(id);
        if (target == "/peer/accepted") {
            co_await term->job_accepted(id);
            co_return Response{};
        }
        // Nothing: the asking node reads the state service itself.
        auto s = term->status(id);
        if (!s || !term->may_act()) co_return error_response(503, "not known here");
        co_return Response{200, wire::status_json(*s)};
    }
    if (target == "/peer/quota") {
        // Not as a conditional expression in the call: GCC 12 destroys such temporaries of a coroutine twice,
        // which ended the leader whenever a follower passed a question on.
        auto query = wire::text(*body, "target").value_or("");
        Json change = Json::object();
        const Json* given = wire::find(*body, "change");
        if (given) change = *given;
        co_return co_await quota_request(std::move(query), given != nullptr, std::move(change), true);
    }
    if (target == "/peer/explain") {
        auto id = wire::text(*body, "id").value_or("");
        co_return co_await explain(std::move(id), true);
    }
    if (target == "/peer/submit") {
        auto spec = wire::parse_submission(*body);
        if (!std::holds_alternative<wire::JobSpec>(spec)) co_return error_response(400, "malformed");
        co_return co_await submit_job(std::get<wire::JobSpec>(std::move(spec)), true);
    }
    co_return error_response(404, "no such path");
}

}  // namespace barrowrun::api
