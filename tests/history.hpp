#pragma once
// Fixtures for randomized histories of the leader's decisions: simulated workers and a silenced log.
#include <spdlog/spdlog.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "support.hpp"

namespace barrowrun::testing {

// Suppresses log lines below critical while it exists: ten thousand histories would flood the log.
class QuietLog {
  public:
    QuietLog() { spdlog::set_level(spdlog::level::critical); }
    ~QuietLog() { spdlog::set_level(before_); }
    QuietLog(const QuietLog&) = delete;
    QuietLog& operator=(const QuietLog&) = delete;

  private:
    spdlog::level::level_enum before_ = spdlog::get_level();
};

// Simulates a worker agent: the attempts that are really on its machine and the highest fencing token it saw.
struct SimulatedWorker {
    std::uint64_t agent_epoch = 1, seq = 0, fencing_token = 0;
    std::map<Attempt, std::pair<TaskState, Cause>> tasks;

    // Returns the next heartbeat, sent under the given machine name.
    WorkerHeartbeat next_heartbeat(const std::string& name, const std::string& zone) {
        WorkerHeartbeat heartbeat;
        heartbeat.machine = name;
        heartbeat.address = "127.0.0.1:9";
        heartbeat.type = "small";
        heartbeat.zone = zone;
        heartbeat.agent_epoch = agent_epoch;
        heartbeat.seq = ++seq;
        heartbeat.fencing_token = fencing_token;
        for (auto& [attempt, state] : tasks)
            heartbeat.tasks.push_back({attempt, state.first, state.second, false});
        return heartbeat;
    }

    // Executes commands; returns false and executes none if a newer fencing token was seen before.
    // `launch(attempt)` adds an attempt that isn't listed yet to `tasks`.
    template <class Launch>
    bool execute(std::uint64_t command_token, const std::vector<Command>& commands, Launch launch) {
        if (command_token < fencing_token) return false;
        fencing_token = command_token;
        for (auto& command : commands) {
            auto known = tasks.find(command.attempt);
            if (known == tasks.end()) {
                if (command.verb == Verb::launch) launch(command.attempt);
                continue;
            }
            auto& state = known->second;
            const bool exited = state.first == TaskState::exited;
            if (command.verb == Verb::kill && !exited) state = {TaskState::exited, Cause::stopped};
            if (command.verb == Verb::reap && exited) tasks.erase(known);
        }
        return true;
    }
};

}  // namespace barrowrun::testing
