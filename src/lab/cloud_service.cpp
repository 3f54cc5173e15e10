#include "lab/cloud_service.hpp"

#include <signal.h>

#include <filesystem>

#include "depot/files.hpp"
#include "proc/spawn.hpp"

namespace barrowrun::lab {
using namespace std::chrono_literals;
using net::Response;
using net::http::verb;
using wire::Json;

CloudService::CloudService(net::asio::io_context& io, CloudModel model, CloudSettings settings)
    : io_(io),
      model_(std::move(model)),
      settings_(std::move(settings)),
      server_(io, 1000, {120s, 10s, 600s, 10s}) {
    std::filesystem::create_directories(settings_.dir);
    // Machines of an earlier process count as failed, so the processes that they left running are killed.
    for (auto& e : std::filesystem::directory_iterator(settings_.dir))
        if (e.is_directory()) proc::end_marked(e.path().string());
    if (auto saved = depot::read_all(settings_.dir + "/cloud.json")) {
        model_.restore(Json::parse(*saved), Clock::now());
    }
    model_.warm(settings_.warm, Clock::now());
    persist_state();
}

void CloudService::persist_state() {
    depot::write_whole(settings_.dir + "/cloud.json", model_.save().dump());
}

void CloudService::start() {
    auto rethrow_failure = [](std::exception_ptr e) {
        if (e) std::rethrow_exception(e);
    };
    net::asio::co_spawn(io_, server_.serve([this](net::Request r) { return route(std::move(r)); }),
                        rethrow_failure);
    net::asio::co_spawn(io_, boot_loop(), rethrow_failure);
}

Task<> CloudService::boot_loop() {
    for (;;) {
        for (auto& name : model_.boots_due(Clock::now()))
            net::asio::co_spawn(io_, run_machine(name), [name](std::exception_ptr e) {
                try {
                    if (e) std::rethrow_exception(e);
                } catch (const std::exception& err) {
                    spdlog::error("machine {}: {}", name, err.what());
                }
            });
        co_await net::sleep_for(20ms);
    }
}

Task<> CloudService::run_machine(std::string name) {
    auto* machine = model_.find(name);
    auto dir = machine_dir(name);
    std::filesystem::create_directories(dir);
    Json settings = settings_.worker_settings;
    settings["name"] = name;
    settings["type"] = machine->type;
    settings["zone"] = machine->zone;
    settings["spot"] = machine->spot;
    for (auto& t : model_.types())
        if (t.name == machine->type)
            settings["cpus"] = t.cpus, settings["gpus"] = t.gpus, settings["mem_gb"] = t.mem_gb;
    settings["state_dir"] = dir;
    settings["controllers"] = settings_.zones.at(machine->zone);
    auto address = free_address();
    settings["listen"] = address;
    if (settings_.zones.size() > 1) {
        // Controllers of every zone send commands through this relay. Cutting the zone also cuts it for the
        // controllers in the same zone. That has no effect on commands, because no controller inside an
        // isolated zone can be the leader.
        auto relay_address = free_address();
        auto relay = std::make_unique<Relay>(io_, relay_address, address);
        relay->start();
        relays_by_zone_.emplace(machine->zone, std::move(relay));
        settings["announce"] = address = relay_address;
    }
    depot::write_whole(dir + "/worker.json", settings.dump(2));
    Child::Command command{{settings_.worker, "--config", dir + "/worker.json"}, dir + "/log", {}, true};
    for (;;) {
        auto& running = running_[name];
        running.child = std::make_shared<Child>(io_, command);
        auto child = running.child;
        model_.came_up(name, address, Clock::now());
        auto status = co_await child->wait();
        if (running_[name].ending) co_return;
        // A worker that exits is restarted, as the init system of a real machine would do.
        spdlog::info("machine {}: worker exited with status {}; restarting it", name, status);
        co_await net::sleep_for(300ms);
        if (running_[name].ending) co_return;
    }
}

void CloudService::kill_machine(const std::string& name) {
    auto it = running_.find(name);
    if (it == running_.end()) return;
    it->second.ending = true;
    it->second.child->signal(SIGKILL);
    proc::end_marked(machine_dir(name));
}

void CloudService::kill_all() {
    for (auto& [name, r] : running_) kill_machine(name);
}

Task<> CloudService::resume_later(std::string name, Clock::duration after) {
    co_await net::sleep_for(after);
    auto it = running_.find(name);
    if (it == running_.end() || it->second.ending) co_return;
    for (auto pid : proc::marked(machine_dir(name))) ::kill(pid, SIGCONT);
    it->second.child->signal(SIGCONT);
}

Task<> CloudService::reclaim_later(std::string name, Clock::duration after) {
    co_await net::sleep_for(after);
    kill_machine(name);
    // Recalled machines are no longer listed.
    model_.returned({name}, Clock::now());
    persist_state();
}

Response CloudService::inject_machine_fault(const Json& body) {
    auto kind = wire::text(body, "kind").value_or("");
    auto what = wire::text(body, "what").value_or("");
    auto duration_s = wire::amount(body, "for_s").value_or(10);
    bool only_worker = what.starts_with("worker");
    auto colon = what.find(':');
    auto name = colon == std::string::npos ? "" : what.substr(colon + 1);
    if (name.empty()) {
        auto alive = model_.alive();
        std::erase_if(alive, [&](auto& n) { return !running_.contains(n); });
        if (alive.empty()) return {404, {{"error", "no machine is up"}}};
        name = alive[random_() % alive.size()];
    }
    auto it = running_.find(name);
    if (it == running_.end() || it->second.ending) return {404, {{"error", "no such machine"}}};
    if (kind == "kill" && only_worker) {
        it->second.child->signal(SIGKILL);
    } else if (kind == "kill") {
        kill_machine(name);
        model_.died(name, Clock::now());
    } else if (kind == "hang") {
        // `machine` stops the worker and its tasks; `worker` stops the worker alone, while its tasks keep
        // running.
        it->second.child->signal(SIGSTOP);
        if (!only_worker)
            for (auto pid : proc::marked(machine_dir(name))) ::kill(pid, SIGSTOP);
        net::asio::co_spawn(io_, resume_later(name, secs(duration_s)), net::asio::detached);
    } else if (kind == "recall") {
        // The recall of a spot machine: the worker gets a notice, and the machine is taken when it expires.
        depot::write_whole(machine_dir(name) + "/recall", std::to_string(duration_s));
        net::asio::co_spawn(io_, reclaim_later(name, secs(duration_s)), net::asio::detached);
    } else {
        return {400, {{"error", "machines can be killed, hung or recalled"}}};
    }
    return {200, {{"what", name}}};
}

Response CloudService::inject_zone_fault(const Json& body) {
    const auto zone = wire::text(body, "what").value_or("").substr(std::string("zone:").size());
    const auto until = Clock::now() + secs(wire::amount(body, "for_s").value_or(10));
    auto [first, last] = relays_by_zone_.equal_range(zone);
    for (auto it = first; it != last; ++it) {
        if (wire::text(body, "kind") == "slow")
            it->second->slow(until);
        else
            it->second->cut(until);
    }
    return {200, {{"what", zone}}};
}

Task<Response> CloudService::route(net::Request request) {
    auto target = Target::parse(request.target);
    auto decoded = wire::decode(request.body);
    const Json body = decoded ? *decoded : Json::object();
    if (target.path == "/lab/machine") co_return inject_machine_fault(body);
    if (target.path == "/lab/zone") co_return inject_zone_fault(body);
    if (target.path == "/lab/fault") co_return faults_.set(request.body, Clock::now());
    Response error_response;
    if (!co_await faults_.apply(error_response)) co_return error_response;
    auto now = Clock::now();
    if (!model_.within_rate(now)) co_return Response{429, {{"error", "over the rate"}}};
    const bool get = request.method == verb::get, post = request.method == verb::post;
    if (get && target.path == "/flavors") co_return Response{200, wire::types_json(model_.types())};
    if (get && target.path == "/rentals")
        co_return Response{200, wire::machine_list_json(model_.list(
                                    target.text("since"), target.number("page").value_or(500), now))};
    if (post && target.path == "/rentals") {
        auto r = wire::parse_provisioning_request(body);
        if (!r || !model_.known(*r)) co_return Response{400, {{"error", "malformed"}}};
        auto names = model_.rent(*r, now);
        if (!names) co_return Response{503, {{"error", "no capacity"}}};
        persist_state();
        co_return Response{200, wire::machine_names_json(*names)};
    }
    if (post && target.path == "/rentals/return") {
        auto names = wire::parse_machine_names(body);
        if (!names || names->size() > 100) co_return Response{400, {{"error", "malformed"}}};
        // The machines are removed before the answer is sent.
        for (auto& n : *names) kill_machine(n);
        model_.returned(*names, Clock::now());
        persist_state();
        co_return Response{200, Json::object()};
    }
    co_return Response{400, {{"error", "no such request"}}};
}

}  // namespace barrowrun::lab
