#pragma once
// A long-lived child process whose output goes to a file and that is killed when its parent ends.
#include "net/coroutines.hpp"
#include "proc/spawn.hpp"

namespace barrowrun::lab {

using net::Task;

class Child {
  public:
    struct Command {
        std::vector<std::string> argv;
        std::string log;  // file that the output is appended to; empty: the child shares the terminal
        std::map<std::string, std::string> env;
        bool own_group = true;
    };
    // Starts the process. Throws std::system_error if that fails.
    Child(net::asio::io_context& io, const Command& command);
    ~Child();  // kills the process if it is still running
    Child(const Child&) = delete;
    Child& operator=(const Child&) = delete;
    bool alive() const { return !reaped_; }
    void signal(int number) const;
    Task<int> wait();  // returns the exit status, or 128 plus the signal number

  private:
    pid_t pid_ = -1;
    bool reaped_ = false;
    net::asio::posix::stream_descriptor pidfd_;
};

// Returns a loopback address with a port that was free at the time of the call.
std::string free_address();

}  // namespace barrowrun::lab
