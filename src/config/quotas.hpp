#pragma once
// Quotas as a file gives them, checked against schema/quotas.schema.json. What the nodes say of one another
// is checked by quota::Tree::build.
#include <string>

#include "config/schema.hpp"
#include "quota/versions.hpp"

namespace barrowrun::config {

// The lines, and `over_limit_grace_s` where it is said, as a change of nothing. Throws ConfigError.
quota::Change parse_quotas(const nlohmann::json& document);
quota::Change parse_quotas_text(const std::string& text);

}  // namespace barrowrun::config
