#pragma once
// Cells as a file gives them, checked against schema/cells.schema.json and against themselves.
#include <string>

#include "cells/settings.hpp"
#include "config/schema.hpp"

namespace barrowrun::config {

// Throws ConfigError. `limited`: teams that have a limit, which no other cell knows to keep.
cells::Settings parse_cells(const nlohmann::json& document, const std::set<std::string>& limited);

}  // namespace barrowrun::config
