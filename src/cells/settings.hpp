#pragma once
/// Which cells there are, and which teams' jobs may be delegated where: `cells` in the operator's file.
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.hpp"

namespace barrowrun::cells {

/// Another cell.
struct PeerCell {
    std::string name;
    std::vector<std::string> nodes;  ///< addresses at which its controllers take requests of other nodes
};

/// Where jobs of a team belong, and where shards of them may run.
struct TeamRule {
    std::string home;              ///< the origin of its jobs
    std::set<std::string> run_in;  ///< other cells that may execute shards of them
};

/// The operator's settings of cells, as this cell sees them.
struct Settings {
    std::string self;
    std::vector<PeerCell> peer_cells;
    /// A team without a rule is at home wherever it submits, and its jobs are never delegated.
    std::map<std::string, TeamRule> teams;
    /// How long a task waits here before it is offered to another cell.
    Clock::duration offload_after = std::chrono::seconds(10);
    /// Job classes whose shards have a deadline, and how far ahead it is set. Shards of other classes stay
    /// with an executor that can't be reached until it replies.
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
    /// The team's home if it is another cell; empty if it is this one.
    std::string remote_home(const std::string& team) const {
        auto rule = teams.find(team);
        return rule == teams.end() || rule->second.home == self ? std::string() : rule->second.home;
    }
};

}  // namespace barrowrun::cells
