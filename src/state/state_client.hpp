#pragma once
// The state service by its protocol: reads, transactions, holds, watches, within its rates.
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.hpp"
#include "net/reach.hpp"

namespace barrowrun::state {

using net::Task;
using wire::Json;

enum class Outcome {
    ok,
    conflict,  // 409: a condition failed; nothing was done
    absent,    // 404
    refused,   // 400, 429, 503: certainly not executed
    unknown,   // no answer: it may have been executed, or still may
};

struct Value {
    Outcome outcome = Outcome::unknown;
    Json value;
    std::uint64_t version = 0;
};

struct KeyValue {
    std::string key;
    Json value;
    std::uint64_t version = 0;
};

struct Listing {
    bool ok = false;
    std::vector<KeyValue> items;
    std::uint64_t revision = 0;  // of the first page: a watch from there misses nothing
};

// All that a new leader needs, read in one pass.
struct Snapshot {
    Listing jobs, progress, shards, provisioning_requests;
};

struct Precondition {
    std::string key;
    std::uint64_t version = 0;
};

struct Operation {
    std::string key;
    std::optional<Json> value;  // absent: delete
    std::uint64_t lease_id = 0;
};

struct CompareAndSwapResult {
    Outcome outcome = Outcome::unknown;
    std::uint64_t revision = 0;
};

// How a request stands to the rates that the state service sets.
enum class Throttle {
    wait,             // waits for its turn
    charge_only,      // a user waits for it: charged, so that what follows waits, but sent at once
    exempt,           // who leads, and its hold: the budget leaves room for it
    admitted_lookup,  // belongs to a look-up, which has had its turn (`admit_lookup`)
};

struct Event {
    std::string key;
    std::optional<Json> value;
    std::uint64_t version = 0;
};

struct WatchResult {
    bool ok = false, too_old = false;
    std::uint64_t revision = 0;
    std::vector<Event> events;
};

class StateClient {
  public:
    // `nodes`: how many share the service's rates.
    StateClient(net::asio::io_context& io, std::string address, double rps, double write_rps,
                std::size_t nodes = 1);
    Task<Value> get(std::string key, Clock::duration deadline = std::chrono::milliseconds(1500),
                    Throttle throttle = Throttle::wait);
    // Users' questions that only the service can answer share a part of its rate. Waits for the turn of one,
    // which has to be answered with `Throttle::admitted_lookup`; false: there are more than can be answered
    // in time. Unbounded, and beside the leader's own requests, they used up the service's rate, and nobody
    // could win or hold the lead any more (docs/incidents/questions-over-the-rate.md).
    Task<bool> admit_lookup();
    Task<Listing> list(std::string prefix, Throttle throttle = Throttle::wait);
    // Everything, or nothing if any part could not be read.
    Task<std::optional<Snapshot>> snapshot();
    Task<CompareAndSwapResult> compare_and_swap(std::vector<Precondition> preconditions,
                                                std::vector<Operation> operations,
                                                Clock::duration deadline = std::chrono::milliseconds(2000),
                                                Throttle throttle = Throttle::wait);
    Task<std::optional<std::uint64_t>> create_lease(Clock::duration ttl);
    Task<Outcome> extend_lease(std::uint64_t lease_id, Clock::duration deadline);
    Task<Outcome> revoke_lease(std::uint64_t lease_id);
    Task<WatchResult> watch(std::string prefix, std::uint64_t since, Clock::duration wait,
                            Throttle throttle = Throttle::wait);

    // How the service answers this node: used for health, and for judging whether others fare better.
    bool responsive(TimePoint now) const {
        return last_response_ >= last_failure_ || now - last_response_ < std::chrono::milliseconds(1500);
    }
    TimePoint last_response() const { return last_response_; }
    // Since when it has only failed; meaningless while it answers.
    TimePoint failing_since() const { return failing_since_; }

  private:
    Task<net::Reply> call(net::http::verb method, std::string target, std::optional<Json> body,
                          Clock::duration deadline, Throttle throttle = Throttle::wait);
    void note(const net::Reply& reply);
    std::string address_;
    net::HttpClient client_;
    net::RateBudget requests_, writes_, lookups_;
    TimePoint last_response_{}, last_failure_{}, failing_since_{};
    net::Reach reach_{"the state service"};
};

}  // namespace barrowrun::state
