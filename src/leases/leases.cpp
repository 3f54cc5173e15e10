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

Clock::duration keep_for(double lease_s, double cancel_s) {
    // Two clocks are in it, the node's and the worker's, and two timers.
    auto left = secs(cancel_s) - longer(secs(lease_s)) - std::chrono::milliseconds(100);
    auto keep = shorter(left);
    return std::max(keep, Clock::duration::zero());
}

Json to_json(const Grant& g) {
    Json out{{"token", g.token}, {"stamp", g.stamp}};
    if (g.nothing || g.but.size() > most_named)
        out["but"] = true;
    else
        out["but"] = g.but;
    return out;
}

std::optional<Grant> parse_grant(const Json& value) {
    auto token = wire::count(value, "token"), stamp = wire::count(value, "stamp");
    const Json* but = wire::find(value, "but");
    if (!token || !stamp || !but) return std::nullopt;
    Grant g{*token, *stamp, false, {}};
    if (but->is_array()) {
        for (auto& name : *but) {
            if (!name.is_string()) return std::nullopt;
            g.but.insert(name.get<std::string>());
        }
    } else {
        g.nothing = true;
    }
    return g;
}

Json to_json(const Sign& s) {
    return {{"zone", s.zone},       {"token", s.token}, {"stamp", s.stamp},
            {"held_ms", s.held_ms}, {"quiet", s.quiet}, {"own_ms", s.own_ms}};
}

std::optional<Sign> parse_sign(const Json& value) {
    auto zone = wire::text(value, "zone");
    auto token = wire::count(value, "token"), stamp = wire::count(value, "stamp"),
         held = wire::count(value, "held_ms"), own = wire::count(value, "own_ms");
    auto is_quiet = wire::flag(value, "quiet");
    if (!zone || !token || !stamp || !held || !own || !is_quiet) return std::nullopt;
    return Sign{*zone, *token, *stamp, *held, *is_quiet, *own};
}

// ---- a node --------------------------------------------------------------------------------------------

void Keeper::granted(TimePoint sent, TimePoint received, Grant grant) {
    // Answers may overtake one another; an older one tells nothing new.
    if (contact_ && sent <= *contact_) return;
    contact_ = sent;
    received_ = received;
    grant_ = std::move(grant);
    echoes_ = true;
}

void Keeper::leads(TimePoint now, Grant grant) {
    contact_ = received_ = now;
    grant_ = std::move(grant);
    echoes_ = false;
}

Sign Keeper::sign(TimePoint now) {
    Sign out;
    out.zone = zone_;
    if (contact_ && echoes_) {
        out.token = grant_.token;
        out.stamp = grant_.stamp;
        out.held_ms = whole_ms(now - received_);
    }
    out.own_ms = whole_ms(now - own_);
    if (contact_ && now - *contact_ < std::chrono::milliseconds(2000)) {
        out.quiet = true;
        quiet_until_ = std::max(quiet_until_, now + longer(quiet));
    }
    return out;
}

bool Keeper::may_renew(const std::string& machine, TimePoint now) const {
    return contact_ && now < *contact_ + keep_ && !grant_.nothing && !grant_.but.contains(machine);
}

bool Keeper::may_keep(const wire::Report& report, TimePoint now, bool cut_off) {
    if (!cut_off || report.zone != zone_ || !may_renew(report.machine, now)) return false;
    // A worker that knows a higher token would drop the answer and stay here while its lease runs out.
    if (report.token > grant_.token || now < quiet_until_) return false;
    own_ = now;
    return true;
}

// ---- the leader ----------------------------------------------------------------------------------------

Cover::Cover(const std::set<std::string>& nodes, Clock::duration keep, TimePoint acquired,
             std::uint64_t token)
    : keep_(keep), acquired_(acquired), first_token_(token) {
    // Whatever a predecessor granted was granted before this leader's time.
    for (auto& name : nodes) nodes_[name].limit = acquired + longer(keep);
}

std::uint64_t Cover::stamp(TimePoint now) const {
    return whole_ms(now - acquired_) + 1;
}

void Cover::heard(const std::string& node, const Sign& sign, TimePoint now, bool granted) {
    auto it = nodes_.find(node);
    if (it == nodes_.end()) return;
    Node& n = it->second;
    n.zone = sign.zone;
    // The sign may have been held for minutes: it was sent after the stamp that it brings back was given, and
    // no later than now. It speaks for what is between only as far as both hold.
    n.own = std::max(n.own, now - shorter(ms(sign.own_ms)));
    // Tokens only grow: a lower one is of an earlier term, and so is its stamp.
    if (sign.quiet && sign.stamp > 0 && sign.token >= first_token_) {
        auto sent = acquired_ + ms(sign.stamp - 1) + shorter(ms(sign.held_ms));
        if (sent <= now) n.quiet_until = std::max(n.quiet_until, sent + shorter(quiet));
    }
    if (granted) n.limit = std::max(n.limit, now + longer(keep_));
}

TimePoint Cover::answered(const std::string& zone, TimePoint now) const {
    TimePoint last{};
    if (keep_ <= Clock::duration::zero()) return last;
    for (auto& [name, n] : nodes_) {
        if (n.zone && !zone.empty() && *n.zone != zone) continue;
        last = std::max(last, std::min(now, n.own));
        if (now > n.quiet_until) last = std::max(last, std::min(now, n.limit));
    }
    return last;
}

}  // namespace barrowrun::leases
