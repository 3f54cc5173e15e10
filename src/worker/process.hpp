#pragma once
// A command as a child process in a process group of its own, its output captured.
#include <functional>

#include "net/duties.hpp"
#include "proc/spawn.hpp"

namespace barrowrun::worker {

using net::Task;

class Process {
  public:
    // `what.output` is set here. Throws std::system_error if there can be no child.
    Process(net::asio::io_context& io, proc::Spawn what);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;
    // Hands on what it writes, until it ends; then the rest of its group is ended too. Gives the exit status,
    // or the signal's number, negative.
    Task<int> wait(std::function<void(const char*, std::size_t)> output);
    void signal(int number) const;  // to the whole group

  private:
    pid_t pid_ = -1;
    bool reaped_ = false;
    net::asio::posix::stream_descriptor pidfd_, out_;
};

}  // namespace barrowrun::worker
