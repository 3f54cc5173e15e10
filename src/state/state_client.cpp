#include "state/state_client.hpp"

namespace barrowrun::state {
using net::Reply;
using net::http::verb;

namespace {
// Shares of the service's rates. A part of the request rate is left for the leader key and its lease, whose
// requests are exempt from the budget.
constexpr double leader_request_share = 0.6, leader_request_burst_share = 0.3;
// The other nodes write only the jobs that they accept.
constexpr double leader_write_share = 0.85, leader_write_burst_share = 0.5;
// Shares of all nodes together.
constexpr double lookup_share = 0.3, lookup_burst_share = 0.2;
// A lookup reads the job's record and its progress, or its final state; a job without progress costs one
// request more.
constexpr double requests_per_lookup = 2;
// A user's client gives up after 2 s, so a lookup does not wait longer than this for the budget.
constexpr std::chrono::milliseconds max_lookup_wait{500};
constexpr std::chrono::milliseconds page_deadline{2500};
// Leases last for seconds, so a later answer would be useless.
constexpr std::chrono::milliseconds lease_deadline{1000};
// How long after the requested wait the answer to a watch may arrive.
constexpr std::chrono::milliseconds max_watch_delay{1500};
// Open watches occupy connections in addition to other requests.
constexpr std::size_t max_connections = 16;
// Large enough for a page of a listing, which has up to 1000 values.
constexpr std::size_t max_response_bytes = 8 << 20;

Outcome outcome_of(const Reply& reply) {
    switch (reply.status) {
        case 0:
            return reply.may_execute ? Outcome::unknown : Outcome::refused;
        case 200:
            return reply.garbage ? Outcome::unknown : Outcome::ok;
        case 404:
            return Outcome::absent;
        case 409:
            return Outcome::conflict;
        case 400:
            return Outcome::rejected;
        case 429:
        case 503:
            return Outcome::refused;
        default:
            return Outcome::unknown;
    }
}

Json compare_and_swap_request(const std::vector<Precondition>& preconditions,
                              std::vector<Operation> operations) {
    Json conditions = Json::array(), changes = Json::array();
    for (auto& precondition : preconditions)
        conditions.push_back({{"key", precondition.key}, {"mark", precondition.version}});
    for (auto& operation : operations) {
        if (!operation.value) {
            changes.push_back({{"drop", operation.key}});
            continue;
        }
        Json set{{"set", operation.key}, {"value", std::move(*operation.value)}};
        if (operation.lease_id) set["permit"] = operation.lease_id;
        changes.push_back(std::move(set));
    }
    return Json{{"if", std::move(conditions)}, {"then", std::move(changes)}};
}

Json value_or_null(const Json& entry) {
    const Json* value = wire::find(entry, "value");
    return value ? *value : Json();
}

std::optional<KeyValue> parse_key_value(const Json& entry) {
    auto key = wire::text(entry, "key");
    if (!key) return std::nullopt;
    return KeyValue{*key, value_or_null(entry), wire::count(entry, "mark").value_or(0)};
}

// The keys of a transaction, for the log.
std::string describe_keys(const std::vector<Precondition>& preconditions) {
    std::string keys;
    for (auto& precondition : preconditions) keys += (keys.empty() ? "" : ", ") + precondition.key;
    return keys;
}

std::vector<std::string> parse_failed_keys(const Json& conflict) {
    std::vector<std::string> keys;
    const Json* failed = wire::find(conflict, "failed");
    if (!failed || !failed->is_array()) return keys;
    for (const Json& key : *failed)
        if (key.is_string()) keys.push_back(key.get<std::string>());
    return keys;
}

Event parse_event(const Json& entry) {
    Event event;
    event.version = wire::count(entry, "mark").value_or(0);
    if (auto key = wire::text(entry, "set")) {
        event.key = *key;
        event.value = value_or_null(entry);
    } else if (auto deleted = wire::text(entry, "drop")) {
        event.key = *deleted;
    }
    return event;
}
}  // namespace

StateClient::StateClient(net::asio::io_context& io, std::string address, double rps, double write_rps,
                         std::size_t nodes)
    : address_(std::move(address)),
      client_(io, max_connections),
      request_budget_(rps * leader_request_share, rps * leader_request_burst_share),
      write_budget_(write_rps * leader_write_share, write_rps * leader_write_burst_share),
      lookup_budget_(rps * lookup_share / static_cast<double>(std::max<std::size_t>(1, nodes)),
                     rps * lookup_burst_share / static_cast<double>(std::max<std::size_t>(1, nodes))) {}

void StateClient::record_reply(const Reply& reply) {
    // Status 429 (rate limit exceeded) also proves that the service is available.
    const bool answered = reply.status != 0 && reply.status != 503;
    if (!answered && last_failure_ <= last_response_) failing_since_ = Clock::now();
    (answered ? last_response_ : last_failure_) = Clock::now();
    if (auto line = outage_log_.note(answered, Clock::now())) spdlog::warn("{}", *line);
}

Task<> StateClient::wait_for_request_budget() {
    auto wait = request_budget_.reserve(Clock::now(), 1);
    if (wait > Clock::duration::zero()) co_await net::sleep_for(wait);
}

Task<Reply> StateClient::call(verb method, std::string target, std::optional<Json> body,
                              Clock::duration deadline, Throttle throttle) {
    if (throttle == Throttle::wait) co_await wait_for_request_budget();
    if (throttle == Throttle::charge_only) request_budget_.reserve(Clock::now(), 1);
    auto reply = co_await client_.call(address_, method, std::move(target), std::move(body), deadline,
                                       max_response_bytes);
    record_reply(reply);
    co_return reply;
}

Task<bool> StateClient::admit_lookup() {
    auto wait = lookup_budget_.reserve_within(Clock::now(), requests_per_lookup, max_lookup_wait);
    if (!wait) co_return false;
    if (*wait > Clock::duration::zero()) co_await net::sleep_for(*wait);
    co_return true;
}

Task<Value> StateClient::get(std::string key, Clock::duration deadline, Throttle throttle) {
    auto reply = co_await call(verb::get, "/kv/" + key, std::nullopt, deadline, throttle);
    Value out;
    out.outcome = outcome_of(reply);
    if (out.outcome == Outcome::ok) {
        auto version = wire::count(reply.body, "mark");
        if (!version) {
            out.outcome = Outcome::unknown;
        } else {
            out.value = value_or_null(reply.body);
            out.version = *version;
        }
    } else if (out.outcome == Outcome::absent) {
        // Only a 404 with a revision comes from the service itself and proves absence.
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
        auto reply = co_await call(verb::get, target, std::nullopt, page_deadline, throttle);
        const Json* entries = reply.status == 200 ? wire::find(reply.body, "entries") : nullptr;
        if (!entries || !entries->is_array()) {
            if (reply.status == 200)
                spdlog::error("state service: a page of {}* after '{}' {}, the records are not read", prefix,
                              after, reply.garbage ? "can't be decoded" : "has no entries");
            co_return Listing{};
        }
        if (out.revision == 0) out.revision = wire::count(reply.body, "ledger").value_or(0);
        for (const Json& entry : *entries) {
            auto item = parse_key_value(entry);
            if (!item) co_return Listing{};
            out.items.push_back(std::move(*item));
        }
        if (!wire::flag(reply.body, "truncated").value_or(false) || entries->empty()) break;
        after = out.items.back().key;
    }
    out.ok = true;
    co_return out;
}

Task<std::optional<Snapshot>> StateClient::snapshot() {
    // All parts are read in one pass, because parts of different passes may be inconsistent: running tasks of
    // a machine whose jobs are missing would be taken for waiting ones.
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
    if (throttle != Throttle::exempt) {
        auto wait = write_budget_.reserve(Clock::now(), static_cast<double>(operations.size()));
        if (throttle == Throttle::wait && wait > Clock::duration::zero()) co_await net::sleep_for(wait);
    }
    Json body = compare_and_swap_request(preconditions, std::move(operations));
    auto reply = co_await call(verb::post, "/multi", std::move(body), deadline, throttle);
    if (reply.status == 400)
        spdlog::error("state service: a transaction on {} was answered with 400: {}",
                      describe_keys(preconditions), wire::text(reply.body, "error").value_or("no reason"));
    CompareAndSwapResult out;
    out.outcome = outcome_of(reply);
    if (out.outcome == Outcome::absent) out.outcome = Outcome::refused;
    out.revision = wire::count(reply.body, "ledger").value_or(0);
    if (out.outcome == Outcome::ok && out.revision == 0) out.outcome = Outcome::unknown;
    if (out.outcome == Outcome::conflict) out.failed_keys = parse_failed_keys(reply.body);
    co_return out;
}

Task<std::optional<std::uint64_t>> StateClient::create_lease(Clock::duration ttl) {
    Json body{{"ttl_ms", std::chrono::duration_cast<std::chrono::milliseconds>(ttl).count()}};
    auto reply = co_await call(verb::post, "/holds", std::move(body), lease_deadline, Throttle::exempt);
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
                               lease_deadline, Throttle::exempt);
    co_return outcome_of(reply);
}

Task<WatchResult> StateClient::watch(std::string prefix, std::uint64_t since, Clock::duration wait,
                                     Throttle throttle) {
    auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    std::string target =
        "/follow?under=" + prefix + "&since=" + std::to_string(since) + "&wait_ms=" + std::to_string(ms);
    // Watches don't affect whether the service counts as responsive: they stay open without an answer during
    // an outage.
    if (throttle != Throttle::exempt) co_await wait_for_request_budget();
    auto reply = co_await client_.call(address_, verb::get, std::move(target), std::nullopt,
                                       wait + max_watch_delay, max_response_bytes);
    WatchResult out;
    out.too_old = reply.status == 410;
    const Json* events = reply.status == 200 ? wire::find(reply.body, "events") : nullptr;
    auto revision = wire::count(reply.body, "ledger");
    if (reply.status != 200 || !revision) co_return out;
    out.ok = true;
    out.revision = *revision;
    if (events && events->is_array())
        for (const Json& entry : *events) out.events.push_back(parse_event(entry));
    co_return out;
}

}  // namespace barrowrun::state
