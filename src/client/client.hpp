#pragma once
// Users' side of the protocol: submissions under ids of their own, repeated until there is an answer, spread
// over the nodes. Safe to repeat: a job that is known is never submitted twice.
#include <random>
#include <string>
#include <vector>

#include "net/http_client.hpp"
#include "wire/submission.hpp"

namespace barrowrun::client {

using net::Task;

struct Patience {
    Clock::duration answer = std::chrono::seconds(5);  // per try
    Clock::duration total = std::chrono::seconds(60);  // over all tries
    Clock::duration first_pause = std::chrono::milliseconds(100), longest_pause = std::chrono::seconds(5);
};

enum class Answer {
    accepted,   // on record; `standing` is the job's
    refused,    // for good: `why`
    no_answer,  // within the patience: it may be on record, or may not
    unknown,    // status: never accepted
};

struct Outcome {
    Answer answer = Answer::no_answer;
    wire::JobStatus status;
    std::string why;
};

// Who takes jobs: a site's nodes, or something that stands before them.
class JobService {
  public:
    virtual ~JobService() = default;
    virtual Task<Outcome> submit(wire::JobSpec spec) = 0;
    virtual Task<Outcome> cancel(std::string id) = 0;
    // One round over the nodes, without further patience: pollers come again.
    virtual Task<Outcome> status(std::string id) = 0;
};

class Client : public JobService {
  public:
    Client(net::asio::io_context& io, std::vector<std::string> nodes, Patience patience = {});
    Task<Outcome> submit(wire::JobSpec spec) override;
    Task<Outcome> cancel(std::string id) override;
    Task<Outcome> status(std::string id) override;
    // Any request, until a node gives an answer other than 503, 504 or 429, or patience ends.
    Task<net::Reply> request(net::http::verb method, std::string target, std::optional<wire::Json> body);
    const std::vector<std::string>& nodes() const { return nodes_; }

  private:
    Task<net::Reply> ask(net::http::verb method, std::string target, std::optional<wire::Json> body,
                         Clock::duration deadline);
    Task<Outcome> insist(net::http::verb method, std::string target, std::optional<wire::Json> body);
    net::HttpClient http_;
    std::vector<std::string> nodes_;
    std::vector<TimePoint> bad_until_;  // nodes that failed lately are asked last
    Patience patience_;
    std::size_t next_ = 0;
    std::mt19937 random_{std::random_device{}()};
};

// Nodes as `127.0.0.1:8080,127.0.0.1:8081`. Throws std::runtime_error naming the one that is no address.
std::vector<std::string> parse_nodes(const std::string& text);

}  // namespace barrowrun::client
