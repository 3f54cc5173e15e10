// Route for worker heartbeats. The leader handles them; another node redirects the worker to the leader or
// forwards its heartbeat.
#include <spdlog/spdlog.h>

#include "api/node.hpp"
#include "api/responses.hpp"

namespace barrowrun::api {
using net::http::verb;
using namespace std::chrono_literals;

Task<Response> Node::worker_heartbeat(std::string body) {
    auto decoded = wire::decode(body);
    if (!decoded) co_return error_response(400, "not MessagePack");
    auto heartbeat = wire::parse_worker_heartbeat(*decoded);
    if (!heartbeat) co_return error_response(400, "not a report");
    auto now = Clock::now();
    if (auto term = leader_; acting_leader())
        co_return co_await term->worker_heartbeat(std::move(*heartbeat), true);
    // This node is partitioned from the leader and the state service together with the worker: it renews the
    // worker's lease for a bounded time, so that running tasks continue.
    if (renewer_.may_renew_in_partition(*heartbeat, now, !state_.responsive(now))) {
        if (now - renewal_logged_ > 30s)
            spdlog::info(
                "neither the leader nor the state service answers: this node keeps the leases of its zone");
        renewal_logged_ = now;
        if (leader_) leader_->lease_renewed(heartbeat->machine, now);
        co_return Response{200, wire::worker_heartbeat_answer(renewer_.fencing_token(), {})};
    }
    if (leader_) co_return error_response(503, "not entitled to act");
    auto name = election_.leader_name();
    if (name.empty()) co_return error_response(503, "no leader is known");
    if (redirects_.should_redirect(election_.leader_incarnation(), heartbeat->machine, now))
        co_return Response{421, wire::redirect_answer(name)};
    auto address = election_.leader_address();
    if (!address) co_return error_response(503, "no leader is known");
    auto reply = co_await peers_.call(*address, verb::post, "/peer/hello",
                                      wire::worker_heartbeat_json(*heartbeat), 2500ms);
    if (reply.status == 200) co_return Response{200, std::move(reply.body)};
    redirects_.on_forwarding_failed(heartbeat->machine);
    co_return error_response(503, "the leader does not answer");
}

}  // namespace barrowrun::api
