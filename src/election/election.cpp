#include "election/election.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>

#include "base/seed.hpp"

namespace barrowrun::election {
using state::Outcome;
using namespace std::chrono_literals;

namespace {
// After a failed read of the state service, or a failed step of a campaign.
constexpr auto retry_pause = 200ms;
// After a campaign whose outcome is not known: the key is read back.
constexpr auto unknown_campaign_pause = 100ms;
// Between two attempts to extend a lease, when the first one failed.
constexpr auto failed_extension_pause = 150ms;
// The lease is short-lived by then: an extension that takes longer is of no use.
constexpr auto first_extension_deadline = 800ms;
// The leader waits 900 ms for the vote; whether the state service answers is found out within a third of it.
constexpr auto vote_read_deadline = 300ms;
constexpr auto watch_length = 5s;
constexpr auto heartbeat_interval = 1000ms;
// While a predecessor's votes bind, peers are asked more often, and a changed answer is looked for sooner.
constexpr auto bound_heartbeat_interval = 200ms;
constexpr auto bound_campaign_wait = 50ms;
constexpr auto campaign_wait = 500ms;

// A number that no other process of this node has: drawn at random.
std::string new_incarnation() {
    std::mt19937 random{fresh_seed()};
    std::uniform_int_distribution<std::uint64_t> any;
    return std::to_string(any(random));
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

// ---- without leadership --------------------------------------------------------------------------------

Task<> Election::follow() {
    // Listed rather than read: a listing tells the service's revision. A watch from the key's own version is
    // refused once 10,000 changes have passed since, and would be asked again at once for as long as that
    // leader leads.
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

Task<> Election::wait_to_campaign(Clock::duration longest) {
    const auto now = Clock::now();
    co_await net::sleep_for(std::min<Clock::duration>(lease_voter_.may_campaign_at(now) - now, longest));
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
        co_await net::sleep_for(unknown_campaign_pause);  // follow() reads back how it came out
}

// An earlier process of this node led, and has certainly ended: its lease need not expire first.
Task<> Election::revoke_predecessor(state::LeaderRecord record) {
    spdlog::info("{} led in an earlier process: that lease is revoked", node_);
    co_await state_.revoke_lease(record.lease_id);
}

// A campaign whose answer was lost did succeed, or an earlier term of this process left its key. Votes that
// were granted since then bind all the same.
Task<> Election::resume(state::LeaderRecord record, std::uint64_t version) {
    if (!lease_voter_.may_campaign(Clock::now())) {
        co_await wait_to_campaign(campaign_wait);
        co_return;
    }
    key_.attach(record.lease_id, record.refresh_count + 1);
    // Under a token of its own: an earlier term of this process may have sent commands under the one on
    // record, and a worker that knows it would seem to have settled them.
    auto result = co_await key_.write(version);
    bool leads = false;
    if (result.outcome == Outcome::ok) leads = co_await start_leading(result.revision);
    if (!leads) co_await net::sleep_for(retry_pause);
}

Task<> Election::watch_leader(state::LeaderRecord record, std::uint64_t version, std::uint64_t revision) {
    if (leader_name_ != record.node) spdlog::info("{} leads with fencing token {}", record.node, version);
    leader_name_ = record.node;
    leader_incarnation_ = record.incarnation;
    auto change = co_await state_.watch(state::leader_key, revision, watch_length, state::Throttle::exempt);
    if (!change.ok) {
        co_await net::sleep_for(retry_pause);
        co_return;
    }
    for (auto& event : change.events)
        if (event.key == state::leader_key && !event.value)
            spdlog::info("{} no longer leads: its leader key is gone", leader_name_);
}

Task<bool> Election::start_leading(std::uint64_t fencing_token) {
    // The lease began when it was created, which was earlier: extend it before counting on it.
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
    spdlog::info("{} leads with fencing token {}", node_, fencing_token);
    on_leadership_acquired(fencing_token, Clock::now());
}

// ---- with leadership -----------------------------------------------------------------------------------

Task<> Election::lead() {
    TimePoint last_extended = Clock::now();
    bool outage_logged = false;
    while (leader_) {
        const auto sent = Clock::now();
        // A late answer still counts, from when the extension was sent.
        auto outcome = co_await key_.extend_lease(timing_.lease_ttl / 2);
        if (!leader_) break;
        if (outcome == Outcome::absent) {
            lose_leadership("its leader lease has expired");
            break;
        }
        if (outcome != Outcome::ok) {
            if (!outage_logged) spdlog::warn("{} can't extend its leader lease", node_);
            outage_logged = true;
            if (Clock::now() - last_extended > timing_.lease_ttl / 4) co_await collect_lease_votes();
            co_await net::sleep_for(failed_extension_pause);
            continue;
        }
        if (outage_logged) spdlog::info("{} extends its leader lease again", node_);
        outage_logged = false;
        leader_lease_->extended(sent, timing_.lease_ttl);
        last_extended = Clock::now();
        if (leadership_suspect_) {
            leadership_suspect_ = false;
            const bool lost = co_await key_.is_lost();
            if (lost) {
                lose_leadership("another node took the leader key");
                break;
            }
        }
        co_await wake_.wait(timing_.lease_ttl / 4);
    }
}

// While the state service answers nobody, leadership goes on as long as every other node withholds its own
// campaign.
Task<> Election::collect_lease_votes() {
    std::function<void(const std::string&, TimePoint)> on_granted = [this](const std::string& peer,
                                                                           TimePoint sent) {
        if (leader_) leader_lease_->vote_granted(peer, sent, timing_.lease_vote);
    };
    co_await peers_.request_lease_votes(timing_.lease_vote, std::move(on_granted));
}

void Election::lose_leadership(const char* why) {
    if (!leader_) return;
    leader_ = false;
    leader_name_.clear();
    leader_lease_->revoke();
    spdlog::warn("{} no longer leads: {}", node_, why);
    on_leadership_lost();
}

Task<bool> Election::refresh_fencing_token() {
    if (!leader_) co_return false;
    const auto previous = key_.fencing_token();
    auto result = co_await key_.write_refresh();
    if (!leader_ || key_.fencing_token() != previous) co_return false;
    if (result.outcome == Outcome::ok) {
        key_.refreshed(result.revision);
        spdlog::info("{} refreshed its fencing token: {}", node_, key_.fencing_token());
        co_return true;
    }
    if (result.outcome == Outcome::conflict) suspect_lost_leadership();
    co_return false;
}

void Election::suspect_lost_leadership() {
    leadership_suspect_ = true;
    wake_.wake();
}

void Election::step_down(Clock::duration pause) {
    if (!leader_) return;
    lease_voter_.grant(Clock::now(), pause);
    lose_leadership("it steps down");
    net::asio::co_spawn(io_, key_.revoke_lease(), net::asio::detached);
    wake_.wake();
}

// ---- other nodes ---------------------------------------------------------------------------------------

Task<bool> Election::grant_lease_vote(Clock::duration length) {
    if (leader_) co_return false;
    length = std::min(length, timing_.lease_vote);
    auto current = co_await state_.get(state::leader_key, vote_read_deadline, state::Throttle::exempt);
    if (current.outcome == Outcome::ok || current.outcome == Outcome::absent) {
        // The state service answers here: the leader is alone with its trouble, and should be followed.
        co_return false;
    }
    if (leader_) co_return false;
    // A campaign of ours may be under way; it does not lead before the vote has expired.
    lease_voter_.grant(Clock::now(), length);
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
    lease_voter_.peer_reported(reply.peer, reply.may_lead, reply.sent);
    if (reply.renewal_grant && on_grant) on_grant(reply.sent, *reply.renewal_grant);
}

}  // namespace barrowrun::election
