#include "wire/messages.hpp"

#include <charconv>
#include <utility>

namespace barrowrun::wire {
namespace {

constexpr std::pair<TaskState, const char*> state_names[] = {{TaskState::fetching, "pulling"},
                                                             {TaskState::waiting, "waiting"},
                                                             {TaskState::running, "running"},
                                                             {TaskState::saving, "flushing"},
                                                             {TaskState::exited, "ended"}};
constexpr std::pair<Cause, const char*> cause_names[] = {
    {Cause::done, "done"},   {Cause::stopped, "stopped"}, {Cause::peers, "peers"},
    {Cause::alone, "alone"}, {Cause::error, "error"},     {Cause::no_room, "full"},
    {Cause::busy, "busy"},   {Cause::unknown, "unknown"}};
constexpr std::pair<Verb, const char*> verb_names[] = {
    {Verb::launch, "launch"}, {Verb::kill, "kill"}, {Verb::reap, "reap"}};

template <class E, std::size_t N>
const char* wire_name(const std::pair<E, const char*> (&table)[N], E value) {
    for (auto& [e, w] : table)
        if (e == value) return w;
    return "none";
}

template <class E, std::size_t N>
std::optional<E> from_wire_name(const std::pair<E, const char*> (&table)[N], const std::string& word) {
    for (auto& [e, w] : table)
        if (word == w) return e;
    return std::nullopt;
}

}  // namespace

std::optional<TaskId> TaskId::parse(std::string_view s) {
    auto slash = s.rfind('/');
    if (slash == std::string_view::npos || slash == 0 || slash + 1 == s.size()) return std::nullopt;
    TaskId id;
    id.job = std::string(s.substr(0, slash));
    auto digits = s.substr(slash + 1);
    auto [p, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), id.index);
    if (ec != std::errc{} || p != digits.data() + digits.size()) return std::nullopt;
    return id;
}

const char* exit_cause_name(Cause cause) {
    return wire_name(cause_names, cause);
}
const char* task_state_name(TaskState state) {
    return wire_name(state_names, state);
}

std::optional<WorkerHeartbeat> parse_worker_heartbeat(const Json& body) {
    auto machine = text(body, "barrow"), address = text(body, "endpoint"), type = text(body, "build"),
         zone = text(body, "yard");
    auto agent_epoch = count(body, "shift"), seq = count(body, "tally");
    const Json* tasks = find(body, "parcels");
    if (!machine || machine->empty() || machine->size() > 100 || !agent_epoch || !seq) return std::nullopt;
    if (tasks && !tasks->is_array()) return std::nullopt;
    WorkerHeartbeat r;
    r.machine = *machine;
    r.address = address.value_or("");
    r.type = type.value_or("");
    r.zone = zone.value_or("");
    r.spot = flag(body, "loaners").value_or(false);
    r.agent_epoch = *agent_epoch;
    r.seq = *seq;
    r.fencing_token = count(body, "baton").value_or(0);
    r.notice_s = amount(body, "recall_s");
    if (!tasks) return r;
    for (const Json& t : *tasks) {
        auto id = text(t, "parcel"), state = text(t, "standing");
        auto number = count(t, "try");
        if (!id || !number || !state) return std::nullopt;
        auto task = TaskId::parse(*id);
        auto st = from_wire_name(state_names, *state);
        // A task that a heartbeat doesn't list counts as gone, so a heartbeat with an invalid entry is
        // rejected as a whole.
        if (!task || !st) return std::nullopt;
        TaskStatus status{{*task, *number}, *st, Cause::none, flag(t, "stored").value_or(false)};
        if (auto why = text(t, "cause"))
            status.cause = from_wire_name(cause_names, *why).value_or(Cause::error);
        r.tasks.push_back(std::move(status));
    }
    return r;
}

Json worker_heartbeat_json(const WorkerHeartbeat& r) {
    Json tasks = Json::array();
    for (auto& t : r.tasks) {
        Json j{{"parcel", t.attempt.task.str()},
               {"try", t.attempt.number},
               {"standing", task_state_name(t.state)}};
        if (t.cause != Cause::none) j["cause"] = exit_cause_name(t.cause);
        if (t.checkpointed) j["stored"] = true;
        tasks.push_back(std::move(j));
    }
    Json out{
        {"barrow", r.machine}, {"endpoint", r.address},      {"build", r.type}, {"yard", r.zone},
        {"loaners", r.spot},   {"shift", r.agent_epoch},     {"tally", r.seq},  {"baton", r.fencing_token},
        {"recall_s", nullptr}, {"parcels", std::move(tasks)}};
    if (r.notice_s) out["recall_s"] = *r.notice_s;
    return out;
}

Json commands_json(const std::vector<Command>& commands) {
    Json out = Json::array();
    for (auto& c : commands) {
        Json j{{"verb", wire_name(verb_names, c.verb)},
               {"parcel", c.attempt.task.str()},
               {"try", c.attempt.number}};
        if (c.verb == Verb::kill) j["leeway_s"] = c.grace_s;
        out.push_back(std::move(j));
    }
    return out;
}

std::optional<std::vector<Command>> parse_commands(const Json& body) {
    std::vector<Command> out;
    const Json* orders = find(body, "orders");
    if (!orders) return out;
    if (!orders->is_array()) return std::nullopt;
    for (const Json& o : *orders) {
        auto verb = from_wire_name(verb_names, text(o, "verb").value_or(""));
        auto task = TaskId::parse(text(o, "parcel").value_or(""));
        auto number = count(o, "try");
        if (!verb || !task || !number) return std::nullopt;
        auto grace = amount(o, "leeway_s").value_or(0);
        if (grace < 0 || grace > 1e6) return std::nullopt;
        out.push_back({*verb, {*task, *number}, grace});
    }
    return out;
}
std::optional<std::uint64_t> parse_fencing_token(const Json& body) {
    return count(body, "baton");
}
std::optional<std::uint64_t> parse_agent_epoch(const Json& body) {
    return count(body, "shift");
}
std::optional<std::string> parse_redirect(const Json& body) {
    return text(body, "foreman");
}

Json worker_heartbeat_answer(std::uint64_t fencing_token, const std::vector<Command>& commands) {
    return Json{{"baton", fencing_token}, {"orders", commands_json(commands)}};
}

Json push_json(std::uint64_t fencing_token, std::uint64_t agent_epoch, const std::vector<Command>& commands) {
    return Json{{"baton", fencing_token}, {"shift", agent_epoch}, {"orders", commands_json(commands)}};
}

Json redirect_answer(const std::string& leader) {
    Json out = Json::object();
    if (!leader.empty()) out["foreman"] = leader;
    return out;
}

std::optional<std::vector<MachineType>> parse_types(const Json& body) {
    const Json* list = find(body, "builds");
    if (!list || !list->is_array()) return std::nullopt;
    std::vector<MachineType> out;
    for (const Json& j : *list) {
        auto name = text(j, "label");
        const Json* zones = find(j, "yards");
        if (!name || !zones || !zones->is_array()) return std::nullopt;
        MachineType t;
        t.name = *name;
        t.cpus = amount(j, "vcpus").value_or(0);
        t.gpus = amount(j, "cards").value_or(0);
        t.mem_gb = amount(j, "mem_gb").value_or(0);
        t.cache_gb = amount(j, "local_gb").value_or(0);
        t.fetch_gb_per_s = std::max(0.01, amount(j, "fetch_gb_per_s").value_or(0.1));
        t.price = amount(j, "price").value_or(0);
        t.spot_price = amount(j, "spot_price").value_or(t.price);
        t.boot_s = amount(j, "ready_s").value_or(30);
        for (const Json& z : *zones)
            if (z.is_string()) t.zones.push_back(z.get<std::string>());
        out.push_back(std::move(t));
    }
    if (out.empty()) return std::nullopt;
    return out;
}

Json types_json(const std::vector<MachineType>& types) {
    Json list = Json::array();
    for (auto& t : types)
        list.push_back({{"label", t.name},
                        {"vcpus", t.cpus},
                        {"cards", t.gpus},
                        {"mem_gb", t.mem_gb},
                        {"local_gb", t.cache_gb},
                        {"fetch_gb_per_s", t.fetch_gb_per_s},
                        {"price", t.price},
                        {"spot_price", t.spot_price},
                        {"ready_s", t.boot_s},
                        {"yards", t.zones}});
    return Json{{"builds", std::move(list)}};
}

std::optional<MachineList> parse_machine_list(const Json& body) {
    const Json* list = find(body, "barrows");
    if (!list || !list->is_array()) return std::nullopt;
    MachineList out;
    out.more = flag(body, "truncated").value_or(false);
    for (const Json& j : *list) {
        auto name = text(j, "name_id");
        if (!name) return std::nullopt;
        ListedMachine m;
        m.name = *name;
        m.address = text(j, "endpoint").value_or("");
        m.type = text(j, "build").value_or("");
        m.zone = text(j, "yard").value_or("");
        m.spot = flag(j, "loaners").value_or(false);
        auto state = text(j, "standing").value_or("");
        m.state = state == "failed"    ? ListedMachine::State::failed
                  : state == "running" ? ListedMachine::State::running
                                       : ListedMachine::State::booting;
        m.age_s = amount(j, "age_s").value_or(0);
        out.machines.push_back(std::move(m));
    }
    return out;
}

std::optional<std::vector<std::string>> parse_machine_names(const Json& body) {
    const Json* list = find(body, "barrows");
    if (!list || !list->is_array()) return std::nullopt;
    std::vector<std::string> out;
    for (const Json& j : *list) {
        if (!j.is_string()) return std::nullopt;
        out.push_back(j.get<std::string>());
    }
    return out;
}

std::optional<ProvisioningRequest> parse_provisioning_request(const Json& body) {
    auto request = text(body, "hire"), type = text(body, "build"), zone = text(body, "yard");
    auto n = count(body, "how_many");
    auto spot = flag(body, "loaners");
    if (!request || request->empty() || !type || !zone || !spot || !n || *n < 1 || *n > 50)
        return std::nullopt;
    return ProvisioningRequest{*request, *type, *zone, *spot, static_cast<int>(*n)};
}

Json machine_names_json(const std::vector<std::string>& names) {
    return Json{{"barrows", names}};
}

Json machine_list_json(const MachineList& list) {
    Json out = Json::array();
    for (auto& m : list.machines)
        out.push_back({{"name_id", m.name},
                       {"endpoint", m.address},
                       {"build", m.type},
                       {"yard", m.zone},
                       {"loaners", m.spot},
                       {"standing", m.state == ListedMachine::State::failed    ? "failed"
                                    : m.state == ListedMachine::State::running ? "running"
                                                                               : "booting"},
                       {"age_s", m.age_s}});
    return Json{{"barrows", std::move(out)}, {"truncated", list.more}};
}

Json provisioning_request_json(const std::string& request, const std::string& type, const std::string& zone,
                               bool spot, int n) {
    return Json{{"hire", request}, {"build", type}, {"yard", zone}, {"loaners", spot}, {"how_many", n}};
}

Json return_request_json(const std::vector<std::string>& names) {
    return Json{{"barrows", names}};
}

std::string list_target(const std::string& after, int limit) {
    return "/rentals?since=" + after + "&page=" + std::to_string(limit);
}

}  // namespace barrowrun::wire
