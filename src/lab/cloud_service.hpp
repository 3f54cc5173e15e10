#pragma once
// The cloud stand-in as a process: its machines are workers that it starts, each with its tasks.
#include "lab/child.hpp"
#include "lab/cloud_model.hpp"
#include "lab/relay.hpp"
#include "lab/service.hpp"

namespace barrowrun::lab {

struct CloudSettings {
    std::string dir;             // machines' directories
    std::string worker;          // the program
    wire::Json worker_settings;  // what all workers have in common
    wire::Json zones;            // how those of each zone reach the controllers
    std::size_t warm = 0;
};

class CloudService {
  public:
    CloudService(net::asio::io_context& io, CloudModel model, CloudSettings settings);
    void listen(const std::string& address) { server_.listen(address); }
    void start();
    void end_all();  // ends every machine and what runs on it

  private:
    struct Running {
        std::shared_ptr<Child> child;
        bool ending = false;
    };
    Task<net::Response> route(net::Request request);
    net::Response fault(const wire::Json& body);
    net::Response zone_fault(const wire::Json& body);
    Task<> boot_loop();
    Task<> run_machine(std::string name);
    Task<> take_later(std::string name, Clock::duration after);
    Task<> resume_later(std::string name, Clock::duration after);
    void end_machine(const std::string& name);
    std::string machine_dir(const std::string& name) const { return settings_.dir + "/" + name; }
    void keep();
    net::asio::io_context& io_;
    CloudModel model_;
    CloudSettings settings_;
    Faults faults_;
    net::HttpServer server_;
    std::map<std::string, Running> running_;
    std::multimap<std::string, std::unique_ptr<Relay>> ways_;  // to machines, by zone, if there are several
    std::mt19937 random_{std::random_device{}()};
};

}  // namespace barrowrun::lab
