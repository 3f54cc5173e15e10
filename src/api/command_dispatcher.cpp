#include "api/command_dispatcher.hpp"

#include <spdlog/spdlog.h>

namespace barrowrun::api {
using fleet::AssignmentPhase;
using net::Task;
using net::http::verb;
using namespace std::chrono_literals;

namespace {
constexpr std::chrono::milliseconds command_deadline{1500}, status_deadline{1000};
// A kill command is sent again after this time if the task has not exited.
constexpr std::chrono::milliseconds kill_repeat_interval{1200};
// Most requests of one dispatch: commands that become pending during a request are sent with the next one.
constexpr int max_rounds = 5;

bool launch_ready(const fleet::Machine& machine) {
    for (auto& [attempt, assignment] : machine.assignments)
        if (!assignment.exited() && !assignment.stop_requested && assignment.phase == AssignmentPhase::ready)
            return true;
    return false;
}

// The report in the worker's answer; nothing if the answer is not a report of this machine.
std::optional<wire::WorkerHeartbeat> report_of(const fleet::Machine& machine, const net::Reply& reply) {
    if (reply.status != 200 && reply.status != 409) return std::nullopt;
    auto heartbeat = wire::parse_worker_heartbeat(reply.body);
    if (heartbeat && heartbeat->machine == machine.name) return heartbeat;
    spdlog::error("machine {}: the response to a command request is not a heartbeat of this machine",
                  machine.name);
    return std::nullopt;
}

bool kill_due(const fleet::Machine& machine, TimePoint now) {
    for (auto& [attempt, assignment] : machine.assignments)
        if (!assignment.exited() && assignment.stop_requested &&
            assignment.phase != AssignmentPhase::recording &&
            now - assignment.stop_sent > kill_repeat_interval)
            return true;
    return false;
}
}  // namespace

void CommandDispatcher::dispatch_pending() {
    auto now = Clock::now();
    for (auto& name : host_.cluster.take_machines_with_commands()) {
        auto* machine = host_.cluster.find_machine(name);
        if (!machine || machine->push_in_flight || !machine->push_reachable || !machine->up ||
            machine->address.empty() || machine->returning)
            continue;
        if (launch_ready(*machine) || kill_due(*machine, now))
            host_.spawn("command push to machine " + name, dispatch(name, Purpose::commands));
    }
}

void CommandDispatcher::fence(const std::string& machine) {
    host_.spawn("fencing of machine " + machine, dispatch(machine, Purpose::fence));
}

void CommandDispatcher::fence_all(std::deque<std::string> machines, int at_once) {
    auto shared = std::make_shared<std::deque<std::string>>(std::move(machines));
    for (int i = 0; i < at_once; ++i) host_.spawn("fences", fence_known_workers(shared));
}

Task<> CommandDispatcher::fence_known_workers(std::shared_ptr<std::deque<std::string>> machines) {
    while (!machines->empty()) {
        auto name = std::move(machines->front());
        machines->pop_front();
        // A machine that has sent a heartbeat to this leader in the meantime has seen its fencing token.
        auto* machine = host_.cluster.find_machine(name);
        if (machine && !(machine->up && machine->fencing_token_seen >= host_.cluster.first_fencing_token()))
            co_await dispatch(name, Purpose::fence);
    }
}

// During the request the machine may be removed, send a heartbeat, or be assigned other tasks, and leadership
// may be lost.
Task<> CommandDispatcher::dispatch(std::string name, Purpose purpose) {
    auto& cluster = host_.cluster;
    for (int round = 0; round < max_rounds; ++round) {
        auto* machine = cluster.find_machine(name);
        if (!machine || machine->push_in_flight || machine->returning || machine->address.empty() ||
            !host_.may_act())
            co_return;
        auto now = Clock::now();
        cluster.set_fencing_token(services_.election.fencing_token(), now);
        if (purpose == Purpose::fence) machine->fencing_token_sent = cluster.fencing_token();
        auto address = machine->address;
        std::vector<wire::Command> commands;
        if (machine->up) commands = cluster.push_commands(*machine, now);
        const Sent sent{machine->fencing_token_sent, machine->agent_epoch};
        for (auto& command : commands)
            if (command.verb == wire::Verb::kill) machine->assignments.at(command.attempt).stop_sent = now;
        if (commands.empty() && purpose != Purpose::fence) co_return;
        spdlog::debug("machine {}: sends {} commands under fencing token {} for agent epoch {}", name,
                      commands.size(), sent.fencing_token, sent.agent_epoch);
        machine->push_in_flight = true;
        auto reply = co_await services_.workers.call(
            address, verb::post, "/commands", wire::push_json(sent.fencing_token, sent.agent_epoch, commands),
            command_deadline);
        machine = cluster.find_machine(name);
        if (!machine) co_return;
        machine->push_in_flight = false;
        now = Clock::now();
        const auto report = report_of(*machine, reply);
        const bool executed = reply.status == 200 && report;
        // What a worker did whose answer can't be read is as unknown as without an answer.
        const bool may_execute = reply.status == 200 ? !report : reply.status == 0 && reply.may_execute;
        cluster.push_answered(*machine, commands, sent.fencing_token, executed, may_execute, now);
        const auto next = handle_response(*machine, reply.status, report, sent, now);
        if (next == NextStep::done) co_return;
        if (next == NextStep::check_for_more) purpose = Purpose::commands;
        if (purpose == Purpose::fence) continue;
        // Another request is needed only if a launch became ready during this one.
        machine = cluster.find_machine(name);
        if (!machine || !launch_ready(*machine)) co_return;
    }
}

CommandDispatcher::NextStep CommandDispatcher::handle_response(
    fleet::Machine& machine, int status, const std::optional<wire::WorkerHeartbeat>& report, Sent sent,
    TimePoint now) {
    const bool executed = status == 200, refused = status == 409;
    if (!executed && !refused) {
        if (machine.push_reachable)
            spdlog::info("machine {}: no response at its address, commands wait for its heartbeats",
                         machine.name);
        machine.push_reachable = false;
        machine.last_probe = now;
        return NextStep::done;
    }
    machine.push_reachable = true;
    host_.worker_answered(now);
    auto next = NextStep::done;
    if (report) {
        host_.cluster.on_heartbeat(*report, false, now);
        // The worker refuses an outdated fencing token if another node leads by now, or if a node of its zone
        // has renewed its lease under a newer token of this leader. It also refuses an outdated agent epoch.
        // Unless another node leads, the request is repeated with the current ones.
        if (refused && report->fencing_token > services_.election.fencing_token()) {
            spdlog::warn("machine {}: its worker has seen the newer fencing token {}, another node may lead",
                         report->machine, report->fencing_token);
            services_.election.suspect_lost_leadership();
            return NextStep::done;
        }
        if (executed)
            next = NextStep::check_for_more;
        else if (report->agent_epoch != sent.agent_epoch || report->fencing_token > sent.fencing_token)
            next = NextStep::repeat;
    }
    host_.wake_placement();
    host_.wake_writes_if_any();
    return next;
}

void CommandDispatcher::probe(fleet::Machine& machine) {
    machine.probe_in_flight = true;
    host_.spawn("probe of machine " + machine.name, request_status(machine.name));
}

Task<> CommandDispatcher::request_status(std::string name) {
    auto* machine = host_.cluster.find_machine(name);
    if (!machine || machine->address.empty()) co_return;
    auto reply = co_await services_.workers.call(machine->address, verb::get, "/inspect", std::nullopt,
                                                 status_deadline);
    machine = host_.cluster.find_machine(name);
    if (!machine) co_return;
    machine->probe_in_flight = false;
    auto heartbeat = reply.status == 200 ? wire::parse_worker_heartbeat(reply.body) : std::nullopt;
    if (!heartbeat || heartbeat->machine != name) {
        machine->missed_probes++;
        co_return;
    }
    machine->push_reachable = true;
    host_.worker_answered(Clock::now());
    host_.cluster.on_heartbeat(*heartbeat, false, Clock::now());
    host_.wake_placement();
    dispatch_pending();
}

}  // namespace barrowrun::api
