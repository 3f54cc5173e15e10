#pragma once
// Parses the settings of cells, and checks them against schema/cells.schema.json and for consistency.
#include <string>

#include "cells/settings.hpp"
#include "config/schema.hpp"

namespace barrowrun::config {

// Throws ConfigError. `limited_teams`: teams with a limit, which other cells cannot enforce.
cells::Settings parse_cells(const nlohmann::json& document, const std::set<std::string>& limited_teams);

}  // namespace barrowrun::config
