#include "leases/leases.hpp"

#include <algorithm>

namespace barrowrun::leases {
using wire::Json;

namespace {
// A grant that would have to exclude more machines grants nothing, which bounds the size of each answer to a
// heartbeat.
constexpr std::size_t max_excluded_machines = 400;
// A node whose last contact with the leader is more recent can still reach it, and pauses its own renewals.
constexpr std::chrono::milliseconds recent_contact_window{2000};
// Total delay that is allowed for the timers of the node and the worker.
constexpr std::chrono::milliseconds timer_slack{100};
// One day. Ages received from other nodes are limited to it so that time arithmetic can't overflow.
constexpr std::uint64_t max_age_ms = 86'400'000;

std::chrono::milliseconds from_ms(std::uint64_t milliseconds) {
    return std::chrono::milliseconds(std::min(milliseconds, max_age_ms));
}

std::uint64_t to_ms(Clock::duration duration) {
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()));
}
}  // namespace

Clock::duration renewal_period(double lease_s, double cancel_s) {
    // Allows for the drift of two clocks, the node's and the worker's, and for the delay of two timers.
    auto remaining = secs(cancel_s) - upper_bound_with_drift(secs(lease_s)) - timer_slack;
    return std::max(lower_bound_with_drift(remaining), Clock::duration::zero());
}

Json to_json(const RenewalGrant& grant) {
    Json out{{"token", grant.fencing_token}, {"stamp", grant.timestamp_ms}};
    if (grant.forbids_renewals || grant.excluded_machines.size() > max_excluded_machines)
        out["but"] = true;
    else
        out["but"] = grant.excluded_machines;
    return out;
}

std::optional<RenewalGrant> parse_renewal_grant(const Json& value) {
    auto fencing_token = wire::count(value, "token"), timestamp_ms = wire::count(value, "stamp");
    const Json* exclusion = wire::find(value, "but");
    if (!fencing_token || !timestamp_ms || !exclusion) return std::nullopt;
    RenewalGrant grant{*fencing_token, *timestamp_ms, false, {}};
    if (exclusion->is_array()) {
        for (auto& name : *exclusion) {
            if (!name.is_string()) return std::nullopt;
            grant.excluded_machines.insert(name.get<std::string>());
        }
    } else {
        grant.forbids_renewals = true;
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
         grant_age = wire::count(value, "held_ms"), last_renewal_age = wire::count(value, "own_ms");
    auto pauses_renewal = wire::flag(value, "quiet");
    if (!zone || !fencing_token || !timestamp_ms || !grant_age || !last_renewal_age || !pauses_renewal)
        return std::nullopt;
    return Heartbeat{*zone, *fencing_token, *timestamp_ms, *grant_age, *pauses_renewal, *last_renewal_age};
}

// ---- node ----------------------------------------------------------------------------------------------

void LeaseRenewer::record_grant(TimePoint sent, TimePoint received, RenewalGrant grant) {
    // Answers may arrive out of order; an answer to an older heartbeat is ignored.
    if (last_contact_ && sent <= *last_contact_) return;
    last_contact_ = sent;
    grant_received_ = received;
    grant_ = std::move(grant);
    grant_is_remote_ = true;
}

void LeaseRenewer::record_own_leadership(TimePoint now, RenewalGrant grant) {
    last_contact_ = grant_received_ = now;
    grant_ = std::move(grant);
    grant_is_remote_ = false;
}

Heartbeat LeaseRenewer::heartbeat(TimePoint now) {
    Heartbeat out;
    out.zone = zone_;
    if (last_contact_ && grant_is_remote_) {
        out.fencing_token = grant_.fencing_token;
        out.timestamp_ms = grant_.timestamp_ms;
        out.grant_age_ms = to_ms(now - grant_received_);
    }
    out.last_renewal_age_ms = to_ms(now - last_renewal_);
    if (last_contact_ && now - *last_contact_ < recent_contact_window) {
        out.pauses_renewal = true;
        renewal_paused_until_ = std::max(renewal_paused_until_, now + upper_bound_with_drift(renewal_pause));
    }
    return out;
}

bool LeaseRenewer::may_renew(const std::string& machine, TimePoint now) const {
    return last_contact_ && now < *last_contact_ + renewal_period_ && !grant_.forbids_renewals &&
           !grant_.excluded_machines.contains(machine);
}

bool LeaseRenewer::may_renew_in_partition(const wire::WorkerHeartbeat& heartbeat, TimePoint now,
                                          bool partitioned) {
    if (!partitioned || heartbeat.zone != zone_ || !may_renew(heartbeat.machine, now)) return false;
    // A worker that knows a higher token would ignore the answer, and would keep sending its heartbeats to
    // this node until its lease expires.
    if (heartbeat.fencing_token > grant_.fencing_token || now < renewal_paused_until_) return false;
    last_renewal_ = now;
    return true;
}

// ---- leader --------------------------------------------------------------------------------------------

RenewalBound::RenewalBound(const std::set<std::string>& nodes, Clock::duration period, TimePoint acquired,
                           std::uint64_t fencing_token)
    : renewal_period_(period), acquired_(acquired), first_fencing_token_(fencing_token) {
    // A previous leader issued its grants before this leader's term began.
    for (auto& name : nodes) nodes_[name].grants_expiry = acquired + upper_bound_with_drift(period);
}

std::uint64_t RenewalBound::timestamp_ms(TimePoint now) const {
    return to_ms(now - acquired_) + 1;
}

void RenewalBound::record_heartbeat(const std::string& node, const Heartbeat& heartbeat, TimePoint now,
                                    bool granted) {
    auto found = nodes_.find(node);
    if (found == nodes_.end()) return;
    Node& sender = found->second;
    sender.zone = heartbeat.zone;
    // The heartbeat may have been delayed for minutes. It was sent after the timestamp that it echoes was
    // issued, and no later than now. Each of the two bounds is used where it is the safe one.
    sender.last_renewal =
        std::max(sender.last_renewal, now - lower_bound_with_drift(from_ms(heartbeat.last_renewal_age_ms)));
    // Fencing tokens only grow, so a lower token, and the timestamp with it, comes from an earlier term.
    if (heartbeat.pauses_renewal && heartbeat.timestamp_ms > 0 &&
        heartbeat.fencing_token >= first_fencing_token_) {
        auto sent = acquired_ + from_ms(heartbeat.timestamp_ms - 1) +
                    lower_bound_with_drift(from_ms(heartbeat.grant_age_ms));
        if (sent <= now)
            sender.renewal_paused_until =
                std::max(sender.renewal_paused_until, sent + lower_bound_with_drift(renewal_pause));
    }
    if (granted)
        sender.grants_expiry = std::max(sender.grants_expiry, now + upper_bound_with_drift(renewal_period_));
}

TimePoint RenewalBound::latest_possible_renewal(const std::string& zone, TimePoint now) const {
    TimePoint latest{};
    if (renewal_period_ <= Clock::duration::zero()) return latest;
    for (auto& [name, node] : nodes_) {
        if (node.zone && !zone.empty() && *node.zone != zone) continue;
        latest = std::max(latest, std::min(now, node.last_renewal));
        if (now > node.renewal_paused_until) latest = std::max(latest, std::min(now, node.grants_expiry));
    }
    return latest;
}

}  // namespace barrowrun::leases
