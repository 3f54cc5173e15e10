// What users ask about jobs that are there: their state, and to cancel them.
#include <spdlog/spdlog.h>

#include "api/answers.hpp"
#include "api/node.hpp"

namespace barrowrun::api {
using net::http::verb;
using state::Outcome;
using namespace std::chrono_literals;

namespace {
// Final states that a node remembers.
constexpr std::size_t kept_final_states = 20'000;
}  // namespace

Task<Node::Look> Node::look_up(std::string id) {
    Look look;
    if (auto it = finished_.find(id); it != finished_.end()) {
        look.known_outcome = true;
        look.status = it->second;
        co_return look;
    }
    if (!co_await state_.admit_lookup()) co_return look;
    auto get = [this](std::string key) {
        return state_.get(std::move(key), 1500ms, state::Throttle::admitted_lookup);
    };
    // A job moves from jobs/ to past/ in one transaction, so looking in this order misses none.
    auto job = co_await get(state::job_key(id));
    if (job.outcome == Outcome::ok) {
        auto record = state::parse_job_record(job.value);
        if (!record) co_return look;
        auto progress = co_await get(state::progress_key(id));
        if (progress.outcome == Outcome::ok) {
            auto p = state::parse_progress(progress.value, record->spec.tasks);
            if (!p) co_return look;
            look.known_outcome = true;
            auto job_state = p->failed                              ? wire::JobState::failed
                             : p->cancelled                         ? wire::JobState::cancelled
                             : p->done.size() == record->spec.tasks ? wire::JobState::done
                             : p->done.empty()                      ? wire::JobState::queued
                                                                    : wire::JobState::running;
            look.status = wire::JobStatus{id, job_state, p->done.size(), 0, p->total};
            co_return look;
        }
        if (progress.outcome != Outcome::absent) co_return look;
        // No progress yet, or the job has just moved on: only past/ tells.
    } else if (job.outcome != Outcome::absent) {
        co_return look;
    }
    auto past = co_await get(state::finished_key(id));
    if (past.outcome == Outcome::ok) {
        auto p = state::parse_finished_record(past.value);
        if (!p) co_return look;
        look.known_outcome = true;
        look.status = wire::JobStatus{id, p->state, p->done, 0, p->errors};
        if (finished_.size() >= kept_final_states) finished_.erase(finished_.begin());
        finished_[id] = *look.status;
        co_return look;
    }
    if (past.outcome != Outcome::absent) co_return look;
    look.known_outcome = true;
    if (job.outcome == Outcome::ok) look.status = wire::JobStatus{id, wire::JobState::queued, 0, 0, {}};
    co_return look;
}

Task<std::optional<Response>> Node::ask_leader(std::string target, Json body, Clock::duration deadline) {
    auto address = election_.leader_address();
    if (!address) co_return std::nullopt;
    auto reply = co_await peers_.call(*address, verb::post, std::move(target), std::move(body), deadline);
    if (reply.status == 0 || reply.status == 503 || reply.garbage) co_return std::nullopt;
    co_return Response{reply.status, std::move(reply.body)};
}

Task<Response> Node::status(std::string id) {
    if (!wire::valid_job_id(id)) co_return problem(404, "no such job");
    if (auto kept = leader_; leader()) {
        auto s = kept->status(id);
        // The right to lead is checked after the look: an answer from memory is only good while it holds.
        if (s && kept->may_act()) co_return Response{200, wire::status_json(*s)};
    } else if (!finished_.contains(id)) {
        auto answer = co_await ask_leader("/peer/status", id_body(id), 600ms);
        if (answer && answer->status == 200) co_return std::move(*answer);
    }
    auto look = co_await look_up(id);
    if (!look.known_outcome) co_return problem(503, "the state service does not answer", 1);
    if (!look.status) co_return problem(404, "no such job");
    co_return Response{200, wire::status_json(*look.status)};
}

Task<Response> Node::cancel(std::string id, bool from_peer) {
    if (!wire::valid_job_id(id)) co_return problem(404, "no such job");
    if (auto kept = leader_; leader()) co_return co_await kept->cancel(id);
    if (auto it = finished_.find(id); it != finished_.end())
        co_return Response{200, wire::accepted_json(id, it->second.state)};
    if (!from_peer) {
        auto answer = co_await ask_leader("/peer/cancel", id_body(id), 3500ms);
        if (answer) co_return std::move(*answer);
    }
    co_return problem(503, "no leader can be reached", 1);
}

}  // namespace barrowrun::api
