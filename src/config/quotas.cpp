#include "config/quotas.hpp"

#include "config/quotas_schema.hpp"

namespace barrowrun::config {

quota::Change parse_quotas_text(const std::string& text) {
    auto document = parse_validated(text, quotas_schema);
    quota::Change out;
    for (auto& node : document.at("nodes")) {
        auto line = quota::parse_quota_entry(node);
        if (!line)
            throw ConfigError("nodes[" + std::to_string(out.set_entries.size()) + "]: expected a node");
        out.set_entries.push_back(std::move(*line));
    }
    if (document.contains("shrink_s")) out.over_limit_grace_s = document["shrink_s"].get<double>();
    return out;
}

quota::Change parse_quotas(const nlohmann::json& document) {
    return parse_quotas_text(document.dump());
}

}  // namespace barrowrun::config
