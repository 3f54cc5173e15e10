#include "sim/faults.hpp"

#include <algorithm>

namespace barrowrun::sim {
namespace {
constexpr std::size_t most_hung = 8;

Nanos milliseconds_up_to(World& world, std::uint64_t most) {
    return std::chrono::milliseconds(world.random() % most);
}
}  // namespace

bool run_until(Site& site, Nanos most, const std::function<bool()>& condition) {
    const auto end = site.world.now() + most;
    while (!condition() && site.world.now() < end) site.run(1ms);
    return condition();
}

Nanos draw(Site& site, double least_s, double most_s) {
    return std::chrono::milliseconds(static_cast<long>(site.world.between(least_s, most_s) * 1000));
}

void cut_machine(Site& site, const std::string& machine, Nanos length, Fault::Kind kind) {
    for (std::size_t n = 0; n < nodes; ++n) site.world.cut(machine, site.node_name(n), length, kind);
}

void deafen_machine(Site& site, const std::string& machine, Nanos length) {
    site.world.fault({Fault::Kind::drop, site.world.now() + length,
                      [machine](const std::string&, const std::string& to) { return to == machine; }});
}

void mute_machine(Site& site, const std::string& machine, Nanos length) {
    site.world.fault({Fault::Kind::drop, site.world.now() + length,
                      [machine](const std::string& from, const std::string&) { return from == machine; },
                      true});
}

void cut_node(Site& site, std::size_t node, CutFrom from, Nanos length, Fault::Kind kind) {
    const auto name = site.node_name(node);
    if (from.state) site.world.cut(name, "state", length, kind);
    if (from.users) site.world.cut(name, "users", length, kind);
    if (from.peers)
        for (std::size_t n = 0; n < nodes; ++n)
            if (n != node) site.world.cut(name, site.node_name(n), length, kind);
    if (from.workers)
        for (auto* worker : site.live_workers()) site.world.cut(name, worker->name(), length, kind);
}

void cut_zone(Site& site, const std::string& zone, Nanos length, Fault::Kind kind) {
    std::set<std::string> inside;
    for (std::size_t n = 0; n < nodes; ++n)
        if (site.options().zones[n % site.zones()] == zone) inside.insert(site.node_name(n));
    for (auto* worker : site.live_workers())
        if (worker->where().zone == zone) inside.insert(worker->name());
    site.world.fault(
        {kind, site.world.now() + length, [inside](const std::string& from, const std::string& to) {
             return inside.contains(from) != inside.contains(to);
         }});
}

void end_all_nodes(Site& site, Nanos first_back_after) {
    const auto first = site.world.random() % nodes;
    for (std::size_t n = 0; n < nodes; ++n)
        site.kill((first + n) % nodes, first_back_after + std::chrono::seconds(n));
}

void cancel_now(Site& site, std::size_t count, Nanos hang) {
    std::set<std::string> running;
    for (auto* worker : site.live_workers())
        for (auto& id : worker->jobs()) running.insert(id);
    std::vector<std::string> chosen(running.begin(), running.end());
    std::shuffle(chosen.begin(), chosen.end(), site.world.random);
    if (chosen.size() > count) chosen.resize(count);
    std::size_t hung = 0;
    for (auto& id : chosen) {
        if (auto* worker = site.worker_running(id); worker && hang > Nanos{0} && hung++ < most_hung)
            worker->hang(hang);
        site.world.after(milliseconds_up_to(site.world, 200), [&site, id] { site.cancel(id); });
    }
}

void repeat_reports(Site& site, std::uint64_t one_in, Nanos length) {
    const auto most = static_cast<std::uint64_t>(site.options().lease_s * 1500);
    for (auto* worker : site.live_workers())
        worker->copy_reports(one_in, length, [&site, most](std::function<void()> arrive) {
            site.world.after(2s + milliseconds_up_to(site.world, most), std::move(arrive));
        });
}

void deliver_old_reports(Site& site, const Worker& worker, std::size_t count) {
    auto& w = site.world;
    const auto& sent = worker.sent_heartbeats();
    if (sent.empty()) return;
    // Each agent epoch is as likely as the others, however long it lasted.
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < count; ++i) {
        const auto epoch = 1 + w.random() % worker.agent_epoch();
        std::vector<std::size_t> of_epoch;
        for (std::size_t k = 0; k < sent.size(); ++k)
            if (sent[k].agent_epoch == epoch) of_epoch.push_back(k);
        if (!of_epoch.empty()) chosen.push_back(of_epoch[w.random() % of_epoch.size()]);
    }
    if (!w.one_in(4)) std::sort(chosen.begin(), chosen.end());
    Nanos delay{0};
    for (auto k : chosen) {
        w.after(delay, sent[k].arrive);
        delay += milliseconds_up_to(w, 400);
    }
}

void delay_commands(Site& site, std::uint64_t one_in, Nanos length) {
    for (auto* worker : site.live_workers()) worker->delay_commands(one_in, length);
}

void copy_commands(Site& site, std::uint64_t one_in, Nanos length, Nanos latest) {
    for (auto* worker : site.live_workers()) worker->copy_commands(one_in, length, latest);
}

void fail_tasks(Site& site, std::uint64_t one_in, Nanos length) {
    for (auto* worker : site.live_workers()) worker->fail_tasks(one_in, length);
}

void odd_requests(Site& site, Nanos length) {
    site.world.every(400ms, [&site, kind = std::size_t{0}, until = site.world.now() + length]() mutable {
        site.submit_unsound(kind++);
        auto known = site.jobs();
        if (!known.empty()) {
            auto id = known[site.world.random() % known.size()];
            site.submit_again(id);
            if (site.checker.over(id)) site.cancel_when_over(id);
        }
        return site.world.now() < until;
    });
}

}  // namespace barrowrun::sim
