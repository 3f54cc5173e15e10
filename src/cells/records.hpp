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

#include "cells/handover.hpp"
#include "wire/submission.hpp"

namespace barrowrun::cells {

using wire::Json;

std::string lent_key(const std::string& job);
std::string held_key(const std::string& job);
std::string turn_key(const std::string& job);

struct Lent {
    std::string to;
    LentRecord record;
};
Json to_json(const Lent& l);
std::optional<Lent> parse_lent(const Json& value);

struct Held {
    std::string owner;
    HeldRecord record;
    wire::JobSpec spec;
    std::int64_t accepted_ms = 0;  // by the owner
};
Json to_json(const Held& h);
std::optional<Held> parse_held(const Json& value);

// A turn that is over; of any other record only the turn is kept.
Json over_json(const HeldRecord& record);
std::optional<HeldRecord> parse_over(const Json& value);

// Requests of one cell's leader to a node of another.
struct Request {
    std::string from, job;
    Turn turn = 0;
    // An offer has these, a recall hasn't.
    std::optional<wire::JobSpec> spec;
    IndexSet tasks;
    std::int64_t accepted_ms = 0;
    std::optional<DayTime> until;
};
Json to_json(const Request& r);
std::optional<Request> parse_request(const Json& value);
Json to_json(const Answer& a);
std::optional<Answer> parse_answer(const Json& value);

}  // namespace barrowrun::cells
