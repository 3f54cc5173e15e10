// Requests of users for accepted jobs: status and cancellation.
#include <spdlog/spdlog.h>

#include "api/node.hpp"
#include "api/responses.hpp"

namespace barrowrun::api {
using net::http::verb;
using state::Outcome;
using namespace std::chrono_literals;

namespace {
// Most final states of jobs that a node caches.
constexpr std::size_t max_final_states = 20'000;
}  // namespace

Task<Node::JobLookup> Node::look_up_job(std::string id) {
    JobLookup lookup;
    if (auto it = final_states_.find(id); it != final_states_.end()) {
        lookup.conclusive = true;
        lookup.status = it->second;
        co_return lookup;
    }
    if (!co_await state_.admit_lookup()) co_return lookup;
    auto get = [this](std::string key) {
        return state_.get(std::move(key), 1500ms, state::Throttle::admitted_lookup);
    };
    // A job moves from jobs/ to past/ in one transaction, so reading jobs/ before past/ can't miss it.
    auto job = co_await get(state::job_key(id));
    if (job.outcome == Outcome::ok) {
        auto record = state::parse_job_record(job.value);
        if (!record) co_return lookup;
        auto progress = co_await get(state::progress_key(id));
        if (progress.outcome == Outcome::ok) {
            auto parsed = state::parse_progress(progress.value, record->spec.tasks);
            if (!parsed) co_return lookup;
            const bool complete = co_await add_progress_parts(record->spec, parsed);
            if (!complete) co_return lookup;
            const auto done = parsed->all_done();
            lookup.conclusive = true;
            auto job_state = parsed->failed                      ? wire::JobState::failed
                             : parsed->cancelled                 ? wire::JobState::cancelled
                             : done.size() == record->spec.tasks ? wire::JobState::done
                             : done.empty()                      ? wire::JobState::queued
                                                                 : wire::JobState::running;
            lookup.status = wire::JobStatus{id, job_state, done.size(), 0, parsed->total};
            co_return lookup;
        }
        if (progress.outcome != Outcome::absent) co_return lookup;
        // The job has no progress yet, or it has just moved to past/: reading past/ tells which.
    } else if (job.outcome != Outcome::absent) {
        co_return lookup;
    }
    auto finished = co_await get(state::finished_key(id));
    if (finished.outcome == Outcome::ok) {
        auto parsed = state::parse_finished_record(finished.value);
        if (!parsed) co_return lookup;
        lookup.conclusive = true;
        lookup.status = wire::JobStatus{id, parsed->state, parsed->done, 0, parsed->errors};
        if (final_states_.size() >= max_final_states) final_states_.erase(final_states_.begin());
        final_states_[id] = *lookup.status;
        co_return lookup;
    }
    if (finished.outcome != Outcome::absent) co_return lookup;
    lookup.conclusive = true;
    if (job.outcome == Outcome::ok) lookup.status = wire::JobStatus{id, wire::JobState::queued, 0, 0, {}};
    co_return lookup;
}

// Adds the finished tasks of a large job that stand on further records. False: they could not be read.
Task<bool> Node::add_progress_parts(const wire::JobSpec& spec, std::optional<state::Progress>& progress) {
    if (state::ProgressLayout(spec, settings_.placement.max_record_bytes()).parts().empty()) co_return true;
    auto records = co_await state_.list(state::progress_key(spec.id) + "/", state::Throttle::admitted_lookup);
    for (auto& record : records.items)
        if (const auto key = state::parse_progress_key(record.key))
            state::add_progress_record(progress, key->part, record.value, spec.tasks);
    co_return records.ok;
}

Task<std::optional<Response>> Node::forward_to_leader(std::string target, Json body,
                                                      Clock::duration deadline) {
    auto address = election_.leader_address();
    if (!address) co_return std::nullopt;
    auto reply = co_await peers_.call(*address, verb::post, std::move(target), std::move(body), deadline);
    if (reply.status == 0 || reply.status == 503 || reply.garbage) co_return std::nullopt;
    co_return Response{reply.status, std::move(reply.body)};
}

Task<Response> Node::status(std::string id) {
    if (!wire::valid_job_id(id)) co_return error_response(404, "no such job");
    if (auto term = leader_; acting_leader()) {
        auto job_status = term->status(id);
        // The leader lease is checked after the status was read: an answer from memory is valid only while
        // this node leads.
        if (job_status && term->may_act()) co_return Response{200, wire::status_json(*job_status)};
    } else if (!final_states_.contains(id)) {
        auto answer = co_await forward_to_leader("/peer/status", job_id_body(id), 600ms);
        if (answer && answer->status == 200) co_return std::move(*answer);
    }
    auto lookup = co_await look_up_job(id);
    if (!lookup.conclusive) co_return error_response(503, "the state service does not answer", 1);
    if (!lookup.status) co_return error_response(404, "no such job");
    co_return Response{200, wire::status_json(*lookup.status)};
}

Task<Response> Node::cancel(std::string id, bool from_peer) {
    if (!wire::valid_job_id(id)) co_return error_response(404, "no such job");
    if (auto term = leader_; acting_leader()) co_return co_await term->cancel(id);
    if (auto it = final_states_.find(id); it != final_states_.end())
        co_return Response{200, wire::accepted_json(id, it->second.state)};
    if (!from_peer) {
        auto answer = co_await forward_to_leader("/peer/cancel", job_id_body(id), 3500ms);
        if (answer) co_return std::move(*answer);
    }
    co_return error_response(503, "no leader can be reached", 1);
}

}  // namespace barrowrun::api
