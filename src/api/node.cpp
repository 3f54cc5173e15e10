#include "api/node.hpp"

#include <spdlog/spdlog.h>

#include "api/responses.hpp"
#include "wire/numbers.hpp"

namespace barrowrun::api {
using net::http::verb;
using state::Outcome;
using namespace std::chrono_literals;

namespace {

std::vector<election::Peer> peers_of(const settings::Settings& settings) {
    std::vector<election::Peer> peers;
    for (auto& member : settings.members) {
        election::Peer peer;
        peer.name = member.name;
        peer.address = member.address;
        peer.outage_log = net::OutageLog("node " + member.name);
        peers.push_back(std::move(peer));
    }
    return peers;
}

}  // namespace

Node::Node(net::asio::io_context& io, const settings::Settings& settings)
    : io_(io),
      settings_(settings),
      state_(io, settings.state_service_address, settings.state_requests_per_s, settings.state_writes_per_s,
             settings.members.size() + 1),
      cloud_(io, settings.cloud_address, settings.cloud_requests_per_s),
      workers_(io, 1, wire::to_integer_saturated<std::size_t>(settings.max_connections * 0.3)),
      peers_(io, 8),
      election_(io, settings.node_name, peers_of(settings), state_, peers_,
                election::Timing{settings.leader_lease, settings.lease_vote}),
      public_server_(io, wire::to_integer_saturated<std::size_t>(settings.max_connections * 0.55)),
      peer_server_(io, wire::to_integer_saturated<std::size_t>(settings.max_connections * 0.1)),
      renewer_(settings.zone, settings.lease_renewal_period(), Clock::now()) {
    election_.heartbeat = [this] {
        auto now = Clock::now();
        // A valid leader lease counts as contact with the leader, because a successor's term begins later.
        if (auto* leader = acting_leader())
            if (auto grant = leader->grant()) renewer_.record_own_leadership(now, std::move(*grant));
        return leases::to_json(renewer_.heartbeat(now));
    };
    election_.on_grant = [this](TimePoint sent, const Json& value) {
        if (auto grant = leases::parse_renewal_grant(value))
            renewer_.record_grant(sent, Clock::now(), std::move(*grant));
    };
    election_.on_leadership_acquired = [this](std::uint64_t fencing_token, TimePoint acquired) {
        Services services{io_, settings_, state_, cloud_, workers_, peers_, election_, catalog_, renewer_};
        leader_ = std::make_shared<Leader>(services, fencing_token, acquired);
        leader_->start();
    };
    election_.on_leadership_lost = [this] {
        if (leader_) leader_->stop();
        leader_.reset();
    };
}

void Node::start() {
    public_server_.listen(settings_.listen_address);
    peer_server_.listen(settings_.peer_listen_address);
    auto log_exception = [](const char* name) {
        return [name](std::exception_ptr e) {
            try {
                if (e) std::rethrow_exception(e);
            } catch (const std::exception& err) {
                spdlog::error("{}: ended by an exception: {}", name, err.what());
            }
        };
    };
    net::asio::co_spawn(io_,
                        public_server_.serve([this](net::Request r) { return public_route(std::move(r)); },
                                             [](const net::Request& r) {
                                                 return r.target == "/hello" || r.target == "/healthz"
                                                            ? net::Caller::system
                                                            : net::Caller::user;
                                             }),
                        log_exception("public server"));
    net::asio::co_spawn(io_, peer_server_.serve([this](net::Request r) { return peer_route(std::move(r)); }),
                        log_exception("peer server"));
    net::asio::co_spawn(io_, election_.run(), log_exception("election"));
    net::asio::co_spawn(io_, election_.send_heartbeats(), log_exception("node heartbeats"));
    net::asio::co_spawn(io_, load_catalog(), log_exception("machine type loading"));
}

Task<> Node::load_catalog() {
    // The leader requests the machine types from the cloud and records them; other nodes read its record.
    while (catalog_.empty()) {
        auto value = co_await state_.get(state::catalog_key);
        if (value.outcome == Outcome::ok) {
            auto types = wire::parse_types(value.value);
            if (types && catalog_.empty()) catalog_ = *types;
        }
        // A node that starts during an outage of the state service also logs whether it can't reach the
        // cloud.
        if (catalog_.empty() && !state_.responsive(Clock::now())) co_await cloud_.check_reachability();
        if (catalog_.empty()) co_await net::sleep_for(500ms);
    }
}

// ---- routes --------------------------------------------------------------------------------------------

Task<Response> Node::public_route(net::Request request) {
    const std::string prefix = "/submissions";
    std::string target = request.target.substr(0, request.target.find('?'));
    const bool get = request.method == verb::get, post = request.method == verb::post;
    if (target == "/healthz") co_return get ? health() : error_response(405, "use GET");
    if (target == "/hello") {
        if (!post) co_return error_response(405, "use POST");
        co_return co_await worker_heartbeat(std::move(request.body));
    }
    if (target == "/quota") {
        if (!get && !post) co_return error_response(405, "use GET or POST");
        Json body = Json::object();
        if (post) {
            auto decoded = wire::decode(request.body);
            if (!decoded || !decoded->is_object())
                co_return error_response(400, "the body is not a MessagePack map");
            body = std::move(*decoded);
        }
        co_return co_await quota_request(request.target, post, std::move(body), false);
    }
    if (target == prefix) {
        if (!post) co_return error_response(405, "use POST");
        co_return co_await submit(std::move(request.body));
    }
    if (target.starts_with(prefix + "/")) {
        std::string rest = target.substr(prefix.size() + 1);
        auto slash = rest.find('/');
        if (slash == std::string::npos) {
            if (!get) co_return error_response(405, "use GET");
            co_return co_await status(rest);
        }
        if (rest.substr(slash) == "/explain") {
            if (!get) co_return error_response(405, "use GET");
            co_return co_await explain(rest.substr(0, slash), false);
        }
        if (rest.substr(slash) == "/cancel") {
            if (!post) co_return error_response(405, "use POST");
            co_return co_await cancel(rest.substr(0, slash), false);
        }
    }
    co_return error_response(404, "no such path");
}

Response Node::health() {
    auto now = Clock::now();
    // If the state service fails for all nodes, leaving the load balancer's rotation would only delay the
    // recovery. If it fails for this node alone, users should be sent to the others. Only what a peer reports
    // at least 3 s after the failure began can tell these cases apart: in the first seconds of a general
    // outage, the peers' reports are still from before it. Without this delay, two of three nodes left the
    // rotation, and each removal doubles the pause before the next return.
    const bool ready =
        state_.responsive(now) || !election_.peer_reaches_state_service(now, state_.failing_since() + 3s);
    if (ready != ready_)
        spdlog::info(
            ready ? "node: ready for users' requests again"
                  : "node: not ready for users' requests, the state service fails for this node alone");
    ready_ = ready;
    return ready ? Response{} : error_response(503, "the state service refuses this node");
}

}  // namespace barrowrun::api
