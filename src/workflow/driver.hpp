#pragma once
// Drives a flow: does the I/O that its decisions ask for, and keeps the journal. A task's final answer stands
// in the depot, where it is decided once; the controllers say what has failed for good.
#include <functional>
#include <memory>
#include <set>

#include "client/client.hpp"
#include "depot/depot.hpp"
#include "workflow/flow.hpp"
#include "workflow/journal.hpp"

namespace barrowrun::workflow {

using net::Task;

// What became of a node, for people.
struct NodeReport {
    const Node* node = nullptr;
    State state = State::done;
    std::string job, why;  // why: of a failure
    std::optional<depot::Result> result;
    Seconds took{};
};

struct DriverSettings {
    std::string dir, team;
    FlowOptions options;
    bool changed_recipes = false;
    Clock::duration poll = std::chrono::seconds(1);
};

class Driver {
  public:
    Driver(net::asio::io_context& io, client::JobService& service, depot::Depot depot, Journal& journal,
           Rules& rules, FlowRecord flow, DriverSettings settings);
    std::function<void(const NodeReport&)> on_report;
    std::function<void(const Counts&)> on_counts;
    std::function<void(const std::string&)> on_note;  // something for people to know, a line
    // Until the flow is over; its state then. Throws what keeps it from being driven at all.
    Task<FlowState> run();
    void cancel();  // all of it, also what runs

  private:
    struct Started {
        NodeId node;
        std::string job;
        Work work;
        wire::JobSpec spec;
        TimePoint since{};
        TimePoint asked{};
        bool submitted = false, concluding = false;
        int eager = 0;  // polls to come soon, after a hint
    };
    using Handle = std::shared_ptr<Started>;
    void resume();
    void act();
    Facts look(NodeId n);
    Facts judge(NodeId n);
    void prepare(NodeId n, std::vector<Handle>& batch);
    Task<> begin(std::vector<Handle> batch);
    void put_on_record(const std::vector<Handle>& batch);
    Task<> stop_job(std::string job);
    Task<> submit(Handle s);
    Task<> watch();
    Task<> sweep();
    Task<> poll(Handle s);
    void conclude(Handle s);                      // if its final answer is there
    void fail(Handle s, const std::string& why);  // no answer will come: it is given up
    void finish(Handle s, bool success, const std::string& why);
    void remove(NodeId n);
    std::string key(NodeId n) const { return keys_[n]; }
    std::string path(const std::string& file) const;
    net::asio::io_context& io_;
    client::JobService& service_;
    depot::Depot depot_;
    Journal& journal_;
    Rules& rules_;
    FlowRecord record_;
    DriverSettings settings_;
    Flow flow_;
    net::CoroutineGroup coroutines_;
    net::Signal changed_;
    net::asio::thread_pool pool_{4};
    std::vector<std::string> keys_;
    std::map<std::string, Handle> running_;  // by job
    std::map<std::string, std::string> known_recipes_, jobs_on_record_;
    std::map<NodeId, Facts> judged_;  // what was seen at the first of nodes that are judged together
    std::exception_ptr broken_;
    bool cancelled_ = false;
    int cancelling_ = 0;  // cancellations that have no answer yet
};

}  // namespace barrowrun::workflow
