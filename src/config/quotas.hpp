#pragma once
// Parses quota files, checked against schema/quotas.schema.json. The relations between nodes are checked by
// quota::Tree::build.
#include <string>

#include "config/schema.hpp"
#include "quota/versions.hpp"

namespace barrowrun::config {

// Returns the entries, and `over_limit_grace_s` if the file gives it, as a change with base version 0.
// Throws ConfigError.
quota::Change parse_quotas(const nlohmann::json& document);
quota::Change parse_quotas_text(const std::string& text);

}  // namespace barrowrun::config
