#pragma once
// A pooled HTTP client with a deadline on every call.
#include <boost/beast.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "net/duties.hpp"
#include "wire/codec.hpp"

namespace barrowrun::net {

namespace beast = boost::beast;
namespace http = beast::http;
using wire::Json;

struct Reply {
    int status = 0;            // 0: no answer
    bool may_execute = false;  // without an answer: the request may have reached the other side, or still may
    Json body;
    bool garbage = false;  // an answer whose body could not be read
    std::optional<std::chrono::seconds> retry_after{};
};

class HttpClient {
  public:
    // `most_open` bounds all its connections: idle ones are closed for new ones, oldest first, and a call
    // beyond that waits its turn.
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

// `any_port`: to listen on; port 0 lets the system choose.
std::optional<asio::ip::tcp::endpoint> parse_endpoint(const std::string& address, bool any_port = false);

}  // namespace barrowrun::net
