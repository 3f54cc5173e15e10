#pragma once
// The simulated cloud as a process. Each of its machines is a worker process that it starts, with the tasks
// that the worker runs.
#include "lab/child.hpp"
#include "lab/cloud_model.hpp"
#include "lab/relay.hpp"
#include "lab/service.hpp"

namespace barrowrun::lab {

struct CloudSettings {
    std::string dir;             // holds one directory for each machine
    std::string worker;          // path of the barrowrun-worker program
    wire::Json worker_settings;  // settings shared by all workers
    wire::Json zones;            // for each zone, the controller addresses for its workers
    std::size_t warm = 0;        // machines that are available from the start
};

class CloudService {
  public:
    CloudService(net::asio::io_context& io, CloudModel model, CloudSettings settings);
    void listen(const std::string& address) { server_.listen(address); }
    void start();
    void kill_all();  // kills the worker and the tasks of every machine

  private:
    struct RunningMachine {
        std::shared_ptr<Child> child;
        bool ending = false;
    };
    Task<net::Response> route(net::Request request);
    net::Response inject_machine_fault(const wire::Json& body);
    net::Response inject_zone_fault(const wire::Json& body);
    Task<> boot_loop();
    Task<> run_machine(std::string name);
    Task<> reclaim_later(std::string name, Clock::duration after);
    Task<> resume_later(std::string name, Clock::duration after);
    void kill_machine(const std::string& name);
    std::string machine_dir(const std::string& name) const { return settings_.dir + "/" + name; }
    void persist_state();
    net::asio::io_context& io_;
    CloudModel model_;
    CloudSettings settings_;
    Faults faults_;
    net::HttpServer server_;
    std::map<std::string, RunningMachine> running_;
    // Relays in front of the workers, by zone; empty if the site has a single zone.
    std::multimap<std::string, std::unique_ptr<Relay>> relays_by_zone_;
    std::mt19937 random_{std::random_device{}()};
};

}  // namespace barrowrun::lab
