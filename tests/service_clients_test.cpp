// How the clients handle answers, missing answers and malformed answers of scripted servers on loopback.
#include <gtest/gtest.h>

#include <functional>

#include "election/election.hpp"
#include "fleet/cloud_client.hpp"
#include "net/http_server.hpp"
#include "state/state_client.hpp"

using namespace barrowrun;
using net::asio::ip::tcp;
using state::Outcome;
using namespace std::chrono_literals;

namespace {

// A server that reads a request and then sends a scripted reply: a status and body, raw bytes, or nothing.
struct ScriptedServer {
    net::asio::io_context io;
    tcp::acceptor acceptor{io, tcp::endpoint(net::asio::ip::make_address("127.0.0.1"), 0)};
    std::function<void(const std::string& target)> on_request;  // sets a reply that depends on the request
    std::string reply;  // if empty, the connection is closed without an answer
    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }
    void answer(int status, const wire::Json& body) {
        auto encoded = wire::encode(body);
        reply = "HTTP/1.1 " + std::to_string(status) +
                " x\r\nConnection: close\r\nContent-Length: " + std::to_string(encoded.size()) + "\r\n\r\n" +
                encoded;
    }
    // Runs the call of a client while serving requests, and returns its result.
    template <class T>
    T serve_during(std::function<net::Task<T>()> call) {
        auto serve = [](ScriptedServer* self) -> net::Task<> {
            for (;;) {
                auto socket = co_await self->acceptor.async_accept(net::asio::use_awaitable);
                net::beast::flat_buffer buffer;
                net::http::request<net::http::string_body> request;
                co_await net::http::async_read(socket, buffer, request, net::asio::use_awaitable);
                if (self->on_request) self->on_request(std::string(request.target()));
                if (!self->reply.empty())
                    co_await net::asio::async_write(socket, net::asio::buffer(self->reply),
                                                    net::asio::use_awaitable);
            }
        };
        net::asio::co_spawn(io, serve(this), net::asio::detached);
        std::optional<T> out;
        auto run = [](ScriptedServer* self, std::function<net::Task<T>()> client_call,
                      std::optional<T>* result) -> net::Task<> {
            *result = co_await client_call();
            self->io.stop();
        };
        net::asio::co_spawn(io, run(this, call, &out), net::asio::detached);
        io.run_for(5s);
        EXPECT_TRUE(out.has_value());
        return std::move(*out);
    }
};

state::CompareAndSwapResult swap_one_key(ScriptedServer& service) {
    state::StateClient client(service.io, service.address(), 100, 100);
    return service.serve_during<state::CompareAndSwapResult>([&]() -> net::Task<state::CompareAndSwapResult> {
        std::vector<state::Precondition> preconditions(1);
        std::vector<state::Operation> operations(1);
        preconditions[0].key = operations[0].key = "k";
        return client.compare_and_swap(preconditions, operations);
    });
}

}  // namespace

TEST(StateClient, CompareAndSwapWithoutAUsableAnswerHasUnknownOutcome) {
    ScriptedServer silent;
    EXPECT_EQ(swap_one_key(silent).outcome, Outcome::unknown);
    ScriptedServer garbage;
    garbage.reply = "HTTP/1.1 200 x\r\nContent-Length: 1\r\n\r\n\xc1";
    EXPECT_EQ(swap_one_key(garbage).outcome, Outcome::unknown);
}

TEST(StateClient, CompareAndSwapReportsRefusalConflictAndSuccess) {
    ScriptedServer refused;
    refused.answer(503, wire::Json::object());
    EXPECT_EQ(swap_one_key(refused).outcome, Outcome::refused);
    ScriptedServer conflict;
    conflict.answer(409, {{"failed", {"k"}}, {"ledger", 9}});
    EXPECT_EQ(swap_one_key(conflict).outcome, Outcome::conflict);
    ScriptedServer ok;
    ok.answer(200, {{"ledger", 12}});
    auto result = swap_one_key(ok);
    EXPECT_EQ(result.outcome, Outcome::ok);
    EXPECT_EQ(result.revision, 12u);
}

// Guards against a new leader that combines parts of different passes after failed reads: it then has
// machines without their jobs, and starts hundreds of running tasks a second time.
TEST(StateClient, SnapshotIsReadInOnePassOrNotAtAll) {
    ScriptedServer service;
    int requests = 0;
    service.on_request = [&](const std::string& target) {
        bool fail = (requests == 3 && target.find("hires") != std::string::npos) || requests == 4;
        ++requests;
        service.answer(fail ? 503 : 200,
                       {{"entries", wire::Json::array()}, {"truncated", false}, {"ledger", 7}});
    };
    state::StateClient client(service.io, service.address(), 1000, 1000);
    std::vector<bool> complete;
    for (int pass = 0; pass < 3; ++pass) {
        service.io.restart();
        complete.push_back(service.serve_during<bool>(
            [&]() -> net::Task<bool> { co_return (co_await client.snapshot()).has_value(); }));
    }
    EXPECT_EQ(complete, (std::vector<bool>{false, false, true}));
    EXPECT_EQ(requests, 4 + 1 + 4);
}

// Guards against idle connections to a thousand workers that use up all sockets of a node, so that the node
// can't receive heartbeats any more.
TEST(HttpClient, ConnectionsIncludingIdleOnesStayWithinTheLimit) {
    net::asio::io_context io;
    std::size_t concurrent_requests = 0, max_concurrent_requests = 0;
    auto serve = [&](tcp::acceptor& acceptor) -> net::Task<> {
        for (;;) {
            auto socket = co_await acceptor.async_accept(net::asio::use_awaitable);
            net::beast::flat_buffer buffer;
            net::http::request<net::http::string_body> request;
            co_await net::http::async_read(socket, buffer, request, net::asio::use_awaitable);
            max_concurrent_requests = std::max(max_concurrent_requests, ++concurrent_requests);
            co_await net::sleep_for(20ms);
            --concurrent_requests;
            std::string reply = "HTTP/1.1 200 x\r\nContent-Length: 1\r\n\r\n\x80";
            co_await net::asio::async_write(socket, net::asio::buffer(reply), net::asio::use_awaitable);
            // The connection stays open, so that the client keeps it idle.
            auto open_socket = std::make_shared<tcp::socket>(std::move(socket));
            net::asio::post(io, [open_socket] {});
        }
    };
    std::vector<std::unique_ptr<tcp::acceptor>> servers;
    for (int i = 0; i < 6; ++i) {
        servers.push_back(
            std::make_unique<tcp::acceptor>(io, tcp::endpoint(net::asio::ip::make_address("127.0.0.1"), 0)));
        net::asio::co_spawn(io, serve(*servers.back()), net::asio::detached);
    }
    net::HttpClient client(io, 1, 2);
    int answered = 0;
    std::size_t max_open = 0;
    auto send_request = [&](int i) -> net::Task<> {
        auto port = servers[static_cast<std::size_t>(i)]->local_endpoint().port();
        auto reply = co_await client.call("127.0.0.1:" + std::to_string(port), net::http::verb::get, "/",
                                          std::nullopt, 3s);
        answered += reply.status == 200;
        max_open = std::max(max_open, client.open());
        if (answered == 6) io.stop();
    };
    for (int i = 0; i < 6; ++i) net::asio::co_spawn(io, send_request(i), net::asio::detached);
    io.run_for(5s);
    EXPECT_EQ(answered, 6);
    EXPECT_LE(max_concurrent_requests, 2u);
    EXPECT_LE(max_open, 2u);
}

// Guards against a user's submission that waits behind the leader's own writes, which wait for seconds while
// the fleet is busy.
TEST(StateClient, WriteForAWaitingUserIsSentWithoutDelayButDelaysLaterWrites) {
    ScriptedServer service;
    service.answer(200, {{"ledger", 12}});
    state::StateClient client(service.io, service.address(), 100, 10);
    auto duration_of = [&](std::size_t writes, state::Throttle throttle) {
        service.io.restart();
        return service.serve_during<Clock::duration>([&, writes, throttle]() -> net::Task<Clock::duration> {
            std::vector<state::Operation> operations(writes);
            auto started = Clock::now();
            auto result = co_await client.compare_and_swap({}, operations, 2s, throttle);
            EXPECT_EQ(result.outcome, Outcome::ok);
            co_return Clock::now() - started;
        });
    };
    EXPECT_LT(duration_of(8, state::Throttle::charge_only), 200ms);  // more writes than the burst allows
    EXPECT_LT(duration_of(1, state::Throttle::charge_only), 200ms);
    EXPECT_GT(duration_of(1, state::Throttle::wait), 300ms);
}

// A user is told that a job is unknown when its key is absent, so a 404 that does not come from the state
// service itself, which always adds its revision, must not count.
TEST(StateClient, KeyCountsAsAbsentOnlyIfTheAnswerHasTheRevisionOfTheService) {
    auto read_key = [](ScriptedServer& service) {
        state::StateClient client(service.io, service.address(), 100, 100);
        return service
            .serve_during<state::Value>([&]() -> net::Task<state::Value> { return client.get("k"); })
            .outcome;
    };
    ScriptedServer with_revision;
    with_revision.answer(404, {{"ledger", 4}});
    EXPECT_EQ(read_key(with_revision), Outcome::absent);
    ScriptedServer without_revision;
    without_revision.answer(404, wire::Json::object());
    EXPECT_EQ(read_key(without_revision), Outcome::unknown);
    ScriptedServer silent;
    EXPECT_EQ(read_key(silent), Outcome::unknown);
}

// Guards against followers that watch from the leader key's own version: 10,000 changes after the election
// the state service refuses each such watch as too old, and each follower repeats it without a pause, 50
// times a second.
TEST(Election, FollowerWatchesTheLeaderKeyFromTheCurrentRevisionHoweverOldItsLastChange) {
    ScriptedServer service;
    int requests = 0;
    bool refused = false;
    service.on_request = [&](const std::string& target) {
        ++requests;
        wire::Json record = state::to_json(state::LeaderRecord{"other", "x", 1, 1});
        if (target.starts_with("/follow")) {
            auto since = std::stoul(target.substr(target.find("since=") + 6));
            refused |= since < 20'000;
            service.reply.clear();  // the watch gets no answer
            if (since < 20'000) service.answer(410, wire::Json::object());
        } else if (target.starts_with("/kv?")) {
            service.answer(200, {{"entries", {{{"key", "leader"}, {"value", record}, {"mark", 1}}}},
                                 {"truncated", false},
                                 {"ledger", 30'000}});
        } else {
            service.answer(200, {{"key", "leader"}, {"value", record}, {"mark", 1}});
        }
    };
    state::StateClient client(service.io, service.address(), 1000, 1000);
    net::HttpClient peers(service.io);
    election::Election election(service.io, "me", {}, client, peers, {});
    service.serve_during<bool>([&]() -> net::Task<bool> {
        net::asio::co_spawn(service.io, election.run(), net::asio::detached);
        co_await net::sleep_for(500ms);
        co_return true;
    });
    EXPECT_EQ(election.leader_name(), "other");
    EXPECT_FALSE(refused);
    EXPECT_LE(requests, 10);
}

TEST(CloudClient, ProvisioningWithoutAUsableAnswerIsUnknownAndNoCapacityIsFinal) {
    auto provision = [](ScriptedServer& cloud) {
        fleet::CloudClient client(cloud.io, cloud.address(), 10);
        return cloud
            .serve_during<fleet::ProvisioningResult>([&]() -> net::Task<fleet::ProvisioningResult> {
                return client.provision("r-1", "g8", "a", false, 2);
            })
            .outcome;
    };
    ScriptedServer silent, full, trouble, garbage, granted;
    EXPECT_EQ(provision(silent), fleet::ProvisioningOutcome::unknown);
    full.answer(503, {{"error", "no capacity"}});
    EXPECT_EQ(provision(full), fleet::ProvisioningOutcome::no_capacity);
    trouble.answer(503, {{"error", "trouble"}});
    EXPECT_EQ(provision(trouble), fleet::ProvisioningOutcome::unknown);
    garbage.answer(200, {{"barrows", {1, 2}}});
    EXPECT_EQ(provision(garbage), fleet::ProvisioningOutcome::unknown);
    granted.answer(200, {{"barrows", {"n-1"}}});
    EXPECT_EQ(provision(granted), fleet::ProvisioningOutcome::granted);
}
