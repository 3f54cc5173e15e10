#include "election/election.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace barrowrun::election {
using net::http::verb;
using state::Outcome;
using wire::Json;
using namespace std::chrono_literals;

namespace {
std::set<std::string> names_of(const std::vector<Peer>& peers) {
    std::set<std::string> out;
    for (auto& p : peers) out.insert(p.name);
    return out;
}
}  // namespace

Election::Election(net::asio::io_context& io, std::string node, std::vector<Peer> peers,
                   state::StateClient& state, net::HttpClient& peer_client, Timing timing)
    : io_(io),
      node_(std::move(node)),
      peers_(std::move(peers)),
      state_(state),
      peer_client_(peer_client),
      timing_(timing),
      wake_(io),
      lease_voter_(Clock::now(), timing.lease_vote, names_of(peers_)) {
    std::uniform_int_distribution<std::uint64_t> any;
    incarnation_ = std::to_string(any(random_));
}

std::optional<std::string> Election::leader_address() const {
    for (auto& p : peers_)
        if (p.name == leader_name_) return p.address;
    return std::nullopt;
}

bool Election::peer_reaches_state_service(TimePoint now, TimePoint heard_after) const {
    for (auto& p : peers_)
        if (p.state_ok && now - p.heard < 3s && p.heard >= heard_after) return true;
    return false;
}

Task<> Election::run() {
    for (;;) {
        if (leader_)
            co_await lead();
        else
            co_await follow();
    }
}

Task<> Election::follow() {
    // Listed rather than read: a listing tells the service's revision. A watch from the key's own version is
    // refused once 10,000 changes have passed since, and would be asked again at once for as long as that
    // leader leads.
    auto listed = co_await state_.list(state::leader_key, state::Throttle::exempt);
    if (!listed.ok) {
        co_await net::sleep_for(200ms);
        co_return;
    }
    auto current = std::find_if(listed.items.begin(), listed.items.end(),
                                [](const state::KeyValue& item) { return item.key == state::leader_key; });
    if (current == listed.items.end()) {
        leader_name_.clear();
        if (!lease_voter_.may_campaign(Clock::now())) {
            auto now = Clock::now();
            auto most = lease_voter_.bound_by_predecessor(now) ? 50ms : 500ms;
            co_await net::sleep_for(std::min<Clock::duration>(lease_voter_.may_campaign_at(now) - now, most));
            co_return;
        }
        co_await campaign();
        co_return;
    }
    auto record = state::parse_leader_record(current->value);
    if (!record) {
        co_await net::sleep_for(200ms);
        co_return;
    }
    if (record->node == node_) {
        if (record->incarnation != incarnation_) {
            // An earlier process of this node led, and is certainly over: its hold need not run out.
            spdlog::info("an earlier process of this node held the lead: its hold is ended");
            co_await state_.revoke_lease(record->lease_id);
            co_return;
        }
        // A campaign whose answer was lost did succeed. The promises given since then bind all the same.
        if (!lease_voter_.may_campaign(Clock::now())) {
            auto now = Clock::now();
            co_await net::sleep_for(
                std::min<Clock::duration>(lease_voter_.may_campaign_at(now) - now, 500ms));
            co_return;
        }
        lease_id_ = record->lease_id;
        refresh_count_ = record->refresh_count + 1;
        // Under a token of its own: an earlier term of this process may have sent commands under the one on
        // record, and a worker that knows it would seem to have settled them.
        auto stamped = co_await write_leader_key(current->version, refresh_count_, 1000ms);
        bool leads = false;
        if (stamped.outcome == Outcome::ok) leads = co_await start_leading(stamped.revision);
        if (!leads) co_await net::sleep_for(200ms);
        co_return;
    }
    if (leader_name_ != record->node) spdlog::info("{} leads with token {}", record->node, current->version);
    leader_name_ = record->node;
    leader_incarnation_ = record->incarnation;
    auto change = co_await state_.watch(state::leader_key, listed.revision, 5s, state::Throttle::exempt);
    if (!change.ok) {
        co_await net::sleep_for(200ms);
        co_return;
    }
    for (auto& e : change.events)
        if (e.key == state::leader_key && !e.value) spdlog::info("the lead of {} has ended", leader_name_);
}

Task<> Election::campaign() {
    auto lease_id = co_await state_.create_lease(timing_.ttl);
    if (!lease_id) {
        co_await net::sleep_for(200ms);
        co_return;
    }
    if (!lease_voter_.may_campaign(Clock::now())) co_return;
    lease_id_ = *lease_id;
    refresh_count_ = 1;
    auto result = co_await write_leader_key(0, refresh_count_, 1000ms);
    if (result.outcome == Outcome::ok) {
        co_await start_leading(result.revision);
        co_return;
    }
    if (result.outcome == Outcome::conflict) {
        co_await state_.revoke_lease(lease_id_);
        co_return;
    }
    co_await net::sleep_for(100ms);  // unknown or refused: follow() reads back how it came out
}

Task<state::CompareAndSwapResult> Election::write_leader_key(std::uint64_t from, std::uint64_t refresh_count,
                                                             Clock::duration deadline) {
    state::LeaderRecord record{node_, incarnation_, lease_id_, refresh_count};
    std::vector<state::Precondition> preconditions{{state::leader_key, from}};
    std::vector<state::Operation> operations{{state::leader_key, state::to_json(record), lease_id_}};
    auto result = co_await state_.compare_and_swap(std::move(preconditions), std::move(operations), deadline,
                                                   state::Throttle::exempt);
    co_return result;
}

Task<bool> Election::start_leading(std::uint64_t fencing_token) {
    // The hold began when it was created, which was earlier: extend it before counting on it.
    auto sent = Clock::now();
    auto extended = co_await state_.extend_lease(lease_id_, 800ms);
    if (extended != Outcome::ok || !lease_voter_.may_campaign(Clock::now())) co_return false;
    become_leader(fencing_token, sent);
    co_return true;
}

void Election::become_leader(std::uint64_t fencing_token, TimePoint sent) {
    leader_lease_.emplace(peers_.size());
    leader_lease_->extended(sent, timing_.ttl);
    fencing_token_ = fencing_token;
    leader_ = true;
    leadership_suspect_ = false;
    leader_name_ = node_;
    spdlog::info("{} leads with token {}", node_, fencing_token);
    on_leadership_acquired(fencing_token, Clock::now());
}

void Election::lose_leadership(const char* why) {
    if (!leader_) return;
    leader_ = false;
    leader_name_.clear();
    leader_lease_->revoke();
    spdlog::warn("{} no longer leads: {}", node_, why);
    on_leadership_lost();
}

Task<> Election::lead() {
    TimePoint last_ok = Clock::now();
    bool silent_logged = false;
    while (leader_) {
        auto sent = Clock::now();
        // A late answer still counts, from when the extension was sent.
        auto outcome = co_await state_.extend_lease(lease_id_, timing_.ttl / 2);
        if (!leader_) break;
        if (outcome == Outcome::ok) {
            if (silent_logged) spdlog::info("the state service answers again, the lead goes on");
            silent_logged = false;
            leader_lease_->extended(sent, timing_.ttl);
            last_ok = Clock::now();
            if (leadership_suspect_) {
                // A transaction met another token: see whether the key is still ours.
                leadership_suspect_ = false;
                auto current = co_await state_.get(state::leader_key, 800ms, state::Throttle::exempt);
                auto record =
                    current.outcome == Outcome::ok ? state::parse_leader_record(current.value) : std::nullopt;
                if (current.outcome == Outcome::absent || (record && record->incarnation != incarnation_)) {
                    lose_leadership("another node took the lead");
                    break;
                }
                if (record && current.version > fencing_token_) {
                    // A re-stamp whose answer was lost.
                    fencing_token_ = current.version;
                    refresh_count_ = record->refresh_count;
                }
            }
            co_await wake_.wait(timing_.ttl / 4);
            continue;
        }
        if (outcome == Outcome::absent) {
            lose_leadership("its hold has run out");
            break;
        }
        if (!silent_logged) spdlog::warn("the state service does not extend the hold");
        silent_logged = true;
        if (Clock::now() - last_ok > timing_.ttl / 4) co_await collect_lease_votes();
        co_await net::sleep_for(150ms);
    }
}

// While the state service answers nobody, the lead goes on as long as every other node promises not to take
// it.
Task<> Election::collect_lease_votes() {
    struct Round {
        std::size_t open;
    };
    auto done = std::make_shared<net::Signal>(io_);
    auto round = std::make_shared<Round>(Round{peers_.size()});
    for (auto& p : peers_) {
        auto ask = [](Election* self, std::string name, std::string address, std::shared_ptr<Round> r,
                      std::shared_ptr<net::Signal> signal) -> Task<> {
            auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(self->timing_.lease_vote).count();
            Json body{{"from", self->node_}, {"ms", ms}};
            auto sent = Clock::now();
            auto reply = co_await self->peer_client_.call(address, verb::post, "/peer/abstain",
                                                          std::move(body), 900ms);
            if (reply.status == 200 && wire::flag(reply.body, "promise").value_or(false) && self->leader_)
                self->leader_lease_->vote_granted(name, sent, self->timing_.lease_vote);
            --r->open;
            signal->wake();
        };
        net::asio::co_spawn(io_, ask(this, p.name, p.address, round, done), net::asio::detached);
    }
    auto end = Clock::now() + 900ms;
    while (round->open > 0 && Clock::now() < end) co_await done->wait(end - Clock::now());
}

Task<bool> Election::grant_lease_vote(Clock::duration length) {
    if (leader_) co_return false;
    length = std::min(length, timing_.lease_vote);
    auto current = co_await state_.get(state::leader_key, 300ms, state::Throttle::exempt);
    if (current.outcome == Outcome::ok || current.outcome == Outcome::absent) {
        // The state service answers here: the leader is alone with its trouble, and should be followed.
        co_return false;
    }
    if (leader_) co_return false;
    // A campaign of ours may be under way; it does not lead before the promise has run out.
    lease_voter_.grant(Clock::now(), length);
    co_return true;
}

Task<bool> Election::refresh_fencing_token() {
    if (!leader_) co_return false;
    auto old = fencing_token_;
    auto result = co_await write_leader_key(old, refresh_count_ + 1, 1500ms);
    if (!leader_ || fencing_token_ != old) co_return false;
    if (result.outcome == Outcome::ok) {
        ++refresh_count_;
        fencing_token_ = result.revision;
        spdlog::info("the token is renewed: {}", fencing_token_);
        co_return true;
    }
    if (result.outcome == Outcome::conflict) suspect_lost_leadership();
    co_return false;
}

void Election::step_down(Clock::duration pause) {
    if (!leader_) return;
    auto lease_id = lease_id_;
    lease_voter_.grant(Clock::now(), pause);
    lose_leadership("it steps down");
    auto end = [](Election* self, std::uint64_t h) -> Task<> { co_await self->state_.revoke_lease(h); };
    net::asio::co_spawn(io_, end(this, lease_id), net::asio::detached);
    wake_.wake();
}

Task<> Election::send_heartbeats() {
    for (;;) {
        auto answered = state_.responsive(Clock::now());
        Json now_said;
        if (heartbeat) now_said = heartbeat();
        for (auto& p : peers_) {
            auto ask = [](Election* self, Peer* peer, bool ok, Json said) -> Task<> {
                Json body{{"from", self->node_}, {"state_ok", ok}};
                if (!said.is_null()) body["leases"] = std::move(said);
                auto sent = Clock::now();
                auto reply = co_await self->peer_client_.call(peer->address, verb::post, "/peer/ping",
                                                              std::move(body), 800ms);
                if (auto line = peer->reach.note(reply.status == 200, Clock::now()))
                    spdlog::info("{}", *line);
                if (reply.status != 200) co_return;
                peer->heard = Clock::now();
                peer->state_ok = wire::flag(reply.body, "state_ok").value_or(false);
                peer->leading = wire::flag(reply.body, "leading").value_or(false);
                // Whoever doesn't say so may lead.
                self->lease_voter_.peer_reported(peer->name, wire::flag(reply.body, "elected").value_or(true),
                                                 sent);
                peer->waiting = wire::count(reply.body, "waiting").value_or(0);
                if (const Json* grant = wire::find(reply.body, "leases"); grant && self->on_grant)
                    self->on_grant(sent, *grant);
            };
            net::asio::co_spawn(io_, ask(this, &p, answered, now_said), net::asio::detached);
        }
        // A fresh process asks more often: as long as one that may lead is not heard, it must wait.
        co_await net::sleep_for(lease_voter_.bound_by_predecessor(Clock::now()) ? 200ms : 1000ms);
    }
}

}  // namespace barrowrun::election
