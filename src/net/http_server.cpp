#include "net/http_server.hpp"

#include "net/http_client.hpp"

namespace barrowrun::net {
namespace {

struct Counted {
    std::shared_ptr<std::size_t> count;
    explicit Counted(std::shared_ptr<std::size_t> c) : count(std::move(c)) { ++*count; }
    Counted(Counted&& o) noexcept : count(std::move(o.count)) {}
    ~Counted() {
        if (count) --*count;
    }
};

Task<> connection(asio::ip::tcp::socket socket, std::shared_ptr<Handler> handler,
                  [[maybe_unused]] Counted counted) {
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    boost::system::error_code ec;
    stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(wire::max_body);
        parser.header_limit(8 * 1024);
        stream.expires_after(std::chrono::seconds(120));
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
        Response answer;
        bool keep = false;
        if (ec == http::error::body_limit || ec == http::error::header_limit) {
            answer.status = 400;
            answer.body = {{"error", "the request is too large"}};
        } else if (ec) {
            break;
        } else {
            keep = parser.get().keep_alive();
            Request request{parser.get().method(), std::string(parser.get().target()),
                            std::move(parser.get().body())};
            stream.expires_never();
            try {
                answer = co_await (*handler)(std::move(request));
            } catch (const std::exception& e) {
                spdlog::error("a request failed: {}", e.what());
                answer = {503, {{"error", "internal"}}, 1};
            }
        }
        http::response<http::string_body> response{static_cast<http::status>(answer.status), 11};
        response.set(http::field::content_type, "application/msgpack");
        if (answer.retry_after > 0)
            response.set(http::field::retry_after, std::to_string(answer.retry_after));
        response.body() = wire::encode(answer.body);
        response.keep_alive(keep);
        response.prepare_payload();
        stream.expires_after(std::chrono::seconds(10));
        co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, ec));
        if (ec || !keep) break;
    }
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ec);
}

}  // namespace

void HttpServer::listen(const std::string& address) {
    auto endpoint = parse_endpoint(address);
    if (!endpoint) throw std::runtime_error("not an address: " + address);
    acceptor_.emplace(io_);
    acceptor_->open(endpoint->protocol());
    acceptor_->set_option(asio::socket_base::reuse_address(true));
    acceptor_->bind(*endpoint);
    acceptor_->listen(256);
}

Task<> HttpServer::serve(Handler handler) {
    auto shared = std::make_shared<Handler>(std::move(handler));
    for (;;) {
        boost::system::error_code ec;
        auto socket = co_await acceptor_->async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            // Out of sockets, or a connection that ended while it waited: go on shortly.
            co_await sleep_for(std::chrono::milliseconds(20));
            continue;
        }
        if (*count_ >= max_) continue;  // closes it: the load balancer moves on to another node
        asio::co_spawn(io_, connection(std::move(socket), shared, Counted(count_)), asio::detached);
    }
}

}  // namespace barrowrun::net
