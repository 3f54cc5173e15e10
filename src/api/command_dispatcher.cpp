// A term's part with workers: heartbeats, commands, questions.
#include <spdlog/spdlog.h>

#include "api/leader.hpp"

namespace barrowrun::api {
using net::http::verb;
using namespace std::chrono_literals;

Task<Response> Leader::worker_heartbeat(wire::WorkerHeartbeat heartbeat, bool direct) {
    auto self = shared_from_this();
    const Response not_entitled{503, {{"error", "not entitled to act"}}};
    if (!may_act()) co_return not_entitled;
    auto now = Clock::now();
    last_worker_heartbeat_ = now;
    direct ? reachability_.heard_directly(now) : reachability_.heard_via_peer(now);
    auto fencing_token = services_.election.fencing_token();
    if (!recovered_) {
        auto [it, fresh] = pending_heartbeats_.try_emplace(heartbeat.machine, heartbeat);
        if (!fresh && std::pair(it->second.agent_epoch, it->second.seq) <
                          std::pair(heartbeat.agent_epoch, heartbeat.seq))
            it->second = heartbeat;
        // What the predecessor has confirmed as cancelled stands in the records, and an outage that begins
        // before they are read may last for longer than `cancel_s`.
        if (!services_.renewer.may_renew(heartbeat.machine, now)) co_return not_entitled;
        if (cell_delegations_ && !cell_delegations_->may_renew(heartbeat, nullptr)) co_return not_entitled;
        renewals_before_recovery_[heartbeat.machine] = now;
        co_return Response{200, wire::worker_heartbeat_answer(fencing_token, {})};
    }
    cluster_.lead(fencing_token, acquired_);
    bool newer = cluster_.on_heartbeat(heartbeat, true, now);
    auto* m = cluster_.find_machine(heartbeat.machine);
    if (!m) co_return not_entitled;
    if (!newer && heartbeat.agent_epoch != m->agent_epoch) co_return not_entitled;
    if (cell_delegations_ && !cell_delegations_->may_renew(heartbeat, m)) co_return not_entitled;
    if (!m->may_renew(now, renewal_period_)) co_return not_entitled;
    // Not newer, but of this agent epoch: an answer to a push has overtaken it. The worker still waits for
    // this one.
    auto commands = cluster_.reply_commands(*m, now, newer && !m->returning);
    if (commands.size() > 300) commands.resize(300);
    m->last_answer = now;
    placement_signal_.wake();
    if (cluster_.has_writes()) write_signal_.wake();
    dispatch_pending_commands();
    co_return Response{200, wire::worker_heartbeat_answer(fencing_token, commands)};
}

void Leader::lease_renewed(const std::string& machine, TimePoint when) {
    if (!recovered_)
        renewals_before_recovery_[machine] = when;
    else if (auto* m = cluster_.find_machine(machine))
        m->last_answer = std::max(m->last_answer, when);
}

void Leader::dispatch_pending_commands() {
    auto now = Clock::now();
    for (auto& name : cluster_.take_machines_with_commands()) {
        auto* m = cluster_.find_machine(name);
        if (!m || m->pushing || !m->push_reachable || !m->up || m->address.empty() || m->returning) continue;
        bool wanted = false;
        for (auto& [a, e] : m->assignments) {
            if (e.exited()) continue;
            if (e.stop_requested
                    ? (e.phase != fleet::AssignmentPhase::recording && now - e.stop_sent > 1200ms)
                    : e.phase == fleet::AssignmentPhase::ready)
                wanted = true;
        }
        if (wanted) spawn("push " + name, dispatch(name, false));
    }
}

Task<> Leader::dispatch(std::string name, bool fence) {
    bool again = true;
    for (int round = 0; again && round < 5; ++round) {
        again = false;
        auto* m = cluster_.find_machine(name);
        if (!m || m->pushing || m->returning || m->address.empty() || !may_act()) co_return;
        auto now = Clock::now();
        auto fencing_token = services_.election.fencing_token();
        cluster_.lead(fencing_token, acquired_);
        m->pushing = true;
        auto agent_epoch = m->agent_epoch;
        auto address = m->address;
        std::vector<wire::Command> commands;
        if (m->up) {
            commands = cluster_.push_commands(*m, now);
            for (auto& c : commands)
                if (c.verb == wire::Verb::kill) m->assignments.at(c.attempt).stop_sent = now;
        }
        if (commands.empty() && !fence) {
            m->pushing = false;
            co_return;
        }
        auto reply = co_await services_.workers.call(
            address, verb::post, "/commands", wire::push_json(fencing_token, agent_epoch, commands), 1500ms);
        m = cluster_.find_machine(name);
        if (!m) co_return;
        m->pushing = false;
        now = Clock::now();
        bool executed = reply.status == 200;
        bool may_execute = reply.status == 0 && reply.may_execute;
        cluster_.push_answered(*m, commands, fencing_token, executed, may_execute, now);
        if (reply.status == 200 || reply.status == 409) {
            m->push_reachable = true;
            reachability_.heard_directly(now);
            auto heartbeat = wire::parse_worker_heartbeat(reply.body);
            if (heartbeat && heartbeat->machine == name) {
                bool new_agent_epoch = heartbeat->agent_epoch != agent_epoch;
                cluster_.on_heartbeat(*heartbeat, false, now);
                m = cluster_.find_machine(name);
                // Refused for its agent epoch: once more with the right one. Refused for the token: another
                // leads.
                if (reply.status == 409) {
                    if (heartbeat->fencing_token > services_.election.fencing_token()) {
                        spdlog::warn("machine {} knows a newer token: {}", name, heartbeat->fencing_token);
                        services_.election.suspect_lost_leadership();
                        co_return;
                    }
                    again = new_agent_epoch;
                } else {
                    fence = false;
                    again = true;
                }
            } else {
                spdlog::error("machine {} answers with something that is no heartbeat", name);
            }
            placement_signal_.wake();
            if (cluster_.has_writes()) write_signal_.wake();
        } else {
            if (m->push_reachable) spdlog::info("machine {} does not answer at its address", name);
            m->push_reachable = false;
            m->probed = now;
        }
        if (again && !fence) {
            // Only if there is something new to send.
            again = false;
            m = cluster_.find_machine(name);
            if (!m) co_return;
            for (auto& [a, e] : m->assignments)
                if (!e.exited() && !e.stop_requested && e.phase == fleet::AssignmentPhase::ready)
                    again = true;
        }
    }
}

Task<> Leader::probe(std::string name) {
    auto* m = cluster_.find_machine(name);
    if (!m || m->address.empty()) co_return;
    auto reply = co_await services_.workers.call(m->address, verb::get, "/inspect", std::nullopt, 1000ms);
    m = cluster_.find_machine(name);
    if (!m) co_return;
    m->probing = false;
    auto heartbeat = reply.status == 200 ? wire::parse_worker_heartbeat(reply.body) : std::nullopt;
    if (!heartbeat || heartbeat->machine != name) {
        m->missed_probes++;
        co_return;
    }
    m->push_reachable = true;
    reachability_.heard_directly(Clock::now());
    cluster_.on_heartbeat(*heartbeat, false, Clock::now());
    placement_signal_.wake();
    dispatch_pending_commands();
}

}  // namespace barrowrun::api
