// Commands to workers: which are sent, and what their answers settle.
#include <spdlog/spdlog.h>

#include "placement/cluster.hpp"

namespace barrowrun::placement {
using wire::Cause;

namespace {
// Responses and heartbeats are limited to 64 KiB each; more commands would not fit.
constexpr std::size_t max_commands_per_push = 300;
// A launch push of unknown outcome is voided by a new fencing token after this, unless a heartbeat settles
// it.
constexpr double unconfirmed_launch_s = 3;
}  // namespace

bool Cluster::may_reap(const Attempt& a, const Assignment& e) const {
    if (has_unrecorded_error(a, e)) return false;
    if (e.cause != Cause::done) return true;
    auto it = jobs_.find(a.task.job);
    // A result is reaped only once it is recorded.
    return it == jobs_.end() || it->second->cancelled || it->second->durable_done.contains(a.task.index);
}

// Drops assignments that are to be stopped and whose launch was never sent.
void Cluster::drop_unsent_starts(Machine& m) {
    std::vector<Attempt> dropped;
    for (auto& [a, e] : m.assignments)
        if (e.stop_requested && !e.launch_unanswered && !e.in_flight && !e.may_have_been_sent())
            dropped.push_back(a);
    for (auto& a : dropped) {
        release_charge(m.assignments.at(a));
        m.assignments.erase(a);
        capacity_index_.mark_changed(m);
        if (Job* job = find_job(a.task.job)) unplace(*job, a.task.index, m.name, a.number);
    }
}

std::vector<wire::Command> Cluster::commands(Machine& m, bool launches, bool reaps, TimePoint now) {
    drop_unsent_starts(m);
    const auto reapable = [&](auto& a, auto& e) { return reaps && may_reap(a, e); };
    tokens_.choose_for(m, m.launches_to_void(reapable), now);
    auto out = m.commands(now, launches, reapable);
    for (auto& c : out) {
        if (c.verb != wire::Verb::reap) continue;
        reaped_.add(c.attempt, m.name, m.fencing_token_sent, now);
        spdlog::debug("task {}: attempt {} is reaped on machine {} under fencing token {}, its launch has {}",
                      c.attempt.task.str(), c.attempt.number, m.name, m.fencing_token_sent,
                      m.assignments.at(c.attempt).direct_launch_token);
    }
    return out;
}

std::vector<wire::Command> Cluster::reply_commands(Machine& m, TimePoint now, bool all) {
    // Launches are pushed to workers whose address answers; only the other workers get them in a response.
    auto out = commands(m, all && !m.push_reachable, all, now);
    for (auto& c : out)
        if (c.verb == wire::Verb::launch) {
            Assignment& e = m.assignments.at(c.attempt);
            e.phase = AssignmentPhase::replied;
            e.reply_seq = m.seq;
            e.agent_epoch = m.agent_epoch;
        }
    return out;
}

std::vector<wire::Command> Cluster::push_commands(Machine& m, TimePoint now) {
    auto out = commands(m, true, true, now);
    if (out.size() > max_commands_per_push) out.resize(max_commands_per_push);
    for (auto& c : out)
        if (c.verb == wire::Verb::launch) {
            Assignment& e = m.assignments.at(c.attempt);
            e.phase = AssignmentPhase::pushed;
            e.in_flight = true;
            e.direct_launch_token = m.fencing_token_sent;
            e.agent_epoch = m.agent_epoch;
        }
    return out;
}

void Cluster::push_answered(Machine& m, const std::vector<wire::Command>& sent, std::uint64_t fencing_token,
                            bool executed, bool may_execute, TimePoint) {
    for (auto& c : sent) {
        if (c.verb != wire::Verb::launch) continue;
        auto it = m.assignments.find(c.attempt);
        if (it == m.assignments.end()) continue;
        Assignment& e = it->second;
        e.in_flight = false;
        if (executed) continue;  // settled by the heartbeat in the reply
        if (may_execute) {
            e.launch_unanswered = true;
            e.direct_launch_token = std::max(e.direct_launch_token, fencing_token);
        } else if (e.phase == AssignmentPhase::pushed && !e.launch_unanswered) {
            e.phase = AssignmentPhase::ready;
            e.direct_launch_token = 0;
        }
    }
}

bool Cluster::has_unconfirmed_launch(TimePoint now) const {
    for (auto& [name, m] : machines_)
        for (auto& [a, e] : m->assignments)
            if (e.launch_unconfirmed() && e.direct_launch_token >= tokens_.current() &&
                !e.launch_is_void(m->fencing_token_seen) && now - e.placed_at > secs(unconfirmed_launch_s))
                return true;
    return false;
}

}  // namespace barrowrun::placement
