#pragma once
/// Codecs of delegations: their records in the state service, and the messages between cells.
///
///   lent/<job>    at the origin: epoch, executor cell, and the tasks while the epoch is open
///   held/<job>    at the executor: a shard that the executor runs, with the job itself
///   turns/<job>   at the executor: the last closed epoch and its results; kept in the same way as final
///                 states of jobs, so that a late copy of an offer is refused
///
/// The keys and the JSON names ("turn", "until", "word") are stored and sent data and must not change,
/// although they differ from the names in the code.
#include <cstdint>
#include <optional>
#include <string>

#include "cells/delegation.hpp"
#include "wire/submission.hpp"

namespace barrowrun::cells {

using wire::Json;

std::string origin_key(const std::string& job);
std::string executor_key(const std::string& job);
std::string closed_epoch_key(const std::string& job);

/// The origin's record, and the cell that the shard was delegated to.
struct StoredOrigin {
    std::string to;
    OriginRecord record;
};
Json to_json(const StoredOrigin& origin);
/// Returns nothing if the value is malformed, as do the other parse functions of this file.
std::optional<StoredOrigin> parse_origin(const Json& value);

/// The executor's record, with the data that the executor needs to run the shard.
struct StoredExecutor {
    std::string owner;  ///< the origin cell
    ExecutorRecord record;
    wire::JobSpec spec;
    std::int64_t accepted_ms = 0;  ///< wall-clock time at which the origin accepted the job
};
Json to_json(const StoredExecutor& executor);
std::optional<StoredExecutor> parse_executor(const Json& value);

/// Most tasks of the job that one delegation may have: the records of both cells then fit into values of this
/// size, whichever of the tasks are done.
std::uint32_t max_shard_tasks(const wire::JobSpec& spec, std::size_t value_bytes);

/// Encodes a closed epoch: its number and its results.
Json closed_epoch_json(const ExecutorRecord& record);
std::optional<ExecutorRecord> parse_closed_epoch(const Json& value);

/// A request of the origin's leader to a node of the executor cell: an offer if it has a job specification,
/// otherwise a recall.
struct DelegationRequest {
    std::string from, job;
    DelegationEpoch epoch = 0;
    std::optional<wire::JobSpec> spec;
    IndexSet tasks;
    std::int64_t accepted_ms = 0;
    std::optional<DayTime> deadline;
};
Json to_json(const DelegationRequest& request);
std::optional<DelegationRequest> parse_delegation_request(const Json& value);
Json to_json(const DelegationReply& reply);
std::optional<DelegationReply> parse_delegation_reply(const Json& value);

}  // namespace barrowrun::cells
