#include "api/quota_service.hpp"

#include <spdlog/spdlog.h>

#include "api/leader.hpp"
#include "api/responses.hpp"

namespace barrowrun::api {
using quota::VersionedQuotas;
using state::Outcome;
using namespace std::chrono_literals;

namespace {
// Bodies of users are bounded by 64 KiB.
constexpr std::size_t max_page_nodes = 150;
constexpr std::size_t max_transaction_bytes = 48 * 1024;

Json bounds_json(const wire::Resources& r) {
    Json out = Json::object();
    for (std::size_t d = 0; d < std::size(quota::dimensions); ++d)
        if (const double x = r.*quota::dimensions[d]; x != 0 && x < quota::no_limit)
            out[quota::dimension_names[d]] = x;
    return out;
}

Json bounds_json(const quota::Bounds& b) {
    Json out = Json::object();
    for (std::size_t d = 0; d < std::size(quota::bound_fields); ++d)
        if (auto v = b.*quota::bound_fields[d]) out[quota::dimension_names[d]] = *v;
    return out;
}
}  // namespace

bool equal_in_constant_time(const std::string& given, const std::string& kept) {
    unsigned char differ = given.size() != kept.size();
    for (std::size_t i = 0; i < kept.size(); ++i)
        differ = static_cast<unsigned char>(differ | (kept[i] ^ (i < given.size() ? given[i] : '\0')));
    return differ == 0;
}

net::Task<QuotaReadStatus> read_quota_records(state::StateClient& state, std::size_t value_bytes,
                                              VersionedQuotas& out) {
    std::string trouble;
    for (int tries = 0; tries < 3; ++tries) {
        auto list = co_await state.list(quota::record_prefix);
        if (!list.ok) co_return QuotaReadStatus::no_answer;
        std::map<std::string, Json> records;
        for (auto& item : list.items) records[item.key] = std::move(item.value);
        if (!records.contains(quota::head_key)) co_return QuotaReadStatus::none;
        auto book = VersionedQuotas::from_records(records, value_bytes);
        auto head = co_await state.get(quota::head_key);
        if (head.outcome != Outcome::ok) co_return QuotaReadStatus::no_answer;
        // Changed while it was read: a slot may hold what is older or newer than the head says.
        if (head.value != records[quota::head_key]) continue;
        if (auto* b = std::get_if<VersionedQuotas>(&book)) {
            out = std::move(*b);
            co_return QuotaReadStatus::ok;
        }
        trouble = std::get<std::string>(book);
        break;
    }
    if (trouble.empty()) co_return QuotaReadStatus::no_answer;
    spdlog::error("the quotas on record can't be used ({})", trouble);
    co_return QuotaReadStatus::unusable;
}

// ---- a term's part -------------------------------------------------------------------------------------

void Leader::apply_quotas(VersionedQuotas book, quota::TreePtr tree) {
    // When limits were lowered is a time of day: by how much that is off, what drains has more or less
    // patience.
    auto ago = std::clamp<std::int64_t>(wall_ms() - book.changed_ms(), 0, 86'400'000);
    quotas_ = std::move(book);
    cluster_.set_quotas(std::move(tree), Clock::now() - std::chrono::milliseconds(ago),
                        quotas_.over_limit_grace_s());
}

net::Task<> Leader::recover_quotas() {
    const auto& rules = services_.settings.placement;
    if (!rules.quotas) co_return;
    const auto teams = placement::quota_teams(rules.teams);
    quotas_ = VersionedQuotas(*rules.quotas, rules.value_bytes, rules.over_limit_grace_s);
    for (;;) {
        VersionedQuotas book;
        const auto outcome = co_await read_quota_records(services_.state, rules.value_bytes, book);
        if (outcome == QuotaReadStatus::no_answer) {
            co_await net::sleep_for(200ms);
            continue;
        }
        if (outcome == QuotaReadStatus::ok) {
            auto built = quota::Tree::build(book.entries(), teams, book.version());
            if (built.tree) {
                apply_quotas(std::move(book), std::move(built.tree));
            } else {
                // The platform's file has changed under it. Its limits and the operator's file hold.
                for (auto& f : built.errors) spdlog::error("quotas on record: {}", f.str());
            }
        }
        co_return;
    }
}

net::Task<Response> Leader::change_quotas(Json body) {
    auto self = shared_from_this();
    const auto& rules = services_.settings.placement;
    if (!rules.quotas) co_return error_response(409, "quotas are not switched on: see deploy/quotas.json");
    if (!recovered_ || !may_act()) co_return error_response(503, "not now", 1);
    auto parsed = quota::parse_change(body);
    if (auto* wrong = std::get_if<std::string>(&parsed)) co_return error_response(400, *wrong);
    auto& change = std::get<quota::Change>(parsed);
    if (changing_quotas_) co_return error_response(503, "another change is under way", 1);
    // The same request again, since its answer was lost.
    for (auto& e : quotas_.history())
        if (!change.nonce.empty() && e.nonce == change.nonce)
            co_return Response{200, {{"version", e.version}}};
    if (change.base_version != quotas_.version()) {
        std::string by = quotas_.history().empty() ? "" : quotas_.history().back().author;
        Json answer{{"error", fmt::format("the quotas are at version {} by now{}: read them, and change that",
                                          quotas_.version(), by.empty() ? "" : ", by " + by)},
                    {"version", quotas_.version()}};
        co_return Response{409, std::move(answer)};
    }
    auto result = quotas_.with_change(change, placement::quota_teams(rules.teams), wall_ms());
    if (auto* faults = std::get_if<std::vector<quota::ValidationError>>(&result)) {
        Json list = Json::array();
        for (std::size_t i = 0; i < std::min<std::size_t>(faults->size(), 50); ++i)
            list.push_back((*faults)[i].str());
        co_return Response{422, {{"error", faults->front().str()}, {"faults", std::move(list)}}};
    }
    auto& next = std::get<VersionedQuotas::NextVersion>(result);
    struct Flag {
        bool& on;
        explicit Flag(bool& f) : on(f) { on = true; }
        ~Flag() { on = false; }
    } changing(changing_quotas_);
    // Pages into slots that no head names yet, as many as a transaction takes; the last carries the head.
    for (std::size_t at = 0; at < next.writes.size();) {
        std::vector<state::Operation> operations;
        std::size_t bytes = 0;
        for (; at < next.writes.size() && operations.size() < std::max<std::size_t>(4, rules.txn_ops); ++at) {
            auto& w = next.writes[at];
            auto size =
                w.value.dump(-1, ' ', false, Json::error_handler_t::replace).size() + w.key.size() + 40;
            if (!operations.empty() && bytes + size > max_transaction_bytes) break;
            bytes += size;
            operations.push_back({w.key, w.value, 0});
        }
        const bool last = at == next.writes.size();
        for (bool written = false; !written;) {
            if (!may_act())
                co_return error_response(503, "this node no longer leads: look whether the change was made",
                                         1);
            std::vector<state::Precondition> preconditions{services_.election.fencing_precondition()};
            auto outcome = co_await services_.state.compare_and_swap(std::move(preconditions), operations);
            if (outcome.outcome == Outcome::ok) {
                written = true;
            } else if (outcome.outcome == Outcome::conflict) {
                // Not executed: the token was renewed meanwhile, or another leads.
                services_.election.suspect_lost_leadership();
                co_await net::sleep_for(50ms);
            } else if (outcome.outcome == Outcome::refused) {
                co_await net::sleep_for(200ms);
            } else {
                // It may still be applied. The new token puts an end to that; then the head tells.
                while (may_act() && !co_await services_.election.refresh_fencing_token())
                    co_await net::sleep_for(200ms);
                if (!last) continue;  // pages that no head names may be written again
                auto head = co_await services_.state.get(quota::head_key);
                written = head.outcome == Outcome::ok && head.value == next.writes.back().value;
            }
        }
    }
    spdlog::info("quotas are at version {}: {} nodes set, {} dropped, by {} ({})", next.book.version(),
                 change.set_entries.size(), change.removed_paths.size(), change.author, change.reason);
    apply_quotas(std::move(next.book), next.tree);
    placement_signal_.wake();
    if (!may_act())
        co_return error_response(503, "this node no longer leads: look whether the change was made", 1);
    co_return Response{200, {{"version", quotas_.version()}}};
}

Response Leader::quota_page(std::uint64_t since, std::uint64_t page) const {
    if (!recovered_) return error_response(503, "not now", 1);
    const auto& ledger = cluster_.ledger();
    const auto& tree = ledger.tree();
    std::vector<std::uint64_t> waiting(tree.size());
    for (auto& [id, job] : cluster_.jobs())
        if (!job->cancelled)
            for (auto n = job->account;; n = tree.node(n).parent) {
                waiting[n] += job->waiting.size();
                if (n == quota::root) break;
            }
    Json nodes = Json::array();
    const auto first = std::max<std::uint64_t>(since, 1);
    const auto end =
        std::min<std::uint64_t>(tree.size(), first + std::clamp<std::uint64_t>(page, 1, max_page_nodes));
    for (auto n = first; n < end; ++n) {
        auto id = static_cast<quota::NodeId>(n);
        const auto& node = tree.node(id);
        Json line{{"path", node.path},
                  {"limit", bounds_json(node.limit)},
                  {"guarantee", bounds_json(node.guarantee)},
                  {"used", bounds_json(ledger.used(id))},
                  {"tasks", ledger.tasks(id)},
                  {"waiting", waiting[n]}};
        if (!node.team.empty()) line["team"] = node.team;
        // What an operator wrote, as it was written: by itself a team has nothing.
        if (node.entry_index != quota::no_node)
            line["given"] = quota::to_json(tree.entries()[node.entry_index]);
        nodes.push_back(std::move(line));
    }
    Json out{{"version", quotas_.version()},
             {"shrink_s", quotas_.over_limit_grace_s()},
             {"nodes", std::move(nodes)},
             {"next", end},
             {"truncated", end < tree.size()}};
    if (first == 1) {
        Json teams = Json::array(), history = Json::array();
        for (auto& t : placement::quota_teams(services_.settings.placement.teams))
            teams.push_back(
                {{"name", t.name}, {"limit", bounds_json(t.limit)}, {"guarantee", bounds_json(t.guarantee)}});
        for (auto& e : quotas_.history()) history.push_back(quota::to_json(e));
        out["teams"] = std::move(teams);
        out["history"] = std::move(history);
        out["on"] = services_.settings.placement.quotas.has_value();
    }
    return Response{200, std::move(out)};
}

std::optional<Json> Leader::explain(const std::string& id) const {
    if (!recovered_) return std::nullopt;
    auto it = cluster_.jobs().find(id);
    if (it == cluster_.jobs().end()) return std::nullopt;
    const auto& job = *it->second;
    return Json{{"name_id", id},
                {"standing", wire::job_state_name(job.job_state())},
                {"waiting", job.waiting.size()},
                {"running", job.running()},
                {"quota", cluster_.ledger().tree().node(job.account).path},
                {"why", cluster_.explain(job, Clock::now())}};
}

}  // namespace barrowrun::api
