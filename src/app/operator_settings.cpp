#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "app/operator_schema.hpp"
#include "app/settings.hpp"

namespace barrowrun::app {

void apply_operator_settings(Settings& s, const std::string& text) {
    using wire::Json;
    Json given = Json::parse(text, nullptr, false);
    if (given.is_discarded()) throw SettingsError("the operator settings are not JSON");
    Json schema_json = Json::parse(operator_schema);
    valijson::Schema schema;
    valijson::SchemaParser parser;
    valijson::adapters::NlohmannJsonAdapter schema_adapter(schema_json), given_adapter(given);
    parser.populateSchema(schema_adapter, schema);
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (!validator.validate(schema, given_adapter, &results)) {
        std::string path, why = "does not match the schema";
        valijson::ValidationResults::Error error;
        // The last error is the innermost.
        while (results.popError(error)) {
            path.clear();
            for (auto& part : error.context) path += part;
            why = error.description;
        }
        throw SettingsError(path + ": " + why);
    }
    if (auto v = wire::count(given, "queue_bound")) s.rules.queue_bound = *v;
    if (auto v = wire::count(given, "leader_hold_ms")) s.leader_hold = std::chrono::milliseconds(*v);
    if (auto v = wire::count(given, "promise_ms")) s.promise = std::chrono::milliseconds(*v);
    if (auto v = wire::amount(given, "idle_return_s")) s.rules.idle_return_s = *v;
    if (auto v = wire::count(given, "headroom_min")) s.rules.headroom_min = static_cast<std::uint32_t>(*v);
    if (auto v = wire::count(given, "headroom_max")) s.rules.headroom_max = static_cast<std::uint32_t>(*v);
}

}  // namespace barrowrun::app
