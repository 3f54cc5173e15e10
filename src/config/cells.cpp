#include "config/cells.hpp"

#include "config/cells_schema.hpp"

namespace barrowrun::config {

cells::Settings parse_cells(const nlohmann::json& document, const std::set<std::string>& limited_teams) {
    const auto settings = parse_validated(document.dump(), cells_schema);
    cells::Settings result;
    result.self = settings.at("self");
    std::set<std::string> known_cells{result.self};
    for (auto& [name, neighbour] : settings.at("neighbours").items()) {
        if (name == result.self)
            throw ConfigError("neighbours." + name + ": expected another cell than `self`");
        known_cells.insert(name);
        result.peer_cells.push_back({name, neighbour.at("nodes").get<std::vector<std::string>>()});
    }
    for (auto& [team, team_settings] : settings.at("teams").items()) {
        cells::TeamRule rule;
        rule.home = team_settings.at("home");
        if (!known_cells.contains(rule.home))
            throw ConfigError("teams." + team + ".home: expected `self` or one of the neighbours, not '" +
                              rule.home + "'");
        if (team_settings.contains("run_in"))
            for (auto& cell : team_settings["run_in"]) {
                if (!known_cells.contains(cell.get<std::string>()) || cell == rule.home)
                    throw ConfigError("teams." + team + ".run_in: expected other cells than its home, not '" +
                                      cell.get<std::string>() + "'");
                rule.run_in.insert(cell.get<std::string>());
            }
        // A limit has to hold across all cells, and cells cannot share one yet: a team with a limit stays in
        // its home cell.
        if (!rule.run_in.empty() && limited_teams.contains(team))
            throw ConfigError(
                "teams." + team +
                ".run_in: expected none, since the team has a limit, which holds in one cell only");
        result.teams[team] = std::move(rule);
    }
    if (settings.contains("spill_after_s"))
        result.offload_after = secs(settings["spill_after_s"].get<double>());
    if (settings.contains("return_after_s"))
        for (auto& [job_class, delay_s] : settings["return_after_s"].items())
            result.return_after[job_class] =
                std::chrono::duration_cast<std::chrono::milliseconds>(secs(delay_s.get<double>()));
    return result;
}

}  // namespace barrowrun::config
