#include "fleet/cloud_client.hpp"

namespace barrowrun::fleet {
using net::http::verb;
using namespace std::chrono_literals;

Task<> CloudClient::wait_for_rate_budget() {
    auto wait = budget_.reserve(Clock::now(), 1);
    if (wait > Clock::duration::zero()) co_await net::sleep_for(wait);
}

Task<net::Reply> CloudClient::call(verb method, std::string target, std::optional<wire::Json> body,
                                   Clock::duration deadline, bool budget_reserved) {
    if (!budget_reserved) co_await wait_for_rate_budget();
    auto reply =
        co_await client_.call(address_, method, std::move(target), std::move(body), deadline, 4 << 20);
    // A 503 with "no capacity" is an answer of a working cloud; a 503 with "trouble" is not.
    bool answered =
        reply.status != 0 && (reply.status != 503 || wire::text(reply.body, "error") != "trouble");
    if (auto line = outage_log_.note(answered, Clock::now())) spdlog::warn("{}", *line);
    co_return reply;
}

Task<> CloudClient::check_reachability() {
    const bool reached = co_await client_.reaches(address_, 800ms);
    if (auto line = outage_log_.note(reached, Clock::now())) spdlog::warn("{}", *line);
}

Task<std::optional<std::vector<wire::MachineType>>> CloudClient::types() {
    auto reply = co_await call(verb::get, "/flavors", std::nullopt, 3s);
    if (reply.status != 200) co_return std::nullopt;
    co_return wire::parse_types(reply.body);
}

Task<std::optional<wire::MachineList>> CloudClient::list() {
    wire::MachineList all;
    std::string after;
    for (;;) {
        auto reply = co_await call(verb::get, wire::list_target(after, 500), std::nullopt, 3s);
        if (reply.status != 200) co_return std::nullopt;
        auto page = wire::parse_machine_list(reply.body);
        if (!page) co_return std::nullopt;
        for (auto& m : page->machines) all.machines.push_back(std::move(m));
        if (!page->more || page->machines.empty()) co_return all;
        after = all.machines.back().name;
    }
}

Task<ProvisioningResult> CloudClient::provision(std::string request, std::string type, std::string zone,
                                                bool spot, int n) {
    auto body = wire::provisioning_request_json(request, type, zone, spot, n);
    auto reply = co_await call(verb::post, "/rentals", std::move(body), 4s, true);
    ProvisioningResult out;
    if (reply.status == 200) {
        auto names = wire::parse_machine_names(reply.body);
        if (!names) co_return out;
        out.outcome = ProvisioningOutcome::granted;
        out.machines = std::move(*names);
    } else if (reply.status == 503 && wire::text(reply.body, "error") == "no capacity") {
        out.outcome = ProvisioningOutcome::no_capacity;
    } else if (reply.status == 400) {
        out.outcome = ProvisioningOutcome::refused;
    }
    co_return out;
}

Task<bool> CloudClient::return_machines(std::vector<std::string> names) {
    auto body = wire::return_request_json(names);
    auto reply = co_await call(verb::post, "/rentals/return", std::move(body), 5s);
    co_return reply.status == 200;
}

}  // namespace barrowrun::fleet
