#pragma once
// Typed messages between workers and controllers, and between controllers and the cloud. The field names of
// the protocol appear only in the .cpp files of this folder.
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "wire/codec.hpp"

namespace barrowrun::wire {

struct TaskId {
    std::string job;
    std::uint32_t index = 0;
    auto operator<=>(const TaskId&) const = default;
    std::string str() const { return job + "/" + std::to_string(index); }
    static std::optional<TaskId> parse(std::string_view s);
};

// One start of a task. Attempt numbers are never reused, so an attempt is identified by task and number for
// good.
struct Attempt {
    TaskId task;
    std::uint64_t number = 0;
    auto operator<=>(const Attempt&) const = default;
};

struct AttemptHash {
    std::size_t operator()(const Attempt& a) const {
        std::size_t h = std::hash<std::string>{}(a.task.job);
        h = h * 1099511628211ULL + a.task.index;
        return h * 1099511628211ULL + static_cast<std::size_t>(a.number);
    }
};

enum class TaskState { fetching, waiting, running, saving, exited };
enum class Cause { none, done, stopped, peers, alone, error, no_room, busy, unknown };

struct TaskStatus {
    Attempt attempt;
    TaskState state = TaskState::running;
    Cause cause = Cause::none;
    bool checkpointed = false;
};

struct WorkerHeartbeat {
    std::string machine, address, type, zone;
    bool spot = false;
    std::uint64_t agent_epoch = 0, seq = 0, fencing_token = 0;
    std::optional<double> notice_s;
    std::vector<TaskStatus> tasks;
};

enum class Verb { launch, kill, reap };

struct Command {
    Verb verb = Verb::launch;
    Attempt attempt;
    double grace_s = 0;
};

std::optional<WorkerHeartbeat> parse_worker_heartbeat(const Json& body);
Json worker_heartbeat_json(const WorkerHeartbeat& heartbeat);
Json commands_json(const std::vector<Command>& commands);
// Reads the commands from the answer to a heartbeat or from a push. No command list gives an empty list;
// returns nothing if the list is invalid.
std::optional<std::vector<Command>> parse_commands(const Json& body);
std::optional<std::uint64_t> parse_fencing_token(const Json& body);
std::optional<std::uint64_t> parse_agent_epoch(const Json& body);
std::optional<std::string> parse_redirect(const Json& body);
Json worker_heartbeat_answer(std::uint64_t fencing_token, const std::vector<Command>& commands);
Json push_json(std::uint64_t fencing_token, std::uint64_t agent_epoch, const std::vector<Command>& commands);
Json redirect_answer(const std::string& leader);  // `leader` is empty if none is known
const char* exit_cause_name(Cause cause);
const char* task_state_name(TaskState state);

// Messages between controllers and the cloud.
struct MachineType {
    std::string name;
    double cpus = 0, gpus = 0, mem_gb = 0, cache_gb = 0, fetch_gb_per_s = 0.1, price = 0, spot_price = 0,
           boot_s = 30;
    std::vector<std::string> zones;
};
struct ListedMachine {
    std::string name, address, type, zone;
    bool spot = false;
    enum class State { booting, running, failed } state = State::booting;
    double age_s = 0;
};
struct MachineList {
    std::vector<ListedMachine> machines;
    bool more = false;  // the list is truncated: further pages follow
};

std::optional<std::vector<MachineType>> parse_types(const Json& body);
Json types_json(const std::vector<MachineType>& types);
std::optional<MachineList> parse_machine_list(const Json& body);
std::optional<std::vector<std::string>> parse_machine_names(const Json& body);
// The cloud's side of the messages: the request that it reads, and its answers.
struct ProvisioningRequest {
    std::string request, type, zone;
    bool spot = false;
    int count = 0;
};
std::optional<ProvisioningRequest> parse_provisioning_request(const Json& body);
Json machine_names_json(const std::vector<std::string>& names);
Json machine_list_json(const MachineList& list);
Json provisioning_request_json(const std::string& request, const std::string& type, const std::string& zone,
                               bool spot, int n);
Json return_request_json(const std::vector<std::string>& names);
std::string list_target(const std::string& after, int limit);

}  // namespace barrowrun::wire
