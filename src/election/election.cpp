#include "election/election.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>

#include "base/seed.hpp"

namespace barrowrun::election {
using state::Outcome;
using namespace std::chrono_literals;

namespace {
// Pause after a failed read of the state service or a failed step of a campaign.
constexpr auto retry_pause = 200ms;
// Pause after a campaign with unknown outcome, before the leader key is read back.
constexpr auto unknown_campaign_pause = 100ms;
// Pause after a failed attempt to extend the leader's lease.
constexpr auto failed_extension_pause = 150ms;
// Much of the lease has passed by the first extension, so a later answer would be useless.
constexpr auto first_extension_deadline = 800ms;
// A third of the 900 ms that the leader waits for a vote; the rest is left for the vote itself.
constexpr auto vote_read_deadline = 300ms;
constexpr auto watch_duration = 5s;
constexpr auto heartbeat_interval = 1000ms;
// While votes of a predecessor process may be in force, this node sends heartbeats and rechecks whether it
// may campaign more often.
constexpr auto bound_heartbeat_interval = 200ms;
constexpr auto bound_campaign_wait = 50ms;
constexpr auto campaign_wait = 500ms;

// Returns a random number that identifies this process among all processes of the node.
std::string new_incarnation() {
    std::mt19937 generator{fresh_seed()};
    std::uniform_int_distribution<std::uint64_t> distribution;
    return std::to_string(distribution(generator));
}
}  // namespace

Election::Election(net::asio::io_context& io, std::string node, std::vector<Peer> peers,
                   state::StateClient& state, net::HttpClient& peer_client, Timing timing)
    : io_(io),
      node_(std::move(node)),
      state_(state),
      timing_(timing),
      peers_(io, node_, std::move(peers), peer_client),
      key_(state, node_, new_incarnation()),
      lease_voter_(Clock::now(), timing.lease_vote, peers_.names()),
      wake_(io) {}

Task<> Election::run() {
    for (;;) {
        if (leader_)
            co_await lead();
        else
            co_await follow();
    }
}

// ---- follower and candidate ----------------------------------------------------------------------------

Task<> Election::follow() {
    // The key is listed rather than read, because a listing returns the service's revision. The state service
    // refuses a watch from the key's own version once 10,000 changes have been made since, and this node
    // would repeat the refused request without a pause for as long as that leader leads.
    auto listed = co_await state_.list(state::leader_key, state::Throttle::exempt);
    if (!listed.ok) {
        co_await net::sleep_for(retry_pause);
        co_return;
    }
    auto current = std::find_if(listed.items.begin(), listed.items.end(),
                                [](const state::KeyValue& item) { return item.key == state::leader_key; });
    if (current == listed.items.end()) {
        leader_name_.clear();
        const auto now = Clock::now();
        if (lease_voter_.may_campaign(now))
            co_await campaign();
        else
            co_await wait_to_campaign(lease_voter_.bound_by_predecessor(now) ? bound_campaign_wait
                                                                             : campaign_wait);
        co_return;
    }
    auto record = state::parse_leader_record(current->value);
    if (!record)
        co_await net::sleep_for(retry_pause);
    else if (record->node != node_)
        co_await watch_leader(*record, current->version, listed.revision);
    else if (record->incarnation != key_.incarnation())
        co_await revoke_predecessor(*record);
    else
        co_await resume(*record, current->version);
}

Task<> Election::wait_to_campaign(Clock::duration max_wait) {
    const auto now = Clock::now();
    co_await net::sleep_for(std::min<Clock::duration>(lease_voter_.may_campaign_at(now) - now, max_wait));
}

Task<> Election::campaign() {
    auto lease_id = co_await state_.create_lease(timing_.lease_ttl);
    if (!lease_id) {
        co_await net::sleep_for(retry_pause);
        co_return;
    }
    if (!lease_voter_.may_campaign(Clock::now())) co_return;
    key_.attach(*lease_id, 1);
    auto result = co_await key_.write(0);
    if (result.outcome == Outcome::ok)
        co_await start_leading(result.revision);
    else if (result.outcome == Outcome::conflict)
        co_await key_.revoke_lease();
    else
        co_await net::sleep_for(unknown_campaign_pause);  // follow() reads the outcome back
}

// An earlier process of this node led and has certainly ended, so its lease is revoked before it expires.
Task<> Election::revoke_predecessor(state::LeaderRecord record) {
    spdlog::info("node {}: an earlier process of this node holds the leader key; revoking its lease", node_);
    co_await state_.revoke_lease(record.lease_id);
}

// Handles a leader key that belongs to this process although it does not lead: the answer to a successful
// campaign was lost, or the key remained from an earlier term. Lease votes granted since then stay binding.
Task<> Election::resume(state::LeaderRecord record, std::uint64_t version) {
    if (!lease_voter_.may_campaign(Clock::now())) {
        co_await wait_to_campaign(campaign_wait);
        co_return;
    }
    key_.attach(record.lease_id, record.refresh_count + 1);
    // The new term needs a new fencing token: an earlier term of this process may have sent commands under
    // the recorded token, and a worker that reports this token would be taken to have settled those commands.
    auto result = co_await key_.write(version);
    bool leads = false;
    if (result.outcome == Outcome::ok) leads = co_await start_leading(result.revision);
    if (!leads) co_await net::sleep_for(retry_pause);
}

Task<> Election::watch_leader(state::LeaderRecord record, std::uint64_t version, std::uint64_t revision) {
    if (leader_name_ != record.node)
        spdlog::info("node {}: is the leader, fencing token {}", record.node, version);
    leader_name_ = record.node;
    leader_incarnation_ = record.incarnation;
    // The leader rewrites its key whenever it refreshes its fencing token: the watch then goes on.
    for (bool same_leader = true; same_leader;) {
        auto change =
            co_await state_.watch(state::leader_key, revision, watch_duration, state::Throttle::exempt);
        if (!change.ok) {
            co_await net::sleep_for(retry_pause);
            co_return;
        }
        revision = change.revision;
        same_leader = !change.events.empty() && is_led_by(change.events, record.incarnation);
    }
}

// Whether all of the changes were made by the process that leads.
bool Election::is_led_by(const std::vector<state::Event>& changes, const std::string& incarnation) const {
    for (auto& event : changes) {
        if (event.key != state::leader_key) continue;
        if (!event.value)
            spdlog::info("node {}: is no longer the leader, its leader key was deleted", leader_name_);
        const auto current = event.value ? state::parse_leader_record(*event.value) : std::nullopt;
        if (!current || current->incarnation != incarnation) return false;
    }
    return true;
}

Task<bool> Election::start_leading(std::uint64_t fencing_token) {
    // The lease began when it was created, some time ago, so it is extended before this node relies on it.
    const auto sent = Clock::now();
    auto extended = co_await key_.extend_lease(first_extension_deadline);
    if (extended != Outcome::ok || !lease_voter_.may_campaign(Clock::now())) co_return false;
    become_leader(fencing_token, sent);
    co_return true;
}

void Election::become_leader(std::uint64_t fencing_token, TimePoint sent) {
    leader_lease_.emplace(peers_.all().size());
    leader_lease_->extended(sent, timing_.lease_ttl);
    key_.begin_term(fencing_token);
    leader_ = true;
    leadership_suspect_ = false;
    leader_name_ = node_;
    spdlog::info("node {}: became the leader, fencing token {}", node_, fencing_token);
    on_leadership_acquired(fencing_token, Clock::now());
}

// ---- leader --------------------------------------------------------------------------------------------

Task<> Election::lead() {
    TimePoint last_extended = Clock::now();
    bool outage_logged = false;
    while (leader_) {
        const auto sent = Clock::now();
        // A late answer still extends the lease, counted from when the request was sent.
        auto outcome = co_await key_.extend_lease(timing_.lease_ttl / 2);
        if (!leader_) break;
        if (outcome == Outcome::absent) {
            lose_leadership("its leader lease expired");
            break;
        }
        if (outcome != Outcome::ok) {
            if (!outage_logged) spdlog::warn("node {}: can't extend its leader lease; retrying", node_);
            outage_logged = true;
            if (Clock::now() - last_extended > timing_.lease_ttl / 4) co_await collect_lease_votes();
            co_await net::sleep_for(failed_extension_pause);
            continue;
        }
        if (outage_logged) spdlog::info("node {}: extends its leader lease again", node_);
        outage_logged = false;
        leader_lease_->extended(sent, timing_.lease_ttl);
        last_extended = Clock::now();
        if (leadership_suspect_) {
            leadership_suspect_ = false;
            const bool lost = co_await key_.is_lost();
            if (lost) {
                lose_leadership("the leader key is gone or belongs to another process");
                break;
            }
        }
        co_await wake_.wait(timing_.lease_ttl / 4);
    }
}

// While the lease can't be extended, the leader keeps leading as long as every other node has promised not to
// campaign.
Task<> Election::collect_lease_votes() {
    std::function<void(const std::string&, TimePoint)> on_granted = [this](const std::string& peer,
                                                                           TimePoint sent) {
        if (leader_) leader_lease_->vote_granted(peer, sent, timing_.lease_vote);
    };
    co_await peers_.request_lease_votes(timing_.lease_vote, std::move(on_granted));
}

void Election::lose_leadership(const char* reason) {
    if (!leader_) return;
    leader_ = false;
    leader_name_.clear();
    leader_lease_->revoke();
    spdlog::warn("node {}: is no longer the leader: {}", node_, reason);
    on_leadership_lost();
}

Task<bool> Election::refresh_fencing_token() {
    if (!leader_) co_return false;
    const auto previous = key_.fencing_token();
    auto result = co_await key_.write_refresh();
    if (!leader_ || key_.fencing_token() != previous) co_return false;
    if (result.outcome == Outcome::ok) {
        key_.refreshed(result.revision);
        spdlog::info("node {}: refreshed its fencing token, now {}", node_, key_.fencing_token());
        co_return true;
    }
    if (result.outcome == Outcome::conflict) suspect_lost_leadership();
    co_return false;
}

void Election::token_refreshed(std::uint64_t fencing_token) {
    // The key may have been read back meanwhile.
    if (!leader_ || fencing_token <= key_.fencing_token()) return;
    key_.refreshed(fencing_token);
    spdlog::debug("node {}: refreshed its fencing token with a transaction, now {}", node_, fencing_token);
}

void Election::suspect_lost_leadership() {
    leadership_suspect_ = true;
    wake_.wake();
}

void Election::step_down(Clock::duration pause) {
    if (!leader_) return;
    lease_voter_.grant(Clock::now(), pause);
    lose_leadership("it stepped down");
    net::asio::co_spawn(io_, key_.revoke_lease(), net::asio::detached);
    wake_.wake();
}

// ---- requests and replies of other nodes ---------------------------------------------------------------

Task<bool> Election::grant_lease_vote(Clock::duration duration) {
    if (leader_) co_return false;
    duration = std::min(duration, timing_.lease_vote);
    auto current = co_await state_.get(state::leader_key, vote_read_deadline, state::Throttle::exempt);
    if (current.outcome == Outcome::ok || current.outcome == Outcome::absent) {
        // The state service answers this node, so only the leader can't reach it and should be replaced.
        co_return false;
    }
    if (leader_) co_return false;
    // A campaign of this node may be in progress; it can't make this node the leader before the vote expires.
    lease_voter_.grant(Clock::now(), duration);
    co_return true;
}

Task<> Election::send_heartbeats() {
    for (;;) {
        const bool responsive = state_.responsive(Clock::now());
        const wire::Json lease_status = heartbeat ? heartbeat() : wire::Json();
        peers_.send_heartbeats(responsive, lease_status,
                               [this](const HeartbeatReply& reply) { on_heartbeat_reply(reply); });
        co_await net::sleep_for(lease_voter_.bound_by_predecessor(Clock::now()) ? bound_heartbeat_interval
                                                                                : heartbeat_interval);
    }
}

void Election::on_heartbeat_reply(const HeartbeatReply& reply) {
    lease_voter_.peer_reported(reply.peer, reply.may_be_leading, reply.sent);
    if (reply.renewal_grant && on_grant) on_grant(reply.sent, *reply.renewal_grant);
}

}  // namespace barrowrun::election
