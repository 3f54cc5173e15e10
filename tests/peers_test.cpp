// Scripted peers on loopback: what the clients make of answers, silence and garbage.
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

// A peer that reads a request and then answers by script: a status and body, raw bytes, or nothing at all.
struct Scripted {
    net::asio::io_context io;
    tcp::acceptor acceptor{io, tcp::endpoint(net::asio::ip::make_address("127.0.0.1"), 0)};
    std::function<void(const std::string& target)> asked;  // sets the reply where it depends on the request
    std::string reply;  // empty: the connection is closed without an answer
    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }
    void answer(int status, const wire::Json& body) {
        auto b = wire::encode(body);
        reply = "HTTP/1.1 " + std::to_string(status) +
                " x\r\nConnection: close\r\nContent-Length: " + std::to_string(b.size()) + "\r\n\r\n" + b;
    }
    template <class T>
    T play(std::function<net::Task<T>()> call) {
        auto serve = [](Scripted* self) -> net::Task<> {
            for (;;) {
                auto socket = co_await self->acceptor.async_accept(net::asio::use_awaitable);
                net::beast::flat_buffer buffer;
                net::http::request<net::http::string_body> request;
                co_await net::http::async_read(socket, buffer, request, net::asio::use_awaitable);
                if (self->asked) self->asked(std::string(request.target()));
                if (!self->reply.empty())
                    co_await net::asio::async_write(socket, net::asio::buffer(self->reply),
                                                    net::asio::use_awaitable);
            }
        };
        net::asio::co_spawn(io, serve(this), net::asio::detached);
        std::optional<T> out;
        auto run = [](Scripted* self, std::function<net::Task<T>()> f, std::optional<T>* o) -> net::Task<> {
            *o = co_await f();
            self->io.stop();
        };
        net::asio::co_spawn(io, run(this, call, &out), net::asio::detached);
        io.run_for(5s);
        EXPECT_TRUE(out.has_value());
        return std::move(*out);
    }
};

state::CompareAndSwapResult swap_one_key(Scripted& peer) {
    state::StateClient client(peer.io, peer.address(), 100, 100);
    return peer.play<state::CompareAndSwapResult>([&]() -> net::Task<state::CompareAndSwapResult> {
        std::vector<state::Precondition> preconditions(1);
        std::vector<state::Operation> operations(1);
        preconditions[0].key = operations[0].key = "k";
        return client.compare_and_swap(preconditions, operations);
    });
}

}  // namespace

TEST(StateClient, ACompareAndSwapWithoutAnAnswerIsUnknown) {
    Scripted silent;
    EXPECT_EQ(swap_one_key(silent).outcome, Outcome::unknown);
    Scripted garbage;
    garbage.reply = "HTTP/1.1 200 x\r\nContent-Length: 1\r\n\r\n\xc1";
    EXPECT_EQ(swap_one_key(garbage).outcome, Outcome::unknown);
}

TEST(StateClient, RefusalsAndConflictsAreKnownNotToBeExecuted) {
    Scripted refused;
    refused.answer(503, wire::Json::object());
    EXPECT_EQ(swap_one_key(refused).outcome, Outcome::refused);
    Scripted conflict;
    conflict.answer(409, {{"failed", {"k"}}, {"ledger", 9}});
    EXPECT_EQ(swap_one_key(conflict).outcome, Outcome::conflict);
    Scripted ok;
    ok.answer(200, {{"ledger", 12}});
    auto result = swap_one_key(ok);
    EXPECT_EQ(result.outcome, Outcome::ok);
    EXPECT_EQ(result.revision, 12u);
}

// Found on a day of bdps-manila-grown: a failover whose reads failed one after the other put together parts
// of different passes, machines without their jobs, and started hundreds of running tasks a second time.
TEST(StateClient, ASnapshotIsReadInOnePassOrNotAtAll) {
    Scripted service;
    int calls = 0;
    service.asked = [&](const std::string& target) {
        bool fail = (calls == 3 && target.find("hires") != std::string::npos) || calls == 4;
        ++calls;
        service.answer(fail ? 503 : 200,
                       {{"entries", wire::Json::array()}, {"truncated", false}, {"ledger", 7}});
    };
    state::StateClient client(service.io, service.address(), 1000, 1000);
    std::vector<bool> got;
    for (int pass = 0; pass < 3; ++pass) {
        service.io.restart();
        got.push_back(service.play<bool>(
            [&]() -> net::Task<bool> { co_return (co_await client.snapshot()).has_value(); }));
    }
    EXPECT_EQ(got, (std::vector<bool>{false, false, true}));
    EXPECT_EQ(calls, 4 + 1 + 4);
}

// Idle connections to a thousand workers once took all sockets of a node, and no report came in any more.
TEST(HttpClient, ConnectionsStayWithinTheirBound) {
    net::asio::io_context io;
    std::size_t at_once = 0, most = 0;
    auto serve = [&](tcp::acceptor& acceptor) -> net::Task<> {
        for (;;) {
            auto socket = co_await acceptor.async_accept(net::asio::use_awaitable);
            net::beast::flat_buffer buffer;
            net::http::request<net::http::string_body> request;
            co_await net::http::async_read(socket, buffer, request, net::asio::use_awaitable);
            most = std::max(most, ++at_once);
            co_await net::sleep_for(20ms);
            --at_once;
            std::string reply = "HTTP/1.1 200 x\r\nContent-Length: 1\r\n\r\n\x80";
            co_await net::asio::async_write(socket, net::asio::buffer(reply), net::asio::use_awaitable);
            // stays open: the client keeps it idle
            auto keep = std::make_shared<tcp::socket>(std::move(socket));
            net::asio::post(io, [keep] {});
        }
    };
    std::vector<std::unique_ptr<tcp::acceptor>> peers;
    for (int i = 0; i < 6; ++i) {
        peers.push_back(
            std::make_unique<tcp::acceptor>(io, tcp::endpoint(net::asio::ip::make_address("127.0.0.1"), 0)));
        net::asio::co_spawn(io, serve(*peers.back()), net::asio::detached);
    }
    net::HttpClient client(io, 1, 2);
    int answered = 0;
    std::size_t most_open = 0;
    auto ask = [&](int i) -> net::Task<> {
        auto port = peers[static_cast<std::size_t>(i)]->local_endpoint().port();
        auto reply = co_await client.call("127.0.0.1:" + std::to_string(port), net::http::verb::get, "/",
                                          std::nullopt, 3s);
        answered += reply.status == 200;
        most_open = std::max(most_open, client.open());
        if (answered == 6) io.stop();
    };
    for (int i = 0; i < 6; ++i) net::asio::co_spawn(io, ask(i), net::asio::detached);
    io.run_for(5s);
    EXPECT_EQ(answered, 6);
    EXPECT_LE(most, 2u);
    EXPECT_LE(most_open, 2u);
}

// A user's submission must not stand behind the leader's own writes, which wait for seconds while the fleet
// is busy.
TEST(StateClient, ASubmissionDoesNotWaitForTheBudgetButIsChargedToIt) {
    Scripted peer;
    peer.answer(200, {{"ledger", 12}});
    state::StateClient client(peer.io, peer.address(), 100, 10);
    auto took = [&](std::size_t writes, state::Throttle throttle) {
        peer.io.restart();
        return peer.play<Clock::duration>([&, writes, throttle]() -> net::Task<Clock::duration> {
            std::vector<state::Operation> operations(writes);
            auto begun = Clock::now();
            auto result = co_await client.compare_and_swap({}, operations, 2s, throttle);
            EXPECT_EQ(result.outcome, Outcome::ok);
            co_return Clock::now() - begun;
        });
    };
    EXPECT_LT(took(8, state::Throttle::charge_only), 200ms);  // uses more than the burst
    EXPECT_LT(took(1, state::Throttle::charge_only), 200ms);
    EXPECT_GT(took(1, state::Throttle::wait), 300ms);
}

// A 404 makes a job "unknown" to its user: only the service's own word counts.
TEST(StateClient, AbsenceNeedsTheServicesOwnAnswer) {
    auto look = [](Scripted& peer) {
        state::StateClient client(peer.io, peer.address(), 100, 100);
        return peer.play<state::Value>([&]() -> net::Task<state::Value> { return client.get("k"); }).outcome;
    };
    Scripted real;
    real.answer(404, {{"ledger", 4}});
    EXPECT_EQ(look(real), Outcome::absent);
    Scripted strange;
    strange.answer(404, wire::Json::object());
    EXPECT_EQ(look(strange), Outcome::unknown);
    Scripted silent;
    EXPECT_EQ(look(silent), Outcome::unknown);
}

// Found on a grown deployment: 10,000 changes after the election, every watch from the leader key's own
// version was refused as too old, and the followers asked again without a pause: 50 requests a second each.
TEST(Election, AFollowerOfAnOldLeaderKeyDoesNotAskWithoutEnd) {
    Scripted service;
    int requests = 0;
    bool refused = false;
    service.asked = [&](const std::string& target) {
        ++requests;
        wire::Json record = state::to_json(state::LeaderRecord{"other", "x", 1, 1});
        if (target.starts_with("/follow")) {
            auto since = std::stoul(target.substr(target.find("since=") + 6));
            refused |= since < 20'000;
            service.reply.clear();  // an open watch: nothing happens
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
    service.play<bool>([&]() -> net::Task<bool> {
        net::asio::co_spawn(service.io, election.run(), net::asio::detached);
        co_await net::sleep_for(500ms);
        co_return true;
    });
    EXPECT_EQ(election.leader_name(), "other");
    EXPECT_FALSE(refused);
    EXPECT_LE(requests, 10);
}

TEST(CloudClient, AProvisioningRequestWithoutAnAnswerIsUnknownAndNoCapacityIsFinal) {
    auto rent = [](Scripted& peer) {
        fleet::CloudClient client(peer.io, peer.address(), 10);
        return peer
            .play<fleet::ProvisioningResult>([&]() -> net::Task<fleet::ProvisioningResult> {
                return client.provision("r-1", "g8", "a", false, 2);
            })
            .outcome;
    };
    Scripted silent, full, trouble, garbage, granted;
    EXPECT_EQ(rent(silent), fleet::ProvisioningOutcome::unknown);
    full.answer(503, {{"error", "no capacity"}});
    EXPECT_EQ(rent(full), fleet::ProvisioningOutcome::no_capacity);
    trouble.answer(503, {{"error", "trouble"}});
    EXPECT_EQ(rent(trouble), fleet::ProvisioningOutcome::unknown);
    garbage.answer(200, {{"barrows", {1, 2}}});
    EXPECT_EQ(rent(garbage), fleet::ProvisioningOutcome::unknown);
    granted.answer(200, {{"barrows", {"n-1"}}});
    EXPECT_EQ(rent(granted), fleet::ProvisioningOutcome::granted);
}
