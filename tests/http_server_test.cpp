// Admission control of the HTTP server: which connections are evicted or refused at the connection limit, and
// that peers which stop in the middle of a request don't block the server. Also the log lines about peers
// that don't answer.
#include "net/http_server.hpp"

#include <gtest/gtest.h>

#include "net/http_client.hpp"
#include "net/outage_log.hpp"

using namespace barrowrun;
using namespace barrowrun::net;
using namespace std::chrono_literals;

TEST(ConnectionLimiter, AtTheLimitTheOldestConnectionWithoutARequestIsEvictedFirst) {
    ConnectionLimiter limiter(4, 1, 1);
    auto worker = *limiter.arrive("10.0.0.1").id;
    limiter.request(worker, Caller::system);
    limiter.answered(worker);
    auto silent = *limiter.arrive("10.0.0.9").id;
    limiter.arrive("10.0.0.9");
    limiter.arrive("10.0.0.9");
    auto next = limiter.arrive("10.0.0.2");
    ASSERT_TRUE(next.id);
    EXPECT_EQ(next.evict, silent);
    EXPECT_EQ(limiter.size(), 4u);
}

TEST(ConnectionLimiter, IdleUsersAreEvictedBeforeIdleWorkersAndServedConnectionsAreKept) {
    ConnectionLimiter limiter(3, 1, 1);
    auto worker = *limiter.arrive("w").id, user = *limiter.arrive("u").id, busy = *limiter.arrive("b").id;
    limiter.request(worker, Caller::system), limiter.answered(worker);
    limiter.request(user, Caller::user), limiter.answered(user);
    limiter.request(busy, Caller::user);
    auto first = limiter.arrive("x");
    EXPECT_EQ(first.evict, user);
    limiter.request(*first.id, Caller::user);
    auto second = limiter.arrive("y");
    EXPECT_EQ(second.evict, worker);
    limiter.request(*second.id, Caller::user);
    EXPECT_FALSE(limiter.arrive("z").id);
}

TEST(ConnectionLimiter, UsersOverTheirShareAreRefusedAndAWorkerIsStillAdmitted) {
    ConnectionLimiter limiter(10, 0.8, 1);
    for (int i = 0; i < 8; ++i) EXPECT_TRUE(limiter.request(*limiter.arrive("lb").id, Caller::user).serve);
    auto ninth = *limiter.arrive("lb").id;
    EXPECT_FALSE(limiter.request(ninth, Caller::user).serve);
    limiter.left(ninth);
    auto worker = limiter.arrive("w");
    ASSERT_TRUE(worker.id);
    EXPECT_TRUE(limiter.request(*worker.id, Caller::system).serve);
    EXPECT_EQ(limiter.users(), 8u);
}

TEST(ConnectionLimiter, AnAddressAtItsLimitIsRefusedWhileAnotherIsAdmitted) {
    ConnectionLimiter limiter(10, 1, 0.8);
    for (int i = 0; i < 8; ++i) limiter.request(*limiter.arrive("one").id, Caller::user);
    EXPECT_FALSE(limiter.arrive("one").id);
    EXPECT_TRUE(limiter.arrive("two").id);
}

TEST(OutageLog, AnOutageIsReportedAtGrowingIntervalsAndItsEndOnce) {
    OutageLog outage_log("the cloud");
    TimePoint t = TimePoint{} + 100s;
    EXPECT_FALSE(outage_log.note(true, t));
    EXPECT_FALSE(outage_log.note(false, t));
    EXPECT_TRUE(outage_log.note(false, t + 900ms));
    EXPECT_FALSE(outage_log.note(false, t + 1s));
    int lines = 0;
    for (int s = 2; s < 100; ++s) lines += outage_log.note(false, t + std::chrono::seconds(s)).has_value();
    EXPECT_GE(lines, 4);
    EXPECT_LE(lines, 8);
    EXPECT_EQ(outage_log.note(true, t + 100s), "the cloud answers again, after 100.0 s");
    EXPECT_FALSE(outage_log.note(true, t + 101s));
}

namespace {

struct RunningServer {
    asio::io_context io;
    HttpServer server;
    explicit RunningServer(std::size_t max_connections, ServerTimes times = {})
        : server(io, max_connections, times) {
        server.listen("127.0.0.1:0");
        asio::co_spawn(io,
                       server.serve([](Request) -> Task<Response> { co_return Response{}; },
                                    [](const Request& r) {
                                        return r.target == "/healthz" ? Caller::system : Caller::user;
                                    }),
                       asio::detached);
    }
    std::vector<asio::ip::tcp::socket> sockets;
    // Connects from the given address, sends half a header and stops.
    void send_half_header(const char* from) {
        asio::ip::tcp::socket s(io);
        s.open(asio::ip::tcp::v4());
        s.bind({asio::ip::make_address(from), 0});
        s.connect(*parse_endpoint(server.address()));
        asio::write(s, asio::buffer(std::string("GET /healthz HTTP/1.1\r\nHost: x")));
        sockets.push_back(std::move(s));
    }
    int get_status(const char* target) {
        HttpClient client(io);
        int status = -1;
        auto call = [](HttpClient* c, std::string to, std::string what, int* out) -> Task<> {
            auto reply = co_await c->call(to, http::verb::get, what, std::nullopt, 2s);
            *out = reply.status;
        };
        asio::co_spawn(io, call(&client, server.address(), target, &status), asio::detached);
        for (int i = 0; i < 200 && status < 0; ++i) io.run_for(10ms);
        return status;
    }
};

}  // namespace

TEST(HttpServer, ConnectionsThatStopMidRequestDoNotBlockOtherClients) {
    RunningServer running(40);
    for (int i = 0; i < 120; ++i) {
        running.send_half_header(i % 2 ? "127.0.0.2" : "127.0.0.3");
        running.io.run_for(1ms);
    }
    EXPECT_LE(running.server.connections(), 40u);
    EXPECT_EQ(running.get_status("/healthz"), 200);
    EXPECT_EQ(running.get_status("/submissions/wk-1"), 200);
}

TEST(HttpServer, AConnectionIsClosedWhenItsRequestIsNotCompleteWithinTheRequestTimeout) {
    RunningServer running(40, {1s, 1s, 5s, 1s});
    running.send_half_header("127.0.0.1");
    running.io.run_for(100ms);
    EXPECT_EQ(running.server.connections(), 1u);
    running.io.run_for(1500ms);
    EXPECT_EQ(running.server.connections(), 0u);
}
