#include "api/worker_monitor.hpp"

#include <spdlog/spdlog.h>

namespace barrowrun::api {
using namespace std::chrono_literals;

namespace {
// Retry intervals for machines that do not answer: fencing requests to a machine whose lease may have
// expired, and probes of a machine that is up but unreachable at its address.
constexpr std::chrono::seconds fence_interval{2}, unreachable_probe_interval{3};
// A tick delayed longer than `max_tick_delay` shows that the process is short of CPU time. Reading the
// messages that arrived meanwhile then takes at least `min_catch_up_time`.
constexpr std::chrono::milliseconds max_tick_delay{250}, min_catch_up_time{500};
// Workers may not know the new leader yet for this long after the start of a term.
constexpr std::chrono::seconds initial_grace_period{8};
// A response of the state service within this time shows that this node itself is not partitioned.
constexpr std::chrono::milliseconds state_response_window{1500};
// While heartbeats only arrive via peers, up to `max_reachability_probes` machines are probed once per
// interval; their responses are awaited for `reachability_probe_wait`.
constexpr std::chrono::seconds reachability_probe_interval{5};
constexpr std::chrono::milliseconds reachability_probe_wait{1500};
constexpr int max_reachability_probes = 8;

Clock::duration heartbeat_timeout(double heartbeat_s) {
    return secs(std::max(4.0, 2 * heartbeat_s + 2));
}
}  // namespace

WorkerMonitor::WorkerMonitor(const placement::Config& config, TimePoint acquired, Host host)
    : acquired_(acquired),
      heartbeat_timeout_(heartbeat_timeout(config.heartbeat_s)),
      host_(std::move(host)),
      failure_detector_({secs(config.heartbeat_s), secs(config.lease_s), max_concurrent_probes}),
      reachability_(secs(config.heartbeat_s), acquired) {}

void WorkerMonitor::heartbeat_received(TimePoint now, bool direct) {
    last_heartbeat_ = now;
    direct ? reachability_.heard_directly(now) : reachability_.heard_via_peer(now);
}

void WorkerMonitor::note_delay(TimePoint due, TimePoint now) {
    const auto delay = now - due;
    if (delay <= max_tick_delay) return;
    if (catching_up_until_ < now)
        spdlog::info("node: event loop delayed by {:.1f} s, silence of machines is ignored for a while",
                     Seconds(delay).count());
    // Messages that arrived during the delay are still in the sockets; reading them takes about as long as
    // the delay.
    catching_up_until_ = std::max(catching_up_until_, now + min_catch_up_time + 2 * delay);
    failure_detector_.suspend_until(catching_up_until_);
}

WorkerMonitor::Contact WorkerMonitor::check(TimePoint now) {
    const auto contact = contact_unreachable(now);
    return_silent(now);
    // A leader that no worker reaches must step down even if it can extend its lease. So must a leader that
    // workers reach only via other nodes: it can't send them commands, and their heartbeats arrive late.
    if (heartbeats_only_forwarded(now, contact.up)) {
        spdlog::warn(
            "leader: no worker reaches it or answers its probes, but other nodes forward heartbeats, "
            "stepping down");
        return Contact::lost;
    }
    if (contact.any_expected && all_workers_silent(now)) {
        spdlog::warn("leader: no heartbeat of any worker for {:.1f} s, stepping down",
                     Seconds(now - last_heartbeat_).count());
        return Contact::lost;
    }
    return Contact::sufficient;
}

// Sends fencing requests to silent machines that may hold tasks, and probes to machines that are up but don't
// answer at their address; at most `max_concurrent_probes` in each tick.
WorkerMonitor::FleetContact WorkerMonitor::contact_unreachable(TimePoint now) {
    FleetContact contact;
    int contacted = 0;
    for (auto& [name, machine] : host_.cluster.machines()) {
        host_.cluster.mark_command_pending(name);
        contact.up += machine->up;
        contact.any_expected |= machine->up || !machine->assignments.empty();
        const auto since_probe = now - machine->last_probe;
        const bool fence = !machine->up && !machine->address.empty() && since_probe > fence_interval &&
                           !machine->assignments.empty();
        const bool probe = machine->up && !machine->push_reachable && !machine->probe_in_flight &&
                           since_probe > unreachable_probe_interval;
        if (!fence && !probe) continue;
        if (++contacted > max_concurrent_probes) continue;
        machine->last_probe = now;
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
        now - host_.state.last_response() <= state_response_window);
    for (auto* machine : verdict.probe) host_.probe(*machine);
    if (verdict.declare_failed.empty()) return;
    std::vector<std::string> silent;
    for (auto* machine : verdict.declare_failed) {
        spdlog::warn(
            "machine {}: declared failed after its silence, returning it to prove that it runs no task",
            machine->name);
        machine->returning = true;
        failure_detector_.note_declared_failed(now);
        silent.push_back(machine->name);
    }
    host_.return_silent(std::move(silent));
}

// Forwarded heartbeats alone don't prove that the leader is unreachable. It probes some machines first; any
// response counts as direct contact.
bool WorkerMonitor::heartbeats_only_forwarded(TimePoint now, std::size_t up) {
    if (!reachability_.cut_off(now, up) || now < catching_up_until_ ||
        now - acquired_ <= initial_grace_period || !host_.state.responsive(now))
        return false;
    const auto since_probe = now - reachability_probed_;
    if (since_probe <= reachability_probe_interval) return since_probe > reachability_probe_wait;
    reachability_probed_ = now;
    probe_some_reachable();
    return false;
}

void WorkerMonitor::probe_some_reachable() {
    int left = max_reachability_probes;
    for (auto& [name, machine] : host_.cluster.machines()) {
        if (!machine->up || machine->probe_in_flight || machine->address.empty()) continue;
        if (left-- == 0) break;
        host_.probe(*machine);
    }
}

bool WorkerMonitor::all_workers_silent(TimePoint now) const {
    return now - last_heartbeat_ > heartbeat_timeout_ && now - acquired_ > initial_grace_period &&
           host_.state.responsive(now);
}

}  // namespace barrowrun::api
