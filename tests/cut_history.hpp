#pragma once
// One drawn history of placement: zones that are cut off with messages held, workers whose leases expire and
// that begin new agent epochs, machines that boot late, leaders that end between any two writes.
#include <spdlog/fmt/fmt.h>

#include <random>

#include "history.hpp"
#include "leases/leases.hpp"

namespace barrowrun::testing {

using wire::JobKind;
using wire::Priority;

struct CutHistory {
    static constexpr double lease_s = 10, cancel_s = 22;
    std::mt19937_64 random;
    placement::Config rules;
    TimePoint now = TimePoint{} + 1000s, cut_until{};
    std::int64_t wall = 1'000'000;
    std::uint64_t fencing_token = 10;
    std::unique_ptr<Cluster> cluster;
    Records records;
    struct Worker : SimulatedWorker {
        std::string zone;
        double clock = 1;  // how fast its steady clock runs
        TimePoint renewed{};
    };
    std::map<std::string, Worker> workers;
    std::map<std::string, TimePoint> booting;
    // Messages that a cut holds back: pushes to the workers, reports to whoever leads by then.
    struct HeldMessage {
        std::string machine;
        std::uint64_t fencing_token, agent_epoch;
        std::vector<Command> commands;
        std::optional<WorkerHeartbeat> heartbeat;
    };
    std::vector<HeldMessage> held, late;
    // A node in zone b. It loses the leader with the zone, or when no leader is there; its signs of life may
    // be held, and it may be started anew.
    Clock::duration keep = leases::renewal_period(lease_s, cancel_s);
    std::unique_ptr<leases::LeaseRenewer> node;
    std::unique_ptr<leases::RenewalBound> bound;
    std::vector<leases::Heartbeat> held_heartbeats;
    std::map<std::string, TimePoint> cancelled;  // told to the user
    std::size_t kept = 0;
    std::map<std::string, wire::JobSpec> jobs;
    int ids = 0, names = 0;
    std::size_t starts = 0, agent_epochs = 0, failovers = 0, leases_over = 0;
    std::string broken;

    explicit CutHistory(std::uint64_t seed) : random(seed) {
        rules.teams["crew"] = {};
        rules.lease_s = lease_s;
        rules.cancel_s = cancel_s;
        node = std::make_unique<leases::LeaseRenewer>("b", keep, now);
        lead();
        for (int i = 0; i < 4; ++i) boot(i % 2 ? "b" : "a", now);
        advance(0s);
        for (auto& [name, w] : workers) send_heartbeat(name);
    }
    std::uint64_t pick(std::uint64_t n) { return random() % n; }
    bool cut(const Worker& w) const { return w.zone == "b" && now < cut_until; }
    void boot(const std::string& zone, TimePoint up) {
        auto name = "n-" + std::to_string(++names);
        auto& m = cluster->add_machine(name, "small", zone, false, now);
        m.address = "127.0.0.1:9";
        cluster->mark_machine_changed(name);
        workers[name].zone = zone;
        workers[name].clock = 1 + (static_cast<double>(pick(3)) - 1) * 0.0005;
        booting[name] = up;
    }
    void lead() {
        ++fencing_token;
        cluster = std::make_unique<Cluster>(rules);
        cluster->lead(fencing_token, now);
        bound =
            std::make_unique<leases::RenewalBound>(std::set<std::string>{"south"}, keep, now, fencing_token);
        cluster->set_types({{"small", 4, 0, 32, 30, 0.5, 1.0, 0.2, 25, {"a", "b"}}});
        records.read_into(*cluster, now, wall);
        // Whatever its records don't say the cloud lists.
        for (auto& [name, w] : workers) {
            auto& m = cluster->add_machine(name, "small", w.zone, false, now);
            m.address = "127.0.0.1:9";
        }
    }
    void advance(Clock::duration d) {
        const bool was_cut = now < cut_until;
        now += d;
        for (auto it = booting.begin(); it != booting.end();) {
            if (now < it->second) {
                ++it;
                continue;
            }
            workers[it->first].renewed = now;
            it = booting.erase(it);
        }
        for (auto& [name, w] : workers) {
            if (booting.contains(name)) continue;
            while (Seconds(now - w.renewed).count() * w.clock > lease_s) {
                w.renewed += secs(lease_s / w.clock);
                w.agent_epoch++, agent_epochs++;
                w.tasks.clear();
            }
        }
        if (was_cut && now >= cut_until) {
            for (auto& h : std::exchange(held, {})) deliver(h);
            for (auto& s : std::exchange(held_heartbeats, {})) bound->heard("south", s, now, true);
        }
        for (auto& [id, told] : cancelled)
            if (now > told + secs(cancel_s))
                for (auto& [name, w] : workers)
                    for (auto& [a, s] : w.tasks)
                        if (a.task.job == id && s.first != TaskState::exited)
                            broken = fmt::format("{} is still on {}", a.task.str(), name);
    }
    void sign_of_life() {
        auto heartbeat = node->heartbeat(now);
        if (now < cut_until) {
            held_heartbeats.push_back(heartbeat);
            return;
        }
        const auto how = pick(6);
        if (how == 0) return;  // lost
        bound->heard("south", heartbeat, now, true);
        if (how == 1) return;  // its answer is
        node->granted(
            now, now,
            {fencing_token, bound->timestamp_ms(now), false, cluster->machines_with_cancelled_tasks()});
    }
    // Cut off with its zone, the node answers its workers by itself as far as it may.
    void keep_lease(const std::string& name) {
        Worker& w = workers[name];
        if (booting.contains(name) || !cut(w) || !node->may_renew_cut_off(heartbeat(name), now, true)) return;
        if (node->fencing_token() < w.fencing_token) return;  // dropped
        w.fencing_token = node->fencing_token();
        w.renewed = now;
        ++kept;
    }
    void deliver(HeldMessage& h) {
        auto w = workers.find(h.machine);
        if (w == workers.end()) return;
        if (h.heartbeat) {
            // Its sender has given up: the answer reaches nobody.
            if (cluster->on_heartbeat(*h.heartbeat, true, now)) {
                auto* m = cluster->find_machine(h.machine);
                cluster->reply_commands(*m, now);
                m->last_answer = now;
            }
        } else {
            execute(h.machine, h.fencing_token, h.agent_epoch, h.commands);
        }
    }
    WorkerHeartbeat heartbeat(const std::string& name) {
        Worker& w = workers[name];
        return w.next_heartbeat(name, w.zone);
    }
    bool execute(const std::string& name, std::uint64_t under, std::uint64_t agent_epoch,
                 const std::vector<Command>& commands) {
        Worker& w = workers[name];
        if (agent_epoch != w.agent_epoch) return false;
        return w.execute(under, commands, [&](const Attempt& attempt) { start(name, w, attempt); });
    }
    // The rules, at the moment of a start.
    void start(const std::string& name, Worker& w, const Attempt& a) {
        const auto& spec = jobs.at(a.task.job);
        double used = 0;
        for (auto& [b, s] : w.tasks)
            if (s.first != TaskState::exited) used += jobs.at(b.task.job).need.cpus;
        if (used + spec.need.cpus > 4) {
            w.tasks[a] = {TaskState::exited, Cause::no_room};
            return;
        }
        std::uint32_t here = 0, elsewhere = 0;
        for (auto& [other, o] : workers)
            for (auto& [b, s] : o.tasks) {
                if (s.first == TaskState::exited || b.task.job != a.task.job) continue;
                (o.zone == w.zone ? here : elsewhere)++;
                if (b.task == a.task)
                    broken = fmt::format("{} runs on {} and is started on {}", a.task.str(), other, name);
            }
        if (spec.spread && here + 1 > (spec.tasks + 1) / 2)
            broken = fmt::format("{}: {} of {} in one zone", a.task.str(), here + 1, spec.tasks);
        if (spec.one_zone && elsewhere > 0) broken = a.task.str() + " starts in another zone";
        w.tasks[a] = {TaskState::running, Cause::none};
        ++starts;
    }
    void send_heartbeat(const std::string& name) {
        Worker& w = workers[name];
        if (booting.contains(name)) return;
        if (cut(w) && pick(3)) return keep_lease(name);
        auto r = heartbeat(name);
        if (cut(w)) {
            held.push_back({name, 0, 0, {}, r});
            return;
        }
        if (pick(8) == 0) return;  // lost
        auto sent = now;
        if (!cluster->on_heartbeat(r, true, now)) return;
        auto* m = cluster->find_machine(name);
        m->last_answer = now;
        auto commands = cluster->reply_commands(*m, now);
        if (pick(8) == 0) return;  // the answer is lost, or comes after four seconds
        if (execute(name, fencing_token, w.agent_epoch, commands)) w.renewed = sent;
    }
    void push(const std::string& name) {
        auto* m = cluster->find_machine(name);
        if (!m) return;
        std::vector<Command> commands;
        if (m->up) commands = cluster->push_commands(*m, now);
        Worker& w = workers[name];
        if (booting.contains(name))
            return cluster->push_answered(*m, commands, fencing_token, false, false, now);
        if (cut(w)) {
            held.push_back({name, fencing_token, m->agent_epoch, commands, {}});
            return cluster->push_answered(*m, commands, fencing_token, false, true, now);
        }
        auto how = pick(8);
        if (how == 0) {  // late, or lost: nobody can tell
            if (pick(2)) late.push_back({name, fencing_token, m->agent_epoch, commands, {}});
            return cluster->push_answered(*m, commands, fencing_token, false, true, now);
        }
        bool ok = execute(name, fencing_token, m->agent_epoch, commands);
        if (how == 1) return cluster->push_answered(*m, commands, fencing_token, false, true, now);
        cluster->push_answered(*m, commands, fencing_token, ok, false, now);
        cluster->on_heartbeat(heartbeat(name), false, now);
    }
    void write(bool crash) {
        for (;;) {
            auto writes = cluster->take_writes(4, 48 * 1024, now, wall);
            if (writes.empty()) return;
            if (crash && pick(2) == 0) {
                if (pick(2) == 0) records.apply(writes);
                return successor();
            }
            records.apply(writes);
            for (auto& w : writes)
                if (w.durable) w.durable();
        }
    }
    void successor() {
        ++failovers;
        advance(std::chrono::milliseconds(1000 + pick(2500)));
        lead();
    }
    std::string any() { return std::next(workers.begin(), static_cast<long>(pick(workers.size())))->first; }
    // A job of any kind is accepted.
    void submit_job() {
        wire::JobSpec s;
        s.id = "wk-" + std::to_string(++ids);
        s.job_class = "batch", s.image = "img", s.team = "crew";
        s.tasks = static_cast<std::uint32_t>(1 + pick(5));
        s.need = {static_cast<double>(1 + pick(2)), 0, 1};
        s.priority = static_cast<Priority>(pick(4));
        if (pick(4) == 0) s.kind = JobKind::gang, s.tasks = 2, s.one_zone = pick(2);
        if (s.kind != JobKind::gang && pick(3) == 0) s.kind = JobKind::service, s.spread = pick(2);
        if (pick(2)) s.checkpoint_s = 5, s.save_s = 1;
        jobs[s.id] = s;
        state::JobRecord record{s, wall++};
        records.accept(record);
        cluster->add_job(record, nullptr, now, wall);
    }
    // A task on some machine may end, and its worker sends a heartbeat.
    void end_task_and_report() {
        auto name = any();
        for (auto& [a, s] : workers[name].tasks)
            if (s.first == TaskState::running && jobs[a.task.job].kind == JobKind::array && pick(4) == 0) {
                s = {TaskState::exited, pick(6) ? Cause::done : Cause::error};
                break;
            }
        send_heartbeat(name);
    }
    // The oldest late push arrives.
    void deliver_late_commands() {
        if (!late.empty()) {
            auto l = late.front();
            late.erase(late.begin());
            deliver(l);
        }
    }
    // A machine may boot, another may be returned.
    void scale_fleet() {
        if (pick(4) == 0) boot(pick(2) ? "a" : "b", now + secs(static_cast<double>(pick(15))));
        if (workers.size() > 4 && pick(4) == 0) {
            // Returned, with an answer: it is gone with all that is on it.
            auto name = workers.begin()->first;
            workers.erase(name);
            booting.erase(name);
            cluster->machine_gone(name, "returned", now);
        }
    }
    // Time passes, in which a node that is cut off may renew leases of its zone.
    void pass_time() {
        sign_of_life();
        advance(std::chrono::milliseconds(200 + pick(4000)));
        sign_of_life();
        if (now < cut_until)
            for (auto& [name, w] : workers)
                if (pick(2)) keep_lease(name);
        if (pick(40) == 0) node = std::make_unique<leases::LeaseRenewer>("b", keep, now);
        std::size_t live = 0, after = 0;
        for (auto& [name, m] : cluster->machines()) live += m->assignments.size();
        cluster->tick(now, [&](const std::string& zone) { return bound->latest_renewal(zone, now); });
        for (auto& [name, m] : cluster->machines()) after += m->assignments.size();
        leases_over += after < live;
    }
    // A user cancels a job, and is told so once it is on record.
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
                return push(any());
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
                if (now >= cut_until && pick(3) == 0)
                    cut_until = now + secs(2 + static_cast<double>(pick(25)));
                return;
            case 13:
                return scale_fleet();
            case 14:
                return pass_time();
            default:
                cancel_any_job();
                if (cluster->has_unanswered_launch(now))
                    cluster->lead(++fencing_token, now);  // the token is refreshed
                if (pick(12) == 0) successor();
        }
    }
};

}  // namespace barrowrun::testing
