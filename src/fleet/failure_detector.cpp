#include "fleet/failure_detector.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace barrowrun::fleet {

namespace {
// A zone with fewer machines is too small to be judged as cut off.
constexpr std::size_t min_machines_to_judge_zone = 8;
// Number of consecutive unanswered probes after which a silent machine counts as failed.
constexpr int probes_before_failure = 2;
// With fewer silent machines it can't be told whether a large part of the fleet is silent.
constexpr std::size_t min_silent_to_judge_fleet = 4;

bool heard_within(const Machine& machine, TimePoint now, Clock::duration window) {
    return machine.up && now - machine.last_heartbeat <= window;
}

// A machine with tasks from a previous leader counts as having been up. If this leader never received a
// heartbeat from it, its silence starts when this leader's term starts.
Clock::duration silence_of(const Machine& machine, TimePoint now, TimePoint acquired) {
    return now - std::max(machine.last_heartbeat, acquired);
}
}  // namespace

std::size_t count_heard_within(const std::map<std::string, std::unique_ptr<Machine>>& machines, TimePoint now,
                               Clock::duration window) {
    std::size_t heard = 0;
    for (auto& [name, machine] : machines) heard += heard_within(*machine, now, window);
    return heard;
}

// Returning a machine that neither sends heartbeats nor answers is the quickest proof that nothing runs on
// it. The machine is probed soon after its heartbeat is overdue and is declared failed after two unanswered
// probes.
FailureDetector::Verdict FailureDetector::evaluate(
    const std::map<std::string, std::unique_ptr<Machine>>& machines, TimePoint now, TimePoint acquired,
    const std::function<bool(const Machine&)>& runs_service, bool state_heard) {
    Verdict verdict;
    if (now < suspended_until_) return verdict;
    // Recently failed machines count as silent: otherwise a fault on the leader's side could return the whole
    // fleet in successive batches.
    remove_old_failures(now);
    Survey survey{declared_failed_at_.size(), declared_failed_at_.size(), {}};
    for (auto& [name, machine] : machines) {
        if (machine->returning || (!machine->up && machine->assignments.empty())) continue;
        ++survey.known;
        auto& zone = survey.zones[machine->zone];
        ++zone.known;
        zone.heard += heard_within(*machine, now, heard_window());
        const auto silence = silence_of(*machine, now, acquired);
        if (silence <= silence_allowed(runs_service(*machine))) continue;
        if (machine->missed_probes >= probes_before_failure) {
            ++survey.silent;
            if (!machine->suspected)
                spdlog::info("machine {}: silent for {:.1f} s; suspected of having failed", name,
                             Seconds(silence).count());
            machine->suspected = true;
            verdict.declare_failed.push_back(machine.get());
        } else if (!machine->probe_in_flight && !machine->address.empty() &&
                   verdict.probe.size() < config_.max_new_probes) {
            verdict.probe.push_back(machine.get());
        }
    }
    exempt_during_wide_silence(survey, now, acquired, verdict.declare_failed);
    exempt_in_cut_off_zones(survey, now, acquired, verdict.declare_failed);
    if (!verdict.declare_failed.empty()) {
        // Declaring machines failed requires recent answers from the other machines and the state service.
        const auto heard = count_heard_within(machines, now, heard_window());
        if (!hears_enough_of_fleet(heard, survey.known - survey.silent) || !state_heard)
            verdict.declare_failed.clear();
    }
    return verdict;
}

void FailureDetector::remove_old_failures(TimePoint now) {
    while (!declared_failed_at_.empty() && now - declared_failed_at_.front() > 2 * config_.lease)
        declared_failed_at_.pop_front();
}

// Within half a heartbeat interval about half of the healthy machines send a heartbeat.
Clock::duration FailureDetector::heard_window() const {
    return secs(std::max(1.2, 0.5 * Seconds(config_.heartbeat).count()));
}

// Silence after which a machine is probed: longer than a heartbeat interval, but shorter than one if users
// depend on a service that the machine runs.
Clock::duration FailureDetector::silence_allowed(bool runs_service) const {
    const double heartbeat_s = Seconds(config_.heartbeat).count();
    return runs_service ? secs(std::max(1.2, 0.45 * heartbeat_s)) : secs(1.25 * heartbeat_s + 0.7);
}

// If more than a third of the fleet is silent, the fault is more likely on the leader's side or a temporary
// network partition: a machine is then declared failed only after 60 % of its lease. If more than half of the
// fleet is silent, no machine is declared failed.
void FailureDetector::exempt_during_wide_silence(const Survey& survey, TimePoint now, TimePoint acquired,
                                                 std::vector<Machine*>& failed) const {
    if (survey.silent < min_silent_to_judge_fleet || survey.silent * 3 <= survey.known) return;
    const bool most_are_silent = survey.silent * 2 > survey.known;
    const auto most_of_lease = secs(0.6 * Seconds(config_.lease).count());
    std::erase_if(failed, [&](const Machine* machine) {
        return most_are_silent || silence_of(*machine, now, acquired) < most_of_lease;
    });
}

// A zone from which few heartbeats arrive is cut off while its tasks keep running. Without this rule its
// machines were returned in batches together with their tasks: 368 machines within 40 s of a temporary
// partition (kdh-colombo-fleet, zone). The machines are therefore kept until their leases have certainly
// expired and they only cost money. The zone counts as cut off a little longer than the partition lasts,
// because its machines don't all send a heartbeat at once: another 220 machines were returned within seconds
// of the partition's end.
void FailureDetector::exempt_in_cut_off_zones(const Survey& survey, TimePoint now, TimePoint acquired,
                                              std::vector<Machine*>& failed) {
    for (auto& [name, zone] : survey.zones)
        if (zone.known >= min_machines_to_judge_zone && !hears_enough_of_fleet(zone.heard, zone.known))
            zone_cut_off_until_[name] = now + secs(2 * Seconds(config_.heartbeat).count() + 2);
    std::erase_if(failed, [&](const Machine* machine) {
        auto cut_off_until = zone_cut_off_until_.find(machine->zone);
        return cut_off_until != zone_cut_off_until_.end() && now < cut_off_until->second &&
               silence_of(*machine, now, acquired) < 3 * config_.lease;
    });
}

}  // namespace barrowrun::fleet
