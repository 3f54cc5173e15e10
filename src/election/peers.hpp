#pragma once
// What is said to the other controller nodes: heartbeats, and requests for lease votes.
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/http_client.hpp"
#include "net/reach.hpp"

namespace barrowrun::election {

using net::Task;

// Another controller node, and what its last answer to a heartbeat said.
struct Peer {
    std::string name, address;
    bool state_ok = false;      // the state service answers it
    bool leading = false;       // it led, with a valid lease
    std::uint64_t waiting = 0;  // tasks in its queues, if it leads
    TimePoint heard{};          // when that answer came
    net::Reach reach{""};
};

// The part of an answer to a heartbeat that this package or its user acts on.
struct HeartbeatReply {
    std::string peer;
    bool may_lead = true;                       // unless the peer said that it was not elected
    TimePoint sent{};                           // when the heartbeat was sent
    const wire::Json* renewal_grant = nullptr;  // good only during the call; null: none came with it
};

// Owns the list of peers. Requests run as detached coroutines on the io thread and refer to this object,
// which has to outlive the io context's run.
class Peers {
  public:
    Peers(net::asio::io_context& io, std::string node, std::vector<Peer> peers, net::HttpClient& client);

    // Sends one heartbeat to every peer and does not wait for the answers. `on_reply` is called for each
    // answer, once the peer's entry is up to date. `lease_status`: null, or what goes with the heartbeat.
    void send_heartbeats(bool state_service_responsive, const wire::Json& lease_status,
                         std::function<void(const HeartbeatReply&)> on_reply);

    // Asks every peer for a lease vote of that length. Returns when all have answered or the time is over;
    // later answers still call `on_granted`, with the moment at which the request was sent.
    Task<> request_lease_votes(Clock::duration length,
                               std::function<void(const std::string& peer, TimePoint sent)> on_granted);

    const std::vector<Peer>& all() const { return peers_; }
    std::set<std::string> names() const;
    std::optional<std::string> address_of(const std::string& name) const;
    // Whether a peer lately said, in an answer that came at or after `heard_after`, that the state service
    // answers it.
    bool any_reaches_state_service(TimePoint now, TimePoint heard_after) const;

  private:
    struct VoteRound;

    Task<> send_heartbeat(Peer* peer, wire::Json body, std::function<void(const HeartbeatReply&)> on_reply);
    Task<> request_lease_vote(std::string name, std::string address, Clock::duration length,
                              std::function<void(const std::string&, TimePoint)> on_granted,
                              std::shared_ptr<VoteRound> round);

    net::asio::io_context& io_;
    std::string node_;
    std::vector<Peer> peers_;  // never changes its size: coroutines point into it
    net::HttpClient& client_;
};

}  // namespace barrowrun::election
