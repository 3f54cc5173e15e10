#include "config/cells.hpp"
#include "config/quotas.hpp"
#include "config/schema.hpp"
#include "settings/operator_schema.hpp"
#include "settings/settings.hpp"

namespace barrowrun::settings {

void apply_operator_settings(Settings& settings, const std::string& text) {
    wire::Json operator_settings;
    try {
        operator_settings = config::parse_validated(text, operator_schema);
    } catch (const config::ConfigError& e) {
        throw SettingsError(std::string(e.what()) == "not JSON" ? "the operator settings are not JSON"
                                                                : e.what());
    }
    if (auto v = wire::count(operator_settings, "queue_bound")) settings.placement.queue_bound = *v;
    if (auto v = wire::count(operator_settings, "leader_hold_ms"))
        settings.leader_lease = std::chrono::milliseconds(*v);
    if (auto v = wire::count(operator_settings, "promise_ms"))
        settings.lease_vote = std::chrono::milliseconds(*v);
    if (auto v = wire::amount(operator_settings, "idle_return_s")) settings.placement.idle_return_s = *v;
    if (auto v = wire::flag(operator_settings, "keep_leases")) settings.renews_leases = *v;
    if (auto v = wire::count(operator_settings, "headroom_min"))
        settings.placement.headroom_min = static_cast<std::uint32_t>(*v);
    if (const auto* quotas = wire::find(operator_settings, "quotas")) {
        quota::Change quota_change;
        try {
            quota_change = config::parse_quotas(*quotas);
        } catch (const config::ConfigError& e) {
            throw SettingsError(std::string("quotas: ") + e.what());
        }
        auto built =
            quota::Tree::build(quota_change.set_entries, placement::quota_teams(settings.placement.teams));
        if (!built.tree) throw SettingsError("quotas: " + built.errors.front().str());
        settings.placement.quotas = std::move(quota_change.set_entries);
        settings.placement.over_limit_grace_s =
            quota_change.over_limit_grace_s.value_or(settings.placement.over_limit_grace_s);
    }
    if (const auto* cells = wire::find(operator_settings, "cells")) {
        std::set<std::string> limited_teams;
        for (auto& [name, limits] : settings.placement.teams)
            if (limits.cpus_max > 0 || limits.gpus_max > 0) limited_teams.insert(name);
        if (settings.placement.quotas)
            for (auto& entry : *settings.placement.quotas) limited_teams.insert(entry.team);
        try {
            settings.cells = config::parse_cells(*cells, limited_teams);
        } catch (const config::ConfigError& e) {
            throw SettingsError(std::string("cells: ") + e.what());
        }
    }
    settings.operator_key = wire::text(operator_settings, "operator_key").value_or("");
    if (auto v = wire::count(operator_settings, "headroom_max"))
        settings.placement.headroom_max = static_cast<std::uint32_t>(*v);
}

}  // namespace barrowrun::settings
