#include "net/http_client.hpp"

#include <charconv>

namespace barrowrun::net {

void HttpClient::close_oldest_idle() {
    auto oldest = idle_.end();
    for (auto it = idle_.begin(); it != idle_.end();) {
        if (it->second.empty()) {
            it = idle_.erase(it);
            continue;
        }
        if (oldest == idle_.end() || it->second.front()->used < oldest->second.front()->used) oldest = it;
        ++it;
    }
    if (oldest != idle_.end()) oldest->second.erase(oldest->second.begin());
}

Task<Reply> HttpClient::call(std::string address, http::verb method, std::string target,
                             std::optional<Json> body, Clock::duration deadline, std::size_t body_limit) {
    Reply reply;
    auto endpoint = parse_endpoint(address);
    if (!endpoint) co_return reply;
    std::unique_ptr<Connection> conn;
    auto now = Clock::now();
    if (auto it = idle_.find(address); it != idle_.end()) {
        while (!it->second.empty() && !conn) {
            conn = std::move(it->second.back());
            it->second.pop_back();
            if (now - conn->used > std::chrono::seconds(60)) conn.reset();
        }
    }
    boost::system::error_code ec;
    auto token = asio::redirect_error(asio::use_awaitable, ec);
    bool fresh = !conn;
    if (fresh) {
        // Without this limit, connections to a fleet of 1,000 workers take all sockets of the process, and
        // the server can't accept the workers' heartbeats.
        for (const auto end = now + deadline; open_ >= most_open_;) {
            close_oldest_idle();
            if (open_ < most_open_) break;
            if (Clock::now() >= end) co_return reply;
            co_await sleep_for(std::chrono::milliseconds(20));
        }
        conn = std::make_unique<Connection>(io_, open_);
        conn->stream.expires_after(deadline);
        co_await conn->stream.async_connect(*endpoint, token);
        if (ec) co_return reply;
        conn->stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
        ec = {};
    } else {
        conn->stream.expires_after(deadline);
    }
    http::request<http::string_body> request{method, target, 11};
    request.set(http::field::host, address);
    if (body) {
        request.set(http::field::content_type, "application/msgpack");
        request.body() = wire::encode(*body);
    }
    request.prepare_payload();
    reply.may_execute = true;
    co_await http::async_write(conn->stream, request, token);
    if (ec) co_return reply;
    http::response_parser<http::string_body> parser;
    parser.body_limit(body_limit);
    co_await http::async_read(conn->stream, conn->buffer, parser, token);
    if (ec) co_return reply;
    auto& response = parser.get();
    reply.status = static_cast<int>(response.result_int());
    reply.may_execute = false;
    if (auto after = response[http::field::retry_after]; !after.empty()) {
        unsigned s = 0;
        auto [p, err] = std::from_chars(after.data(), after.data() + after.size(), s);
        if (err == std::errc{} && s <= 3600) reply.retry_after = std::chrono::seconds(s);
    }
    if (!response.body().empty()) {
        auto decoded = wire::decode(response.body());
        if (decoded)
            reply.body = std::move(*decoded);
        else
            reply.garbage = true;
    }
    if (response.keep_alive()) {
        conn->used = Clock::now();
        conn->stream.expires_never();
        auto& list = idle_[address];
        if (list.size() < idle_per_peer_) list.push_back(std::move(conn));
    }
    co_return reply;
}

Task<bool> HttpClient::reaches(std::string address, Clock::duration deadline) {
    boost::system::error_code ec = asio::error::host_not_found;
    if (auto at = parse_endpoint(address)) {
        beast::tcp_stream stream(io_);
        stream.expires_after(deadline);
        co_await stream.async_connect(*at, asio::redirect_error(asio::use_awaitable, ec));
    }
    co_return !ec;
}

}  // namespace barrowrun::net
