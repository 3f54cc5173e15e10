#include "api/provisioner.hpp"

#include <spdlog/spdlog.h>

namespace barrowrun::api {
using net::Task;
using state::Outcome;
using namespace std::chrono_literals;

namespace {
// Types and prices change rarely; without any, nothing can be placed.
constexpr std::chrono::seconds types_interval{30}, types_retry{5}, first_types_retry{1};
// The list takes a share of the cloud's rate at most, and is read this often where that allows more.
constexpr double min_list_interval_s = 3.0, requests_per_list = 2.5;
// A new leader hears of machines first, before it decides on their number.
constexpr std::chrono::milliseconds first_scaling_delay{1500}, scaling_interval{700};
constexpr double min_open_requests = 3.0;
constexpr std::chrono::milliseconds not_leading_pause{300};
constexpr std::chrono::seconds no_answer_pause{1};
constexpr std::size_t max_returned_at_once = 100;  // of one call
}  // namespace

void Provisioner::recover_request(std::string request, state::ProvisioningRecord record) {
    open_requests_[std::move(request)] = std::move(record);
}

void Provisioner::start() {
    host_.spawn("cloud types", refresh_machine_types());
    host_.spawn("cloud list", reconcile_machines());
    host_.spawn("cloud rent", scaling_loop());
    for (auto& [request, record] : open_requests_)
        host_.spawn("rent " + request, provision(request, record, Attempt::repeat));
}

// Suspends between calls of the cloud only; the types in force are replaced as a whole.
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
        // Spot prices change all the time: a change of these alone is not recorded.
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
                return_machines("return failed", std::move(failed), ReturnReason::not_needed);
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
            cluster.machine_gone(listed.name, "listed as failed", now);
        }
        failed.push_back(listed.name);
        return;
    }
    if (!machine) {
        // Rented by a request of an earlier leader that was executed late, or returned just now.
        if (cluster.is_gone(listed.name)) return;
        spdlog::info("machine {} ({}, {}) is listed and not known", listed.name, listed.type, listed.zone);
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

// Requests that the cloud's rate holds back, or that have no answer, are not heaped up.
std::size_t Provisioner::max_open_requests() const {
    return static_cast<std::size_t>(std::max(min_open_requests, services_.settings.cloud_requests_per_s));
}

Task<> Provisioner::scaling_loop() {
    co_await net::sleep_for(first_scaling_delay);
    for (;;) {
        co_await net::sleep_for(scaling_interval);
        if (host_.may_act() && open_requests_.size() < max_open_requests()) scale(Clock::now());
    }
}

void Provisioner::scale(TimePoint now) {
    std::vector<autoscaler::MachineOrder> coming;
    for (auto& [request, record] : open_requests_)
        coming.push_back({{record.type, record.zone, record.spot}, record.count});
    auto plan = autoscaler_.plan(host_.cluster, now, coming);
    return_idle(plan.scale_in);
    if (auto* machine = host_.cluster.find_machine(plan.drain)) {
        spdlog::info("machine {} is emptied: its {} replicas have room elsewhere", machine->name,
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
    spdlog::info("{} idle machines are returned, {} first", idle.size(), idle.front());
    return_machines("return idle", std::move(idle), ReturnReason::not_needed);
}

void Provisioner::request_machines(const autoscaler::MachineOrder& order) {
    std::string request =
        "r-" + std::to_string(host_.cluster.fencing_token()) + "-" + std::to_string(++requests_made_);
    state::ProvisioningRecord record{order.offer.type, order.offer.zone, order.offer.spot, order.count};
    open_requests_[request] = record;
    auto send = [this, request, record] {
        if (!host_.stopped()) host_.spawn("rent " + request, provision(request, record, Attempt::first));
    };
    host_.cluster.enqueue({state::provisioning_key(request), state::to_json(record), std::move(send)});
}

// Ends once the cloud has answered. While it waits for its turn or for an answer, leadership may be lost and
// won again, and other requests may show that there are no such machines.
Task<> Provisioner::provision(std::string request, state::ProvisioningRecord record, Attempt attempt) {
    const autoscaler::Offer offer{record.type, record.zone, record.spot};
    const char* spot = record.spot ? ", spot" : "";
    for (;;) {
        co_await services_.cloud.wait_for_rate_budget();
        if (!host_.may_act()) {
            co_await net::sleep_for(not_leading_pause);
            continue;
        }
        // Another request has shown meanwhile that there is none: a call that can do more is let through
        // instead. Only a request that was never sent may be dropped.
        if (attempt == Attempt::first && autoscaler_.refuses(offer, Clock::now())) break;
        attempt = Attempt::repeat;
        auto sent = Clock::now();
        auto result =
            co_await services_.cloud.provision(request, record.type, record.zone, record.spot, record.count);
        if (result.outcome == fleet::ProvisioningOutcome::granted) {
            spdlog::info("rented {} of {} {} in {}{} ({})", result.machines.size(), record.count, record.type,
                         record.zone, spot, request);
            add_machines(result.machines, record, sent);
            if (static_cast<int>(result.machines.size()) < record.count)
                autoscaler_.refused(offer, Clock::now());
            else
                autoscaler_.granted(offer);
            break;
        }
        if (result.outcome == fleet::ProvisioningOutcome::no_capacity ||
            result.outcome == fleet::ProvisioningOutcome::refused) {
            spdlog::info("no {} to be had in {}{} ({})", record.type, record.zone, spot, request);
            autoscaler_.refused(offer, Clock::now());
            break;
        }
        co_await net::sleep_for(no_answer_pause);  // the same request again, under the same name
    }
    close_request(request);
}

void Provisioner::add_machines(const std::vector<std::string>& names, const state::ProvisioningRecord& record,
                               TimePoint sent) {
    for (auto& name : names) {
        // The answer to a repeat names what it named before.
        if (host_.cluster.is_gone(name)) continue;
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

// A part of the machines in each call. One that the cloud has taken back is proven gone; a call without an
// answer is repeated.
Task<> Provisioner::deprovision(std::vector<std::string> machines, ReturnReason reason) {
    const char* proof = reason == ReturnReason::prove_empty ? "returned, to prove it empty" : "returned";
    while (!machines.empty()) {
        const auto count = static_cast<long>(std::min(max_returned_at_once, machines.size()));
        std::vector<std::string> part(machines.begin(), machines.begin() + count);
        bool returned = false;
        if (host_.may_act()) returned = co_await services_.cloud.return_machines(part);
        if (!returned) {
            co_await net::sleep_for(no_answer_pause);
            continue;
        }
        for (auto& name : part) host_.cluster.machine_gone(name, proof, Clock::now());
        machines.erase(machines.begin(), machines.begin() + count);
        host_.wake_placement();
        host_.wake_writes();
    }
}

}  // namespace barrowrun::api
