#include "fleet/failure_detector.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace barrowrun::fleet {

namespace {
// Of fewer machines it can't be told whether their zone is silent.
constexpr std::size_t least_of_a_zone = 8;
// Probes in a row without an answer after which a silent machine counts as failed.
constexpr int probes_before_failure = 2;
// Of fewer silent machines it can't be told whether much of the fleet is silent.
constexpr std::size_t least_of_wide_silence = 4;

bool heard_just_now(const Machine& machine, TimePoint now, Clock::duration window) {
    return machine.up && now - machine.last_heartbeat <= window;
}

// A machine that a predecessor gave tasks to was up; one that this leader never heard is silent since it
// leads.
Clock::duration silent_for(const Machine& machine, TimePoint now, TimePoint acquired) {
    return now - std::max(machine.last_heartbeat, acquired);
}
}  // namespace

std::size_t count_heard_within(const std::map<std::string, std::unique_ptr<Machine>>& machines, TimePoint now,
                               Clock::duration window) {
    std::size_t heard = 0;
    for (auto& [name, machine] : machines) heard += heard_just_now(*machine, now, window);
    return heard;
}

// A machine that neither sends heartbeats nor answers is proven empty quickest by returning it. It is probed
// before its heartbeat is long overdue, and is declared failed after two probes.
FailureDetector::Verdict FailureDetector::evaluate(
    const std::map<std::string, std::unique_ptr<Machine>>& machines, TimePoint now, TimePoint acquired,
    const std::function<bool(const Machine&)>& runs_service, bool state_heard) {
    Verdict verdict;
    if (now < suspended_until_) return verdict;
    // What was declared failed lately still counts: a trouble of ours must not eat the fleet wave by wave.
    forget_old_failures(now);
    Survey survey{declared_failed_.size(), declared_failed_.size(), {}};
    for (auto& [name, machine] : machines) {
        if (machine->returning || (!machine->up && machine->assignments.empty())) continue;
        ++survey.known;
        auto& zone = survey.zones[machine->zone];
        ++zone.known;
        zone.heard += heard_just_now(*machine, now, heard_window());
        const auto silence = silent_for(*machine, now, acquired);
        if (silence <= silence_allowed(runs_service(*machine))) continue;
        if (machine->missed_probes >= probes_before_failure) {
            ++survey.silent;
            if (!machine->suspected)
                spdlog::info("machine {} has been silent for {:.1f} s", name, Seconds(silence).count());
            machine->suspected = true;
            verdict.declare_failed.push_back(machine.get());
        } else if (!machine->probing && !machine->address.empty() &&
                   verdict.probe.size() < config_.max_new_probes) {
            verdict.probe.push_back(machine.get());
        }
    }
    spare_in_wide_silence(survey, now, acquired, verdict.declare_failed);
    spare_in_cut_zones(survey, now, acquired, verdict.declare_failed);
    if (!verdict.declare_failed.empty()) {
        // The rest of the fleet and the state service must have been heard just now.
        const auto heard = count_heard_within(machines, now, heard_window());
        if (!hears_enough_of_fleet(heard, survey.known - survey.silent) || !state_heard)
            verdict.declare_failed.clear();
    }
    return verdict;
}

void FailureDetector::forget_old_failures(TimePoint now) {
    while (!declared_failed_.empty() && now - declared_failed_.front() > 2 * config_.lease)
        declared_failed_.pop_front();
}

// Within half a heartbeat interval about half of the machines should have been heard.
Clock::duration FailureDetector::heard_window() const {
    return secs(std::max(1.2, 0.5 * Seconds(config_.heartbeat).count()));
}

// Before a machine is probed: past its next heartbeat, but sooner if users depend on what it runs.
Clock::duration FailureDetector::silence_allowed(bool runs_service) const {
    const double heartbeat_s = Seconds(config_.heartbeat).count();
    return runs_service ? secs(std::max(1.2, 0.45 * heartbeat_s)) : secs(1.25 * heartbeat_s + 0.7);
}

// When much of the fleet falls silent at once, the trouble is more likely on our side, or a cut that passes:
// then machines are declared failed only when little is left of their leases.
void FailureDetector::spare_in_wide_silence(const Survey& survey, TimePoint now, TimePoint acquired,
                                            std::vector<Machine*>& failed) const {
    if (survey.silent < least_of_wide_silence || survey.silent * 3 <= survey.known) return;
    const bool most_are_silent = survey.silent * 2 > survey.known;
    const auto most_of_lease = secs(0.6 * Seconds(config_.lease).count());
    std::erase_if(failed, [&](const Machine* machine) {
        return most_are_silent || silent_for(*machine, now, acquired) < most_of_lease;
    });
}

// A zone of which little is heard is cut off, and goes on inside: its machines were returned wave by wave,
// 368 of them within 40 s of a cut that passed (kdh-colombo-fleet, zone), with all that ran on them. Their
// leases decide, until these are over for certain and the machines only cost. When it is heard again not all
// send a heartbeat at once: another 220 were returned within seconds of the cut's end.
void FailureDetector::spare_in_cut_zones(const Survey& survey, TimePoint now, TimePoint acquired,
                                         std::vector<Machine*>& failed) {
    for (auto& [name, zone] : survey.zones)
        if (zone.known >= least_of_a_zone && !hears_enough_of_fleet(zone.heard, zone.known))
            zone_cut_until_[name] = now + secs(2 * Seconds(config_.heartbeat).count() + 2);
    std::erase_if(failed, [&](const Machine* machine) {
        auto cut_until = zone_cut_until_.find(machine->zone);
        return cut_until != zone_cut_until_.end() && now < cut_until->second &&
               silent_for(*machine, now, acquired) < 3 * config_.lease;
    });
}

}  // namespace barrowrun::fleet
