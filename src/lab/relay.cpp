#include "lab/relay.hpp"

#include <array>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include "net/http_client.hpp"

namespace barrowrun::lab {
using namespace std::chrono_literals;
using net::asio::ip::tcp;

Relay::Relay(net::asio::io_context& io, const std::string& listen_address, const std::string& target_address)
    : io_(io), target_address_(target_address), acceptor_(io, net::parse_endpoint(listen_address).value()) {}

void Relay::start() {
    net::asio::co_spawn(io_, accept_loop(), [](std::exception_ptr e) {
        if (e) std::rethrow_exception(e);
    });
}

Task<> Relay::accept_loop() {
    for (;;) {
        boost::system::error_code error;
        auto socket =
            co_await acceptor_.async_accept(net::asio::redirect_error(net::asio::use_awaitable, error));
        if (error) {
            co_await net::sleep_for(20ms);
            continue;
        }
        net::asio::co_spawn(io_, relay_connection(std::move(socket)), net::asio::detached);
    }
}

Task<> Relay::apply_faults() {
    while (Clock::now() < cut_until_) co_await net::sleep_for(20ms);
    if (Clock::now() < slow_until_) co_await net::sleep_for(150ms);
}

Task<> Relay::forward(Socket& from, Socket& to) {
    std::array<char, 16384> buffer;
    boost::system::error_code error;
    for (;;) {
        auto bytes = co_await from.async_read_some(
            net::asio::buffer(buffer), net::asio::redirect_error(net::asio::use_awaitable, error));
        if (error) break;
        co_await apply_faults();
        co_await net::asio::async_write(to, net::asio::buffer(buffer.data(), bytes),
                                        net::asio::redirect_error(net::asio::use_awaitable, error));
        if (error) break;
    }
    co_await apply_faults();
    // One side has closed; the other is closed after the data in transit has been delivered.
    to.shutdown(tcp::socket::shutdown_send, error);
}

Task<> Relay::relay_connection(Socket accepted) {
    using namespace net::asio::experimental::awaitable_operators;
    boost::system::error_code error;
    accepted.set_option(tcp::no_delay(true), error);
    co_await apply_faults();
    Socket target(io_);
    co_await target.async_connect(net::parse_endpoint(target_address_).value(),
                                  net::asio::redirect_error(net::asio::use_awaitable, error));
    if (error) co_return;  // a failed connection to the target closes the accepted one
    target.set_option(tcp::no_delay(true), error);
    co_await (forward(accepted, target) && forward(target, accepted));
}

}  // namespace barrowrun::lab
