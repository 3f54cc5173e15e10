#include "cells/records.hpp"

#include <algorithm>

namespace barrowrun::cells {
namespace {
// Of a record, without the job and the tasks.
constexpr std::size_t fixed_record_bytes = 512;
// Most bytes of a task in a set of tasks (IndexSet::json). A record has two sets: all tasks, and those done.
constexpr std::size_t bytes_per_task = 16, sets_per_record = 2;

// The optional deadline of a record or a request, in ms of wall-clock time.
struct Deadline {
    bool malformed = false;
    std::optional<DayTime> time;
};
Deadline parse_deadline(const Json& value) {
    const Json* field = wire::find(value, "until");
    if (!field) return {};
    constexpr std::uint64_t max_ms = 1ULL << 52;
    auto ms = wire::count(value, "until");
    if (!ms || *ms > max_ms) return {true, {}};
    return {false, DayTime(std::chrono::milliseconds(static_cast<std::int64_t>(*ms)))};
}
void put_deadline(Json& out, const std::optional<DayTime>& deadline) {
    if (deadline) out["until"] = static_cast<std::uint64_t>(deadline->time_since_epoch().count());
}

std::optional<IndexSet> index_set(const Json& value, const char* name) {
    const Json* field = wire::find(value, name);
    return field ? IndexSet::parse(*field, wire::max_tasks) : std::nullopt;
}
}  // namespace

std::string origin_key(const std::string& job) {
    return "lent/" + job;
}
std::string executor_key(const std::string& job) {
    return "held/" + job;
}
std::string closed_epoch_key(const std::string& job) {
    return "turns/" + job;
}

Json to_json(const StoredOrigin& origin) {
    Json out{{"to", origin.to}, {"turn", origin.record.epoch}, {"open", origin.record.open}};
    if (!origin.record.open) return out;
    out["tasks"] = origin.record.tasks.json(wire::max_tasks);
    put_deadline(out, origin.record.deadline);
    return out;
}

std::optional<StoredOrigin> parse_origin(const Json& value) {
    auto to = wire::text(value, "to");
    auto epoch = wire::count(value, "turn");
    auto open = wire::flag(value, "open");
    if (!to || !epoch || !open) return std::nullopt;
    StoredOrigin out;
    out.to = *to;
    out.record.epoch = *epoch;
    out.record.open = *open;
    if (!*open) return out;
    auto tasks = index_set(value, "tasks");
    auto deadline = parse_deadline(value);
    if (!tasks || tasks->empty() || deadline.malformed) return std::nullopt;
    out.record.tasks = std::move(*tasks);
    out.record.deadline = deadline.time;
    return out;
}

Json to_json(const StoredExecutor& executor) {
    Json out{{"owner", executor.owner},
             {"turn", executor.record.epoch},
             {"tasks", executor.record.tasks.json(wire::max_tasks)},
             {"done", executor.record.done.json(wire::max_tasks)},
             {"job", wire::submission_json(executor.spec)},
             {"accepted", executor.accepted_ms}};
    put_deadline(out, executor.record.deadline);
    return out;
}

std::optional<StoredExecutor> parse_executor(const Json& value) {
    auto owner = wire::text(value, "owner");
    auto epoch = wire::count(value, "turn");
    auto tasks = index_set(value, "tasks"), done = index_set(value, "done");
    const Json* job = wire::find(value, "job");
    auto accepted = wire::count(value, "accepted");
    auto deadline = parse_deadline(value);
    if (!owner || !epoch || !tasks || !done || !job || !accepted || deadline.malformed) return std::nullopt;
    auto spec = wire::parse_submission(*job);
    if (!std::holds_alternative<wire::JobSpec>(spec)) return std::nullopt;
    StoredExecutor out;
    out.owner = *owner;
    out.record.epoch = *epoch;
    out.record.executing = true;
    out.record.tasks = std::move(*tasks);
    out.record.done = std::move(*done);
    out.record.deadline = deadline.time;
    out.spec = std::get<wire::JobSpec>(std::move(spec));
    out.accepted_ms = static_cast<std::int64_t>(*accepted);
    return out;
}

std::uint32_t max_shard_tasks(const wire::JobSpec& spec, std::size_t value_bytes) {
    const std::size_t other_bytes = fixed_record_bytes + wire::text_size(wire::submission_json(spec));
    const std::size_t bytes = value_bytes - std::min(value_bytes, other_bytes);
    return static_cast<std::uint32_t>(
        std::min<std::size_t>(wire::max_tasks, bytes / (sets_per_record * bytes_per_task)));
}

Json closed_epoch_json(const ExecutorRecord& record) {
    return {{"turn", record.epoch}, {"done", record.done.json(wire::max_tasks)}};
}

std::optional<ExecutorRecord> parse_closed_epoch(const Json& value) {
    auto epoch = wire::count(value, "turn");
    auto done = index_set(value, "done");
    if (!epoch || !done) return std::nullopt;
    ExecutorRecord out;
    out.epoch = *epoch;
    out.done = std::move(*done);
    return out;
}

Json to_json(const DelegationRequest& request) {
    Json out{{"from", request.from}, {"id", request.job}, {"turn", request.epoch}};
    if (!request.spec) return out;
    out["job"] = wire::submission_json(*request.spec);
    out["tasks"] = request.tasks.json(wire::max_tasks);
    out["accepted"] = request.accepted_ms;
    put_deadline(out, request.deadline);
    return out;
}

std::optional<DelegationRequest> parse_delegation_request(const Json& value) {
    auto from = wire::text(value, "from"), id = wire::text(value, "id");
    auto epoch = wire::count(value, "turn");
    if (!from || !id || !wire::valid_job_id(*id) || !epoch || *epoch == 0) return std::nullopt;
    DelegationRequest out;
    out.from = *from;
    out.job = *id;
    out.epoch = *epoch;
    const Json* job = wire::find(value, "job");
    if (!job) return out;
    auto spec = wire::parse_submission(*job);
    auto tasks = index_set(value, "tasks");
    auto accepted = wire::count(value, "accepted");
    auto deadline = parse_deadline(value);
    if (!std::holds_alternative<wire::JobSpec>(spec) || !tasks || tasks->empty() || !accepted ||
        deadline.malformed)
        return std::nullopt;
    out.deadline = deadline.time;
    out.spec = std::get<wire::JobSpec>(std::move(spec));
    if (out.spec->id != *id || tasks->next(out.spec->tasks)) return std::nullopt;
    out.tasks = std::move(*tasks);
    out.accepted_ms = static_cast<std::int64_t>(*accepted);
    return out;
}

Json to_json(const DelegationReply& reply) {
    const char* status = reply.status == DelegationReply::Status::executing ? "holds"
                         : reply.status == DelegationReply::Status::closed  ? "over"
                                                                            : "later";
    return {{"word", status}, {"turn", reply.epoch}, {"done", reply.done.json(wire::max_tasks)}};
}

std::optional<DelegationReply> parse_delegation_reply(const Json& value) {
    auto status = wire::text(value, "word");
    auto epoch = wire::count(value, "turn");
    auto done = index_set(value, "done");
    if (!status || !epoch || !done) return std::nullopt;
    DelegationReply out;
    out.epoch = *epoch;
    out.done = std::move(*done);
    if (*status == "holds")
        out.status = DelegationReply::Status::executing;
    else if (*status == "over")
        out.status = DelegationReply::Status::closed;
    else if (*status != "later")
        return std::nullopt;
    return out;
}

}  // namespace barrowrun::cells
