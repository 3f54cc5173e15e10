#include "fleet/machine.hpp"

#include <algorithm>
#include <unordered_set>

namespace barrowrun::fleet {
using wire::Attempt;
using wire::TaskState;

wire::Resources Machine::available() const {
    wire::Resources remaining = capacity;
    for (auto& [attempt, assignment] : assignments)
        if (!assignment.exited()) remaining -= assignment.need;
    return remaining;
}

std::size_t Machine::live() const {
    return static_cast<std::size_t>(
        std::count_if(assignments.begin(), assignments.end(), [](auto& kv) { return !kv.second.exited(); }));
}

bool Machine::has_live() const {
    return std::any_of(assignments.begin(), assignments.end(), [](auto& kv) { return !kv.second.exited(); });
}

bool Machine::has_image(const std::string& image) const {
    return std::any_of(images.begin(), images.end(), [&](auto& p) { return p.first == image; });
}

void Machine::use_image(const std::string& image, double gb) {
    images.remove_if([&](auto& p) { return p.first == image; });
    images.emplace_front(image, gb);
    fetching_.erase(image);
    double total = 0;
    for (auto& p : images) total += p.second;
    while (images.size() > 1 && total > cache_gb) {
        total -= images.back().second;
        images.pop_back();
    }
}

bool Machine::holds_task(const wire::TaskId& task) const {
    return std::any_of(assignments.begin(), assignments.end(),
                       [&](auto& kv) { return kv.first.task == task; });
}

std::optional<std::uint64_t> Machine::latest_agent_epoch() const {
    std::optional<std::uint64_t> latest;
    for (auto& [attempt, assignment] : assignments) {
        const auto epoch = assignment.may_have_been_sent() ? assignment.agent_epoch : agent_epoch;
        if (!epoch) return std::nullopt;
        latest = std::max(latest.value_or(0), *epoch);
    }
    return latest;
}

void Machine::recover(const Attempt& attempt, const Assignment& assignment) {
    auto [known, inserted] = assignments.emplace(attempt, assignment);
    if (inserted) return;
    auto& epoch = known->second.agent_epoch;
    if (!epoch || !assignment.agent_epoch)
        epoch.reset();
    else
        epoch = std::max(*epoch, *assignment.agent_epoch);
}

bool Machine::return_starts_to_recording() {
    bool any = false;
    for (auto& [attempt, assignment] : assignments) {
        if (assignment.may_have_been_sent()) continue;
        assignment.phase = AssignmentPhase::recording;
        any = true;
    }
    return any;
}

void Machine::clear(GoneEvidence evidence, std::vector<AssignmentChange>& changes) {
    for (auto& [attempt, assignment] : assignments)
        if (!assignment.exited()) changes.push_back({AssignmentChange::lost, attempt, assignment, evidence});
    assignments.clear();
    images.clear();
    fetching_.clear();
}

bool Machine::may_renew(TimePoint now, Clock::duration keep) const {
    return std::none_of(assignments.begin(), assignments.end(), [&](auto& kv) {
        auto& e = kv.second;
        return e.stop_requested && (e.launch_unanswered || e.in_flight) &&
               fencing_token_seen <= e.direct_launch_token && now >= e.stop_at + keep;
    });
}

namespace {
// Updates an assignment from the status that the worker reports.
void update(Assignment& assignment, bool is_new, const wire::TaskStatus& status, std::uint64_t agent_epoch,
            TimePoint now, std::vector<AssignmentChange>& changes) {
    if (is_new) assignment.placed_at = now;
    const bool was_exited = assignment.exited();
    const bool was_confirmed = assignment.phase == AssignmentPhase::confirmed;
    const bool was_running = was_confirmed && assignment.started_at != TimePoint{};
    if (!was_confirmed) changes.push_back({AssignmentChange::confirmed, status.attempt, assignment, {}});
    assignment.phase = AssignmentPhase::confirmed;
    assignment.agent_epoch = agent_epoch;
    assignment.state = status.state;
    assignment.cause = status.cause;
    assignment.checkpointed = status.checkpointed;
    const bool runs = status.state == TaskState::running || status.state == TaskState::saving;
    if (!was_running && runs) {
        assignment.started_at = now;
        changes.push_back({AssignmentChange::started, status.attempt, assignment, {}});
    }
    if (!was_exited && status.state == TaskState::exited) {
        assignment.ended_at = now;
        changes.push_back({AssignmentChange::ended, status.attempt, assignment, {}});
    }
    if (was_exited && status.state != TaskState::exited)
        changes.push_back({AssignmentChange::reappeared, status.attempt, assignment, {}});
}

bool kill_is_due(const Assignment& assignment, TimePoint now) {
    if (!assignment.stop_requested || assignment.exited() || now < assignment.stop_at) return false;
    if (!assignment.may_have_been_sent() && !assignment.launch_unanswered) return false;
    // A task that is saving its checkpoint exits within its grace period, without another kill.
    const bool saving =
        assignment.phase == AssignmentPhase::confirmed && assignment.state == TaskState::saving;
    return !saving || assignment.grace_s <= 0;
}

bool launch_is_due(const Assignment& assignment) {
    if (assignment.stop_requested) return false;
    return assignment.phase == AssignmentPhase::ready ||
           (assignment.phase == AssignmentPhase::pushed && assignment.launch_unanswered &&
            !assignment.in_flight);
}

// Kills come first, because they free the capacity that launches need.
int execution_order(wire::Verb verb) {
    return verb == wire::Verb::kill ? 0 : verb == wire::Verb::reap ? 1 : 2;
}
}  // namespace

bool Machine::apply_heartbeat(const wire::WorkerHeartbeat& heartbeat, bool from_heartbeat_route,
                              std::uint64_t own_fencing_token, TimePoint now,
                              std::vector<AssignmentChange>& changes) {
    if (up && std::pair(heartbeat.agent_epoch, heartbeat.seq) <= std::pair(agent_epoch, seq)) return false;
    if (up && heartbeat.agent_epoch > agent_epoch) {
        images.clear();
        fetching_.clear();
    }
    if (!up || heartbeat.agent_epoch > agent_epoch) agent_epoch_known = now;
    up = true;
    agent_epoch = heartbeat.agent_epoch;
    seq = heartbeat.seq;
    fencing_token_seen = std::max(fencing_token_seen, heartbeat.fencing_token);
    last_heartbeat = now;
    suspected = false;
    missed_probes = 0;
    if (!heartbeat.address.empty()) address = heartbeat.address;
    if (!heartbeat.notice_s) {
        spot_reclaim_at.reset();
    } else if (!spot_reclaim_at) {
        spot_reclaim_at = now + secs(std::max(0.0, *heartbeat.notice_s));
    }

    for (auto& status : heartbeat.tasks) {
        auto [it, is_new] = assignments.try_emplace(status.attempt);
        update(it->second, is_new, status, agent_epoch, now, changes);
        if (!is_new) continue;
        if (status.attempt.number <= first_attempt_number(own_fencing_token)) {
            it->second.direct_launch_token = own_fencing_token - 1;
        } else {
            it->second.direct_launch_token = fencing_token_sent;
            changes.push_back({AssignmentChange::reappeared, status.attempt, it->second, {}});
        }
    }
    remove_gone(heartbeat, from_heartbeat_route, own_fencing_token, changes);
    return true;
}

void Machine::remove_gone(const wire::WorkerHeartbeat& heartbeat, bool from_heartbeat_route,
                          std::uint64_t own_fencing_token, std::vector<AssignmentChange>& changes) {
    std::unordered_set<Attempt, wire::AttemptHash> listed;
    for (auto& status : heartbeat.tasks) listed.insert(status.attempt);
    for (auto it = assignments.begin(); it != assignments.end();) {
        auto& [attempt, assignment] = *it;
        std::optional<GoneEvidence> evidence;
        if (!listed.contains(attempt))
            evidence = evidence_of_absence(assignment, heartbeat, from_heartbeat_route, own_fencing_token);
        if (!evidence) {
            ++it;
            continue;
        }
        if (!assignment.exited()) changes.push_back({AssignmentChange::lost, attempt, assignment, evidence});
        it = assignments.erase(it);
    }
}

Machine::LaunchesToVoid Machine::launches_to_void(const MayReap& may_reap) const {
    LaunchesToVoid tokens;
    for (auto& [attempt, assignment] : assignments) {
        const auto token = assignment.direct_launch_token;
        if (assignment.exited() && !assignment.in_flight && may_reap(attempt, assignment))
            tokens.reapable = std::max(tokens.reapable, token);
        else if (assignment.launch_unconfirmed())
            tokens.unlisted = std::max(tokens.unlisted, token);
    }
    return tokens;
}

std::vector<wire::Command> Machine::commands(TimePoint now, bool launches, const MayReap& may_reap) const {
    std::vector<wire::Command> out;
    for (auto& [attempt, assignment] : assignments) {
        if (kill_is_due(assignment, now)) {
            out.push_back({wire::Verb::kill, attempt, assignment.grace_s});
        } else if (assignment.exited()) {
            // A late copy of its launch would start a reaped attempt again: the worker must refuse the copy
            // by the time it has forgotten the attempt.
            if (assignment.launch_is_void(fencing_token_sent) && may_reap(attempt, assignment))
                out.push_back({wire::Verb::reap, attempt, 0});
        } else if (launches && launch_is_due(assignment)) {
            out.push_back({wire::Verb::launch, attempt, 0});
        }
    }
    std::stable_sort(out.begin(), out.end(),
                     [](auto& x, auto& y) { return execution_order(x.verb) < execution_order(y.verb); });
    return out;
}

}  // namespace barrowrun::fleet
