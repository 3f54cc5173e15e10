#pragma once
// One random history of placement: network partitions of a zone that delay messages, workers whose leases
// expire and that start new agent epochs, machines that boot late, and failovers between any two writes.
#include <spdlog/fmt/fmt.h>

#include <random>

#include "history.hpp"
#include "leases/leases.hpp"

namespace barrowrun::testing {

using wire::JobKind;
using wire::Priority;

struct PartitionHistory {
    static constexpr double lease_s = 10, cancel_s = 22;
    std::mt19937_64 random;
    placement::Config rules;
    TimePoint now = TimePoint{} + 1000s, partition_end{};
    std::int64_t wall = 1'000'000;
    std::uint64_t fencing_token = 10;
    std::unique_ptr<Cluster> cluster;
    Records records;
    struct Worker : SimulatedWorker {
        std::string zone;
        double clock_rate = 1;  // speed of its steady clock
        TimePoint lease_renewed{};
    };
    std::map<std::string, Worker> workers;
    std::map<std::string, TimePoint> booting;  // when each booting machine is up
    // A message that a partition delays: commands pushed to a worker, or a worker's heartbeat. The heartbeat
    // goes to the node that leads when it is delivered.
    struct DelayedMessage {
        std::string machine;
        std::uint64_t fencing_token, agent_epoch;
        std::vector<Command> commands;
        std::optional<WorkerHeartbeat> heartbeat;
    };
    std::vector<DelayedMessage> delayed_by_partition, late;
    // A controller node in zone b. It can't reach the leader during a partition of the zone or while there is
    // no leader. Its heartbeats may be delayed, and it may be restarted.
    Clock::duration renewal_period = leases::renewal_period(lease_s, cancel_s);
    std::unique_ptr<leases::LeaseRenewer> node;
    std::unique_ptr<leases::RenewalBound> bound;
    std::vector<leases::Heartbeat> delayed_heartbeats;
    std::map<std::string, TimePoint> cancelled;  // when the user was told of each cancellation
    std::size_t renewals_by_node = 0;
    std::map<std::string, wire::JobSpec> jobs;
    int job_count = 0, machine_count = 0;
    std::size_t starts = 0, agent_epochs = 0, failovers = 0, expired_leases = 0;
    std::string violation;  // empty if no rule was violated
    bool copies_answered_pushes;
    std::set<std::pair<std::string, Attempt>> reaped;  // by machine, in its agent epoch

    // `copies`: pushes that were executed and answered may arrive once more at any later time.
    explicit PartitionHistory(std::uint64_t seed, bool copies = false)
        : random(seed), copies_answered_pushes(copies) {
        rules.teams["crew"] = {};
        rules.lease_s = lease_s;
        rules.cancel_s = cancel_s;
        node = std::make_unique<leases::LeaseRenewer>("b", renewal_period, now);
        lead();
        for (int i = 0; i < 4; ++i) boot(i % 2 ? "b" : "a", now);
        advance(0s);
        for (auto& [name, w] : workers) send_heartbeat(name);
    }
    std::uint64_t pick(std::uint64_t n) { return random() % n; }
    bool partitioned(const Worker& w) const { return w.zone == "b" && now < partition_end; }
    void boot(const std::string& zone, TimePoint up) {
        auto name = "n-" + std::to_string(++machine_count);
        auto& m = cluster->add_machine(name, "small", zone, false, now);
        m.address = "127.0.0.1:9";
        cluster->mark_machine_changed(name);
        workers[name].zone = zone;
        workers[name].clock_rate = 1 + (static_cast<double>(pick(3)) - 1) * 0.0005;
        booting[name] = up;
    }
    void lead() {
        ++fencing_token;
        cluster = std::make_unique<Cluster>(rules);
        cluster->set_fencing_token(fencing_token, now);
        bound = std::make_unique<leases::RenewalBound>(std::set<std::string>{"south"}, renewal_period, now,
                                                       fencing_token);
        cluster->set_types({{"small", 4, 0, 32, 30, 0.5, 1.0, 0.2, 25, {"a", "b"}}});
        records.read_into(*cluster, now, wall);
        // Machines that are missing in the records are added from the cloud's list.
        for (auto& [name, w] : workers) {
            auto& m = cluster->add_machine(name, "small", w.zone, false, now);
            m.address = "127.0.0.1:9";
        }
    }
    void advance(Clock::duration d) {
        const bool was_partitioned = now < partition_end;
        now += d;
        for (auto it = booting.begin(); it != booting.end();) {
            if (now < it->second) {
                ++it;
                continue;
            }
            workers[it->first].lease_renewed = now;
            it = booting.erase(it);
        }
        for (auto& [name, w] : workers) {
            if (booting.contains(name)) continue;
            while (Seconds(now - w.lease_renewed).count() * w.clock_rate > lease_s) {
                w.lease_renewed += secs(lease_s / w.clock_rate);
                w.agent_epoch++, agent_epochs++;
                w.tasks.clear();
                std::erase_if(reaped, [&](auto& of) { return of.first == name; });
            }
        }
        if (was_partitioned && now >= partition_end) {
            for (auto& message : std::exchange(delayed_by_partition, {})) deliver(message);
            for (auto& heartbeat : std::exchange(delayed_heartbeats, {}))
                bound->record_heartbeat("south", heartbeat, now, true);
        }
        for (auto& [id, confirmed] : cancelled)
            if (now > confirmed + secs(cancel_s))
                for (auto& [name, w] : workers)
                    for (auto& [a, s] : w.tasks)
                        if (a.task.job == id && s.first != TaskState::exited)
                            violation = fmt::format("task {} of a cancelled job is still on machine {}",
                                                    a.task.str(), name);
    }
    void send_node_heartbeat() {
        auto heartbeat = node->heartbeat(now);
        if (now < partition_end) {
            delayed_heartbeats.push_back(heartbeat);
            return;
        }
        const auto outcome = pick(6);
        if (outcome == 0) return;  // the heartbeat is lost
        bound->record_heartbeat("south", heartbeat, now, true);
        if (outcome == 1) return;  // the answer is lost
        node->record_grant(
            now, now,
            {fencing_token, bound->timestamp_ms(now), false, cluster->machines_with_cancelled_tasks()});
    }
    // The node renews the lease of a worker in its partitioned zone if it may.
    void renew_by_node(const std::string& name) {
        Worker& w = workers[name];
        if (booting.contains(name) || !partitioned(w) ||
            !node->may_renew_in_partition(heartbeat(name), now, true))
            return;
        if (node->fencing_token() < w.fencing_token) return;  // the worker ignores the answer
        w.fencing_token = node->fencing_token();
        w.lease_renewed = now;
        ++renewals_by_node;
    }
    void deliver(DelayedMessage& message) {
        auto w = workers.find(message.machine);
        if (w == workers.end()) return;
        if (message.heartbeat) {
            // The worker's request has timed out, so it does not receive the answer.
            if (cluster->on_heartbeat(*message.heartbeat, true, now)) {
                auto* m = cluster->find_machine(message.machine);
                cluster->reply_commands(*m, now);
                m->last_answer = now;
            }
        } else {
            execute(message.machine, message.fencing_token, message.agent_epoch, message.commands);
        }
    }
    WorkerHeartbeat heartbeat(const std::string& name) {
        Worker& w = workers[name];
        return w.next_heartbeat(name, w.zone);
    }
    bool execute(const std::string& name, std::uint64_t command_token, std::uint64_t agent_epoch,
                 const std::vector<Command>& commands) {
        Worker& w = workers[name];
        if (agent_epoch != w.agent_epoch) return false;
        for (auto& command : commands) {
            auto it = w.tasks.find(command.attempt);
            if (command_token >= w.fencing_token && command.verb == Verb::reap && it != w.tasks.end() &&
                it->second.first == TaskState::exited)
                reaped.emplace(name, command.attempt);
        }
        return w.execute(command_token, commands, [&](const Attempt& attempt) { start(name, w, attempt); });
    }
    // Starts an attempt on a worker, and checks the rules that apply to a start.
    void start(const std::string& name, Worker& w, const Attempt& a) {
        const auto& spec = jobs.at(a.task.job);
        if (reaped.contains({name, a}))
            violation = fmt::format("task {}: attempt {} starts on machine {}, where it was reaped",
                                    a.task.str(), a.number, name);
        double used = 0;
        for (auto& [b, s] : w.tasks)
            if (s.first != TaskState::exited) used += jobs.at(b.task.job).need.cpus;
        if (used + spec.need.cpus > 4) {
            w.tasks[a] = {TaskState::exited, Cause::no_room};
            return;
        }
        std::uint32_t in_zone = 0, in_other_zones = 0;
        for (auto& [other, o] : workers)
            for (auto& [b, s] : o.tasks) {
                if (s.first == TaskState::exited || b.task.job != a.task.job) continue;
                (o.zone == w.zone ? in_zone : in_other_zones)++;
                if (b.task == a.task)
                    violation = fmt::format("task {} runs on machine {} and is also started on machine {}",
                                            a.task.str(), other, name);
            }
        if (spec.spread && in_zone + 1 > (spec.tasks + 1) / 2)
            violation =
                fmt::format("task {}: {} of {} replicas in one zone", a.task.str(), in_zone + 1, spec.tasks);
        if (spec.one_zone && in_other_zones > 0)
            violation = a.task.str() + " starts in another zone than its gang";
        w.tasks[a] = {TaskState::running, Cause::none};
        ++starts;
    }
    void send_heartbeat(const std::string& name) {
        Worker& w = workers[name];
        if (booting.contains(name)) return;
        if (partitioned(w) && pick(3)) return renew_by_node(name);
        auto sent_heartbeat = heartbeat(name);
        if (partitioned(w)) {
            delayed_by_partition.push_back({name, 0, 0, {}, sent_heartbeat});
            return;
        }
        if (pick(8) == 0) return;  // the heartbeat is lost
        auto sent = now;
        if (!cluster->on_heartbeat(sent_heartbeat, true, now)) return;
        auto* m = cluster->find_machine(name);
        m->last_answer = now;
        auto commands = cluster->reply_commands(*m, now);
        if (pick(8) == 0) return;  // the answer is lost, or arrives after 4 s and is ignored
        if (execute(name, m->fencing_token_sent, w.agent_epoch, commands)) w.lease_renewed = sent;
    }
    void push(const std::string& name) {
        auto* m = cluster->find_machine(name);
        if (!m) return;
        std::vector<Command> commands;
        if (m->up) commands = cluster->push_commands(*m, now);
        Worker& w = workers[name];
        const auto token = std::max(m->fencing_token_sent, cluster->first_fencing_token());
        if (booting.contains(name)) return cluster->push_answered(*m, commands, token, false, false, now);
        if (partitioned(w)) {
            delayed_by_partition.push_back({name, token, m->agent_epoch, commands, {}});
            return cluster->push_answered(*m, commands, token, false, true, now);
        }
        auto outcome = pick(8);
        if (outcome == 0) {  // the push is delayed or lost, which the leader can't distinguish
            if (pick(2)) late.push_back({name, token, m->agent_epoch, commands, {}});
            return cluster->push_answered(*m, commands, token, false, true, now);
        }
        bool ok = execute(name, token, m->agent_epoch, commands);
        if (copies_answered_pushes && ok && pick(2))
            late.push_back({name, token, m->agent_epoch, commands, {}});
        if (outcome == 1) return cluster->push_answered(*m, commands, token, false, true, now);
        cluster->push_answered(*m, commands, token, ok, false, now);
        cluster->on_heartbeat(heartbeat(name), false, now);
    }
    void write(bool crash) {
        for (;;) {
            auto writes = cluster->take_writes(4, 48 * 1024, now, wall);
            if (writes.empty()) return;
            if (crash && pick(2) == 0) {
                if (pick(2) == 0) records.apply(writes);
                return fail_over();
            }
            records.apply(writes);
            for (auto& w : writes)
                if (w.on_durable) w.on_durable();
        }
    }
    void fail_over() {
        ++failovers;
        advance(std::chrono::milliseconds(1000 + pick(2500)));
        lead();
    }
    std::string any_machine() {
        return std::next(workers.begin(), static_cast<long>(pick(workers.size())))->first;
    }
    // Accepts a random job.
    void submit_job() {
        wire::JobSpec spec;
        spec.id = "wk-" + std::to_string(++job_count);
        spec.job_class = "batch", spec.image = "img", spec.team = "crew";
        spec.tasks = static_cast<std::uint32_t>(1 + pick(5));
        spec.need = {static_cast<double>(1 + pick(2)), 0, 1};
        spec.priority = static_cast<Priority>(pick(4));
        if (pick(4) == 0) spec.kind = JobKind::gang, spec.tasks = 2, spec.one_zone = pick(2);
        if (spec.kind != JobKind::gang && pick(3) == 0) spec.kind = JobKind::service, spec.spread = pick(2);
        if (pick(2)) spec.checkpoint_s = 5, spec.save_s = 1;
        jobs[spec.id] = spec;
        state::JobRecord record{spec, wall++};
        records.accept(record);
        cluster->add_job(record, nullptr, now, wall);
    }
    // Ends a task on a random machine, or none, and sends the worker's heartbeat.
    void end_task_and_report() {
        auto name = any_machine();
        for (auto& [a, s] : workers[name].tasks)
            if (s.first == TaskState::running && jobs[a.task.job].kind == JobKind::array && pick(4) == 0) {
                s = {TaskState::exited, pick(6) ? Cause::done : Cause::error};
                break;
            }
        send_heartbeat(name);
    }
    // Delivers the oldest delayed push.
    void deliver_late_commands() {
        if (!late.empty()) {
            auto message = late.front();
            late.erase(late.begin());
            deliver(message);
        }
    }
    // Sometimes boots a machine, and sometimes returns another one.
    void scale_fleet() {
        if (pick(4) == 0) boot(pick(2) ? "a" : "b", now + secs(static_cast<double>(pick(15))));
        if (workers.size() > 4 && pick(4) == 0) {
            // The cloud has confirmed the return: the machine and everything on it are gone.
            auto name = workers.begin()->first;
            workers.erase(name);
            booting.erase(name);
            cluster->remove_machine(name, "returned", now);
        }
    }
    // Advances the clock; during a partition the node in the zone may renew leases of its workers.
    void pass_time() {
        send_node_heartbeat();
        advance(std::chrono::milliseconds(200 + pick(4000)));
        send_node_heartbeat();
        if (now < partition_end)
            for (auto& [name, w] : workers)
                if (pick(2)) renew_by_node(name);
        if (pick(40) == 0) node = std::make_unique<leases::LeaseRenewer>("b", renewal_period, now);
        std::size_t before = 0, after = 0;
        for (auto& [name, m] : cluster->machines()) before += m->assignments.size();
        cluster->tick(now,
                      [&](const std::string& zone) { return bound->latest_possible_renewal(zone, now); });
        for (auto& [name, m] : cluster->machines()) after += m->assignments.size();
        expired_leases += after < before;
    }
    // Cancels a random job; the user is told once the cancellation is recorded.
    void cancel_any_job() {
        if (!jobs.empty() && pick(4) == 0) {
            auto it = std::next(jobs.begin(), static_cast<long>(pick(jobs.size())));
            if (auto* job = cluster->find_job(it->first); job && !job->finished()) {
                cluster->cancel(*job, now);
                write(false);
                cancelled.try_emplace(it->first, now);
            }
        }
    }
    void step() {
        switch (pick(16)) {
            case 0:
                return submit_job();
            case 1:
            case 2:
            case 3:
                cluster->schedule_round(now);
                return write(false);
            case 4:
            case 5:
            case 6:
                return push(any_machine());
            case 7:
            case 8:
            case 9:
                return end_task_and_report();
            case 10:
                return deliver_late_commands();
            case 11:
                cluster->schedule_round(now);
                return write(pick(4) == 0);
            case 12:
                if (now >= partition_end && pick(3) == 0)
                    partition_end = now + secs(2 + static_cast<double>(pick(25)));
                return;
            case 13:
                return scale_fleet();
            case 14:
                return pass_time();
            default:
                cancel_any_job();
                if (cluster->has_unconfirmed_launch(now) || cluster->reaps_await_fencing_token())
                    cluster->set_fencing_token(++fencing_token, now);  // refreshes the fencing token
                if (pick(12) == 0) fail_over();
        }
    }
};

}  // namespace barrowrun::testing
