#include "leases/leases.hpp"

#include <algorithm>

namespace barrowrun::leases {
using wire::Json;

namespace {
constexpr std::size_t most_named = 400;

std::chrono::milliseconds ms(std::uint64_t n) {
    return std::chrono::milliseconds(std::min<std::uint64_t>(n, 86'400'000));
}

std::uint64_t whole_ms(Clock::duration d) {
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(d).count()));
}
}  // namespace

Clock::duration renewal_period(double lease_s, double cancel_s) {
    // Two clocks are in it, the node's and the worker's, and two timers.
    auto left = secs(cancel_s) - longer(secs(lease_s)) - std::chrono::milliseconds(100);
    auto keep = shorter(left);
    return std::max(keep, Clock::duration::zero());
}

Json to_json(const RenewalGrant& grant) {
    Json out{{"token", grant.fencing_token}, {"stamp", grant.timestamp_ms}};
    if (grant.grants_nothing || grant.excluded_machines.size() > most_named)
        out["but"] = true;
    else
        out["but"] = grant.excluded_machines;
    return out;
}

std::optional<RenewalGrant> parse_renewal_grant(const Json& value) {
    auto fencing_token = wire::count(value, "token"), timestamp_ms = wire::count(value, "stamp");
    const Json* but = wire::find(value, "but");
    if (!fencing_token || !timestamp_ms || !but) return std::nullopt;
    RenewalGrant grant{*fencing_token, *timestamp_ms, false, {}};
    if (but->is_array()) {
        for (auto& name : *but) {
            if (!name.is_string()) return std::nullopt;
            grant.excluded_machines.insert(name.get<std::string>());
        }
    } else {
        grant.grants_nothing = true;
    }
    return grant;
}

Json to_json(const Heartbeat& heartbeat) {
    return {{"zone", heartbeat.zone},
            {"token", heartbeat.fencing_token},
            {"stamp", heartbeat.timestamp_ms},
            {"held_ms", heartbeat.grant_age_ms},
            {"quiet", heartbeat.pauses_renewal},
            {"own_ms", heartbeat.last_renewal_age_ms}};
}

std::optional<Heartbeat> parse_heartbeat(const Json& value) {
    auto zone = wire::text(value, "zone");
    auto fencing_token = wire::count(value, "token"), timestamp_ms = wire::count(value, "stamp"),
         held = wire::count(value, "held_ms"), own = wire::count(value, "own_ms");
    auto pauses_renewal = wire::flag(value, "quiet");
    if (!zone || !fencing_token || !timestamp_ms || !held || !own || !pauses_renewal) return std::nullopt;
    return Heartbeat{*zone, *fencing_token, *timestamp_ms, *held, *pauses_renewal, *own};
}

// ---- a node --------------------------------------------------------------------------------------------

void LeaseRenewer::granted(TimePoint sent, TimePoint received, RenewalGrant grant) {
    // Answers may overtake one another; an older one tells nothing new.
    if (contact_ && sent <= *contact_) return;
    contact_ = sent;
    received_ = received;
    grant_ = std::move(grant);
    grant_is_remote_ = true;
}

void LeaseRenewer::leads(TimePoint now, RenewalGrant grant) {
    contact_ = received_ = now;
    grant_ = std::move(grant);
    grant_is_remote_ = false;
}

Heartbeat LeaseRenewer::heartbeat(TimePoint now) {
    Heartbeat out;
    out.zone = zone_;
    if (contact_ && grant_is_remote_) {
        out.fencing_token = grant_.fencing_token;
        out.timestamp_ms = grant_.timestamp_ms;
        out.grant_age_ms = whole_ms(now - received_);
    }
    out.last_renewal_age_ms = whole_ms(now - last_renewal_);
    if (contact_ && now - *contact_ < std::chrono::milliseconds(2000)) {
        out.pauses_renewal = true;
        renewal_paused_until_ = std::max(renewal_paused_until_, now + longer(renewal_pause));
    }
    return out;
}

bool LeaseRenewer::may_renew(const std::string& machine, TimePoint now) const {
    return contact_ && now < *contact_ + renewal_period_ && !grant_.grants_nothing &&
           !grant_.excluded_machines.contains(machine);
}

bool LeaseRenewer::may_renew_cut_off(const wire::WorkerHeartbeat& heartbeat, TimePoint now, bool cut_off) {
    if (!cut_off || heartbeat.zone != zone_ || !may_renew(heartbeat.machine, now)) return false;
    // A worker that knows a higher token would drop the answer and stay here while its lease runs out.
    if (heartbeat.fencing_token > grant_.fencing_token || now < renewal_paused_until_) return false;
    last_renewal_ = now;
    return true;
}

// ---- the leader ----------------------------------------------------------------------------------------

RenewalBound::RenewalBound(const std::set<std::string>& nodes, Clock::duration period, TimePoint acquired,
                           std::uint64_t fencing_token)
    : renewal_period_(period), acquired_(acquired), first_fencing_token_(fencing_token) {
    // Whatever a predecessor granted was granted before this leader's time.
    for (auto& name : nodes) nodes_[name].grants_end = acquired + longer(period);
}

std::uint64_t RenewalBound::timestamp_ms(TimePoint now) const {
    return whole_ms(now - acquired_) + 1;
}

void RenewalBound::heard(const std::string& node, const Heartbeat& heartbeat, TimePoint now, bool granted) {
    auto it = nodes_.find(node);
    if (it == nodes_.end()) return;
    Node& n = it->second;
    n.zone = heartbeat.zone;
    // The heartbeat may have been held for minutes: it was sent after the stamp that it brings back was
    // given, and no later than now. It speaks for what is between only as far as both hold.
    n.last_renewal = std::max(n.last_renewal, now - shorter(ms(heartbeat.last_renewal_age_ms)));
    // Tokens only grow: a lower one is of an earlier term, and so is its stamp.
    if (heartbeat.pauses_renewal && heartbeat.timestamp_ms > 0 &&
        heartbeat.fencing_token >= first_fencing_token_) {
        auto sent = acquired_ + ms(heartbeat.timestamp_ms - 1) + shorter(ms(heartbeat.grant_age_ms));
        if (sent <= now)
            n.renewal_paused_until = std::max(n.renewal_paused_until, sent + shorter(renewal_pause));
    }
    if (granted) n.grants_end = std::max(n.grants_end, now + longer(renewal_period_));
}

TimePoint RenewalBound::latest_renewal(const std::string& zone, TimePoint now) const {
    TimePoint last{};
    if (renewal_period_ <= Clock::duration::zero()) return last;
    for (auto& [name, n] : nodes_) {
        if (n.zone && !zone.empty() && *n.zone != zone) continue;
        last = std::max(last, std::min(now, n.last_renewal));
        if (now > n.renewal_paused_until) last = std::max(last, std::min(now, n.grants_end));
    }
    return last;
}

}  // namespace barrowrun::leases
