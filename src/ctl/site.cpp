#include "ctl/site.hpp"

#include <cstdio>
#include <cstdlib>

#include "config/schema.hpp"
#include "ctl/client_schema.hpp"

namespace barrowrun::ctl {
namespace {

std::string from_environment(const char* name) {
    const char* v = std::getenv(name);
    return v ? v : "";
}

}  // namespace

SiteAccess find_site(const Options& o, bool needs_depot) {
    std::string nodes = o.nodes.empty() ? from_environment("BARROWRUN_SITE") : o.nodes;
    SiteAccess s;
    s.depot = o.depot.empty() ? from_environment("BARROWRUN_DEPOT") : o.depot;
    s.team = o.team.empty() ? from_environment("BARROWRUN_TEAM") : o.team;
    auto file = o.client_file.empty() ? from_environment("BARROWRUN_CLIENT") : o.client_file;
    if (file.empty() && nodes.empty()) {
        auto home = from_environment("HOME");
        auto usual = home + "/.config/barrowrun/client.json";
        if (!home.empty() && std::filesystem::exists(usual)) file = usual;
    }
    if (!file.empty()) {
        auto text = depot::read_all(file);
        if (!text) throw Usage(file + ": the file cannot be read");
        nlohmann::json j;
        try {
            j = config::parse_validated(*text, client_schema);
        } catch (const config::ConfigError& e) {
            throw Usage(file + ": " + e.what());
        }
        if (nodes.empty())
            for (auto& n : j.at("nodes")) nodes += (nodes.empty() ? "" : ",") + n.get<std::string>();
        if (s.depot.empty()) s.depot = j.value("depot", "");
        if (s.team.empty()) s.team = j.value("team", "");
    }
    if (nodes.empty())
        throw Usage(
            "no site is named: set BARROWRUN_SITE to its nodes (127.0.0.1:8080,...), or give --site or "
            "--client");
    try {
        s.nodes = client::parse_nodes(nodes);
    } catch (const std::runtime_error& e) {
        throw Usage("BARROWRUN_SITE: " + std::string(e.what()));
    }
    if (needs_depot && s.depot.empty())
        throw Usage(
            "no depot is named: set BARROWRUN_DEPOT to the directory shared with the workers, or give "
            "--depot");
    if (needs_depot && s.team.empty()) throw Usage("no team is named: set BARROWRUN_TEAM, or give --team");
    return s;
}

void print(const nlohmann::json& line) {
    std::puts(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).c_str());
    std::fflush(stdout);
}

}  // namespace barrowrun::ctl
