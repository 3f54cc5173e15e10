#pragma once
// A complete site on the loopback interface: simulated state service and cloud, controllers, and workers as
// the machines of the cloud. Processes that exit are restarted; faults are injected on request.
#include <random>

#include "lab/child.hpp"
#include "lab/relay.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace barrowrun::lab {

struct SiteSettings {
    std::string dir, programs;  // `programs`: directory of barrowrun, barrowrun-worker and barrowrun-lab
    int controllers = 3, machines = 4;
    double cpus = 2, mem_gb = 4, gpus = 0;
    bool relays = false;  // connections go through relays, so that they can be cut and slowed
    // Controllers and machines are assigned to the zones in turn. With several zones, connections between
    // zones go through relays, so that a zone can be isolated from everything outside while connections
    // inside it keep working. The state service, the cloud and the users belong to no zone.
    std::vector<std::string> zones{"lab"};
    double heartbeat_s = 1, lease_s = 8, leader_hold_s = 2;
    std::string team = "lab";
    // For a site that is one of several cells: the name of the cell, and the depot directory that all cells
    // share.
    std::string cell, depot;
    double spill_after_s = 2;
    // For jobs of class `batch`: seconds without contact after which shards at another cell are reclaimed; 0:
    // never.
    double return_after_s = 0;
    std::string operator_file;       // JSON file with additional operator settings
    std::vector<std::string> teams;  // additional to `team`, as NAME[:CPUS[:CPUS_MAX]]
    // Delays before a process that has exited is restarted.
    Clock::duration controller_restart_delay = std::chrono::seconds(1),
                    state_restart_delay = std::chrono::milliseconds(500);
};

class Site {
  public:
    Site(net::asio::io_context& io, SiteSettings settings);
    // Chooses the controller addresses early, so that other cells can be configured with them. Otherwise
    // `start` chooses them.
    void allocate_addresses();
    const std::vector<std::string>& internal_addresses() const { return internal_addresses_; }
    // Adds another cell; must be called before `start`. Connections to it go through relays, which faults
    // address as `cell:NAME`.
    void add_neighbour(const std::string& name, const std::vector<std::string>& nodes);
    // Starts all processes. Throws if one cannot be started.
    void start();
    // Waits until all nodes answer from the state service, the machine catalog is stored, and there is a
    // leader. Returns false after the timeout.
    Task<bool> ready(Clock::duration timeout);
    void stop();  // kills all processes, including those that tasks have left running
    const std::vector<std::string>& nodes() const { return nodes_; }  // node addresses for users
    std::string depot() const { return settings_.depot.empty() ? settings_.dir + "/depot" : settings_.depot; }
    std::string control() const { return control_.address(); }
    std::map<std::string, std::string> environment() const;

  private:
    struct SupervisedProcess {
        Child::Command command;
        std::shared_ptr<Child> child;
        Clock::duration restart_delay;
    };
    Task<> supervise(std::string name);
    Task<net::Response> route(net::Request request);
    Task<net::Response> inject_fault(wire::Json body);
    Task<> resume_later(std::string name, Clock::duration after);
    Task<std::string> leader();
    // Returns the address through which `to` is reached: that of a new relay, which faults can address by any
    // of `names`, or `to` itself if no relay is needed.
    std::string reachable_address(const std::vector<std::string>& names, const std::string& to,
                                  bool between_zones);
    std::string address_between_zones(const std::string& name, const std::string& from,
                                      const std::string& to_zone, const std::string& to);
    const std::string& zone_of(int controller) const {
        return settings_.zones[static_cast<std::size_t>(controller) % settings_.zones.size()];
    }
    void write_controller(int i);
    void write_cloud();
    net::asio::io_context& io_;
    SiteSettings settings_;
    net::HttpServer control_;
    net::HttpClient client_;
    std::map<std::string, SupervisedProcess> processes_;
    std::multimap<std::string, std::shared_ptr<Relay>> relays_;  // by target and by zone
    // Addresses of the controllers: nodes_ as users reach them, the other two as the controllers listen.
    std::vector<std::string> nodes_, public_addresses_, internal_addresses_;
    std::string state_, cloud_;
    bool stopping_ = false;
    wire::Json neighbours_ = wire::Json::object();
    std::mt19937 random_{std::random_device{}()};
};

}  // namespace barrowrun::lab
