#pragma once
// Validates settings files against their JSON schema before they are used.
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace barrowrun::config {

// The message is one line that names the location in the document and the value expected there.
struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Returns the parsed document. Throws ConfigError if it is not JSON or does not match the schema.
nlohmann::json parse_validated(const std::string& text, const std::string& schema);

}  // namespace barrowrun::config
