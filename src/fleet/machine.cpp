#include "fleet/machine.hpp"

#include <algorithm>
#include <unordered_set>

namespace barrowrun::fleet {
using wire::Attempt;
using wire::TaskState;

wire::Resources Machine::available() const {
    wire::Resources r = capacity;
    for (auto& [a, e] : assignments)
        if (!e.exited()) r -= e.need;
    return r;
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
    for (auto& [a, e] : assignments)
        if (!e.exited()) changes.push_back({AssignmentChange::lost, a, e});
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

bool Machine::apply_heartbeat(const wire::WorkerHeartbeat& heartbeat, bool from_heartbeat_route,
                              std::uint64_t own_fencing_token, TimePoint now,
                              std::vector<AssignmentChange>& changes) {
    if (up && std::pair(heartbeat.agent_epoch, heartbeat.seq) <= std::pair(agent_epoch, seq)) return false;
    // A higher agent epoch proves that all of the earlier one is gone, launches under way included: they name
    // the old agent epoch. Until our first heartbeat from it we know no agent epoch, so assignments stay to
    // be judged below.
    if (up && heartbeat.agent_epoch > agent_epoch) {
        std::vector<wire::Attempt> gone;
        for (auto& [a, e] : assignments)
            if (!(e.phase == AssignmentPhase::recording || e.phase == AssignmentPhase::ready))
                gone.push_back(a);
        for (auto& a : gone) {
            auto node = assignments.extract(a);
            if (!node.mapped().exited()) changes.push_back({AssignmentChange::lost, a, node.mapped()});
        }
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
    for (auto& t : heartbeat.tasks) {
        listed.insert(t.attempt);
        auto [it, fresh] = assignments.try_emplace(t.attempt);
        Assignment& e = it->second;
        if (fresh) e.placed_at = now;
        bool was_exited = e.exited(),
             was_running = e.phase == AssignmentPhase::confirmed && e.started_at != TimePoint{};
        if (fresh || e.phase != AssignmentPhase::confirmed)
            changes.push_back({AssignmentChange::confirmed, t.attempt, e});
        e.phase = AssignmentPhase::confirmed;
        e.state = t.state;
        e.cause = t.cause;
        e.checkpointed = t.checkpointed;
        if (!was_running && (t.state == TaskState::running || t.state == TaskState::saving)) {
            e.started_at = now;
            changes.push_back({AssignmentChange::started, t.attempt, e});
        }
        if (!was_exited && t.state == TaskState::exited) {
            e.ended_at = now;
            changes.push_back({AssignmentChange::ended, t.attempt, e});
        }
    }
    std::vector<Attempt> gone;
    for (auto& [a, e] : assignments) {
        if (listed.contains(a)) continue;
        bool proven = false;
        switch (e.phase) {
            case AssignmentPhase::recording:
            case AssignmentPhase::ready:
                break;
            case AssignmentPhase::pushed:
                // A push without an answer may execute as long as its token is the highest the worker knows.
                proven =
                    !e.in_flight && (!e.launch_unanswered || heartbeat.fencing_token > e.sent_fencing_token);
                break;
            case AssignmentPhase::replied:
                // The worker has one report in flight at a time: its next one shows what became of the
                // response to the last.
                proven = from_heartbeat_route && heartbeat.seq > e.reply_seq && !e.in_flight &&
                         (!e.launch_unanswered || heartbeat.fencing_token > e.sent_fencing_token);
                break;
            case AssignmentPhase::recovered:
                // Whatever the predecessor sent dies with its token, once the worker has seen ours.
                proven = heartbeat.fencing_token >= own_fencing_token;
                break;
            case AssignmentPhase::confirmed:
                // Seen before, gone now: reaped, or ended with its agent epoch. A push that may still be on
                // its way could start it again.
                proven =
                    !e.in_flight && (!e.launch_unanswered || heartbeat.fencing_token > e.sent_fencing_token);
                break;
        }
        if (proven) gone.push_back(a);
    }
    for (auto& a : gone) {
        auto node = assignments.extract(a);
        if (!node.mapped().exited()) changes.push_back({AssignmentChange::lost, a, node.mapped()});
    }
    return true;
}

std::vector<wire::Command> Machine::commands(
    TimePoint now, bool launches,
    const std::function<bool(const wire::Attempt&, const Assignment&)>& may_reap) const {
    std::vector<wire::Command> out;
    for (auto& [a, e] : assignments) {
        if (e.stop_requested && !e.exited() && now >= e.stop_at &&
            (e.phase == AssignmentPhase::confirmed || e.phase == AssignmentPhase::recovered ||
             e.launch_unanswered || e.phase == AssignmentPhase::replied ||
             e.phase == AssignmentPhase::pushed)) {
            bool saving = e.phase == AssignmentPhase::confirmed && e.state == TaskState::saving;
            if (!saving || e.grace_s <= 0) out.push_back({wire::Verb::kill, a, e.grace_s});
        } else if (e.exited()) {
            // A late launch would start a reaped attempt again, so wait until none can be on its way.
            if (!e.in_flight && (!e.launch_unanswered || fencing_token_seen > e.sent_fencing_token) &&
                may_reap(a, e))
                out.push_back({wire::Verb::reap, a, 0});
        } else if (launches && !e.stop_requested &&
                   (e.phase == AssignmentPhase::ready ||
                    (e.phase == AssignmentPhase::pushed && e.launch_unanswered && !e.in_flight))) {
            out.push_back({wire::Verb::launch, a, 0});
        }
    }
    // Kills free the room that launches need.
    std::stable_sort(out.begin(), out.end(), [](auto& x, auto& y) {
        auto order = [](wire::Verb v) { return v == wire::Verb::kill ? 0 : v == wire::Verb::reap ? 1 : 2; };
        return order(x.verb) < order(y.verb);
    });
    return out;
}

}  // namespace barrowrun::fleet
