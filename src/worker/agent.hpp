#pragma once
// The worker agent: sends heartbeats to one controller at a time, accepts commands, and has the executor
// carry out the resulting actions.
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "worker/executor.hpp"

namespace barrowrun::worker {

struct WorkerSettings {
    std::string name, listen, announce, type, zone;
    bool spot = false;
    wire::Resources capacity;
    Times times;
    std::map<std::string, std::string> controllers;  // controller name to address
    std::string depot, state_dir;
    std::uint64_t output_bytes = 16 << 20;
};
// Parses and validates the settings file. Throws config::ConfigError.
WorkerSettings parse_worker_settings(const std::string& text);

class Agent {
  public:
    // Kills the processes that an earlier worker of this machine left running, and starts a new agent epoch.
    // Throws if the processes do not end or the epoch cannot be stored.
    Agent(net::asio::io_context& io, WorkerSettings settings);
    void start();
    void stop();

  private:
    Task<> heartbeat_loop();
    Task<> tick_loop();
    Task<> recall_notice_loop();
    Task<net::Response> route(net::Request request);
    void handle_state_change();
    void persist_agent_epoch();
    static std::uint64_t next_agent_epoch(const WorkerSettings& settings);

    net::asio::io_context& io_;
    WorkerSettings settings_;
    net::HttpServer server_;
    net::HttpClient client_;
    std::uint64_t agent_epoch_;
    Machine machine_;
    net::Signal wake_;
    std::shared_ptr<Executor> executor_;
};

}  // namespace barrowrun::worker
