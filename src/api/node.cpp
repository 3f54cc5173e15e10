#include "api/node.hpp"

#include <spdlog/spdlog.h>

#include <charconv>

#include "api/answers.hpp"

namespace barrowrun::api {
using net::http::verb;
using state::Outcome;
using namespace std::chrono_literals;

namespace {

std::vector<election::Peer> peers_of(const settings::Settings& s) {
    std::vector<election::Peer> out;
    for (auto& m : s.members) {
        election::Peer p;
        p.name = m.name;
        p.address = m.address;
        p.reach = net::Reach("node " + m.name);
        out.push_back(std::move(p));
    }
    return out;
}

constexpr std::size_t kept_final_states = 20'000;

}  // namespace

Node::Node(net::asio::io_context& io, const settings::Settings& settings)
    : io_(io),
      settings_(settings),
      state_(io, settings.state, settings.state_rps, settings.state_write_rps, settings.members.size() + 1),
      cloud_(io, settings.cloud, settings.cloud_rps),
      workers_(io, 1, static_cast<std::size_t>(settings.max_connections * 0.3)),
      peers_(io, 8),
      election_(io, settings.node, peers_of(settings), state_, peers_,
                election::Timing{settings.leader_hold, settings.promise}),
      public_server_(io, static_cast<std::size_t>(settings.max_connections * 0.55)),
      peer_server_(io, static_cast<std::size_t>(settings.max_connections * 0.1)),
      keeper_(settings.zone, settings.keep_leases(), Clock::now()) {
    election_.sign = [this] {
        auto now = Clock::now();
        // A leader's right at this moment is its contact: a successor's time begins later.
        if (auto* l = leader())
            if (auto grant = l->grant()) keeper_.leads(now, std::move(*grant));
        return leases::to_json(keeper_.sign(now));
    };
    election_.on_grant = [this](TimePoint sent, const Json& value) {
        if (auto grant = leases::parse_grant(value)) keeper_.granted(sent, Clock::now(), std::move(*grant));
    };
    election_.on_lead = [this](std::uint64_t token, TimePoint acquired) {
        Services services{io_, settings_, state_, cloud_, workers_, peers_, election_, catalog_, keeper_};
        leader_ = std::make_shared<Leader>(services, token, acquired);
        leader_->start();
    };
    election_.on_lose = [this] {
        if (leader_) leader_->stop();
        leader_.reset();
    };
}

void Node::start() {
    public_server_.listen(settings_.listen);
    peer_server_.listen(settings_.peer_listen);
    auto ended = [](const char* what) {
        return [what](std::exception_ptr e) {
            try {
                if (e) std::rethrow_exception(e);
            } catch (const std::exception& err) {
                spdlog::error("{} ended: {}", what, err.what());
            }
        };
    };
    net::asio::co_spawn(io_,
                        public_server_.serve([this](net::Request r) { return public_route(std::move(r)); },
                                             [](const net::Request& r) {
                                                 return r.target == "/hello" || r.target == "/healthz"
                                                            ? net::Caller::system
                                                            : net::Caller::user;
                                             }),
                        ended("the public server"));
    net::asio::co_spawn(io_, peer_server_.serve([this](net::Request r) { return peer_route(std::move(r)); }),
                        ended("the peer server"));
    net::asio::co_spawn(io_, election_.run(), ended("the election"));
    net::asio::co_spawn(io_, election_.ping_peers(), ended("the pings"));
    net::asio::co_spawn(io_, keep_catalog(), ended("the catalog"));
}

Task<> Node::keep_catalog() {
    // A leader asks the cloud; the others read what it found.
    while (catalog_.empty()) {
        auto value = co_await state_.get(state::catalog_key);
        if (value.outcome == Outcome::ok) {
            auto types = wire::parse_types(value.value);
            if (types && catalog_.empty()) catalog_ = *types;
        }
        // A node that is started into an outage says what else it can't reach.
        if (catalog_.empty() && !state_.answers(Clock::now())) co_await cloud_.look();
        if (catalog_.empty()) co_await net::sleep_for(500ms);
    }
}

// ---- routes --------------------------------------------------------------------------------------------

Task<Response> Node::public_route(net::Request request) {
    const std::string prefix = "/submissions";
    std::string target = request.target.substr(0, request.target.find('?'));
    const bool get = request.method == verb::get, post = request.method == verb::post;
    if (target == "/healthz") co_return get ? health() : problem(405, "use GET");
    if (target == "/hello") {
        if (!post) co_return problem(405, "use POST");
        co_return co_await hello(std::move(request.body));
    }
    if (target == "/quota") {
        if (!get && !post) co_return problem(405, "use GET or POST");
        Json body = Json::object();
        if (post) {
            auto decoded = wire::decode(request.body);
            if (!decoded || !decoded->is_object())
                co_return problem(400, "the body is not a MessagePack map");
            body = std::move(*decoded);
        }
        co_return co_await quotas(request.target, post, std::move(body), false);
    }
    if (target == prefix) {
        if (!post) co_return problem(405, "use POST");
        co_return co_await submit(std::move(request.body));
    }
    if (target.starts_with(prefix + "/")) {
        std::string rest = target.substr(prefix.size() + 1);
        auto slash = rest.find('/');
        if (slash == std::string::npos) {
            if (!get) co_return problem(405, "use GET");
            co_return co_await status(rest);
        }
        if (rest.substr(slash) == "/explain") {
            if (!get) co_return problem(405, "use GET");
            co_return co_await explain(rest.substr(0, slash), false);
        }
        if (rest.substr(slash) == "/cancel") {
            if (!post) co_return problem(405, "use POST");
            co_return co_await cancel(rest.substr(0, slash), false);
        }
    }
    co_return problem(404, "no such path");
}

Response Node::health() {
    auto now = Clock::now();
    // When the state service refuses everyone, being out of rotation would only make the recovery slower.
    // When it refuses this node alone, the others should get the users. Only what another says 3 s later
    // tells: in the first seconds of an outage for all, what others said still stems from before. Two nodes
    // out of three took themselves out of the load balancer's rotation then, and each such removal doubles
    // the pause of the next.
    const bool ready = state_.answers(now) || !election_.peer_state_ok(now, state_.failing_since() + 3s);
    if (ready != ready_)
        spdlog::info(ready ? "ready for users again"
                           : "not ready for users: the state service refuses this node alone");
    ready_ = ready;
    return ready ? Response{} : problem(503, "the state service refuses this node");
}

// ---- users ---------------------------------------------------------------------------------------------

Task<Node::Look> Node::look_up(std::string id) {
    Look look;
    if (auto it = finished_.find(id); it != finished_.end()) {
        look.known_outcome = true;
        look.status = it->second;
        co_return look;
    }
    if (!co_await state_.lookup_turn()) co_return look;
    auto get = [this](std::string key) { return state_.get(std::move(key), 1500ms, state::Pace::lookup); };
    // A job moves from jobs/ to past/ in one transaction, so looking in this order misses none.
    auto job = co_await get(state::job_key(id));
    if (job.outcome == Outcome::ok) {
        auto record = state::parse_job_record(job.value);
        if (!record) co_return look;
        auto progress = co_await get(state::progress_key(id));
        if (progress.outcome == Outcome::ok) {
            auto p = state::parse_progress(progress.value, record->spec.tasks);
            if (!p) co_return look;
            look.known_outcome = true;
            auto standing = p->failed                              ? wire::Standing::failed
                            : p->cancelled                         ? wire::Standing::cancelled
                            : p->done.size() == record->spec.tasks ? wire::Standing::done
                            : p->done.empty()                      ? wire::Standing::queued
                                                                   : wire::Standing::running;
            look.status = wire::JobStatus{id, standing, p->done.size(), 0, p->total};
            co_return look;
        }
        if (progress.outcome != Outcome::absent) co_return look;
        // No progress yet, or the job has just moved on: only past/ tells.
    } else if (job.outcome != Outcome::absent) {
        co_return look;
    }
    auto past = co_await get(state::past_key(id));
    if (past.outcome == Outcome::ok) {
        auto p = state::parse_past(past.value);
        if (!p) co_return look;
        look.known_outcome = true;
        look.status = wire::JobStatus{id, p->standing, p->done, 0, p->errors};
        if (finished_.size() >= kept_final_states) finished_.erase(finished_.begin());
        finished_[id] = *look.status;
        co_return look;
    }
    if (past.outcome != Outcome::absent) co_return look;
    look.known_outcome = true;
    if (job.outcome == Outcome::ok) look.status = wire::JobStatus{id, wire::Standing::queued, 0, 0, {}};
    co_return look;
}

Task<std::optional<Response>> Node::ask_leader(std::string target, Json body, Clock::duration deadline) {
    auto address = election_.leader_address();
    if (!address) co_return std::nullopt;
    auto reply = co_await peers_.call(*address, verb::post, std::move(target), std::move(body), deadline);
    if (reply.status == 0 || reply.status == 503 || reply.garbage) co_return std::nullopt;
    co_return Response{reply.status, std::move(reply.body)};
}

Task<Response> Node::status(std::string id) {
    if (!wire::valid_job_id(id)) co_return problem(404, "no such job");
    if (auto kept = leader_; leader()) {
        auto s = kept->status(id);
        // The right to lead is checked after the look: an answer from memory is only good while it holds.
        if (s && kept->may_act()) co_return Response{200, wire::status_json(*s)};
    } else if (!finished_.contains(id)) {
        auto answer = co_await ask_leader("/peer/status", id_body(id), 600ms);
        if (answer && answer->status == 200) co_return std::move(*answer);
    }
    auto look = co_await look_up(id);
    if (!look.known_outcome) co_return problem(503, "the state service does not answer", 1);
    if (!look.status) co_return problem(404, "no such job");
    co_return Response{200, wire::status_json(*look.status)};
}

Task<Response> Node::cancel(std::string id, bool from_peer) {
    if (!wire::valid_job_id(id)) co_return problem(404, "no such job");
    if (auto kept = leader_; leader()) co_return co_await kept->cancel(id);
    if (auto it = finished_.find(id); it != finished_.end())
        co_return Response{200, wire::accepted_json(id, it->second.standing)};
    if (!from_peer) {
        auto answer = co_await ask_leader("/peer/cancel", id_body(id), 3500ms);
        if (answer) co_return std::move(*answer);
    }
    co_return problem(503, "no leader can be reached", 1);
}

// ---- operators -----------------------------------------------------------------------------------------

namespace {
// `name=123` of a target; 0 if it isn't there.
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

Task<Response> Node::quotas(std::string target, bool change, Json body, bool from_peer) {
    if (change && !from_peer) {
        if (settings_.operator_key.empty())
            co_return problem(403, "no operator_key is set: quotas can't be changed here");
        if (!same_secret(wire::text(body, "key").value_or(""), settings_.operator_key))
            co_return problem(403, "the operator key is not the one that is set");
        body.erase("key");
    }
    if (auto kept = leader_; leader()) {
        if (change) co_return co_await kept->change_quotas(std::move(body));
        auto answer = kept->quota_page(query_number(target, "since"), query_number(target, "page"));
        if (kept->may_act()) co_return answer;
    } else if (!from_peer) {
        Json ask{{"target", target}};
        if (change) ask["change"] = std::move(body);
        // A change waits for the state service; without an answer it may have been made.
        const Clock::duration patience = change ? 4500ms : 1500ms;
        auto answer = co_await ask_leader("/peer/quota", std::move(ask), patience);
        if (answer) co_return std::move(*answer);
    }
    co_return problem(503, "no leader can be reached", 1);
}

Task<Response> Node::explain(std::string id, bool from_peer) {
    if (!wire::valid_job_id(id)) co_return problem(404, "no such job");
    if (auto kept = leader_; leader()) {
        auto answer = kept->explain(id);
        if (answer && kept->may_act()) co_return Response{200, std::move(*answer)};
    } else if (!from_peer) {
        if (auto answer = co_await ask_leader("/peer/explain", id_body(id), 1000ms))
            co_return std::move(*answer);
    }
    if (from_peer) co_return problem(503, "not known here");
    // Over, unknown, or nobody leads: its state is all there is to say.
    co_return co_await status(id);
}

Task<std::optional<std::string>> Node::check_project(const wire::JobSpec& spec) {
    if (spec.project.empty()) co_return std::nullopt;
    const std::string refusal = "unknown project '" + spec.project + "' of team " + spec.team;
    if (!settings_.rules.quotas) co_return refusal + ": quotas are not switched on";
    if (auto kept = leader_; leader() && kept->loaded()) {
        if (kept->quota_tree().project(spec.team, spec.project)) co_return std::nullopt;
        co_return refusal;
    }
    if (known_quotas_ && known_quotas_->project(spec.team, spec.project)) co_return std::nullopt;
    // It may have been added since: a refusal needs a fresh look. Where none can be had the job is taken, and
    // charged to the nearest node above.
    quota::Book book;
    const auto outcome = co_await read_quotas(state_, settings_.rules.value_bytes, book);
    if (outcome != QuotasRead::ok && outcome != QuotasRead::none) co_return std::nullopt;
    auto lines = *settings_.rules.quotas;
    if (outcome == QuotasRead::ok) lines = book.lines();
    auto built = quota::Tree::build(std::move(lines), placement::quota_teams(settings_.rules.teams));
    if (!built.tree) co_return std::nullopt;
    known_quotas_ = built.tree;
    if (known_quotas_->project(spec.team, spec.project)) co_return std::nullopt;
    co_return refusal;
}

// ---- users' jobs ---------------------------------------------------------------------------------------

Task<Response> Node::submit(std::string body) {
    auto decoded = wire::decode(body);
    if (!decoded || !decoded->is_object()) co_return problem(400, "the body is not a MessagePack map");
    auto parsed = wire::parse_submission(*decoded);
    if (auto* wrong = std::get_if<std::string>(&parsed)) {
        // A known job gets its state, whatever the repeated body says.
        auto id = wire::text(*decoded, "name_id");
        if (id && wire::valid_job_id(*id)) {
            auto look = co_await look_up(*id);
            if (!look.known_outcome) co_return problem(503, "the state service does not answer", 1);
            if (look.status) co_return Response{200, wire::accepted_json(*id, look.status->standing)};
        }
        co_return problem(400, *wrong);
    }
    co_return co_await submit_job(std::get<wire::JobSpec>(std::move(parsed)), false);
}

Task<Response> Node::submit_job(wire::JobSpec spec, bool from_peer) {
    const std::string id = spec.id;
    std::string refusal;
    int status = 0;
    auto team = settings_.rules.teams.find(spec.team);
    if (team == settings_.rules.teams.end()) {
        status = 422, refusal = "unknown team";
    } else {
        double n = spec.sort == wire::Sort::array ? 1.0 : spec.tasks;
        const auto& limits = team->second;
        if ((limits.cpus_max > 0 && spec.need.cpus * n > limits.cpus_max + 1e-6) ||
            (limits.gpus_max > 0 && spec.need.gpus * n > limits.gpus_max + 1e-6))
            status = 422, refusal = "needs more than the team's limit";
    }
    if (settings_.cells)
        if (auto home = settings_.cells->home_elsewhere(spec.team); status == 0 && !home.empty())
            status = 503, refusal = "jobs of team " + spec.team + " are taken by cell " + home;
    if (status == 0)
        if (auto wrong = co_await check_project(spec)) status = 422, refusal = *wrong;
    if (status == 0 && catalog_.empty()) {
        status = 503, refusal = "the machine types are not known yet";
    } else if (status == 0) {
        if (!placement::fits_some_type(spec, catalog_))
            status = 422, refusal = "a task fits no allowed machine type";
    }
    if (status == 0) {
        bool admitted = true;
        if (auto kept = leader_; leader()) {
            if (kept->loaded()) admitted = kept->admits(spec.tasks);
        } else {
            for (auto& p : election_.peers())
                if (p.leading && Clock::now() - p.heard < 5s &&
                    p.waiting + spec.tasks > settings_.rules.queue_bound)
                    admitted = false;
        }
        if (!admitted) status = 429, refusal = "the queues are full";
    }
    if (status != 0) {
        // What is known already is never refused.
        auto look = co_await look_up(id);
        if (!look.known_outcome) co_return problem(503, "the state service does not answer", 1);
        if (look.status) co_return Response{200, wire::accepted_json(id, look.status->standing)};
        co_return problem(status, refusal, status == 429 ? 10 : status == 503 ? 1 : 0);
    }
    state::JobRecord record{std::move(spec), wall_ms()};
    for (int attempt = 0; attempt < 3; ++attempt) {
        std::vector<state::Condition> conditions;
        conditions.push_back({state::job_key(id), 0});
        conditions.push_back({state::past_key(id), 0});
        std::vector<state::Operation> operations;
        operations.push_back({state::job_key(id), state::to_json(record), 0});
        // Not behind the leader's own writes: while the fleet is busy those wait for most of a second.
        auto result = co_await state_.txn(conditions, operations, 1200ms, state::Pace::ahead);
        if (result.outcome == Outcome::ok) {
            if (auto kept = leader_; leader())
                kept->accepted_here(record);
            else
                net::asio::co_spawn(io_, tell_leader(id), net::asio::detached);
            spdlog::debug("job {} is accepted", id);
            co_return Response{201, wire::accepted_json(id, wire::Standing::queued)};
        }
        if (result.outcome == Outcome::conflict) {
            auto known = co_await Node::status(id);
            if (known.status == 200) {
                auto standing = wire::standing_of(wire::text(known.body, "standing").value_or(""));
                if (standing) co_return Response{200, wire::accepted_json(id, *standing)};
            }
            co_return problem(503, "not now", 1);
        }
        if (result.outcome == Outcome::unknown) {
            // It may have been written: read back.
            auto look = co_await look_up(id);
            if (look.status) {
                net::asio::co_spawn(io_, tell_leader(id), net::asio::detached);
                co_return Response{200, wire::accepted_json(id, look.status->standing)};
            }
            break;
        }
        if (!state_.answers(Clock::now())) break;
        co_await net::sleep_for(150ms);  // over the rate for a moment
    }
    if (!from_peer && election_.peer_state_ok(Clock::now())) {
        for (auto& p : election_.peers()) {
            if (!p.state_ok) continue;
            auto reply = co_await peers_.call(p.address, verb::post, "/peer/submit",
                                              wire::submission_json(record.spec), 1500ms);
            if (reply.status == 200 || reply.status == 201)
                co_return Response{reply.status, std::move(reply.body)};
        }
    }
    co_return problem(503, "the state service does not answer", 1);
}

Task<> Node::tell_leader(std::string id) {
    if (auto kept = leader_; leader()) {
        co_await kept->accepted(id);
        co_return;
    }
    // If this is lost, the leader finds the record by its watch.
    co_await ask_leader("/peer/accepted", id_body(id), 1000ms);
}

// ---- workers -------------------------------------------------------------------------------------------

Task<Response> Node::hello(std::string body) {
    auto decoded = wire::decode(body);
    if (!decoded) co_return problem(400, "not MessagePack");
    auto report = wire::parse_report(*decoded);
    if (!report) co_return problem(400, "not a report");
    auto now = Clock::now();
    if (auto kept = leader_; leader()) co_return co_await kept->hello(std::move(*report), true);
    // Cut off together with the worker: it keeps its lease for a while, and what it runs goes on.
    if (keeper_.may_keep(*report, now, !state_.answers(now))) {
        if (now - kept_said_ > 30s)
            spdlog::info("cut off from leader and state service: this node keeps the leases of its zone");
        kept_said_ = now;
        if (leader_) leader_->lease_renewed(report->machine, now);
        co_return Response{200, wire::report_answer(keeper_.token(), {})};
    }
    if (leader_) co_return problem(503, "not entitled to act");
    auto name = election_.leader_name();
    if (name.empty()) co_return problem(503, "no leader is known");
    if (redirects_.send_to(election_.leader_process(), report->machine, now))
        co_return Response{421, wire::redirect_answer(name)};
    auto address = election_.leader_address();
    if (!address) co_return problem(503, "no leader is known");
    auto reply =
        co_await peers_.call(*address, verb::post, "/peer/hello", wire::report_json(*report), 2500ms);
    if (reply.status == 200) co_return Response{200, std::move(reply.body)};
    redirects_.not_passed_on(report->machine);
    co_return problem(503, "the leader does not answer");
}

}  // namespace barrowrun::api
