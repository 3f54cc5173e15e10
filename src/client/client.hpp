#pragma once
// The client of the user protocol. It spreads requests over the nodes and retries until a node gives a final
// answer. Retries of a submission are safe: the client chooses the job id, and a known job is not submitted
// twice.
#include <random>
#include <string>
#include <vector>

#include "net/http_client.hpp"
#include "wire/submission.hpp"

namespace barrowrun::client {

using net::Task;

// Timeouts and pauses of retried requests. The pause doubles from `first_pause` to `longest_pause`.
struct Patience {
    Clock::duration answer = std::chrono::seconds(5);  // timeout of each attempt
    Clock::duration total = std::chrono::seconds(60);  // time limit for all attempts
    Clock::duration first_pause = std::chrono::milliseconds(100), longest_pause = std::chrono::seconds(5);
};

enum class Answer {
    accepted,   // the job is on record; `status` holds its state
    refused,    // final; `why` holds the reason
    no_answer,  // no final answer in time: the job may or may not be on record
    unknown,    // the nodes have no job with this id
};

struct Outcome {
    Answer answer = Answer::no_answer;
    wire::JobStatus status;
    std::string why;
};

// An interface that accepts jobs: the nodes of a site, or a substitute for them.
class JobService {
  public:
    virtual ~JobService() = default;
    virtual Task<Outcome> submit(wire::JobSpec spec) = 0;
    virtual Task<Outcome> cancel(std::string id) = 0;
    // Asks each node at most once and doesn't retry further, since callers poll.
    virtual Task<Outcome> status(std::string id) = 0;
};

class Client : public JobService {
  public:
    Client(net::asio::io_context& io, std::vector<std::string> nodes, Patience retry_policy = {});
    Task<Outcome> submit(wire::JobSpec spec) override;
    Task<Outcome> cancel(std::string id) override;
    Task<Outcome> status(std::string id) override;
    // Sends any request. Retries while there is no response or its status is 429, 503 or 504, until the total
    // time limit; returns the last reply.
    Task<net::Reply> request(net::http::verb method, std::string target, std::optional<wire::Json> body);
    const std::vector<std::string>& nodes() const { return nodes_; }

  private:
    Task<net::Reply> ask(net::http::verb method, std::string target, std::optional<wire::Json> body,
                         Clock::duration deadline);
    Task<Outcome> call_with_retries(net::http::verb method, std::string target,
                                    std::optional<wire::Json> body);
    net::HttpClient http_;
    std::vector<std::string> nodes_;
    // One time per node: until then, a node that failed is used only if all others failed too.
    std::vector<TimePoint> avoid_until_;
    Patience retry_policy_;
    std::size_t next_node_ = 0;
    std::mt19937 random_{std::random_device{}()};
};

// Parses a list of nodes such as `127.0.0.1:8080,127.0.0.1:8081`. Throws std::runtime_error that names the
// invalid address.
std::vector<std::string> parse_nodes(const std::string& text);

}  // namespace barrowrun::client
