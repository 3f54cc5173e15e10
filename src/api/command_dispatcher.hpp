#pragma once
// Commands that a leader sends to workers by itself, beside its answers to their heartbeats, and probes.
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "api/services.hpp"
#include "placement/cluster.hpp"

namespace barrowrun::api {

// One per term. At most one dispatch and one probe of a machine are in flight; that is marked on the machine,
// since it may be gone before the answer comes. Coroutines look machines up again after each suspension.
class CommandDispatcher {
  public:
    struct Host {
        placement::Cluster& cluster;
        TimePoint acquired;                                   // when the term began
        std::function<bool()> may_act;                        // whether this node leads, at this moment
        std::function<void(std::string, net::Task<>)> spawn;  // ends with the term
        std::function<void(TimePoint)> worker_answered;       // a worker answered a request
        std::function<void()> wake_placement, wake_writes_if_any;
    };
    CommandDispatcher(Services services, Host host) : services_(services), host_(std::move(host)) {}

    // Starts a dispatch to each machine that has commands waiting and can be reached.
    void dispatch_pending();
    // Sends the term's fencing token, with commands if there are any: that voids what a former token may
    // still start, and brings a fresh status.
    void fence(const std::string& machine);
    // The same for many, a few at once: a thousand connections took this process's whole share for seconds,
    // the leader's lease was not extended meanwhile, and the next leader did the same.
    void fence_all(std::deque<std::string> machines, int at_once);
    // Asks the machine for its status; only while no probe of it is in flight.
    void probe(fleet::Machine& machine);

  private:
    enum class Purpose { commands, fence };  // fence: sent even without a command
    enum class Next { done, repeat_for_agent_epoch, look_for_more };

    net::Task<> dispatch(std::string machine, Purpose purpose);
    Next handle_answer(fleet::Machine& machine, const net::Reply& reply, std::uint64_t sent_agent_epoch,
                       TimePoint now);
    net::Task<> fence_known_workers(std::shared_ptr<std::deque<std::string>> machines);
    net::Task<> request_status(std::string machine);

    Services services_;
    Host host_;
};

}  // namespace barrowrun::api
