#pragma once
// A TCP relay between two processes that simulates network faults. During a cut it holds the data in transit
// and delivers it in order afterwards, as TCP does after a network interruption; when slowed it delays the
// data.
#include <list>
#include <string>

#include "net/coroutines.hpp"

namespace barrowrun::lab {

using net::Task;

class Relay {
  public:
    // Listens on `listen_address` immediately, and connects to `target_address` for each accepted connection.
    // Throws if it cannot listen.
    Relay(net::asio::io_context& io, const std::string& listen_address, const std::string& target_address);
    void start();
    void cut(TimePoint until) { cut_until_ = until; }
    void slow(TimePoint until) { slow_until_ = until; }

  private:
    using Socket = net::asio::ip::tcp::socket;
    Task<> accept_loop();
    Task<> relay_connection(Socket accepted);
    Task<> forward(Socket& from, Socket& to);
    Task<> apply_faults();
    net::asio::io_context& io_;
    std::string target_address_;
    net::asio::ip::tcp::acceptor acceptor_;
    TimePoint cut_until_{}, slow_until_{};
};

}  // namespace barrowrun::lab
