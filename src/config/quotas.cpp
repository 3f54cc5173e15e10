#include "config/quotas.hpp"

#include "config/quotas_schema.hpp"

namespace barrowrun::config {

quota::Change read_quotas_text(const std::string& text) {
    auto document = parse_checked(text, quotas_schema);
    quota::Change out;
    for (auto& node : document.at("nodes")) {
        auto line = quota::parse_line(node);
        if (!line) throw ConfigError("nodes[" + std::to_string(out.set.size()) + "]: expected a node");
        out.set.push_back(std::move(*line));
    }
    if (document.contains("shrink_s")) out.shrink_s = document["shrink_s"].get<double>();
    return out;
}

quota::Change read_quotas(const nlohmann::json& document) {
    return read_quotas_text(document.dump());
}

}  // namespace barrowrun::config
