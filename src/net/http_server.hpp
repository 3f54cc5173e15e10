#pragma once
// The HTTP server: a coroutine per connection, bounded bodies, bounded connections.
#include <boost/beast.hpp>
#include <functional>
#include <optional>
#include <string>

#include "net/duties.hpp"
#include "wire/codec.hpp"

namespace barrowrun::net {

namespace beast = boost::beast;
namespace http = beast::http;
using wire::Json;

struct Request {
    http::verb method;
    std::string target;
    std::string body;
};

struct Response {
    int status = 200;
    Json body = Json::object();
    int retry_after = 0;  // seconds; 0: not said
};

using Handler = std::function<Task<Response>(Request)>;

class HttpServer {
  public:
    HttpServer(asio::io_context& io, std::size_t max_connections) : io_(io), max_(max_connections) {}
    // Listens at once, and throws if it can't.
    void listen(const std::string& address);
    Task<> serve(Handler handler);
    std::size_t connections() const { return *count_; }

  private:
    asio::io_context& io_;
    std::size_t max_;
    std::shared_ptr<std::size_t> count_ = std::make_shared<std::size_t>(0);
    std::optional<asio::ip::tcp::acceptor> acceptor_;
};

}  // namespace barrowrun::net
