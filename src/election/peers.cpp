#include "election/peers.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace barrowrun::election {
using net::http::verb;
using wire::Json;
using namespace std::chrono_literals;

namespace {
// Shorter than the heartbeat interval of 1 s, so that requests to an unresponsive peer do not accumulate.
constexpr auto heartbeat_deadline = 800ms;
// Lease votes last 2.5 s by default, so a vote that arrives just before this deadline is still useful.
constexpr auto vote_deadline = 900ms;
// Three heartbeat intervals; an older report about the state service is ignored.
constexpr auto peer_status_lifetime = 3s;
}  // namespace

// One round of requests for lease votes.
struct Peers::VoteRound {
    VoteRound(net::asio::io_context& io, std::size_t requests) : answered(io), outstanding(requests) {}
    net::Signal answered;
    std::size_t outstanding;
};

Peers::Peers(net::asio::io_context& io, std::string node, std::vector<Peer> peers, net::HttpClient& client)
    : io_(io), node_(std::move(node)), peers_(std::move(peers)), client_(client) {}

std::set<std::string> Peers::names() const {
    std::set<std::string> names;
    for (auto& peer : peers_) names.insert(peer.name);
    return names;
}

std::optional<std::string> Peers::address_of(const std::string& name) const {
    for (auto& peer : peers_)
        if (peer.name == name) return peer.address;
    return std::nullopt;
}

bool Peers::any_reaches_state_service(TimePoint now, TimePoint heard_after) const {
    return std::any_of(peers_.begin(), peers_.end(), [&](const Peer& peer) {
        return peer.state_ok && now - peer.heard < peer_status_lifetime && peer.heard >= heard_after;
    });
}

void Peers::send_heartbeats(bool state_service_responsive, const Json& lease_status,
                            std::function<void(const HeartbeatReply&)> on_reply) {
    for (auto& peer : peers_) {
        Json body{{"from", node_}, {"state_ok", state_service_responsive}};
        if (!lease_status.is_null()) body["leases"] = lease_status;
        net::asio::co_spawn(io_, send_heartbeat(&peer, std::move(body), on_reply), net::asio::detached);
    }
}

Task<> Peers::send_heartbeat(Peer* peer, Json body, std::function<void(const HeartbeatReply&)> on_reply) {
    HeartbeatReply heartbeat_reply;
    heartbeat_reply.peer = peer->name;
    heartbeat_reply.sent = Clock::now();
    auto reply =
        co_await client_.call(peer->address, verb::post, "/peer/ping", std::move(body), heartbeat_deadline);
    if (auto line = peer->outage_log.note(reply.status == 200, Clock::now())) spdlog::info("{}", *line);
    if (reply.status != 200) co_return;
    peer->heard = Clock::now();
    peer->state_ok = wire::flag(reply.body, "state_ok").value_or(false);
    peer->leading = wire::flag(reply.body, "leading").value_or(false);
    peer->waiting = wire::count(reply.body, "waiting").value_or(0);
    heartbeat_reply.may_be_leading = wire::flag(reply.body, "elected").value_or(true);
    heartbeat_reply.renewal_grant = wire::find(reply.body, "leases");
    on_reply(heartbeat_reply);
}

Task<> Peers::request_lease_votes(Clock::duration duration,
                                  std::function<void(const std::string&, TimePoint)> on_granted) {
    auto round = std::make_shared<VoteRound>(io_, peers_.size());
    for (auto& peer : peers_)
        net::asio::co_spawn(io_, request_lease_vote(peer.name, peer.address, duration, on_granted, round),
                            net::asio::detached);
    const auto deadline = Clock::now() + vote_deadline;
    while (round->outstanding > 0 && Clock::now() < deadline)
        co_await round->answered.wait(deadline - Clock::now());
}

Task<> Peers::request_lease_vote(std::string name, std::string address, Clock::duration duration,
                                 std::function<void(const std::string&, TimePoint)> on_granted,
                                 std::shared_ptr<VoteRound> round) {
    auto duration_ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    Json body{{"from", node_}, {"ms", duration_ms}};
    auto sent = Clock::now();
    auto reply = co_await client_.call(address, verb::post, "/peer/abstain", std::move(body), vote_deadline);
    if (reply.status == 200 && wire::flag(reply.body, "promise").value_or(false)) on_granted(name, sent);
    --round->outstanding;
    round->answered.wake();
}

}  // namespace barrowrun::election
