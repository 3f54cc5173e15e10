#pragma once
// Parts of jobs on record, and as cells send them to one another.
//
//   lent/<job>    at the owner: the turn, where it went, and its tasks while it is open
//   held/<job>    at the neighbour: a part that it holds, with the job itself
//   turns/<job>   at the neighbour: the last turn that is over, and what was done in it; kept like final
//   states, so
//                 that a late copy of an offer meets it
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

struct StoredOrigin {
    std::string to;
    OriginRecord record;
};
Json to_json(const StoredOrigin& l);
std::optional<StoredOrigin> parse_origin(const Json& value);

struct StoredExecutor {
    std::string owner;
    ExecutorRecord record;
    wire::JobSpec spec;
    std::int64_t accepted_ms = 0;  // by the owner
};
Json to_json(const StoredExecutor& h);
std::optional<StoredExecutor> parse_executor(const Json& value);

// A turn that is over; of any other record only the turn is kept.
Json closed_epoch_json(const ExecutorRecord& record);
std::optional<ExecutorRecord> parse_closed_epoch(const Json& value);

// Requests of one cell's leader to a node of another.
struct DelegationRequest {
    std::string from, job;
    DelegationEpoch epoch = 0;
    // An offer has these, a recall hasn't.
    std::optional<wire::JobSpec> spec;
    IndexSet tasks;
    std::int64_t accepted_ms = 0;
    std::optional<DayTime> deadline;
};
Json to_json(const DelegationRequest& r);
std::optional<DelegationRequest> parse_delegation_request(const Json& value);
Json to_json(const DelegationReply& a);
std::optional<DelegationReply> parse_delegation_reply(const Json& value);

}  // namespace barrowrun::cells
