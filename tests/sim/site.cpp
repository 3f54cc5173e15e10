#include "sim/site.hpp"

#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <cstdio>
#include <cstdlib>

namespace barrowrun::sim {
using net::http::verb;

namespace {

const std::string team = "crew";
const wire::Resources machine_room{4, 0, 32};

// Logs with virtual time, where SIM_LOG asks for them.
class Sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
    void sink_it_(const spdlog::details::log_msg& m) override {
        std::fprintf(stderr, "%9.3f %.*s\n", static_cast<double>(Present::now.count()) / 1e9,
                     static_cast<int>(m.payload.size()), m.payload.data());
    }
    void flush_() override {}
};

void set_up_log() {
    const char* level = std::getenv("SIM_LOG");
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("sim", std::make_shared<Sink>()));
    spdlog::set_level(level ? spdlog::level::from_str(level) : spdlog::level::off);
}

Checker::Limits limits_of(const SiteOptions& o) {
    // As the bench counts: a little is allowed for the steps of time here.
    return {secs(o.cancel_s) + 100ms, {{team, o.team_cpus_most}}};
}

std::vector<wire::MachineType> types_of(const SiteOptions& o) {
    wire::MachineType t{
        "small", machine_room.cpus, machine_room.gpus, machine_room.mem_gb, 30, 0.5, 1.0, 0.2, o.boot_s,
        o.zones};
    return {t};
}

}  // namespace

Site::Site(SiteOptions options)
    : world(options.seed), checker(limits_of(options)), options_(std::move(options)), gangs_({}) {
    set_up_log();
    lab::StateLimits limits;
    limits.rps = options_.state_rps, limits.write_rps = options_.state_write_rps;
    limits.value_bytes = options_.value_bytes;
    state_ = std::make_unique<StateServer>(world, limits);
    lab::CloudLimits cloud;
    cloud.machines = options_.most_machines, cloud.list_lag_s = 3, cloud.rps = 5;
    cloud_ = std::make_unique<CloudServer>(world, types_of(options_), cloud, options_.seed);
    cloud_->on_boot = [this](auto& m) { add_worker(m); };
    cloud_->on_return = [this](const std::string& name) {
        if (auto it = workers_.find(name); it != workers_.end()) it->second->die();
    };
    settings_.cloud_address = "cloud";
    settings_.state_service_address = "state";
    settings_.placement.lease_s = options_.lease_s;
    settings_.placement.cancel_s = options_.cancel_s;
    settings_.placement.heartbeat_s = options_.heartbeat_s;
    settings_.placement.txn_ops = 32;
    settings_.placement.value_bytes = options_.value_bytes;
    settings_.placement.teams[team] = {0, 0, options_.team_cpus_most, 0};
    if (options_.start_within_s > 0)
        settings_.placement.objectives.push_back({"wait", "batch", options_.start_within_s, 1});
    settings_.state_requests_per_s = options_.state_rps;
    settings_.state_writes_per_s = options_.state_write_rps;
    settings_.cloud_requests_per_s = 5;
    settings_.list_lag_s = 3;
    settings_.renews_leases = options_.keep_leases;
    processes_.resize(nodes);
    nodes_.resize(nodes);
    for (std::size_t i = 0; i < nodes; ++i) start(i);
    cloud_->model().warm(options_.machines, Clock::now());
    cloud_->boot_due();
}

Site::~Site() {
    for (std::size_t i = 0; i < nodes; ++i) {
        if (!processes_[i]) continue;
        world.end(*processes_[i]);
        nodes_[i].reset();
    }
}

void Site::start(std::size_t i) {
    auto p = std::make_unique<Process>(node_name(i));
    p->rate = 1 + (static_cast<double>(world.random() % 1001) - 500) * 1e-6;
    p->day_off = std::chrono::milliseconds(world.random() % 50) - 25ms;
    auto s = std::make_unique<settings::Settings>(settings_);
    s->node_name = node_name(i);
    s->zone = options_.zones[i % options_.zones.size()];
    s->listen_address = public_address(i);
    s->peer_listen_address = node_name(i) + ":peers";
    for (std::size_t k = 0; k < nodes; ++k)
        if (k != i) s->members.push_back({node_name(k), node_name(k) + ":peers"});
    world.add(*p);
    Present::rate = p->rate;
    nodes_[i] = std::make_unique<api::Node>(p->io, *s);
    nodes_[i]->start();
    Present::rate = 1;
    node_settings_.push_back(std::move(s));
    processes_[i] = std::move(p);
    // Its coroutines begin.
    auto* begun = processes_[i].get();
    asio::post(begun->io, [] {});
    wait_until(world.now(), begun->io,
               std::make_unique<CompletionOf<std::function<void(boost::system::error_code)>>>(
                   [](boost::system::error_code) {}, begun->io));
}

void Site::kill(std::size_t i, Nanos back_after) {
    if (!processes_[i]) return;
    ++kills_;
    world.end(*processes_[i]);
    nodes_[i].reset();
    ended_.push_back(std::move(processes_[i]));
    world.after(back_after, [this, i] {
        if (!processes_[i]) start(i);
    });
}

namespace {
std::optional<state::LeaderRecord> leader_record(StateServer& server) {
    auto answer = const_cast<lab::StateStore&>(server.store()).get(state::leader_key);
    if (answer.status != 200) return std::nullopt;
    return state::parse_leader_record(answer.body.at("value"));
}
}  // namespace

std::optional<std::size_t> Site::leader() const {
    const auto record = leader_record(*state_);
    for (std::size_t i = 0; i < nodes; ++i)
        if (record && record->node == node_name(i)) return i;
    return std::nullopt;
}

std::optional<std::string> Site::leading_process() const {
    const auto record = leader_record(*state_);
    if (!record) return std::nullopt;
    return record->incarnation;
}

void Site::add_worker(const lab::CloudModel::Machine& m) {
    std::vector<std::pair<std::string, std::string>> addresses;
    for (std::size_t i = 0; i < nodes; ++i) addresses.emplace_back(node_name(i), public_address(i));
    WorkerRules rules{secs(options_.lease_s), secs(options_.heartbeat_s)};
    Checker::Where where{m.name, m.type, m.zone, m.spot};
    workers_[m.name] = std::make_unique<Worker>(world, checker, gangs_, rules, std::move(addresses),
                                                std::move(where), machine_room);
}

std::vector<Worker*> Site::live_workers() {
    std::vector<Worker*> out;
    for (auto& [name, worker] : workers_)
        if (worker->alive()) out.push_back(worker.get());
    return out;
}

void Site::lose_machine(const std::string& name) {
    workers_.at(name)->die();
    cloud_->model().died(name, Clock::now());
}

void Site::take_machine(const std::string& name, std::optional<Nanos> notice) {
    auto take = [this, name] {
        workers_.at(name)->die();
        cloud_->model().returned({name}, Clock::now());
    };
    if (!notice) return take();
    workers_.at(name)->announce_end(*notice);
    world.after(*notice, take);
}

void Site::watch_waiting() {
    world.every(5s, [this] {
        std::vector<Checker::Host> hosts;
        for (auto* worker : live_workers()) {
            if (worker->hung() || worker->end_announced()) continue;
            hosts.push_back({worker->where(), worker->room()});
        }
        checker.look_for_waiting(hosts);
        return true;
    });
}

Worker* Site::worker_running(const std::string& job) {
    for (auto& [name, w] : workers_)
        if (w->alive() && w->runs(job)) return w.get();
    return nullptr;
}

void Site::keep_reports_for_next(std::uint64_t one_in, Nanos length) {
    for (auto& [name, w] : workers_)
        w->copy_reports(one_in, length, [this](auto arrive) { kept_reports_.push_back(std::move(arrive)); });
    world.every(5ms, [this, before = leader(), until = world.now() + length + 30s]() mutable {
        auto now = leader();
        if (now && now != before) {
            before = now;
            for (auto& arrive : std::exchange(kept_reports_, {})) arrive();
        }
        return world.now() < until;
    });
}

// ---- users ---------------------------------------------------------------------------------------------

wire::JobSpec Site::job(std::uint32_t tasks, double run_s, wire::JobKind kind) {
    wire::JobSpec s;
    char id[16];
    std::snprintf(id, sizeof id, "wk-%06u", static_cast<unsigned>(++next_job_ % 1'000'000));
    s.id = id;
    s.job_class = kind == wire::JobKind::service ? "desk" : kind == wire::JobKind::gang ? "gang" : "batch";
    s.team = team;
    s.kind = kind;
    s.priority = kind == wire::JobKind::service ? wire::Priority::production : wire::Priority::normal;
    s.tasks = tasks;
    s.need = {1, 0, 4};
    s.image = "img-1";
    s.image_gb = 0.5;
    s.estimate_s = run_s;
    s.spot_ok = true;
    return s;
}

void Site::request(std::size_t node, verb method, std::string target, Json body, Clock::duration deadline,
                   std::function<void(Reply)> done) {
    world.send({"users", method, std::move(target), std::move(body), 0}, public_address(node), deadline,
               std::move(done));
}

void Site::told(Checker::Asked what, const std::string& id, Nanos asked, const Reply& r) {
    const bool was_over = checker.over(id), was_accepted = checker.accepted(id);
    const auto standing = wire::text(r.body, "standing").value_or("");
    ++answers_;
    checker.answered(what, id, asked, r.status, standing);
    if (!was_accepted && checker.accepted(id)) {
        if (on_accepted) on_accepted(id);
        if (close_looks) look_closely(id);
    }
    if (was_over || !checker.over(id)) return;
    if (standing == "done" ? bool(on_done) : bool(on_cancelled))
        (standing == "done" ? on_done : on_cancelled)(id);
    if (close_looks) look_closely(id);
}

void Site::submit(const wire::JobSpec& spec) {
    if (jobs_.emplace(spec.id, spec).second) checker.intend(spec);
    const auto asked = world.now();
    auto id = spec.id;
    request(world.random() % nodes, verb::post, "/submissions", wire::submission_json(spec), 5s,
            [this, id, asked](Reply r) {
                told(Checker::Asked::submit, id, asked, r);
                if (r.status != 200 && r.status != 201) world.after(1s, [this, id] { submit(jobs_.at(id)); });
            });
}

void Site::cancel(const std::string& id, std::optional<std::size_t> at_node) {
    checker.cancel_sent(id);
    const auto asked = world.now();
    request(at_node.value_or(world.random() % nodes), verb::post, "/submissions/" + id + "/cancel",
            Json::object(), 5s, [this, id, asked](Reply r) {
                told(Checker::Asked::cancel, id, asked, r);
                if (r.status != 200)
                    world.after(std::chrono::milliseconds(200 + world.random() % 800),
                                [this, id] { cancel(id); });
            });
}

void Site::cancel_when_over(const std::string& id) {
    const auto asked = world.now();
    request(world.random() % nodes, verb::post, "/submissions/" + id + "/cancel", Json::object(), 5s,
            [this, id, asked](Reply r) { told(Checker::Asked::cancel, id, asked, r); });
}

void Site::ask(const std::string& id, std::size_t node) {
    const auto asked = world.now();
    request(node, verb::get, "/submissions/" + id, Json(), 2s,
            [this, id, asked](Reply r) { told(Checker::Asked::status, id, asked, r); });
}

void Site::poll_all(Nanos period) {
    world.every(period, [this] {
        checker.look();
        for (auto& [id, spec] : jobs_)
            if (checker.accepted(id) &&
                (!checker.over(id) || checker.last_question_failed(id) || world.one_in(10)))
                ask(id, world.random() % nodes);
        return true;
    });
}

void Site::look_closely(const std::string& id) {
    for (int round = 0; round < 6; ++round)
        world.after(
            std::chrono::microseconds(100 + 2'500 * round + static_cast<long>(world.random() % 2'000)),
            [this, id, round] {
                for (std::size_t n = 0; n < nodes; ++n) ask(id, n);
                if (round == 1) submit(jobs_.at(id));
            });
}

void Site::submit_unsound(std::size_t kind) {
    auto spec = job(1, 5);
    Json body = wire::submission_json(spec);
    if (kind % 3 == 0) body["vcpus"] = 1000.0;   // fits no machine
    if (kind % 3 == 1) body.erase("parcels");    // lacks a field
    if (kind % 3 == 2) body["crew"] = "nobody";  // unknown team
    checker.intend(spec, false);
    const auto asked = world.now();
    request(world.random() % nodes, verb::post, "/submissions", std::move(body), 5s,
            [this, id = spec.id, asked](Reply r) { told(Checker::Asked::submit, id, asked, r); });
}

void Site::cancel_at_end(std::uint64_t one_in, Nanos length) {
    checker.on_last_task_done = [this, one_in, until = world.now() + length](const std::string& id) {
        if (world.now() < until && world.one_in(one_in)) world.after(0ms, [this, id] { cancel(id); });
    };
}

std::vector<std::string> Site::jobs() const {
    std::vector<std::string> out;
    for (auto& [id, spec] : jobs_)
        if (checker.accepted(id)) out.push_back(id);
    return out;
}

std::string Site::verdict(Nanos troubles_over) {
    checker.end(troubles_over);
    std::string out;
    for (auto& line : checker.broken()) out += line + "\n";
    return out;
}

std::string Site::history() const {
    return std::to_string(world.events()) + " events, " + std::to_string(answers_) + " answers, " +
           std::to_string(checker.starts()) + " starts, " + std::to_string(checker.confirmed()) +
           " cancellations confirmed, " + std::to_string(kills_) + " processes ended";
}

}  // namespace barrowrun::sim
