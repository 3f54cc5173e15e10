#include "net/http_server.hpp"

#include <unordered_map>

#include "net/http_client.hpp"

namespace barrowrun::net {

struct HttpServer::Shared {
    ConnectionLimiter limiter;
    ServerTimes times;
    Handler handler;
    Classify classify;
    std::unordered_map<ConnectionLimiter::Id, beast::tcp_stream*> streams;
    Shared(std::size_t most, ServerTimes t) : limiter(most), times(t) {}
    void close(const std::optional<ConnectionLimiter::Id>& id) {
        if (!id) return;
        auto it = streams.find(*id);
        if (it == streams.end()) return;
        boost::system::error_code ec;
        it->second->socket().close(ec);
    }
};

HttpServer::HttpServer(asio::io_context& io, std::size_t max_connections, ServerTimes times)
    : io_(io), shared_(std::make_shared<Shared>(max_connections, times)) {}

std::size_t HttpServer::connections() const {
    return shared_->limiter.size();
}

std::string HttpServer::address() const {
    auto at = acceptor_->local_endpoint();
    return at.address().to_string() + ":" + std::to_string(at.port());
}

Task<> HttpServer::connection(asio::ip::tcp::socket socket, std::shared_ptr<Shared> shared,
                              ConnectionLimiter::Id id) {
    beast::tcp_stream stream(std::move(socket));
    struct Present {
        Shared& shared;
        ConnectionLimiter::Id id;
        Present(Shared& s, ConnectionLimiter::Id i, beast::tcp_stream* at) : shared(s), id(i) {
            s.streams[i] = at;
        }
        ~Present() {
            shared.streams.erase(id);
            shared.limiter.left(id);
        }
    } present(*shared, id, &stream);
    beast::flat_buffer buffer;
    boost::system::error_code ec;
    stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
    bool first = true;
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(wire::max_body);
        parser.header_limit(8 * 1024);
        if (buffer.size() == 0) {
            stream.expires_after(first ? shared->times.first : shared->times.idle);
            auto n = co_await stream.async_read_some(buffer.prepare(4096),
                                                     asio::redirect_error(asio::use_awaitable, ec));
            if (ec) break;
            buffer.commit(n);
        }
        first = false;
        stream.expires_after(shared->times.request);
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
            auto verdict =
                shared->limiter.request(id, shared->classify ? shared->classify(request) : Caller::system);
            shared->close(verdict.evict);
            stream.expires_never();
            if (!verdict.serve) {
                answer = {503, {{"error", "too many connections"}}, 1};
                keep = false;
            } else {
                try {
                    answer = co_await shared->handler(std::move(request));
                } catch (const std::exception& e) {
                    spdlog::error("HTTP request handler failed, answering 503: {}", e.what());
                    answer = {503, {{"error", "internal"}}, 1};
                }
            }
        }
        http::response<http::string_body> response{static_cast<http::status>(answer.status), 11};
        response.set(http::field::content_type, "application/msgpack");
        if (answer.retry_after > 0)
            response.set(http::field::retry_after, std::to_string(answer.retry_after));
        response.body() = wire::encode(answer.body);
        response.keep_alive(keep);
        response.prepare_payload();
        stream.expires_after(shared->times.answer);
        co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, ec));
        if (ec || !keep) break;
        shared->limiter.answered(id);
    }
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ec);
}

void HttpServer::listen(const std::string& address) {
    auto endpoint = parse_endpoint(address, true);
    if (!endpoint)
        throw std::runtime_error("listen address: expected an IP address and a port, found '" + address +
                                 "'");
    acceptor_.emplace(io_);
    acceptor_->open(endpoint->protocol());
    acceptor_->set_option(asio::socket_base::reuse_address(true));
    acceptor_->bind(*endpoint);
    acceptor_->listen(256);
}

Task<> HttpServer::serve(Handler handler, Classify classify) {
    shared_->handler = std::move(handler);
    shared_->classify = std::move(classify);
    for (;;) {
        boost::system::error_code ec;
        auto socket = co_await acceptor_->async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            // The process is out of sockets, or the peer closed the connection before it was accepted: retry
            // after a short pause.
            co_await sleep_for(std::chrono::milliseconds(20));
            continue;
        }
        auto peer = socket.remote_endpoint(ec);
        if (ec) continue;
        auto arrival = shared_->limiter.arrive(peer.address().to_string());
        shared_->close(arrival.evict);
        if (!arrival.id) continue;  // the socket closes, and the load balancer tries another node
        asio::co_spawn(io_, connection(std::move(socket), shared_, *arrival.id), asio::detached);
    }
}

}  // namespace barrowrun::net
