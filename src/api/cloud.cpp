// A term's part with the cloud: types, the list, rentals and returns.
#include <spdlog/spdlog.h>

#include "api/leader.hpp"

namespace barrowrun::api {
using state::Outcome;
using namespace std::chrono_literals;

Task<> Leader::cloud_types() {
    std::string stored;
    for (;;) {
        auto types = co_await services_.cloud.types();
        if (!types) {
            co_await net::sleep_for(services_.catalog.empty() ? 1s : 5s);
            continue;
        }
        services_.catalog = *types;
        cluster_.set_types(*types);
        place_wake_.wake();
        auto still = *types;
        for (auto& t : still) t.spot_price = 0;
        auto text = wire::types_json(still).dump();
        if (text != stored) {
            stored = text;
            cluster_.enqueue({state::catalog_key, wire::types_json(*types), {}});
            write_wake_.wake();
        }
        co_await net::sleep_for(30s);
    }
}

Task<> Leader::cloud_list() {
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
                    m->rented = now - secs(l.age_s);
                    cluster_.mark_machine_dirty(l.name);
                }
                if (m->address.empty() && !l.address.empty()) {
                    m->address = l.address;
                    cluster_.mark_machine_dirty(l.name);
                }
            }
            if (!failed.empty()) spawn("return failed", give_back(failed, false));
        }
        co_await net::sleep_for(secs(std::max(3.0, 2.5 / services_.settings.cloud_rps)));
    }
}

Task<> Leader::cloud_rent() {
    co_await net::sleep_for(1500ms);
    for (;;) {
        co_await net::sleep_for(700ms);
        // Requests that the cloud's rate holds back, or that have no answer, are not heaped up.
        auto most_open = static_cast<std::size_t>(std::max(3.0, services_.settings.cloud_rps));
        if (!may_act() || open_hires_.size() >= most_open) continue;
        std::vector<renting::Order> coming;
        for (auto& [request, h] : open_hires_) coming.push_back({{h.type, h.zone, h.spot}, h.count});
        auto plan = renting_.plan(cluster_, Clock::now(), coming);
        std::vector<std::string> idle;
        for (auto& name : plan.give_back) {
            auto* m = cluster_.find_machine(name);
            if (!m || m->returning || m->live() > 0) continue;
            m->returning = true;
            idle.push_back(name);
        }
        if (!idle.empty()) {
            spdlog::info("{} idle machines are returned, {} first", idle.size(), idle.front());
            spawn("return idle", give_back(idle, false));
        }
        if (auto* m = cluster_.find_machine(plan.empty)) {
            spdlog::info("machine {} is emptied: its {} replicas have room elsewhere", m->name, m->live());
            m->drain = true;
        }
        for (auto& order : plan.rent) {
            if (open_hires_.size() >= most_open) break;
            std::string request =
                "r-" + std::to_string(cluster_.fencing_token()) + "-" + std::to_string(++hires_);
            state::HireRecord hire{order.offer.type, order.offer.zone, order.offer.spot, order.count};
            open_hires_[request] = hire;
            // The request is on record before it is sent, so that a successor repeats it rather than forget
            // it.
            auto self = shared_from_this();
            cluster_.enqueue({state::hire_key(request), state::to_json(hire), [self, request, hire] {
                                  if (!self->stopped_)
                                      self->spawn("rent " + request, self->rent_one(request, hire, false));
                              }});
        }
        write_wake_.wake();
    }
}

Task<> Leader::rent_one(std::string request, state::HireRecord hire, bool asked) {
    renting::Offer offer{hire.type, hire.zone, hire.spot};
    for (;;) {
        co_await services_.cloud.turn();
        if (!may_act()) {
            co_await net::sleep_for(300ms);
            continue;
        }
        // Another request has shown meanwhile that there is none: a call that can do more is let through
        // instead. Only a request that was never sent may be dropped.
        if (!asked && renting_.refuses(offer, Clock::now())) break;
        asked = true;
        auto sent = Clock::now();
        auto result = co_await services_.cloud.rent(request, hire.type, hire.zone, hire.spot, hire.count);
        if (result.outcome == fleet::RentOutcome::granted) {
            spdlog::info("rented {} of {} {} in {}{} ({})", result.machines.size(), hire.count, hire.type,
                         hire.zone, hire.spot ? ", spot" : "", request);
            for (auto& name : result.machines) {
                if (cluster_.is_gone(name))
                    continue;  // the answer to a repeat, which names what it named before
                auto& m = cluster_.add_machine(name, hire.type, hire.zone, hire.spot, sent);
                m.rented = sent;
                cluster_.mark_machine_dirty(name);
            }
            if (static_cast<int>(result.machines.size()) < hire.count)
                renting_.refused(offer, Clock::now());
            else
                renting_.granted(offer);
            break;
        }
        if (result.outcome == fleet::RentOutcome::no_capacity ||
            result.outcome == fleet::RentOutcome::refused) {
            spdlog::info("no {} to be had in {}{} ({})", hire.type, hire.zone, hire.spot ? ", spot" : "",
                         request);
            renting_.refused(offer, Clock::now());
            break;
        }
        co_await net::sleep_for(1s);  // no answer: the same request again, under the same name
    }
    open_hires_.erase(request);
    cluster_.enqueue({state::hire_key(request), std::nullopt, {}});
    write_wake_.wake();
}

Task<> Leader::give_back(std::vector<std::string> names, bool proof) {
    while (!names.empty()) {
        std::vector<std::string> part(
            names.begin(), names.begin() + static_cast<long>(std::min<std::size_t>(100, names.size())));
        if (may_act() && co_await services_.cloud.give_back(part)) {
            for (auto& name : part) {
                cluster_.machine_gone(name, proof ? "returned, to prove it empty" : "returned", Clock::now());
            }
            names.erase(names.begin(), names.begin() + static_cast<long>(part.size()));
            place_wake_.wake();
            write_wake_.wake();
            continue;
        }
        co_await net::sleep_for(1s);
    }
}

}  // namespace barrowrun::api
