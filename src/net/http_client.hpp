#pragma once
// An HTTP client with a connection pool and a deadline on every call.
#include <boost/beast.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "net/coroutines.hpp"
#include "wire/codec.hpp"

namespace barrowrun::net {

namespace beast = boost::beast;
namespace http = beast::http;
using wire::Json;

struct Reply {
    int status = 0;  // HTTP status; 0: no response
    // There was no response, but the server may have received the request or may yet receive it.
    bool may_execute = false;
    Json body;
    bool garbage = false;  // the response has a body that is not valid MessagePack
    std::optional<std::chrono::seconds> retry_after{};
};

class HttpClient {
  public:
    // `most_open` limits the client's connections. At the limit, a new connection replaces the idle one that
    // was used least recently; if none is idle, the call waits for a connection until its deadline.
    HttpClient(asio::io_context& io, std::size_t idle_per_peer = 4, std::size_t most_open = 10'000)
        : io_(io), idle_per_peer_(idle_per_peer), most_open_(std::max<std::size_t>(1, most_open)) {}
    Task<Reply> call(std::string address, http::verb method, std::string target, std::optional<Json> body,
                     Clock::duration deadline, std::size_t body_limit = 1 << 20);
    // Whether a connection to the address can be opened.
    Task<bool> reaches(std::string address, Clock::duration deadline);
    void forget(const std::string& address) { idle_.erase(address); }
    std::size_t open() const { return open_; }

  private:
    struct Connection {
        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        TimePoint used{};
        std::size_t& open;
        Connection(asio::io_context& io, std::size_t& n) : stream(io), open(n) { ++open; }
        ~Connection() { --open; }
    };
    asio::io_context& io_;
    std::size_t idle_per_peer_;
    void close_oldest_idle();
    std::size_t most_open_;
    std::size_t open_ = 0;
    std::map<std::string, std::vector<std::unique_ptr<Connection>>> idle_;
};

// Parses `<IP address>:<port>`. `any_port` allows port 0, with which the system chooses the port to listen
// on.
std::optional<asio::ip::tcp::endpoint> parse_endpoint(const std::string& address, bool any_port = false);

}  // namespace barrowrun::net
