#pragma once
// Carries out the actions that Machine decides on for attempts: reads task descriptions, runs steps in the
// attempt's private directory, publishes the outputs of successful attempts, and signals processes.
#include <map>
#include <memory>

#include "depot/depot.hpp"
#include "net/coroutines.hpp"
#include "worker/machine.hpp"
#include "worker/process.hpp"

namespace barrowrun::worker {

struct ExecutorSettings {
    std::string machine;
    std::string mark;  // environment mark by which the processes of this worker are found
    Clock::duration gang_peer = std::chrono::seconds(4);
    std::uint64_t output_bytes = 16 << 20;
};

class Executor : public std::enable_shared_from_this<Executor> {
  public:
    // Calls `changed` after each event that is passed to `machine`.
    Executor(net::asio::io_context& io, Machine& machine, depot::Depot depot, ExecutorSettings settings,
             std::function<void()> changed);
    void act();  // takes the pending actions of the machine and starts them
    // Kills the processes of all running attempts when the worker shuts down.
    void stop();

  private:
    struct RunningAttempt;
    void start_action(const Attempt& attempt, Action::Kind kind);
    Task<> fetch(Attempt attempt);
    Task<> wait_for_gang(Attempt attempt);
    Task<> run(Attempt attempt);
    Task<> monitor_gang(std::shared_ptr<RunningAttempt> running);
    // Runs one attempt, from creating its private directory to recording the final result of the task.
    // Returns true if the task's outputs are published.
    Task<bool> run_steps(std::shared_ptr<RunningAttempt> running, depot::Result& result);
    // Runs `work` on a thread of the pool. File operations that may take long go there, because heartbeats
    // must not wait for a disk.
    template <class F>
    Task<> run_in_pool(F work);

    net::asio::io_context& io_;
    Machine& machine_;
    depot::Depot depot_;
    ExecutorSettings settings_;
    std::function<void()> changed_;
    net::asio::thread_pool pool_{2};
    std::map<Attempt, std::shared_ptr<RunningAttempt>> running_;
};

}  // namespace barrowrun::worker
