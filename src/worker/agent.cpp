#include "worker/agent.hpp"

#include "config/schema.hpp"
#include "net/outage_log.hpp"
#include "wire/numbers.hpp"
#include "worker/worker_schema.hpp"

namespace barrowrun::worker {
using namespace std::chrono_literals;
using net::http::verb;

namespace {
constexpr auto heartbeat_reply_timeout = 4s;
constexpr auto controller_retry_delay = 1s;
}  // namespace

WorkerSettings parse_worker_settings(const std::string& text) {
    auto json = config::parse_validated(text, worker_schema);
    WorkerSettings settings;
    settings.name = json.at("name");
    settings.listen = json.at("listen");
    settings.announce = json.value("announce", settings.listen);
    settings.type = json.at("type");
    settings.zone = json.at("zone");
    settings.spot = json.value("spot", false);
    settings.capacity = {json.at("cpus"), json.value("gpus", 0.0), json.at("mem_gb")};
    settings.times.heartbeat = secs(json.value("report_s", 3.0));
    settings.times.lease = secs(json.value("lease_s", 20.0));
    settings.times.gang_wait = secs(json.value("gang_wait_s", 30.0));
    settings.times.gang_peer = secs(json.value("gang_peer_s", 4.0));
    for (auto& [name, address] : json.at("controllers").items()) {
        if (!net::parse_endpoint(address.get<std::string>()))
            throw config::ConfigError("[controllers][" + name + "]: expected an IP address and a port");
        settings.controllers[name] = address;
    }
    if (!net::parse_endpoint(settings.listen))
        throw config::ConfigError("[listen]: expected an IP address and a port");
    settings.depot = json.at("depot");
    settings.state_dir = json.at("state_dir");
    settings.output_bytes =
        wire::to_integer_saturated<std::uint64_t>(json.value("output_mb", 16.0) * 1024 * 1024);
    return settings;
}

// Agent epochs increase across restarts of this process. A higher epoch tells the controllers that no process
// of an earlier epoch is running, so the processes left by an earlier worker must end before it is used.
std::uint64_t Agent::next_agent_epoch(const WorkerSettings& settings) {
    std::filesystem::create_directories(settings.state_dir);
    auto remaining = proc::end_marked(settings.state_dir);
    if (remaining) spdlog::warn("agent: killed {} processes left by an earlier worker", remaining);
    std::uint64_t last = 0;
    if (auto text = depot::read_all(std::filesystem::path(settings.state_dir) / "session"))
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
    persist_agent_epoch();
    ExecutorSettings executor_settings{settings_.name, settings_.state_dir, settings_.times.gang_peer,
                                       settings_.output_bytes};
    executor_ = std::make_shared<Executor>(io, machine_, depot::Depot(settings_.depot), executor_settings,
                                           [this] { handle_state_change(); });
}

void Agent::persist_agent_epoch() {
    depot::write_whole(std::filesystem::path(settings_.state_dir) / "session", std::to_string(agent_epoch_));
}

void Agent::start() {
    server_.listen(settings_.listen);
    auto exit_on_error = [](const char* component) {
        return [component](std::exception_ptr failure) {
            try {
                if (failure) std::rethrow_exception(failure);
            } catch (const std::exception& err) {
                spdlog::critical("agent: the {} failed: {}; exiting", component, err.what());
                std::exit(1);
            }
        };
    };
    net::asio::co_spawn(io_, server_.serve([this](net::Request r) { return route(std::move(r)); }),
                        exit_on_error("HTTP server"));
    net::asio::co_spawn(io_, heartbeat_loop(), exit_on_error("heartbeat loop"));
    net::asio::co_spawn(io_, tick_loop(), exit_on_error("tick loop"));
    net::asio::co_spawn(io_, recall_notice_loop(), exit_on_error("recall notice loop"));
}

void Agent::stop() {
    executor_->stop();
}

void Agent::handle_state_change() {
    executor_->act();
    if (machine_.agent_epoch() != agent_epoch_) {
        spdlog::warn("agent: the lease has expired; starting agent epoch {}", machine_.agent_epoch());
        agent_epoch_ = machine_.agent_epoch();
        persist_agent_epoch();
    }
    wake_.wake();
}

Task<> Agent::tick_loop() {
    for (;;) {
        machine_.tick(Clock::now());
        executor_->act();
        if (machine_.agent_epoch() != agent_epoch_) handle_state_change();
        co_await net::sleep_for(50ms);
    }
}

// Polls for the cloud's recall notice: the file `recall` in the worker's state directory, which holds the
// seconds until the machine is taken back. A program on the machine that watches the cloud's own signal
// writes the file.
Task<> Agent::recall_notice_loop() {
    const auto file = std::filesystem::path(settings_.state_dir) / "recall";
    std::optional<TimePoint> until;
    for (;;) {
        std::error_code error;
        if (!until && std::filesystem::exists(file, error)) {
            auto text = depot::read_all(file).value_or("0");
            until = Clock::now() + secs(std::max(0.0, std::strtod(text.c_str(), nullptr)));
            spdlog::warn("machine: recalled by the cloud; it is taken back in {} s", text);
        } else if (until && !std::filesystem::exists(file, error)) {
            until.reset();
        }
        machine_.notice(until);
        if (until) wake_.wake();
        co_await net::sleep_for(250ms);
    }
}

Task<> Agent::heartbeat_loop() {
    std::vector<std::pair<std::string, std::string>> controllers(settings_.controllers.begin(),
                                                                 settings_.controllers.end());
    std::size_t current = std::hash<std::string>{}(settings_.name) % controllers.size();
    net::OutageLog reachability("every controller");
    for (;;) {
        auto now = Clock::now();
        auto due = machine_.report_due(now);
        if (due > now) {
            co_await wake_.wait(due - now);
            continue;
        }
        machine_.tick(now);
        handle_state_change();
        if (machine_.ending()) {
            co_await net::sleep_for(10ms);
            continue;
        }
        auto agent_epoch = machine_.agent_epoch();
        auto heartbeat = machine_.heartbeat(now);
        machine_.reported(now);
        auto reply = co_await client_.call(controllers[current].second, verb::post, "/hello",
                                           wire::worker_heartbeat_json(heartbeat), heartbeat_reply_timeout);
        auto reply_time = Clock::now();
        if (auto message = reachability.note(reply.status == 200 || reply.status == 421, reply_time))
            spdlog::warn("{}", *message);
        if (reply.status == 200) {
            auto commands = wire::parse_commands(reply.body);
            if (commands && !reply.garbage)
                machine_.answered(wire::parse_fencing_token(reply.body), agent_epoch, *commands, now,
                                  reply_time);
            handle_state_change();
            continue;
        }
        auto next = (current + 1) % controllers.size();
        if (reply.status == 421) {
            auto leader = wire::parse_redirect(reply.body);
            for (std::size_t i = 0; leader && i < controllers.size(); ++i)
                if (controllers[i].first == *leader && i != current) {
                    client_.forget(controllers[current].second);
                    current = i;
                    leader.reset();
                    next = controllers.size();
                }
            if (next == controllers.size()) {
                // The leader is known, so the heartbeat is sent there without the retry delay. It repeats the
                // state that the other controller did not accept.
                co_await net::sleep_for(1ms);
                machine_.reported(TimePoint{});
                continue;
            }
        }
        current = next;
        co_await net::sleep_for(controller_retry_delay);
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
    const auto refused_before = machine_.refused_launches();
    bool executed = machine_.commanded(*fencing_token, *agent_epoch, *commands, now);
    if (!executed)
        spdlog::info(
            "agent: refused commands under fencing token {} and agent epoch {}; the highest token seen is "
            "{}, "
            "the agent epoch {}",
            *fencing_token, *agent_epoch, machine_.fencing_token(), machine_.agent_epoch());
    if (machine_.refused_launches() > refused_before)
        spdlog::error(
            "agent: refused {} launches of attempts that were reaped, a late copy of commands under fencing "
            "token {}; {} since this process started",
            machine_.refused_launches() - refused_before, *fencing_token, machine_.refused_launches());
    handle_state_change();
    if (!executed && machine_.ending()) co_return net::Response{503, {{"error", "between two sessions"}}, 1};
    // A task description is usually read within milliseconds. Waiting up to 20 ms lets the answer report the
    // started task instead of one that is still fetching its description.
    for (int i = 0; executed && i < 20 && machine_.fetching(); ++i) co_await net::sleep_for(1ms);
    auto heartbeat = machine_.heartbeat(Clock::now());
    if (executed && !machine_.fetching()) machine_.told();
    co_return net::Response{executed ? 200 : 409, wire::worker_heartbeat_json(heartbeat)};
}

}  // namespace barrowrun::worker
