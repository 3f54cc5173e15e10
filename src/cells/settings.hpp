#pragma once
// Which cells there are, and which teams' work may go where: the operator's file, `cells`.
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.hpp"

namespace barrowrun::cells {

struct PeerCell {
    std::string name;
    std::vector<std::string> nodes;  // addresses that its controllers take other nodes' requests at
};

struct TeamRule {
    std::string home;              // the cell that owns its jobs
    std::set<std::string> run_in;  // other cells that may run parts of them
};

struct Settings {
    std::string self;
    std::vector<PeerCell> peer_cells;
    std::map<std::string, TeamRule>
        teams;  // one that isn't named is at home wherever it submits, and goes nowhere
    Clock::duration offload_after = std::chrono::seconds(10);  // that a task has waited here
    // Classes whose parts come back when their neighbour isn't heard any more, and after how long; parts of
    // others stay there until it is. Of the owner's file.
    std::map<std::string, std::chrono::milliseconds> return_after;

    // Whether a part of the team's jobs may be run here for the other cell.
    bool may_execute_for(const std::string& team, const std::string& from) const {
        auto t = teams.find(team);
        return t != teams.end() && t->second.home == from && t->second.run_in.contains(self);
    }
    bool may_delegate_to(const std::string& team, const std::string& to) const {
        auto t = teams.find(team);
        return t != teams.end() && t->second.home == self && t->second.run_in.contains(to);
    }
    // The home of a team's jobs; empty: here.
    std::string remote_home(const std::string& team) const {
        auto t = teams.find(team);
        return t == teams.end() || t->second.home == self ? std::string() : t->second.home;
    }
};

}  // namespace barrowrun::cells
