#pragma once
// Which controller node leads: the one that holds the leader key in the state service, for as long as its
// lease there is extended. See docs/design.md, "The rules, and why they hold".
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
    Clock::duration lease_ttl = std::chrono::milliseconds(3000);  // of the lease in the state service
    Clock::duration lease_vote =
        std::chrono::milliseconds(2500);  // the longest vote that is asked or granted
};

// This node's part in the election: it follows the leader, campaigns once the leader key is gone, and extends
// its lease while it leads. Owns this node's view of who leads; all runs on the io thread. The coroutines
// never end and refer to this object, which has to outlive the io context's run.
class Election {
  public:
    Election(net::asio::io_context& io, std::string node, std::vector<Peer> peers, state::StateClient& state,
             net::HttpClient& peer_client, Timing timing);

    // A term begins, or ends. Called on the io thread; set before `run`.
    std::function<void(std::uint64_t fencing_token, TimePoint acquired)> on_leadership_acquired;
    std::function<void()> on_leadership_lost;
    // What goes with a heartbeat to the others, and what a leader's answer to one that was sent then
    // brings.
    std::function<wire::Json()> heartbeat;
    std::function<void(TimePoint sent, const wire::Json& grant)> on_grant;

    // Follows, campaigns and leads, without end.
    Task<> run();
    // Exchanges heartbeats with all peers, without end.
    Task<> send_heartbeats();

    // Whether this node may act as the leader: checked just before every answer or act that only the leader
    // may give.
    bool leading(TimePoint now) { return leader_ && leader_lease_->valid(now); }
    // Whether a term is under way here, its lease valid or not.
    bool elected() const { return leader_; }
    // Of the current term, or of the last one.
    std::uint64_t fencing_token() const { return key_.fencing_token(); }
    // A new version of the leader key: writes and commands sent under the old token are refused from then on.
    // False: the token is as it was, or another coroutine has changed it.
    Task<bool> refresh_fencing_token();
    // Precondition of each of the leader's writes.
    state::Precondition fencing_precondition() const { return {state::leader_key, key_.fencing_token()}; }
    // A write was refused because of the token: the leader key is read back soon.
    void suspect_lost_leadership();
    // Ends the term; this node does not campaign for `pause`.
    void step_down(Clock::duration pause);

    const std::string& leader_name() const { return leader_name_; }  // empty: none known
    std::optional<std::string> leader_address() const { return peers_.address_of(leader_name_); }
    // The process that leads, as far as known: a node that was started again is another one.
    const std::string& leader_incarnation() const { return leader_incarnation_; }
    // A leader asks this node for a lease vote. Granted only while this node does not lead and the state
    // service fails it, too.
    Task<bool> grant_lease_vote(Clock::duration length);
    const std::vector<Peer>& peers() const { return peers_.all(); }
    // Whether the state service answers another node, as that one said at or after the moment.
    bool peer_reaches_state_service(TimePoint now, TimePoint heard_after = {}) const {
        return peers_.any_reaches_state_service(now, heard_after);
    }

  private:
    // One step of a node that does not lead. Each returns to `run`, which decides anew.
    Task<> follow();
    Task<> wait_to_campaign(Clock::duration longest);
    Task<> campaign();
    Task<> revoke_predecessor(state::LeaderRecord record);
    Task<> resume(state::LeaderRecord record, std::uint64_t version);
    Task<> watch_leader(state::LeaderRecord record, std::uint64_t version, std::uint64_t revision);
    // Leads under the token, if the lease can be extended. False: not now.
    Task<bool> start_leading(std::uint64_t fencing_token);
    void become_leader(std::uint64_t fencing_token, TimePoint sent);

    // Extends the lease until the term ends.
    Task<> lead();
    Task<> collect_lease_votes();
    void lose_leadership(const char* why);
    void on_heartbeat_reply(const HeartbeatReply& reply);

    net::asio::io_context& io_;
    std::string node_;
    state::StateClient& state_;
    Timing timing_;
    Peers peers_;
    LeaderKey key_;
    LeaseVoter lease_voter_;
    net::Signal wake_;  // a suspicion, or the end of the term, interrupts the wait between two extensions
    std::optional<LeaderLease> leader_lease_;  // of the current term, or of the last one
    bool leader_ = false, leadership_suspect_ = false;
    std::string leader_name_, leader_incarnation_;
};

}  // namespace barrowrun::election
