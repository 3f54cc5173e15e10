#pragma once
// A whole site on loopback: state service and cloud stand-ins, controllers, and workers as the cloud's
// machines. Processes that end are started again; faults are brought about on request.
#include <random>

#include "lab/child.hpp"
#include "lab/relay.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace barrowrun::lab {

struct SiteSettings {
    std::string dir, programs;  // programs: where barrowrun, barrowrun-worker and barrowrun-lab are
    int controllers = 3, machines = 4;
    double cpus = 2, mem_gb = 4, gpus = 0;
    bool relays = false;  // so that ways can be cut and slowed
    // Controllers and machines in turn. With several, ways between them lead through relays, so that a zone
    // can be cut off from everything outside and goes on inside. State service, cloud and users belong to no
    // zone.
    std::vector<std::string> zones{"lab"};
    double heartbeat_s = 1, lease_s = 8, hold_s = 2;
    std::string team = "lab";
    // One of several cells: its name, and where all of them keep what users and workers share.
    std::string cell, depot;
    double spill_after_s = 2;
    double return_after_s = 0;       // of the class `batch`; 0: its parts stay where they are
    std::string operators;           // JSON: more of the operator's settings
    std::vector<std::string> teams;  // besides `team`, as NAME[:CPUS[:CPUS_MAX]]
    Clock::duration controller_back = std::chrono::seconds(1), state_back = std::chrono::milliseconds(500);
};

class Site {
  public:
    Site(net::asio::io_context& io, SiteSettings settings);
    // Chooses addresses, so that other cells can be told of them. `start` does it otherwise.
    void allocate();
    const std::vector<std::string>& internal() const { return internal_; }
    // Another cell, before the start; ways there lead through relays, which faults name `cell:NAME`.
    void add_neighbour(const std::string& name, const std::vector<std::string>& nodes);
    // Starts everything; throws if something can't be.
    void start();
    // Once the nodes answer from the state service and know the machine types. False: not within the time.
    Task<bool> ready(Clock::duration most);
    void stop();  // kills everything, also what tasks have left
    const std::vector<std::string>& nodes() const { return nodes_; }  // users' addresses
    std::string depot() const { return settings_.depot.empty() ? settings_.dir + "/depot" : settings_.depot; }
    std::string control() const { return control_.address(); }
    std::map<std::string, std::string> environment() const;

  private:
    struct Part {
        Child::What what;
        std::shared_ptr<Child> child;
        Clock::duration back;
    };
    Task<> keep(std::string name);
    Task<net::Response> route(net::Request request);
    Task<net::Response> fault(wire::Json body);
    Task<> resume_later(std::string name, Clock::duration after);
    Task<std::string> leader();
    // The address in front of it: a relay that a fault can name in any of these ways, or, where no relay is
    // wanted, itself.
    std::string way(const std::vector<std::string>& names, const std::string& to, bool between_zones);
    std::string way_between(const std::string& name, const std::string& from, const std::string& to_zone,
                            const std::string& to);
    const std::string& zone_of(int controller) const {
        return settings_.zones[static_cast<std::size_t>(controller) % settings_.zones.size()];
    }
    void write_controller(int i);
    void write_cloud();
    net::asio::io_context& io_;
    SiteSettings settings_;
    net::HttpServer control_;
    net::HttpClient client_;
    std::map<std::string, Part> parts_;
    std::multimap<std::string, std::shared_ptr<Relay>> relays_;  // by what they lead to, and by zone
    std::vector<std::string> nodes_, public_, internal_;         // as others see them; as they listen
    std::string state_, cloud_;
    bool stopping_ = false;
    wire::Json neighbours_ = wire::Json::object();
    std::mt19937 random_{std::random_device{}()};
};

}  // namespace barrowrun::lab
