// The nodes' transport in the simulated world: what http_client.cpp and http_server.cpp are on a real
// network.
#include "sim/world.hpp"

namespace barrowrun::net {

// ---- client --------------------------------------------------------------------------------------------

Task<Reply> HttpClient::call(std::string address, http::verb method, std::string target,
                             std::optional<Json> body, Clock::duration deadline, std::size_t) {
    auto& world = sim::World::current();
    struct Exchange {
        Timer timer;
        std::optional<Reply> reply;
        explicit Exchange(asio::io_context& io) : timer(io) {}
    };
    // The answer may come after this call, or its whole process, has ended.
    auto exchange = std::make_shared<Exchange>(io_);
    std::weak_ptr<Exchange> waiting = exchange;
    sim::Request request{world.process_of(io_).name, method, std::move(target), Json(), 0};
    if (body) {
        request.bytes = wire::encode(*body).size();
        request.body = std::move(*body);
    }
    exchange->timer.expires_after(deadline);
    if (!world.process_of(io_).dead)
        world.send(std::move(request), address, deadline, [waiting](Reply r) {
            if (auto e = waiting.lock()) {
                e->reply = std::move(r);
                e->timer.cancel();
            }
        });
    boost::system::error_code ec;
    co_await exchange->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    Reply out;
    out.may_execute = true;
    if (exchange->reply) out = std::move(*exchange->reply);
    co_return out;
}

Task<bool> HttpClient::reaches(std::string, Clock::duration) {
    co_return true;
}

// ---- server --------------------------------------------------------------------------------------------

struct HttpServer::Shared {
    std::string address;
};

HttpServer::HttpServer(asio::io_context& io, std::size_t, ServerTimes)
    : io_(io), shared_(std::make_shared<Shared>()) {}

std::size_t HttpServer::connections() const {
    return 0;
}

std::string HttpServer::address() const {
    return shared_->address;
}

void HttpServer::listen(const std::string& address) {
    shared_->address = address;
}

Task<> HttpServer::serve(Handler handler, Classify) {
    sim::World::current().listen(io_, shared_->address, std::move(handler));
    co_return;
}

}  // namespace barrowrun::net
