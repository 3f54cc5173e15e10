#include "sim/pairs.hpp"

#include <cstdio>
#include <cstdlib>
#include <sstream>

#include "sim/faults.hpp"

namespace barrowrun::sim {
namespace {

Fault::Kind any_kind(World& world) {
    constexpr Fault::Kind kinds[] = {Fault::Kind::drop, Fault::Kind::hold, Fault::Kind::refuse};
    return kinds[world.random() % 3];
}

std::size_t leader_or_any(Site& site) {
    return site.leader().value_or(site.world.random() % nodes);
}

void some_machines(Site& site, const std::function<void(const std::string&)>& hit) {
    const auto one_in = 2 + site.world.random() % 4;
    for (auto* worker : site.live_workers())
        if (site.world.one_in(one_in)) hit(worker->name());
}

std::string any_zone(Site& site) {
    return site.options().zones[site.world.random() % site.zones()];
}

void cut_a_node(Site& site) {
    auto& w = site.world;
    CutFrom from{w.one_in(2), w.one_in(2), w.one_in(3), w.one_in(3)};
    cut_node(site, w.one_in(3) ? w.random() % nodes : leader_or_any(site), from, draw(site, 3, 25),
             any_kind(w));
}

void lose_a_machine(Site& site) {
    auto machines = site.live_workers();
    if (machines.empty()) return;
    const auto name = machines[site.world.random() % machines.size()]->name();
    if (site.world.one_in(2)) return site.lose_machine(name);
    site.take_machine(name, site.world.one_in(2) ? std::optional<Nanos>(draw(site, 3, 12)) : std::nullopt);
}

void burst(Site& site) {
    for (int i = 0; i < 6; ++i) site.submit(site.job(2, site.world.between(3, 30)));
}

// Each trouble lasts for less than this.
constexpr std::chrono::seconds longest_trouble{45};

struct Trouble {
    const char* name;
    std::function<void(Site&)> begin;
};

const std::vector<Trouble>& troubles() {
    static const std::vector<Trouble> all{
        {"end_leader", [](Site& s) { s.kill(leader_or_any(s), draw(s, 0.1, 6)); }},
        {"end_follower", [](Site& s) { s.kill(s.other(leader_or_any(s)), draw(s, 0.1, 6)); }},
        {"end_all", [](Site& s) { end_all_nodes(s, draw(s, 0.2, 15)); }},
        {"freeze", [](Site& s) { s.freeze(leader_or_any(s), draw(s, 2, 20)); }},
        {"refuse_leader", [](Site& s) { s.state().refuse(s.node_name(leader_or_any(s)), draw(s, 2, 20)); }},
        {"outage", [](Site& s) { s.state().outage(draw(s, 2, 40)); }},
        {"state_slow", [](Site& s) { s.state().slow(draw(s, 0.05, 1.2), draw(s, 3, 10)); }},
        {"lost_answers",
         [](Site& s) { s.state().lose_answers(1 + s.world.random() % 4, draw(s, 3, 10), true); }},
        {"late_writes",
         [](Site& s) { s.state().lose_answers(1 + s.world.random() % 4, draw(s, 3, 10), false); }},
        {"late_reports", [](Site& s) { repeat_reports(s, 1 + s.world.random() % 4, draw(s, 5, 20)); }},
        {"old_reports", [](Site& s) { s.keep_reports_for_next(1 + s.world.random() % 4, draw(s, 5, 20)); }},
        {"late_commands", [](Site& s) { delay_commands(s, 1 + s.world.random() % 3, draw(s, 5, 20)); }},
        {"deaf", [](Site& s) { some_machines(s, [&](auto& m) { deafen_machine(s, m, draw(s, 2, 30)); }); }},
        {"mute", [](Site& s) { some_machines(s, [&](auto& m) { mute_machine(s, m, draw(s, 2, 30)); }); }},
        {"hang",
         [](Site& s) { some_machines(s, [&](auto& m) { s.workers().at(m)->hang(draw(s, 2, 20)); }); }},
        {"cut_machines",
         [](Site& s) {
             const auto kind = any_kind(s.world);
             some_machines(s, [&](auto& m) { cut_machine(s, m, draw(s, 2, 30), kind); });
         }},
        {"cut_node", cut_a_node},
        {"cut_zone", [](Site& s) { cut_zone(s, any_zone(s), draw(s, 5, 40), any_kind(s.world)); }},
        {"lose_machine", lose_a_machine},
        {"cancel_now",
         [](Site& s) {
             cancel_now(s, 1 + s.world.random() % 6, s.world.one_in(2) ? draw(s, 1, 14) : Nanos{0});
         }},
        {"cancel_at_end", [](Site& s) { s.cancel_at_end(1 + s.world.random() % 2, draw(s, 5, 20)); }},
        {"odd_requests", [](Site& s) { odd_requests(s, draw(s, 3, 12)); }},
        {"close_looks",
         [](Site& s) {
             s.close_looks = true;
             s.world.after(draw(s, 5, 20), [&s] { s.close_looks = false; });
         }},
        {"slow_links", [](Site& s) { s.world.slow_links(draw(s, 0.05, 0.8), draw(s, 5, 20)); }},
        {"cloud_outage", [](Site& s) { s.cloud().out(draw(s, 5, 30)); }},
        {"burst", burst},
    };
    return all;
}

bool asked_for(const std::string& name) {
    const char* only = std::getenv("SIM_TROUBLES");
    if (!only) return true;
    std::istringstream words(only);
    for (std::string word; words >> word;)
        if (word == name) return true;
    return false;
}

// Runs up to a moment that tends to matter.
void await_moment(Site& site) {
    auto& w = site.world;
    const auto leader = site.leader();
    switch (w.random() % 5) {
        case 0:  // a transaction has just been carried out
            (void)run_until(site, 5s, [&, n = site.state().writes()] { return site.state().writes() != n; });
            break;
        case 1:  // the lead has ended, or changed hands: its successor reads the records
            if (run_until(site, 6s, [&] { return site.leader() != leader; }))
                site.run(std::chrono::microseconds(w.random() % 60'000));
            break;
        case 2:  // a job's last task ends
            (void)run_until(site, 5s,
                            [&, n = site.checker.jobs_done()] { return site.checker.jobs_done() != n; });
            break;
        case 3:  // the end of a hold that was extended just now
            site.run(2900ms + draw(site, 0, 0.3));
            break;
        default:
            site.run(draw(site, 0, 6));
            break;
    }
}

void any_work(Site& site) {
    auto& w = site.world;
    auto spec = site.job(1 + static_cast<std::uint32_t>(w.random() % 3), w.between(3, 60),
                         w.one_in(4) ? wire::JobKind::gang : wire::JobKind::array);
    spec.priority = static_cast<wire::Priority>(w.random() % 4);
    if (w.one_in(4)) spec.zone = any_zone(site);
    if (!spec.zone) {
        spec.spread = w.one_in(5) && site.zones() > 1;
        spec.one_zone = !spec.spread && w.one_in(4);
    }
    spec.spot_ok = w.one_in(2);
    if (w.one_in(4)) spec.need.cpus = 2;
    if (spec.kind == wire::JobKind::array && w.one_in(4)) spec.checkpoint_s = 5, spec.save_s = 1;
    site.submit(spec);
    if (w.one_in(4)) w.after(draw(site, 0, 40), [&site, id = spec.id] { site.cancel(id); });
}

void keep_working(Site& site, Nanos until) {
    for (int i = 0; i < 3; ++i) {
        auto spec = site.job(2, 0, wire::JobKind::service);
        spec.spread = site.zones() > 1;
        site.submit(spec);
    }
    for (int i = 0; i < 2; ++i) site.submit(site.job(3, 300));
    site.world.every(2s, [&site, until] {
        any_work(site);
        return site.world.now() < until;
    });
}

SiteOptions any_site(std::uint64_t seed) {
    std::mt19937_64 random(seed * 31 + 7);
    SiteOptions options;
    const std::vector<std::vector<std::string>> zones{{"a"}, {"a", "b"}, {"a", "b", "c"}};
    options.zones = zones[random() % zones.size()];
    options.machines = 5 + random() % 6;
    options.most_machines = 16;
    const std::pair<double, double> leases[] = {{12, 24}, {14, 39}, {22, 47}};
    std::tie(options.lease_s, options.cancel_s) = leases[random() % 3];
    options.heartbeat_s = random() % 2 ? 3 : 1.5;
    options.boot_s = random() % 3 ? 10 : 1.5;
    options.team_cpus_most = random() % 3 ? 0 : 20;
    options.keep_leases = random() % 4 != 0;
    return options;
}

Nanos play_pairs(Site& site) {
    auto& w = site.world;
    site.poll_all(2s);
    keep_working(site, 50s);
    site.run(draw(site, 8, 13));
    for (int round = 0; round < 3; ++round) {
        const auto count = 2 + w.random() % 2;
        for (std::size_t i = 0; i < count; ++i) {
            await_moment(site);
            begin_any_trouble(site);
        }
        site.run(draw(site, 4, 16));
    }
    return watch_until_settled(site);
}

}  // namespace

Nanos watch_until_settled(Site& site) {
    site.run(longest_trouble);
    const auto over = site.world.now();
    site.watch_waiting();
    site.run(110s);
    return over;
}

void begin_any_trouble(Site& site) {
    auto& w = site.world;
    const auto& trouble = troubles()[w.random() % troubles().size()];
    if (!asked_for(trouble.name)) return;
    if (std::getenv("SIM_LOG"))
        std::fprintf(stderr, "%9.3f ---- %s\n", static_cast<double>(w.now().count()) / 1e9, trouble.name);
    trouble.begin(site);
}

Drawn pairs(std::uint64_t seed) {
    return {any_site(seed), play_pairs};
}

}  // namespace barrowrun::sim
