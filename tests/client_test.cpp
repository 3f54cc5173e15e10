// The client against nodes that reject requests, answer with errors, or don't answer at all.
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
    int requests = 0;
    std::function<net::Response()> answer;
    Node(net::asio::io_context& io, std::function<net::Response()> a) : server(io, 50), answer(std::move(a)) {
        server.listen("127.0.0.1:0");
        net::asio::co_spawn(io, server.serve([this](net::Request) -> Task<net::Response> {
            ++requests;
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
    Patience retry_policy{1s, 5s, 20ms, 100ms};
    void add_node(std::function<net::Response()> a) {
        nodes.push_back(std::make_unique<Node>(io, std::move(a)));
    }
    Outcome call(std::function<Task<Outcome>(Client&)> operation, std::vector<std::string> unreachable = {}) {
        std::vector<std::string> addresses;
        for (auto& n : nodes) addresses.push_back(n->server.address());
        addresses.insert(addresses.end(), unreachable.begin(), unreachable.end());
        Client client(io, addresses, retry_policy);
        std::optional<Outcome> out;
        net::asio::co_spawn(io, operation(client),
                            [&](std::exception_ptr, Outcome outcome) { out = outcome; });
        auto end = Clock::now() + 8s;
        while (!out && Clock::now() < end) io.run_for(5ms);
        EXPECT_TRUE(out.has_value());
        return out.value_or(Outcome{});
    }
    Outcome submit(std::vector<std::string> unreachable = {}) {
        return call(
            [](Client& c) {
                wire::JobSpec spec;
                spec.id = "wk-1";
                return c.submit(spec);
            },
            std::move(unreachable));
    }
};

}  // namespace

TEST(Client, ASubmissionIsRetriedAfter503UntilItIsAccepted) {
    Site s;
    int n = 0;
    s.add_node([&] { return ++n < 4 ? net::Response{503, {{"error", "not now"}}} : accepted(); });
    EXPECT_EQ(s.submit().answer, Answer::accepted);
    EXPECT_EQ(s.nodes[0]->requests, 4);
}

TEST(Client, ARetryWaitsForTheTimeInTheRetryAfterHeader) {
    Site s;
    int n = 0;
    s.add_node([&] { return ++n < 2 ? net::Response{429, {{"error", "full"}}, 1} : accepted(); });
    auto started = Clock::now();
    EXPECT_EQ(s.submit().answer, Answer::accepted);
    EXPECT_GE(Clock::now() - started, 700ms);
}

TEST(Client, ASubmissionRejectedWith422IsNotRetried) {
    Site s;
    s.add_node([] { return net::Response{422, {{"error", "unknown team"}}}; });
    auto outcome = s.submit();
    EXPECT_EQ(outcome.answer, Answer::refused);
    EXPECT_EQ(outcome.why, "unknown team");
    EXPECT_EQ(s.nodes[0]->requests, 1);
}

TEST(Client, UnreachableNodesDelayRequestsOnlyBriefly) {
    Site s;
    s.add_node([] { return accepted(200); });
    auto started = Clock::now();
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(s.call([](Client& c) { return c.status("wk-1"); }, {"127.0.0.1:1", "127.0.0.1:2"}).answer,
                  Answer::accepted);
    EXPECT_LT(Clock::now() - started, 2s);
}

TEST(Client, RequestsAreSpreadEvenlyOverTheNodes) {
    Site s;
    for (int i = 0; i < 3; ++i) s.add_node([] { return accepted(200); });
    s.call([](Client& c) -> Task<Outcome> {
        Outcome outcome;
        for (int i = 0; i < 30; ++i) outcome = co_await c.status("wk-1");
        co_return outcome;
    });
    for (auto& n : s.nodes) EXPECT_EQ(n->requests, 10);
}

TEST(Client, WithoutAFinalAnswerInTimeTheOutcomeHoldsTheLastError) {
    Site s;
    s.retry_policy.total = 300ms;
    s.add_node([] { return net::Response{503, {{"error", "no leader can be reached"}}}; });
    auto outcome = s.submit();
    EXPECT_EQ(outcome.answer, Answer::no_answer);
    EXPECT_EQ(outcome.why, "no leader can be reached");
}

TEST(Client, AResponse200WithoutAJobStatusIsNotAnAcceptance) {
    Site s;
    s.retry_policy.total = 300ms;
    s.add_node([] { return net::Response{200, {{"something", "else"}}}; });
    EXPECT_EQ(s.submit().answer, Answer::no_answer);
}

TEST(Client, ANodeListNeedsAtLeastOneIpAddressWithPort) {
    EXPECT_EQ(parse_nodes("127.0.0.1:1,127.0.0.1:2,").size(), 2u);
    EXPECT_THROW(parse_nodes("localhost:1"), std::runtime_error);
    EXPECT_THROW(parse_nodes(""), std::runtime_error);
}
