#pragma once
// The world of a simulated site: events in the order of virtual time, processes that each run real code on a
// loop of their own, and a network between them that loses, holds and refuses by script.
#include <functional>
#include <list>
#include <map>
#include <random>
#include <set>
#include <string>

#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "sim/digest.hpp"

namespace barrowrun::sim {

using namespace std::chrono_literals;
using net::Reply;
using net::Response;
using wire::Json;

struct Request {
    std::string from;  // who asks, by name
    net::http::verb method = net::http::verb::get;
    std::string target;
    Json body = Json::object();
    std::size_t bytes = 0;  // of the body
};
using Answer = std::function<void(Response)>;
using Server = std::function<void(Request, Answer)>;

// A process: its loop, its clocks, and what it listens to.
struct Process {
    std::string name;
    asio::io_context io{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
    double rate = 1;
    Nanos day_off{0};
    bool dead = false;
    Nanos frozen_until{0};  // it stands still while its clocks run on
    std::map<std::string, net::Handler> listens;
    explicit Process(std::string n) : name(std::move(n)) {}
};

// What becomes of messages between two.
struct Fault {
    enum class Kind { drop, hold, refuse } kind = Kind::drop;
    Nanos until{0};
    std::function<bool(const std::string& from, const std::string& to)> hits;
    bool requests_only = false;  // answers to requests of the other side pass
};

class World {
  public:
    explicit World(std::uint64_t seed);
    ~World();
    static World& current();
    Nanos now() const { return Present::now; }
    std::mt19937_64 random;
    bool one_in(std::uint64_t n) { return random() % n == 0; }
    double between(double least, double most) {
        return least + (most - least) * static_cast<double>(random() % 1'000'001) / 1e6;
    }
    void at(Nanos when, std::function<void()> event);
    void after(Nanos d, std::function<void()> event) { at(now() + d, std::move(event)); }
    void every(Nanos period, std::function<bool()> event);  // until it says false
    void run_until(Nanos when);
    std::uint64_t events() const { return events_; }

    void add(Process& p) { processes_[&p.io] = &p; }
    // Everything that waits for the process is destroyed, and it is never run again.
    void end(Process& p);
    Process& process_of(asio::io_context& io) { return *processes_.at(&io); }

    // Scripted peers listen by address; `name` is what faults know them by.
    void serve(const std::string& address, const std::string& name, Server server);
    void stop_serving(const std::string& address) { servers_.erase(address); }
    void listen(asio::io_context& io, const std::string& address, net::Handler handler);
    // An answer, or none within the deadline, is told once.
    void send(Request request, const std::string& address, Clock::duration deadline,
              std::function<void(Reply)> done);
    void fault(Fault f) { faults_.push_back(std::move(f)); }
    // Cuts the two off from each other, whoever asks.
    void cut(const std::string& one, const std::string& other, Nanos length, Fault::Kind kind);
    // Every message takes up to so much longer.
    void slow_links(Nanos by, Nanos length) { slow_by_ = by, slow_until_ = now() + length; }

    // What goes over the wire and what the state service does; tests/sim/digest.hpp says what for.
    HistoryDigest& digest() { return digest_; }

    std::uint64_t wait(Nanos due, asio::io_context& io, std::unique_ptr<Completion> completion);
    void end_wait(std::uint64_t id, boost::system::error_code ec);

  private:
    struct Event {
        std::function<void()> scripted;
        std::unique_ptr<Completion> completion;
        asio::io_context* io = nullptr;
    };
    struct Listener {
        std::string name;
        Server server;
        Process* process = nullptr;
    };
    std::uint64_t put(Nanos due, Event e);
    void pump();
    bool run(Process& p);
    enum class Direction { request, answer };
    const Fault* fault_between(const std::string& from, const std::string& to, Direction direction) const;
    Nanos latency(const std::string& from, const std::string& to);
    void record(std::string_view kind, const Request& request, const std::string& address);
    void deliver(Request request, const std::string& address, std::function<void(Reply)> done);
    HistoryDigest digest_;
    Nanos slow_by_{0}, slow_until_{0};
    std::mt19937_64 network_;  // apart: a script's draws don't move with the number of messages
    std::map<std::pair<Nanos, std::uint64_t>, Event> queue_;
    std::map<std::uint64_t, Nanos> due_;
    std::uint64_t next_ = 1, events_ = 0;
    std::map<asio::io_context*, Process*> processes_;
    std::set<Process*> touched_;
    std::map<std::string, Listener> servers_;
    std::list<Fault> faults_;
};

}  // namespace barrowrun::sim
