#pragma once
/// The other cells, and the cells to which each team's jobs may be delegated: `cells` in the operator's file.
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.hpp"

namespace barrowrun::cells {

/// Another cell.
struct PeerCell {
    std::string name;
    std::vector<std::string> nodes;  ///< addresses at which its controllers accept requests of other nodes
};

/// The home cell of a team's jobs, and the other cells in which shards of these jobs may run.
struct TeamRule {
    std::string home;              ///< the origin cell of the team's jobs
    std::set<std::string> run_in;  ///< other cells that may execute shards of the team's jobs
};

/// The operator's settings of cells, from the point of view of this cell.
struct Settings {
    std::string self;  ///< name of this cell
    std::vector<PeerCell> peer_cells;
    /// Rules by team. A team without a rule may submit to any cell, and its jobs are never delegated.
    std::map<std::string, TeamRule> teams;
    /// How long a task waits in this cell before it is offered to another cell.
    Clock::duration offload_after = std::chrono::seconds(10);
    /// For each job class whose shards have a deadline, how far in the future the deadline is set. Shards of
    /// other classes stay with an executor that can't be reached until it replies.
    std::map<std::string, std::chrono::milliseconds> return_after;

    /// Whether this cell may execute shards of the team's jobs for the cell `from`.
    bool may_execute_for(const std::string& team, const std::string& from) const {
        auto rule = teams.find(team);
        return rule != teams.end() && rule->second.home == from && rule->second.run_in.contains(self);
    }
    /// Whether this cell may delegate shards of the team's jobs to the cell `to`.
    bool may_delegate_to(const std::string& team, const std::string& to) const {
        auto rule = teams.find(team);
        return rule != teams.end() && rule->second.home == self && rule->second.run_in.contains(to);
    }
    /// Returns the team's home cell if it is another cell; empty if it is this cell or the team has no rule.
    std::string remote_home(const std::string& team) const {
        auto rule = teams.find(team);
        return rule == teams.end() || rule->second.home == self ? std::string() : rule->second.home;
    }
};

}  // namespace barrowrun::cells
