#include "autoscaler/autoscaler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace barrowrun::autoscaler {
using fleet::AssignmentPhase;
using fleet::Machine;
using placement::Cluster;
using placement::Job;
using wire::JobKind;

void Autoscaler::refused(const Offer& offer, TimePoint now) {
    auto& r = refusals_[offer];
    r.row = std::min(r.row + 1, 3);
    r.until = now + secs(4.0 * r.row);
}

bool Autoscaler::refuses(const Offer& offer, TimePoint now) const {
    auto r = refusals_.find(offer);
    return r != refusals_.end() && now < r->second.until;
}

void Autoscaler::granted(const Offer& offer) {
    refusals_.erase(offer);
}

void Autoscaler::note_arrival(const wire::JobSpec& spec, TimePoint now) {
    if (spec.kind == JobKind::service) service_arrivals_.emplace_back(now, spec.tasks);
}

namespace {

enum class Soft { none, kept, all };

struct Bin {
    std::string name;       // empty: not rented yet
    std::size_t offer = 0;  // its sort, as an index
    wire::Resources room;
    // That lower work would yield: to production, and to arrays short of time.
    wire::Resources soft, soft_kept;
    bool used = false;
    double array_cpus = 0;  // CPUs that arrays have or can get
    double committed = 0;   // CPU seconds that running tasks of arrays still need
    double ready_s = 0;
    double fetch_gb_per_s = 0.1;
    std::size_t images = 0;
};

// Usual boots take up to 1.5 times the nominal time.
constexpr double slow_boot = 1.5;
// Share of the room expected from ending tasks that is counted on: run times are guesses.
constexpr double relied_on = 0.7;
constexpr int most_per_request = 50;  // the cloud's bound
constexpr double late_boot = 1.7, hopeless_boot = 2.5;

// How long the height of a demand is remembered: a few of the gaps between large arrays.
constexpr std::chrono::minutes demand_kept{5};

// Whether a job's tasks should all have started before a machine that is rented for it would be up.
bool cannot_wait_for_boots(const Cluster& cluster, const wire::JobSpec& s) {
    if (s.kind != JobKind::array) return false;
    double boot = 1e9;
    for (auto& [name, t] : cluster.types())
        if (s.need.fits({t.cpus, t.gpus, t.mem_gb}) && !cluster.gpu_reserved(s, t))
            boot = std::min(boot, t.boot_s);
    return std::any_of(cluster.config().objectives.begin(), cluster.config().objectives.end(), [&](auto& o) {
        return o.kind == "wait" && o.job_class == s.job_class && o.within_s < slow_boot * boot;
    });
}

double boot_s(const Cluster& cluster, const Machine& m) {
    auto t = cluster.types().find(m.type);
    return t == cluster.types().end() ? 60 : t->second.boot_s;
}

}  // namespace

// Replicas outlast the bustle that spread them out. A machine that runs nothing else is emptied if all of
// them find room, and their image, on other machines of their zone; the room kept for new services stays.
std::string Autoscaler::machine_to_drain(const Cluster& cluster, TimePoint now,
                                         std::uint32_t keep_free) const {
    const Machine* best = nullptr;
    // Made once: rooms gathered anew for each of 600 candidates took the leader's share for half a second.
    std::vector<std::pair<const Machine*, wire::Resources>> all, room;
    for (auto& [name, m] : cluster.machines())
        if (cluster.schedulable(*m, now) && m->has_live()) all.emplace_back(m.get(), m->available());
    for (auto& [candidate, own_room] : all) {
        const Machine& m = *candidate;
        if (m.live() > 16 || now - m.provisioned_at < secs(90)) continue;
        if (best && m.live() >= best->live()) continue;
        room = all;
        std::erase_if(room, [&](auto& r) { return r.first == &m; });
        bool fits = true;
        wire::Resources need;
        for (auto& [a, e] : m.assignments) {
            if (e.exited()) continue;
            auto job = cluster.jobs().find(a.task.job);
            // A start counts for its aim only if the task is left alone for a while.
            bool settled = e.phase == AssignmentPhase::confirmed && e.state == wire::TaskState::running &&
                           !e.stop_requested && now - e.started_at > secs(60);
            if (job == cluster.jobs().end() || job->second->spec.kind != JobKind::service || !settled) {
                fits = false;
                break;
            }
            const auto& spec = job->second->spec;
            need = spec.need;
            auto target = std::find_if(room.begin(), room.end(), [&](auto& r) {
                const Machine& o = *r.first;
                return o.zone == m.zone && cluster.eligible(spec, o) && o.has_image(spec.image) &&
                       spec.need.fits(r.second);
            });
            if (target == room.end()) {
                fits = false;
                break;
            }
            target->second -= spec.need;
        }
        if (!fits) continue;
        std::uint32_t left = 0;
        for (auto& [other, r] : room) {
            if (left >= keep_free) break;
            auto free = r;
            free += cluster.preemptible(*other, wire::Priority::production);
            while (left < keep_free && need.cpus > 0 && need.fits(free)) {
                free -= need;
                ++left;
            }
        }
        if (left >= keep_free) best = &m;
    }
    return best ? best->name : std::string();
}

// A class of arrays that should start sooner than a machine boots finds its room only where that is kept:
// what it held at its height lately stays, or is rented again, while it holds less.
void Autoscaler::note_demand(const Cluster& cluster, TimePoint now) {
    for (auto& [name, d] : demand_) d.now = 0;
    for (auto& [id, job] : cluster.jobs()) {
        if (job->cancelled || !cannot_wait_for_boots(cluster, job->spec)) continue;
        auto [it, fresh] = demand_.try_emplace(job->spec.job_class);
        Demand& d = it->second;
        if (fresh) d.like = job->spec;
        auto blend = [](double& mean, double x) { mean += 0.01 * (x - mean); };
        blend(d.like.need.cpus, job->spec.need.cpus);
        blend(d.like.need.mem_gb, job->spec.need.mem_gb);
        d.now += job->waiting.size() + static_cast<std::uint32_t>(job->placements.size());
    }
    for (auto& [name, d] : demand_) {
        while (!d.peaks.empty() && d.peaks.back().second <= d.now) d.peaks.pop_back();
        d.peaks.emplace_back(now, d.now);
        while (now - d.peaks.front().first > demand_kept) d.peaks.pop_front();
    }
}

ScalingPlan Autoscaler::plan(const Cluster& cluster, TimePoint now,
                             const std::vector<MachineOrder>& pending) {
    ScalingPlan out;
    if (cluster.types().empty()) return out;
    std::vector<Offer> offers;
    std::map<Offer, std::size_t> offer_index;
    auto index_of = [&](const Offer& offer) {
        auto [it, fresh] = offer_index.try_emplace(offer, offers.size());
        if (fresh) offers.push_back(offer);
        return it->second;
    };
    for (auto& [name, t] : cluster.types())
        for (auto& zone : t.zones)
            for (bool spot : {true, false}) index_of({name, zone, spot});
    const double usual_boot = cluster.usual_boot_s();
    // CPUs that arrays leave before a rented machine could be up, by spot or not and the size of the holes.
    std::map<std::pair<bool, double>, double> turning;
    std::vector<Bin> bins;
    auto fresh_bin = [&](std::size_t offer) {
        const auto& t = cluster.types().at(offers[offer].type);
        Bin b;
        b.offer = offer;
        b.room = {t.cpus, t.gpus, t.mem_gb};
        b.array_cpus = t.cpus;
        b.ready_s = t.boot_s;
        b.fetch_gb_per_s = t.fetch_gb_per_s;
        return b;
    };
    // Machines asked for, without an answer yet.
    for (auto& order : pending)
        if (cluster.types().contains(order.offer.type))
            for (int k = 0; k < order.count; ++k) bins.push_back(fresh_bin(index_of(order.offer)));
    for (auto& [name, m] : cluster.machines()) {
        if (m->returning || m->draining || m->quarantined_since || m->suspected || m->spot_reclaim_at ||
            m->capacity.mem_gb <= 0)
            continue;
        // A machine that takes much longer than usual to come up may never do so: it is not counted on.
        if (!m->up && m->assignments.empty() &&
            now - m->provisioned_at > secs(late_boot * boot_s(cluster, *m)))
            continue;
        Bin b;
        b.name = name;
        b.offer = index_of({m->type, m->zone, m->spot});
        b.room = m->available();
        b.used = m->has_live();
        b.images = m->images.size();  // of two alike, the one that has fetched more is kept
        b.fetch_gb_per_s = m->fetch_gb_per_s;
        for (auto& [a, e] : m->assignments)
            if (e.stop_requested && !e.exited()) b.room += e.need;
        b.soft = cluster.preemptible(*m, wire::Priority::production);
        b.soft_kept = cluster.preemptible(*m, wire::Priority::normal, true);
        b.array_cpus = std::max(0.0, b.room.cpus);
        if (!m->up) b.ready_s = std::max(2.0, boot_s(cluster, *m) - Seconds(now - m->provisioned_at).count());
        for (auto& [a, e] : m->assignments) {
            if (e.exited() || e.stop_requested) continue;
            auto job = cluster.jobs().find(a.task.job);
            if (job == cluster.jobs().end() || job->second->spec.kind != JobKind::array) continue;
            double ran = e.started_at == TimePoint{} ? 0 : Seconds(now - e.started_at).count();
            b.array_cpus += e.need.cpus;
            double rest = std::max(2.0, job->second->estimated_run_s() - ran);
            b.committed += e.need.cpus * rest;
            if (rest <= usual_boot) turning[{m->spot, e.need.cpus}] += relied_on * e.need.cpus;
        }
        bins.push_back(std::move(b));
    }
    auto suits = [&](const wire::JobSpec& s, const std::string& type, const std::string& zone, bool spot) {
        if (spot && !s.spot_ok) return false;
        if (s.zone && *s.zone != zone) return false;
        if (s.types && std::find(s.types->begin(), s.types->end(), type) == s.types->end()) return false;
        auto t = cluster.types().find(type);
        return t != cluster.types().end() && !cluster.gpu_reserved(s, t->second);
    };
    std::map<Offer, int> orders;
    auto asked_of = [&](const Offer& offer) {
        int n = 0;
        if (auto it = orders.find(offer); it != orders.end()) n += it->second;
        for (auto& order : pending)
            if (order.offer == offer) n += order.count;
        return n;
    };
    std::vector<char> suitable(offers.size());
    std::vector<std::size_t> fitting;
    // Puts n tasks of a shape into bins, renting what is missing. `soft` counts room that can be made. A bin
    // that takes a task only becomes the better choice for the next one, so each is filled in turn: one look
    // at every bin for a job, not one for each of its tasks.
    auto cover = [&](const Job* job, const wire::JobSpec& s, std::uint32_t n, Soft soft) {
        Cluster::ZoneConstraint zones(cluster, s, job);
        for (std::size_t i = 0; i < offers.size(); ++i)
            suitable[i] = suits(s, offers[i].type, offers[i].zone, offers[i].spot);
        auto reach = [&](const Bin& b) {
            wire::Resources room = b.room;
            if (soft == Soft::all) room += b.soft;
            if (soft == Soft::kept) room += b.soft_kept;
            return room;
        };
        auto fill = [&](Bin& b, std::uint32_t& k) {
            while (k < n && s.need.fits(reach(b)) && zones.allows(offers[b.offer].zone)) {
                b.room -= s.need;
                b.used = true;
                zones.add(offers[b.offer].zone);
                ++k;
            }
        };
        fitting.clear();
        for (std::size_t i = 0; i < bins.size(); ++i)
            if (suitable[bins[i].offer] && s.need.fits(reach(bins[i]))) fitting.push_back(i);
        std::sort(fitting.begin(), fitting.end(), [&](std::size_t x, std::size_t y) {
            auto rank = [&](std::size_t i) {
                const Bin& b = bins[i];
                return std::tuple(!b.used, s.spot_ok && !offers[b.offer].spot, b.room.cpus, ~b.images, i);
            };
            return rank(x) < rank(y);
        });
        std::uint32_t k = 0;
        for (auto i : fitting) {
            if (k >= n) return;
            fill(bins[i], k);
        }
        while (k < n) {
            // The cheapest offer for what is still missing.
            const wire::MachineType* type = nullptr;
            std::size_t pick = 0;
            double pick_cost = 0;
            for (std::size_t i = 0; i < offers.size(); ++i) {
                if (!suitable[i] || !zones.allows(offers[i].zone)) continue;
                const auto& t = cluster.types().at(offers[i].type);
                wire::Resources whole{t.cpus, t.gpus, t.mem_gb};
                if (!s.need.fits(whole)) continue;
                if (refuses(offers[i], now)) continue;
                // An offer that was refused last time is asked for one machine: the rest of the need must not
                // wait for a likely refusal while other offers have room.
                if (auto r = refusals_.find(offers[i]); r != refusals_.end() && asked_of(offers[i]) > 0)
                    continue;
                double per = 1e9;
                if (s.need.cpus > 0) per = std::min(per, std::floor(t.cpus / s.need.cpus + 1e-6));
                if (s.need.gpus > 0) per = std::min(per, std::floor(t.gpus / s.need.gpus + 1e-6));
                if (s.need.mem_gb > 0) per = std::min(per, std::floor(t.mem_gb / s.need.mem_gb + 1e-6));
                double use = std::max(1.0, std::min(per, static_cast<double>(n - k)));
                // Larger machines serve others too: part of the unused room counts as useful.
                double cost = (offers[i].spot ? t.spot_price : t.price) / (0.6 * use + 0.4 * per);
                if (!type || cost < pick_cost) type = &t, pick = i, pick_cost = cost;
            }
            if (!type) return;
            bins.push_back(fresh_bin(pick));
            fill(bins.back(), k);
            orders[offers[pick]]++;
        }
    };
    // What a limit keeps from starting needs no machine.
    std::optional<quota::Ledger> planned;
    if (cluster.ledger().tree().has_limits()) planned = cluster.ledger();
    auto allowed_of = [&](const Job& job, std::uint32_t n) {
        if (!planned || n == 0) return n;
        auto k = planned->admissible_tasks(job.account, job.spec.need, n);
        if (job.spec.kind == JobKind::gang && k < n) return 0u;
        for (std::uint32_t i = 0; i < k; ++i) planned->charge(job.account, job.spec.need);
        return k;
    };
    std::vector<std::pair<bool, double>> ahead;  // work of arrays that come first: spot or not, CPU seconds
    wire::JobSpec headroom;
    std::uint32_t headroom_tasks = 0;
    for (int level = 0; level < wire::priority_levels; ++level)
        for (auto& place : cluster.queue().level(level)) {
            auto it = cluster.jobs().find(place.id);
            if (it == cluster.jobs().end()) continue;
            const Job& job = *it->second;
            if (job.cancelled || job.errors_in_row > 4) continue;
            std::uint32_t n = allowed_of(job, job.waiting.size());
            if (job.spec.kind == JobKind::array) {
                // Tasks that run one after the other on the same slot need fewer slots.
                double run = job.estimated_run_s() + 1;
                double time = cluster.objective_slack_s(job, now);
                double left = std::max(run, time);
                double total = static_cast<double>(n) + static_cast<double>(job.placements.size());
                // Not where all should start before the first could have ended.
                auto slots = static_cast<std::uint32_t>(
                    std::ceil(cannot_wait_for_boots(cluster, job.spec) ? total : total * run / (left + run)));
                auto running = static_cast<std::uint32_t>(job.placements.size());
                double work = static_cast<double>(n) * run * job.spec.need.cpus;
                n = std::min(n, slots > running ? slots - running : 0);
                // What the fleet will have done by then anyway, with all that comes first, needs no renting.
                // Not relied on when time runs short: work is lumpy, and low levels wait for all others.
                double elapsed = Seconds(now - job.accepted).count();
                // Nor where a late decision leaves no time to boot and run.
                if (job.spec.need.cpus > 0 && time > elapsed && left + run > 1.8 * (usual_boot + run)) {
                    double by = left + run, supply = 0, before = 0;
                    for (auto& b : bins) {
                        const Offer& o = offers[b.offer];
                        if (!suits(job.spec, o.type, o.zone, o.spot)) continue;
                        double time_there = by - b.ready_s;
                        // On a machine that is still to come only whole tasks count, after the fetch.
                        if (b.ready_s > 0)
                            time_there =
                                run * std::floor((time_there - job.spec.image_gb / b.fetch_gb_per_s) / run);
                        supply += b.array_cpus * std::max(0.0, time_there);
                        before += b.committed;
                    }
                    for (auto& [spot_ok, w] : ahead)
                        if (job.spec.spot_ok || !spot_ok) before += w;
                    if (0.8 * supply >= before + work) n = 0;
                }
                ahead.emplace_back(job.spec.spot_ok, work);
                // Nor does what will find room before a rented machine could be up, in the order of the
                // queue. A job that is late already shows a backlog, which only more machines take away.
                // Small tasks leave no room for a large one.
                for (auto& [hole, cpus] : turning) {
                    const auto& [spot, size] = hole;
                    if (n == 0 || time <= 0 || (spot && !job.spec.spot_ok) || job.spec.need.cpus <= 0 ||
                        size < 0.8 * job.spec.need.cpus)
                        continue;
                    auto k =
                        std::min<std::uint32_t>(n, static_cast<std::uint32_t>(cpus / job.spec.need.cpus));
                    n -= k;
                    cpus -= k * job.spec.need.cpus;
                }
            }
            cover(&job, job.spec, n,
                  job.spec.priority == wire::Priority::production ? Soft::all
                  : job.spec.priority == wire::Priority::normal && cluster.may_preempt(job, now)
                      ? Soft::kept
                      : Soft::none);
        }
    // Room kept for services that may come: what arrived lately within two boot times, at least two tasks.
    while (!service_arrivals_.empty() && now - service_arrivals_.front().first > secs(120))
        service_arrivals_.pop_front();
    double tasks = 0;
    for (auto& a : service_arrivals_) tasks += a.second;
    for (auto& [id, job] : cluster.jobs())
        if (job->spec.kind == JobKind::service) {
            headroom = job->spec;
            break;
        }
    if (headroom.tasks > 0) {
        headroom.spread = headroom.one_zone = false;
        headroom_tasks = static_cast<std::uint32_t>(
            std::clamp(std::ceil(tasks / 120 * 45), static_cast<double>(cluster.config().headroom_min),
                       std::max<double>(cluster.config().headroom_min, cluster.config().headroom_max)));
        cover(nullptr, headroom, headroom_tasks, Soft::all);
    }
    note_demand(cluster, now);
    for (auto& [name, d] : demand_)
        if (d.peaks.front().second > d.now)
            cover(nullptr, d.like, d.peaks.front().second - d.now, Soft::none);
    // A request names up to 50 machines and the cloud takes few requests a second: the largest go first, and
    // what the rate will not take soon is left to a later plan.
    for (auto& [offer, n] : orders)
        for (int left = n; left > 0; left -= most_per_request)
            out.scale_out.push_back({offer, std::min(left, most_per_request)});
    std::stable_sort(out.scale_out.begin(), out.scale_out.end(),
                     [](auto& x, auto& y) { return x.count > y.count; });

    for (auto& b : bins) {
        if (b.name.empty() || b.used) continue;
        auto& m = *cluster.machines().at(b.name);
        if (!m.up) continue;
        // A minute is charged in any case; after that a little patience, since work comes all the time.
        if (now - m.idle_since > secs(cluster.config().idle_return_s) && now - m.provisioned_at > secs(55))
            out.scale_in.push_back(b.name);
    }
    // Where room is kept for arrays, what it frees would be kept as well: replicas would move for nothing.
    bool kept = std::any_of(demand_.begin(), demand_.end(),
                            [](auto& d) { return d.second.peaks.front().second > 0; });
    if (!kept && out.scale_out.empty() && out.scale_in.empty() && cluster.queue().waiting() == 0)
        out.drain = machine_to_drain(cluster, now, headroom_tasks);
    for (auto& [name, m] : cluster.machines()) {
        if (m->returning) continue;
        bool never = !m->up && m->assignments.empty() &&
                     now - m->provisioned_at > secs(hopeless_boot * boot_s(cluster, *m) + 5) &&
                     now - m->known_since > secs(15);
        if (never) {
            spdlog::warn("machine {} has not come up in {:.0f} s: it is returned", name,
                         Seconds(now - m->provisioned_at).count());
            out.scale_in.push_back(name);
        } else if ((m->draining || m->quarantined_since) && !m->has_live()) {
            out.scale_in.push_back(name);
        }
    }
    return out;
}

}  // namespace barrowrun::autoscaler
