#pragma once
// A whole site in one process and one thread: three real nodes on virtual time, and scripted state service,
// cloud, workers and users, with a checker of every rule. The same seed gives the same history.
#include "api/node.hpp"
#include "sim/services.hpp"
#include "sim/worker.hpp"

namespace barrowrun::sim {

inline constexpr std::size_t nodes = 3;  // controllers of every site

struct SiteOptions {
    std::uint64_t seed = 1;
    std::vector<std::string> zones{"a"};  // of the nodes and the machines, in turn
    std::size_t machines = 6, most_machines = 12;
    double lease_s = 12, cancel_s = 24, heartbeat_s = 3, boot_s = 20;
    double team_cpus_most = 0;  // limit of the team; 0: none
    bool keep_leases = true;
    double start_within_s = 0;  // aim of arrays; 0: none, and machines are rented late
    double state_rps = 300, state_write_rps = 120;
    std::size_t value_bytes = 32 * 1024;  // limit of the state service
};

class Site {
  public:
    explicit Site(SiteOptions options);
    ~Site();
    World world;
    Checker checker;

    // Nodes by number, from 0.
    std::string node_name(std::size_t i) const { return "barrow-" + std::to_string(i + 1); }
    void kill(std::size_t node, Nanos back_after);
    void freeze(std::size_t node, Nanos length) {
        if (processes_[node]) processes_[node]->frozen_until = world.now() + length;
    }
    // Whose name is on the leader key, as the state service has it; nothing: nobody's.
    std::optional<std::size_t> leader() const;
    // The process that leads: another one after each change, also if it is of the same node.
    std::optional<std::string> leading_process() const;
    std::size_t other(std::size_t node, std::size_t which = 0) const { return (node + 1 + which) % 3; }
    std::string history() const;  // what happened, in short; the same for the same seed
    StateServer& state() { return *state_; }
    CloudServer& cloud() { return *cloud_; }
    std::map<std::string, std::unique_ptr<Worker>>& workers() { return workers_; }
    Worker* worker_running(const std::string& job);
    std::vector<Worker*> live_workers();
    // What becomes of a machine: it dies, or the cloud takes it, with a notice or without.
    void lose_machine(const std::string& name);
    void take_machine(const std::string& name, std::optional<Nanos> notice);
    // From here on, jobs are looked for that wait although they could run.
    void watch_waiting();
    // Copies of heartbeats are kept until another node leads, and arrive then.
    void keep_reports_for_next(std::uint64_t one_in, Nanos length);

    // Users. A submission, a cancellation or a question is repeated as the protocol says, at any node.
    wire::JobSpec job(std::uint32_t tasks, double run_s, wire::JobKind kind = wire::JobKind::array);
    void submit(const wire::JobSpec& spec);
    void cancel(const std::string& id, std::optional<std::size_t> at_node = std::nullopt);
    // Of a job that its user was told is over: it may not be called cancelled if it was done.
    void cancel_when_over(const std::string& id);
    void submit_again(const std::string& id) { submit(jobs_.at(id)); }
    void ask(const std::string& id, std::size_t node);
    // Every job that isn't over is asked about, so often, from here on; of those that are over a few.
    void poll_all(Nanos period);
    // Questions at all nodes, again and again within milliseconds, and a repeated submission.
    void look_closely(const std::string& id);
    // Also right after each acceptance, end and confirmation.
    bool close_looks = false;
    std::function<void(const std::string&id)> on_accepted, on_cancelled, on_done;
    // A request with a body that is no job, or one that can never run: its answer is final, or 503.
    void submit_unsound(std::size_t kind);
    // Of the jobs that end one in so many is called off at that very moment.
    void cancel_at_end(std::uint64_t one_in, Nanos length);
    std::vector<std::string> jobs() const;  // accepted so far
    std::size_t zones() const { return options_.zones.size(); }
    const SiteOptions& options() const { return options_; }

    void run(Nanos length) { world.run_until(world.now() + length); }
    // Ends the history: what is broken, line by line; empty: nothing.
    std::string verdict(Nanos troubles_over);

  private:
    void start(std::size_t node);
    void add_worker(const lab::CloudModel::Machine& m);
    void request(std::size_t node, net::http::verb method, std::string target, Json body,
                 Clock::duration deadline, std::function<void(Reply)> done);
    void told(Checker::Asked what, const std::string& id, Nanos asked, const Reply& r);
    std::string public_address(std::size_t i) const { return node_name(i) + ":users"; }
    SiteOptions options_;
    settings::Settings settings_;
    std::unique_ptr<StateServer> state_;
    std::unique_ptr<CloudServer> cloud_;
    Gangs gangs_;
    std::vector<std::unique_ptr<Process>> processes_, ended_;
    std::vector<std::unique_ptr<settings::Settings>> node_settings_;
    std::vector<std::unique_ptr<api::Node>> nodes_;
    std::map<std::string, std::unique_ptr<Worker>> workers_;
    std::map<std::string, wire::JobSpec> jobs_;
    std::map<std::string, Nanos> polled_;
    std::vector<std::function<void()>> kept_reports_;
    std::uint64_t next_job_ = 0, answers_ = 0;
    std::size_t kills_ = 0;
};

}  // namespace barrowrun::sim
