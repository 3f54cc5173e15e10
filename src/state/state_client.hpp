#pragma once
// Client of the state service, a consensus-backed key-value store: reads, compare-and-swap, leases and
// watches, within the rates that the service sets. The service's own words stand only in the .cpp file.
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.hpp"
#include "net/reach.hpp"

namespace barrowrun::state {

using net::Task;
using wire::Json;

// How a request came out.
enum class Outcome {
    ok,
    conflict,  // a precondition failed; nothing was done
    absent,    // there is no such key or lease
    refused,   // certainly not executed
    unknown,   // no usable answer: it may have been executed, or still may be, later
};

// The answer to a read. `value` means something only if `outcome` is ok; `version` is that of the key, or if
// it is absent the service's revision at which it was.
struct Value {
    Outcome outcome = Outcome::unknown;
    Json value;
    std::uint64_t version = 0;
};

// A key as a listing shows it.
struct KeyValue {
    std::string key;
    Json value;
    std::uint64_t version = 0;
};

// All keys under a prefix, in order; empty unless `ok`.
struct Listing {
    bool ok = false;
    std::vector<KeyValue> items;
    std::uint64_t revision = 0;  // of the first page: a watch from there misses nothing
};

// All that a new leader needs, read in one pass.
struct Snapshot {
    Listing jobs, progress, shards, provisioning_requests;
};

// A compare-and-swap is executed only if the key's version is this one; 0: only if there is no such key.
struct Precondition {
    std::string key;
    std::uint64_t version = 0;
};

// One write of a compare-and-swap.
struct Operation {
    std::string key;
    std::optional<Json> value;   // absent: delete
    std::uint64_t lease_id = 0;  // the key is deleted when that lease ends; 0: it stays
};

struct CompareAndSwapResult {
    Outcome outcome = Outcome::unknown;
    std::uint64_t revision = 0;  // the version of all keys that were written, if ok
};

// How a request is held to the rates that the state service sets.
enum class Throttle {
    wait,             // waits for its turn
    charge_only,      // a user waits for it: charged, so that what follows waits, but sent at once
    exempt,           // the leader key and its lease: the budget leaves room for them
    admitted_lookup,  // belongs to a look-up, which has had its turn (`admit_lookup`)
};

// A change of a key that a watch saw.
struct Event {
    std::string key;
    std::optional<Json> value;  // absent: it was deleted
    std::uint64_t version = 0;
};

struct WatchResult {
    bool ok = false;
    bool too_old = false;        // the changes since then are no longer known: list anew
    std::uint64_t revision = 0;  // watch on from here
    std::vector<Event> events;
};

// Owns the connections to the service, this node's budgets of its rates, and what is known of whether it
// answers. All runs on the io thread; every coroutine takes its arguments by value and refers to this object
// until it ends. No call throws for an error of the service or the network: the results say how it came out.
class StateClient {
  public:
    // `rps`, `write_rps`: requests and written keys a second that the service allows all nodes together;
    // `nodes`: how many share them.
    StateClient(net::asio::io_context& io, std::string address, double rps, double write_rps,
                std::size_t nodes = 1);
    // Reads one key. Absence is only reported on the service's own word.
    Task<Value> get(std::string key, Clock::duration deadline = std::chrono::milliseconds(1500),
                    Throttle throttle = Throttle::wait);
    // Users' questions that only the service can answer share a part of its rate. Waits for the turn of one,
    // which has to be answered with `Throttle::admitted_lookup`; false: there are more than can be answered
    // in time. Unbounded, and beside the leader's own requests, they used up the service's rate, and nobody
    // could win or hold the lead any more (docs/incidents/questions-over-the-rate.md).
    Task<bool> admit_lookup();
    // All keys under the prefix, page by page; not `ok` if any page could not be read.
    Task<Listing> list(std::string prefix, Throttle throttle = Throttle::wait);
    // Everything, or nothing if any part could not be read.
    Task<std::optional<Snapshot>> snapshot();
    // All operations, or none if a precondition fails. Budgeted by the number of operations, too. A request
    // whose outcome is unknown may still be executed later, as long as its preconditions hold.
    Task<CompareAndSwapResult> compare_and_swap(std::vector<Precondition> preconditions,
                                                std::vector<Operation> operations,
                                                Clock::duration deadline = std::chrono::milliseconds(2000),
                                                Throttle throttle = Throttle::wait);
    // A lease's id; nothing if none was created, as far as known.
    Task<std::optional<std::uint64_t>> create_lease(Clock::duration ttl);
    Task<Outcome> extend_lease(std::uint64_t lease_id, Clock::duration deadline);
    Task<Outcome> revoke_lease(std::uint64_t lease_id);
    // Changes under the prefix after the revision `since`; without any it returns after `wait`.
    Task<WatchResult> watch(std::string prefix, std::uint64_t since, Clock::duration wait,
                            Throttle throttle = Throttle::wait);

    // Whether the service answers this node, or did until just now: used for health, and for judging whether
    // others fare better.
    bool responsive(TimePoint now) const {
        return last_response_ >= last_failure_ || now - last_response_ < outage_delay;
    }
    TimePoint last_response() const { return last_response_; }
    // Since when it has only failed; meaningless while it answers.
    TimePoint failing_since() const { return failing_since_; }

  private:
    // Sends a request and notes whether it was answered.
    Task<net::Reply> call(net::http::verb method, std::string target, std::optional<Json> body,
                          Clock::duration deadline, Throttle throttle = Throttle::wait);
    Task<> wait_for_request_budget();
    void note(const net::Reply& reply);

    // Failures after an answer count as an outage once they have lasted for so long.
    static constexpr std::chrono::milliseconds outage_delay{1500};

    std::string address_;
    net::HttpClient client_;
    net::RateBudget requests_, writes_, lookups_;
    TimePoint last_response_{}, last_failure_{}, failing_since_{};
    net::Reach reach_{"the state service"};
};

}  // namespace barrowrun::state
