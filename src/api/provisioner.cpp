// A term's part with the cloud: types, the list, rentals and returns.
#include <spdlog/spdlog.h>

#include "api/leader.hpp"

namespace barrowrun::api {
using state::Outcome;
using namespace std::chrono_literals;

Task<> Leader::refresh_machine_types() {
    std::string stored;
    for (;;) {
        auto types = co_await services_.cloud.types();
        if (!types) {
            co_await net::sleep_for(services_.catalog.empty() ? 1s : 5s);
            continue;
        }
        services_.catalog = *types;
        cluster_.set_types(*types);
        placement_signal_.wake();
        auto still = *types;
        for (auto& t : still) t.spot_price = 0;
        auto text = wire::types_json(still).dump();
        if (text != stored) {
            stored = text;
            cluster_.enqueue({state::catalog_key, wire::types_json(*types), {}});
            write_signal_.wake();
        }
        co_await net::sleep_for(30s);
    }
}

Task<> Leader::reconcile_cloud_machines() {
    for (;;) {
        auto list = co_await services_.cloud.list();
        auto now = Clock::now();
        if (list && may_act()) {
            std::vector<std::string> failed;
            for (auto& l : list->machines) {
                auto* m = cluster_.find_machine(l.name);
                if (l.state == wire::ListedMachine::State::failed) {
                    if (m && !m->returning) {
                        m->returning = true;
                        cluster_.machine_gone(l.name, "listed as failed", now);
                    }
                    failed.push_back(l.name);
                    continue;
                }
                if (!m) {
                    // Rented by a request of an earlier leader that was executed late, or returned just now.
                    if (cluster_.is_gone(l.name)) continue;
                    spdlog::info("machine {} ({}, {}) is listed and not known", l.name, l.type, l.zone);
                    m = &cluster_.add_machine(l.name, l.type, l.zone, l.spot, now);
                    m->provisioned_at = now - secs(l.age_s);
                    cluster_.mark_machine_changed(l.name);
                }
                if (m->address.empty() && !l.address.empty()) {
                    m->address = l.address;
                    cluster_.mark_machine_changed(l.name);
                }
            }
            if (!failed.empty()) spawn("return failed", deprovision(failed, false));
        }
        co_await net::sleep_for(secs(std::max(3.0, 2.5 / services_.settings.cloud_requests_per_s)));
    }
}

Task<> Leader::scaling_loop() {
    co_await net::sleep_for(1500ms);
    for (;;) {
        co_await net::sleep_for(700ms);
        // Requests that the cloud's rate holds back, or that have no answer, are not heaped up.
        auto most_open = static_cast<std::size_t>(std::max(3.0, services_.settings.cloud_requests_per_s));
        if (!may_act() || open_requests_.size() >= most_open) continue;
        std::vector<autoscaler::MachineOrder> coming;
        for (auto& [request, h] : open_requests_) coming.push_back({{h.type, h.zone, h.spot}, h.count});
        auto plan = autoscaler_.plan(cluster_, Clock::now(), coming);
        std::vector<std::string> idle;
        for (auto& name : plan.scale_in) {
            auto* m = cluster_.find_machine(name);
            if (!m || m->returning || m->live() > 0) continue;
            m->returning = true;
            idle.push_back(name);
        }
        if (!idle.empty()) {
            spdlog::info("{} idle machines are returned, {} first", idle.size(), idle.front());
            spawn("return idle", deprovision(idle, false));
        }
        if (auto* m = cluster_.find_machine(plan.drain)) {
            spdlog::info("machine {} is emptied: its {} replicas have room elsewhere", m->name, m->live());
            m->draining = true;
        }
        for (auto& order : plan.scale_out) {
            if (open_requests_.size() >= most_open) break;
            std::string request =
                "r-" + std::to_string(cluster_.fencing_token()) + "-" + std::to_string(++requests_made_);
            state::ProvisioningRecord record{order.offer.type, order.offer.zone, order.offer.spot,
                                             order.count};
            open_requests_[request] = record;
            // The request is on record before it is sent, so that a successor repeats it rather than forget
            // it.
            auto self = shared_from_this();
            cluster_.enqueue(
                {state::provisioning_key(request), state::to_json(record), [self, request, record] {
                     if (!self->stopped_)
                         self->spawn("rent " + request, self->provision(request, record, false));
                 }});
        }
        write_signal_.wake();
    }
}

Task<> Leader::provision(std::string request, state::ProvisioningRecord record, bool asked) {
    autoscaler::Offer offer{record.type, record.zone, record.spot};
    for (;;) {
        co_await services_.cloud.wait_for_rate_budget();
        if (!may_act()) {
            co_await net::sleep_for(300ms);
            continue;
        }
        // Another request has shown meanwhile that there is none: a call that can do more is let through
        // instead. Only a request that was never sent may be dropped.
        if (!asked && autoscaler_.refuses(offer, Clock::now())) break;
        asked = true;
        auto sent = Clock::now();
        auto result =
            co_await services_.cloud.provision(request, record.type, record.zone, record.spot, record.count);
        if (result.outcome == fleet::ProvisioningOutcome::granted) {
            spdlog::info("rented {} of {} {} in {}{} ({})", result.machines.size(), record.count, record.type,
                         record.zone, record.spot ? ", spot" : "", request);
            for (auto& name : result.machines) {
                if (cluster_.is_gone(name))
                    continue;  // the answer to a repeat, which names what it named before
                auto& m = cluster_.add_machine(name, record.type, record.zone, record.spot, sent);
                m.provisioned_at = sent;
                cluster_.mark_machine_changed(name);
            }
            if (static_cast<int>(result.machines.size()) < record.count)
                autoscaler_.refused(offer, Clock::now());
            else
                autoscaler_.granted(offer);
            break;
        }
        if (result.outcome == fleet::ProvisioningOutcome::no_capacity ||
            result.outcome == fleet::ProvisioningOutcome::refused) {
            spdlog::info("no {} to be had in {}{} ({})", record.type, record.zone,
                         record.spot ? ", spot" : "", request);
            autoscaler_.refused(offer, Clock::now());
            break;
        }
        co_await net::sleep_for(1s);  // no answer: the same request again, under the same name
    }
    open_requests_.erase(request);
    cluster_.enqueue({state::provisioning_key(request), std::nullopt, {}});
    write_signal_.wake();
}

Task<> Leader::deprovision(std::vector<std::string> names, bool proof) {
    while (!names.empty()) {
        std::vector<std::string> part(
            names.begin(), names.begin() + static_cast<long>(std::min<std::size_t>(100, names.size())));
        if (may_act() && co_await services_.cloud.return_machines(part)) {
            for (auto& name : part) {
                cluster_.machine_gone(name, proof ? "returned, to prove it empty" : "returned", Clock::now());
            }
            names.erase(names.begin(), names.begin() + static_cast<long>(part.size()));
            placement_signal_.wake();
            write_signal_.wake();
            continue;
        }
        co_await net::sleep_for(1s);
    }
}

}  // namespace barrowrun::api
