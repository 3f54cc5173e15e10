// What a fleet's size costs its leader: refreshes of the fencing token, heartbeats of workers, processor time
// and memory, on a simulated site (tests/sim) without faults. Usage: fleet_size [MACHINES...]
#include <sys/resource.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>

#include "sim/site.hpp"

using namespace barrowrun;
using namespace barrowrun::sim;

namespace {

constexpr std::chrono::seconds warm_up{20}, measured{60};
constexpr std::chrono::milliseconds submission_interval{500};
constexpr double machines_per_job = 60;  // one array of short tasks per so many machines and interval
constexpr std::uint32_t tasks_per_job = 5;
constexpr double state_rps_per_machine = 0.5, state_write_rps_per_machine = 0.2;

std::uint64_t token_refreshes(Site& site) {
    auto answer = const_cast<lab::StateStore&>(site.state().store()).get(state::leader_key);
    const auto record =
        answer.status == 200 ? state::parse_leader_record(answer.body.at("value")) : std::nullopt;
    return record ? record->refresh_count : 0;
}

std::size_t heartbeats(Site& site) {
    std::size_t sent = 0;
    for (auto& [name, worker] : site.workers()) sent += worker->sent_heartbeats().size();
    return sent;
}

// `busy`: arrays of short tasks all the time; else only services, which nothing reaps.
void measure(std::size_t machines, bool busy) {
    SiteOptions options;
    options.machines = options.most_machines = machines;
    options.heartbeat_s = 5;
    options.lease_s = 26.5, options.cancel_s = 51.5;
    options.state_rps = state_rps_per_machine * static_cast<double>(machines);
    options.state_write_rps = state_write_rps_per_machine * static_cast<double>(machines);
    Site site(options);
    // Services fill all machines, or three quarters of them, so that few are returned to the cloud.
    for (std::size_t i = 0; i < (busy ? machines * 3 / 4 : machines); ++i)
        site.submit(site.job(4, 0, wire::JobKind::service));
    if (busy)
        site.world.every(submission_interval, [&site, machines] {
            for (double left = static_cast<double>(machines) / machines_per_job; left > 0; --left)
                site.submit(site.job(tasks_per_job, site.world.between(2, 8)));
            return true;
        });
    site.run(warm_up);
    const auto refreshes_before = token_refreshes(site);
    const auto heartbeats_before = heartbeats(site);
    const auto starts_before = site.checker.starts();
    const auto began = std::chrono::steady_clock::now();
    site.run(measured);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
    const double length_s = Seconds(measured).count();
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    std::printf(
        "%5zu machines, %s: %.2f token refreshes, %.0f heartbeats and %.0f starts a second; %.1f ms of a "
        "core a "
        "second for the whole site; %.0f MB at most so far\n",
        machines, busy ? "short tasks  " : "services only",
        static_cast<double>(token_refreshes(site) - refreshes_before) / length_s,
        static_cast<double>(heartbeats(site) - heartbeats_before) / length_s,
        static_cast<double>(site.checker.starts() - starts_before) / length_s, took.count() * 1000 / length_s,
        static_cast<double>(usage.ru_maxrss) / 1024);
    std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
    std::vector<std::size_t> sizes;
    for (int i = 1; i < argc; ++i) sizes.push_back(std::strtoull(argv[i], nullptr, 10));
    if (sizes.empty()) sizes = {1300, 4000};
    for (auto machines : sizes)
        for (bool busy : {false, true}) measure(machines, busy);
}
