// Golden files of requests as the clients of the state service, the cloud and the site's nodes send them, and
// of what they make of the answers. A server on loopback keeps the requests and answers by script.
#include <gtest/gtest.h>

#include "client/client.hpp"
#include "fleet/cloud_client.hpp"
#include "golden.hpp"
#include "golden_samples.hpp"
#include "net/http_server.hpp"
#include "state/state_client.hpp"

namespace barrowrun {

using namespace std::chrono_literals;
using testing::GoldenDirectory;
using testing::Json;

namespace {

/// Keeps each request and gives the next of its answers.
class RecordingServer {
  public:
    RecordingServer(net::asio::io_context& io, std::vector<net::Response> answers)
        : server_(io, 50), answers_(std::move(answers)) {
        server_.listen("127.0.0.1:0");
        net::asio::co_spawn(
            io, server_.serve([this](net::Request request) { return answer(std::move(request)); }),
            net::asio::detached);
    }
    std::string address() const { return server_.address(); }
    Json requests() const { return requests_; }

  private:
    net::Task<net::Response> answer(net::Request request) {
        Json kept{{"request", std::string(net::http::to_string(request.method)) + " " + request.target}};
        if (!request.body.empty()) {
            auto body = wire::decode(request.body);
            EXPECT_TRUE(body) << request.target;
            if (body) kept["body"] = *body;
        }
        requests_.push_back(std::move(kept));
        if (requests_.size() > answers_.size()) co_return net::Response{500, Json::object()};
        co_return answers_[requests_.size() - 1];
    }

    net::HttpServer server_;
    std::vector<net::Response> answers_;
    Json requests_ = Json::array();
};

/// Runs a call to its end.
template <class T>
T finish(net::asio::io_context& io, net::Task<T> call) {
    std::optional<T> result;
    net::asio::co_spawn(io, std::move(call), [&](std::exception_ptr trouble, T value) {
        EXPECT_FALSE(trouble);
        result = std::move(value);
    });
    const auto end = Clock::now() + 10s;
    while (!result && Clock::now() < end) io.run_for(5ms);
    EXPECT_TRUE(result.has_value());
    return std::move(*result);
}

/// What the client asked, what it was answered, and what it read.
Json exchange(const RecordingServer& server, const std::vector<net::Response>& answers, Json read) {
    Json given = Json::array();
    for (auto& [status, body, retry_after] : answers) given.push_back({{"status", status}, {"body", body}});
    return {{"requests", server.requests()}, {"answers", std::move(given)}, {"read", std::move(read)}};
}

Json value_json(const std::optional<Json>& value) {
    return value ? *value : Json("deleted");
}

/// One call of the state service's client.
template <class Call>
Json state_exchange(const std::vector<net::Response>& answers, Call call) {
    net::asio::io_context io;
    RecordingServer server(io, answers);
    state::StateClient client(io, server.address(), 1e6, 1e6);
    Json read = call(io, client);
    return exchange(server, answers, std::move(read));
}

template <class Call>
Json cloud_exchange(const std::vector<net::Response>& answers, Call call) {
    net::asio::io_context io;
    RecordingServer server(io, answers);
    fleet::CloudClient client(io, server.address(), 1000);
    Json read = call(io, client);
    return exchange(server, answers, std::move(read));
}

template <class Call>
Json user_exchange(const std::vector<net::Response>& answers, Call call) {
    net::asio::io_context io;
    RecordingServer server(io, answers);
    client::Client client(io, {server.address()}, {2s, 5s, 10ms, 20ms});
    auto [answer, status, why] = finish(io, call(client));
    Json read{{"answer", static_cast<int>(answer)}, {"status", wire::status_json(status)}, {"why", why}};
    return exchange(server, answers, std::move(read));
}

auto get_value = [](net::asio::io_context& io, state::StateClient& client) -> Json {
    auto [outcome, value, version] = finish(io, client.get("jobs/wk-1"));
    return {{"outcome", static_cast<int>(outcome)}, {"value", value}, {"version", version}};
};

auto list_values = [](net::asio::io_context& io, state::StateClient& client) -> Json {
    auto [complete, items, revision] = finish(io, client.list("jobs/"));
    Json read{{"complete", complete}, {"revision", revision}, {"items", Json::array()}};
    for (auto& [key, value, version] : items) read["items"].push_back({key, value, version});
    return read;
};

auto transact = [](net::asio::io_context& io, state::StateClient& client) -> Json {
    auto call = client.compare_and_swap({{"leader", 41}, {"jobs/wk-1", 0}},
                                        {{"leader", Json{{"node", "barrow-0"}}, 77},
                                         {"jobs/wk-1", Json::array({1, 2}), 0},
                                         {"progress/wk-1", std::nullopt, 0}});
    auto [outcome, revision, failed_keys] = finish(io, std::move(call));
    return {{"outcome", static_cast<int>(outcome)}, {"revision", revision}};
};

auto watch_keys = [](net::asio::io_context& io, state::StateClient& client) -> Json {
    auto [complete, too_old, revision, events] = finish(io, client.watch("jobs/", 41, 2500ms));
    Json read{
        {"complete", complete}, {"too_old", too_old}, {"revision", revision}, {"events", Json::array()}};
    for (auto& [key, value, version] : events) read["events"].push_back({key, value_json(value), version});
    return read;
};

Json item_json(const std::string& key, int value, int version) {
    return {{"key", key}, {"value", value}, {"mark", version}};
}

}  // namespace

TEST(GoldenRequests, ReadsOfTheStateService) {
    GoldenDirectory golden("state_reads");
    golden.document("value", state_exchange({{200, {{"value", {{"a", 1}}}, {"mark", 41}}}}, get_value));
    golden.document("value-without-version", state_exchange({{200, {{"value", 1}}}}, get_value));
    golden.document("absent", state_exchange({{404, {{"ledger", 77}}}}, get_value));
    golden.document("absent-without-revision", state_exchange({{404, Json::object()}}, get_value));
    golden.document("refused", state_exchange({{429, {{"error", "too fast"}}}}, get_value));
    Json first{{"entries", {item_json("jobs/wk-1", 5, 3), item_json("jobs/wk-2", 6, 4)}},
               {"ledger", 77},
               {"truncated", true}};
    Json second{{"entries", {item_json("jobs/wk-3", 7, 9)}}, {"ledger", 78}, {"truncated", false}};
    golden.document("list-of-two-pages", state_exchange({{200, first}, {200, second}}, list_values));
    Json events{{"events",
                 {{{"set", "jobs/wk-1"}, {"value", 5}, {"mark", 42}}, {{"drop", "jobs/wk-2"}, {"mark", 43}}}},
                {"ledger", 43}};
    golden.document("watch", state_exchange({{200, events}}, watch_keys));
    golden.document("watch-too-old", state_exchange({{410, {{"ledger", 900}}}}, watch_keys));
}

TEST(GoldenRequests, WritesToTheStateService) {
    GoldenDirectory golden("state_writes");
    golden.document("transaction", state_exchange({{200, {{"ledger", 78}}}}, transact));
    golden.document("transaction-in-conflict", state_exchange({{409, {{"error", "no"}}}}, transact));
    golden.document("transaction-without-revision", state_exchange({{200, Json::object()}}, transact));
    golden.document("create-hold", state_exchange({{200, {{"permit", 77}}}}, [](auto& io, auto& client) {
                        auto lease = finish(io, client.create_lease(3000ms));
                        return lease ? Json(*lease) : Json();
                    }));
    golden.document("extend-hold", state_exchange({{200, Json::object()}}, [](auto& io, auto& client) {
                        return Json(static_cast<int>(finish(io, client.extend_lease(77, 1000ms))));
                    }));
    golden.document("end-hold", state_exchange({{404, Json::object()}}, [](auto& io, auto& client) {
                        return Json(static_cast<int>(finish(io, client.revoke_lease(77))));
                    }));
}

TEST(GoldenRequests, Cloud) {
    GoldenDirectory golden("cloud_requests");
    auto rent = [](auto& io, auto& client) -> Json {
        auto [outcome, machines] = finish(io, client.provision("r-1", "g8", "a", true, 3));
        return {{"outcome", static_cast<int>(outcome)}, {"machines", machines}};
    };
    golden.document("rent", cloud_exchange({{200, {{"barrows", {"n-7", "n-8"}}}}}, rent));
    golden.document("rent-without-capacity", cloud_exchange({{503, {{"error", "no capacity"}}}}, rent));
    golden.document("rent-in-trouble", cloud_exchange({{503, {{"error", "trouble"}}}}, rent));
    golden.document("rent-refused", cloud_exchange({{400, {{"error", "no such type"}}}}, rent));
    golden.document("types", cloud_exchange({{200, wire::types_json(testing::sample_machine_types())}},
                                            [](auto& io, auto& client) {
                                                auto types = finish(io, client.types());
                                                return types ? wire::types_json(*types) : Json();
                                            }));
    Json first{{"barrows", {{{"name_id", "n-7"}, {"standing", "running"}}}}, {"truncated", true}};
    Json second{{"barrows", {{{"name_id", "n-8"}, {"standing", "failed"}}}}, {"truncated", false}};
    golden.document("list-of-two-pages",
                    cloud_exchange({{200, first}, {200, second}}, [](auto& io, auto& client) {
                        auto list = finish(io, client.list());
                        return list ? wire::machine_list_json(*list) : Json();
                    }));
    golden.document("return", cloud_exchange({{200, Json::object()}}, [](auto& io, auto& client) {
                        return Json(finish(io, client.return_machines({"n-7", "n-8"})));
                    }));
}

TEST(GoldenRequests, Users) {
    GoldenDirectory golden("user_requests");
    auto submit = [](client::Client& client) { return client.submit(testing::job_with_every_field()); };
    auto cancel = [](client::Client& client) { return client.cancel("wk-1"); };
    auto status = [](client::Client& client) { return client.status("wk-1"); };
    Json accepted = wire::accepted_json("wk-1", wire::JobState::queued);
    golden.document("submit", user_exchange({{201, accepted}}, submit));
    golden.document("submit-again", user_exchange({{503, {{"error", "not now"}}}, {200, accepted}}, submit));
    golden.document("submit-refused",
                    user_exchange({{400, {{"error", "missing or invalid field: crew"}}}}, submit));
    golden.document("cancel", user_exchange({{200, accepted}}, cancel));
    golden.document("cancel-unknown", user_exchange({{404, {{"error", "no such job"}}}}, cancel));
    golden.document(
        "status",
        user_exchange({{200, wire::status_json({"wk-1", wire::JobState::running, 3, 2, {}})}}, status));
    golden.document("status-unknown", user_exchange({{404, {{"error", "no such job"}}}}, status));
}

}  // namespace barrowrun
