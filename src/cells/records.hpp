#pragma once
/// Codecs of delegations: their records in the state service, and the messages between cells.
///
///   lent/<job>    at the origin: epoch, executor, and the tasks while it is open
///   held/<job>    at the executor: a shard that it executes, with the job itself
///   turns/<job>   at the executor: the last closed epoch and its results. Kept like final states of jobs, so
///   that a
///                 late copy of an offer is refused
///
/// The keys and the JSON names ("turn", "until", "word") are older than the names in the code and must not
/// change.
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
/// Nothing if the value is malformed, here and below.
std::optional<StoredOrigin> parse_origin(const Json& value);

/// The executor's record, with what it needs to run the shard.
struct StoredExecutor {
    std::string owner;  ///< the origin cell
    ExecutorRecord record;
    wire::JobSpec spec;
    std::int64_t accepted_ms = 0;  ///< time of day at which the origin accepted the job
};
Json to_json(const StoredExecutor& executor);
std::optional<StoredExecutor> parse_executor(const Json& value);

/// A closed epoch: its number and its results.
Json closed_epoch_json(const ExecutorRecord& record);
std::optional<ExecutorRecord> parse_closed_epoch(const Json& value);

/// A request of the origin's leader to a node of the executor: an offer if it has a job, otherwise a recall.
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
