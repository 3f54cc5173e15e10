#include "api/leader.hpp"

#include <spdlog/spdlog.h>

#include "api/responses.hpp"

namespace barrowrun::api {
using state::Outcome;
using namespace std::chrono_literals;

namespace {
// Less than the 3.5 s that a node waits for the leader's response when it forwards a cancellation.
constexpr std::chrono::seconds cancellation_wait{3};
constexpr std::chrono::milliseconds cancellation_poll{10};
// Keeps the response to a heartbeat within the size of a message; the other commands follow in the next
// response.
constexpr std::size_t max_commands_per_answer = 300;
constexpr std::chrono::milliseconds tick_interval{200};
// Long enough for another node, which workers may be able to reach, to be elected.
constexpr std::chrono::seconds step_down_pause{15};
constexpr std::chrono::seconds starvation_check_interval{5};
constexpr std::chrono::seconds fencing_log_interval{60};

Response not_now() {
    return error_response(503, "not now", 1);
}

Response not_entitled() {
    return error_response(503, "not entitled to act");
}
}  // namespace

Leader::Leader(Services services, std::uint64_t fencing_token, TimePoint acquired)
    : services_(services),
      cluster_(services.settings.placement),
      coroutines_(services.io),
      placement_signal_(services.io),
      acquired_(acquired),
      record_writer_(services, {cluster_, [this] { return may_act(); },
                                [this] {
                                    placement_signal_.wake();
                                    dispatcher_.dispatch_pending();
                                },
                                [this] { fence_unconfirmed_launches(); }}),
      dispatcher_(services,
                  {cluster_, [this] { return may_act(); },
                   [this](std::string name, Task<> duty) { spawn(std::move(name), std::move(duty)); },
                   [this](TimePoint now) { worker_monitor_.worker_answered(now); },
                   [this] { placement_signal_.wake(); }, [this] { wake_writes_if_any(); }}),
      provisioner_(services,
                   {cluster_, [this] { return may_act(); }, [this] { return stopped_; },
                    [this](std::string name, Task<> duty) { spawn(std::move(name), std::move(duty)); },
                    [this] { placement_signal_.wake(); }, [this] { record_writer_.wake(); }}),
      quotas_(services, {cluster_, [this] { return may_act(); }, [this] { placement_signal_.wake(); }}),
      worker_monitor_(
          services.settings.placement, acquired,
          {cluster_, services.state, [this](fleet::Machine& machine) { dispatcher_.probe(machine); },
           [this](const std::string& machine) { dispatcher_.fence(machine); },
           [this](std::vector<std::string> machines) {
               provisioner_.return_machines("return of silent machines to the cloud", std::move(machines),
                                            ReturnReason::prove_empty);
           }}),
      renewal_period_(
          leases::renewal_period(services.settings.placement.lease_s, services.settings.placement.cancel_s)),
      // Needed even if this leader grants no renewals: the settings of a predecessor may have allowed them.
      renewal_bound_(services.settings.member_names(), renewal_period_, acquired, fencing_token) {
    cluster_.set_fencing_token(fencing_token, acquired);
    fencing_logged_ = acquired;
    cluster_.set_types(services_.catalog);
    if (!services_.settings.cells) return;
    cell_delegations_ = std::make_unique<CellDelegations>(
        *services_.settings.cells,
        CellDelegations::Host{
            cluster_, services_.state, services_.peers, [this] { return may_act(); },
            [this] { record_writer_.wake(); }, [this] { placement_signal_.wake(); },
            [this](std::string name, Task<> duty) { spawn(std::move(name), std::move(duty)); },
            services_.settings.max_clock_error,
            std::chrono::ceil<std::chrono::milliseconds>(
                upper_bound_with_drift(secs(services_.settings.placement.cancel_s))),
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
    auto granted = grant();
    renewal_bound_.record_heartbeat(node, heartbeat, Clock::now(), granted.has_value());
    return granted;
}

void Leader::start() {
    spawn("recovery", recover());
}

void Leader::stop() {
    stopped_ = true;
    coroutines_.cancel();
}

// ---- jobs ----------------------------------------------------------------------------------------------

void Leader::add_job(const state::JobRecord& record) {
    // A delayed notice must not add a job that has already finished in this term.
    if (cluster_.find_job(record.spec.id) || cluster_.finished_job(record.spec.id)) return;
    auto now = Clock::now();
    cluster_.add_job(record, nullptr, now, wall_ms());
    provisioner_.note_arrival(record.spec, now);
    placement_signal_.wake();
}

void Leader::job_accepted_locally(const state::JobRecord& record) {
    if (recovered_) add_job(record);
}

Task<> Leader::job_accepted(std::string id) {
    auto self = shared_from_this();
    if (!recovered_ || cluster_.find_job(id) || cluster_.finished_job(id)) co_return;
    // The notice may be old: only the record shows whether the job is still active.
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
            for (auto& event : result.events)
                if (event.value)
                    if (auto record = state::parse_job_record(*event.value)) add_job(*record);
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
    if (auto finished = cluster_.finished_job(id))
        return wire::JobStatus{id, finished->state, finished->done, 0, finished->errors};
    return std::nullopt;
}

Task<std::optional<Response>> Leader::load_unknown_job(std::string id) {
    if (cluster_.find_job(id) || cluster_.finished_job(id)) co_return std::nullopt;
    auto record = co_await services_.state.get(state::job_key(id));
    if (record.outcome == Outcome::ok) {
        if (auto parsed = state::parse_job_record(record.value)) add_job(*parsed);
        co_return std::nullopt;
    }
    if (record.outcome != Outcome::absent) co_return not_now();
    auto finished = co_await services_.state.get(state::finished_key(id));
    if (finished.outcome == Outcome::absent) co_return error_response(404, "no such job");
    if (finished.outcome != Outcome::ok) co_return not_now();
    if (auto parsed = state::parse_finished_record(finished.value))
        cluster_.remember_finished_job(id, *parsed);
    co_return std::nullopt;
}

Task<Response> Leader::cancel(std::string id) {
    auto self = shared_from_this();
    if (!recovered_ || !may_act()) co_return not_now();
    auto failure = co_await load_unknown_job(id);
    if (failure) co_return std::move(*failure);
    const auto deadline = Clock::now() + cancellation_wait;
    bool asked = false;
    while (may_act() && Clock::now() < deadline) {
        if (auto finished = cluster_.finished_job(id))
            co_return Response{200, wire::accepted_json(id, finished->state)};
        auto* job = cluster_.find_job(id);
        if (!job) co_return not_now();
        auto job_state = job->job_state();
        if (job_state == wire::JobState::cancelled || job_state == wire::JobState::done ||
            job_state == wire::JobState::failed)
            co_return Response{200, wire::accepted_json(id, job_state)};
        // A job whose last result has arrived counts as done and is not cancelled; its record follows
        // shortly.
        if (!asked && !job->finished()) {
            spdlog::info("job {}: cancelled on request", id);
            cluster_.cancel(*job, Clock::now());
            record_writer_.wake();
            dispatcher_.dispatch_pending();
        }
        asked = true;
        co_await net::sleep_for(cancellation_poll);
    }
    co_return not_now();
}

// ---- workers -------------------------------------------------------------------------------------------

// Stores a heartbeat that arrives before the records are read. Until then, only the grants that this node
// received as a follower tell whether a response may renew the worker's lease.
Response Leader::renew_before_recovery(const wire::WorkerHeartbeat& heartbeat, TimePoint now) {
    auto [it, inserted] = pending_heartbeats_.try_emplace(heartbeat.machine, heartbeat);
    if (!inserted &&
        std::pair(it->second.agent_epoch, it->second.seq) < std::pair(heartbeat.agent_epoch, heartbeat.seq))
        it->second = heartbeat;
    // Cancellations that the predecessor confirmed are in the records. An outage of the state service may
    // delay reading them for longer than `cancel_s`, by which time tasks of cancelled jobs must be gone.
    if (!services_.renewer.may_renew(heartbeat.machine, now)) return not_entitled();
    if (cell_delegations_ && !cell_delegations_->may_renew(heartbeat, nullptr)) return not_entitled();
    renewals_before_recovery_[heartbeat.machine] = now;
    return Response{200, wire::worker_heartbeat_answer(services_.election.fencing_token(), {})};
}

Task<Response> Leader::worker_heartbeat(wire::WorkerHeartbeat heartbeat, bool direct) {
    auto self = shared_from_this();
    if (!may_act()) co_return not_entitled();
    auto now = Clock::now();
    worker_monitor_.heartbeat_received(now, direct);
    if (!recovered_) co_return renew_before_recovery(heartbeat, now);
    cluster_.set_fencing_token(services_.election.fencing_token(), now);
    bool newer = cluster_.on_heartbeat(heartbeat, true, now);
    auto* m = cluster_.find_machine(heartbeat.machine);
    if (!m) co_return not_entitled();
    if (!newer && heartbeat.agent_epoch != m->agent_epoch) co_return not_entitled();
    if (cell_delegations_ && !cell_delegations_->may_renew(heartbeat, m)) co_return not_entitled();
    if (!m->may_renew(now, renewal_period_)) co_return not_entitled();
    // A heartbeat of the current agent epoch that is not newer was overtaken by the response to a command
    // push. The worker still waits for a response to it.
    auto commands = cluster_.reply_commands(*m, now, newer && !m->returning);
    if (commands.size() > max_commands_per_answer) commands.resize(max_commands_per_answer);
    m->last_answer = now;
    placement_signal_.wake();
    wake_writes_if_any();
    dispatcher_.dispatch_pending();
    co_return Response{200, wire::worker_heartbeat_answer(m->fencing_token_sent, commands)};
}

void Leader::lease_renewed(const std::string& machine, TimePoint when) {
    if (!recovered_)
        renewals_before_recovery_[machine] = when;
    else if (auto* m = cluster_.find_machine(machine))
        m->last_answer = std::max(m->last_answer, when);
}

// ---- operators' requests -------------------------------------------------------------------------------

Response Leader::quota_page(std::uint64_t since, std::uint64_t page) const {
    if (!recovered_) return not_now();
    return quotas_.page(since, page);
}

Task<Response> Leader::change_quotas(Json body) {
    auto self = shared_from_this();
    if (!services_.settings.placement.quotas)
        co_return error_response(409, "quotas are not switched on: see deploy/quotas.json");
    if (!recovered_) co_return not_now();
    co_return co_await quotas_.change(std::move(body));
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

// ---- loops ---------------------------------------------------------------------------------------------

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
        wake_writes_if_any();
        dispatcher_.dispatch_pending();
        // Jobs that arrive close together are placed in one round and written in one transaction.
        co_await net::sleep_for(8ms);
    }
}

void Leader::fence_unconfirmed_launches() {
    for (auto& [name, machine] : cluster_.machines()) {
        const bool unconfirmed = std::any_of(machine->assignments.begin(), machine->assignments.end(),
                                             [](auto& entry) { return entry.second.launch_unconfirmed(); });
        if (unconfirmed && !machine->address.empty()) dispatcher_.fence(name);
    }
}

Task<> Leader::tick_loop() {
    for (;;) {
        const auto due = Clock::now() + tick_interval;
        co_await net::sleep_for(tick_interval);
        const auto now = Clock::now();
        worker_monitor_.note_delay(due, now);
        if (!may_act()) continue;
        cluster_.set_fencing_token(services_.election.fencing_token(), now);
        const bool tasks_gone = cluster_.tick(
            now, [&](const std::string& zone) { return renewal_bound_.latest_possible_renewal(zone, now); });
        if (worker_monitor_.check(now) == WorkerMonitor::Contact::lost) {
            services_.election.step_down(step_down_pause);
            co_return;
        }
        if (cluster_.has_unconfirmed_launch(now)) record_writer_.refresh_token_for_launches();
        if (now - starvation_checked_ > starvation_check_interval) {
            starvation_checked_ = now;
            log_starvation(now);
        }
        if (now - fencing_logged_ > fencing_log_interval) log_fencing(now);
        if (tasks_gone) placement_signal_.wake();
        wake_writes_if_any();
        dispatcher_.dispatch_pending();
    }
}

// What an operator needs to tell whether late copies of messages do harm.
void Leader::log_fencing(TimePoint now) {
    fencing_logged_ = now;
    const auto& attempts = cluster_.reaped_attempts();
    spdlog::info(
        "leader: acts under fencing token {}, its term began with {}; in this term {} refreshes of the "
        "token, "
        "{} attempts reaped, {} appeared again, {} transactions refused for a record's version",
        cluster_.fencing_token(), cluster_.first_fencing_token(), record_writer_.token_refreshes(),
        attempts.reaped(), attempts.reappeared(), record_writer_.version_conflicts());
}

void Leader::log_starvation(TimePoint now) {
    using State = placement::StarvationMonitor::State;
    for (auto& finding : cluster_.check_starvation(now)) {
        if (finding.state == State::healthy)
            spdlog::info("{}: {:.0f} % of its jobs are served, no longer at risk of starvation",
                         finding.group, 100 * finding.served_share);
        else
            spdlog::warn(
                "{}: {}, {:.0f} % of its jobs are served, {:.0f} late jobs should have started by now",
                finding.group, finding.state == State::starved ? "starved" : "at risk of starvation",
                100 * finding.served_share, finding.overdue_jobs);
    }
}

}  // namespace barrowrun::api
