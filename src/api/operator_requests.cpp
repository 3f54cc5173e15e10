// Requests of operators: quotas, and the reason why a job waits. Only the leader can answer them.
#include <charconv>

#include "api/node.hpp"
#include "api/responses.hpp"

namespace barrowrun::api {
using namespace std::chrono_literals;

namespace {
// Value of the query parameter `name` in a request target, a number; 0 if it is absent.
std::uint64_t query_number(const std::string& target, const std::string& name) {
    auto at = target.find('?');
    while (at != std::string::npos) {
        auto begin = at + 1;
        at = target.find('&', begin);
        auto part = target.substr(begin, at == std::string::npos ? at : at - begin);
        if (!part.starts_with(name + "=")) continue;
        std::uint64_t n = 0;
        std::from_chars(part.data() + name.size() + 1, part.data() + part.size(), n);
        return n;
    }
    return 0;
}
}  // namespace

Task<Response> Node::quota_request(std::string target, bool change, Json body, bool from_peer) {
    if (change && !from_peer) {
        if (settings_.operator_key.empty())
            co_return error_response(403, "no operator_key is set: quotas can't be changed here");
        if (!equal_in_constant_time(wire::text(body, "key").value_or(""), settings_.operator_key))
            co_return error_response(403, "the operator key is not the one that is set");
        body.erase("key");
    }
    if (auto term = leader_; acting_leader()) {
        if (change) co_return co_await term->change_quotas(std::move(body));
        auto answer = term->quota_page(query_number(target, "since"), query_number(target, "page"));
        if (term->may_act()) co_return answer;
    } else if (!from_peer) {
        Json request{{"target", target}};
        if (change) request["change"] = std::move(body);
        // A change waits for the state service. If it is not answered in time, it may still have been made.
        const Clock::duration timeout = change ? 4500ms : 1500ms;
        auto answer = co_await forward_to_leader("/peer/quota", std::move(request), timeout);
        if (answer) co_return std::move(*answer);
    }
    co_return error_response(503, "no leader can be reached", 1);
}

Task<Response> Node::explain(std::string id, bool from_peer) {
    if (!wire::valid_job_id(id)) co_return error_response(404, "no such job");
    if (auto term = leader_; acting_leader()) {
        auto answer = term->explain(id);
        if (answer && term->may_act()) co_return Response{200, std::move(*answer)};
    } else if (!from_peer) {
        if (auto answer = co_await forward_to_leader("/peer/explain", job_id_body(id), 1000ms))
            co_return std::move(*answer);
    }
    if (from_peer) co_return error_response(503, "not known here");
    // The job is finished or unknown, or no leader can be reached: the answer is the job's state alone.
    co_return co_await status(id);
}

Task<std::optional<std::string>> Node::check_project(const wire::JobSpec& spec) {
    if (spec.project.empty()) co_return std::nullopt;
    const std::string rejection = "unknown project '" + spec.project + "' of team " + spec.team;
    if (!settings_.placement.quotas) co_return rejection + ": quotas are not switched on";
    if (auto term = leader_; acting_leader() && term->recovered()) {
        if (term->quota_tree().find_project(spec.team, spec.project)) co_return std::nullopt;
        co_return rejection;
    }
    if (cached_quota_tree_ && cached_quota_tree_->find_project(spec.team, spec.project))
        co_return std::nullopt;
    // The project may have been added since the cached tree was read, so the records are read again before a
    // rejection. If they can't be read, the job is accepted and charged to the nearest existing quota node
    // above.
    quota::VersionedQuotas recorded;
    const auto outcome = co_await read_quota_records(state_, settings_.placement.value_bytes, recorded);
    if (outcome != QuotaReadStatus::ok && outcome != QuotaReadStatus::none) co_return std::nullopt;
    auto entries = *settings_.placement.quotas;
    if (outcome == QuotaReadStatus::ok) entries = recorded.entries();
    auto built = quota::Tree::build(std::move(entries), placement::quota_teams(settings_.placement.teams));
    if (!built.tree) co_return std::nullopt;
    cached_quota_tree_ = built.tree;
    if (cached_quota_tree_->find_project(spec.team, spec.project)) co_return std::nullopt;
    co_return rejection;
}

}  // namespace barrowrun::api
