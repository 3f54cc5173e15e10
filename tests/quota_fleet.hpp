#pragma once
// A fleet with quotas, for the tests of guarantees, limits and reclaim.
#include "config/quotas.hpp"
#include "support.hpp"

namespace barrowrun::testing {

using wire::JobKind;
using wire::Priority;

// The entries of a list of nodes as in the operator's file.
inline std::vector<quota::QuotaEntry> quota_entries(const std::string& nodes) {
    return config::parse_quotas_text("{\"nodes\":[" + nodes + "]}").set_entries;
}

// Teams `crew`, with guaranteed CPUs, and `desk`, without.
inline placement::Config two_teams(double guaranteed = 4) {
    placement::Config rules;
    rules.teams["crew"] = {guaranteed, 0, 0, 0};
    rules.teams["desk"] = {};
    return rules;
}

// A fleet whose jobs belong to teams and projects.
struct QuotaFleet : Fleet {
    using Fleet::Fleet;
    wire::JobSpec of(const std::string& id, const std::string& team, std::uint32_t tasks, Priority p,
                     const std::string& project = "") {
        auto s = spec(id, tasks);
        s.team = team;
        s.project = project;
        s.priority = p;
        return s;
    }
    quota::NodeId node(const std::string& path) { return *cluster->ledger().tree().find_by_path(path); }
    double used(const std::string& path) { return cluster->ledger().used(node(path)).cpus; }
    std::size_t stopping() {
        std::size_t n = 0;
        for (auto& [name, m] : cluster->machines())
            for (auto& [a, e] : m->assignments) n += e.stop_requested && !e.exited();
        return n;
    }
    // What was told to stop has stopped, what was to start runs.
    void settle() {
        write();
        for (auto& [name, m] : cluster->machines()) {
            auto commands = cluster->push_commands(*m, now);
            std::vector<TaskStatus> tasks;
            for (auto& [a, e] : m->assignments) {
                if (e.stop_requested)
                    tasks.push_back({a, TaskState::exited, Cause::stopped, false});
                else
                    tasks.push_back({a, TaskState::running, Cause::none, false});
            }
            cluster->push_answered(*m, commands, cluster->fencing_token(), true, false, now);
            cluster->on_heartbeat(heartbeat(name, tasks, cluster->fencing_token(), m->zone), false, now);
            std::erase_if(tasks, [](auto& t) { return t.state == TaskState::exited; });
            cluster->on_heartbeat(heartbeat(name, tasks, cluster->fencing_token(), m->zone), true, now);
        }
    }
};

// The tree of the nodes, written as the operator's file has them.
inline quota::TreePtr build_tree(const std::string& nodes, const placement::Config& rules) {
    auto built = quota::Tree::build(quota_entries(nodes), placement::quota_teams(rules.teams));
    for (auto& f : built.errors) ADD_FAILURE() << f.str();
    return built.tree;
}

}  // namespace barrowrun::testing
