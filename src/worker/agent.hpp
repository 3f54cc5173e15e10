#pragma once
// The worker as a whole: sends heartbeats to one controller at a time, takes commands, and lets the executor
// act.
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "worker/executor.hpp"

namespace barrowrun::worker {

struct WorkerSettings {
    std::string name, listen, announce, type, zone;
    bool spot = false;
    wire::Resources capacity;
    Times times;
    std::map<std::string, std::string> controllers;  // name -> address
    std::string depot, state_dir;
    std::uint64_t output_bytes = 16 << 20;
};
// Throws config::ConfigError.
WorkerSettings parse_worker_settings(const std::string& text);

class Agent {
  public:
    // Ends what an earlier worker of this machine left running, and begins a new agent epoch. Throws if it
    // can't.
    Agent(net::asio::io_context& io, WorkerSettings settings);
    void start();
    void stop();

  private:
    Task<> heartbeat_loop();
    Task<> tick_loop();
    Task<> notice_loop();
    Task<net::Response> route(net::Request request);
    void changed();
    void keep_session();
    static std::uint64_t next_agent_epoch(const WorkerSettings& s);

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
