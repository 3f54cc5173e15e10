// A term begins: the records are read, and every known worker hears of the new token.
#include <spdlog/spdlog.h>

#include "api/leader.hpp"

namespace barrowrun::api {
using state::Outcome;
namespace {
// Of the processor's time at once, while the records are read.
constexpr std::chrono::milliseconds slice{4};
}  // namespace
using namespace std::chrono_literals;

Task<> Leader::recover() {
    auto begun = Clock::now();
    // First of all: parts of other cells' jobs may have to be gone by a moment, and until it is known
    // whether, no heartbeat is answered.
    if (cell_delegations_)
        while (!co_await cell_delegations_->read_records()) co_await net::sleep_for(200ms);
    std::optional<state::Snapshot> read;
    while (!(read = co_await services_.state.snapshot())) {
        spdlog::warn("the records could not be read, once more");
        co_await net::sleep_for(200ms);
    }
    co_await recover_quotas();
    const auto& [jobs, progress, shards, provisioning_requests] = *read;
    watch_revision_ = jobs.revision;
    if (services_.catalog.empty()) {
        auto catalog = co_await services_.state.get(state::catalog_key);
        if (catalog.outcome == Outcome::ok)
            if (auto types = wire::parse_types(catalog.value)) services_.catalog = *types;
    }
    cluster_.set_types(services_.catalog);
    auto now = Clock::now();
    auto wall = wall_ms();
    std::map<std::string, const Json*> by_job;
    for (auto& p : progress.items) by_job[p.key.substr(9)] = &p.value;
    // In slices: heartbeats are answered and the hold is extended in between. Nothing else looks at the
    // cluster before it is whole (`recovered_`), so that nobody decides on a part of the records.
    net::Slices slices(slice);
    std::size_t count = 0;
    for (auto& item : jobs.items) {
        co_await slices.pause();
        auto record = state::parse_job_record(item.value);
        if (!record) {
            spdlog::error("the record {} cannot be read", item.key);
            continue;
        }
        std::optional<state::Progress> done;
        if (auto it = by_job.find(record->spec.id); it != by_job.end()) {
            done = state::parse_progress(*it->second, record->spec.tasks);
            if (!done) spdlog::error("the record progress/{} cannot be read", record->spec.id);
        }
        cluster_.add_job(*record, done ? &*done : nullptr, now, wall);
        ++count;
    }
    if (cell_delegations_) {
        // Before the machines: what these run of other cells' jobs belongs to a job that is known.
        while (!co_await cell_delegations_->recover(now, wall)) co_await net::sleep_for(200ms);
        spawn("cells", cell_delegations_->run());
    }
    for (auto& item : shards.items) {
        co_await slices.pause();
        auto number = state::parse_assignment_shard_key(item.key);
        auto records = state::parse_assignment_shard(item.value);
        if (!number || !records) {
            spdlog::error("the record {} cannot be read: nothing is started for a lease", item.key);
            cluster_.note_unreadable_record(number,
                                            acquired_ + longer(secs(services_.settings.placement.lease_s)));
            continue;
        }
        for (auto& record : *records) cluster_.recover_machine(*number, record, acquired_, wall);
    }
    for (auto& item : provisioning_requests.items)
        if (auto record = state::parse_provisioning_record(item.value))
            open_requests_[item.key.substr(6)] = *record;
    // Those that came in meanwhile, too, and more of them while these are applied.
    while (!pending_heartbeats_.empty()) {
        auto first = pending_heartbeats_.extract(pending_heartbeats_.begin());
        cluster_.on_heartbeat(first.mapped(), true, now);
        co_await slices.pause();
    }
    for (auto& [name, when] : renewals_before_recovery_)
        if (auto* m = cluster_.find_machine(name)) m->last_answer = std::max(m->last_answer, when);
    renewals_before_recovery_.clear();
    if (cell_delegations_) cell_delegations_->stop_before_deadlines();
    recovered_ = true;
    last_worker_heartbeat_ = now;
    spdlog::info("took over after {:.0f} ms: {} active jobs, {} machines on record, {} rentals open",
                 Seconds(now - begun).count() * 1000, count, cluster_.machines().size(),
                 open_requests_.size());
    // Every known worker hears of the new token at once: that fences the predecessor and brings fresh
    // reports.
    // Not all at once: a thousand connections took this process's whole share for seconds, the hold was not
    // extended meanwhile, and the next leader did the same. Machines with replicas first.
    auto names = std::make_shared<std::deque<std::string>>();
    for (auto& [name, m] : cluster_.machines()) {
        m->probed = now;
        if (m->address.empty()) continue;
        if (cluster_.runs_service(*m))
            names->push_front(name);
        else
            names->push_back(name);
    }
    for (int i = 0; i < max_concurrent_probes; ++i) spawn("fences", fence_known_workers(names));
    spawn("place", placement_loop());
    spawn("write", write_loop());
    spawn("tick", tick_loop());
    spawn("watch jobs", watch_jobs());
    spawn("cloud types", refresh_machine_types());
    spawn("cloud list", reconcile_cloud_machines());
    spawn("cloud rent", scaling_loop());
    for (auto& [request, record] : open_requests_) spawn("rent " + request, provision(request, record, true));
}

Task<> Leader::fence_known_workers(std::shared_ptr<std::deque<std::string>> names) {
    while (!names->empty()) {
        auto name = std::move(names->front());
        names->pop_front();
        // One that has reported to us by now knows our token.
        auto* m = cluster_.find_machine(name);
        if (m && !(m->up && m->fencing_token_seen >= cluster_.fencing_token())) co_await dispatch(name, true);
    }
}

}  // namespace barrowrun::api
