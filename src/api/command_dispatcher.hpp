#pragma once
// Sends commands, fencing tokens and status probes to workers, in addition to the leader's heartbeat
// responses.
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "api/services.hpp"
#include "placement/cluster.hpp"

namespace barrowrun::api {

// Each term has one dispatcher. At most one dispatch and one probe per machine are in flight; flags of
// fleet::Machine mark them. A machine may be removed before the response arrives, so coroutines look it up
// again after each suspension.
class CommandDispatcher {
  public:
    struct Host {
        placement::Cluster& cluster;
        std::function<bool()> may_act;  // whether this node holds a valid leader lease now
        std::function<void(std::string, net::Task<>)> spawn;  // starts a coroutine that ends with the term
        std::function<void(TimePoint)> worker_answered;       // called when a worker answers a request
        std::function<void()> wake_placement, wake_writes_if_any;
    };
    CommandDispatcher(Services services, Host host) : services_(services), host_(std::move(host)) {}

    // Starts a dispatch to each reachable machine that has pending commands.
    void dispatch_pending();
    // Sends the current fencing token to the machine, together with pending commands. The worker then rejects
    // launches that were sent under older tokens, and its response contains its current status.
    void fence(const std::string& machine);
    // Fences many machines, `at_once` of them concurrently. A thousand concurrent connections used this
    // process's whole CPU share for seconds: the leader lease was not extended meanwhile, and the next leader
    // failed in the same way.
    void fence_all(std::deque<std::string> machines, int at_once);
    // Requests the machine's status. Must not be called while a probe of the machine is in flight.
    void probe(fleet::Machine& machine);

  private:
    enum class Purpose { commands, fence };  // fence: a request is sent even if no command is pending
    enum class NextStep { done, repeat, check_for_more };  // repeat: the worker refused an outdated request

    net::Task<> dispatch(std::string machine, Purpose purpose);
    // The token and agent epoch of a request.
    struct Sent {
        std::uint64_t fencing_token = 0, agent_epoch = 0;
    };
    NextStep handle_response(fleet::Machine& machine, int status,
                             const std::optional<wire::WorkerHeartbeat>& report, Sent sent, TimePoint now);
    net::Task<> fence_known_workers(std::shared_ptr<std::deque<std::string>> machines);
    net::Task<> request_status(std::string machine);

    Services services_;
    Host host_;
};

}  // namespace barrowrun::api
