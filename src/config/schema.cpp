#include "config/schema.hpp"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace barrowrun::config {

nlohmann::json parse_validated(const std::string& text, const std::string& schema_text) {
    using Json = nlohmann::json;
    Json given = Json::parse(text, nullptr, false);
    if (given.is_discarded()) throw ConfigError("not JSON");
    Json schema_json = Json::parse(schema_text);
    valijson::Schema schema;
    valijson::SchemaParser parser;
    valijson::adapters::NlohmannJsonAdapter schema_adapter(schema_json), given_adapter(given);
    parser.populateSchema(schema_adapter, schema);
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (validator.validate(schema, given_adapter, &results)) return given;
    std::string path, why = "does not match the schema";
    valijson::ValidationResults::Error error;
    // The one that names the deepest place says what is wrong there.
    std::size_t depth = 0;
    while (results.popError(error)) {
        if (error.context.size() < depth || (error.context.size() == depth && depth > 0)) continue;
        depth = error.context.size();
        path.clear();
        for (auto& part : error.context) path += part;
        why = error.description;
    }
    // What the schema expects there, as far as it is one property of the root.
    if (depth == 2) {
        auto name = path.substr(path.find('[') + 1);
        name = name.substr(0, name.find(']'));
        auto properties = schema_json.find("properties");
        if (properties != schema_json.end() && properties->contains(name)) {
            auto expected = (*properties)[name];
            expected.erase("description");
            why += " expected " + expected.dump();
        }
    }
    throw ConfigError(path + ": " + why);
}

}  // namespace barrowrun::config
