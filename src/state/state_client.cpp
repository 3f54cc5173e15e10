#include "state/state_client.hpp"

namespace barrowrun::state {
using net::Reply;
using net::http::verb;

namespace {
// Shares of the service's rates. Some of the requests is left for the lead and its hold, which ask no budget.
constexpr double leader_requests = 0.6, leader_request_burst = 0.3;
// The other nodes only write what they accept.
constexpr double leader_writes = 0.85, leader_write_burst = 0.5;
// Of all nodes together.
constexpr double lookup_requests = 0.3, lookup_burst = 0.2;
// A job's record and its progress, or its final state; of a job without progress one more.
constexpr double requests_of_a_lookup = 2;
// Longer than this no user's question waits for its turn: the user gives up after 2 s.
constexpr std::chrono::milliseconds longest_lookup_wait{500};
}  // namespace

StateClient::StateClient(net::asio::io_context& io, std::string address, double rps, double write_rps,
                         std::size_t nodes)
    : address_(std::move(address)),
      client_(io, 16),
      requests_(rps * leader_requests, rps * leader_request_burst),
      writes_(write_rps * leader_writes, write_rps * leader_write_burst),
      lookups_(rps * lookup_requests / static_cast<double>(std::max<std::size_t>(1, nodes)),
               rps * lookup_burst / static_cast<double>(std::max<std::size_t>(1, nodes))) {}

void StateClient::note(const Reply& reply) {
    // 429 is an answer: the service is there.
    const bool answered = reply.status != 0 && reply.status != 503;
    if (!answered && last_failure_ <= last_response_) failing_since_ = Clock::now();
    (answered ? last_response_ : last_failure_) = Clock::now();
    if (auto line = reach_.note(answered, Clock::now())) spdlog::warn("{}", *line);
}

Task<Reply> StateClient::call(verb method, std::string target, std::optional<Json> body,
                              Clock::duration deadline, Throttle throttle) {
    if (throttle == Throttle::wait) {
        auto wait = requests_.reserve(Clock::now(), 1);
        if (wait > Clock::duration::zero()) co_await net::sleep_for(wait);
    }
    if (throttle == Throttle::charge_only) requests_.reserve(Clock::now(), 1);
    auto reply =
        co_await client_.call(address_, method, std::move(target), std::move(body), deadline, 8 << 20);
    note(reply);
    co_return reply;
}

namespace {
Outcome outcome_of(const Reply& r) {
    if (r.status == 200) return r.garbage ? Outcome::unknown : Outcome::ok;
    if (r.status == 0) return r.may_execute ? Outcome::unknown : Outcome::refused;
    if (r.status == 404) return Outcome::absent;
    if (r.status == 409) return Outcome::conflict;
    if (r.status == 400 || r.status == 429 || r.status == 503) return Outcome::refused;
    return Outcome::unknown;
}
}  // namespace

Task<bool> StateClient::admit_lookup() {
    auto wait = lookups_.reserve_within(Clock::now(), requests_of_a_lookup, longest_lookup_wait);
    if (!wait) co_return false;
    if (*wait > Clock::duration::zero()) co_await net::sleep_for(*wait);
    co_return true;
}

Task<Value> StateClient::get(std::string key, Clock::duration deadline, Throttle throttle) {
    auto reply = co_await call(verb::get, "/kv/" + key, std::nullopt, deadline, throttle);
    Value out;
    out.outcome = outcome_of(reply);
    if (out.outcome == Outcome::ok) {
        const Json* v = wire::find(reply.body, "value");
        auto version = wire::count(reply.body, "mark");
        if (!v || !version) {
            out.outcome = Outcome::unknown;
        } else {
            out.value = *v;
            out.version = *version;
        }
    } else if (out.outcome == Outcome::absent) {
        // Only the service's own 404 counts as proof of absence.
        auto revision = wire::count(reply.body, "ledger");
        if (!revision) out.outcome = Outcome::unknown;
        out.version = revision.value_or(0);
    }
    co_return out;
}

Task<Listing> StateClient::list(std::string prefix, Throttle throttle) {
    Listing out;
    std::string after;
    for (;;) {
        std::string target = "/kv?under=" + prefix + "&page=1000";
        if (!after.empty()) target += "&since=" + after;
        auto reply =
            co_await call(verb::get, target, std::nullopt, std::chrono::milliseconds(2500), throttle);
        const Json* entries = reply.status == 200 ? wire::find(reply.body, "entries") : nullptr;
        if (!entries || !entries->is_array()) co_return Listing{};
        if (out.revision == 0) out.revision = wire::count(reply.body, "ledger").value_or(0);
        for (const Json& e : *entries) {
            auto key = wire::text(e, "key");
            const Json* value = wire::find(e, "value");
            if (!key) co_return Listing{};
            out.items.push_back({*key, value ? *value : Json(), wire::count(e, "mark").value_or(0)});
        }
        if (!wire::flag(reply.body, "truncated").value_or(false) || entries->empty()) break;
        after = out.items.back().key;
    }
    out.ok = true;
    co_return out;
}

Task<std::optional<Snapshot>> StateClient::snapshot() {
    // One pass from the beginning: parts of different passes do not belong together. Machines whose jobs are
    // missing would make running tasks look like waiting ones.
    Snapshot out;
    for (auto [part, prefix] :
         {std::pair{&out.jobs, "jobs/"}, std::pair{&out.progress, "progress/"},
          std::pair{&out.shards, "sheets/"}, std::pair{&out.provisioning_requests, "hires/"}}) {
        *part = co_await list(prefix);
        if (!part->ok) co_return std::nullopt;
    }
    co_return out;
}

Task<CompareAndSwapResult> StateClient::compare_and_swap(std::vector<Precondition> preconditions,
                                                         std::vector<Operation> operations,
                                                         Clock::duration deadline, Throttle throttle) {
    Json conds = Json::array(), ops = Json::array();
    for (auto& c : preconditions) conds.push_back({{"key", c.key}, {"mark", c.version}});
    for (auto& o : operations) {
        if (!o.value) {
            ops.push_back({{"drop", o.key}});
            continue;
        }
        Json set{{"set", o.key}, {"value", std::move(*o.value)}};
        if (o.lease_id) set["permit"] = o.lease_id;
        ops.push_back(std::move(set));
    }
    if (throttle != Throttle::exempt) {
        auto wait = writes_.reserve(Clock::now(), static_cast<double>(operations.size()));
        if (throttle == Throttle::wait && wait > Clock::duration::zero()) co_await net::sleep_for(wait);
    }
    Json body{{"if", std::move(conds)}, {"then", std::move(ops)}};
    auto reply = co_await call(verb::post, "/multi", std::move(body), deadline, throttle);
    CompareAndSwapResult out;
    out.outcome = outcome_of(reply);
    if (out.outcome == Outcome::absent) out.outcome = Outcome::refused;
    out.revision = wire::count(reply.body, "ledger").value_or(0);
    if (out.outcome == Outcome::ok && out.revision == 0) out.outcome = Outcome::unknown;
    co_return out;
}

Task<std::optional<std::uint64_t>> StateClient::create_lease(Clock::duration ttl) {
    Json body{{"ttl_ms", std::chrono::duration_cast<std::chrono::milliseconds>(ttl).count()}};
    auto reply = co_await call(verb::post, "/holds", std::move(body), std::chrono::milliseconds(1000),
                               Throttle::exempt);
    if (reply.status != 200) co_return std::nullopt;
    co_return wire::count(reply.body, "permit");
}

Task<Outcome> StateClient::extend_lease(std::uint64_t lease_id, Clock::duration deadline) {
    Json body = Json::object();
    auto reply = co_await call(verb::post, "/holds/" + std::to_string(lease_id) + "/extend", std::move(body),
                               deadline, Throttle::exempt);
    co_return outcome_of(reply);
}

Task<Outcome> StateClient::revoke_lease(std::uint64_t lease_id) {
    auto reply = co_await call(verb::delete_, "/holds/" + std::to_string(lease_id), std::nullopt,
                               std::chrono::milliseconds(1000), Throttle::exempt);
    co_return outcome_of(reply);
}

Task<WatchResult> StateClient::watch(std::string prefix, std::uint64_t since, Clock::duration wait,
                                     Throttle throttle) {
    auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    std::string target =
        "/follow?under=" + prefix + "&since=" + std::to_string(since) + "&wait_ms=" + std::to_string(ms);
    // Watches do not count for or against the service: they stay open, silent, during an outage.
    if (throttle != Throttle::exempt) {
        auto delay = requests_.reserve(Clock::now(), 1);
        if (delay > Clock::duration::zero()) co_await net::sleep_for(delay);
    }
    auto reply = co_await client_.call(address_, verb::get, std::move(target), std::nullopt,
                                       wait + std::chrono::milliseconds(1500), 8 << 20);
    WatchResult out;
    out.too_old = reply.status == 410;
    const Json* events = reply.status == 200 ? wire::find(reply.body, "events") : nullptr;
    auto revision = wire::count(reply.body, "ledger");
    if (reply.status != 200 || !revision) co_return out;
    out.ok = true;
    out.revision = *revision;
    if (events && events->is_array())
        for (const Json& e : *events) {
            Event ev;
            ev.version = wire::count(e, "mark").value_or(0);
            if (auto key = wire::text(e, "set")) {
                ev.key = *key;
                const Json* v = wire::find(e, "value");
                ev.value = v ? *v : Json();
            } else if (auto dropped = wire::text(e, "drop")) {
                ev.key = *dropped;
            }
            out.events.push_back(std::move(ev));
        }
    co_return out;
}

}  // namespace barrowrun::state
