#pragma once
// Monitors the leader's contact with workers and decides which silent machines are probed, fenced or
// returned.
#include <functional>
#include <string>
#include <vector>

#include "fleet/failure_detector.hpp"
#include "fleet/reachability.hpp"
#include "placement/cluster.hpp"
#include "state/state_client.hpp"

namespace barrowrun::api {

// Most probes or fencing requests that are started at once. The controller has a fraction of a core and must
// also answer heartbeats.
inline constexpr int max_concurrent_probes = 16;

// Tracks the contact with workers during one term. It only decides; the callbacks in `Host` start the
// requests and return at once. All times are on the node's steady clock.
class WorkerMonitor {
  public:
    struct Host {
        placement::Cluster& cluster;
        const state::StateClient& state;
        std::function<void(fleet::Machine&)> probe;             // requests the machine's status
        std::function<void(const std::string& machine)> fence;  // sends the current fencing token
        std::function<void(std::vector<std::string> machines)> return_silent;
    };
    enum class Contact { sufficient, lost };

    WorkerMonitor(const placement::Config& config, TimePoint acquired, Host host);

    // Recovery has finished: the silence of workers is measured from `now`.
    void recovered(TimePoint now) { last_heartbeat_ = now; }
    // A worker's heartbeat has arrived. `direct`: sent to this node, not forwarded by another.
    void heartbeat_received(TimePoint now, bool direct);
    // A worker has answered a request of this node.
    void worker_answered(TimePoint now) { reachability_.heard_directly(now); }
    // A tick that was due at `due` ran at `now`. After a long delay, heartbeats that are already in the
    // sockets are read late, and silence is ignored for a while.
    void note_delay(TimePoint due, TimePoint now);
    // Called once per tick. `lost`: no worker reaches this leader, which should step down for another node.
    Contact check(TimePoint now);

  private:
    struct FleetContact {
        std::size_t up = 0;         // machines whose worker has an unexpired lease
        bool any_expected = false;  // a machine is up or may hold a task, so heartbeats are expected
    };
    FleetContact contact_unreachable(TimePoint now);
    void return_silent(TimePoint now);
    bool heartbeats_only_forwarded(TimePoint now, std::size_t up);
    bool all_workers_silent(TimePoint now) const;
    void probe_some_reachable();

    TimePoint acquired_;
    Clock::duration heartbeat_timeout_;
    Host host_;
    fleet::FailureDetector failure_detector_;
    fleet::LeaderReachability reachability_;
    TimePoint last_heartbeat_{}, reachability_probed_{};
    TimePoint catching_up_until_{};  // messages that arrived during a delay are read until then
};

}  // namespace barrowrun::api
