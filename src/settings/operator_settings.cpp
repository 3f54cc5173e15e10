#include "config/cells.hpp"
#include "config/quotas.hpp"
#include "config/schema.hpp"
#include "settings/operator_schema.hpp"
#include "settings/settings.hpp"

namespace barrowrun::settings {

void apply_operator_settings(Settings& s, const std::string& text) {
    wire::Json given;
    try {
        given = config::parse_validated(text, operator_schema);
    } catch (const config::ConfigError& e) {
        throw SettingsError(std::string(e.what()) == "not JSON" ? "the operator settings are not JSON"
                                                                : e.what());
    }
    if (auto v = wire::count(given, "queue_bound")) s.placement.queue_bound = *v;
    if (auto v = wire::count(given, "leader_hold_ms")) s.leader_lease = std::chrono::milliseconds(*v);
    if (auto v = wire::count(given, "promise_ms")) s.lease_vote = std::chrono::milliseconds(*v);
    if (auto v = wire::amount(given, "idle_return_s")) s.placement.idle_return_s = *v;
    if (auto v = wire::flag(given, "keep_leases")) s.renews_leases = *v;
    if (auto v = wire::count(given, "headroom_min"))
        s.placement.headroom_min = static_cast<std::uint32_t>(*v);
    if (const auto* q = wire::find(given, "quotas")) {
        quota::Change file;
        try {
            file = config::parse_quotas(*q);
        } catch (const config::ConfigError& e) {
            throw SettingsError(std::string("quotas: ") + e.what());
        }
        auto built = quota::Tree::build(file.set_entries, placement::quota_teams(s.placement.teams));
        if (!built.tree) throw SettingsError("quotas: " + built.errors.front().str());
        s.placement.quotas = std::move(file.set_entries);
        s.placement.over_limit_grace_s = file.over_limit_grace_s.value_or(s.placement.over_limit_grace_s);
    }
    if (const auto* c = wire::find(given, "cells")) {
        std::set<std::string> limited;
        for (auto& [name, t] : s.placement.teams)
            if (t.cpus_max > 0 || t.gpus_max > 0) limited.insert(name);
        if (s.placement.quotas)
            for (auto& line : *s.placement.quotas) limited.insert(line.team);
        try {
            s.cells = config::parse_cells(*c, limited);
        } catch (const config::ConfigError& e) {
            throw SettingsError(std::string("cells: ") + e.what());
        }
    }
    s.operator_key = wire::text(given, "operator_key").value_or("");
    if (auto v = wire::count(given, "headroom_max"))
        s.placement.headroom_max = static_cast<std::uint32_t>(*v);
}

}  // namespace barrowrun::settings
