#pragma once
// Files of settings are checked against their schema before anything in them is used.
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace barrowrun::config {

// One line that names the place and what is expected there.
struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The document if it is JSON and matches the schema; otherwise throws ConfigError.
nlohmann::json parse_validated(const std::string& text, const std::string& schema);

}  // namespace barrowrun::config
