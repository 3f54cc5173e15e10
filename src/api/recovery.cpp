// A term begins: the records are read, and every known worker hears of the new token.
#include <spdlog/spdlog.h>

#include "api/leader.hpp"

namespace barrowrun::api {
using state::Outcome;
namespace {
// Of the processor's time at once, while the records are read: heartbeats are answered and the leader's lease
// is extended in between.
constexpr std::chrono::milliseconds slice{4};
// Until what could not be read is read once more.
constexpr std::chrono::milliseconds read_retry_pause{200};
}  // namespace
using namespace std::chrono_literals;

// Suspends while it reads, and between slices of the processor's time. Heartbeats that come in meanwhile are
// kept; nobody else looks at the cluster before it is whole (`recovered_`), so that nobody decides on a part
// of the records.
Task<> Leader::recover() {
    const auto begun = Clock::now();
    // First of all: parts of other cells' jobs may have to be gone by a moment, and until it is known
    // whether, no heartbeat is answered.
    if (cell_delegations_) co_await read_delegation_records();
    const auto records = co_await read_snapshot();
    co_await quotas_.recover();
    watch_revision_ = records.jobs.revision;
    co_await recover_catalog();
    const auto now = Clock::now();
    const auto wall = wall_ms();
    net::Slices slices(slice);
    const auto jobs = co_await recover_jobs(records, now, wall, slices);
    if (cell_delegations_) {
        // Before the machines: what these run of other cells' jobs belongs to a job that is known.
        co_await recover_delegations(now, wall);
        spawn("cells", cell_delegations_->run());
    }
    co_await recover_machines(records.shards, wall, slices);
    recover_provisioning_requests(records.provisioning_requests);
    co_await apply_pending_heartbeats(now, slices);
    if (cell_delegations_) cell_delegations_->stop_before_deadlines();
    recovered_ = true;
    worker_monitor_.recovered(now);
    spdlog::info("took over after {:.0f} ms: {} active jobs, {} machines on record, {} rentals open",
                 Seconds(now - begun).count() * 1000, jobs, cluster_.machines().size(),
                 provisioner_.open_requests());
    fence_known_workers(now);
    start_loops();
}

Task<> Leader::read_delegation_records() {
    for (;;) {
        const bool read = co_await cell_delegations_->read_records();
        if (read) co_return;
        co_await net::sleep_for(read_retry_pause);
    }
}

Task<> Leader::recover_delegations(TimePoint now, std::int64_t wall) {
    for (;;) {
        const bool recovered = co_await cell_delegations_->recover(now, wall);
        if (recovered) co_return;
        co_await net::sleep_for(read_retry_pause);
    }
}

Task<state::Snapshot> Leader::read_snapshot() {
    auto records = co_await services_.state.snapshot();
    while (!records) {
        spdlog::warn("the records could not be read, once more");
        co_await net::sleep_for(read_retry_pause);
        records = co_await services_.state.snapshot();
    }
    co_return std::move(*records);
}

Task<> Leader::recover_catalog() {
    if (services_.catalog.empty()) {
        auto recorded = co_await services_.state.get(state::catalog_key);
        if (recorded.outcome == Outcome::ok)
            if (auto types = wire::parse_types(recorded.value)) services_.catalog = *types;
    }
    cluster_.set_types(services_.catalog);
}

// Gives the number of active jobs.
Task<std::size_t> Leader::recover_jobs(const state::Snapshot& records, TimePoint now, std::int64_t wall,
                                       net::Slices& slices) {
    std::map<std::string, const Json*> progress_of;
    for (auto& item : records.progress.items) progress_of[item.key.substr(9)] = &item.value;
    std::size_t count = 0;
    for (auto& item : records.jobs.items) {
        co_await slices.pause();
        auto record = state::parse_job_record(item.value);
        if (!record) {
            spdlog::error("the record {} cannot be read", item.key);
            continue;
        }
        std::optional<state::Progress> progress;
        if (auto it = progress_of.find(record->spec.id); it != progress_of.end()) {
            progress = state::parse_progress(*it->second, record->spec.tasks);
            if (!progress) spdlog::error("the record progress/{} cannot be read", record->spec.id);
        }
        cluster_.add_job(*record, progress ? &*progress : nullptr, now, wall);
        ++count;
    }
    co_return count;
}

Task<> Leader::recover_machines(const state::Listing& shards, std::int64_t wall, net::Slices& slices) {
    const auto lease = longer(secs(services_.settings.placement.lease_s));
    for (auto& item : shards.items) {
        co_await slices.pause();
        auto number = state::parse_assignment_shard_key(item.key);
        auto machines = state::parse_assignment_shard(item.value);
        if (!number || !machines) {
            spdlog::error("the record {} cannot be read: nothing is started for a lease", item.key);
            cluster_.note_unreadable_record(number, acquired_ + lease);
            continue;
        }
        for (auto& machine : *machines) cluster_.recover_machine(*number, machine, acquired_, wall);
    }
}

void Leader::recover_provisioning_requests(const state::Listing& requests) {
    for (auto& item : requests.items)
        if (auto record = state::parse_provisioning_record(item.value))
            provisioner_.recover_request(item.key.substr(6), *record);
}

// Those that came in meanwhile, too, and more of them while these are applied.
Task<> Leader::apply_pending_heartbeats(TimePoint now, net::Slices& slices) {
    while (!pending_heartbeats_.empty()) {
        auto first = pending_heartbeats_.extract(pending_heartbeats_.begin());
        cluster_.on_heartbeat(first.mapped(), true, now);
        co_await slices.pause();
    }
    for (auto& [name, when] : renewals_before_recovery_)
        if (auto* machine = cluster_.find_machine(name))
            machine->last_answer = std::max(machine->last_answer, when);
    renewals_before_recovery_.clear();
}

// Every known worker hears of the new token at once: that fences the predecessor and brings fresh heartbeats.
// Machines with replicas first.
void Leader::fence_known_workers(TimePoint now) {
    std::deque<std::string> names;
    for (auto& [name, machine] : cluster_.machines()) {
        machine->probed = now;
        if (machine->address.empty()) continue;
        if (cluster_.runs_service(*machine))
            names.push_front(name);
        else
            names.push_back(name);
    }
    dispatcher_.fence_all(std::move(names), max_concurrent_probes);
}

void Leader::start_loops() {
    spawn("place", placement_loop());
    spawn("write", record_writer_.run());
    spawn("tick", tick_loop());
    spawn("watch jobs", watch_jobs());
    provisioner_.start();
}

}  // namespace barrowrun::api
