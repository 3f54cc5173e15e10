#pragma once
// Client of the state service, a consensus-backed key-value store: reads, compare-and-swap, leases and
// watches, within the rate limits of the service. The service's own names for these (such as "hold" for a
// lease) appear only in the .cpp file.
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.hpp"
#include "net/outage_log.hpp"

namespace barrowrun::state {

using net::Task;
using wire::Json;

// Outcome of a request.
enum class Outcome {
    ok,
    conflict,  // a precondition failed; nothing was executed
    absent,    // the key or the lease does not exist
    refused,   // the request was certainly not executed; the same request may be executed later
    unknown,   // no usable answer: the request may have been executed, or may still be executed later
    rejected,  // the service never executes this request: it is malformed or above a limit
};

// The result of a read. `value` is set only if `outcome` is ok. `version` is the version of the key, or the
// service's revision at which the key was found absent.
struct Value {
    Outcome outcome = Outcome::unknown;
    Json value;
    std::uint64_t version = 0;
};

// An entry of a listing.
struct KeyValue {
    std::string key;
    Json value;
    std::uint64_t version = 0;
};

// All keys with a prefix, in order; empty unless `ok`.
struct Listing {
    bool ok = false;
    std::vector<KeyValue> items;
    std::uint64_t revision = 0;  // at the first page; a watch from this revision misses no change
};

// All records that a new leader needs, read in one pass.
struct Snapshot {
    Listing jobs, progress, shards, provisioning_requests;
};

// Condition of a compare-and-swap: the key must have this version; 0: the key must not exist.
struct Precondition {
    std::string key;
    std::uint64_t version = 0;
};

// One write of a compare-and-swap.
struct Operation {
    std::string key;
    std::optional<Json> value;   // no value: the key is deleted
    std::uint64_t lease_id = 0;  // the key is deleted when this lease ends; 0: the key has no lease
};

struct CompareAndSwapResult {
    Outcome outcome = Outcome::unknown;
    std::uint64_t revision = 0;            // if ok, the new version of all written keys
    std::vector<std::string> failed_keys;  // after a conflict: whose preconditions failed
};

// How the rate limits of the state service apply to a request.
enum class Throttle {
    wait,             // waits until the budget allows the request
    charge_only,      // sent at once because a user waits, but charged, so that later requests wait
    exempt,           // for the leader key and its lease, for which the budget leaves a part of the rate
    admitted_lookup,  // part of a lookup for which `admit_lookup` has returned true
};

// A change of a key that a watch reports.
struct Event {
    std::string key;
    std::optional<Json> value;  // no value: the key was deleted
    std::uint64_t version = 0;
};

struct WatchResult {
    bool ok = false;
    bool too_old = false;        // the service no longer has the changes since then: list the keys again
    std::uint64_t revision = 0;  // continue the watch from here
    std::vector<Event> events;
};

// Owns the connections to the service, this node's shares of its rate limits, and the times of the last
// response and the last failure. All methods run on the io thread. Every coroutine takes its arguments by
// value and refers to this object until it ends. Errors of the service or the network are reported in the
// results; no call throws for them.
class StateClient {
  public:
    // `rps`, `write_rps`: requests and written keys per second that the service allows all nodes together;
    // `nodes`: the number of nodes that share the rate of lookups.
    StateClient(net::asio::io_context& io, std::string address, double rps, double write_rps,
                std::size_t nodes = 1);
    // Reads one key. The outcome is `absent` only if the service itself reported that the key does not exist.
    Task<Value> get(std::string key, Clock::duration deadline = std::chrono::milliseconds(1500),
                    Throttle throttle = Throttle::wait);
    // Admits a user's lookup that needs the state service; the requests of the lookup must use
    // `Throttle::admitted_lookup`. Waits for the lookup's share of the rate; returns false if that would take
    // too long. Without this limit, lookups and the leader's own requests used up the service's rate, and no
    // node could win or keep leadership (docs/incidents/questions-over-the-rate.md).
    Task<bool> admit_lookup();
    // Lists all keys with the prefix, page by page; not `ok` if any page could not be read.
    Task<Listing> list(std::string prefix, Throttle throttle = Throttle::wait);
    // Reads a snapshot; returns nothing if any part of it could not be read.
    Task<std::optional<Snapshot>> snapshot();
    // Executes all operations, or none if a precondition fails. Charged as one request and as one write per
    // operation. A request with unknown outcome may still be executed later while its preconditions hold.
    Task<CompareAndSwapResult> compare_and_swap(std::vector<Precondition> preconditions,
                                                std::vector<Operation> operations,
                                                Clock::duration deadline = std::chrono::milliseconds(2000),
                                                Throttle throttle = Throttle::wait);
    // Creates a lease and returns its id; returns nothing if the lease was not created or the answer was
    // lost.
    Task<std::optional<std::uint64_t>> create_lease(Clock::duration ttl);
    Task<Outcome> extend_lease(std::uint64_t lease_id, Clock::duration deadline);
    Task<Outcome> revoke_lease(std::uint64_t lease_id);
    // Returns the changes of keys with the prefix after the revision `since`; waits up to `wait` for a
    // change.
    Task<WatchResult> watch(std::string prefix, std::uint64_t since, Clock::duration wait,
                            Throttle throttle = Throttle::wait);

    // Whether the service answers this node, or answered within the last `outage_threshold`. Used for health
    // reports and for deciding whether another node has a better connection to the service.
    bool responsive(TimePoint now) const {
        return last_response_ >= last_failure_ || now - last_response_ < outage_threshold;
    }
    TimePoint last_response() const { return last_response_; }
    // Time of the first failure after the last response; meaningless while the service answers.
    TimePoint failing_since() const { return failing_since_; }

  private:
    // Sends a request and records whether it was answered.
    Task<net::Reply> call(net::http::verb method, std::string target, std::optional<Json> body,
                          Clock::duration deadline, Throttle throttle = Throttle::wait);
    Task<> wait_for_request_budget();
    void record_reply(const net::Reply& reply);

    // Failures count as an outage once the last response is this old.
    static constexpr std::chrono::milliseconds outage_threshold{1500};

    std::string address_;
    net::HttpClient client_;
    net::RateBudget request_budget_, write_budget_, lookup_budget_;
    TimePoint last_response_{}, last_failure_{}, failing_since_{};
    net::OutageLog outage_log_{"the state service"};
};

}  // namespace barrowrun::state
