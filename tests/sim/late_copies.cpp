#include "sim/late_copies.hpp"

#include "sim/faults.hpp"
#include "sim/pairs.hpp"

namespace barrowrun::sim {
namespace {

constexpr std::chrono::seconds length_of_copying{70};

SiteOptions site_with_little_room(std::uint64_t seed) {
    std::mt19937_64 random(seed * 41 + 5);
    SiteOptions options;
    options.zones = random() % 3 ? std::vector<std::string>{"a"} : std::vector<std::string>{"a", "b"};
    options.machines = 3 + random() % 4;
    options.most_machines = options.machines + random() % 3;
    const std::pair<double, double> leases[] = {{12, 24}, {14, 39}, {26, 52}};
    std::tie(options.lease_s, options.cancel_s) = leases[random() % 3];
    options.heartbeat_s = random() % 2 ? 3 : 1.5;
    options.keep_leases = random() % 4 != 0;
    return options;
}

// Mostly seconds, as the users saw; for some seeds minutes.
Nanos latest_copy(Site& site) {
    return site.world.one_in(3) ? draw(site, 60, 150) : draw(site, 3, 16);
}

void submit_work(Site& site) {
    auto& w = site.world;
    auto spec = site.job(1 + static_cast<std::uint32_t>(w.random() % 5),
                         w.one_in(3) ? w.between(20, 60) : w.between(0.5, 8),
                         w.one_in(5) ? wire::JobKind::gang : wire::JobKind::array);
    spec.priority = static_cast<wire::Priority>(w.random() % 4);
    spec.need.cpus = 1 + static_cast<double>(w.random() % 4);
    if (w.one_in(4) && spec.kind == wire::JobKind::array) spec.checkpoint_s = 5, spec.save_s = 1;
    site.submit(spec);
    if (w.one_in(3)) w.after(draw(site, 0.2, 20), [&site, id = spec.id] { site.cancel(id); });
}

void begin_work(Site& site) {
    for (int i = 0; i < 2; ++i) site.submit(site.job(2, 0, wire::JobKind::service));
    site.world.every(1500ms, [&site, until = site.world.now() + length_of_copying] {
        submit_work(site);
        return site.world.now() < until;
    });
}

// A node or a machine is away for less than a second or for some seconds, or the lead changes.
void short_trouble(Site& site) {
    auto& w = site.world;
    const auto length = w.one_in(2) ? draw(site, 0.1, 0.9) : draw(site, 1, 8);
    auto machines = site.live_workers();
    auto* machine = machines.empty() ? nullptr : machines[w.random() % machines.size()];
    const auto leader = site.leader().value_or(w.random() % nodes);
    switch (w.random() % 6) {
        case 0:
            site.kill(leader, length);
            break;
        case 1:
            site.kill(site.other(leader), length);
            break;
        case 2:
            if (machine) machine->hang(length);
            break;
        case 3:
            if (machine) cut_machine(site, machine->name(), length);
            break;
        case 4:
            if (machine) mute_machine(site, machine->name(), length);
            break;
        default:
            break;
    }
}

// Machines lose the network just as a copy was carried out, and the leader ends.
void end_leader_unheard(Site& site) {
    for (auto* worker : site.live_workers())
        if (site.world.one_in(2)) cut_machine(site, worker->name(), draw(site, 4, 11));
    if (const auto leader = site.leader()) site.kill(*leader, draw(site, 0.2, 6));
}

Nanos play_copies(Site& site, bool commands, bool transactions, bool other_troubles) {
    auto& w = site.world;
    site.poll_all(2s);
    site.run(draw(site, 2, 4));
    begin_work(site);
    fail_tasks(site, 2 + w.random() % 4, length_of_copying);
    if (commands) copy_commands(site, 1 + w.random() % 3, length_of_copying, latest_copy(site));
    if (transactions) {
        site.state().copy_transactions(1 + w.random() % 4, length_of_copying, latest_copy(site));
        site.state().on_copy_carried_out = [&site, ends = std::size_t{0}]() mutable {
            if (ends < 3 && site.world.one_in(20)) ++ends, end_leader_unheard(site);
        };
    }
    const auto rounds = 4 + w.random() % 3;
    for (std::size_t round = 0; round < rounds; ++round) {
        site.run(draw(site, 2, 12));
        short_trouble(site);
        if (transactions && w.one_in(3)) w.after(draw(site, 0, 4), [&site] { end_leader_unheard(site); });
        if (other_troubles && w.one_in(2)) begin_any_trouble(site);
    }
    site.run(draw(site, 8, 16));
    site.state().on_copy_carried_out = {};
    return watch_until_settled(site);
}

}  // namespace

Drawn copied_commands(std::uint64_t seed) {
    return {site_with_little_room(seed),
            [seed](Site& site) { return play_copies(site, true, false, seed % 2 == 0); }};
}

Drawn copied_transactions(std::uint64_t seed) {
    return {site_with_little_room(seed + 100'000),
            [seed](Site& site) { return play_copies(site, seed % 4 == 0, true, seed % 2 == 0); }};
}

}  // namespace barrowrun::sim
