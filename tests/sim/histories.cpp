#include "sim/histories.hpp"

#include <cstdio>
#include <cstdlib>
#include <sstream>

#include "sim/faults.hpp"

namespace barrowrun::sim {

Seeds seeds(std::uint64_t count) {
    Seeds out{1, count};
    if (const char* asked = std::getenv("SIM_SEEDS")) std::istringstream(asked) >> out.first >> out.count;
    return out;
}

std::string play(const std::string& name, const Draw& draw, Seeds asked) {
    std::string out;
    std::size_t starts = 0, confirmed = 0, broken = 0;
    for (auto seed = asked.first; seed < asked.first + asked.count; ++seed) {
        auto drawn = draw(seed);
        drawn.options.seed = seed;
        Site site(drawn.options);
        site.world.digest().name(name);
        const auto over = drawn.play(site);
        auto verdict = site.verdict(over);
        starts += site.checker.starts();
        confirmed += site.checker.confirmed();
        if (verdict.empty()) continue;
        if (++broken <= 20)
            out += name + " with seed " + std::to_string(seed) + ", again with SIM_SEEDS=\"" +
                   std::to_string(seed) + " 1\":\n" + verdict;
    }
    std::printf("%s: %llu histories, %zu broken, %zu starts, %zu cancellations confirmed\n", name.c_str(),
                static_cast<unsigned long long>(asked.count), broken, starts, confirmed);
    return out;
}

namespace {

// Work that goes on all the time: services, arrays short and long, one by one.
void keep_busy(Site& site, Nanos until) {
    for (int i = 0; i < 3; ++i) site.submit(site.job(2, 0, wire::JobKind::service));
    for (int i = 0; i < 2; ++i) site.submit(site.job(3, 300));
    site.world.every(2s, [&site, until] {
        site.submit(
            site.job(1 + static_cast<std::uint32_t>(site.world.random() % 3), site.world.between(3, 60)));
        return site.world.now() < until;
    });
}

// Users call off some of the jobs that they submitted.
void call_off(Site& site, std::size_t most, Nanos within, std::optional<std::size_t> node = std::nullopt) {
    std::vector<std::string> running;
    for (auto& [name, w] : site.workers())
        for (auto& id : w->jobs()) running.push_back(id);
    for (std::size_t i = 0; i < most && !running.empty(); ++i) {
        auto id = running[site.world.random() % running.size()];
        site.world.after(
            Nanos(static_cast<long>(site.world.random() % static_cast<std::uint64_t>(within.count()))),
            [&site, id, node] { site.cancel(id, node); });
    }
}

}  // namespace

namespace {

std::size_t leader_of(Site& site) {
    return site.leader().value_or(0);
}

// Some machines hang, or are cut off from some nodes.
void trouble_machines(Site& site, std::uint64_t one_in, double most_s) {
    auto& w = site.world;
    for (auto& [name, worker] : site.workers()) {
        if (w.one_in(one_in)) worker->hang(draw(site, 1, most_s));
        if (!w.one_in(one_in)) continue;
        for (std::size_t n = 0; n < 3; ++n)
            if (w.one_in(2))
                w.cut(name, site.node_name(n), draw(site, 2, most_s),
                      w.one_in(2) ? Fault::Kind::drop : Fault::Kind::hold);
    }
}

// The lead changes hands, one way or another.
void depose(Site& site) {
    auto& w = site.world;
    const auto old = leader_of(site);
    switch (w.random() % 4) {
        case 0:
            site.kill(old, draw(site, 0.1, 6));
            break;
        case 1:
            site.freeze(old, draw(site, 3, 8));
            break;
        case 2:
            site.state().refuse(site.node_name(old), draw(site, 4, 12));
            break;
        default:
            for (std::size_t n = 0; n < 3; ++n) {
                if (n == old) continue;
                if (w.one_in(2)) site.kill(n, draw(site, 0.1, 2));
                w.cut(site.node_name(old), site.node_name(n), draw(site, 4, 12), Fault::Kind::drop);
            }
            w.cut(site.node_name(old), "state", draw(site, 4, 12),
                  w.one_in(2) ? Fault::Kind::drop : Fault::Kind::hold);
    }
}

Drawn drawn(SiteOptions options, History history) {
    return {std::move(options), std::move(history)};
}

}  // namespace

Drawn gap(std::uint64_t seed) {
    SiteOptions options;
    options.keep_leases = seed % 5 != 0;
    return drawn(options, [](Site& site) {
        auto& w = site.world;
        site.poll_all(1s);
        keep_busy(site, 60s);
        site.run(draw(site, 14, 18));
        Nanos over{0};
        for (int round = 0; round < 2; ++round) {
            const auto old = leader_of(site);
            // The leader alone is refused, or its process ends.
            const Nanos refused = draw(site, 2, 20), apart = draw(site, 0.3, 6), out = draw(site, 20, 60);
            if (w.one_in(4))
                site.kill(old, draw(site, 0.1, 2));
            else
                site.state().refuse(site.node_name(old), refused);
            if (w.one_in(3)) site.kill(site.other(old, w.random() % 2), draw(site, 0.1, 1.5));
            trouble_machines(site, 4, 12);
            call_off(site, 1 + w.random() % 4, apart + 500ms);
            if (w.one_in(3)) {
                // The outage comes just after the successor's election.
                const auto end = w.now() + 8s;
                while (site.leader() == old && w.now() < end) site.run(2ms);
                site.run(std::chrono::milliseconds(w.random() % 60));
            } else {
                site.run(apart);
            }
            if (w.one_in(3)) site.state().slow(draw(site, 0.1, 0.6), 8s);
            if (w.one_in(3)) site.run(draw(site, 0.1, 1));
            site.state().outage(out);
            if (w.one_in(3)) site.kill(w.random() % 3, draw(site, 0.1, 3));
            over = w.now() + out;
            call_off(site, w.random() % 3, 3s);
            site.run(out + draw(site, 2, 10));
        }
        site.run(30s);
        return over;
    });
}

Drawn close_looks(std::uint64_t) {
    return drawn({}, [](Site& site) {
        auto& w = site.world;
        site.close_looks = true;
        site.on_accepted = [&](const std::string& id) {
            if (w.one_in(3)) w.after(draw(site, 0, 0.05), [&site, id] { site.cancel(id); });
        };
        site.poll_all(2s);
        keep_busy(site, 30s);
        site.run(draw(site, 5, 8));
        for (int round = 0; round < 3; ++round) {
            call_off(site, 3, 2s);
            if (w.one_in(2)) site.state().slow(draw(site, 0.02, 0.5), 4s);
            if (w.one_in(2)) depose(site);
            site.submit_unsound(w.random() % 3);
            site.run(draw(site, 4, 9));
        }
        const auto over = w.now() + 10s;
        site.run(30s);
        return over;
    });
}

Drawn lost_answers(std::uint64_t seed) {
    return drawn({}, [seed](Site& site) {
        auto& w = site.world;
        site.close_looks = true;
        site.poll_all(1s);
        keep_busy(site, 40s);
        site.run(draw(site, 5, 8));
        for (int round = 0; round < 3; ++round) {
            site.state().lose_answers(1 + w.random() % 4, draw(site, 3, 10), seed % 3 != 0);
            call_off(site, 3, 4s);
            if (w.one_in(3)) w.after(draw(site, 0, 4), [&site] { depose(site); });
            site.submit_unsound(w.random() % 3);
            site.run(draw(site, 6, 12));
        }
        const auto over = w.now() + 12s;
        site.run(40s);
        return over;
    });
}

Drawn limits(std::uint64_t) {
    SiteOptions options;
    options.team_cpus_most = 8;
    return drawn(options, [](Site& site) {
        auto& w = site.world;
        site.poll_all(2s);
        keep_busy(site, 60s);
        site.run(draw(site, 12, 16));
        for (int round = 0; round < 3; ++round) {
            trouble_machines(site, 2, 20);
            call_off(site, 2 + w.random() % 3, 3s);
            site.run(draw(site, 0, 2));
            depose(site);
            call_off(site, w.random() % 3, 5s);
            site.run(draw(site, 8, 20));
        }
        const auto over = w.now() + 20s;
        site.run(45s);
        return over;
    });
}

Drawn handover(std::uint64_t) {
    return drawn({}, [](Site& site) {
        auto& w = site.world;
        site.poll_all(1s);
        keep_busy(site, 50s);
        site.run(draw(site, 10, 14));
        for (int round = 0; round < 5; ++round) {
            // Cancellations before, in and after the seconds in which the lead changes hands.
            call_off(site, 5, 5s);
            if (w.one_in(3)) trouble_machines(site, 4, 8);
            site.run(draw(site, 0, 1.5));
            depose(site);
            site.run(draw(site, 3, 8));
        }
        const auto over = w.now() + 12s;
        site.run(40s);
        return over;
    });
}

Drawn new_machines(std::uint64_t) {
    SiteOptions options;
    options.machines = 1, options.most_machines = 14, options.boot_s = 1.5;
    options.start_within_s = 5;
    return drawn(options, [](Site& site) {
        auto& w = site.world;
        site.poll_all(2s);
        site.run(2s);
        for (int round = 0; round < 4; ++round) {
            // More work than room: machines are rented, up within two seconds, and get work at once.
            for (int i = 0; i < 8; ++i) site.submit(site.job(2, w.between(5, 60)));
            if (w.one_in(2)) site.state().slow(draw(site, 0.1, 1.2), 5s);
            if (w.one_in(2)) site.state().lose_answers(3, 4s, w.one_in(2));
            site.run(draw(site, 1, 5));
            depose(site);
            call_off(site, 2, 3s);
            site.run(draw(site, 5, 12));
        }
        const auto over = w.now() + 12s;
        site.run(50s);
        return over;
    });
}

Drawn old_reports(std::uint64_t) {
    return drawn({}, [](Site& site) {
        auto& w = site.world;
        site.poll_all(2s);
        keep_busy(site, 60s);
        site.run(draw(site, 8, 12));
        site.keep_reports_for_next(2, 60s);
        for (int round = 0; round < 4; ++round) {
            if (w.one_in(2)) trouble_machines(site, 3, 18);
            call_off(site, 2, 4s);
            site.run(draw(site, 2, 6));
            depose(site);
            site.run(draw(site, 5, 12));
        }
        const auto over = w.now() + 20s;
        site.run(40s);
        return over;
    });
}

Drawn many_small(std::uint64_t) {
    SiteOptions options;
    options.most_machines = 20;
    return drawn(options, [](Site& site) {
        auto& w = site.world;
        site.poll_all(5s);
        w.every(250ms, [&site, &w, until = w.now() + 90s] {
            auto spec = site.job(1, w.between(1, 8));
            site.submit(spec);
            if (w.one_in(4)) w.after(draw(site, 0.02, 6), [&site, id = spec.id] { site.cancel(id); });
            return w.now() < until;
        });
        site.run(draw(site, 20, 40));
        if (w.one_in(2)) depose(site);
        site.run(draw(site, 20, 40));
        const auto over = w.now() + 12s;
        site.run(60s);
        return over;
    });
}

}  // namespace barrowrun::sim
