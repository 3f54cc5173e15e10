#include "fleet/silence.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace barrowrun::fleet {
using namespace std::chrono_literals;

namespace {
// Of fewer machines it can't be told whether their zone is silent.
constexpr std::size_t least_of_a_zone = 8;
}  // namespace

std::size_t heard_within(const std::map<std::string, std::unique_ptr<Machine>>& machines, TimePoint now,
                         Clock::duration window) {
    std::size_t n = 0;
    for (auto& [name, m] : machines) n += m->up && now - m->last_report <= window;
    return n;
}

Silence::Verdict Silence::judge(const std::map<std::string, std::unique_ptr<Machine>>& machines,
                                TimePoint now, TimePoint acquired,
                                const std::function<bool(const Machine&)>& runs_service, bool state_heard) {
    // A machine that neither reports nor answers is proven empty quickest by returning it. It is asked before
    // its report is long overdue, sooner if users depend on what it runs, and is given up after two
    // questions.
    Verdict out;
    if (now < deaf_until_) return out;
    const double report_s = Seconds(rules_.report).count();
    // What was given up lately still counts: a trouble of ours must not eat the fleet wave by wave.
    while (!given_up_.empty() && now - given_up_.front() > 2 * rules_.lease) given_up_.pop_front();
    std::size_t known = given_up_.size(), quiet = given_up_.size();
    struct Zone {
        std::size_t known = 0, heard = 0;  // heard: just now
    };
    std::map<std::string, Zone> zones;
    const auto window = secs(std::max(1.2, 0.5 * report_s));
    // A machine that a predecessor gave tasks to was up; one that this leader never heard is silent since it
    // leads.
    auto heard = [&](const Machine& m) { return std::max(m.last_report, acquired); };
    for (auto& [name, m] : machines) {
        if (m->returning || (!m->up && m->entries.empty())) continue;
        ++known;
        Zone& zone = zones[m->zone];
        ++zone.known;
        zone.heard += m->up && now - m->last_report <= window;
        auto since = now - heard(*m);
        auto overdue = runs_service(*m) ? secs(std::max(1.2, 0.45 * report_s)) : secs(1.25 * report_s + 0.7);
        if (since <= overdue) continue;
        if (m->missed >= 2) {
            ++quiet;
            if (!m->suspect)
                spdlog::info("machine {} has been silent for {:.1f} s", name, Seconds(since).count());
            m->suspect = true;
            out.give_up.push_back(m.get());
        } else if (!m->probing && !m->address.empty() && out.ask.size() < rules_.asked_at_once) {
            out.ask.push_back(m.get());
        }
    }
    // When much of the fleet falls silent at once, the trouble is more likely on our side, or a cut that
    // passes: then machines are given up only when little is left of their leases.
    if (quiet >= 4 && quiet * 3 > known)
        std::erase_if(out.give_up, [&](const Machine* m) {
            return now - heard(*m) < secs(0.6 * Seconds(rules_.lease).count()) || quiet * 2 > known;
        });
    // A zone of which little is heard is cut off, and goes on inside: its machines were returned wave by
    // wave, 368 of them within 40 s of a cut that passed (kdh-colombo-fleet, zone), with all that ran on
    // them. Their leases decide, until these are over for certain and the machines only cost. When it is
    // heard again not all report at once: another 220 were returned within seconds of the cut's end.
    for (auto& [name, zone] : zones)
        if (zone.known >= least_of_a_zone && !hears_the_fleet(zone.heard, zone.known))
            patient_until_[name] = now + secs(2 * report_s + 2);
    std::erase_if(out.give_up, [&](const Machine* m) {
        auto patient = patient_until_.find(m->zone);
        return patient != patient_until_.end() && now < patient->second && now - heard(*m) < 3 * rules_.lease;
    });
    // The rest of the fleet and the state service must have been heard just now.
    if (!out.give_up.empty()) {
        if (!hears_the_fleet(heard_within(machines, now, window), known - quiet) || !state_heard)
            out.give_up.clear();
    }
    return out;
}

}  // namespace barrowrun::fleet
