#include "config/schema.hpp"

#include <algorithm>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace barrowrun::config {
namespace {

using Json = nlohmann::json;

struct SchemaViolation {
    std::size_t depth = 0;  // of the location in the document; the root has depth 1
    std::string path;       // for example <root>[quotas][nodes]
    std::string reason = "does not match the schema";
};

// Returns the violation at the deepest location: those above only say that something below is invalid.
SchemaViolation deepest_violation(valijson::ValidationResults& results) {
    SchemaViolation deepest;
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
        const auto depth = error.context.size();
        if (depth < deepest.depth || (depth == deepest.depth && depth > 0)) continue;
        deepest.depth = depth;
        deepest.path.clear();
        for (auto& part : error.context) deepest.path += part;
        deepest.reason = error.description;
    }
    return deepest;
}

// Returns the schema of a violated property of the root as " expected {...}"; for other locations, nothing.
std::string expectation(const Json& schema, const SchemaViolation& violation) {
    constexpr std::size_t depth_of_properties = 2;
    if (violation.depth != depth_of_properties) return "";
    auto name = violation.path.substr(violation.path.find('[') + 1);
    name.resize(std::min(name.size(), name.find(']')));
    const auto properties = schema.find("properties");
    if (properties == schema.end() || !properties->contains(name)) return "";
    auto expected = (*properties)[name];
    expected.erase("description");
    return " expected " + expected.dump();
}

}  // namespace

nlohmann::json parse_validated(const std::string& text, const std::string& schema) {
    Json document = Json::parse(text, nullptr, false);
    if (document.is_discarded()) throw ConfigError("not JSON");
    const Json schema_document = Json::parse(schema);
    valijson::Schema parsed_schema;
    valijson::SchemaParser parser;
    valijson::adapters::NlohmannJsonAdapter schema_adapter(schema_document), document_adapter(document);
    parser.populateSchema(schema_adapter, parsed_schema);
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (validator.validate(parsed_schema, document_adapter, &results)) return document;
    const auto violation = deepest_violation(results);
    throw ConfigError(violation.path + ": " + violation.reason + expectation(schema_document, violation));
}

}  // namespace barrowrun::config
