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

void Machine::clear(std::vector<AssignmentChange>& changes) {
    for (auto& [attempt, assignment] : assignments)
        if (!assignment.exited()) changes.push_back({AssignmentChange::lost, attempt, assignment});
    assignments.clear();
    images.clear();
    fetching_.clear();
}

bool Machine::may_renew(TimePoint now, Clock::duration keep) const {
    return std::none_of(assignments.begin(), assignments.end(), [&](auto& kv) {
        auto& e = kv.second;
        return e.stop_requested && (e.launch_unanswered || e.in_flight) &&
               fencing_token_seen <= e.sent_fencing_token && now >= e.stop_at + keep;
    });
}

namespace {
// Whether no push of the launch can be executed any more. A push without an answer may still be executed as
// long as the worker has seen no token higher than that of the push.
bool launch_settled(const Assignment& assignment, std::uint64_t worker_token) {
    return !assignment.in_flight &&
           (!assignment.launch_unanswered || worker_token > assignment.sent_fencing_token);
}

// Whether a heartbeat that doesn't list the attempt proves that the attempt is not on the machine and won't
// start there.
bool proven_gone(const Assignment& assignment, const wire::WorkerHeartbeat& heartbeat,
                 bool from_heartbeat_route, std::uint64_t own_fencing_token) {
    switch (assignment.phase) {
        case AssignmentPhase::recording:
        case AssignmentPhase::ready:
            return false;
        case AssignmentPhase::pushed:
            return launch_settled(assignment, heartbeat.fencing_token);
        case AssignmentPhase::replied:
            // The worker has one heartbeat in flight at a time: the next one shows whether the response to
            // the previous one was received or dropped.
            return from_heartbeat_route && heartbeat.seq > assignment.reply_seq &&
                   launch_settled(assignment, heartbeat.fencing_token);
        case AssignmentPhase::recovered:
            // Launches of the previous leader are void once the worker has seen this leader's fencing token.
            return heartbeat.fencing_token >= own_fencing_token;
        case AssignmentPhase::confirmed:
            // Listed before and missing now: the attempt was reaped or ended with its agent epoch. A delayed
            // push could still start it again.
            return launch_settled(assignment, heartbeat.fencing_token);
    }
    return false;
}

// Updates an assignment from the status that the worker reports.
void update(Assignment& assignment, bool is_new, const wire::TaskStatus& status, TimePoint now,
            std::vector<AssignmentChange>& changes) {
    if (is_new) assignment.placed_at = now;
    const bool was_exited = assignment.exited();
    const bool was_confirmed = assignment.phase == AssignmentPhase::confirmed;
    const bool was_running = was_confirmed && assignment.started_at != TimePoint{};
    if (!was_confirmed) changes.push_back({AssignmentChange::confirmed, status.attempt, assignment});
    assignment.phase = AssignmentPhase::confirmed;
    assignment.state = status.state;
    assignment.cause = status.cause;
    assignment.checkpointed = status.checkpointed;
    const bool runs = status.state == TaskState::running || status.state == TaskState::saving;
    if (!was_running && runs) {
        assignment.started_at = now;
        changes.push_back({AssignmentChange::started, status.attempt, assignment});
    }
    if (!was_exited && status.state == TaskState::exited) {
        assignment.ended_at = now;
        changes.push_back({AssignmentChange::ended, status.attempt, assignment});
    }
}

using Assignments = std::unordered_map<Attempt, Assignment, wire::AttemptHash>;

// Removes the assignments for which `is_gone` holds; those that had not exited are reported as lost.
template <class Predicate>
void remove_if(Assignments& assignments, std::vector<AssignmentChange>& changes, Predicate is_gone) {
    std::vector<Attempt> gone;
    for (auto& [attempt, assignment] : assignments)
        if (is_gone(attempt, assignment)) gone.push_back(attempt);
    for (auto& attempt : gone) {
        auto node = assignments.extract(attempt);
        if (!node.mapped().exited()) changes.push_back({AssignmentChange::lost, attempt, node.mapped()});
    }
}

// Whether the attempt may be on the machine or may still start there.
bool may_have_been_sent(const Assignment& assignment) {
    return assignment.phase != AssignmentPhase::recording && assignment.phase != AssignmentPhase::ready;
}

bool kill_is_due(const Assignment& assignment, TimePoint now) {
    if (!assignment.stop_requested || assignment.exited() || now < assignment.stop_at) return false;
    if (!may_have_been_sent(assignment) && !assignment.launch_unanswered) return false;
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
        // A higher agent epoch proves that all attempts of the earlier one are gone, and voids launches in
        // flight, which name the earlier epoch. Before this leader's first heartbeat from the machine no
        // epoch is known: its assignments are checked one by one below.
        remove_if(assignments, changes,
                  [](auto&, auto& assignment) { return may_have_been_sent(assignment); });
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

    std::unordered_set<Attempt, wire::AttemptHash> listed;
    for (auto& status : heartbeat.tasks) {
        listed.insert(status.attempt);
        auto [it, is_new] = assignments.try_emplace(status.attempt);
        update(it->second, is_new, status, now, changes);
    }
    remove_if(assignments, changes, [&](auto& attempt, auto& assignment) {
        return !listed.contains(attempt) &&
               proven_gone(assignment, heartbeat, from_heartbeat_route, own_fencing_token);
    });
    return true;
}

std::vector<wire::Command> Machine::commands(
    TimePoint now, bool launches,
    const std::function<bool(const wire::Attempt&, const Assignment&)>& may_reap) const {
    std::vector<wire::Command> out;
    for (auto& [attempt, assignment] : assignments) {
        if (kill_is_due(assignment, now)) {
            out.push_back({wire::Verb::kill, attempt, assignment.grace_s});
        } else if (assignment.exited()) {
            // A delayed launch would start a reaped attempt again: reap only when no launch can be in flight.
            if (launch_settled(assignment, fencing_token_seen) && may_reap(attempt, assignment))
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
