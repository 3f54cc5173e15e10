#include "lab/relay.hpp"

#include <array>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include "net/http_client.hpp"

namespace barrowrun::lab {
using namespace std::chrono_literals;
using net::asio::ip::tcp;

Relay::Relay(net::asio::io_context& io, const std::string& front, const std::string& back)
    : io_(io), back_(back), acceptor_(io, net::parse_endpoint(front).value()) {}

void Relay::start() {
    net::asio::co_spawn(io_, accept_loop(), [](std::exception_ptr e) {
        if (e) std::rethrow_exception(e);
    });
}

Task<> Relay::accept_loop() {
    for (;;) {
        boost::system::error_code ec;
        auto socket =
            co_await acceptor_.async_accept(net::asio::redirect_error(net::asio::use_awaitable, ec));
        if (ec) {
            co_await net::sleep_for(20ms);
            continue;
        }
        net::asio::co_spawn(io_, carry(std::move(socket)), net::asio::detached);
    }
}

Task<> Relay::pass() {
    while (Clock::now() < cut_until_) co_await net::sleep_for(20ms);
    if (Clock::now() < slow_until_) co_await net::sleep_for(150ms);
}

Task<> Relay::pump(Socket& from, Socket& to) {
    std::array<char, 16384> part;
    boost::system::error_code ec;
    for (;;) {
        auto n = co_await from.async_read_some(net::asio::buffer(part),
                                               net::asio::redirect_error(net::asio::use_awaitable, ec));
        if (ec) break;
        co_await pass();
        co_await net::asio::async_write(to, net::asio::buffer(part.data(), n),
                                        net::asio::redirect_error(net::asio::use_awaitable, ec));
        if (ec) break;
    }
    co_await pass();
    // One side has ended: so does the other, after what was under way.
    to.shutdown(tcp::socket::shutdown_send, ec);
}

Task<> Relay::carry(Socket front) {
    using namespace net::asio::experimental::awaitable_operators;
    boost::system::error_code ec;
    front.set_option(tcp::no_delay(true), ec);
    co_await pass();
    Socket back(io_);
    co_await back.async_connect(net::parse_endpoint(back_).value(),
                                net::asio::redirect_error(net::asio::use_awaitable, ec));
    if (ec) co_return;  // refused there is refused here
    back.set_option(tcp::no_delay(true), ec);
    co_await (pump(front, back) && pump(back, front));
}

}  // namespace barrowrun::lab
