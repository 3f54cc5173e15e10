#pragma once
// Test helpers: a fleet whose jobs are subject to quotas.
#include "config/quotas.hpp"
#include "support.hpp"

namespace barrowrun::testing {

using wire::JobKind;
using wire::Priority;

// Parses nodes, given as the elements of the JSON list in an operator's file.
inline std::vector<quota::QuotaEntry> quota_entries(const std::string& nodes) {
    return config::parse_quotas_text("{\"nodes\":[" + nodes + "]}").set_entries;
}

// A configuration with team `crew`, which has guaranteed CPUs, and team `desk`, which has no guarantee.
inline placement::Config config_with_two_teams(double guaranteed_cpus = 4) {
    placement::Config config;
    config.teams["crew"] = {guaranteed_cpus, 0, 0, 0};
    config.teams["desk"] = {};
    return config;
}

// A fleet whose jobs belong to teams and projects.
struct QuotaFleet : Fleet {
    using Fleet::Fleet;
    wire::JobSpec job_spec(const std::string& id, const std::string& team, std::uint32_t tasks,
                           Priority priority, const std::string& project = "") {
        auto result = spec(id, tasks);
        result.team = team;
        result.project = project;
        result.priority = priority;
        return result;
    }
    quota::NodeId node(const std::string& path) { return *cluster->ledger().tree().find_by_path(path); }
    double used_cpus(const std::string& path) { return cluster->ledger().used(node(path)).cpus; }
    std::size_t stopping_tasks() {
        std::size_t count = 0;
        for (auto& [name, machine] : cluster->machines())
            for (auto& [attempt, assignment] : machine->assignments)
                count += assignment.stop_requested && !assignment.exited();
        return count;
    }
    // Writes pending records and lets the workers carry out all commands: tasks that were told to stop have
    // exited, tasks that were to start are running.
    void complete_commands() {
        write();
        for (auto& [name, machine] : cluster->machines()) {
            auto commands = cluster->push_commands(*machine, now);
            std::vector<TaskStatus> tasks;
            for (auto& [attempt, assignment] : machine->assignments) {
                if (assignment.stop_requested)
                    tasks.push_back({attempt, TaskState::exited, Cause::stopped, false});
                else
                    tasks.push_back({attempt, TaskState::running, Cause::none, false});
            }
            const auto token = machine->fencing_token_sent;
            cluster->push_answered(*machine, commands, token, true, false, now);
            cluster->on_heartbeat(heartbeat(name, tasks, token, machine->zone), false, now);
            // Exited attempts are reaped under a newer token.
            cluster->set_fencing_token(cluster->fencing_token() + 1, now);
            std::erase_if(tasks, [](auto& task) { return task.state == TaskState::exited; });
            cluster->on_heartbeat(heartbeat(name, tasks, cluster->fencing_token(), machine->zone), true, now);
        }
    }
};

// Builds a tree from nodes given as the elements of a JSON list. Errors fail the test.
inline quota::TreePtr build_tree(const std::string& nodes, const placement::Config& config) {
    auto built = quota::Tree::build(quota_entries(nodes), placement::quota_teams(config.teams));
    for (auto& error : built.errors) ADD_FAILURE() << error.str();
    return built.tree;
}

}  // namespace barrowrun::testing
