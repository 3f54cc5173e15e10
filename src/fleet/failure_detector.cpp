#include "fleet/failure_detector.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace barrowrun::fleet {
using namespace std::chrono_literals;

namespace {
// Of fewer machines it can't be told whether their zone is silent.
constexpr std::size_t least_of_a_zone = 8;
}  // namespace

std::size_t count_heard_within(const std::map<std::string, std::unique_ptr<Machine>>& machines, TimePoint now,
                               Clock::duration window) {
    std::size_t n = 0;
    for (auto& [name, m] : machines) n += m->up && now - m->last_heartbeat <= window;
    return n;
}

FailureDetector::Verdict FailureDetector::evaluate(
    const std::map<std::string, std::unique_ptr<Machine>>& machines, TimePoint now, TimePoint acquired,
    const std::function<bool(const Machine&)>& runs_service, bool state_heard) {
    // A machine that neither reports nor answers is proven empty quickest by returning it. It is asked before
    // its heartbeat is long overdue, sooner if users depend on what it runs, and is given up after two
    // questions.
    Verdict out;
    if (now < suspended_until_) return out;
    const double heartbeat_s = Seconds(rules_.heartbeat).count();
    // What was given up lately still counts: a trouble of ours must not eat the fleet wave by wave.
    while (!declared_failed_.empty() && now - declared_failed_.front() > 2 * rules_.lease)
        declared_failed_.pop_front();
    std::size_t known = declared_failed_.size(), quiet = declared_failed_.size();
    struct Zone {
        std::size_t known = 0, heard = 0;  // heard: just now
    };
    std::map<std::string, Zone> zones;
    const auto window = secs(std::max(1.2, 0.5 * heartbeat_s));
    // A machine that a predecessor gave tasks to was up; one that this leader never heard is silent since it
    // leads.
    auto heard = [&](const Machine& m) { return std::max(m.last_heartbeat, acquired); };
    for (auto& [name, m] : machines) {
        if (m->returning || (!m->up && m->assignments.empty())) continue;
        ++known;
        Zone& zone = zones[m->zone];
        ++zone.known;
        zone.heard += m->up && now - m->last_heartbeat <= window;
        auto since = now - heard(*m);
        auto overdue =
            runs_service(*m) ? secs(std::max(1.2, 0.45 * heartbeat_s)) : secs(1.25 * heartbeat_s + 0.7);
        if (since <= overdue) continue;
        if (m->missed_probes >= 2) {
            ++quiet;
            if (!m->suspected)
                spdlog::info("machine {} has been silent for {:.1f} s", name, Seconds(since).count());
            m->suspected = true;
            out.declare_failed.push_back(m.get());
        } else if (!m->probing && !m->address.empty() && out.probe.size() < rules_.max_new_probes) {
            out.probe.push_back(m.get());
        }
    }
    // When much of the fleet falls silent at once, the trouble is more likely on our side, or a cut that
    // passes: then machines are given up only when little is left of their leases.
    if (quiet >= 4 && quiet * 3 > known)
        std::erase_if(out.declare_failed, [&](const Machine* m) {
            return now - heard(*m) < secs(0.6 * Seconds(rules_.lease).count()) || quiet * 2 > known;
        });
    // A zone of which little is heard is cut off, and goes on inside: its machines were returned wave by
    // wave, 368 of them within 40 s of a cut that passed (kdh-colombo-fleet, zone), with all that ran on
    // them. Their leases decide, until these are over for certain and the machines only cost. When it is
    // heard again not all report at once: another 220 were returned within seconds of the cut's end.
    for (auto& [name, zone] : zones)
        if (zone.known >= least_of_a_zone && !hears_enough_of_fleet(zone.heard, zone.known))
            zone_cut_until_[name] = now + secs(2 * heartbeat_s + 2);
    std::erase_if(out.declare_failed, [&](const Machine* m) {
        auto patient = zone_cut_until_.find(m->zone);
        return patient != zone_cut_until_.end() && now < patient->second &&
               now - heard(*m) < 3 * rules_.lease;
    });
    // The rest of the fleet and the state service must have been heard just now.
    if (!out.declare_failed.empty()) {
        if (!hears_enough_of_fleet(count_heard_within(machines, now, window), known - quiet) || !state_heard)
            out.declare_failed.clear();
    }
    return out;
}

}  // namespace barrowrun::fleet
