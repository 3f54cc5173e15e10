#include "api/quota_service.hpp"

#include <spdlog/spdlog.h>

#include "api/in_flight.hpp"
#include "api/responses.hpp"
#include "api/transaction_limits.hpp"

namespace barrowrun::api {
using net::Response;
using net::Task;
using quota::VersionedQuotas;
using state::Outcome;
using wire::Json;
using namespace std::chrono_literals;

namespace {
// Keeps a page well within the 64 KiB limit of users' request and response bodies.
constexpr std::size_t max_page_nodes = 150;
// Most bytes that a transaction takes for a write in addition to its key and value.
constexpr std::size_t max_write_overhead_bytes = 40;
constexpr std::size_t max_listed_errors = 50;
constexpr int max_read_attempts = 3;
// Pauses after the state service did not answer a read, refused a transaction, or found a conflict.
constexpr std::chrono::milliseconds read_retry_pause{200}, refused_retry_pause{200}, conflict_retry_pause{50};
constexpr std::chrono::milliseconds day{86'400'000};

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

bool equal_in_constant_time(const std::string& given, const std::string& expected) {
    unsigned char differ = given.size() != expected.size();
    for (std::size_t i = 0; i < expected.size(); ++i)
        differ = static_cast<unsigned char>(differ | (expected[i] ^ (i < given.size() ? given[i] : '\0')));
    return differ == 0;
}

Task<QuotaReadStatus> read_quota_records(state::StateClient& state, std::size_t value_bytes,
                                         VersionedQuotas& quotas) {
    std::string error;
    for (int attempt = 0; attempt < max_read_attempts; ++attempt) {
        auto list = co_await state.list(quota::record_prefix);
        if (!list.ok) co_return QuotaReadStatus::no_answer;
        std::map<std::string, Json> records;
        for (auto& item : list.items) records[item.key] = std::move(item.value);
        if (!records.contains(quota::head_key)) co_return QuotaReadStatus::none;
        auto read = VersionedQuotas::from_records(records, value_bytes);
        auto head = co_await state.get(quota::head_key);
        if (head.outcome != Outcome::ok) co_return QuotaReadStatus::no_answer;
        // The head changed during the read, so a slot may hold an older or newer page than the head refers
        // to.
        if (head.value != records[quota::head_key]) continue;
        if (auto* usable = std::get_if<VersionedQuotas>(&read)) {
            quotas = std::move(*usable);
            co_return QuotaReadStatus::ok;
        }
        error = std::get<std::string>(read);
        break;
    }
    if (error.empty()) co_return QuotaReadStatus::no_answer;
    spdlog::error("quotas: the records in the state service are invalid ({})", error);
    co_return QuotaReadStatus::unusable;
}

// ---- quotas in force ------------------------------------------------------------------------------------

void QuotaService::apply(VersionedQuotas quotas, quota::TreePtr tree) {
    // The time of the change is recorded as a time of day. A clock error makes the grace period of tasks
    // above a lowered limit longer or shorter by the same amount.
    auto ms_since_change = std::clamp<std::int64_t>(wall_ms() - quotas.changed_ms(), 0, day.count());
    quotas_ = std::move(quotas);
    host_.cluster.set_quotas(std::move(tree), Clock::now() - std::chrono::milliseconds(ms_since_change),
                             quotas_.over_limit_grace_s());
}

Task<> QuotaService::recover() {
    const auto& config = services_.settings.placement;
    if (!config.quotas) co_return;
    quotas_ = VersionedQuotas(*config.quotas, config.value_bytes, config.over_limit_grace_s);
    VersionedQuotas recorded;
    auto status = co_await read_quota_records(services_.state, config.value_bytes, recorded);
    while (status == QuotaReadStatus::no_answer) {
        co_await net::sleep_for(read_retry_pause);
        status = co_await read_quota_records(services_.state, config.value_bytes, recorded);
    }
    if (status != QuotaReadStatus::ok) co_return;
    const auto teams = placement::quota_teams(config.teams);
    auto built = quota::Tree::build(recorded.entries(), teams, recorded.version());
    if (built.tree) {
        apply(std::move(recorded), std::move(built.tree));
        co_return;
    }
    // The platform's file has changed and the recorded version no longer fits it: the platform's limits and
    // the operator's file apply instead.
    for (auto& error : built.errors)
        spdlog::error("quotas: the recorded version does not fit the settings ({})", error.str());
}

// ---- changes -------------------------------------------------------------------------------------------

std::optional<Response> QuotaService::answer_without_writing(const quota::Change& change) const {
    // The request was repeated because its answer was lost.
    for (auto& entry : quotas_.history())
        if (!change.nonce.empty() && entry.nonce == change.nonce)
            return Response{200, {{"version", entry.version}}};
    if (change.base_version == quotas_.version()) return std::nullopt;
    const std::string by = quotas_.history().empty() ? "" : quotas_.history().back().author;
    Json answer{{"error", fmt::format("the quotas are at version {} by now{}: read them, and change that",
                                      quotas_.version(), by.empty() ? "" : ", by " + by)},
                {"version", quotas_.version()}};
    return Response{409, std::move(answer)};
}

namespace {
Response invalid_change(const std::vector<quota::ValidationError>& errors) {
    Json list = Json::array();
    for (std::size_t i = 0; i < std::min(errors.size(), max_listed_errors); ++i)
        list.push_back(errors[i].str());
    return Response{422, {{"error", errors.front().str()}, {"faults", std::move(list)}}};
}

Response leadership_lost() {
    return error_response(503, "this node no longer leads: look whether the change was made", 1);
}
}  // namespace

Task<Response> QuotaService::change(Json body) {
    const auto& config = services_.settings.placement;
    if (!host_.may_act()) co_return error_response(503, "not now", 1);
    auto parsed = quota::parse_change(body);
    if (auto* error_text = std::get_if<std::string>(&parsed)) co_return error_response(400, *error_text);
    const auto& change = std::get<quota::Change>(parsed);
    if (changing_) co_return error_response(503, "another change is under way", 1);
    auto known = answer_without_writing(change);
    if (known) co_return std::move(*known);
    auto result = quotas_.with_change(change, placement::quota_teams(config.teams), wall_ms());
    if (auto* errors = std::get_if<std::vector<quota::ValidationError>>(&result))
        co_return invalid_change(*errors);
    auto& next = std::get<VersionedQuotas::NextVersion>(result);
    InFlight changing(changing_);
    const auto written = co_await write_version(std::move(next.writes));
    if (written == WriteResult::rejected)
        co_return error_response(422, "the state service does not take the records of the change");
    if (written == WriteResult::leadership_lost) co_return leadership_lost();
    spdlog::info("quotas: version {} in force, {} nodes set, {} removed, by {} ({})", next.book.version(),
                 change.set_entries.size(), change.removed_paths.size(), change.author, change.reason);
    apply(std::move(next.book), next.tree);
    host_.wake_placement();
    if (!host_.may_act()) co_return leadership_lost();
    co_return Response{200, {{"version", quotas_.version()}}};
}

// Returns the operations of the next transaction: as many of the writes from `from` on as fit, in order.
std::vector<state::Operation> QuotaService::next_transaction(
    const std::vector<VersionedQuotas::RecordWrite>& writes, std::size_t from) const {
    const auto max_operations = max_transaction_operations(services_.settings.placement);
    std::vector<state::Operation> operations;
    std::size_t bytes = 0;
    for (auto at = from; at < writes.size() && operations.size() < max_operations; ++at) {
        auto& write = writes[at];
        const auto size = write.value.dump(-1, ' ', false, Json::error_handler_t::replace).size() +
                          write.key.size() + max_write_overhead_bytes;
        if (!operations.empty() && bytes + size > placement::max_transaction_bytes) break;
        bytes += size;
        operations.push_back({write.key, write.value, 0});
    }
    return operations;
}

// Writes pages to slots that the current head does not refer to, with as many transactions as needed; the
// last one also writes the head.
Task<QuotaService::WriteResult> QuotaService::write_version(
    std::vector<VersionedQuotas::RecordWrite> writes) {
    for (std::size_t at = 0; at < writes.size();) {
        auto operations = next_transaction(writes, at);
        at += operations.size();
        std::optional<Json> head;
        if (at == writes.size()) head = writes.back().value;
        const auto result = co_await write_until_durable(std::move(operations), std::move(head));
        if (result != WriteResult::durable) co_return result;
    }
    co_return WriteResult::durable;
}

// Repeats one transaction until it is durable or was rejected. `head`: value of the head record, if the
// transaction writes it.
Task<QuotaService::WriteResult> QuotaService::write_until_durable(std::vector<state::Operation> operations,
                                                                  std::optional<Json> head) {
    for (;;) {
        if (!host_.may_act()) co_return WriteResult::leadership_lost;
        const auto outcome = co_await writer_.write(operations);
        if (outcome == Outcome::ok) co_return WriteResult::durable;
        if (outcome == Outcome::rejected) co_return WriteResult::rejected;
        if (outcome == Outcome::conflict) {
            // Not executed: the fencing token was refreshed meanwhile, or another node leads.
            co_await net::sleep_for(conflict_retry_pause);
            continue;
        }
        if (outcome == Outcome::refused) {
            co_await net::sleep_for(refused_retry_pause);
            continue;
        }
        // The transaction may still be executed. With a refreshed fencing token it can't be any more, and the
        // head record then shows whether it was.
        while (host_.may_act()) {
            const bool refreshed = co_await services_.election.refresh_fencing_token();
            if (refreshed) break;
            co_await net::sleep_for(refused_retry_pause);
        }
        if (!head) continue;  // pages that no head refers to may be written again
        auto recorded = co_await services_.state.get(quota::head_key);
        if (recorded.outcome == Outcome::ok && recorded.value == *head) co_return WriteResult::durable;
    }
}

// ---- usage ---------------------------------------------------------------------------------------------

std::vector<std::uint64_t> QuotaService::waiting_tasks_by_node() const {
    const auto& tree = host_.cluster.ledger().tree();
    std::vector<std::uint64_t> waiting(tree.size());
    for (auto& [id, job] : host_.cluster.jobs()) {
        if (job->cancelled) continue;
        for (auto node = job->account;; node = tree.node(node).parent) {
            waiting[node] += job->waiting.size();
            if (node == quota::root) break;
        }
    }
    return waiting;
}

Json QuotaService::node_json(quota::NodeId id, std::uint64_t waiting_tasks) const {
    const auto& ledger = host_.cluster.ledger();
    const auto& tree = ledger.tree();
    const auto& node = tree.node(id);
    Json out{{"path", node.path},
             {"limit", bounds_json(node.limit)},
             {"guarantee", bounds_json(node.guarantee)},
             {"used", bounds_json(ledger.used(id))},
             {"tasks", ledger.tasks(id)},
             {"waiting", waiting_tasks}};
    if (!node.team.empty()) out["team"] = node.team;
    // The operator's entry as it was written; a team for which there is none has no such field.
    if (node.entry_index != quota::no_node) out["given"] = quota::to_json(tree.entries()[node.entry_index]);
    return out;
}

Response QuotaService::page(std::uint64_t since, std::uint64_t page) const {
    const auto& tree = host_.cluster.ledger().tree();
    const auto waiting = waiting_tasks_by_node();
    const auto first = std::max<std::uint64_t>(since, 1);
    const auto end =
        std::min<std::uint64_t>(tree.size(), first + std::clamp<std::uint64_t>(page, 1, max_page_nodes));
    Json nodes = Json::array();
    for (auto n = first; n < end; ++n) nodes.push_back(node_json(static_cast<quota::NodeId>(n), waiting[n]));
    Json out{{"version", quotas_.version()},
             {"shrink_s", quotas_.over_limit_grace_s()},
             {"nodes", std::move(nodes)},
             {"next", end},
             {"truncated", end < tree.size()}};
    if (first != 1) return Response{200, std::move(out)};
    Json teams = Json::array(), history = Json::array();
    for (auto& team : placement::quota_teams(services_.settings.placement.teams))
        teams.push_back({{"name", team.name},
                         {"limit", bounds_json(team.limit)},
                         {"guarantee", bounds_json(team.guarantee)}});
    for (auto& entry : quotas_.history()) history.push_back(quota::to_json(entry));
    out["teams"] = std::move(teams);
    out["history"] = std::move(history);
    out["on"] = services_.settings.placement.quotas.has_value();
    return Response{200, std::move(out)};
}

}  // namespace barrowrun::api
