#include "lab/site.hpp"

#include <signal.h>

#include <filesystem>
#include <sstream>

#include "depot/files.hpp"
#include "proc/spawn.hpp"

namespace barrowrun::lab {
using namespace std::chrono_literals;
using net::Response;
using net::http::verb;
using wire::Json;

Site::Site(net::asio::io_context& io, SiteSettings settings)
    : io_(io), settings_(std::move(settings)), control_(io, 100), client_(io) {
    settings_.dir = std::filesystem::absolute(settings_.dir).lexically_normal().string();
    for (auto* d : {"logs", "machines", "depot"})
        std::filesystem::create_directories(settings_.dir + "/" + d);
}

std::string Site::reachable_address(const std::vector<std::string>& names, const std::string& to,
                                    bool between_zones) {
    if (!settings_.relays && !between_zones) return to;
    auto relay_address = free_address();
    auto relay = std::make_shared<Relay>(io_, relay_address, to);
    relay->start();
    for (auto& name : names) relays_.emplace(name, relay);
    return relay_address;
}

std::string Site::address_between_zones(const std::string& name, const std::string& from,
                                        const std::string& to_zone, const std::string& to) {
    if (from == to_zone) return reachable_address({name}, to, false);
    return reachable_address({name, "zone:" + from, "zone:" + to_zone}, to, true);
}

std::map<std::string, std::string> Site::environment() const {
    std::string site;
    for (auto& n : nodes_) site += (site.empty() ? "" : ",") + n;
    return {{"BARROWRUN_SITE", site},
            {"BARROWRUN_DEPOT", depot()},
            {"BARROWRUN_TEAM", settings_.team},
            {"BARROWRUN_LAB", control_.address()}};
}

void Site::write_controller(int i) {
    const auto name = "barrow-" + std::to_string(i);
    const bool several = settings_.zones.size() > 1;
    const auto& zone = zone_of(i);
    Json members = Json::array();
    for (int k = 0; k < settings_.controllers; ++k) {
        if (k == i) continue;
        auto other = "barrow-" + std::to_string(k);
        members.push_back(
            {{"node_name", other},
             {"area", zone_of(k)},
             {"addr", address_between_zones(other, zone, zone_of(k),
                                            internal_addresses_[static_cast<std::size_t>(k)])}});
    }
    Json teams = Json::array();
    auto add_team = [&](const std::string& text) {
        // NAME[:CPUS[:CPUS_MAX]]
        std::stringstream parts(text);
        std::string team, cpus, most;
        std::getline(parts, team, ':');
        std::getline(parts, cpus, ':');
        std::getline(parts, most);
        auto amount = [&](const std::string& x) {
            char* end = nullptr;
            double v = x.empty() ? 0.0 : std::strtod(x.c_str(), &end);
            if (team.empty() || v < 0 || (end && *end))
                throw std::runtime_error("'" + text + "': expected NAME[:CPUS[:CPUS_MAX]]");
            return v;
        };
        teams.push_back({{"name", team},
                         {"cpus", amount(cpus)},
                         {"gpus", 0.0},
                         {"cpus_max", amount(most)},
                         {"gpus_max", 0.0}});
    };
    add_team(settings_.team);
    for (auto& t : settings_.teams) add_team(t);
    Json s{{"node_name", name},
           {"area", zone},
           {"serve_on", public_addresses_[static_cast<std::size_t>(i)]},
           {"internal_addr", internal_addresses_[static_cast<std::size_t>(i)]},
           {"members", members},
           {"external",
            {{"cloud", reachable_address({"cloud", "zone:" + zone}, cloud_, several)},
             {"state", reachable_address({"state:" + name, "zone:" + zone}, state_, several)}}},
           {"deployment",
            {{"size", settings_.controllers},
             {"zones", settings_.zones},
             {"teams", std::move(teams)},
             {"objectives", Json::array()},
             {"workers",
              {{"report_s", settings_.heartbeat_s},
               {"lease_s", settings_.lease_s},
               {"gang_wait_s", 10.0},
               {"gang_peer_s", 2.0},
               {"cancel_s", 2 * settings_.lease_s}}},
             {"state", {{"rps", 4000.0}, {"write_rps", 2000.0}, {"value_kb", 32.0}, {"txn_ops", 32}}},
             {"cloud", {{"rps", 20.0}, {"list_lag_s", 1.0}}},
             {"quota", {{"cores", 1.0}, {"ram_mb", 256.0}, {"max_sockets", 2000}}},
             {"clock_error_ms", 5.0}}}};
    depot::write_whole(settings_.dir + "/" + name + ".json", s.dump(2));
}

void Site::allocate_addresses() {
    if (!internal_addresses_.empty()) return;
    for (int i = 0; i < settings_.controllers; ++i) {
        public_addresses_.push_back(free_address());
        internal_addresses_.push_back(free_address());
    }
}

void Site::add_neighbour(const std::string& name, const std::vector<std::string>& nodes) {
    Json addresses = Json::array();
    for (auto& node : nodes) addresses.push_back(reachable_address({"cell:" + name}, node, true));
    neighbours_[name] = {{"nodes", std::move(addresses)}};
}

void Site::start() {
    allocate_addresses();
    control_.listen("127.0.0.1:0");
    state_ = free_address();
    cloud_ = free_address();
    for (int i = 0; i < settings_.controllers; ++i) {
        nodes_.push_back(reachable_address({"barrow-" + std::to_string(i), "zone:" + zone_of(i)},
                                           public_addresses_[static_cast<std::size_t>(i)],
                                           settings_.zones.size() > 1));
    }
    Json operator_settings{{"idle_return_s", 3600},
                           {"leader_hold_ms", static_cast<int>(settings_.leader_hold_s * 1000)},
                           {"promise_ms", 1000}};
    if (!neighbours_.empty()) {
        // The first cell is the home cell of the team; the others run tasks that do not fit there.
        Json others = Json::array();
        std::string home = settings_.cell;
        for (auto& [name, n] : neighbours_.items()) home = std::min(home, name);
        for (auto& [name, n] : neighbours_.items())
            if (name != home) others.push_back(name);
        if (settings_.cell != home) others.push_back(settings_.cell);
        operator_settings["cells"] = {{"self", settings_.cell},
                                      {"neighbours", neighbours_},
                                      {"teams", {{settings_.team, {{"home", home}, {"run_in", others}}}}},
                                      {"spill_after_s", settings_.spill_after_s}};
        if (settings_.return_after_s > 0)
            operator_settings["cells"]["return_after_s"] = {{"batch", settings_.return_after_s}};
    }
    if (!settings_.operator_file.empty()) {
        auto text = depot::read_all(settings_.operator_file);
        auto more = Json::parse(text.value_or(""), nullptr, false);
        if (!more.is_object())
            throw std::runtime_error(settings_.operator_file + ": expected a file with a JSON object");
        operator_settings.update(more);
    }
    depot::write_whole(settings_.dir + "/operator.json", operator_settings.dump(2));
    write_cloud();
    const auto logs = settings_.dir + "/logs/";
    const auto lab = settings_.programs + "/barrowrun-lab";
    processes_["state"] = {
        {{lab, "state", "--listen", state_, "--file", settings_.dir + "/state.db"}, logs + "state", {}, true},
        nullptr,
        settings_.state_restart_delay};
    processes_["cloud"] = {{{lab, "cloud", "--listen", cloud_, "--dir", settings_.dir + "/machines",
                             "--config", settings_.dir + "/cloud.json"},
                            logs + "cloud",
                            {},
                            true},
                           nullptr,
                           1s};
    for (int i = 0; i < settings_.controllers; ++i) {
        auto name = "barrow-" + std::to_string(i);
        write_controller(i);
        processes_[name] = {
            {{settings_.programs + "/barrowrun", "--operator", settings_.dir + "/operator.json", "--config",
              settings_.dir + "/" + name + ".json"},
             logs + name,
             {},
             true},
            nullptr,
            settings_.controller_restart_delay};
    }
    for (auto& [name, process] : processes_) {
        process.child = std::make_shared<Child>(io_, process.command);
        net::asio::co_spawn(io_, supervise(name), net::asio::detached);
    }
    net::asio::co_spawn(io_, control_.serve([this](net::Request r) { return route(std::move(r)); }),
                        net::asio::detached);
    Json site_info{
        {"control", control_.address()}, {"nodes", nodes_}, {"depot", depot()}, {"pid", ::getpid()}};
    depot::write_whole(settings_.dir + "/site.json", site_info.dump(2));
}

void Site::write_cloud() {
    // The controller addresses for the workers of each zone.
    Json zones = Json::object();
    for (auto& zone : settings_.zones) {
        Json& seen = zones[zone] = Json::object();
        for (int i = 0; i < settings_.controllers; ++i) {
            const auto index = static_cast<std::size_t>(i);
            const auto name = "barrow-" + std::to_string(i);
            if (settings_.zones.size() == 1)
                seen[name] = nodes_[index];
            else
                seen[name] = address_between_zones(name, zone, zone_of(i), public_addresses_[index]);
        }
    }
    Json cloud{{"types",
                {{{"name", "box"},
                  {"cpus", settings_.cpus},
                  {"gpus", settings_.gpus},
                  {"mem_gb", settings_.mem_gb},
                  {"price", 1.0},
                  {"zones", settings_.zones},
                  {"boot_s", 0.2}}}},
               {"machines", settings_.machines},
               {"warm", settings_.machines},
               {"rps", 20},
               {"list_lag_s", 1.0},
               {"worker", settings_.programs + "/barrowrun-worker"},
               {"zones", zones},
               {"worker_settings",
                {{"depot", depot()},
                 {"report_s", settings_.heartbeat_s},
                 {"lease_s", settings_.lease_s},
                 {"gang_wait_s", 10.0},
                 {"gang_peer_s", 2.0}}}};
    depot::write_whole(settings_.dir + "/cloud.json", cloud.dump(2));
}

Task<> Site::supervise(std::string name) {
    auto& process = processes_.at(name);
    for (;;) {
        auto child = process.child;
        auto status = co_await child->wait();
        if (stopping_) co_return;
        spdlog::info("process {}: exited with status {}; restarting it", name, status);
        co_await net::sleep_for(process.restart_delay);
        if (stopping_) co_return;
        process.child = std::make_shared<Child>(io_, process.command);
    }
}

void Site::stop() {
    stopping_ = true;
    for (auto& [name, process] : processes_) process.child->signal(SIGKILL);
    std::error_code ec;
    for (auto& e : std::filesystem::directory_iterator(settings_.dir + "/machines", ec))
        if (e.is_directory()) proc::end_marked(e.path().string());
    std::filesystem::remove(settings_.dir + "/site.json", ec);
}

Task<bool> Site::ready(Clock::duration timeout) {
    const auto end = Clock::now() + timeout;
    // A job that nobody submitted is unknown once the state service has said so; a submission that is not one
    // is refused only by a node that looks at it.
    while (Clock::now() < end) {
        std::size_t ready_nodes = 0;
        for (auto& node : nodes_) {
            auto reply = co_await client_.call(node, verb::get, "/submissions/wk-0", std::nullopt, 2s);
            ready_nodes += reply.status == 404;
        }
        auto catalog = co_await client_.call(state_, verb::get, "/kv/catalog", std::nullopt, 1s);
        const auto current_leader = co_await leader();
        if (ready_nodes == nodes_.size() && catalog.status == 200 && !current_leader.empty()) co_return true;
        co_await net::sleep_for(50ms);
    }
    co_return false;
}

Task<std::string> Site::leader() {
    auto reply = co_await client_.call(state_, verb::get, "/kv/leader", std::nullopt, 1s);
    const Json* value = reply.status == 200 ? wire::find(reply.body, "value") : nullptr;
    co_return value ? wire::text(*value, "node").value_or("") : "";
}

Task<> Site::resume_later(std::string name, Clock::duration after) {
    auto child = processes_.at(name).child;
    co_await net::sleep_for(after);
    child->signal(SIGCONT);
}

Task<Response> Site::route(net::Request request) {
    auto body = wire::decode(request.body);
    if (request.target == "/fault" && body) co_return co_await inject_fault(std::move(*body));
    co_return Response{404, {{"error", "no such path"}}};
}

Task<Response> Site::inject_fault(Json body) {
    auto kind = wire::text(body, "kind").value_or("");
    auto what = wire::text(body, "what").value_or("");
    auto duration = secs(wire::amount(body, "for_s").value_or(10));
    if (what == "leader") {
        what = co_await leader();
        if (what.empty()) co_return Response{404, {{"error", "nobody leads"}}};
    }
    if (what == "any") {
        std::vector<std::string> all{"machine", "worker"};
        for (auto& [name, process] : processes_)
            if (name != "cloud") all.push_back(name);
        what = all[random_() % all.size()];
    }
    body["what"] = what;
    // Pooled connections may lead to processes that have been killed meanwhile.
    client_.forget(state_);
    client_.forget(cloud_);
    if (what.starts_with("machine") || what.starts_with("worker")) {
        auto reply = co_await client_.call(cloud_, verb::post, "/lab/machine", body, 5s);
        co_return Response{reply.status ? reply.status : 503, std::move(reply.body)};
    }
    auto it = processes_.find(what);
    if (kind == "kill" || kind == "hang") {
        if (it == processes_.end()) co_return Response{404, {{"error", "there is no " + what}}};
        it->second.child->signal(kind == "kill" ? SIGKILL : SIGSTOP);
        if (kind == "hang") net::asio::co_spawn(io_, resume_later(what, duration), net::asio::detached);
        co_return Response{200, {{"what", what}}};
    }
    if (kind != "cut" && kind != "slow" && kind != "refuse")
        co_return Response{400, {{"error", "expected kill, cut, hang, slow or refuse"}}};
    if (what == "state" || what == "cloud") {
        // The fault applies to all users of the service: the service itself does not answer, refuses or
        // answers late.
        Json ask{{"kind", kind}, {"for_s", Seconds(duration).count()}};
        auto reply = co_await client_.call(what == "state" ? state_ : cloud_, verb::post, "/lab/fault",
                                           std::move(ask), 2s);
        co_return Response{reply.status ? reply.status : 503, {{"what", what}}};
    }
    auto [first, last] = relays_.equal_range(what);
    if (first == last || kind == "refuse") {
        std::string why = settings_.relays || settings_.zones.size() > 1 || !neighbours_.empty()
                              ? "there is no way to " + what
                              : "ways can be cut only with --relays, or between several zones";
        co_return Response{400, {{"error", why}}};
    }
    for (auto r = first; r != last; ++r) {
        if (kind == "cut")
            r->second->cut(Clock::now() + duration);
        else
            r->second->slow(Clock::now() + duration);
    }
    if (what.starts_with("zone:")) {
        // The relays to the machines of the zone are in the process of the simulated cloud.
        auto reply = co_await client_.call(cloud_, verb::post, "/lab/zone", body, 5s);
        if (reply.status != 200) co_return Response{503, {{"error", "the cloud stand-in does not answer"}}};
    }
    co_return Response{200, {{"what", what}}};
}

}  // namespace barrowrun::lab
