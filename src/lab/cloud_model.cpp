#include "lab/cloud_model.hpp"

#include <algorithm>

namespace barrowrun::lab {

using wire::Json;

bool CloudModel::within_rate(TimePoint now) {
    const double max_tokens = 2 * limits_.rps;  // bursts of up to two seconds of the rate are allowed
    if (tokens_ < 0)
        tokens_ = max_tokens;
    else
        tokens_ = std::min(max_tokens, tokens_ + Seconds(now - tokens_updated_at_).count() * limits_.rps);
    tokens_updated_at_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
}

const wire::MachineType* CloudModel::type(const std::string& name) const {
    for (auto& t : types_)
        if (t.name == name) return &t;
    return nullptr;
}

bool CloudModel::known(const wire::ProvisioningRequest& request) const {
    auto* t = type(request.type);
    return t && std::find(t->zones.begin(), t->zones.end(), request.zone) != t->zones.end();
}

std::string CloudModel::add_machine(const std::string& type_name, const std::string& zone, bool spot,
                                    TimePoint now) {
    auto digits = std::to_string(++last_machine_number_);
    Machine m;
    m.name = "n-" + std::string(digits.size() < 6 ? 6 - digits.size() : 0, '0') + digits;
    m.type = type_name;
    m.zone = zone;
    m.spot = spot;
    m.rented = now;
    double typical_boot_s = type(type_name)->boot_s;
    m.boots = now + secs(typical_boot_s * std::uniform_real_distribution<double>(0.6, 1.5)(random_));
    auto name = m.name;
    machines_[name] = std::move(m);
    return name;
}

std::optional<std::vector<std::string>> CloudModel::rent(const wire::ProvisioningRequest& request,
                                                         TimePoint now) {
    if (auto it = rentals_by_request_.find(request.request); it != rentals_by_request_.end())
        return it->second;
    auto count = std::min<std::size_t>(static_cast<std::size_t>(request.count),
                                       limits_.machines - std::min(limits_.machines, alive().size()));
    if (count == 0) return std::nullopt;
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i)
        names.push_back(add_machine(request.type, request.zone, request.spot, now));
    rentals_by_request_[request.request] = names;
    return names;
}

void CloudModel::warm(std::size_t count, TimePoint now) {
    count = std::min(count, limits_.machines - std::min(limits_.machines, alive().size()));
    for (std::size_t i = 0; i < count; ++i) {
        auto& t = types_.front();
        machines_[add_machine(t.name, t.zones[i % t.zones.size()], false, now)].boots = now;
    }
}

std::vector<std::string> CloudModel::boots_due(TimePoint now) {
    std::vector<std::string> out;
    for (auto& [name, m] : machines_)
        if (!m.started && !m.gone && !m.died && now >= m.boots) {
            m.started = true;
            out.push_back(name);
        }
    return out;
}

void CloudModel::came_up(const std::string& name, const std::string& address, TimePoint now) {
    if (auto* m = find(name)) m->address = address, m->up = now;
}

void CloudModel::died(const std::string& name, TimePoint now) {
    if (auto* m = find(name); m && !m->died && !m->gone) m->died = now;
}

void CloudModel::returned(const std::vector<std::string>& names, TimePoint now) {
    for (auto& name : names)
        if (auto* m = find(name); m && !m->gone) m->gone = now;
}

CloudModel::Machine* CloudModel::find(const std::string& name) {
    auto it = machines_.find(name);
    return it == machines_.end() ? nullptr : &it->second;
}

std::vector<std::string> CloudModel::alive() const {
    std::vector<std::string> out;
    for (auto& [name, m] : machines_)
        if (!m.gone && !m.died) out.push_back(name);
    return out;
}

wire::MachineList CloudModel::list(const std::string& after, std::size_t page, TimePoint now) {
    // The delay varies between one and two times the list lag.
    auto at = now - secs(limits_.list_lag_s * std::uniform_real_distribution<double>(1, 2)(random_));
    wire::MachineList out;
    for (auto it = machines_.upper_bound(after); it != machines_.end(); ++it) {
        auto& m = it->second;
        if (m.rented > at || (m.gone && *m.gone <= at)) continue;
        if (out.machines.size() == std::min<std::size_t>(page, 500)) {
            out.more = true;
            break;
        }
        wire::ListedMachine listed{m.name, m.up && *m.up <= at ? m.address : "", m.type, m.zone, m.spot};
        if (m.died && *m.died + secs(limits_.failed_after_s) <= at)
            listed.state = wire::ListedMachine::State::failed;
        else if (m.up && *m.up <= at)
            listed.state = wire::ListedMachine::State::running;
        listed.age_s = Seconds(at - m.rented).count();
        out.machines.push_back(std::move(listed));
    }
    return out;
}

Json CloudModel::save() const {
    Json machines = Json::array();
    for (auto& [name, m] : machines_)
        if (!m.gone) machines.push_back({m.name, m.type, m.zone, m.spot});
    return Json{
        {"last", last_machine_number_}, {"machines", std::move(machines)}, {"hires", rentals_by_request_}};
}

void CloudModel::restore(const Json& saved, TimePoint now) {
    last_machine_number_ = saved.at("last");
    rentals_by_request_ = saved.at("hires").get<std::map<std::string, std::vector<std::string>>>();
    for (auto& j : saved.at("machines")) {
        Machine m;
        m.name = j.at(0), m.type = j.at(1), m.zone = j.at(2), m.spot = j.at(3);
        m.rented = m.boots = now;
        m.started = true;
        m.died = now;
        auto name = m.name;
        machines_[name] = std::move(m);
    }
}

}  // namespace barrowrun::lab
