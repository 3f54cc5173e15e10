#pragma once
// Who leads: a key in the state service on a short hold. Its version is the token.
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "base/seed.hpp"
#include "election/leader_lease.hpp"
#include "net/http_client.hpp"
#include "net/reach.hpp"
#include "state/records.hpp"
#include "state/state_client.hpp"

namespace barrowrun::election {

using net::Task;

struct Peer {
    std::string name, address;
    // As its last answer said.
    bool state_ok = false, leading = false;
    std::uint64_t waiting = 0;  // tasks in its queues, if it leads
    TimePoint heard{};
    net::Reach reach{""};
};

struct Timing {
    Clock::duration ttl = std::chrono::milliseconds(3000);
    Clock::duration lease_vote = std::chrono::milliseconds(2500);
};

class Election {
  public:
    Election(net::asio::io_context& io, std::string node, std::vector<Peer> peers, state::StateClient& state,
             net::HttpClient& peer_client, Timing timing);

    std::function<void(std::uint64_t fencing_token, TimePoint acquired)> on_leadership_acquired;
    std::function<void()> on_leadership_lost;
    // What goes with a heartbeat to the others, and what a leader's answer to one that was sent then
    // brings.
    std::function<wire::Json()> heartbeat;
    std::function<void(TimePoint sent, const wire::Json& grant)> on_grant;

    Task<> run();
    Task<> send_heartbeats();

    // Checked just before every answer or act that only the leader may give.
    bool leading(TimePoint now) { return leader_ && leader_lease_->valid(now); }
    bool elected() const { return leader_; }
    std::uint64_t fencing_token() const { return fencing_token_; }
    // A new version of the leader key: transactions and commands sent under the old one die.
    Task<bool> refresh_fencing_token();
    // Condition for a leader's transaction.
    state::Precondition fencing_precondition() const { return {state::leader_key, fencing_token_}; }
    void suspect_lost_leadership() {
        leadership_suspect_ = true;
        wake_.wake();
    }  // a transaction was refused because of the token
    void step_down(Clock::duration pause);

    const std::string& leader_name() const { return leader_name_; }  // empty: none known
    std::optional<std::string> leader_address() const;
    // The process that leads, as far as known: a node that was started again is another one.
    const std::string& leader_incarnation() const { return leader_incarnation_; }
    // A peer asks this node not to take over.
    Task<bool> grant_lease_vote(Clock::duration length);
    const std::vector<Peer>& peers() const { return peers_; }
    // Whether the state service serves another node, as that one said after the moment.
    bool peer_reaches_state_service(TimePoint now, TimePoint heard_after = {}) const;

  private:
    Task<> follow();
    Task<> campaign();
    Task<> lead();
    Task<> collect_lease_votes();
    // Sets the leader key to this process's hold and the stamp, if its version is still `from`.
    Task<state::CompareAndSwapResult> write_leader_key(std::uint64_t from, std::uint64_t refresh_count,
                                                       Clock::duration deadline);
    // Leads under the token, if the hold can be extended. False: not now.
    Task<bool> start_leading(std::uint64_t fencing_token);
    void become_leader(std::uint64_t fencing_token, TimePoint sent);
    void lose_leadership(const char* why);

    net::asio::io_context& io_;
    std::string node_, incarnation_;
    std::vector<Peer> peers_;
    state::StateClient& state_;
    net::HttpClient& peer_client_;
    Timing timing_;
    net::Signal wake_;
    LeaseVoter lease_voter_;
    std::optional<LeaderLease> leader_lease_;
    bool leader_ = false, leadership_suspect_ = false;
    std::uint64_t fencing_token_ = 0, lease_id_ = 0, refresh_count_ = 0;
    std::string leader_name_, leader_incarnation_;
    std::mt19937 random_{fresh_seed()};
};

}  // namespace barrowrun::election
