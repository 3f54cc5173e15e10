#include "api/leader.hpp"

#include <spdlog/spdlog.h>

namespace barrowrun::api {
using net::http::verb;
using placement::Write;
using state::Outcome;
using namespace std::chrono_literals;

Leader::Leader(Services services, std::uint64_t fencing_token, TimePoint acquired)
    : services_(services),
      cluster_(services.settings.placement),
      duties_(services.io),
      placement_signal_(services.io),
      write_signal_(services.io),
      acquired_(acquired),
      failure_detector_({secs(services.settings.placement.heartbeat_s),
                         secs(services.settings.placement.lease_s), max_concurrent_probes}),
      reachability_(secs(services.settings.placement.heartbeat_s), acquired),
      renewal_period_(
          leases::renewal_period(services.settings.placement.lease_s, services.settings.placement.cancel_s)),
      // Reckoned with even where it is switched off: a predecessor may have had it on.
      renewal_bound_(services.settings.member_names(), renewal_period_, acquired, fencing_token) {
    cluster_.lead(fencing_token, acquired);
    cluster_.set_types(services_.catalog);
    if (!services_.settings.cells) return;
    cell_delegations_ = std::make_unique<CellDelegations>(
        *services_.settings.cells,
        CellDelegations::Host{
            cluster_, services_.state, services_.peers, [this] { return may_act(); },
            [this] { write_signal_.wake(); }, [this] { placement_signal_.wake(); },
            [this](std::string name, Task<> duty) { spawn(std::move(name), std::move(duty)); },
            services_.settings.max_clock_error,
            std::chrono::ceil<std::chrono::milliseconds>(longer(secs(services_.settings.placement.cancel_s))),
            std::chrono::floor<std::chrono::milliseconds>(renewal_period_)});
}

std::optional<leases::RenewalGrant> Leader::grant() const {
    if (!recovered_ || services_.settings.lease_renewal_period() <= Clock::duration::zero())
        return std::nullopt;
    return leases::RenewalGrant{services_.election.fencing_token(), renewal_bound_.timestamp_ms(Clock::now()),
                                false, cluster_.machines_with_cancelled_tasks()};
}

std::optional<leases::RenewalGrant> Leader::node_heartbeat(const std::string& node,
                                                           const leases::Heartbeat& heartbeat) {
    auto out = grant();
    renewal_bound_.heard(node, heartbeat, Clock::now(), out.has_value());
    return out;
}

void Leader::start() {
    spawn("recovery", recover());
}

void Leader::stop() {
    stopped_ = true;
    duties_.cancel();
}

// ---- jobs ----------------------------------------------------------------------------------------------

void Leader::add_job(const state::JobRecord& record) {
    // A job that this term saw end must not come back by a notice that was under way.
    if (cluster_.find_job(record.spec.id) || cluster_.finished_job(record.spec.id)) return;
    auto now = Clock::now();
    cluster_.add_job(record, nullptr, now, wall_ms());
    autoscaler_.note_arrival(record.spec, now);
    placement_signal_.wake();
}

void Leader::job_accepted_locally(const state::JobRecord& record) {
    if (recovered_) add_job(record);
}

Task<> Leader::job_accepted(std::string id) {
    auto self = shared_from_this();
    if (!recovered_ || cluster_.find_job(id) || cluster_.finished_job(id)) co_return;
    // The notice may be old: the record tells whether the job is still active.
    auto value = co_await services_.state.get(state::job_key(id));
    if (value.outcome != Outcome::ok || stopped_) co_return;
    if (auto record = state::parse_job_record(value.value)) add_job(*record);
}

Task<> Leader::watch_jobs() {
    auto since = watch_revision_;
    for (;;) {
        auto result = co_await services_.state.watch("jobs/", since, 10s);
        if (result.ok) {
            since = result.revision;
            for (auto& e : result.events)
                if (e.value)
                    if (auto record = state::parse_job_record(*e.value)) add_job(*record);
            continue;
        }
        if (result.too_old) {
            auto all = co_await services_.state.list("jobs/");
            if (all.ok) {
                since = all.revision;
                for (auto& item : all.items)
                    if (auto record = state::parse_job_record(item.value)) add_job(*record);
                continue;
            }
        }
        co_await net::sleep_for(300ms);
    }
}

std::optional<wire::JobStatus> Leader::status(const std::string& id) const {
    if (!recovered_) return std::nullopt;
    if (auto it = cluster_.jobs().find(id); it != cluster_.jobs().end()) {
        auto& job = *it->second;
        if (job.write_outcome_unknown()) return std::nullopt;
        return wire::JobStatus{id, job.job_state(), job.done.size(), job.running(), job.error_count};
    }
    if (auto past = cluster_.finished_job(id))
        return wire::JobStatus{id, past->state, past->done, 0, past->errors};
    return std::nullopt;
}

Task<Response> Leader::cancel(std::string id) {
    auto self = shared_from_this();
    const Response later{503, {{"error", "not now"}}, 1};
    if (!recovered_ || !may_act()) co_return later;
    if (!cluster_.find_job(id) && !cluster_.finished_job(id)) {
        auto record = co_await services_.state.get(state::job_key(id));
        if (record.outcome == Outcome::ok) {
            if (auto parsed = state::parse_job_record(record.value)) add_job(*parsed);
        } else if (record.outcome == Outcome::absent) {
            auto past = co_await services_.state.get(state::finished_key(id));
            if (past.outcome == Outcome::ok) {
                if (auto parsed = state::parse_finished_record(past.value))
                    cluster_.remember_finished_job(id, *parsed);
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
        if (auto past = cluster_.finished_job(id))
            co_return Response{200, wire::accepted_json(id, past->state)};
        auto* job = cluster_.find_job(id);
        if (!job) co_return later;
        auto job_state = job->job_state();
        if (job_state == wire::JobState::cancelled || job_state == wire::JobState::done ||
            job_state == wire::JobState::failed)
            co_return Response{200, wire::accepted_json(id, job_state)};
        // A job whose last result is in counts as done; that is on record shortly.
        if (!asked && !job->finished()) {
            spdlog::info("job {} is cancelled", id);
            cluster_.cancel(*job, Clock::now());
            write_signal_.wake();
            dispatch_pending_commands();
        }
        asked = true;
        co_await net::sleep_for(10ms);
    }
    co_return later;
}

// ---- duties --------------------------------------------------------------------------------------------

Task<> Leader::placement_loop() {
    for (;;) {
        co_await placement_signal_.wait(500ms);
        if (!may_act()) {
            co_await net::sleep_for(50ms);
            continue;
        }
        if (Clock::now() - acquired_ < 150ms) co_await net::sleep_for(100ms);
        if (cell_delegations_) cell_delegations_->stop_before_deadlines();
        cluster_.schedule_round(Clock::now());
        if (cluster_.has_writes()) write_signal_.wake();
        dispatch_pending_commands();
        // What comes in close together is placed in one round, and written in one transaction.
        co_await net::sleep_for(8ms);
    }
}

Task<> Leader::write_loop() {
    const auto ops = std::max<std::size_t>(4, services_.settings.placement.txn_ops);
    TimePoint last_lazy{};
    for (;;) {
        if (!cluster_.has_writes()) co_await write_signal_.wait(1s);
        if (!cluster_.has_writes()) continue;
        // Starts go at once. What running jobs have done is written a few times a second, and takes a quarter
        // of the state service's rate at most: with many jobs it once filled every transaction, and starts
        // waited.
        auto progress_due = [&] {
            auto spread = secs(static_cast<double>(cluster_.changes()) /
                               std::max(1.0, 0.25 * services_.settings.state_writes_per_s));
            return Clock::now() - last_lazy >= std::max<Clock::duration>(250ms, spread);
        };
        if (!cluster_.has_urgent_writes() && !progress_due()) {
            co_await write_signal_.wait(60ms);
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
        std::vector<state::Precondition> preconditions{services_.election.fencing_precondition()};
        auto result =
            co_await services_.state.compare_and_swap(std::move(preconditions), std::move(operations));
        if (result.outcome == Outcome::ok) {
            for (auto& w : writes)
                if (w.durable) w.durable();
            placement_signal_.wake();
            dispatch_pending_commands();
            continue;
        }
        cluster_.write_failed(std::move(writes), result.outcome == Outcome::unknown);
        if (result.outcome == Outcome::conflict) {
            services_.election.suspect_lost_leadership();
            co_await net::sleep_for(50ms);
        } else if (result.outcome == Outcome::refused) {
            co_await net::sleep_for(100ms);
        } else {
            // It may still be applied later, over newer values: a new token makes sure that it can't.
            spdlog::info("a transaction got no answer: the token is renewed before the next");
            while (!co_await services_.election.refresh_fencing_token()) co_await net::sleep_for(200ms);
            cluster_.lead(services_.election.fencing_token(), acquired_);
        }
    }
}

Task<> Leader::refresh_fencing_token() {
    if (co_await services_.election.refresh_fencing_token()) {
        cluster_.lead(services_.election.fencing_token(), acquired_);
        for (auto& [name, m] : cluster_.machines()) {
            bool late = false;
            for (auto& [a, e] : m->assignments) late |= e.launch_unanswered;
            if (late && !m->address.empty()) spawn("fence " + name, dispatch(name, true));
        }
    }
    co_await net::sleep_for(4s);
    refreshing_fencing_token_ = false;
}

Task<> Leader::tick_loop() {
    for (;;) {
        auto due = Clock::now() + 200ms;
        co_await net::sleep_for(200ms);
        auto now = Clock::now();
        if (now - due > 250ms) {
            // What came in meanwhile stands in its sockets: it is read in about the time that was lost.
            auto until = now + 500ms + 2 * (now - due);
            if (lagging_until_ < now)
                spdlog::info(
                    "this process is {:.1f} s behind: silence of machines counts for nothing for a while",
                    Seconds(now - due).count());
            lagging_until_ = std::max(lagging_until_, until);
            failure_detector_.suspend_until(lagging_until_);
        }
        if (!may_act()) continue;
        cluster_.lead(services_.election.fencing_token(), acquired_);
        const bool moved = cluster_.tick(
            now, [&](const std::string& zone) { return renewal_bound_.latest_renewal(zone, now); });
        const auto& rules = services_.settings.placement;
        int asked = 0;
        bool any_up = false;
        std::size_t up = 0;
        for (auto& [name, m] : cluster_.machines()) {
            cluster_.note_command(name);
            up += m->up;
            any_up |= m->up || !m->assignments.empty();
            if (!m->up && !m->address.empty() && now - m->probed > 2s && m->assignments.size() > 0) {
                if (++asked > max_concurrent_probes) continue;
                m->probed = now;
                spawn("fence " + name, dispatch(name, true));
            } else if (m->up && !m->push_reachable && !m->probing && now - m->probed > 3s) {
                if (++asked > max_concurrent_probes) continue;
                m->probed = now;
                start_probe(*m);
            }
        }
        auto verdict = failure_detector_.evaluate(
            cluster_.machines(), now, acquired_, [this](auto& m) { return cluster_.runs_service(m); },
            now - services_.state.last_response() <= 1500ms);
        for (auto* m : verdict.probe) start_probe(*m);
        if (!verdict.declare_failed.empty()) {
            std::vector<std::string> gone;
            for (auto* m : verdict.declare_failed) {
                spdlog::warn("machine {} stays silent: it is returned, to prove it empty", m->name);
                m->returning = true;
                failure_detector_.note_declared_failed(now);
                gone.push_back(m->name);
            }
            spawn("return", deprovision(std::move(gone), true));
        }
        // A leader that no worker reaches is of no use, whatever the state service says.
        // Nor one that workers reach only by way of others: it can send them nothing, and they it late.
        if (reachability_.cut_off(now, up) && now >= lagging_until_ && now - acquired_ > 8s &&
            services_.state.responsive(now)) {
            // Their heartbeats may come by way of others for another reason: whether the ways are open is
            // asked, and any answer counts as contact.
            if (now - reachability_probed_ > 5s) {
                reachability_probed_ = now;
                int few = 8;
                for (auto& [name, m] : cluster_.machines()) {
                    if (!m->up || m->probing || m->address.empty()) continue;
                    if (few-- == 0) break;
                    start_probe(*m);
                }
            } else if (now - reachability_probed_ > 1500ms) {
                spdlog::warn(
                    "no worker reaches this leader or answers it, but others forward their heartbeats");
                services_.election.step_down(15s);
                co_return;
            }
        }
        if (any_up && now - last_worker_heartbeat_ > secs(std::max(4.0, 2 * rules.heartbeat_s + 2)) &&
            now - acquired_ > 8s && services_.state.responsive(now)) {
            spdlog::warn("no worker has reached this leader for {:.1f} s",
                         Seconds(now - last_worker_heartbeat_).count());
            services_.election.step_down(15s);
            co_return;
        }
        if (cluster_.has_unanswered_launch(now) && !refreshing_fencing_token_ &&
            services_.state.responsive(now)) {
            refreshing_fencing_token_ = true;
            spawn("renew token", refresh_fencing_token());
        }
        if (now - starvation_checked_ > 5s) {
            starvation_checked_ = now;
            log_starvation(now);
        }
        if (moved) placement_signal_.wake();
        if (cluster_.has_writes()) write_signal_.wake();
        dispatch_pending_commands();
    }
}

void Leader::log_starvation(TimePoint now) {
    using State = placement::StarvationMonitor::State;
    for (auto& line : cluster_.check_starvation(now)) {
        if (line.state == State::healthy)
            spdlog::info("{} is served again: {:.0f} % of its jobs", line.group, 100 * line.share);
        else
            spdlog::warn("{} is {}: {:.0f} % of its jobs are served, {:.0f} should have started", line.group,
                         line.state == State::starved ? "served less than half" : "in danger",
                         100 * line.share, line.waiting);
    }
}

}  // namespace barrowrun::api
