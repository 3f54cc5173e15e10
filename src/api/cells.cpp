#include "api/cells.hpp"

#include <spdlog/spdlog.h>

#include "api/responses.hpp"

namespace barrowrun::api {
using cells::Answer;
using net::Response;
using net::Task;
using net::http::verb;
using state::Outcome;
using wire::Json;
using namespace std::chrono_literals;

namespace {
constexpr std::size_t most_parts = 32;  // open at once
constexpr std::size_t most_remembered = 1000;
}  // namespace

Cells::Cells(const cells::Settings& settings, Host host) : settings_(settings), host_(std::move(host)) {}

const cells::Neighbour* Cells::neighbour(const std::string& name) const {
    for (auto& n : settings_.neighbours)
        if (n.name == name) return &n;
    return nullptr;
}

const std::string& Cells::node_of(const std::string& cell) {
    auto* n = neighbour(cell);
    return n->nodes[node_[cell] % n->nodes.size()];
}

std::optional<DayTime> Cells::end_for(const std::string& job_class) const {
    auto it = settings_.return_after.find(job_class);
    if (it == settings_.return_after.end()) return std::nullopt;
    return day_now() + it->second;
}

Task<bool> Cells::read() {
    auto lent = co_await host_.state.list("lent/");
    if (!lent.ok) co_return false;
    auto held = co_await host_.state.list("held/");
    if (!held.ok) co_return false;
    for (auto& item : held.items) {
        auto record = cells::parse_held(item.value);
        // What can't be read may have an end.
        const auto end = record ? record->record.until : DayTime{};
        if (end) first_end_ = std::min(first_end_.value_or(*end), *end);
        held_records_.emplace_back(item.key, std::move(record));
    }
    lent_records_ = std::move(lent);
    co_return true;
}

bool Cells::may_renew(const wire::WorkerHeartbeat& heartbeat, const fleet::Machine* m) const {
    const auto now = day_now();
    // Nothing is known yet of what machines hold: none is answered once something may have to be gone.
    if (!m) return lent_records_.ok && (!first_end_ || now < stop_by(*first_end_));
    for (auto& [id, h] : held_) {
        const auto end = h.borrower.until();
        if (!end || !h.borrower.record().holding || now < stop_by(*end) + host_.renewed_within) continue;
        auto names = [&](const wire::Attempt& a) { return a.task.job == id; };
        if (std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                        [&](auto& t) { return names(t.attempt); }) ||
            std::any_of(m->assignments.begin(), m->assignments.end(),
                        [&](auto& e) { return names(e.first) && !e.second.exited(); }))
            return false;
    }
    return true;
}

Task<bool> Cells::load(TimePoint now, std::int64_t wall_ms) {
    for (auto& item : lent_records_.items) {
        const auto job = item.key.substr(5);
        auto record = cells::parse_lent(item.value);
        if (!record) {
            spdlog::error("the record {} cannot be read: its job is left alone", item.key);
            continue;
        }
        // Open parts stay away until their neighbour says that they are over.
        if (auto* j = host_.cluster.find_job(job); j && record->record.open)
            host_.cluster.delegate(*j, record->record.tasks);
        lent_[job] = {record->to, cells::Lender(record->record)};
    }
    for (auto& [key, record] : held_records_) {
        const auto job = key.substr(5);
        if (!record) {
            spdlog::error("the record {} cannot be read: its part is left alone", key);
            continue;
        }
        // Its turn may be over already: that is on record before this one is dropped.
        auto over = co_await host_.state.get(cells::turn_key(job));
        if (over.outcome != Outcome::ok && over.outcome != Outcome::absent) co_return false;
        if (over.outcome == Outcome::ok) {
            auto turn = cells::parse_over(over.value);
            if (!turn || turn->turn >= record->record.turn) {
                host_.cluster.enqueue({key, std::nullopt, {}});
                continue;
            }
        }
        Holding h{record->owner, record->spec, record->accepted_ms, cells::Borrower(record->record)};
        h.borrower.runs();  // until the cluster says that nothing of it is there
        host_.cluster.add_delegated_shard({h.spec, h.accepted_ms}, record->record.tasks, record->record.done,
                                          now, wall_ms);
        held_[job] = std::move(h);
    }
    lent_records_.items.clear();
    held_records_.clear();
    co_return true;
}

// ---- the owner's side ----

Task<> Cells::loop() {
    for (;;) {
        co_await net::sleep_for(500ms);
        if (!host_.may_act()) continue;
        auto now = Clock::now();
        for (auto& n : settings_.neighbours)
            host_.spawn("digest " + n.name, ask_digest(n.name, node_of(n.name)));
        spill(now);
        std::vector<std::string> jobs;
        for (auto& [job, l] : lent_) jobs.push_back(job);
        for (auto& job : jobs) step(job, now);
        look_at_borrowed();
        // What is over stands in its record; a late copy finds it there.
        if (held_.size() > most_remembered)
            std::erase_if(held_, [](auto& entry) {
                auto& h = entry.second;
                return !h.writing && !h.borrower.record().holding && !h.borrower.next_write();
            });
    }
}

Task<> Cells::ask_digest(std::string cell, std::string node) {
    auto sent = Clock::now();
    Json body{{"from", settings_.self}, {"cell", settings_.self}};
    auto reply = co_await host_.nodes.call(node, verb::post, "/peer/ping", std::move(body), 800ms);
    const Json* value = reply.status == 200 ? wire::find(reply.body, "digest") : nullptr;
    auto digest = value ? cells::parse_digest(*value) : std::nullopt;
    if (digest)
        spiller_.heard(cell, std::move(*digest), sent, Clock::now());
    else if (node_of(cell) == node)
        ++node_[cell];  // it doesn't lead, or isn't there
}

void Cells::spill(TimePoint now) {
    std::size_t open = 0;
    for (auto& [job, l] : lent_) open += l.lender.away();
    if (open >= most_parts) return;
    std::vector<cells::Candidate> waiting;
    auto& cluster = host_.cluster;
    for (int level = 0; level < wire::priority_levels; ++level)
        for (auto& place : cluster.queue().level(level)) {
            auto* job = cluster.find_job(place.id);
            if (!job || job->cancelled || job->runs_for_origin_cell) continue;
            if (auto l = lent_.find(place.id); l != lent_.end() && l->second.lender.away()) continue;
            waiting.push_back({place.id, job->spec.team, job->spec.kind, job->spec.need, job->waiting.size(),
                               now - job->accepted});
        }
    for (auto& s : spiller_.choose(settings_, waiting, now, most_parts - open)) {
        auto* job = cluster.find_job(s.job);
        auto tasks = cluster.delegate(*job, s.tasks);
        if (tasks.empty()) continue;
        auto& l = lent_[s.job];
        l.to = s.to;
        const auto n = tasks.size();
        l.lender.lend(tasks, end_for(job->spec.job_class));
        spiller_.sent(s.to, job->spec.need, n);
        l.unanswered = true;
        spdlog::info("{} tasks of {} go to cell {}", n, s.job, s.to);
    }
}

// What a part waits for next, if nothing of it is under way.
void Cells::step(const std::string& id, TimePoint now) {
    auto& l = lent_.at(id);
    auto* job = host_.cluster.find_job(id);
    if (!job && !l.lender.away()) {
        // Its job is over: no further turn will come of it.
        host_.cluster.enqueue({cells::lent_key(id), std::nullopt, {}});
        lent_.erase(id);
        host_.wake_writes();
        return;
    }
    if (!job || l.writing || l.asking) return;
    if (l.lender.run_out(day_now(), host_.max_clock_error))
        spdlog::warn(
            "cell {} isn't heard: its part of {} comes back, {} of {} tasks done there as far as known", l.to,
            id, l.lender.done().size(), l.lender.record().tasks.size());
    auto next = l.lender.next();
    if (auto* write = std::get_if<cells::Lender::Write>(&next)) {
        if (!write->record.open) {
            // What was done there is on record here before the part is closed.
            const auto tasks = l.lender.tasks();
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
        cells::Lent record{l.to, write->record};
        const auto before = l.lender.tasks();
        const auto done = write->done;
        host_.cluster.enqueue({cells::lent_key(id), cells::to_json(record), [this, id, before, done] {
                                   auto it = lent_.find(id);
                                   if (it == lent_.end()) return;
                                   it->second.writing = false;
                                   it->second.lender.wrote();
                                   if (it->second.lender.away()) return;
                                   if (auto* j = host_.cluster.find_job(id)) {
                                       host_.cluster.reclaim_delegated(*j, before, done);
                                       spdlog::info(
                                           "the part of {} is back from cell {}: {} tasks done there", id,
                                           it->second.to, done.size());
                                   }
                                   host_.wake_places();
                               }});
        host_.wake_writes();
        return;
    }
    if (std::holds_alternative<std::monostate>(next)) return;
    const bool complete = l.lender.held() && l.lender.done().size() == l.lender.record().tasks.size();
    if (complete || job->cancelled) l.lender.want_back();
    if (now - l.asked < 800ms) return;
    l.asked = now;
    l.asking = true;
    host_.spawn("part of " + id, ask(id));
}

Task<> Cells::ask(std::string id) {
    auto it = lent_.find(id);
    if (it == lent_.end()) co_return;
    auto* job = host_.cluster.find_job(id);
    auto next = it->second.lender.next();
    cells::Request request{settings_.self, id, it->second.lender.record().turn, std::nullopt, {}, 0, {}};
    if (auto* offer = std::get_if<cells::Offer>(&next); offer && job) {
        request.spec = job->spec;
        request.tasks = offer->tasks;
        request.accepted_ms = job->accepted_ms;
        request.until = offer->until;
    }
    const std::string cell = it->second.to;
    std::optional<Answer> answer;
    if (neighbour(cell)) {
        const std::string node = node_of(cell);
        // Not as a conditional expression in the call: see Node::peer_route.
        std::string target = "/peer/cancel";
        if (request.spec) target = "/peer/submit";
        Json body{{"part", cells::to_json(request)}};
        auto reply = co_await host_.nodes.call(node, verb::post, std::move(target), std::move(body), 3000ms);
        const Json* value = reply.status == 200 ? wire::find(reply.body, "part") : nullptr;
        if (value) answer = cells::parse_answer(*value);
        if (!answer && node_of(cell) == node) ++node_[cell];
    }
    it = lent_.find(id);
    if (it == lent_.end()) co_return;
    it->second.asking = false;
    auto now = Clock::now();
    if (!answer) co_return;  // nothing is known: the same again
    if (answer->word != Answer::Word::later && std::exchange(it->second.unanswered, false)) {
        spiller_.answered(cell, now);
        if (answer->word == Answer::Word::over) {
            spiller_.refused(cell, now);
            spdlog::info("cell {} does not take the part of {}", cell, id);
        }
    }
    it->second.lender.answered(*answer);
    // It is heard: the end is put off, some time before it would make anything stop there. The job may have
    // gone while the answer was waited for.
    job = host_.cluster.find_job(id);
    if (const auto until = it->second.lender.record().until;
        until && answer->word == Answer::Word::holds && job) {
        const auto later = end_for(job->spec.job_class);
        if (later && *later - *until > (*later - day_now()) / 10) it->second.lender.renew(*later);
    }
    step(id, now);
}

// ---- the neighbour's side ----

Json Cells::digest() {
    // One look at the machines for all neighbours that ask at about the same time.
    const auto now = Clock::now();
    if (!digest_.is_null() && now - digest_made_ < 300ms) return digest_;
    digest_made_ = now;
    cells::Digest d;
    d.waiting = host_.cluster.queue().waiting();
    host_.cluster.for_each_free_capacity(now, [&](const wire::Resources& r) { d.add(r); });
    digest_ = cells::to_json(d);
    return digest_;
}

Task<Response> Cells::asked(cells::Request request) {
    const auto id = request.job;
    if (!neighbour(request.from)) co_return error_response(400, "not a cell that is known here");
    if (!held_.contains(id)) {
        // Nothing is held: an earlier turn that is over must be met all the same.
        auto over = co_await host_.state.get(cells::turn_key(id));
        if (over.outcome != Outcome::ok && over.outcome != Outcome::absent)
            co_return error_response(503, "not now", 1);
        cells::HeldRecord record;
        if (over.outcome == Outcome::ok) {
            auto parsed = cells::parse_over(over.value);
            if (!parsed) co_return error_response(503, "a record that cannot be read", 1);
            record = std::move(*parsed);
        }
        if (!held_.contains(id)) {
            Holding h;
            h.owner = request.from;
            h.borrower = cells::Borrower(std::move(record));
            held_[id] = std::move(h);
        }
    }
    auto end = Clock::now() + 2500ms;
    bool first = true;
    for (;;) {
        if (!host_.may_act()) co_return error_response(503, "not entitled to act", 1);
        auto it = held_.find(id);
        if (it == held_.end()) co_return error_response(503, "not now", 1);
        Holding& h = it->second;
        if (h.owner != request.from) co_return error_response(400, "the part is another cell's");
        std::optional<Answer> answer;
        if (request.spec) {
            const auto& s = *request.spec;
            if (first && !h.borrower.record().holding) {
                h.spec = s;
                h.accepted_ms = request.accepted_ms;
            }
            const bool room = settings_.may_come(s.team, request.from) &&
                              host_.cluster.queue().waiting() == 0 && !host_.cluster.find_job(id) &&
                              host_.cluster.fits_some_type(s) &&
                              (!request.until || day_now() < stop_by(*request.until));
            answer = h.borrower.offered({request.turn, request.tasks, request.until}, room);
        } else {
            answer = h.borrower.recalled({request.turn});
            if (h.borrower.stopping()) stop_borrowed(id);
        }
        first = false;
        look_at_borrowed();
        pump(id);
        if (answer && answer->word != Answer::Word::later)
            co_return Response{200, {{"part", cells::to_json(*answer)}}};
        if (Clock::now() >= end)
            co_return Response{200,
                               {{"part", cells::to_json(Answer{Answer::Word::later, request.turn, {}})}}};
        co_await net::sleep_for(20ms);
    }
}

void Cells::stop_borrowed(const std::string& id) {
    if (auto* job = host_.cluster.find_job(id); job && job->runs_for_origin_cell && !job->cancelled)
        host_.cluster.cancel(*job, Clock::now());
}

void Cells::stop_in_time() {
    const auto now = day_now();
    for (auto& [id, h] : held_)
        if (h.borrower.run_out(now + stop_ahead())) {
            spdlog::warn("cell {} isn't heard: the part of {} stops here", h.owner, id);
            stop_borrowed(id);
        }
}

void Cells::look_at_borrowed() {
    for (auto& id : host_.cluster.take_changed_delegated_shards()) {
        auto it = held_.find(id);
        auto* job = host_.cluster.find_job(id);
        if (it == held_.end() || !job) continue;
        cells::IndexSet done;
        it->second.borrower.record().tasks.each([&](std::uint32_t i) {
            if (job->done.contains(i)) done.insert(i);
        });
        it->second.borrower.finished(done);
        pump(id);
    }
    stop_in_time();
    for (auto& [id, h] : held_)
        if (h.borrower.stopping()) {
            auto* job = host_.cluster.find_job(id);
            if (!job || job->placements.empty()) {
                h.borrower.gone();
                pump(id);
            }
        }
}

// Puts on record what the part wants on record.
void Cells::pump(const std::string& id) {
    auto& h = held_.at(id);
    if (h.writing) return;
    auto write = h.borrower.next_write();
    if (!write) return;
    h.writing = true;
    const auto record = *write;
    if (record.holding) {
        host_.cluster.enqueue({cells::held_key(id),
                               cells::to_json(cells::Held{h.owner, record, h.spec, h.accepted_ms}),
                               [this, id, record] { recorded(id, record); }});
    } else {
        // The turn first: a successor that finds both believes it.
        host_.cluster.enqueue(
            {cells::turn_key(id), cells::over_json(record), [this, id, record] { recorded(id, record); }});
        if (h.borrower.record().holding) host_.cluster.enqueue({cells::held_key(id), std::nullopt, {}});
    }
    host_.wake_writes();
}

void Cells::recorded(const std::string& id, const cells::HeldRecord& record) {
    auto it = held_.find(id);
    if (it == held_.end()) return;
    Holding& h = it->second;
    h.writing = false;
    const bool held_before = h.borrower.record().holding;
    h.borrower.wrote(record);
    auto& cluster = host_.cluster;
    auto* job = cluster.find_job(id);
    if (record.holding && !held_before) {
        spdlog::info("{} tasks of {} come from cell {}", record.tasks.size(), id, h.owner);
        cluster.add_delegated_shard({h.spec, h.accepted_ms}, record.tasks, record.done, Clock::now(),
                                    wall_ms());
        h.borrower.runs();
        host_.wake_places();
    } else if (record.holding && job) {
        cluster.delegated_results_recorded(*job, record.done);
    } else if (!record.holding && held_before && job && job->runs_for_origin_cell) {
        spdlog::info("the part of {} goes back to cell {}: {} tasks done here", id, h.owner,
                     record.done.size());
        cluster.delegated_results_recorded(*job, record.done);
        cluster.drop_delegated_shard(*job);
    }
    pump(id);
}

}  // namespace barrowrun::api
