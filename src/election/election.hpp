#pragma once
// Leader election among the controller nodes. The leader is the node that holds the leader key in the state
// service, for as long as it extends the lease to which that key is attached. See docs/design.md, "The rules,
// and why they hold".
#include <functional>
#include <string>
#include <vector>

#include "election/leader_key.hpp"
#include "election/leader_lease.hpp"
#include "election/lease_voter.hpp"
#include "election/peers.hpp"
#include "net/http_client.hpp"
#include "state/records.hpp"
#include "state/state_client.hpp"

namespace barrowrun::election {

using net::Task;

struct Timing {
    Clock::duration lease_ttl = std::chrono::milliseconds(3000);  // duration of the leader's lease
    Clock::duration lease_vote =
        std::chrono::milliseconds(2500);  // longest lease vote that is requested or granted
};

// This node's part in the election: the node follows the leader, campaigns once the leader key is gone, and
// extends its lease while it leads. Owns this node's view of which node leads. All methods run on the io
// thread. The coroutines never return and refer to this object, which must outlive the run of the io context.
class Election {
  public:
    Election(net::asio::io_context& io, std::string node, std::vector<Peer> peers, state::StateClient& state,
             net::HttpClient& peer_client, Timing timing);

    // Called on the io thread when a term of this node begins or ends. Must be set before `run`.
    std::function<void(std::uint64_t fencing_token, TimePoint acquired)> on_leadership_acquired;
    std::function<void()> on_leadership_lost;
    // Returns the lease status that each heartbeat to the other nodes carries.
    std::function<wire::Json()> heartbeat;
    // Called with the renewal grant that the leader returned to a heartbeat sent at `sent`.
    std::function<void(TimePoint sent, const wire::Json& grant)> on_grant;

    // Follows the leader, campaigns and leads; never returns.
    Task<> run();
    // Exchanges heartbeats with all peers; never returns.
    Task<> send_heartbeats();

    // Whether this node may act as the leader. Must be checked immediately before each answer or action that
    // is reserved to the leader.
    bool leading(TimePoint now) { return leader_ && leader_lease_->valid(now); }
    // Whether this node is in a term of leadership, whether or not its lease is valid.
    bool elected() const { return leader_; }
    // Fencing token of the current term, or of the last one.
    std::uint64_t fencing_token() const { return key_.fencing_token(); }
    // Writes a new version of the leader key, whose number is the new fencing token: writes and commands sent
    // under the old token are refused from then on. Returns false if the token did not change, or if another
    // coroutine changed it.
    Task<bool> refresh_fencing_token();
    // For a writer whose transaction refreshes the token as well, so that the two don't fence each other: the
    // operation to add, and the result once the transaction was executed.
    state::Operation token_refresh() const { return key_.refresh_operation(); }
    void token_refreshed(std::uint64_t fencing_token);
    // Precondition that each write of the leader must carry.
    state::Precondition fencing_precondition() const { return {state::leader_key, key_.fencing_token()}; }
    // Reports that a write was refused because of its fencing token; `lead` then reads the leader key back.
    void suspect_lost_leadership();
    // Ends the term and keeps this node from campaigning for `pause`.
    void step_down(Clock::duration pause);

    const std::string& leader_name() const { return leader_name_; }  // empty if unknown
    std::optional<std::string> leader_address() const { return peers_.address_of(leader_name_); }
    // The last known process that led; a restarted node is another process.
    const std::string& leader_incarnation() const { return leader_incarnation_; }
    // Answers a leader's request for a lease vote. The vote is granted only while this node does not lead and
    // cannot read the state service either.
    Task<bool> grant_lease_vote(Clock::duration duration);
    const std::vector<Peer>& peers() const { return peers_.all(); }
    // Whether another node reported at or after `heard_after` that the state service answers it.
    bool peer_reaches_state_service(TimePoint now, TimePoint heard_after = {}) const {
        return peers_.any_reaches_state_service(now, heard_after);
    }

  private:
    // Steps of a node that does not lead. Each returns to `run`, which chooses the next step.
    Task<> follow();
    Task<> wait_to_campaign(Clock::duration max_wait);
    Task<> campaign();
    Task<> revoke_predecessor(state::LeaderRecord record);
    Task<> resume(state::LeaderRecord record, std::uint64_t version);
    Task<> watch_leader(state::LeaderRecord record, std::uint64_t version, std::uint64_t revision);
    bool is_led_by(const std::vector<state::Event>& changes, const std::string& incarnation) const;
    // Becomes the leader under the token if the lease can be extended; otherwise returns false.
    Task<bool> start_leading(std::uint64_t fencing_token);
    void become_leader(std::uint64_t fencing_token, TimePoint sent);

    // Extends the lease until the term ends.
    Task<> lead();
    Task<> collect_lease_votes();
    void lose_leadership(const char* reason);
    void on_heartbeat_reply(const HeartbeatReply& reply);

    net::asio::io_context& io_;
    std::string node_;
    state::StateClient& state_;
    Timing timing_;
    Peers peers_;
    LeaderKey key_;
    LeaseVoter lease_voter_;
    net::Signal wake_;  // ends the wait between two extensions when leadership is suspect or has ended
    std::optional<LeaderLease> leader_lease_;  // lease of the current term, or of the last one
    bool leader_ = false, leadership_suspect_ = false;
    std::string leader_name_, leader_incarnation_;
};

}  // namespace barrowrun::election
