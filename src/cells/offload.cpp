#include "cells/offload.hpp"

#include <algorithm>
#include <cmath>

namespace barrowrun::cells {
using namespace std::chrono_literals;

namespace {
// Older digests are ignored.
constexpr auto max_digest_age = 5s;
constexpr auto refusal_backoff = 10s;

std::uint32_t tasks_that_fit(const wire::Resources& need, const wire::Resources& free) {
    double tasks = 1e9;
    auto limit_by = [&](double needed, double available) {
        if (needed > 0) tasks = std::min(tasks, std::floor(available / needed + 1e-9));
    };
    limit_by(need.cpus, free.cpus);
    limit_by(need.gpus, free.gpus);
    limit_by(need.mem_gb, free.mem_gb);
    return tasks >= 1e9 || tasks < 0 ? 0 : static_cast<std::uint32_t>(tasks);
}
wire::Resources component_minimum(const wire::Resources& a, const wire::Resources& b) {
    return {std::min(a.cpus, b.cpus), std::min(a.gpus, b.gpus), std::min(a.mem_gb, b.mem_gb)};
}
}  // namespace

void CapacityDigest::add(const wire::Resources& free) {
    if (free.cpus <= 0 && free.gpus <= 0) return;
    for (auto& entry : free_capacities)
        if (entry.free.cpus == free.cpus && entry.free.gpus == free.gpus &&
            std::abs(entry.free.mem_gb - free.mem_gb) < 1) {
            entry.free = component_minimum(entry.free, free);
            ++entry.machines;
            return;
        }
    free_capacities.push_back({free, 1});
    if (free_capacities.size() <= max_entries) return;
    // Merges the two entries that lose the least capacity; a GPU weighs as much as 10 CPUs.
    std::size_t first = 0, second = 1;
    double least_lost = 1e18;
    for (std::size_t i = 0; i < free_capacities.size(); ++i)
        for (std::size_t k = i + 1; k < free_capacities.size(); ++k) {
            auto merged = component_minimum(free_capacities[i].free, free_capacities[k].free);
            double lost = (free_capacities[i].free.cpus - merged.cpus) * free_capacities[i].machines +
                          (free_capacities[k].free.cpus - merged.cpus) * free_capacities[k].machines +
                          10 * ((free_capacities[i].free.gpus - merged.gpus) * free_capacities[i].machines +
                                (free_capacities[k].free.gpus - merged.gpus) * free_capacities[k].machines);
            if (lost < least_lost) least_lost = lost, first = i, second = k;
        }
    free_capacities[first].free =
        component_minimum(free_capacities[first].free, free_capacities[second].free);
    free_capacities[first].machines += free_capacities[second].machines;
    free_capacities.erase(free_capacities.begin() + static_cast<std::ptrdiff_t>(second));
}

std::uint32_t CapacityDigest::fits(const wire::Resources& need) const {
    std::uint64_t tasks = 0;
    for (auto& entry : free_capacities)
        tasks += std::uint64_t{tasks_that_fit(need, entry.free)} * entry.machines;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(tasks, 1'000'000));
}

void CapacityDigest::take(const wire::Resources& need, std::uint32_t tasks) {
    std::vector<wire::Resources> partly_used;
    for (auto& entry : free_capacities) {
        const auto per_machine = tasks_that_fit(need, entry.free);
        if (per_machine == 0 || tasks == 0) continue;
        const auto fully_used = std::min(entry.machines, tasks / per_machine);
        entry.machines -= fully_used;
        tasks -= fully_used * per_machine;
        if (tasks == 0 || entry.machines == 0) continue;
        // The remaining tasks use a part of one more machine.
        --entry.machines;
        partly_used.push_back(entry.free);
        for (; tasks > 0; --tasks) partly_used.back() -= need;
    }
    std::erase_if(free_capacities, [](auto& entry) { return entry.machines == 0; });
    for (auto& free : partly_used) add(free);
}

wire::Json to_json(const CapacityDigest& digest) {
    wire::Json free_capacities = wire::Json::array();
    for (auto& entry : digest.free_capacities)
        free_capacities.push_back({entry.free.cpus, entry.free.gpus, entry.free.mem_gb, entry.machines});
    return {{"holes", std::move(free_capacities)}, {"waiting", digest.waiting}};
}

std::optional<CapacityDigest> parse_capacity_digest(const wire::Json& value) {
    const auto* free_capacities = wire::find(value, "holes");
    auto waiting = wire::count(value, "waiting");
    if (!free_capacities || !free_capacities->is_array() ||
        free_capacities->size() > CapacityDigest::max_entries || !waiting)
        return std::nullopt;
    CapacityDigest digest;
    digest.waiting = *waiting;
    for (auto& entry : *free_capacities) {
        if (!entry.is_array() || entry.size() != 4 || !entry[0].is_number() || !entry[1].is_number() ||
            !entry[2].is_number() || !entry[3].is_number_unsigned())
            return std::nullopt;
        const auto machines = entry[3].get<std::uint64_t>();
        if (machines > 1'000'000) return std::nullopt;
        digest.free_capacities.push_back(
            {{entry[0].get<double>(), entry[1].get<double>(), entry[2].get<double>()},
             static_cast<std::uint32_t>(machines)});
    }
    return digest;
}

void OffloadPlanner::on_digest(const std::string& cell, CapacityDigest digest, TimePoint requested,
                               TimePoint now) {
    CellView& view = views_[cell];
    // A digest that was requested before the last offer was answered may not take that offer into account.
    if (view.unanswered_offers > 0 || requested < view.stale_before) return;
    view.digest = std::move(digest);
    view.received = now;
}

void OffloadPlanner::on_offer_sent(const std::string& cell, const wire::Resources& need,
                                   std::uint32_t tasks) {
    CellView& view = views_[cell];
    view.digest.take(need, tasks);
    ++view.unanswered_offers;
}

void OffloadPlanner::on_offer_answered(const std::string& cell, TimePoint now) {
    CellView& view = views_[cell];
    if (view.unanswered_offers > 0) --view.unanswered_offers;
    view.stale_before = now;
}

void OffloadPlanner::on_offer_refused(const std::string& cell, TimePoint now) {
    views_[cell].backoff_until = now + refusal_backoff;
}

std::vector<OffloadDecision> OffloadPlanner::plan_offers(const Settings& settings,
                                                         const std::vector<OffloadCandidate>& waiting,
                                                         TimePoint now, std::size_t max_offers) const {
    std::vector<OffloadDecision> out;
    auto views = views_;
    for (auto& job : waiting) {
        if (out.size() >= max_offers) break;
        if (job.kind != wire::JobKind::array || job.waiting == 0 || job.waited < settings.offload_after)
            continue;
        std::string to;
        std::uint32_t most_fitting = 0;
        for (auto& cell : settings.peer_cells) {
            auto found = views.find(cell.name);
            if (found == views.end() || now - found->second.received > max_digest_age ||
                now < found->second.backoff_until || found->second.digest.waiting > 0 ||
                !settings.may_delegate_to(job.team, cell.name))
                continue;
            if (auto fitting = found->second.digest.fits(job.need); fitting > most_fitting)
                most_fitting = fitting, to = cell.name;
        }
        if (most_fitting == 0) continue;
        const auto tasks = std::min(most_fitting, job.waiting);
        views[to].digest.take(job.need, tasks);
        out.push_back({job.id, to, tasks});
    }
    return out;
}

}  // namespace barrowrun::cells
