#include "cells/spill.hpp"

#include <algorithm>
#include <cmath>

namespace barrowrun::cells {
using namespace std::chrono_literals;

namespace {
// Older than this a digest says nothing.
constexpr auto believed = 5s;
constexpr auto after_refusal = 10s;

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
wire::Resources least(const wire::Resources& a, const wire::Resources& b) {
    return {std::min(a.cpus, b.cpus), std::min(a.gpus, b.gpus), std::min(a.mem_gb, b.mem_gb)};
}
}  // namespace

void Digest::add(const wire::Resources& free) {
    if (free.cpus <= 0 && free.gpus <= 0) return;
    for (auto& h : holes)
        if (h.free.cpus == free.cpus && h.free.gpus == free.gpus &&
            std::abs(h.free.mem_gb - free.mem_gb) < 1) {
            h.free = least(h.free, free);
            ++h.machines;
            return;
        }
    holes.push_back({free, 1});
    if (holes.size() <= most_holes) return;
    // The two that lose least by being called alike.
    std::size_t x = 0, y = 1;
    double best = 1e18;
    for (std::size_t i = 0; i < holes.size(); ++i)
        for (std::size_t k = i + 1; k < holes.size(); ++k) {
            auto l = least(holes[i].free, holes[k].free);
            double lost = (holes[i].free.cpus - l.cpus) * holes[i].machines +
                          (holes[k].free.cpus - l.cpus) * holes[k].machines +
                          10 * ((holes[i].free.gpus - l.gpus) * holes[i].machines +
                                (holes[k].free.gpus - l.gpus) * holes[k].machines);
            if (lost < best) best = lost, x = i, y = k;
        }
    holes[x].free = least(holes[x].free, holes[y].free);
    holes[x].machines += holes[y].machines;
    holes.erase(holes.begin() + static_cast<std::ptrdiff_t>(y));
}

std::uint32_t Digest::fits(const wire::Resources& need) const {
    std::uint64_t n = 0;
    for (auto& h : holes) n += std::uint64_t{fit(need, h.free)} * h.machines;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(n, 1'000'000));
}

void Digest::take(const wire::Resources& need, std::uint32_t tasks) {
    std::vector<wire::Resources> left;
    for (auto& h : holes) {
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
    std::erase_if(holes, [](auto& h) { return h.machines == 0; });
    for (auto& room : left) add(room);
}

wire::Json to_json(const Digest& d) {
    wire::Json holes = wire::Json::array();
    for (auto& h : d.holes) holes.push_back({h.free.cpus, h.free.gpus, h.free.mem_gb, h.machines});
    return {{"holes", std::move(holes)}, {"waiting", d.waiting}};
}

std::optional<Digest> parse_digest(const wire::Json& value) {
    const auto* holes = wire::find(value, "holes");
    auto waiting = wire::count(value, "waiting");
    if (!holes || !holes->is_array() || holes->size() > Digest::most_holes || !waiting) return std::nullopt;
    Digest d;
    d.waiting = *waiting;
    for (auto& h : *holes) {
        if (!h.is_array() || h.size() != 4 || !h[0].is_number() || !h[1].is_number() || !h[2].is_number() ||
            !h[3].is_number_unsigned())
            return std::nullopt;
        const auto n = h[3].get<std::uint64_t>();
        if (n > 1'000'000) return std::nullopt;
        d.holes.push_back(
            {{h[0].get<double>(), h[1].get<double>(), h[2].get<double>()}, static_cast<std::uint32_t>(n)});
    }
    return d;
}

void Spiller::heard(const std::string& cell, Digest digest, TimePoint asked, TimePoint now) {
    View& v = views_[cell];
    // Asked before the last part was answered: it may not know of it.
    if (v.open > 0 || asked < v.blind_until) return;
    v.digest = std::move(digest);
    v.heard = now;
}

void Spiller::sent(const std::string& cell, const wire::Resources& need, std::uint32_t tasks) {
    View& v = views_[cell];
    v.digest.take(need, tasks);
    ++v.open;
}

void Spiller::answered(const std::string& cell, TimePoint now) {
    View& v = views_[cell];
    if (v.open > 0) --v.open;
    v.blind_until = now;
}

void Spiller::refused(const std::string& cell, TimePoint now) {
    views_[cell].refused_until = now + after_refusal;
}

std::vector<Spill> Spiller::choose(const Settings& settings, const std::vector<Candidate>& waiting,
                                   TimePoint now, std::size_t most) const {
    std::vector<Spill> out;
    auto views = views_;
    for (auto& c : waiting) {
        if (out.size() >= most) break;
        if (c.kind != wire::JobKind::array || c.waiting == 0 || c.waited < settings.spill_after) continue;
        std::string to;
        std::uint32_t room = 0;
        for (auto& n : settings.neighbours) {
            auto v = views.find(n.name);
            if (v == views.end() || now - v->second.heard > believed || now < v->second.refused_until ||
                v->second.digest.waiting > 0 || !settings.may_go(c.team, n.name))
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
