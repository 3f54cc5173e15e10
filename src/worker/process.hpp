#pragma once
// Runs a command as a child process in its own process group and captures its output.
#include <functional>

#include "net/coroutines.hpp"
#include "proc/spawn.hpp"

namespace barrowrun::worker {

using net::Task;

class Process {
  public:
    // Sets `command.output` to the pipe that captures the output. Throws std::system_error if the child
    // process cannot be started.
    Process(net::asio::io_context& io, proc::Spawn command);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;
    // Passes the output to the callback until the process ends, then kills the rest of its process group.
    // Returns the exit status, or the negated signal number.
    Task<int> wait(std::function<void(const char*, std::size_t)> output);
    void signal(int number) const;  // sent to the whole process group

  private:
    pid_t pid_ = -1;
    bool reaped_ = false;
    net::asio::posix::stream_descriptor pidfd_, output_;
};

}  // namespace barrowrun::worker
