#pragma once
// Test fixtures for the scheduler's decisions: a fake clock, a small fleet and stored records.
#include <gtest/gtest.h>

#include "autoscaler/autoscaler.hpp"
#include "placement/cluster.hpp"

namespace barrowrun::testing {

using namespace std::chrono_literals;
using fleet::Machine;
using placement::Cluster;
using placement::Job;
using wire::Attempt;
using wire::Cause;
using wire::Command;
using wire::TaskState;
using wire::TaskStatus;
using wire::Verb;
using wire::WorkerHeartbeat;

// Configuration with leases so long (1e6 s) that none expires during a test.
inline placement::Config without_leases() {
    placement::Config rules;
    rules.lease_s = 1e6;
    return rules;
}

// The records that the state service holds for a cluster; the next leader can be restored from them.
struct Records {
    std::map<std::string, wire::Json> values;
    void apply(const std::vector<placement::Write>& writes) {
        for (auto& w : writes) {
            if (w.value)
                values[w.key] = *w.value;
            else
                values.erase(w.key);
        }
    }
    void accept(const state::JobRecord& record) { values["jobs/" + record.spec.id] = state::to_json(record); }
    void read_into(Cluster& cluster, TimePoint now, std::int64_t wall) const {
        for (auto& [key, value] : values)
            if (key.starts_with("jobs/")) {
                auto record = *state::parse_job_record(value);
                std::optional<state::Progress> progress;
                for (auto& [progress_key, progress_value] : values)
                    if (auto parsed = state::parse_progress_key(progress_key);
                        parsed && parsed->job == record.spec.id)
                        state::add_progress_record(progress, parsed->part, progress_value, record.spec.tasks);
                cluster.add_job(record, progress ? &*progress : nullptr, now, wall);
            }
        for (auto& [key, value] : values)
            if (auto n = state::parse_assignment_shard_key(key)) {
                auto shard = state::parse_assignment_shard(value);
                for (auto& r : *shard) cluster.recover_machine(*n, r, now, wall);
            }
    }
};

struct Fleet {
    TimePoint now = TimePoint{} + 1000s;
    std::int64_t wall = 1'000'000;
    placement::Config rules;
    std::unique_ptr<Cluster> cluster;
    std::map<std::string, std::uint64_t> seq;

    explicit Fleet(placement::Config r = {}) : rules(std::move(r)) {
        if (rules.teams.empty()) rules.teams["crew"] = {};
        restart(10);
    }
    void restart(std::uint64_t fencing_token) {
        cluster = std::make_unique<Cluster>(rules);
        cluster->set_fencing_token(fencing_token, now);
        std::vector<wire::MachineType> types(2);
        types[0] = {"small", 4, 0, 32, 30, 0.5, 1.0, 0.2, 25, {"a", "b"}};
        types[1] = {"card", 16, 4, 128, 100, 0.5, 10.0, 4.0, 30, {"a", "b"}};
        cluster->set_types(types);
    }
    wire::JobSpec spec(const std::string& id, std::uint32_t tasks = 1, double cpus = 1) {
        wire::JobSpec s;
        s.id = id;
        s.job_class = "batch";
        s.team = "crew";
        s.tasks = tasks;
        s.need = {cpus, 0, 1};
        s.image = "img";
        s.image_gb = 1;
        s.estimate_s = 20;
        return s;
    }
    Job& add(const wire::JobSpec& s) { return cluster->add_job({s, wall++}, nullptr, now, wall); }
    // Builds the machine's next heartbeat, which lists only the given tasks, whatever the cluster launched.
    WorkerHeartbeat heartbeat(const std::string& name, std::vector<TaskStatus> tasks = {},
                              std::uint64_t fencing_token = 10, const std::string& zone = "a",
                              const std::string& type = "small", bool spot = false) {
        WorkerHeartbeat r;
        r.machine = name;
        r.address = "127.0.0.1:9";
        r.type = type;
        r.zone = zone;
        r.spot = spot;
        r.agent_epoch = 1;
        r.seq = ++seq[name];
        r.fencing_token = fencing_token;
        r.tasks = std::move(tasks);
        return r;
    }
    Machine& up(const std::string& name, const std::string& zone = "a", const std::string& type = "small",
                bool spot = false) {
        cluster->on_heartbeat(heartbeat(name, {}, 10, zone, type, spot), true, now);
        return *cluster->find_machine(name);
    }
    Machine& machine(const std::string& name) { return *cluster->find_machine(name); }
    // Returns the attempts that the written assignment shards list, by machine.
    static std::map<std::string, std::vector<Attempt>> recorded(const std::vector<placement::Write>& writes) {
        std::map<std::string, std::vector<Attempt>> out;
        for (auto& w : writes) {
            if (!state::parse_assignment_shard_key(w.key)) continue;
            auto records = state::parse_assignment_shard(*w.value);
            for (auto& r : *records) out[r.name] = r.attempts;
        }
        return out;
    }
    // Takes all pending writes, reports them as durable and returns them.
    std::vector<placement::Write> write() {
        auto all = cluster->take_writes(1000, 1 << 20, now, wall);
        for (auto& w : all)
            if (w.on_durable) w.on_durable();
        return all;
    }
    std::vector<Attempt> on(const std::string& name) {
        std::vector<Attempt> out;
        for (auto& [a, e] : machine(name).assignments) out.push_back(a);
        return out;
    }
    // Pushes the machine's commands and answers with a heartbeat that shows all its attempts running.
    std::vector<Command> run(const std::string& name) {
        auto commands = cluster->push_commands(machine(name), now);
        std::vector<TaskStatus> tasks;
        for (auto& [a, e] : machine(name).assignments)
            tasks.push_back({a, TaskState::running, Cause::none, false});
        const auto token = machine(name).fencing_token_sent;
        cluster->push_answered(machine(name), commands, token, true, false, now);
        cluster->on_heartbeat(heartbeat(name, tasks, token, machine(name).zone), false, now);
        return commands;
    }
    // The leader refreshes its fencing token, and the other nodes have had time to learn of the new one.
    void refresh_fencing_token() {
        cluster->set_fencing_token(cluster->fencing_token() + 1, now);
        now += fleet::CommandTokens::propagation;
    }
    void schedule_and_write() {
        cluster->schedule_round(now);
        write();
    }
};

}  // namespace barrowrun::testing
