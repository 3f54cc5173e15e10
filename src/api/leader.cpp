#include "api/leader.hpp"

#include <spdlog/spdlog.h>

namespace barrowrun::api {
using net::http::verb;
using placement::Write;
using state::Outcome;
using namespace std::chrono_literals;

namespace {
// Questions to machines beside their reports, at once: a share of what a process with a fraction of a core
// can do.
constexpr int asked_at_once = 16;
}  // namespace

std::int64_t wall_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

Leader::Leader(Services services, std::uint64_t token, TimePoint acquired)
    : services_(services),
      cluster_(services.settings.rules),
      duties_(services.io),
      place_wake_(services.io),
      write_wake_(services.io),
      acquired_(acquired) {
    cluster_.lead(token, acquired);
    cluster_.set_types(services_.catalog);
}

void Leader::start() {
    spawn("load", load());
}

void Leader::stop() {
    stopped_ = true;
    duties_.cancel();
}

// ---- takeover ------------------------------------------------------------------------------------------

Task<> Leader::load() {
    auto begun = Clock::now();
    std::optional<state::Snapshot> read;
    while (!(read = co_await services_.state.snapshot())) {
        spdlog::warn("the records could not be read, once more");
        co_await net::sleep_for(200ms);
    }
    co_await load_quotas();
    const auto& [jobs, progress, sheets, hires] = *read;
    watch_from_ = jobs.revision;
    if (services_.catalog.empty()) {
        auto catalog = co_await services_.state.get(state::catalog_key);
        if (catalog.outcome == Outcome::ok)
            if (auto types = wire::parse_types(catalog.value)) services_.catalog = *types;
    }
    cluster_.set_types(services_.catalog);
    auto now = Clock::now();
    auto wall = wall_ms();
    std::map<std::string, const Json*> by_job;
    for (auto& p : progress.items) by_job[p.key.substr(9)] = &p.value;
    std::size_t count = 0;
    for (auto& item : jobs.items) {
        auto record = state::parse_job_record(item.value);
        if (!record) {
            spdlog::error("the record {} cannot be read", item.key);
            continue;
        }
        std::optional<state::Progress> done;
        if (auto it = by_job.find(record->spec.id); it != by_job.end()) {
            done = state::parse_progress(*it->second, record->spec.tasks);
            if (!done) spdlog::error("the record progress/{} cannot be read", record->spec.id);
        }
        cluster_.add_job(*record, done ? &*done : nullptr, now, wall);
        ++count;
    }
    for (auto& item : sheets.items) {
        auto number = state::parse_sheet_key(item.key);
        auto records = state::parse_sheet(item.value);
        if (!number || !records) {
            spdlog::error("the record {} cannot be read: nothing is started for a lease", item.key);
            cluster_.distrust_records(number, acquired_ + longer(secs(services_.settings.rules.lease_s)));
            continue;
        }
        for (auto& record : *records) cluster_.inherit(*number, record, acquired_, wall);
    }
    for (auto& item : hires.items)
        if (auto hire = state::parse_hire(item.value)) open_hires_[item.key.substr(6)] = *hire;
    for (auto& [name, report] : early_) cluster_.on_report(report, true, now);
    for (auto& [name, when] : early_answer_)
        if (auto* m = cluster_.find_machine(name)) m->last_answer = std::max(m->last_answer, when);
    early_.clear();
    early_answer_.clear();
    loaded_ = true;
    last_hello_ = now;
    spdlog::info("took over after {:.0f} ms: {} active jobs, {} machines on record, {} rentals open",
                 Seconds(now - begun).count() * 1000, count, cluster_.machines().size(), open_hires_.size());
    // Every known worker hears of the new token at once: that fences the predecessor and brings fresh
    // reports.
    // Not all at once: a thousand connections took this process's whole share for seconds, the hold was not
    // extended meanwhile, and the next leader did the same. Machines with replicas first.
    auto names = std::make_shared<std::deque<std::string>>();
    for (auto& [name, m] : cluster_.machines()) {
        m->probed = now;
        if (m->address.empty()) continue;
        if (cluster_.runs_service(*m))
            names->push_front(name);
        else
            names->push_back(name);
    }
    for (int i = 0; i < asked_at_once; ++i) spawn("fences", fence_known(names));
    spawn("place", place_loop());
    spawn("write", write_loop());
    spawn("tick", tick_loop());
    spawn("watch jobs", watch_jobs());
    spawn("cloud types", cloud_types());
    spawn("cloud list", cloud_list());
    spawn("cloud rent", cloud_rent());
    for (auto& [request, hire] : open_hires_) spawn("rent " + request, rent_one(request, hire, true));
}

Task<> Leader::fence_known(std::shared_ptr<std::deque<std::string>> names) {
    while (!names->empty()) {
        auto name = std::move(names->front());
        names->pop_front();
        // One that has reported to us by now knows our token.
        auto* m = cluster_.find_machine(name);
        if (m && !(m->up && m->token_seen >= cluster_.token())) co_await push(name, true);
    }
}

// ---- jobs ----------------------------------------------------------------------------------------------

void Leader::add(const state::JobRecord& record) {
    // A job that this term saw end must not come back by a notice that was under way.
    if (cluster_.find_job(record.spec.id) || cluster_.past(record.spec.id)) return;
    auto now = Clock::now();
    cluster_.add_job(record, nullptr, now, wall_ms());
    renting_.note_arrival(record.spec, now);
    place_wake_.wake();
}

void Leader::accepted_here(const state::JobRecord& record) {
    if (loaded_) add(record);
}

Task<> Leader::accepted(std::string id) {
    auto self = shared_from_this();
    if (!loaded_ || cluster_.find_job(id) || cluster_.past(id)) co_return;
    // The notice may be old: the record tells whether the job is still active.
    auto value = co_await services_.state.get(state::job_key(id));
    if (value.outcome != Outcome::ok || stopped_) co_return;
    if (auto record = state::parse_job_record(value.value)) add(*record);
}

Task<> Leader::watch_jobs() {
    auto since = watch_from_;
    for (;;) {
        auto result = co_await services_.state.watch("jobs/", since, 10s);
        if (result.ok) {
            since = result.revision;
            for (auto& e : result.events)
                if (e.value)
                    if (auto record = state::parse_job_record(*e.value)) add(*record);
            continue;
        }
        if (result.too_old) {
            auto all = co_await services_.state.list("jobs/");
            if (all.ok) {
                since = all.revision;
                for (auto& item : all.items)
                    if (auto record = state::parse_job_record(item.value)) add(*record);
                continue;
            }
        }
        co_await net::sleep_for(300ms);
    }
}

std::optional<wire::JobStatus> Leader::status(const std::string& id) const {
    if (!loaded_) return std::nullopt;
    if (auto it = cluster_.jobs().find(id); it != cluster_.jobs().end()) {
        auto& job = *it->second;
        return wire::JobStatus{id, job.standing(), job.done.size(), job.running(), job.error_count};
    }
    if (auto past = cluster_.past(id)) return wire::JobStatus{id, past->standing, past->done, 0, past->errors};
    return std::nullopt;
}

Task<Response> Leader::cancel(std::string id) {
    auto self = shared_from_this();
    const Response later{503, {{"error", "not now"}}, 1};
    if (!loaded_ || !may_act()) co_return later;
    if (!cluster_.find_job(id) && !cluster_.past(id)) {
        auto record = co_await services_.state.get(state::job_key(id));
        if (record.outcome == Outcome::ok) {
            if (auto parsed = state::parse_job_record(record.value)) add(*parsed);
        } else if (record.outcome == Outcome::absent) {
            auto past = co_await services_.state.get(state::past_key(id));
            if (past.outcome == Outcome::ok) {
                if (auto parsed = state::parse_past(past.value)) cluster_.remember_past(id, *parsed);
            } else if (past.outcome == Outcome::absent) {
                co_return Response{404, {{"error", "no such job"}}};
            } else {
                co_return later;
            }
        } else {
            co_return later;
        }
    }
    auto until = Clock::now() + 3s;
    bool asked = false;
    while (may_act() && Clock::now() < until) {
        if (auto past = cluster_.past(id)) co_return Response{200, wire::accepted_json(id, past->standing)};
        auto* job = cluster_.find_job(id);
        if (!job) co_return later;
        auto standing = job->standing();
        if (standing == wire::Standing::cancelled || standing == wire::Standing::done ||
            standing == wire::Standing::failed)
            co_return Response{200, wire::accepted_json(id, standing)};
        // A job whose last result is in counts as done; that is on record shortly.
        if (!asked && !job->finished()) {
            spdlog::info("job {} is cancelled", id);
            cluster_.cancel(*job, Clock::now());
            write_wake_.wake();
            send_touched();
        }
        asked = true;
        co_await net::sleep_for(10ms);
    }
    co_return later;
}

// ---- workers -------------------------------------------------------------------------------------------

Task<Response> Leader::hello(wire::Report report) {
    auto self = shared_from_this();
    const Response not_entitled{503, {{"error", "not entitled to act"}}};
    if (!may_act()) co_return not_entitled;
    auto now = Clock::now();
    last_hello_ = now;
    auto token = services_.election.token();
    if (!loaded_) {
        // Its lease is renewed while the records are still being read.
        early_answer_[report.machine] = now;
        auto [it, fresh] = early_.try_emplace(report.machine, report);
        if (!fresh && std::pair(it->second.session, it->second.seq) < std::pair(report.session, report.seq))
            it->second = report;
        co_return Response{200, wire::report_answer(token, {})};
    }
    cluster_.lead(token, acquired_);
    bool newer = cluster_.on_report(report, true, now);
    auto* m = cluster_.find_machine(report.machine);
    if (!m) co_return not_entitled;
    if (!newer && report.session != m->session) co_return not_entitled;
    // Not newer, but of this session: an answer to a push has overtaken it. The worker still waits for this
    // one.
    std::vector<wire::Command> commands;
    if (newer && !m->returning) commands = cluster_.reply_commands(*m, now);
    if (commands.size() > 300) commands.resize(300);
    m->last_answer = now;
    place_wake_.wake();
    if (cluster_.has_writes()) write_wake_.wake();
    send_touched();
    co_return Response{200, wire::report_answer(token, commands)};
}

void Leader::send_touched() {
    auto now = Clock::now();
    for (auto& name : cluster_.take_touched()) {
        auto* m = cluster_.find_machine(name);
        if (!m || m->pushing || !m->push_ok || !m->up || m->address.empty() || m->returning) continue;
        bool wanted = false;
        for (auto& [a, e] : m->entries) {
            if (e.exited()) continue;
            if (e.stop ? (e.phase != fleet::Phase::recording && now - e.stop_sent > 1200ms)
                       : e.phase == fleet::Phase::ready)
                wanted = true;
        }
        if (wanted) spawn("push " + name, push(name, false));
    }
}

Task<> Leader::push(std::string name, bool fence) {
    bool again = true;
    for (int round = 0; again && round < 5; ++round) {
        again = false;
        auto* m = cluster_.find_machine(name);
        if (!m || m->pushing || m->returning || m->address.empty() || !may_act()) co_return;
        auto now = Clock::now();
        auto token = services_.election.token();
        cluster_.lead(token, acquired_);
        m->pushing = true;
        auto session = m->session;
        auto address = m->address;
        std::vector<wire::Command> commands;
        if (m->up) {
            commands = cluster_.push_commands(*m, now);
            for (auto& c : commands)
                if (c.verb == wire::Verb::kill) m->entries.at(c.attempt).stop_sent = now;
        }
        if (commands.empty() && !fence) {
            m->pushing = false;
            co_return;
        }
        auto reply = co_await services_.workers.call(address, verb::post, "/commands",
                                                     wire::push_body(token, session, commands), 1500ms);
        m = cluster_.find_machine(name);
        if (!m) co_return;
        m->pushing = false;
        now = Clock::now();
        bool executed = reply.status == 200;
        bool may_execute = reply.status == 0 && reply.may_execute;
        cluster_.push_answered(*m, commands, token, executed, may_execute, now);
        if (reply.status == 200 || reply.status == 409) {
            m->push_ok = true;
            auto report = wire::parse_report(reply.body);
            if (report && report->machine == name) {
                bool new_session = report->session != session;
                cluster_.on_report(*report, false, now);
                m = cluster_.find_machine(name);
                // Refused for its session: once more with the right one. Refused for the token: another
                // leads.
                if (reply.status == 409) {
                    if (report->token > services_.election.token()) {
                        spdlog::warn("machine {} knows a newer token: {}", name, report->token);
                        services_.election.doubt();
                        co_return;
                    }
                    again = new_session;
                } else {
                    fence = false;
                    again = true;
                }
            } else {
                spdlog::error("machine {} answers with something that is no report", name);
            }
            place_wake_.wake();
            if (cluster_.has_writes()) write_wake_.wake();
        } else {
            if (m->push_ok) spdlog::info("machine {} does not answer at its address", name);
            m->push_ok = false;
            m->probed = now;
        }
        if (again && !fence) {
            // Only if there is something new to send.
            again = false;
            m = cluster_.find_machine(name);
            if (!m) co_return;
            for (auto& [a, e] : m->entries)
                if (!e.exited() && !e.stop && e.phase == fleet::Phase::ready) again = true;
        }
    }
}

Task<> Leader::probe(std::string name) {
    auto* m = cluster_.find_machine(name);
    if (!m || m->address.empty()) co_return;
    auto reply = co_await services_.workers.call(m->address, verb::get, "/inspect", std::nullopt, 1000ms);
    m = cluster_.find_machine(name);
    if (!m) co_return;
    m->probing = false;
    auto report = reply.status == 200 ? wire::parse_report(reply.body) : std::nullopt;
    if (!report || report->machine != name) {
        m->missed++;
        co_return;
    }
    m->push_ok = true;
    cluster_.on_report(*report, false, Clock::now());
    place_wake_.wake();
    send_touched();
}

// ---- duties --------------------------------------------------------------------------------------------

Task<> Leader::place_loop() {
    for (;;) {
        co_await place_wake_.wait(500ms);
        if (!may_act()) {
            co_await net::sleep_for(50ms);
            continue;
        }
        if (Clock::now() - acquired_ < 150ms) co_await net::sleep_for(100ms);
        cluster_.round(Clock::now());
        if (cluster_.has_writes()) write_wake_.wake();
        send_touched();
        // What comes in close together is placed in one round, and written in one transaction.
        co_await net::sleep_for(8ms);
    }
}

Task<> Leader::write_loop() {
    const auto ops = std::max<std::size_t>(4, services_.settings.rules.txn_ops);
    TimePoint last_lazy{};
    for (;;) {
        if (!cluster_.has_writes()) co_await write_wake_.wait(1s);
        if (!cluster_.has_writes()) continue;
        // Starts go at once. What running jobs have done is written a few times a second, and takes a quarter
        // of the state service's rate at most: with many jobs it once filled every transaction, and starts
        // waited.
        auto progress_due = [&] {
            auto spread = secs(static_cast<double>(cluster_.changes()) /
                               std::max(1.0, 0.25 * services_.settings.state_write_rps));
            return Clock::now() - last_lazy >= std::max<Clock::duration>(250ms, spread);
        };
        if (!cluster_.has_urgent_writes() && !progress_due()) {
            co_await write_wake_.wait(60ms);
            if (!cluster_.has_urgent_writes() && !progress_due()) continue;
        }
        if (!may_act()) {
            co_await net::sleep_for(100ms);
            continue;
        }
        const bool progress = progress_due();
        if (progress) last_lazy = Clock::now();
        auto writes = cluster_.take_writes(ops, 48 * 1024, Clock::now(), wall_ms(), progress);
        if (writes.empty()) continue;
        std::vector<state::Operation> operations;
        for (auto& w : writes) operations.push_back({w.key, w.value, 0});
        std::vector<state::Condition> conditions{services_.election.fence()};
        auto result = co_await services_.state.txn(std::move(conditions), std::move(operations));
        if (result.outcome == Outcome::ok) {
            for (auto& w : writes)
                if (w.durable) w.durable();
            place_wake_.wake();
            send_touched();
            continue;
        }
        cluster_.write_failed(std::move(writes));
        if (result.outcome == Outcome::conflict) {
            services_.election.doubt();
            co_await net::sleep_for(50ms);
        } else if (result.outcome == Outcome::refused) {
            co_await net::sleep_for(100ms);
        } else {
            // It may still be applied later, over newer values: a new token makes sure that it can't.
            spdlog::info("a transaction got no answer: the token is renewed before the next");
            while (!co_await services_.election.restamp()) co_await net::sleep_for(200ms);
            cluster_.lead(services_.election.token(), acquired_);
        }
    }
}

Task<> Leader::restamp() {
    if (co_await services_.election.restamp()) {
        cluster_.lead(services_.election.token(), acquired_);
        for (auto& [name, m] : cluster_.machines()) {
            bool late = false;
            for (auto& [a, e] : m->entries) late |= e.late;
            if (late && !m->address.empty()) spawn("fence " + name, push(name, true));
        }
    }
    co_await net::sleep_for(4s);
    restamping_ = false;
}

std::size_t Leader::recent(TimePoint now, Clock::duration window) const {
    std::size_t n = 0;
    for (auto& [name, m] : cluster_.machines()) n += m->up && now - m->last_report <= window;
    return n;
}

std::vector<std::string> Leader::silent(TimePoint now) {
    // A machine that neither reports nor answers is proven empty quickest by returning it. It is asked before
    // its report is long overdue, sooner if users depend on what it runs, and is given up after two
    // questions.
    std::vector<std::string> out;
    const auto& rules = services_.settings.rules;
    if (now < deaf_until_) return out;
    // What was given up lately still counts: a trouble of ours must not eat the fleet wave by wave.
    while (!given_up_.empty() && now - given_up_.front() > secs(2 * rules.lease_s)) given_up_.pop_front();
    std::size_t known = given_up_.size(), quiet = given_up_.size();
    int probes = asked_at_once;
    // A machine that a predecessor gave tasks to was up; one that this leader never heard is silent since it
    // leads.
    auto heard = [&](const fleet::Machine& m) { return std::max(m.last_report, acquired_); };
    for (auto& [name, m] : cluster_.machines()) {
        if (m->returning || (!m->up && m->entries.empty())) continue;
        ++known;
        auto since = now - heard(*m);
        auto overdue = cluster_.runs_service(*m) ? secs(std::max(1.2, 0.45 * rules.report_s))
                                                 : secs(1.25 * rules.report_s + 0.7);
        if (since <= overdue) continue;
        if (m->missed >= 2) {
            ++quiet;
            if (!m->suspect)
                spdlog::info("machine {} has been silent for {:.1f} s", name, Seconds(since).count());
            m->suspect = true;
            out.push_back(name);
        } else if (!m->probing && !m->address.empty() && probes > 0) {
            --probes;
            m->probing = true;
            spawn("probe " + name, probe(name));
        }
    }
    // When much of the fleet falls silent at once, the trouble is more likely on our side, or a cut that
    // passes: then machines are given up only when little is left of their leases.
    if (quiet >= 4 && quiet * 3 > known)
        std::erase_if(out, [&](const std::string& name) {
            return now - heard(*cluster_.find_machine(name)) < secs(0.6 * rules.lease_s) || quiet * 2 > known;
        });
    // A leader that is itself cut off must not send returns: they may be held, and executed minutes later. So
    // the rest of the fleet and the state service must have been heard just now.
    if (!out.empty()) {
        auto window = secs(std::max(1.2, 0.5 * rules.report_s));
        if (!fleet::hears_the_fleet(recent(now, window), known - quiet) ||
            now - services_.state.last_ok() > 1500ms)
            out.clear();
    }
    return out;
}

Task<> Leader::tick_loop() {
    for (;;) {
        auto due = Clock::now() + 200ms;
        co_await net::sleep_for(200ms);
        auto now = Clock::now();
        if (now - due > 250ms) {
            // What came in meanwhile stands in its sockets: it is read in about the time that was lost.
            auto until = now + 500ms + 2 * (now - due);
            if (deaf_until_ < now)
                spdlog::info(
                    "this process is {:.1f} s behind: silence of machines counts for nothing for a while",
                    Seconds(now - due).count());
            deaf_until_ = std::max(deaf_until_, until);
        }
        if (!may_act()) continue;
        cluster_.lead(services_.election.token(), acquired_);
        cluster_.tick(now);
        const auto& rules = services_.settings.rules;
        bool moved = false;
        int asked = 0;
        for (auto& [name, m] : cluster_.machines()) {
            cluster_.touch(name);
            if (!m->entries.empty() && now >= m->lease_end(rules.lease_s, acquired_)) {
                cluster_.lease_over(*m, now);
                moved = true;
            }
            if (!m->up && !m->address.empty() && now - m->probed > 2s && m->entries.size() > 0) {
                if (++asked > asked_at_once) continue;
                m->probed = now;
                spawn("fence " + name, push(name, true));
            } else if (m->up && !m->push_ok && !m->probing && now - m->probed > 3s) {
                if (++asked > asked_at_once) continue;
                m->probed = now;
                m->probing = true;
                spawn("probe " + name, probe(name));
            }
        }
        auto gone = silent(now);
        if (!gone.empty()) {
            for (auto& name : gone) {
                spdlog::warn("machine {} stays silent: it is returned, to prove it empty", name);
                cluster_.find_machine(name)->returning = true;
                given_up_.push_back(now);
            }
            spawn("return", give_back(gone, true));
        }
        // A leader that no worker reaches is of no use, whatever the state service says.
        bool any_up = false;
        for (auto& [name, m] : cluster_.machines()) any_up |= m->up || !m->entries.empty();
        if (any_up && now - last_hello_ > secs(std::max(4.0, 2 * rules.report_s + 2)) &&
            now - acquired_ > 8s && services_.state.answers(now)) {
            spdlog::warn("no worker has reached this leader for {:.1f} s",
                         Seconds(now - last_hello_).count());
            services_.election.step_down(15s);
            co_return;
        }
        if (cluster_.unsettled(now) && !restamping_ && services_.state.answers(now)) {
            restamping_ = true;
            spawn("renew token", restamp());
        }
        if (moved) place_wake_.wake();
        if (cluster_.has_writes()) write_wake_.wake();
        send_touched();
    }
}

// ---- cloud ---------------------------------------------------------------------------------------------

Task<> Leader::cloud_types() {
    std::string stored;
    for (;;) {
        auto types = co_await services_.cloud.types();
        if (!types) {
            co_await net::sleep_for(services_.catalog.empty() ? 1s : 5s);
            continue;
        }
        services_.catalog = *types;
        cluster_.set_types(*types);
        place_wake_.wake();
        auto still = *types;
        for (auto& t : still) t.spot_price = 0;
        auto text = wire::types_json(still).dump();
        if (text != stored) {
            stored = text;
            cluster_.enqueue({state::catalog_key, wire::types_json(*types), {}});
            write_wake_.wake();
        }
        co_await net::sleep_for(30s);
    }
}

Task<> Leader::cloud_list() {
    for (;;) {
        auto list = co_await services_.cloud.list();
        auto now = Clock::now();
        if (list && may_act()) {
            std::vector<std::string> failed;
            for (auto& l : list->machines) {
                auto* m = cluster_.find_machine(l.name);
                if (l.state == wire::ListedMachine::State::failed) {
                    if (m && !m->returning) {
                        m->returning = true;
                        cluster_.machine_gone(l.name, "listed as failed", now);
                    }
                    failed.push_back(l.name);
                    continue;
                }
                if (!m) {
                    // Rented by a request of an earlier leader that was executed late, or returned just now.
                    if (returned_.contains(l.name)) continue;
                    spdlog::info("machine {} ({}, {}) is listed and not known", l.name, l.type, l.zone);
                    m = &cluster_.add_machine(l.name, l.type, l.zone, l.spot, now);
                    m->rented = now - secs(l.age_s);
                    cluster_.mark_machine_dirty(l.name);
                }
                if (m->address.empty() && !l.address.empty()) {
                    m->address = l.address;
                    cluster_.mark_machine_dirty(l.name);
                }
            }
            if (!failed.empty()) spawn("return failed", give_back(failed, false));
        }
        co_await net::sleep_for(secs(std::max(3.0, 2.5 / services_.settings.cloud_rps)));
    }
}

Task<> Leader::cloud_rent() {
    co_await net::sleep_for(1500ms);
    for (;;) {
        co_await net::sleep_for(700ms);
        // Requests that the cloud's rate holds back, or that have no answer, are not heaped up.
        auto most_open = static_cast<std::size_t>(std::max(3.0, services_.settings.cloud_rps));
        if (!may_act() || open_hires_.size() >= most_open) continue;
        std::vector<fleet::Order> coming;
        for (auto& [request, h] : open_hires_) coming.push_back({{h.type, h.zone, h.spot}, h.count});
        auto plan = renting_.plan(cluster_, Clock::now(), coming);
        std::vector<std::string> idle;
        for (auto& name : plan.give_back) {
            auto* m = cluster_.find_machine(name);
            if (!m || m->returning || m->live() > 0) continue;
            m->returning = true;
            idle.push_back(name);
        }
        if (!idle.empty()) {
            spdlog::info("{} idle machines are returned, {} first", idle.size(), idle.front());
            spawn("return idle", give_back(idle, false));
        }
        if (auto* m = cluster_.find_machine(plan.empty)) {
            spdlog::info("machine {} is emptied: its {} replicas have room elsewhere", m->name, m->live());
            m->drain = true;
        }
        for (auto& order : plan.rent) {
            if (open_hires_.size() >= most_open) break;
            std::string request = "r-" + std::to_string(cluster_.token()) + "-" + std::to_string(++hires_);
            state::HireRecord hire{order.offer.type, order.offer.zone, order.offer.spot, order.count};
            open_hires_[request] = hire;
            // The request is on record before it is sent, so that a successor repeats it rather than forget
            // it.
            auto self = shared_from_this();
            cluster_.enqueue({state::hire_key(request), state::to_json(hire), [self, request, hire] {
                                  if (!self->stopped_)
                                      self->spawn("rent " + request, self->rent_one(request, hire, false));
                              }});
        }
        write_wake_.wake();
    }
}

Task<> Leader::rent_one(std::string request, state::HireRecord hire, bool asked) {
    fleet::Offer offer{hire.type, hire.zone, hire.spot};
    for (;;) {
        co_await services_.cloud.turn();
        if (!may_act()) {
            co_await net::sleep_for(300ms);
            continue;
        }
        // Another request has shown meanwhile that there is none: a call that can do more is let through
        // instead. Only a request that was never sent may be dropped.
        if (!asked && renting_.refuses(offer, Clock::now())) break;
        asked = true;
        auto sent = Clock::now();
        auto result = co_await services_.cloud.rent(request, hire.type, hire.zone, hire.spot, hire.count);
        if (result.outcome == fleet::RentOutcome::granted) {
            spdlog::info("rented {} of {} {} in {}{} ({})", result.machines.size(), hire.count, hire.type,
                         hire.zone, hire.spot ? ", spot" : "", request);
            for (auto& name : result.machines) {
                auto& m = cluster_.add_machine(name, hire.type, hire.zone, hire.spot, sent);
                m.rented = sent;
                cluster_.mark_machine_dirty(name);
            }
            if (static_cast<int>(result.machines.size()) < hire.count)
                renting_.refused(offer, Clock::now());
            else
                renting_.granted(offer);
            break;
        }
        if (result.outcome == fleet::RentOutcome::no_capacity ||
            result.outcome == fleet::RentOutcome::refused) {
            spdlog::info("no {} to be had in {}{} ({})", hire.type, hire.zone, hire.spot ? ", spot" : "",
                         request);
            renting_.refused(offer, Clock::now());
            break;
        }
        co_await net::sleep_for(1s);  // no answer: the same request again, under the same name
    }
    open_hires_.erase(request);
    cluster_.enqueue({state::hire_key(request), std::nullopt, {}});
    write_wake_.wake();
}

Task<> Leader::give_back(std::vector<std::string> names, bool proof) {
    while (!names.empty()) {
        std::vector<std::string> part(
            names.begin(), names.begin() + static_cast<long>(std::min<std::size_t>(100, names.size())));
        if (may_act() && co_await services_.cloud.give_back(part)) {
            for (auto& name : part) {
                if (returned_.size() > 5000) returned_.clear();
                returned_.insert(name);
                cluster_.machine_gone(name, proof ? "returned, to prove it empty" : "returned", Clock::now());
            }
            names.erase(names.begin(), names.begin() + static_cast<long>(part.size()));
            place_wake_.wake();
            write_wake_.wake();
            continue;
        }
        co_await net::sleep_for(1s);
    }
}

}  // namespace barrowrun::api
