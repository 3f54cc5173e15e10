#pragma once
// The HTTP server: one coroutine per connection, with limits on body size and on the number of connections.
#include <boost/beast.hpp>
#include <functional>
#include <optional>
#include <string>

#include "net/connection_limiter.hpp"
#include "net/coroutines.hpp"
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
    int retry_after = 0;  // seconds, sent as the Retry-After header; 0: no such header
};

using Handler = std::function<Task<Response>(Request)>;
using Classify = std::function<Caller(const Request&)>;

// Time limits of a connection: until the first byte of its first request (`first`), between two requests
// (`idle`), for reading a started request (`request`) and for writing the response (`answer`). The limit on a
// started request is a few seconds, because without it a peer that sent half a header and stopped held its
// connection for two minutes.
struct ServerTimes {
    std::chrono::seconds first{30}, request{10}, idle{120}, answer{10};
};

class HttpServer {
  public:
    HttpServer(asio::io_context& io, std::size_t max_connections, ServerTimes times = {});
    // Binds the address and starts listening. Throws if that fails.
    void listen(const std::string& address);
    // Accepts connections and serves requests. `classify` tells user requests from system requests; without
    // it, every request counts as a system request.
    Task<> serve(Handler handler, Classify classify = {});
    std::size_t connections() const;
    std::string address() const;  // the address that the server listens on, with the actual port

  private:
    asio::io_context& io_;
    struct Shared;
    static Task<> connection(asio::ip::tcp::socket socket, std::shared_ptr<Shared> shared,
                             ConnectionLimiter::Id id);
    std::shared_ptr<Shared> shared_;
    std::optional<asio::ip::tcp::acceptor> acceptor_;
};

}  // namespace barrowrun::net
