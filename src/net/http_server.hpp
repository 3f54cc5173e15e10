#pragma once
// The HTTP server: a coroutine per connection, bounded bodies, bounded connections.
#include <boost/beast.hpp>
#include <functional>
#include <optional>
#include <string>

#include "net/duties.hpp"
#include "net/rooms.hpp"
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
using Classify = std::function<Caller(const Request&)>;

// How long a connection may take, by what it is doing. A started request has seconds: half a header kept a
// connection for two minutes once.
struct ServerTimes {
    std::chrono::seconds first{30}, request{10}, idle{120}, answer{10};
};

class HttpServer {
  public:
    HttpServer(asio::io_context& io, std::size_t max_connections, ServerTimes times = {});
    // Listens at once, and throws if it can't.
    void listen(const std::string& address);
    // `classify`: who asks; without it, nobody is a user.
    Task<> serve(Handler handler, Classify classify = {});
    std::size_t connections() const;
    std::string address() const;  // where it listens

  private:
    asio::io_context& io_;
    struct Shared;
    static Task<> connection(asio::ip::tcp::socket socket, std::shared_ptr<Shared> shared, Rooms::Id id);
    std::shared_ptr<Shared> shared_;
    std::optional<asio::ip::tcp::acceptor> acceptor_;
};

}  // namespace barrowrun::net
