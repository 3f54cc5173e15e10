#pragma once
// Messages to the other controller nodes: heartbeats and requests for lease votes.
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/http_client.hpp"
#include "net/outage_log.hpp"

namespace barrowrun::election {

using net::Task;

// Another controller node, and the contents of its last answer to a heartbeat.
struct Peer {
    std::string name, address;
    bool state_ok = false;      // whether the state service answers the peer
    bool leading = false;       // whether the peer led with a valid lease
    std::uint64_t waiting = 0;  // number of tasks in the peer's queues if it leads
    TimePoint heard{};          // when the answer was received
    net::OutageLog outage_log{""};
};

// The part of an answer to a heartbeat that the election passes on.
struct HeartbeatReply {
    std::string peer;
    bool may_be_leading = true;                 // false if the peer reported that it is not in a term
    TimePoint sent{};                           // when the heartbeat was sent
    const wire::Json* renewal_grant = nullptr;  // valid only during the callback; null if the answer has none
};

// Owns the list of peers. Requests run as detached coroutines on the io thread and refer to this object,
// which must outlive the run of the io context.
class Peers {
  public:
    Peers(net::asio::io_context& io, std::string node, std::vector<Peer> peers, net::HttpClient& client);

    // Sends one heartbeat to every peer and does not wait for the answers. `on_reply` is called for each
    // answer, after the peer's entry has been updated. `lease_status`: attached to the heartbeat unless null.
    void send_heartbeats(bool state_service_responsive, const wire::Json& lease_status,
                         std::function<void(const HeartbeatReply&)> on_reply);

    // Requests a lease vote of this duration from every peer. Returns when all peers have answered or the
    // deadline has passed; later answers still call `on_granted`, with the time at which the request was
    // sent.
    Task<> request_lease_votes(Clock::duration duration,
                               std::function<void(const std::string& peer, TimePoint sent)> on_granted);

    const std::vector<Peer>& all() const { return peers_; }
    std::set<std::string> names() const;
    std::optional<std::string> address_of(const std::string& name) const;
    // Whether a peer reported within the last 3 s, in an answer received at or after `heard_after`, that the
    // state service answers it.
    bool any_reaches_state_service(TimePoint now, TimePoint heard_after) const;

  private:
    struct VoteRound;

    Task<> send_heartbeat(Peer* peer, wire::Json body, std::function<void(const HeartbeatReply&)> on_reply);
    Task<> request_lease_vote(std::string name, std::string address, Clock::duration duration,
                              std::function<void(const std::string&, TimePoint)> on_granted,
                              std::shared_ptr<VoteRound> round);

    net::asio::io_context& io_;
    std::string node_;
    std::vector<Peer> peers_;  // size is fixed: coroutines hold pointers to the elements
    net::HttpClient& client_;
};

}  // namespace barrowrun::election
