#include "lab/cloud_model.hpp"

#include <algorithm>

namespace barrowrun::lab {

using wire::Json;

bool CloudModel::within_rate(TimePoint now) {
    const double most = 2 * limits_.rps;  // bursts worth two seconds
    if (level_ < 0)
        level_ = most;
    else
        level_ = std::min(most, level_ + Seconds(now - level_at_).count() * limits_.rps);
    level_at_ = now;
    if (level_ < 1) return false;
    level_ -= 1;
    return true;
}

const wire::MachineType* CloudModel::type(const std::string& name) const {
    for (auto& t : types_)
        if (t.name == name) return &t;
    return nullptr;
}

bool CloudModel::known(const wire::ProvisioningRequest& r) const {
    auto* t = type(r.type);
    return t && std::find(t->zones.begin(), t->zones.end(), r.zone) != t->zones.end();
}

std::string CloudModel::add(const std::string& type_name, const std::string& zone, bool spot, TimePoint now) {
    auto digits = std::to_string(++last_);
    Machine m;
    m.name = "n-" + std::string(digits.size() < 6 ? 6 - digits.size() : 0, '0') + digits;
    m.type = type_name;
    m.zone = zone;
    m.spot = spot;
    m.rented = now;
    double usual = type(type_name)->boot_s;
    m.boots = now + secs(usual * std::uniform_real_distribution<double>(0.6, 1.5)(random_));
    auto name = m.name;
    machines_[name] = std::move(m);
    return name;
}

std::optional<std::vector<std::string>> CloudModel::rent(const wire::ProvisioningRequest& r, TimePoint now) {
    if (auto it = hires_.find(r.request); it != hires_.end()) return it->second;
    auto n = std::min<std::size_t>(static_cast<std::size_t>(r.count),
                                   limits_.machines - std::min(limits_.machines, alive().size()));
    if (n == 0) return std::nullopt;
    std::vector<std::string> names;
    for (std::size_t i = 0; i < n; ++i) names.push_back(add(r.type, r.zone, r.spot, now));
    hires_[r.request] = names;
    return names;
}

void CloudModel::warm(std::size_t n, TimePoint now) {
    n = std::min(n, limits_.machines - std::min(limits_.machines, alive().size()));
    for (std::size_t i = 0; i < n; ++i) {
        auto& t = types_.front();
        machines_[add(t.name, t.zones[i % t.zones.size()], false, now)].boots = now;
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
    // At times up to twice as late.
    auto at = now - secs(limits_.list_lag_s * std::uniform_real_distribution<double>(1, 2)(random_));
    wire::MachineList out;
    for (auto it = machines_.upper_bound(after); it != machines_.end(); ++it) {
        auto& m = it->second;
        if (m.rented > at || (m.gone && *m.gone <= at)) continue;
        if (out.machines.size() == std::min<std::size_t>(page, 500)) {
            out.more = true;
            break;
        }
        wire::ListedMachine l{m.name, m.up && *m.up <= at ? m.address : "", m.type, m.zone, m.spot};
        if (m.died && *m.died + secs(limits_.failed_after_s) <= at)
            l.state = wire::ListedMachine::State::failed;
        else if (m.up && *m.up <= at)
            l.state = wire::ListedMachine::State::running;
        l.age_s = Seconds(at - m.rented).count();
        out.machines.push_back(std::move(l));
    }
    return out;
}

Json CloudModel::save() const {
    Json machines = Json::array();
    for (auto& [name, m] : machines_)
        if (!m.gone) machines.push_back({m.name, m.type, m.zone, m.spot});
    return Json{{"last", last_}, {"machines", std::move(machines)}, {"hires", hires_}};
}

void CloudModel::restore(const Json& saved, TimePoint now) {
    last_ = saved.at("last");
    hires_ = saved.at("hires").get<std::map<std::string, std::vector<std::string>>>();
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
