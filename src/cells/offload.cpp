#include "cells/offload.hpp"

#include <algorithm>
#include <cmath>

namespace barrowrun::cells {
using namespace std::chrono_literals;

namespace {
// Older than this a digest says nothing.
constexpr auto max_digest_age = 5s;
constexpr auto refusal_backoff = 10s;

std::uint32_t fit(const wire::Resources& need, const wire::Resources& room) {
    double n = 1e9;
    auto part = [&](double a, double b) {
        if (a > 0) n = std::min(n, std::floor(b / a + 1e-9));
    };
    part(need.cpus, room.cpus);
    part(need.gpus, room.gpus);
    part(need.mem_gb, room.mem_gb);
    return n >= 1e9 || n < 0 ? 0 : static_cast<std::uint32_t>(n);
}
wire::Resources component_minimum(const wire::Resources& a, const wire::Resources& b) {
    return {std::min(a.cpus, b.cpus), std::min(a.gpus, b.gpus), std::min(a.mem_gb, b.mem_gb)};
}
}  // namespace

void CapacityDigest::add(const wire::Resources& free) {
    if (free.cpus <= 0 && free.gpus <= 0) return;
    for (auto& h : free_capacities)
        if (h.free.cpus == free.cpus && h.free.gpus == free.gpus &&
            std::abs(h.free.mem_gb - free.mem_gb) < 1) {
            h.free = component_minimum(h.free, free);
            ++h.machines;
            return;
        }
    free_capacities.push_back({free, 1});
    if (free_capacities.size() <= max_entries) return;
    // The two that lose least by being called alike.
    std::size_t x = 0, y = 1;
    double best = 1e18;
    for (std::size_t i = 0; i < free_capacities.size(); ++i)
        for (std::size_t k = i + 1; k < free_capacities.size(); ++k) {
            auto l = component_minimum(free_capacities[i].free, free_capacities[k].free);
            double lost = (free_capacities[i].free.cpus - l.cpus) * free_capacities[i].machines +
                          (free_capacities[k].free.cpus - l.cpus) * free_capacities[k].machines +
                          10 * ((free_capacities[i].free.gpus - l.gpus) * free_capacities[i].machines +
                                (free_capacities[k].free.gpus - l.gpus) * free_capacities[k].machines);
            if (lost < best) best = lost, x = i, y = k;
        }
    free_capacities[x].free = component_minimum(free_capacities[x].free, free_capacities[y].free);
    free_capacities[x].machines += free_capacities[y].machines;
    free_capacities.erase(free_capacities.begin() + static_cast<std::ptrdiff_t>(y));
}

std::uint32_t CapacityDigest::fits(const wire::Resources& need) const {
    std::uint64_t n = 0;
    for (auto& h : free_capacities) n += std::uint64_t{fit(need, h.free)} * h.machines;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(n, 1'000'000));
}

void CapacityDigest::take(const wire::Resources& need, std::uint32_t tasks) {
    std::vector<wire::Resources> left;
    for (auto& h : free_capacities) {
        const auto each = fit(need, h.free);
        if (each == 0 || tasks == 0) continue;
        const auto whole = std::min(h.machines, tasks / each);
        h.machines -= whole;
        tasks -= whole * each;
        if (tasks == 0 || h.machines == 0) continue;
        // The last one is used in part.
        --h.machines;
        left.push_back(h.free);
        for (; tasks > 0; --tasks) left.back() -= need;
    }
    std::erase_if(free_capacities, [](auto& h) { return h.machines == 0; });
    for (auto& room : left) add(room);
}

wire::Json to_json(const CapacityDigest& d) {
    wire::Json free_capacities = wire::Json::array();
    for (auto& h : d.free_capacities)
        free_capacities.push_back({h.free.cpus, h.free.gpus, h.free.mem_gb, h.machines});
    return {{"holes", std::move(free_capacities)}, {"waiting", d.waiting}};
}

std::optional<CapacityDigest> parse_capacity_digest(const wire::Json& value) {
    const auto* free_capacities = wire::find(value, "holes");
    auto waiting = wire::count(value, "waiting");
    if (!free_capacities || !free_capacities->is_array() ||
        free_capacities->size() > CapacityDigest::max_entries || !waiting)
        return std::nullopt;
    CapacityDigest d;
    d.waiting = *waiting;
    for (auto& h : *free_capacities) {
        if (!h.is_array() || h.size() != 4 || !h[0].is_number() || !h[1].is_number() || !h[2].is_number() ||
            !h[3].is_number_unsigned())
            return std::nullopt;
        const auto n = h[3].get<std::uint64_t>();
        if (n > 1'000'000) return std::nullopt;
        d.free_capacities.push_back(
            {{h[0].get<double>(), h[1].get<double>(), h[2].get<double>()}, static_cast<std::uint32_t>(n)});
    }
    return d;
}

void OffloadPlanner::on_digest(const std::string& cell, CapacityDigest digest, TimePoint requested,
                               TimePoint now) {
    View& v = views_[cell];
    // Asked before the last part was answered: it may not know of it.
    if (v.open > 0 || requested < v.stale_before) return;
    v.digest = std::move(digest);
    v.received = now;
}

void OffloadPlanner::on_offer_sent(const std::string& cell, const wire::Resources& need,
                                   std::uint32_t tasks) {
    View& v = views_[cell];
    v.digest.take(need, tasks);
    ++v.open;
}

void OffloadPlanner::on_offer_answered(const std::string& cell, TimePoint now) {
    View& v = views_[cell];
    if (v.open > 0) --v.open;
    v.stale_before = now;
}

void OffloadPlanner::on_offer_refused(const std::string& cell, TimePoint now) {
    views_[cell].backoff_until = now + refusal_backoff;
}

std::vector<OffloadDecision> OffloadPlanner::choose(const Settings& settings,
                                                    const std::vector<OffloadCandidate>& waiting,
                                                    TimePoint now, std::size_t most) const {
    std::vector<OffloadDecision> out;
    auto views = views_;
    for (auto& c : waiting) {
        if (out.size() >= most) break;
        if (c.kind != wire::JobKind::array || c.waiting == 0 || c.waited < settings.offload_after) continue;
        std::string to;
        std::uint32_t room = 0;
        for (auto& n : settings.peer_cells) {
            auto v = views.find(n.name);
            if (v == views.end() || now - v->second.received > max_digest_age ||
                now < v->second.backoff_until || v->second.digest.waiting > 0 ||
                !settings.may_delegate_to(c.team, n.name))
                continue;
            if (auto k = v->second.digest.fits(c.need); k > room) room = k, to = n.name;
        }
        if (room == 0) continue;
        const auto tasks = std::min(room, c.waiting);
        views[to].digest.take(c.need, tasks);
        out.push_back({c.id, to, tasks});
    }
    return out;
}

}  // namespace barrowrun::cells
