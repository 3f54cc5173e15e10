#include "settings/settings.hpp"

#include <cmath>
#include <fstream>
#include <sstream>

#include "net/http_client.hpp"

namespace barrowrun::settings {
namespace {

using wire::Json;

const Json& member(const Json& map, const std::string& path, const char* key) {
    const Json* v = wire::find(map, key);
    if (!v) throw SettingsError("missing field: " + path + key);
    return *v;
}

std::string text(const Json& map, const std::string& path, const char* key) {
    const Json& v = member(map, path, key);
    if (!v.is_string() || v.get_ref<const std::string&>().empty())
        throw SettingsError("field must be a text: " + path + key);
    return v.get<std::string>();
}

std::string address(const Json& map, const std::string& path, const char* key) {
    auto v = text(map, path, key);
    if (!net::parse_endpoint(v)) throw SettingsError("field must be an IP address and a port: " + path + key);
    return v;
}

double positive(const Json& map, const std::string& path, const char* key) {
    member(map, path, key);
    auto v = wire::amount(map, key);
    if (!v || *v <= 0) throw SettingsError("field must be a positive number: " + path + key);
    return *v;
}

double not_negative(const Json& map, const std::string& path, const char* key) {
    if (!wire::find(map, key)) return 0;
    auto v = wire::amount(map, key);
    if (!v || *v < 0) throw SettingsError("field must be a number, not negative: " + path + key);
    return *v;
}

const Json& object(const Json& map, const std::string& path, const char* key) {
    const Json& v = member(map, path, key);
    if (!v.is_object()) throw SettingsError("field must be an object: " + path + key);
    return v;
}

}  // namespace

Settings parse_settings(const std::string& source) {
    Json root = Json::parse(source, nullptr, false);
    if (root.is_discarded()) throw SettingsError("the settings are not JSON");
    if (!root.is_object()) throw SettingsError("the settings are not a JSON object");
    Settings s;
    s.node_name = text(root, "", "node_name");
    s.zone = wire::text(root, "area").value_or("");
    s.listen_address = address(root, "", "serve_on");
    s.peer_listen_address = address(root, "", "internal_addr");
    const Json& members = member(root, "", "members");
    if (!members.is_array()) throw SettingsError("field must be a list: members");
    for (std::size_t i = 0; i < members.size(); ++i) {
        std::string path = "members[" + std::to_string(i) + "].";
        if (!members[i].is_object())
            throw SettingsError("field must be an object: members[" + std::to_string(i) + "]");
        s.members.push_back({text(members[i], path, "node_name"), address(members[i], path, "addr")});
    }
    const Json& external = object(root, "", "external");
    s.cloud_address = address(external, "external.", "cloud");
    s.state_service_address = address(external, "external.", "state");
    const Json& d = object(root, "", "deployment");
    const Json& teams = member(d, "deployment.", "teams");
    if (!teams.is_array()) throw SettingsError("field must be a list: deployment.teams");
    for (std::size_t i = 0; i < teams.size(); ++i) {
        std::string path = "deployment.teams[" + std::to_string(i) + "].";
        auto name = text(teams[i], path, "name");
        s.placement.teams[name] = {not_negative(teams[i], path, "cpus"), not_negative(teams[i], path, "gpus"),
                                   not_negative(teams[i], path, "cpus_max"),
                                   not_negative(teams[i], path, "gpus_max")};
    }
    if (const Json* list = wire::find(d, "objectives"); list && list->is_array())
        for (const Json& o : *list)
            s.placement.objectives.push_back(
                {wire::text(o, "kind").value_or(""), wire::text(o, "class").value_or(""),
                 wire::amount(o, "within_s").value_or(0), wire::amount(o, "times").value_or(1)});
    const Json& w = object(d, "deployment.", "workers");
    s.placement.heartbeat_s = positive(w, "deployment.workers.", "report_s");
    s.placement.lease_s = positive(w, "deployment.workers.", "lease_s");
    s.placement.gang_wait_s = positive(w, "deployment.workers.", "gang_wait_s");
    s.placement.gang_peer_s = positive(w, "deployment.workers.", "gang_peer_s");
    s.placement.cancel_s = positive(w, "deployment.workers.", "cancel_s");
    const Json& st = object(d, "deployment.", "state");
    s.state_requests_per_s = positive(st, "deployment.state.", "rps");
    s.state_writes_per_s = positive(st, "deployment.state.", "write_rps");
    s.placement.value_bytes = static_cast<std::size_t>(positive(st, "deployment.state.", "value_kb") * 1024);
    s.placement.txn_ops = static_cast<std::size_t>(positive(st, "deployment.state.", "txn_ops"));
    const Json& c = object(d, "deployment.", "cloud");
    s.cloud_requests_per_s = positive(c, "deployment.cloud.", "rps");
    s.list_lag_s = not_negative(c, "deployment.cloud.", "list_lag_s");
    const Json& q = object(d, "deployment.", "quota");
    s.max_connections = positive(q, "deployment.quota.", "max_sockets");
    if (wire::find(d, "clock_error_ms"))
        s.max_clock_error = std::chrono::milliseconds(
            static_cast<std::int64_t>(std::ceil(not_negative(d, "deployment.", "clock_error_ms"))));
    return s;
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
