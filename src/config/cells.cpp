#include "config/cells.hpp"

#include "config/cells_schema.hpp"

namespace barrowrun::config {

cells::Settings parse_cells(const nlohmann::json& document, const std::set<std::string>& limited) {
    const auto j = parse_validated(document.dump(), cells_schema);
    cells::Settings out;
    out.self = j.at("self");
    std::set<std::string> known{out.self};
    for (auto& [name, n] : j.at("neighbours").items()) {
        if (name == out.self) throw ConfigError("neighbours." + name + ": expected another cell than `self`");
        known.insert(name);
        out.peer_cells.push_back({name, n.at("nodes").get<std::vector<std::string>>()});
    }
    for (auto& [team, t] : j.at("teams").items()) {
        cells::TeamRule rule;
        rule.home = t.at("home");
        if (!known.contains(rule.home))
            throw ConfigError("teams." + team + ".home: expected `self` or one of the neighbours, not '" +
                              rule.home + "'");
        if (t.contains("run_in"))
            for (auto& cell : t["run_in"]) {
                if (!known.contains(cell.get<std::string>()) || cell == rule.home)
                    throw ConfigError("teams." + team + ".run_in: expected other cells than its home, not '" +
                                      cell.get<std::string>() + "'");
                rule.run_in.insert(cell.get<std::string>());
            }
        // A limit holds over all cells or not at all: until it can be shared out, limited teams stay at home.
        if (!rule.run_in.empty() && limited.contains(team))
            throw ConfigError(
                "teams." + team +
                ".run_in: expected none, since the team has a limit, which holds in one cell only");
        out.teams[team] = std::move(rule);
    }
    if (j.contains("spill_after_s")) out.offload_after = secs(j["spill_after_s"].get<double>());
    if (j.contains("return_after_s"))
        for (auto& [job_class, s] : j["return_after_s"].items())
            out.return_after[job_class] =
                std::chrono::duration_cast<std::chrono::milliseconds>(secs(s.get<double>()));
    return out;
}

}  // namespace barrowrun::config
