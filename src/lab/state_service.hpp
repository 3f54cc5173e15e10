#pragma once
// The simulated state service as a process: an HTTP interface to StateStore.
#include "lab/service.hpp"
#include "lab/state_store.hpp"

namespace barrowrun::lab {

class StateService {
  public:
    StateService(net::asio::io_context& io, const std::string& file, StateLimits limits);
    void listen(const std::string& address) { server_.listen(address); }
    std::string address() const { return server_.address(); }
    void start();

  private:
    Task<net::Response> route(net::Request request);
    Task<net::Response> follow(Target target);
    Task<> expire_loop();
    void wake_watches();
    net::asio::io_context& io_;
    StateStore store_;
    Faults faults_;
    net::HttpServer server_;
    std::shared_ptr<net::asio::steady_timer> change_;  // cancelled at every change to wake all watches
};

}  // namespace barrowrun::lab
