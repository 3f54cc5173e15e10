#include "settings/settings.hpp"

#include <cmath>
#include <fstream>
#include <sstream>

#include "net/http_client.hpp"
#include "wire/numbers.hpp"

namespace barrowrun::settings {
namespace {

using wire::Json;

constexpr double bytes_per_kb = 1024;

const Json& required_field(const Json& parent, const std::string& path, const char* key) {
    const Json* value = wire::find(parent, key);
    if (!value) throw SettingsError("missing field: " + path + key);
    return *value;
}

std::string required_text(const Json& parent, const std::string& path, const char* key) {
    const Json& value = required_field(parent, path, key);
    if (!value.is_string() || value.get_ref<const std::string&>().empty())
        throw SettingsError("field must be a text: " + path + key);
    return value.get<std::string>();
}

std::string required_address(const Json& parent, const std::string& path, const char* key) {
    auto value = required_text(parent, path, key);
    if (!net::parse_endpoint(value))
        throw SettingsError("field must be an IP address and a port: " + path + key);
    return value;
}

double required_positive(const Json& parent, const std::string& path, const char* key) {
    required_field(parent, path, key);
    auto value = wire::amount(parent, key);
    if (!value || *value <= 0) throw SettingsError("field must be a positive number: " + path + key);
    return *value;
}

double optional_non_negative(const Json& parent, const std::string& path, const char* key) {
    if (!wire::find(parent, key)) return 0;
    auto value = wire::amount(parent, key);
    if (!value || *value < 0) throw SettingsError("field must be a number, not negative: " + path + key);
    return *value;
}

// The value as an integer of the type, which must be able to hold it.
template <class Integer>
Integer whole(double value, const std::string& path, const char* key) {
    auto integer = wire::to_integer<Integer>(value);
    if (!integer) throw SettingsError("field is too large: " + path + key);
    return *integer;
}

const Json& required_object(const Json& parent, const std::string& path, const char* key) {
    const Json& value = required_field(parent, path, key);
    if (!value.is_object()) throw SettingsError("field must be an object: " + path + key);
    return value;
}

}  // namespace

Settings parse_settings(const std::string& source) {
    Json root = Json::parse(source, nullptr, false);
    if (root.is_discarded()) throw SettingsError("the settings are not JSON");
    if (!root.is_object()) throw SettingsError("the settings are not a JSON object");
    Settings settings;
    settings.node_name = required_text(root, "", "node_name");
    settings.zone = wire::text(root, "area").value_or("");
    settings.listen_address = required_address(root, "", "serve_on");
    settings.peer_listen_address = required_address(root, "", "internal_addr");
    const Json& members = required_field(root, "", "members");
    if (!members.is_array()) throw SettingsError("field must be a list: members");
    for (std::size_t i = 0; i < members.size(); ++i) {
        std::string path = "members[" + std::to_string(i) + "].";
        if (!members[i].is_object())
            throw SettingsError("field must be an object: members[" + std::to_string(i) + "]");
        settings.members.push_back(
            {required_text(members[i], path, "node_name"), required_address(members[i], path, "addr")});
    }
    const Json& external = required_object(root, "", "external");
    settings.cloud_address = required_address(external, "external.", "cloud");
    settings.state_service_address = required_address(external, "external.", "state");
    const Json& deployment = required_object(root, "", "deployment");
    const Json& teams = required_field(deployment, "deployment.", "teams");
    if (!teams.is_array()) throw SettingsError("field must be a list: deployment.teams");
    for (std::size_t i = 0; i < teams.size(); ++i) {
        std::string path = "deployment.teams[" + std::to_string(i) + "].";
        auto name = required_text(teams[i], path, "name");
        settings.placement.teams[name] = {optional_non_negative(teams[i], path, "cpus"),
                                          optional_non_negative(teams[i], path, "gpus"),
                                          optional_non_negative(teams[i], path, "cpus_max"),
                                          optional_non_negative(teams[i], path, "gpus_max")};
    }
    if (const Json* list = wire::find(deployment, "objectives"); list && list->is_array())
        for (const Json& objective : *list)
            settings.placement.objectives.push_back({wire::text(objective, "kind").value_or(""),
                                                     wire::text(objective, "class").value_or(""),
                                                     wire::amount(objective, "within_s").value_or(0),
                                                     wire::amount(objective, "times").value_or(1)});
    const Json& workers = required_object(deployment, "deployment.", "workers");
    settings.placement.heartbeat_s = required_positive(workers, "deployment.workers.", "report_s");
    settings.placement.lease_s = required_positive(workers, "deployment.workers.", "lease_s");
    settings.placement.gang_wait_s = required_positive(workers, "deployment.workers.", "gang_wait_s");
    settings.placement.gang_peer_s = required_positive(workers, "deployment.workers.", "gang_peer_s");
    settings.placement.cancel_s = required_positive(workers, "deployment.workers.", "cancel_s");
    const Json& state = required_object(deployment, "deployment.", "state");
    settings.state_requests_per_s = required_positive(state, "deployment.state.", "rps");
    settings.state_writes_per_s = required_positive(state, "deployment.state.", "write_rps");
    settings.placement.value_bytes =
        whole<std::size_t>(required_positive(state, "deployment.state.", "value_kb") * bytes_per_kb,
                           "deployment.state.", "value_kb");
    settings.placement.txn_ops = whole<std::size_t>(required_positive(state, "deployment.state.", "txn_ops"),
                                                    "deployment.state.", "txn_ops");
    const Json& cloud = required_object(deployment, "deployment.", "cloud");
    settings.cloud_requests_per_s = required_positive(cloud, "deployment.cloud.", "rps");
    settings.list_lag_s = optional_non_negative(cloud, "deployment.cloud.", "list_lag_s");
    const Json& quota = required_object(deployment, "deployment.", "quota");
    settings.max_connections = required_positive(quota, "deployment.quota.", "max_sockets");
    if (wire::find(deployment, "clock_error_ms"))
        settings.max_clock_error = std::chrono::milliseconds(
            whole<std::int64_t>(std::ceil(optional_non_negative(deployment, "deployment.", "clock_error_ms")),
                                "deployment.", "clock_error_ms"));
    return settings;
}

std::string read_file(const std::string& path) {
    std::ifstream in(path);
    std::stringstream content;
    if (in) content << in.rdbuf();
    if (!in || in.bad() || content.bad()) throw SettingsError("the file cannot be read");
    return content.str();
}

Settings load_settings(const std::string& path) {
    return parse_settings(read_file(path));
}

Clock::duration Settings::lease_renewal_period() const {
    return renews_leases ? leases::renewal_period(placement.lease_s, placement.cancel_s)
                         : Clock::duration::zero();
}

std::set<std::string> Settings::member_names() const {
    std::set<std::string> out;
    for (auto& m : members) out.insert(m.name);
    return out;
}

}  // namespace barrowrun::settings
