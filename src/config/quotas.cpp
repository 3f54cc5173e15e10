#include "config/quotas.hpp"

#include "config/quotas_schema.hpp"

namespace barrowrun::config {

quota::Change parse_quotas_text(const std::string& text) {
    const auto document = parse_validated(text, quotas_schema);
    quota::Change change;
    for (auto& node : document.at("nodes")) {
        auto entry = quota::parse_quota_entry(node);
        if (!entry)
            throw ConfigError("nodes[" + std::to_string(change.set_entries.size()) + "]: expected a node");
        change.set_entries.push_back(std::move(*entry));
    }
    if (document.contains("shrink_s")) change.over_limit_grace_s = document["shrink_s"].get<double>();
    return change;
}

quota::Change parse_quotas(const nlohmann::json& document) {
    return parse_quotas_text(document.dump());
}

}  // namespace barrowrun::config
