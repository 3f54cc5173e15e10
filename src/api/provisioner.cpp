#include "api/provisioner.hpp"

#include <spdlog/spdlog.h>

#include "wire/numbers.hpp"

namespace barrowrun::api {
using net::Task;
using state::Outcome;
using namespace std::chrono_literals;

namespace {
// Types and prices change rarely. Without any machine types no task can be placed, so the first request is
// retried sooner.
constexpr std::chrono::seconds types_interval{30}, types_retry{5}, first_types_retry{1};
// The machine list takes at most one in `requests_per_list` of the requests that the cloud's rate limit
// allows, and is read at most once per `min_list_interval_s`.
constexpr double min_list_interval_s = 3.0, requests_per_list = 2.5;
// A new leader receives heartbeats of its machines before it first scales out or in.
constexpr std::chrono::milliseconds first_scaling_delay{1500}, scaling_interval{700};
constexpr double min_open_requests = 3.0;
constexpr std::chrono::milliseconds not_leading_pause{300};
constexpr std::chrono::seconds no_answer_pause{1};
constexpr std::size_t max_returned_at_once = 100;  // machines per request
}  // namespace

void Provisioner::recover_request(std::string request, state::ProvisioningRecord record) {
    open_requests_[std::move(request)] = std::move(record);
}

void Provisioner::start() {
    host_.spawn("machine type refresh", refresh_machine_types());
    host_.spawn("machine list refresh", reconcile_machines());
    host_.spawn("scaling loop", scaling_loop());
    for (auto& [request, record] : open_requests_)
        host_.spawn("provisioning request " + request, provision(request, record, Attempt::repeat));
}

// Suspends only between requests to the cloud. The machine types are replaced as a whole.
Task<> Provisioner::refresh_machine_types() {
    std::string recorded;
    for (;;) {
        auto types = co_await services_.cloud.types();
        if (!types) {
            co_await net::sleep_for(services_.catalog.empty() ? first_types_retry : types_retry);
            continue;
        }
        services_.catalog = *types;
        host_.cluster.set_types(*types);
        host_.wake_placement();
        // Spot prices change all the time; a change of spot prices alone is not recorded.
        auto without_spot_prices = *types;
        for (auto& type : without_spot_prices) type.spot_price = 0;
        auto text = wire::types_json(without_spot_prices).dump();
        if (text != recorded) {
            recorded = text;
            host_.cluster.enqueue({state::catalog_key, wire::types_json(*types), {}});
            host_.wake_writes();
        }
        co_await net::sleep_for(types_interval);
    }
}

// ---- machines that the cloud lists ---------------------------------------------------------------------

Task<> Provisioner::reconcile_machines() {
    for (;;) {
        auto list = co_await services_.cloud.list();
        auto now = Clock::now();
        if (list && host_.may_act()) {
            std::vector<std::string> failed;
            for (auto& listed : list->machines) reconcile(listed, now, failed);
            if (!failed.empty())
                return_machines("return of failed machines to the cloud", std::move(failed),
                                ReturnReason::not_needed);
        }
        const auto rate = services_.settings.cloud_requests_per_s;
        co_await net::sleep_for(secs(std::max(min_list_interval_s, requests_per_list / rate)));
    }
}

void Provisioner::reconcile(const Listed& listed, TimePoint now, std::vector<std::string>& failed) {
    auto& cluster = host_.cluster;
    auto* machine = cluster.find_machine(listed.name);
    if (listed.state == Listed::State::failed) {
        if (machine && !machine->returning) {
            machine->returning = true;
            cluster.remove_machine(listed.name, "listed as failed", now);
        }
        failed.push_back(listed.name);
        return;
    }
    if (!machine) {
        // The machine was provisioned late by a request of an earlier leader, or it was just returned.
        if (cluster.is_removed(listed.name)) return;
        spdlog::info("machine {}: listed by the cloud but unknown, added with type {} in zone {}",
                     listed.name, listed.type, listed.zone);
        machine = &cluster.add_machine(listed.name, listed.type, listed.zone, listed.spot, now);
        machine->provisioned_at = now - secs(listed.age_s);
        cluster.mark_machine_changed(listed.name);
    }
    if (machine->address.empty() && !listed.address.empty()) {
        machine->address = listed.address;
        cluster.mark_machine_changed(listed.name);
    }
}

// ---- scale out and in ----------------------------------------------------------------------------------

// Bounds the requests that wait for the cloud's rate limit or for a response.
std::size_t Provisioner::max_open_requests() const {
    return wire::to_integer_saturated<std::size_t>(
        std::max(min_open_requests, services_.settings.cloud_requests_per_s));
}

Task<> Provisioner::scaling_loop() {
    co_await net::sleep_for(first_scaling_delay);
    for (;;) {
        co_await net::sleep_for(scaling_interval);
        if (host_.may_act() && open_requests_.size() < max_open_requests()) scale(Clock::now());
    }
}

void Provisioner::scale(TimePoint now) {
    std::vector<autoscaler::MachineOrder> pending;
    for (auto& [request, record] : open_requests_)
        pending.push_back({{record.type, record.zone, record.spot}, record.count});
    auto plan = autoscaler_.plan(host_.cluster, now, pending);
    return_idle(plan.scale_in);
    if (auto* machine = host_.cluster.find_machine(plan.drain)) {
        spdlog::info("machine {}: draining, its {} replicas fit on other machines", machine->name,
                     machine->live());
        machine->draining = true;
    }
    for (auto& order : plan.scale_out) {
        if (open_requests_.size() >= max_open_requests()) break;
        request_machines(order);
    }
    host_.wake_writes();
}

void Provisioner::return_idle(const std::vector<std::string>& machines) {
    std::vector<std::string> idle;
    for (auto& name : machines) {
        auto* machine = host_.cluster.find_machine(name);
        if (!machine || machine->returning || machine->live() > 0) continue;
        machine->returning = true;
        idle.push_back(name);
    }
    if (idle.empty()) return;
    spdlog::info("scale in: returning {} idle machines, the first is {}", idle.size(), idle.front());
    return_machines("return of idle machines to the cloud", std::move(idle), ReturnReason::not_needed);
}

void Provisioner::request_machines(const autoscaler::MachineOrder& order) {
    std::string request =
        "r-" + std::to_string(host_.cluster.fencing_token()) + "-" + std::to_string(++requests_made_);
    state::ProvisioningRecord record{order.offer.type, order.offer.zone, order.offer.spot, order.count};
    open_requests_[request] = record;
    auto send = [this, request, record] {
        if (!host_.stopped())
            host_.spawn("provisioning request " + request, provision(request, record, Attempt::first));
    };
    host_.cluster.enqueue({state::provisioning_key(request), state::to_json(record), std::move(send)});
}

// Ends once the cloud has answered. While the request waits for the rate limit or for a response, leadership
// may be lost and regained, and other requests may show that no such machines are available.
Task<> Provisioner::provision(std::string request, state::ProvisioningRecord record, Attempt attempt) {
    const autoscaler::Offer offer{record.type, record.zone, record.spot};
    const char* spot = record.spot ? ", spot" : "";
    for (;;) {
        co_await services_.cloud.wait_for_rate_budget();
        if (!host_.may_act()) {
            co_await net::sleep_for(not_leading_pause);
            continue;
        }
        // If another request has shown that no such machine is available, the rate budget is left to other
        // requests. Only a request that was never sent may be dropped.
        if (attempt == Attempt::first && autoscaler_.is_backing_off(offer, Clock::now())) break;
        attempt = Attempt::repeat;
        auto sent = Clock::now();
        auto result =
            co_await services_.cloud.provision(request, record.type, record.zone, record.spot, record.count);
        if (result.outcome == fleet::ProvisioningOutcome::granted) {
            spdlog::info("provisioning request {}: granted {} of {} machines of type {} in zone {}{}",
                         request, result.machines.size(), record.count, record.type, record.zone, spot);
            add_machines(result.machines, record, sent);
            if (static_cast<int>(result.machines.size()) < record.count)
                autoscaler_.on_order_refused(offer, Clock::now());
            else
                autoscaler_.on_order_granted(offer);
            break;
        }
        if (result.outcome == fleet::ProvisioningOutcome::no_capacity ||
            result.outcome == fleet::ProvisioningOutcome::refused) {
            spdlog::info("provisioning request {}: no machine of type {} available in zone {}{}", request,
                         record.type, record.zone, spot);
            autoscaler_.on_order_refused(offer, Clock::now());
            break;
        }
        co_await net::sleep_for(no_answer_pause);  // then the request is repeated under the same name
    }
    close_request(request);
}

void Provisioner::add_machines(const std::vector<std::string>& names, const state::ProvisioningRecord& record,
                               TimePoint sent) {
    for (auto& name : names) {
        // The response to a repeated request lists the same machines again, even those that are gone by now.
        if (host_.cluster.is_removed(name)) continue;
        auto& machine = host_.cluster.add_machine(name, record.type, record.zone, record.spot, sent);
        machine.provisioned_at = sent;
        host_.cluster.mark_machine_changed(name);
    }
}

void Provisioner::close_request(const std::string& request) {
    open_requests_.erase(request);
    host_.cluster.enqueue({state::provisioning_key(request), std::nullopt, {}});
    host_.wake_writes();
}

void Provisioner::return_machines(std::string name, std::vector<std::string> machines, ReturnReason reason) {
    host_.spawn(std::move(name), deprovision(std::move(machines), reason));
}

// Returns the machines in batches. Machines that the cloud has taken back are proven gone; a request without
// a response is repeated.
Task<> Provisioner::deprovision(std::vector<std::string> machines, ReturnReason reason) {
    const char* proof =
        reason == ReturnReason::prove_empty ? "returned to prove that it runs no task" : "returned";
    while (!machines.empty()) {
        const auto count = static_cast<long>(std::min(max_returned_at_once, machines.size()));
        std::vector<std::string> batch(machines.begin(), machines.begin() + count);
        bool returned = false;
        if (host_.may_act()) returned = co_await services_.cloud.return_machines(batch);
        if (!returned) {
            co_await net::sleep_for(no_answer_pause);
            continue;
        }
        for (auto& name : batch) host_.cluster.remove_machine(name, proof, Clock::now());
        machines.erase(machines.begin(), machines.begin() + count);
        host_.wake_placement();
        host_.wake_writes();
    }
}

}  // namespace barrowrun::api
