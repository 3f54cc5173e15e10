#pragma once
// Carries out what the machine decides about attempts: reads descriptions, runs steps in their private
// directory, makes a success final, ends what is to be ended.
#include <map>
#include <memory>

#include "depot/depot.hpp"
#include "net/duties.hpp"
#include "worker/machine.hpp"
#include "worker/process.hpp"

namespace barrowrun::worker {

struct ExecutorSettings {
    std::string machine, mark;
    Clock::duration gang_peer = std::chrono::seconds(4);
    std::uint64_t output_bytes = 16 << 20;
};

class Executor : public std::enable_shared_from_this<Executor> {
  public:
    // `changed` is called after each event that the machine was told of.
    Executor(net::asio::io_context& io, Machine& machine, depot::Depot depot, ExecutorSettings settings,
             std::function<void()> changed);
    void act();  // takes the machine's actions and starts carrying them out
    // Orderly end: kills what runs.
    void stop();

  private:
    struct Running;
    void begin(const Attempt& a, Action::Kind kind);
    Task<> fetch(Attempt a);
    Task<> meet(Attempt a);
    Task<> run(Attempt a);
    Task<> hold_gang(std::shared_ptr<Running> r);
    // One attempt from its directory to its final answer. True: the task is done.
    Task<bool> steps(std::shared_ptr<Running> r, depot::Result& result);
    // File operations that may take long go to a thread of their own: heartbeats must not wait for a disk.
    template <class F>
    Task<> aside(F work);

    net::asio::io_context& io_;
    Machine& machine_;
    depot::Depot depot_;
    ExecutorSettings settings_;
    std::function<void()> changed_;
    net::asio::thread_pool pool_{2};
    std::map<Attempt, std::shared_ptr<Running>> running_;
};

}  // namespace barrowrun::worker
