#include "api/worker_monitor.hpp"

#include <spdlog/spdlog.h>

namespace barrowrun::api {
using namespace std::chrono_literals;

namespace {
// A machine that does not answer is tried again after so long: one whose lease may have expired, to fence it,
// and one that is up, but not reached at its address.
constexpr std::chrono::seconds fence_interval{2}, unreachable_probe_interval{3};
// A delay of a tick beyond this shows that the process is behind itself.
constexpr std::chrono::milliseconds noticeable_delay{250}, min_catch_up{500};
// A young term may not have been heard of.
constexpr std::chrono::seconds young_term{8};
// Answers of the state service within this show that this node itself isn't cut off.
constexpr std::chrono::milliseconds state_service_heard{1500};
// How often reachable machines are probed when only peers hear workers; the answers are in after a while.
constexpr std::chrono::seconds reachability_probe_interval{5};
constexpr std::chrono::milliseconds reachability_probe_wait{1500};
constexpr int reachability_probes = 8;

Clock::duration heartbeat_patience(double heartbeat_s) {
    return secs(std::max(4.0, 2 * heartbeat_s + 2));
}
}  // namespace

WorkerMonitor::WorkerMonitor(const placement::Config& config, TimePoint acquired, Host host)
    : acquired_(acquired),
      heartbeat_patience_(heartbeat_patience(config.heartbeat_s)),
      host_(std::move(host)),
      failure_detector_({secs(config.heartbeat_s), secs(config.lease_s), max_concurrent_probes}),
      reachability_(secs(config.heartbeat_s), acquired) {}

void WorkerMonitor::heartbeat_received(TimePoint now, bool direct) {
    last_heartbeat_ = now;
    direct ? reachability_.heard_directly(now) : reachability_.heard_via_peer(now);
}

void WorkerMonitor::note_delay(TimePoint due, TimePoint now) {
    const auto delay = now - due;
    if (delay <= noticeable_delay) return;
    if (lagging_until_ < now)
        spdlog::info("this process is {:.1f} s behind: silence of machines counts for nothing for a while",
                     Seconds(delay).count());
    // What came in meanwhile stands in its sockets: it is read in about the time that was lost.
    lagging_until_ = std::max(lagging_until_, now + min_catch_up + 2 * delay);
    failure_detector_.suspend_until(lagging_until_);
}

WorkerMonitor::Contact WorkerMonitor::check(TimePoint now) {
    const auto contact = contact_unreachable(now);
    return_silent(now);
    // A leader that no worker reaches is of no use, whatever the state service says. Nor one that workers
    // reach only by way of others: it can send them nothing, and they it late.
    if (only_peers_hear_workers(now, contact.up)) {
        spdlog::warn("no worker reaches this leader or answers it, but others forward their heartbeats");
        return Contact::lost;
    }
    if (contact.any_expected && no_worker_heard(now)) {
        spdlog::warn("no worker has reached this leader for {:.1f} s",
                     Seconds(now - last_heartbeat_).count());
        return Contact::lost;
    }
    return Contact::sufficient;
}

// Fences machines that may hold tasks and are not heard, and probes those that can't be reached directly: a
// few in each tick.
WorkerMonitor::FleetContact WorkerMonitor::contact_unreachable(TimePoint now) {
    FleetContact contact;
    int contacted = 0;
    for (auto& [name, machine] : host_.cluster.machines()) {
        host_.cluster.note_command(name);
        contact.up += machine->up;
        contact.any_expected |= machine->up || !machine->assignments.empty();
        const auto since_probe = now - machine->probed;
        const bool fence = !machine->up && !machine->address.empty() && since_probe > fence_interval &&
                           !machine->assignments.empty();
        const bool probe = machine->up && !machine->push_reachable && !machine->probing &&
                           since_probe > unreachable_probe_interval;
        if (!fence && !probe) continue;
        if (++contacted > max_concurrent_probes) continue;
        machine->probed = now;
        if (fence)
            host_.fence(name);
        else
            host_.probe(*machine);
    }
    return contact;
}

void WorkerMonitor::return_silent(TimePoint now) {
    auto& cluster = host_.cluster;
    auto verdict = failure_detector_.evaluate(
        cluster.machines(), now, acquired_,
        [&cluster](auto& machine) { return cluster.runs_service(machine); },
        now - host_.state.last_response() <= state_service_heard);
    for (auto* machine : verdict.probe) host_.probe(*machine);
    if (verdict.declare_failed.empty()) return;
    std::vector<std::string> silent;
    for (auto* machine : verdict.declare_failed) {
        spdlog::warn("machine {} stays silent: it is returned, to prove it empty", machine->name);
        machine->returning = true;
        failure_detector_.note_declared_failed(now);
        silent.push_back(machine->name);
    }
    host_.return_silent(std::move(silent));
}

// Heartbeats may come by way of others for another reason: so machines are probed first, and any answer
// counts as contact.
bool WorkerMonitor::only_peers_hear_workers(TimePoint now, std::size_t up) {
    if (!reachability_.cut_off(now, up) || now < lagging_until_ || now - acquired_ <= young_term ||
        !host_.state.responsive(now))
        return false;
    const auto since_probe = now - reachability_probed_;
    if (since_probe <= reachability_probe_interval) return since_probe > reachability_probe_wait;
    reachability_probed_ = now;
    probe_some_reachable();
    return false;
}

void WorkerMonitor::probe_some_reachable() {
    int left = reachability_probes;
    for (auto& [name, machine] : host_.cluster.machines()) {
        if (!machine->up || machine->probing || machine->address.empty()) continue;
        if (left-- == 0) break;
        host_.probe(*machine);
    }
}

bool WorkerMonitor::no_worker_heard(TimePoint now) const {
    return now - last_heartbeat_ > heartbeat_patience_ && now - acquired_ > young_term &&
           host_.state.responsive(now);
}

}  // namespace barrowrun::api
