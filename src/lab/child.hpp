#pragma once
// A long-lived child process: its output goes to a file, and it ends with its parent.
#include "net/duties.hpp"
#include "proc/spawn.hpp"

namespace barrowrun::lab {

using net::Task;

class Child {
  public:
    struct What {
        std::vector<std::string> argv;
        std::string log;  // appended to; empty: it shares our terminal
        std::map<std::string, std::string> env;
        bool own_group = true;
    };
    // Throws std::system_error.
    Child(net::asio::io_context& io, const What& what);
    ~Child();  // kills it
    Child(const Child&) = delete;
    Child& operator=(const Child&) = delete;
    bool alive() const { return !reaped_; }
    void signal(int number) const;
    Task<int> wait();  // exit status, or 128 + the signal

  private:
    pid_t pid_ = -1;
    bool reaped_ = false;
    net::asio::posix::stream_descriptor pidfd_;
};

// A loopback address whose port was free just now.
std::string free_address();

}  // namespace barrowrun::lab
