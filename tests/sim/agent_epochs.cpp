#include "sim/agent_epochs.hpp"

#include "sim/faults.hpp"
#include "sim/pairs.hpp"

namespace barrowrun::sim {
namespace {

SiteOptions site_with_room(std::uint64_t seed) {
    std::mt19937_64 random(seed * 37 + 11);
    SiteOptions options;
    options.zones = random() % 2 ? std::vector<std::string>{"a"} : std::vector<std::string>{"a", "b"};
    options.machines = options.most_machines = 3 + random() % 3;
    const std::pair<double, double> leases[] = {{12, 24}, {16, 41}};
    std::tie(options.lease_s, options.cancel_s) = leases[random() % 2];
    options.heartbeat_s = random() % 2 ? 2.5 : 1.5;
    return options;
}

// Workers begin another agent epoch: all of them, or some.
void end_agent_epochs(Site& site) {
    const auto length = secs(site.options().lease_s) + draw(site, 1, 4);
    if (site.world.one_in(2)) {
        end_all_nodes(site, length);
    } else {
        for (auto* worker : site.live_workers()) {
            if (site.world.one_in(3)) continue;
            if (site.world.one_in(3))
                mute_machine(site, worker->name(), length);
            else
                cut_machine(site, worker->name(), length);
        }
    }
    site.run(length + draw(site, 3, 6));
}

// Tasks start now and go on for longer than a lease; some short ones end before.
void start_work(Site& site) {
    const auto count = 2 + site.world.random() % 4;
    for (std::size_t i = 0; i < count; ++i) {
        const auto tasks = static_cast<std::uint32_t>(1 + site.world.random() % 2);
        site.submit(site.job(
            tasks, site.world.one_in(3) ? draw(site, 1, 6).count() / 1e9 : site.world.between(40, 90)));
        site.run(draw(site, 0, 1));
    }
    site.run(draw(site, 0.3, 3));
}

// Machines lose the network, hear nothing or hang, for less than a lease mostly.
void trouble_machines(Site& site) {
    for (auto* worker : site.live_workers()) {
        const auto length = draw(site, 3, 1.2 * site.options().lease_s);
        switch (site.world.random() % 6) {
            case 0:
            case 1:
            case 2:
                cut_machine(site, worker->name(), length);
                break;
            case 3:
                deafen_machine(site, worker->name(), length);
                break;
            case 4:
                worker->hang(length);
                break;
            default:
                break;
        }
    }
}

void change_leader(Site& site) {
    const auto old = site.leading_process();
    const auto node = site.leader().value_or(site.world.random() % nodes);
    if (site.world.one_in(4))
        site.freeze(node, draw(site, 4, 8));
    else
        site.kill(node, draw(site, 0.5, 8));
    (void)run_until(site, 15s, [&] {
        const auto now = site.leading_process();
        return now && now != old;
    });
}

Nanos play_old_agent_epochs(Site& site, bool other_troubles) {
    auto& w = site.world;
    site.poll_all(2s);
    site.submit(site.job(2, 0, wire::JobKind::service));
    site.run(draw(site, 4, 7));
    const auto rounds = 2 + w.random() % 2;
    for (std::size_t round = 0; round < rounds; ++round) {
        end_agent_epochs(site);
        start_work(site);
        if (other_troubles) begin_any_trouble(site);
        trouble_machines(site);
        change_leader(site);
        site.run(draw(site, 0, 1.5));
        for (auto* worker : site.live_workers())
            if (!w.one_in(4)) deliver_old_reports(site, *worker, 2 + w.random() % 3);
        if (other_troubles && w.one_in(2)) begin_any_trouble(site);
        site.run(draw(site, 5, 12));
    }
    return watch_until_settled(site);
}

}  // namespace

Drawn old_agent_epochs(std::uint64_t seed) {
    return {site_with_room(seed), [seed](Site& site) { return play_old_agent_epochs(site, seed % 2 == 0); }};
}

}  // namespace barrowrun::sim
