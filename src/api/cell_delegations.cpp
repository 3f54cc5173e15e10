#include "api/cell_delegations.hpp"

#include <spdlog/spdlog.h>

#include "api/responses.hpp"

namespace barrowrun::api {
using cells::DelegationReply;
using net::Response;
using net::Task;
using net::http::verb;
using state::Outcome;
using wire::Json;
using namespace std::chrono_literals;

namespace {
constexpr std::size_t max_open_delegations = 32;
// With more executed shards than this in memory, those with a closed epoch are dropped; their records remain.
constexpr std::size_t max_remembered_shards = 1000;
}  // namespace

CellDelegations::CellDelegations(const cells::Settings& settings, Host host)
    : settings_(settings), host_(std::move(host)) {}

const cells::PeerCell* CellDelegations::peer_cell(const std::string& name) const {
    for (auto& peer : settings_.peer_cells)
        if (peer.name == name) return &peer;
    return nullptr;
}

const std::string& CellDelegations::node_of(const std::string& cell) {
    auto* peer = peer_cell(cell);
    return peer->nodes[node_index_[cell] % peer->nodes.size()];
}

std::optional<DayTime> CellDelegations::deadline_for(const std::string& job_class) const {
    auto it = settings_.return_after.find(job_class);
    if (it == settings_.return_after.end()) return std::nullopt;
    return day_now() + it->second;
}

Task<bool> CellDelegations::read_records() {
    auto origin_records = co_await host_.state.list("lent/");
    if (!origin_records.ok) co_return false;
    auto executor_records = co_await host_.state.list("held/");
    if (!executor_records.ok) co_return false;
    for (auto& item : executor_records.items) {
        auto record = cells::parse_executor(item.value);
        // A record that can't be read may have a deadline, so it counts as overdue.
        const auto deadline = record ? record->record.deadline : DayTime{};
        if (deadline) earliest_deadline_ = std::min(earliest_deadline_.value_or(*deadline), *deadline);
        executor_records_.emplace_back(item.key, std::move(record));
    }
    origin_listing_ = std::move(origin_records);
    co_return true;
}

bool CellDelegations::may_renew(const wire::WorkerHeartbeat& heartbeat, const fleet::Machine* machine) const {
    const auto now = day_now();
    // During recovery it is not known what machines hold: no heartbeat is answered once the earliest deadline
    // is so near that tasks must stop.
    if (!machine) return origin_listing_.ok && (!earliest_deadline_ || now < stop_by(*earliest_deadline_));
    for (auto& [id, shard] : executing_) {
        const auto deadline = shard.executor.deadline();
        if (!deadline || !shard.executor.record().executing ||
            now < stop_by(*deadline) + host_.renewal_period)
            continue;
        auto belongs_to_job = [&](const wire::Attempt& attempt) { return attempt.task.job == id; };
        if (std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                        [&](auto& task) { return belongs_to_job(task.attempt); }) ||
            std::any_of(machine->assignments.begin(), machine->assignments.end(),
                        [&](auto& entry) { return belongs_to_job(entry.first) && !entry.second.exited(); }))
            return false;
    }
    return true;
}

Task<bool> CellDelegations::recover(TimePoint now, std::int64_t wall_ms) {
    for (auto& item : origin_listing_.items) {
        const auto id = item.key.substr(5);
        auto record = cells::parse_origin(item.value);
        if (!record) {
            spdlog::error("delegation record {}: not a valid origin record, the delegation is not restored",
                          item.key);
            continue;
        }
        // Tasks of an open shard do not run here until the executor cell reports the epoch closed, or until
        // the shard's deadline has passed.
        if (auto* job = host_.cluster.find_job(id); job && record->record.open)
            host_.cluster.delegate(*job, record->record.tasks);
        delegated_[id] = {record->to, cells::DelegationOrigin(record->record)};
    }
    for (auto& [key, record] : executor_records_) {
        const auto id = key.substr(5);
        if (!record) {
            spdlog::error("delegation record {}: not a valid executor record, the shard is not restored",
                          key);
            continue;
        }
        // The epoch may be closed already: its closed record is written ahead of the deletion of this one.
        auto closed = co_await host_.state.get(cells::closed_epoch_key(id));
        if (closed.outcome != Outcome::ok && closed.outcome != Outcome::absent) co_return false;
        if (closed.outcome == Outcome::ok) {
            auto closed_record = cells::parse_closed_epoch(closed.value);
            if (!closed_record || closed_record->epoch >= record->record.epoch) {
                host_.cluster.enqueue({key, std::nullopt, {}});
                continue;
            }
        }
        ExecutedShard shard{record->owner, record->spec, record->accepted_ms,
                            cells::DelegationExecutor(record->record)};
        // Tasks of the shard may be on machines until `cluster` reports that all of them are gone.
        shard.executor.on_tasks_placed();
        host_.cluster.add_delegated_shard({shard.spec, shard.accepted_ms}, record->record.tasks,
                                          record->record.done, now, wall_ms);
        executing_[id] = std::move(shard);
    }
    origin_listing_.items.clear();
    executor_records_.clear();
    co_return true;
}

// ---- origin cell ----

Task<> CellDelegations::run() {
    for (;;) {
        co_await net::sleep_for(500ms);
        if (!host_.may_act()) continue;
        auto now = Clock::now();
        for (auto& peer : settings_.peer_cells)
            host_.spawn("capacity digest of cell " + peer.name,
                        request_digest(peer.name, node_of(peer.name)));
        offload_waiting_tasks(now);
        std::vector<std::string> jobs;
        for (auto& [job, shard] : delegated_) jobs.push_back(job);
        for (auto& job : jobs) advance(job, now);
        collect_executed_changes();
        // A closed epoch can be removed from memory: a late copy of an offer finds its record.
        if (executing_.size() > max_remembered_shards)
            std::erase_if(executing_, [](auto& entry) {
                auto& shard = entry.second;
                return !shard.write_in_flight && !shard.executor.record().executing &&
                       !shard.executor.next_write();
            });
    }
}

Task<> CellDelegations::request_digest(std::string cell, std::string node) {
    auto sent = Clock::now();
    Json body{{"from", settings_.self}, {"cell", settings_.self}};
    auto reply = co_await host_.nodes.call(node, verb::post, "/peer/ping", std::move(body), 800ms);
    const Json* value = reply.status == 200 ? wire::find(reply.body, "digest") : nullptr;
    auto digest = value ? cells::parse_capacity_digest(*value) : std::nullopt;
    if (digest)
        offload_planner_.on_digest(cell, std::move(*digest), sent, Clock::now());
    else if (node_of(cell) == node)
        ++node_index_[cell];  // the asked node is unreachable or not its cell's leader: the next one is asked
}

void CellDelegations::offload_waiting_tasks(TimePoint now) {
    std::size_t open = 0;
    for (auto& [job, shard] : delegated_) open += shard.origin.delegated();
    if (open >= max_open_delegations) return;
    std::vector<cells::OffloadCandidate> waiting;
    auto& cluster = host_.cluster;
    for (int level = 0; level < wire::priority_levels; ++level)
        for (auto& entry : cluster.queue().level(level)) {
            auto* job = cluster.find_job(entry.id);
            if (!job || job->cancelled || job->runs_for_origin_cell) continue;
            if (auto found = delegated_.find(entry.id);
                found != delegated_.end() && found->second.origin.delegated())
                continue;
            waiting.push_back({entry.id, job->spec.team, job->spec.kind, job->spec.need, job->waiting.size(),
                               now - job->accepted});
        }
    for (auto& decision :
         offload_planner_.plan_offers(settings_, waiting, now, max_open_delegations - open)) {
        auto* job = cluster.find_job(decision.job);
        const auto most = cells::max_shard_tasks(job->spec, cluster.config().max_record_bytes());
        auto tasks = cluster.delegate(*job, std::min(decision.tasks, most));
        if (tasks.empty()) continue;
        auto& shard = delegated_[decision.job];
        shard.to = decision.to;
        const auto count = tasks.size();
        shard.origin.delegate(tasks, deadline_for(job->spec.job_class));
        offload_planner_.on_offer_sent(decision.to, job->spec.need, count);
        shard.awaiting_first_reply = true;
        spdlog::info("job {}: {} tasks delegated to cell {}", decision.job, count, decision.to);
    }
}

// Starts the next action of a delegated shard, unless a write or a request for it is in flight.
void CellDelegations::advance(const std::string& id, TimePoint now) {
    auto& shard = delegated_.at(id);
    auto* job = host_.cluster.find_job(id);
    if (!job && !shard.origin.delegated()) {
        // The job is over and will have no further epoch, so its record is deleted.
        host_.cluster.enqueue({cells::origin_key(id), std::nullopt, {}});
        delegated_.erase(id);
        host_.wake_writes();
        return;
    }
    if (!job || shard.write_in_flight || shard.request_in_flight) return;
    if (shard.origin.expire(day_now(), host_.max_clock_error))
        spdlog::warn(
            "job {}: shard reclaimed at its deadline from cell {}, which does not reply; {} of {} tasks "
            "are known to be done",
            id, shard.to, shard.origin.done().size(), shard.origin.record().tasks.size());
    auto next = shard.origin.next_action();
    if (auto* write = std::get_if<cells::DelegationOrigin::Write>(&next)) {
        if (!write->record.open) {
            // The executor's results must be recorded here before the shard is closed.
            const auto tasks = shard.origin.tasks();
            for (auto& [from, to] : write->done.ranges())
                for (auto i = from; i < to; ++i) {
                    if (!job->done.contains(i)) host_.cluster.finish_delegated(*job, i);
                    if (!job->durable_done.contains(i)) {
                        host_.wake_writes();
                        return;
                    }
                }
        }
        shard.write_in_flight = true;
        cells::StoredOrigin record{shard.to, write->record};
        const auto delegated_tasks = shard.origin.tasks();
        const auto done = write->done;
        host_.cluster.enqueue(
            {cells::origin_key(id), cells::to_json(record), [this, id, delegated_tasks, done] {
                 auto it = delegated_.find(id);
                 if (it == delegated_.end()) return;
                 it->second.write_in_flight = false;
                 it->second.origin.on_recorded();
                 if (it->second.origin.delegated()) return;
                 if (auto* closed_job = host_.cluster.find_job(id)) {
                     host_.cluster.reclaim_delegated(*closed_job, delegated_tasks, done);
                     spdlog::info("job {}: delegation to cell {} closed, {} tasks done there", id,
                                  it->second.to, done.size());
                 }
                 host_.wake_placement();
             }});
        host_.wake_writes();
        return;
    }
    if (std::holds_alternative<std::monostate>(next)) return;
    const bool complete =
        shard.origin.accepted() && shard.origin.done().size() == shard.origin.record().tasks.size();
    if (complete || job->cancelled) shard.origin.recall();
    if (now - shard.last_request < 800ms) return;
    shard.last_request = now;
    shard.request_in_flight = true;
    host_.spawn("delegation request for job " + id, send_request(id));
}

Task<> CellDelegations::send_request(std::string id) {
    auto it = delegated_.find(id);
    if (it == delegated_.end()) co_return;
    auto* job = host_.cluster.find_job(id);
    auto next = it->second.origin.next_action();
    cells::DelegationRequest request{
        settings_.self, id, it->second.origin.record().epoch, std::nullopt, {}, 0, {}};
    if (auto* offer = std::get_if<cells::DelegationOffer>(&next); offer && job) {
        request.spec = job->spec;
        request.tasks = offer->tasks;
        request.accepted_ms = job->accepted_ms;
        request.deadline = offer->deadline;
    }
    const std::string cell = it->second.to;
    std::optional<DelegationReply> answer;
    if (peer_cell(cell)) {
        const std::string node = node_of(cell);
        // Not a conditional expression in the call, because of a compiler fault: see
        // Node::quota_request_from_peer.
        std::string target = "/peer/cancel";
        if (request.spec) target = "/peer/submit";
        Json body{{"part", cells::to_json(request)}};
        auto reply = co_await host_.nodes.call(node, verb::post, std::move(target), std::move(body), 3000ms);
        const Json* value = reply.status == 200 ? wire::find(reply.body, "part") : nullptr;
        if (value) answer = cells::parse_delegation_reply(*value);
        if (!answer && node_of(cell) == node) ++node_index_[cell];
    }
    it = delegated_.find(id);
    if (it == delegated_.end()) co_return;
    it->second.request_in_flight = false;
    auto now = Clock::now();
    if (!answer) co_return;  // outcome unknown: the same request is sent again later
    if (answer->status != DelegationReply::Status::undecided &&
        std::exchange(it->second.awaiting_first_reply, false)) {
        offload_planner_.on_offer_answered(cell, now);
        if (answer->status == DelegationReply::Status::closed) {
            offload_planner_.on_offer_refused(cell, now);
            spdlog::info("job {}: delegation refused by cell {}", id, cell);
        }
    }
    it->second.origin.on_reply(*answer);
    // The executor cell is reachable, so the deadline is extended well before tasks would have to stop there.
    // The job may have been removed during the request.
    job = host_.cluster.find_job(id);
    if (const auto deadline = it->second.origin.record().deadline;
        deadline && answer->status == DelegationReply::Status::executing && job) {
        const auto new_deadline = deadline_for(job->spec.job_class);
        if (new_deadline && *new_deadline - *deadline > (*new_deadline - day_now()) / 10)
            it->second.origin.extend_deadline(*new_deadline);
    }
    advance(id, now);
}

// ---- executor cell ----

Json CellDelegations::capacity_digest() {
    // Cached for a moment, so that all cells that ask at about the same time get one digest.
    const auto now = Clock::now();
    if (!digest_.is_null() && now - digest_time_ < 300ms) return digest_;
    digest_time_ = now;
    cells::CapacityDigest digest;
    digest.waiting = host_.cluster.queue().waiting();
    host_.cluster.for_each_free_capacity(now, [&](const wire::Resources& free) { digest.add(free); });
    digest_ = cells::to_json(digest);
    return digest_;
}

Task<Response> CellDelegations::handle_request(cells::DelegationRequest request) {
    const auto id = request.job;
    if (!peer_cell(request.from)) co_return error_response(400, "not a cell that is known here");
    if (!executing_.contains(id)) {
        // The shard is not in memory. A closed epoch of it may be on record and must be respected.
        auto closed = co_await host_.state.get(cells::closed_epoch_key(id));
        if (closed.outcome != Outcome::ok && closed.outcome != Outcome::absent)
            co_return error_response(503, "not now", 1);
        cells::ExecutorRecord record;
        if (closed.outcome == Outcome::ok) {
            auto parsed_record = cells::parse_closed_epoch(closed.value);
            if (!parsed_record) co_return error_response(503, "a record that cannot be read", 1);
            record = std::move(*parsed_record);
        }
        if (!executing_.contains(id)) {
            ExecutedShard shard;
            shard.owner = request.from;
            shard.executor = cells::DelegationExecutor(std::move(record));
            executing_[id] = std::move(shard);
        }
    }
    auto reply_by = Clock::now() + 2500ms;
    bool first_attempt = true;
    for (;;) {
        if (!host_.may_act()) co_return error_response(503, "not entitled to act", 1);
        auto it = executing_.find(id);
        if (it == executing_.end()) co_return error_response(503, "not now", 1);
        ExecutedShard& shard = it->second;
        if (shard.owner != request.from) co_return error_response(400, "the part is another cell's");
        std::optional<DelegationReply> answer;
        if (request.spec) {
            const auto& spec = *request.spec;
            if (first_attempt && !shard.executor.record().executing) {
                shard.spec = spec;
                shard.accepted_ms = request.accepted_ms;
            }
            const bool may_accept = settings_.may_execute_for(spec.team, request.from) &&
                                    host_.cluster.queue().waiting() == 0 && !host_.cluster.find_job(id) &&
                                    host_.cluster.fits_some_type(spec) && fits_into_record(request) &&
                                    (!request.deadline || day_now() < stop_by(*request.deadline));
            answer = shard.executor.on_offer({request.epoch, request.tasks, request.deadline}, may_accept);
        } else {
            answer = shard.executor.on_recall({request.epoch});
            if (shard.executor.stopping()) stop_executing(id);
        }
        first_attempt = false;
        collect_executed_changes();
        write_executor_record(id);
        if (answer && answer->status != DelegationReply::Status::undecided)
            co_return Response{200, {{"part", cells::to_json(*answer)}}};
        if (Clock::now() >= reply_by)
            co_return Response{200,
                               {{"part", cells::to_json(DelegationReply{
                                             DelegationReply::Status::undecided, request.epoch, {}})}}};
        co_await net::sleep_for(20ms);
    }
}

bool CellDelegations::fits_into_record(const cells::DelegationRequest& offer) const {
    return offer.tasks.size() <=
           cells::max_shard_tasks(*offer.spec, host_.cluster.config().max_record_bytes());
}

void CellDelegations::stop_executing(const std::string& id) {
    if (auto* job = host_.cluster.find_job(id); job && job->runs_for_origin_cell && !job->cancelled)
        host_.cluster.cancel(*job, Clock::now());
}

void CellDelegations::stop_before_deadlines() {
    const auto now = day_now();
    for (auto& [id, shard] : executing_)
        if (shard.executor.stop_if_due(now + stop_ahead())) {
            spdlog::warn("job {}: shard of cell {}, which does not reply, stops before its deadline", id,
                         shard.owner);
            stop_executing(id);
        }
}

void CellDelegations::collect_executed_changes() {
    for (auto& id : host_.cluster.take_changed_delegated_shards()) {
        auto it = executing_.find(id);
        auto* job = host_.cluster.find_job(id);
        if (it == executing_.end() || !job) continue;
        cells::IndexSet done;
        it->second.executor.record().tasks.each([&](std::uint32_t i) {
            if (job->done.contains(i)) done.insert(i);
        });
        it->second.executor.on_tasks_done(done);
        write_executor_record(id);
    }
    stop_before_deadlines();
    for (auto& [id, shard] : executing_)
        if (shard.executor.stopping()) {
            auto* job = host_.cluster.find_job(id);
            if (!job || job->placements.empty()) {
                shard.executor.on_machines_cleared();
                write_executor_record(id);
            }
        }
}

// Enqueues the next record of the shard, unless one is being written.
void CellDelegations::write_executor_record(const std::string& id) {
    auto& shard = executing_.at(id);
    if (shard.write_in_flight) return;
    auto write = shard.executor.next_write();
    if (!write) return;
    shard.write_in_flight = true;
    const auto record = *write;
    if (record.executing) {
        host_.cluster.enqueue(
            {cells::executor_key(id),
             cells::to_json(cells::StoredExecutor{shard.owner, record, shard.spec, shard.accepted_ms}),
             [this, id, record] { on_executor_recorded(id, record); }});
    } else {
        // The closed epoch is written first: a new leader that finds both records uses the closed epoch.
        host_.cluster.enqueue({cells::closed_epoch_key(id), cells::closed_epoch_json(record),
                               [this, id, record] { on_executor_recorded(id, record); }});
        if (shard.executor.record().executing)
            host_.cluster.enqueue({cells::executor_key(id), std::nullopt, {}});
    }
    host_.wake_writes();
}

void CellDelegations::on_executor_recorded(const std::string& id, const cells::ExecutorRecord& record) {
    auto it = executing_.find(id);
    if (it == executing_.end()) return;
    ExecutedShard& shard = it->second;
    shard.write_in_flight = false;
    const bool was_executing = shard.executor.record().executing;
    shard.executor.on_recorded(record);
    auto& cluster = host_.cluster;
    auto* job = cluster.find_job(id);
    if (record.executing && !was_executing) {
        spdlog::info("job {}: {} tasks accepted from cell {}", id, record.tasks.size(), shard.owner);
        cluster.add_delegated_shard({shard.spec, shard.accepted_ms}, record.tasks, record.done, Clock::now(),
                                    wall_ms());
        shard.executor.on_tasks_placed();
        host_.wake_placement();
    } else if (record.executing && job) {
        cluster.delegated_results_recorded(*job, record.done);
    } else if (!record.executing && was_executing && job && job->runs_for_origin_cell) {
        spdlog::info("job {}: shard of cell {} closed, {} tasks done here", id, shard.owner,
                     record.done.size());
        cluster.delegated_results_recorded(*job, record.done);
        cluster.drop_delegated_shard(*job);
    }
    write_executor_record(id);
}

}  // namespace barrowrun::api
