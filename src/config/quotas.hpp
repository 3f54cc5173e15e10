#pragma once
// Quotas as a file gives them, checked against schema/quotas.schema.json. What the nodes say of one another
// is checked by quota::Tree::build.
#include <string>

#include "config/schema.hpp"
#include "quota/book.hpp"

namespace barrowrun::config {

// The lines, and `shrink_s` where it is said, as a change of nothing. Throws ConfigError.
quota::Change read_quotas(const nlohmann::json& document);
quota::Change read_quotas_text(const std::string& text);

}  // namespace barrowrun::config
