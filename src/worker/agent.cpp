#include "worker/agent.hpp"

#include "config/schema.hpp"
#include "net/reach.hpp"
#include "worker/worker_schema.hpp"

namespace barrowrun::worker {
using namespace std::chrono_literals;
using net::http::verb;

namespace {
constexpr auto answer_within = 4s;
constexpr auto next_after = 1s;
}  // namespace

WorkerSettings parse_worker_settings(const std::string& text) {
    auto j = config::parse_validated(text, worker_schema);
    WorkerSettings s;
    s.name = j.at("name");
    s.listen = j.at("listen");
    s.announce = j.value("announce", s.listen);
    s.type = j.at("type");
    s.zone = j.at("zone");
    s.spot = j.value("spot", false);
    s.capacity = {j.at("cpus"), j.value("gpus", 0.0), j.at("mem_gb")};
    s.times.heartbeat = secs(j.value("report_s", 3.0));
    s.times.lease = secs(j.value("lease_s", 20.0));
    s.times.gang_wait = secs(j.value("gang_wait_s", 30.0));
    s.times.gang_peer = secs(j.value("gang_peer_s", 4.0));
    for (auto& [name, address] : j.at("controllers").items()) {
        if (!net::parse_endpoint(address.get<std::string>()))
            throw config::ConfigError("[controllers][" + name + "]: expected an IP address and a port");
        s.controllers[name] = address;
    }
    if (!net::parse_endpoint(s.listen))
        throw config::ConfigError("[listen]: expected an IP address and a port");
    s.depot = j.at("depot");
    s.state_dir = j.at("state_dir");
    s.output_bytes = static_cast<std::uint64_t>(j.value("output_mb", 16.0) * 1024 * 1024);
    return s;
}

// Sessions grow over the ends of this process too: a higher one tells the controllers that nothing of an
// earlier one is left, so what an earlier worker left must have ended before the number is used.
std::uint64_t Agent::next_agent_epoch(const WorkerSettings& s) {
    std::filesystem::create_directories(s.state_dir);
    auto left = proc::end_marked(s.state_dir);
    if (left) spdlog::warn("{} processes of an earlier worker were ended", left);
    std::uint64_t last = 0;
    if (auto text = depot::read_all(std::filesystem::path(s.state_dir) / "session"))
        last = std::strtoull(text->c_str(), nullptr, 10);
    return last + 1;
}

Agent::Agent(net::asio::io_context& io, WorkerSettings settings)
    : io_(io),
      settings_(std::move(settings)),
      server_(io, 200),
      client_(io, 1),
      agent_epoch_(next_agent_epoch(settings_)),
      machine_(settings_.name, settings_.announce, settings_.type, settings_.zone, settings_.spot,
               settings_.capacity, settings_.times, agent_epoch_, Clock::now()),
      wake_(io) {
    keep_session();
    ExecutorSettings e{settings_.name, settings_.state_dir, settings_.times.gang_peer,
                       settings_.output_bytes};
    executor_ =
        std::make_shared<Executor>(io, machine_, depot::Depot(settings_.depot), e, [this] { changed(); });
}

void Agent::keep_session() {
    depot::write_whole(std::filesystem::path(settings_.state_dir) / "session", std::to_string(agent_epoch_));
}

void Agent::start() {
    server_.listen(settings_.listen);
    auto ended = [](const char* what) {
        return [what](std::exception_ptr e) {
            try {
                if (e) std::rethrow_exception(e);
            } catch (const std::exception& err) {
                spdlog::critical("{} ended: {}", what, err.what());
                std::exit(1);
            }
        };
    };
    net::asio::co_spawn(io_, server_.serve([this](net::Request r) { return route(std::move(r)); }),
                        ended("the server"));
    net::asio::co_spawn(io_, heartbeat_loop(), ended("the heartbeats"));
    net::asio::co_spawn(io_, tick_loop(), ended("the ticks"));
    net::asio::co_spawn(io_, notice_loop(), ended("the notices"));
}

void Agent::stop() {
    executor_->stop();
}

void Agent::changed() {
    executor_->act();
    if (machine_.agent_epoch() != agent_epoch_) {
        spdlog::warn("the lease has expired: agent epoch {} begins", machine_.agent_epoch());
        agent_epoch_ = machine_.agent_epoch();
        keep_session();
    }
    wake_.wake();
}

Task<> Agent::tick_loop() {
    for (;;) {
        machine_.tick(Clock::now());
        executor_->act();
        if (machine_.agent_epoch() != agent_epoch_) changed();
        co_await net::sleep_for(50ms);
    }
}

// The cloud's notice: a file `recall` in this worker's directory that holds the seconds left, as whatever
// reads the cloud's own signal on the machine writes it.
Task<> Agent::notice_loop() {
    const auto file = std::filesystem::path(settings_.state_dir) / "recall";
    std::optional<TimePoint> until;
    for (;;) {
        std::error_code ec;
        if (!until && std::filesystem::exists(file, ec)) {
            auto text = depot::read_all(file).value_or("0");
            until = Clock::now() + secs(std::max(0.0, std::strtod(text.c_str(), nullptr)));
            spdlog::warn("the cloud takes this machine back in {} s", text);
        } else if (until && !std::filesystem::exists(file, ec)) {
            until.reset();
        }
        machine_.notice(until);
        if (until) wake_.wake();
        co_await net::sleep_for(250ms);
    }
}

Task<> Agent::heartbeat_loop() {
    std::vector<std::pair<std::string, std::string>> nodes(settings_.controllers.begin(),
                                                           settings_.controllers.end());
    std::size_t at = std::hash<std::string>{}(settings_.name) % nodes.size();
    net::Reach reach("every controller");
    for (;;) {
        auto now = Clock::now();
        auto due = machine_.report_due(now);
        if (due > now) {
            co_await wake_.wait(due - now);
            continue;
        }
        machine_.tick(now);
        changed();
        if (machine_.ending()) {
            co_await net::sleep_for(10ms);
            continue;
        }
        auto agent_epoch = machine_.agent_epoch();
        auto heartbeat = machine_.heartbeat(now);
        machine_.reported(now);
        auto reply = co_await client_.call(nodes[at].second, verb::post, "/hello",
                                           wire::worker_heartbeat_json(heartbeat), answer_within);
        auto after = Clock::now();
        if (auto line = reach.note(reply.status == 200 || reply.status == 421, after))
            spdlog::warn("{}", *line);
        if (reply.status == 200) {
            auto commands = wire::parse_commands(reply.body);
            if (commands && !reply.garbage)
                machine_.answered(wire::parse_fencing_token(reply.body), agent_epoch, *commands, now, after);
            changed();
            continue;
        }
        auto next = (at + 1) % nodes.size();
        if (reply.status == 421) {
            auto leader = wire::parse_redirect(reply.body);
            for (std::size_t i = 0; leader && i < nodes.size(); ++i)
                if (nodes[i].first == *leader && i != at) {
                    client_.forget(nodes[at].second);
                    at = i;
                    leader.reset();
                    next = nodes.size();
                }
            if (next == nodes.size()) {
                // At once. What was not heard is said again there.
                co_await net::sleep_for(1ms);
                machine_.reported(TimePoint{});
                continue;
            }
        }
        at = next;
        co_await net::sleep_for(next_after);
        machine_.reported(TimePoint{});
    }
}

Task<net::Response> Agent::route(net::Request request) {
    auto now = Clock::now();
    if (request.target == "/inspect" && request.method == verb::get) {
        machine_.tick(now);
        executor_->act();
        if (machine_.ending()) co_return net::Response{503, {{"error", "between two sessions"}}, 1};
        co_return net::Response{200, wire::worker_heartbeat_json(machine_.heartbeat(now))};
    }
    if (request.target != "/commands" || request.method != verb::post)
        co_return net::Response{404, {{"error", "no such path"}}};
    auto body = wire::decode(request.body);
    auto fencing_token = body ? wire::parse_fencing_token(*body) : std::nullopt;
    auto agent_epoch = body ? wire::parse_agent_epoch(*body) : std::nullopt;
    auto commands = body ? wire::parse_commands(*body) : std::nullopt;
    if (!fencing_token || !agent_epoch || !commands)
        co_return net::Response{400, {{"error", "baton, shift or orders"}}};
    bool executed = machine_.commanded(*fencing_token, *agent_epoch, *commands, now);
    changed();
    if (!executed && machine_.ending()) co_return net::Response{503, {{"error", "between two sessions"}}, 1};
    // A description is there within a moment: the answer should tell of a start rather than of a fetch.
    for (int i = 0; executed && i < 20 && machine_.fetching(); ++i) co_await net::sleep_for(1ms);
    auto heartbeat = machine_.heartbeat(Clock::now());
    if (executed && !machine_.fetching()) machine_.told();
    co_return net::Response{executed ? 200 : 409, wire::worker_heartbeat_json(heartbeat)};
}

}  // namespace barrowrun::worker
