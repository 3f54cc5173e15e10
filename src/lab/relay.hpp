#pragma once
// A way between two processes that can be cut and slowed: what is under way is held, and delivered in order
// afterwards, as an interrupted network would.
#include <list>
#include <string>

#include "net/duties.hpp"

namespace barrowrun::lab {

using net::Task;

class Relay {
  public:
    // Listens on `front` at once; connects to `back` for each connection. Throws if it can't listen.
    Relay(net::asio::io_context& io, const std::string& front, const std::string& back);
    void start();
    void cut(TimePoint until) { cut_until_ = until; }
    void slow(TimePoint until) { slow_until_ = until; }

  private:
    using Socket = net::asio::ip::tcp::socket;
    Task<> accept_loop();
    Task<> carry(Socket front);
    Task<> pump(Socket& from, Socket& to);
    Task<> pass();
    net::asio::io_context& io_;
    std::string back_;
    net::asio::ip::tcp::acceptor acceptor_;
    TimePoint cut_until_{}, slow_until_{};
};

}  // namespace barrowrun::lab
