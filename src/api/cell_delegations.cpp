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
constexpr std::size_t max_open_delegations = 32;  // open at once
constexpr std::size_t max_closed_remembered = 1000;
}  // namespace

CellDelegations::CellDelegations(const cells::Settings& settings, Host host)
    : settings_(settings), host_(std::move(host)) {}

const cells::PeerCell* CellDelegations::peer_cell(const std::string& name) const {
    for (auto& n : settings_.peer_cells)
        if (n.name == name) return &n;
    return nullptr;
}

const std::string& CellDelegations::node_of(const std::string& cell) {
    auto* n = peer_cell(cell);
    return n->nodes[node_[cell] % n->nodes.size()];
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
        // What can't be read may have a deadline.
        const auto end = record ? record->record.deadline : DayTime{};
        if (end) earliest_deadline_ = std::min(earliest_deadline_.value_or(*end), *end);
        executor_records_.emplace_back(item.key, std::move(record));
    }
    origin_listing_ = std::move(origin_records);
    co_return true;
}

bool CellDelegations::may_renew(const wire::WorkerHeartbeat& heartbeat, const fleet::Machine* m) const {
    const auto now = day_now();
    // Nothing is known yet of what machines hold: none is answered once something may have to be gone.
    if (!m) return origin_listing_.ok && (!earliest_deadline_ || now < stop_by(*earliest_deadline_));
    for (auto& [id, h] : executing_) {
        const auto end = h.executor.deadline();
        if (!end || !h.executor.record().executing || now < stop_by(*end) + host_.renewed_within) continue;
        auto names = [&](const wire::Attempt& a) { return a.task.job == id; };
        if (std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                        [&](auto& t) { return names(t.attempt); }) ||
            std::any_of(m->assignments.begin(), m->assignments.end(),
                        [&](auto& e) { return names(e.first) && !e.second.exited(); }))
            return false;
    }
    return true;
}

Task<bool> CellDelegations::recover(TimePoint now, std::int64_t wall_ms) {
    for (auto& item : origin_listing_.items) {
        const auto job = item.key.substr(5);
        auto record = cells::parse_origin(item.value);
        if (!record) {
            spdlog::error("delegation record {} cannot be read: its job is left alone", item.key);
            continue;
        }
        // Open shards stay away until their executor says that they are over.
        if (auto* j = host_.cluster.find_job(job); j && record->record.open)
            host_.cluster.delegate(*j, record->record.tasks);
        delegated_[job] = {record->to, cells::DelegationOrigin(record->record)};
    }
    for (auto& [key, record] : executor_records_) {
        const auto job = key.substr(5);
        if (!record) {
            spdlog::error("delegation record {} cannot be read: its shard is left alone", key);
            continue;
        }
        // Its epoch may be over already: that is on record before this one is dropped.
        auto over = co_await host_.state.get(cells::closed_epoch_key(job));
        if (over.outcome != Outcome::ok && over.outcome != Outcome::absent) co_return false;
        if (over.outcome == Outcome::ok) {
            auto epoch = cells::parse_closed_epoch(over.value);
            if (!epoch || epoch->epoch >= record->record.epoch) {
                host_.cluster.enqueue({key, std::nullopt, {}});
                continue;
            }
        }
        Executing h{record->owner, record->spec, record->accepted_ms,
                    cells::DelegationExecutor(record->record)};
        h.executor.on_tasks_placed();  // until the cluster says that nothing of it is there
        host_.cluster.add_delegated_shard({h.spec, h.accepted_ms}, record->record.tasks, record->record.done,
                                          now, wall_ms);
        executing_[job] = std::move(h);
    }
    origin_listing_.items.clear();
    executor_records_.clear();
    co_return true;
}

// ---- the origin's side ----

Task<> CellDelegations::run() {
    for (;;) {
        co_await net::sleep_for(500ms);
        if (!host_.may_act()) continue;
        auto now = Clock::now();
        for (auto& n : settings_.peer_cells)
            host_.spawn("digest " + n.name, request_digest(n.name, node_of(n.name)));
        offload_waiting_tasks(now);
        std::vector<std::string> jobs;
        for (auto& [job, l] : delegated_) jobs.push_back(job);
        for (auto& job : jobs) advance(job, now);
        collect_executed_changes();
        // What is over stands in its record; a late copy finds it there.
        if (executing_.size() > max_closed_remembered)
            std::erase_if(executing_, [](auto& entry) {
                auto& h = entry.second;
                return !h.writing && !h.executor.record().executing && !h.executor.next_write();
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
        ++node_[cell];  // it doesn't lead, or isn't there
}

void CellDelegations::offload_waiting_tasks(TimePoint now) {
    std::size_t open = 0;
    for (auto& [job, l] : delegated_) open += l.origin.delegated();
    if (open >= max_open_delegations) return;
    std::vector<cells::OffloadCandidate> waiting;
    auto& cluster = host_.cluster;
    for (int level = 0; level < wire::priority_levels; ++level)
        for (auto& place : cluster.queue().level(level)) {
            auto* job = cluster.find_job(place.id);
            if (!job || job->cancelled || job->runs_for_origin_cell) continue;
            if (auto l = delegated_.find(place.id); l != delegated_.end() && l->second.origin.delegated())
                continue;
            waiting.push_back({place.id, job->spec.team, job->spec.kind, job->spec.need, job->waiting.size(),
                               now - job->accepted});
        }
    for (auto& s : offload_planner_.choose(settings_, waiting, now, max_open_delegations - open)) {
        auto* job = cluster.find_job(s.job);
        auto tasks = cluster.delegate(*job, s.tasks);
        if (tasks.empty()) continue;
        auto& l = delegated_[s.job];
        l.to = s.to;
        const auto n = tasks.size();
        l.origin.delegate(tasks, deadline_for(job->spec.job_class));
        offload_planner_.on_offer_sent(s.to, job->spec.need, n);
        l.awaiting_first_reply = true;
        spdlog::info("job {}: {} tasks delegated to cell {}", s.job, n, s.to);
    }
}

// What a shard waits for next, if nothing of it is in flight.
void CellDelegations::advance(const std::string& id, TimePoint now) {
    auto& l = delegated_.at(id);
    auto* job = host_.cluster.find_job(id);
    if (!job && !l.origin.delegated()) {
        // Its job is over: no further epoch will come of it.
        host_.cluster.enqueue({cells::origin_key(id), std::nullopt, {}});
        delegated_.erase(id);
        host_.wake_writes();
        return;
    }
    if (!job || l.writing || l.asking) return;
    if (l.origin.expire(day_now(), host_.max_clock_error))
        spdlog::warn(
            "job {}: shard reclaimed at its deadline from cell {}, which does not reply; {} of {} tasks "
            "known done",
            id, l.to, l.origin.done().size(), l.origin.record().tasks.size());
    auto next = l.origin.next_action();
    if (auto* write = std::get_if<cells::DelegationOrigin::Write>(&next)) {
        if (!write->record.open) {
            // What was done there is on record here before the shard is closed.
            const auto tasks = l.origin.tasks();
            for (auto& [from, to] : write->done.ranges())
                for (auto i = from; i < to; ++i) {
                    if (!job->done.contains(i)) host_.cluster.finish_delegated(*job, i);
                    if (!job->durable_done.contains(i)) {
                        host_.wake_writes();
                        return;
                    }
                }
        }
        l.writing = true;
        cells::StoredOrigin record{l.to, write->record};
        const auto before = l.origin.tasks();
        const auto done = write->done;
        host_.cluster.enqueue({cells::origin_key(id), cells::to_json(record), [this, id, before, done] {
                                   auto it = delegated_.find(id);
                                   if (it == delegated_.end()) return;
                                   it->second.writing = false;
                                   it->second.origin.on_recorded();
                                   if (it->second.origin.delegated()) return;
                                   if (auto* j = host_.cluster.find_job(id)) {
                                       host_.cluster.reclaim_delegated(*j, before, done);
                                       spdlog::info(
                                           "job {}: delegation to cell {} closed, {} tasks done there", id,
                                           it->second.to, done.size());
                                   }
                                   host_.wake_places();
                               }});
        host_.wake_writes();
        return;
    }
    if (std::holds_alternative<std::monostate>(next)) return;
    const bool complete = l.origin.accepted() && l.origin.done().size() == l.origin.record().tasks.size();
    if (complete || job->cancelled) l.origin.recall();
    if (now - l.last_request < 800ms) return;
    l.last_request = now;
    l.asking = true;
    host_.spawn("part of " + id, exchange(id));
}

Task<> CellDelegations::exchange(std::string id) {
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
        // Not as a conditional expression in the call: see Node::peer_route.
        std::string target = "/peer/cancel";
        if (request.spec) target = "/peer/submit";
        Json body{{"part", cells::to_json(request)}};
        auto reply = co_await host_.nodes.call(node, verb::post, std::move(target), std::move(body), 3000ms);
        const Json* value = reply.status == 200 ? wire::find(reply.body, "part") : nullptr;
        if (value) answer = cells::parse_delegation_reply(*value);
        if (!answer && node_of(cell) == node) ++node_[cell];
    }
    it = delegated_.find(id);
    if (it == delegated_.end()) co_return;
    it->second.asking = false;
    auto now = Clock::now();
    if (!answer) co_return;  // nothing is known: the same again
    if (answer->status != DelegationReply::Status::undecided &&
        std::exchange(it->second.awaiting_first_reply, false)) {
        offload_planner_.on_offer_answered(cell, now);
        if (answer->status == DelegationReply::Status::closed) {
            offload_planner_.on_offer_refused(cell, now);
            spdlog::info("job {}: delegation refused by cell {}", id, cell);
        }
    }
    it->second.origin.on_reply(*answer);
    // It is heard: the deadline is extended, some time before it would make anything stop there. The job may
    // have gone while the answer was waited for.
    job = host_.cluster.find_job(id);
    if (const auto deadline = it->second.origin.record().deadline;
        deadline && answer->status == DelegationReply::Status::executing && job) {
        const auto later = deadline_for(job->spec.job_class);
        if (later && *later - *deadline > (*later - day_now()) / 10)
            it->second.origin.extend_deadline(*later);
    }
    advance(id, now);
}

// ---- the executor's side ----

Json CellDelegations::capacity_digest() {
    // One look at the machines for all cells that ask at about the same time.
    const auto now = Clock::now();
    if (!digest_.is_null() && now - digest_made_ < 300ms) return digest_;
    digest_made_ = now;
    cells::CapacityDigest d;
    d.waiting = host_.cluster.queue().waiting();
    host_.cluster.for_each_free_capacity(now, [&](const wire::Resources& r) { d.add(r); });
    digest_ = cells::to_json(d);
    return digest_;
}

Task<Response> CellDelegations::handle_request(cells::DelegationRequest request) {
    const auto id = request.job;
    if (!peer_cell(request.from)) co_return error_response(400, "not a cell that is known here");
    if (!executing_.contains(id)) {
        // Nothing is held: an earlier epoch that is over must be met all the same.
        auto over = co_await host_.state.get(cells::closed_epoch_key(id));
        if (over.outcome != Outcome::ok && over.outcome != Outcome::absent)
            co_return error_response(503, "not now", 1);
        cells::ExecutorRecord record;
        if (over.outcome == Outcome::ok) {
            auto parsed = cells::parse_closed_epoch(over.value);
            if (!parsed) co_return error_response(503, "a record that cannot be read", 1);
            record = std::move(*parsed);
        }
        if (!executing_.contains(id)) {
            Executing h;
            h.owner = request.from;
            h.executor = cells::DelegationExecutor(std::move(record));
            executing_[id] = std::move(h);
        }
    }
    auto end = Clock::now() + 2500ms;
    bool first = true;
    for (;;) {
        if (!host_.may_act()) co_return error_response(503, "not entitled to act", 1);
        auto it = executing_.find(id);
        if (it == executing_.end()) co_return error_response(503, "not now", 1);
        Executing& h = it->second;
        if (h.owner != request.from) co_return error_response(400, "the part is another cell's");
        std::optional<DelegationReply> answer;
        if (request.spec) {
            const auto& s = *request.spec;
            if (first && !h.executor.record().executing) {
                h.spec = s;
                h.accepted_ms = request.accepted_ms;
            }
            const bool room = settings_.may_execute_for(s.team, request.from) &&
                              host_.cluster.queue().waiting() == 0 && !host_.cluster.find_job(id) &&
                              host_.cluster.fits_some_type(s) &&
                              (!request.deadline || day_now() < stop_by(*request.deadline));
            answer = h.executor.on_offer({request.epoch, request.tasks, request.deadline}, room);
        } else {
            answer = h.executor.on_recall({request.epoch});
            if (h.executor.stopping()) stop_executing(id);
        }
        first = false;
        collect_executed_changes();
        write_executor_record(id);
        if (answer && answer->status != DelegationReply::Status::undecided)
            co_return Response{200, {{"part", cells::to_json(*answer)}}};
        if (Clock::now() >= end)
            co_return Response{200,
                               {{"part", cells::to_json(DelegationReply{
                                             DelegationReply::Status::undecided, request.epoch, {}})}}};
        co_await net::sleep_for(20ms);
    }
}

void CellDelegations::stop_executing(const std::string& id) {
    if (auto* job = host_.cluster.find_job(id); job && job->runs_for_origin_cell && !job->cancelled)
        host_.cluster.cancel(*job, Clock::now());
}

void CellDelegations::stop_before_deadlines() {
    const auto now = day_now();
    for (auto& [id, h] : executing_)
        if (h.executor.stop_if_due(now + stop_ahead())) {
            spdlog::warn("job {}: shard of cell {}, which does not reply, stops before its deadline", id,
                         h.owner);
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
    for (auto& [id, h] : executing_)
        if (h.executor.stopping()) {
            auto* job = host_.cluster.find_job(id);
            if (!job || job->placements.empty()) {
                h.executor.on_machines_cleared();
                write_executor_record(id);
            }
        }
}

// Puts on record what the shard wants on record.
void CellDelegations::write_executor_record(const std::string& id) {
    auto& h = executing_.at(id);
    if (h.writing) return;
    auto write = h.executor.next_write();
    if (!write) return;
    h.writing = true;
    const auto record = *write;
    if (record.executing) {
        host_.cluster.enqueue({cells::executor_key(id),
                               cells::to_json(cells::StoredExecutor{h.owner, record, h.spec, h.accepted_ms}),
                               [this, id, record] { on_executor_recorded(id, record); }});
    } else {
        // The epoch first: a successor that finds both believes it.
        host_.cluster.enqueue({cells::closed_epoch_key(id), cells::closed_epoch_json(record),
                               [this, id, record] { on_executor_recorded(id, record); }});
        if (h.executor.record().executing) host_.cluster.enqueue({cells::executor_key(id), std::nullopt, {}});
    }
    host_.wake_writes();
}

void CellDelegations::on_executor_recorded(const std::string& id, const cells::ExecutorRecord& record) {
    auto it = executing_.find(id);
    if (it == executing_.end()) return;
    Executing& h = it->second;
    h.writing = false;
    const bool held_before = h.executor.record().executing;
    h.executor.on_recorded(record);
    auto& cluster = host_.cluster;
    auto* job = cluster.find_job(id);
    if (record.executing && !held_before) {
        spdlog::info("job {}: {} tasks accepted from cell {}", id, record.tasks.size(), h.owner);
        cluster.add_delegated_shard({h.spec, h.accepted_ms}, record.tasks, record.done, Clock::now(),
                                    wall_ms());
        h.executor.on_tasks_placed();
        host_.wake_places();
    } else if (record.executing && job) {
        cluster.delegated_results_recorded(*job, record.done);
    } else if (!record.executing && held_before && job && job->runs_for_origin_cell) {
        spdlog::info("job {}: shard of cell {} closed, {} tasks done here", id, h.owner, record.done.size());
        cluster.delegated_results_recorded(*job, record.done);
        cluster.drop_delegated_shard(*job);
    }
    write_executor_record(id);
}

}  // namespace barrowrun::api
