#include "cells/records.hpp"

namespace barrowrun::cells {
namespace {
// A moment of the day, as records and requests carry it; one that is no moment is malformed.
struct End {
    bool bad = false;
    std::optional<DayTime> at;
};
End end_of(const Json& value) {
    const Json* v = wire::find(value, "until");
    if (!v) return {};
    constexpr std::uint64_t most = 1ULL << 52;
    auto ms = wire::count(value, "until");
    if (!ms || *ms > most) return {true, {}};
    return {false, DayTime(std::chrono::milliseconds(static_cast<std::int64_t>(*ms)))};
}
void put_end(Json& out, const std::optional<DayTime>& until) {
    if (until) out["until"] = static_cast<std::uint64_t>(until->time_since_epoch().count());
}

std::optional<IndexSet> index_set(const Json& value, const char* name) {
    const Json* v = wire::find(value, name);
    return v ? IndexSet::parse(*v, wire::max_tasks) : std::nullopt;
}
}  // namespace

std::string lent_key(const std::string& job) {
    return "lent/" + job;
}
std::string held_key(const std::string& job) {
    return "held/" + job;
}
std::string turn_key(const std::string& job) {
    return "turns/" + job;
}

Json to_json(const Lent& l) {
    Json out{{"to", l.to}, {"turn", l.record.turn}, {"open", l.record.open}};
    if (!l.record.open) return out;
    out["tasks"] = l.record.tasks.json(wire::max_tasks);
    put_end(out, l.record.until);
    return out;
}

std::optional<Lent> parse_lent(const Json& value) {
    auto to = wire::text(value, "to");
    auto turn = wire::count(value, "turn");
    auto open = wire::flag(value, "open");
    if (!to || !turn || !open) return std::nullopt;
    Lent out;
    out.to = *to;
    out.record.turn = *turn;
    out.record.open = *open;
    if (!*open) return out;
    auto tasks = index_set(value, "tasks");
    auto end = end_of(value);
    if (!tasks || tasks->empty() || end.bad) return std::nullopt;
    out.record.tasks = std::move(*tasks);
    out.record.until = end.at;
    return out;
}

Json to_json(const Held& h) {
    Json out{{"owner", h.owner},
             {"turn", h.record.turn},
             {"tasks", h.record.tasks.json(wire::max_tasks)},
             {"done", h.record.done.json(wire::max_tasks)},
             {"job", wire::submission_json(h.spec)},
             {"accepted", h.accepted_ms}};
    put_end(out, h.record.until);
    return out;
}

std::optional<Held> parse_held(const Json& value) {
    auto owner = wire::text(value, "owner");
    auto turn = wire::count(value, "turn");
    auto tasks = index_set(value, "tasks"), done = index_set(value, "done");
    const Json* job = wire::find(value, "job");
    auto accepted = wire::count(value, "accepted");
    auto end = end_of(value);
    if (!owner || !turn || !tasks || !done || !job || !accepted || end.bad) return std::nullopt;
    auto spec = wire::parse_submission(*job);
    if (!std::holds_alternative<wire::JobSpec>(spec)) return std::nullopt;
    Held out;
    out.owner = *owner;
    out.record.turn = *turn;
    out.record.holding = true;
    out.record.tasks = std::move(*tasks);
    out.record.done = std::move(*done);
    out.record.until = end.at;
    out.spec = std::get<wire::JobSpec>(std::move(spec));
    out.accepted_ms = static_cast<std::int64_t>(*accepted);
    return out;
}

Json over_json(const HeldRecord& record) {
    return {{"turn", record.turn}, {"done", record.done.json(wire::max_tasks)}};
}

std::optional<HeldRecord> parse_over(const Json& value) {
    auto turn = wire::count(value, "turn");
    auto done = index_set(value, "done");
    if (!turn || !done) return std::nullopt;
    HeldRecord out;
    out.turn = *turn;
    out.done = std::move(*done);
    return out;
}

Json to_json(const Request& r) {
    Json out{{"from", r.from}, {"id", r.job}, {"turn", r.turn}};
    if (!r.spec) return out;
    out["job"] = wire::submission_json(*r.spec);
    out["tasks"] = r.tasks.json(wire::max_tasks);
    out["accepted"] = r.accepted_ms;
    put_end(out, r.until);
    return out;
}

std::optional<Request> parse_request(const Json& value) {
    auto from = wire::text(value, "from"), id = wire::text(value, "id");
    auto turn = wire::count(value, "turn");
    if (!from || !id || !wire::valid_job_id(*id) || !turn || *turn == 0) return std::nullopt;
    Request out;
    out.from = *from;
    out.job = *id;
    out.turn = *turn;
    const Json* job = wire::find(value, "job");
    if (!job) return out;
    auto spec = wire::parse_submission(*job);
    auto tasks = index_set(value, "tasks");
    auto accepted = wire::count(value, "accepted");
    auto end = end_of(value);
    if (!std::holds_alternative<wire::JobSpec>(spec) || !tasks || tasks->empty() || !accepted || end.bad)
        return std::nullopt;
    out.until = end.at;
    out.spec = std::get<wire::JobSpec>(std::move(spec));
    if (out.spec->id != *id || tasks->next(out.spec->tasks)) return std::nullopt;
    out.tasks = std::move(*tasks);
    out.accepted_ms = static_cast<std::int64_t>(*accepted);
    return out;
}

Json to_json(const Answer& a) {
    const char* word = a.word == Answer::Word::holds  ? "holds"
                       : a.word == Answer::Word::over ? "over"
                                                      : "later";
    return {{"word", word}, {"turn", a.turn}, {"done", a.done.json(wire::max_tasks)}};
}

std::optional<Answer> parse_answer(const Json& value) {
    auto word = wire::text(value, "word");
    auto turn = wire::count(value, "turn");
    auto done = index_set(value, "done");
    if (!word || !turn || !done) return std::nullopt;
    Answer out;
    out.turn = *turn;
    out.done = std::move(*done);
    if (*word == "holds")
        out.word = Answer::Word::holds;
    else if (*word == "over")
        out.word = Answer::Word::over;
    else if (*word != "later")
        return std::nullopt;
    return out;
}

}  // namespace barrowrun::cells
