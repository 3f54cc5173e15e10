// Users' side of the protocol against nodes that refuse, keep silent, or are gone.
#include "client/client.hpp"

#include <gtest/gtest.h>

#include "net/http_server.hpp"

using namespace barrowrun;
using namespace barrowrun::client;
using namespace std::chrono_literals;
using net::Task;

namespace {

struct Node {
    net::HttpServer server;
    int asked = 0;
    std::function<net::Response()> answer;
    Node(net::asio::io_context& io, std::function<net::Response()> a) : server(io, 50), answer(std::move(a)) {
        server.listen("127.0.0.1:0");
        net::asio::co_spawn(io, server.serve([this](net::Request) -> Task<net::Response> {
            ++asked;
            co_return answer();
        }),
                            net::asio::detached);
    }
};

net::Response accepted(int status = 201) {
    return {status, {{"name_id", "wk-1"}, {"standing", "queued"}}};
}

struct Site {
    net::asio::io_context io;
    std::vector<std::unique_ptr<Node>> nodes;
    Patience patience{1s, 5s, 20ms, 100ms};
    void node(std::function<net::Response()> a) { nodes.push_back(std::make_unique<Node>(io, std::move(a))); }
    Outcome ask(std::function<Task<Outcome>(Client&)> what, std::vector<std::string> more = {}) {
        std::vector<std::string> addresses;
        for (auto& n : nodes) addresses.push_back(n->server.address());
        addresses.insert(addresses.end(), more.begin(), more.end());
        Client client(io, addresses, patience);
        std::optional<Outcome> out;
        net::asio::co_spawn(io, what(client), [&](std::exception_ptr, Outcome o) { out = o; });
        auto end = Clock::now() + 8s;
        while (!out && Clock::now() < end) io.run_for(5ms);
        EXPECT_TRUE(out.has_value());
        return out.value_or(Outcome{});
    }
    Outcome submit(std::vector<std::string> more = {}) {
        return ask(
            [](Client& c) {
                wire::JobSpec spec;
                spec.id = "wk-1";
                return c.submit(spec);
            },
            std::move(more));
    }
};

}  // namespace

TEST(Client, TriesAgainUntilThereIsAnAnswer) {
    Site s;
    int n = 0;
    s.node([&] { return ++n < 4 ? net::Response{503, {{"error", "not now"}}} : accepted(); });
    EXPECT_EQ(s.submit().answer, Answer::accepted);
    EXPECT_EQ(s.nodes[0]->asked, 4);
}

TEST(Client, WaitsAsLongAsItIsToldTo) {
    Site s;
    int n = 0;
    s.node([&] { return ++n < 2 ? net::Response{429, {{"error", "full"}}, 1} : accepted(); });
    auto begun = Clock::now();
    EXPECT_EQ(s.submit().answer, Answer::accepted);
    EXPECT_GE(Clock::now() - begun, 700ms);
}

TEST(Client, WhatIsRefusedForGoodIsNotTriedAgain) {
    Site s;
    s.node([] { return net::Response{422, {{"error", "unknown team"}}}; });
    auto o = s.submit();
    EXPECT_EQ(o.answer, Answer::refused);
    EXPECT_EQ(o.why, "unknown team");
    EXPECT_EQ(s.nodes[0]->asked, 1);
}

TEST(Client, NodesThatAreGoneCostLittle) {
    Site s;
    s.node([] { return accepted(200); });
    auto begun = Clock::now();
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(s.ask([](Client& c) { return c.status("wk-1"); }, {"127.0.0.1:1", "127.0.0.1:2"}).answer,
                  Answer::accepted);
    EXPECT_LT(Clock::now() - begun, 2s);
}

TEST(Client, SpreadsItsCallsOverTheNodes) {
    Site s;
    for (int i = 0; i < 3; ++i) s.node([] { return accepted(200); });
    s.ask([](Client& c) -> Task<Outcome> {
        Outcome o;
        for (int i = 0; i < 30; ++i) o = co_await c.status("wk-1");
        co_return o;
    });
    for (auto& n : s.nodes) EXPECT_EQ(n->asked, 10);
}

TEST(Client, GivesUpAfterItsPatienceAndSaysWhy) {
    Site s;
    s.patience.total = 300ms;
    s.node([] { return net::Response{503, {{"error", "no leader can be reached"}}}; });
    auto o = s.submit();
    EXPECT_EQ(o.answer, Answer::no_answer);
    EXPECT_EQ(o.why, "no leader can be reached");
}

TEST(Client, AnAnswerThatIsNoneIsNotTakenForOne) {
    Site s;
    s.patience.total = 300ms;
    s.node([] { return net::Response{200, {{"something", "else"}}}; });
    EXPECT_EQ(s.submit().answer, Answer::no_answer);
}

TEST(Client, NodesAreNamedByAddressAndPort) {
    EXPECT_EQ(parse_nodes("127.0.0.1:1,127.0.0.1:2,").size(), 2u);
    EXPECT_THROW(parse_nodes("localhost:1"), std::runtime_error);
    EXPECT_THROW(parse_nodes(""), std::runtime_error);
}
