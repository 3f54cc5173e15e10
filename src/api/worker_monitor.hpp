#pragma once
// Whether workers reach this leader, and which silent ones are probed, fenced or given up.
#include <functional>
#include <string>
#include <vector>

#include "fleet/failure_detector.hpp"
#include "fleet/reachability.hpp"
#include "placement/cluster.hpp"
#include "state/state_client.hpp"

namespace barrowrun::api {

// Probes of machines beside their heartbeats, at once: a share of what a process with a fraction of a core
// can do.
inline constexpr int max_concurrent_probes = 16;

// Owns what a term of leadership knows of its contact with workers. It decides; `Host` carries out, without
// waiting. Times are on the node's steady clock.
class WorkerMonitor {
  public:
    struct Host {
        placement::Cluster& cluster;
        const state::StateClient& state;
        std::function<void(fleet::Machine&)> probe;             // asks for its status
        std::function<void(const std::string& machine)> fence;  // sends it the term's fencing token
        std::function<void(std::vector<std::string> machines)> return_silent;
    };
    enum class Contact { sufficient, lost };

    WorkerMonitor(const placement::Config& config, TimePoint acquired, Host host);

    // The records were read: silence counts from here.
    void recovered(TimePoint now) { last_heartbeat_ = now; }
    // A worker's heartbeat, sent to this node or forwarded by another.
    void heartbeat_received(TimePoint now, bool direct);
    // A worker answered a request of this node.
    void worker_answered(TimePoint now) { reachability_.heard_directly(now); }
    // A tick that was due at a time came at another: a process that is behind itself hears late.
    void note_delay(TimePoint due, TimePoint now);
    // Once a tick. Lost: no worker reaches this leader, and another node would lead better.
    Contact check(TimePoint now);

  private:
    struct FleetContact {
        std::size_t up = 0;         // machines with a current lease
        bool any_expected = false;  // some machine is up, or may hold a task
    };
    FleetContact contact_unreachable(TimePoint now);
    void return_silent(TimePoint now);
    bool only_peers_hear_workers(TimePoint now, std::size_t up);
    bool no_worker_heard(TimePoint now) const;
    void probe_some_reachable();

    TimePoint acquired_;
    Clock::duration heartbeat_patience_;
    Host host_;
    fleet::FailureDetector failure_detector_;
    fleet::LeaderReachability reachability_;
    TimePoint last_heartbeat_{}, reachability_probed_{};
    TimePoint lagging_until_{};  // until then what came in while the process stood still is being read
};

}  // namespace barrowrun::api
