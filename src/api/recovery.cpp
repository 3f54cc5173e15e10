// Recovery at the start of a term: the leader reads the records and sends its fencing token to every known
// worker.
#include <spdlog/spdlog.h>

#include "api/leader.hpp"

namespace barrowrun::api {
using state::Outcome;
namespace {
// Longest time for which recovery runs without yielding. Between two slices the node answers heartbeats and
// extends the leader's lease.
constexpr std::chrono::milliseconds max_slice{4};
// Pause before a failed read is repeated.
constexpr std::chrono::milliseconds read_retry_pause{200};
}  // namespace
using namespace std::chrono_literals;

// Suspends while it reads records, and between slices of processor time. Heartbeats that arrive meanwhile are
// stored. No other coroutine reads `cluster_` before `recovered_` is set, so that no decision is based on a
// part of the records.
Task<> Leader::recover() {
    const auto started = Clock::now();
    // Delegation records are read first: shards of other cells' jobs may have deadlines here, and no
    // heartbeat is answered until the deadlines are known.
    if (cell_delegations_) co_await read_delegation_records();
    const auto records = co_await read_snapshot();
    record_writer_.recovered(records);
    spdlog::info("recovery: records read at revision {} under fencing token {}", records.jobs.revision,
                 services_.election.fencing_token());
    co_await quotas_.recover();
    watch_revision_ = records.jobs.revision;
    co_await recover_catalog();
    const auto now = Clock::now();
    const auto wall = wall_ms();
    net::TimeSlicer slicer(max_slice);
    const auto jobs = co_await recover_jobs(records, now, wall, slicer);
    if (cell_delegations_) {
        // Before the machines: tasks of other cells' jobs on these machines must belong to a known job.
        co_await recover_delegations(now, wall);
        spawn("cell delegations", cell_delegations_->run());
    }
    co_await recover_machines(records.shards, wall, slicer);
    recover_provisioning_requests(records.provisioning_requests);
    co_await apply_pending_heartbeats(now, slicer);
    if (cell_delegations_) cell_delegations_->stop_before_deadlines();
    recovered_ = true;
    worker_monitor_.recovered(now);
    spdlog::info(
        "recovery finished after {:.0f} ms: {} active jobs, {} machines on record, {} open "
        "provisioning requests",
        Seconds(now - started).count() * 1000, jobs, cluster_.machines().size(),
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
        spdlog::warn("recovery: the records could not be read from the state service, reading them again");
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

// The progress of a job, from all its records; nothing if it has none that can be read.
std::optional<state::Progress> Leader::read_progress(const std::vector<const state::KeyValue*>& records,
                                                     const wire::JobSpec& spec) {
    std::optional<state::Progress> progress;
    for (auto* record : records) {
        const auto key = state::parse_progress_key(record->key);
        if (!state::add_progress_record(progress, key->part, record->value, spec.tasks))
            spdlog::error("record {}: not a valid progress record, it is ignored", record->key);
    }
    return progress;
}

// Returns the number of active jobs.
Task<std::size_t> Leader::recover_jobs(const state::Snapshot& records, TimePoint now, std::int64_t wall,
                                       net::TimeSlicer& slicer) {
    std::map<std::string, std::vector<const state::KeyValue*>> progress_by_job;
    for (auto& item : records.progress.items)
        if (auto key = state::parse_progress_key(item.key)) progress_by_job[key->job].push_back(&item);
    std::size_t count = 0;
    for (auto& item : records.jobs.items) {
        co_await slicer.pause();
        auto found = progress_by_job.extract(item.key.substr(5));
        auto record = state::parse_job_record(item.value);
        if (!record) {
            spdlog::error("record {}: not a valid job record, the job is skipped", item.key);
            continue;
        }
        std::optional<state::Progress> progress;
        if (found) progress = read_progress(found.mapped(), record->spec);
        cluster_.add_job(*record, progress ? &*progress : nullptr, now, wall);
        ++count;
    }
    // What is left belongs to jobs that have ended: a predecessor ended before it deleted these records.
    for (auto& [id, left] : progress_by_job)
        for (auto* record : left) cluster_.enqueue({record->key, std::nullopt, {}});
    co_return count;
}

Task<> Leader::recover_machines(const state::Listing& shards, std::int64_t wall, net::TimeSlicer& slicer) {
    const auto lease = upper_bound_with_drift(secs(services_.settings.placement.lease_s));
    for (auto& item : shards.items) {
        co_await slicer.pause();
        auto number = state::parse_assignment_shard_key(item.key);
        auto machines = state::parse_assignment_shard(item.value);
        if (!number || !machines) {
            spdlog::error(
                "record {}: not a valid assignment shard, no task is started in the first lease period of "
                "the term",
                item.key);
            cluster_.on_unreadable_shard(number, acquired_ + lease);
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

// Applies the heartbeats stored during recovery, including those that arrive while it suspends.
Task<> Leader::apply_pending_heartbeats(TimePoint now, net::TimeSlicer& slicer) {
    while (!pending_heartbeats_.empty()) {
        auto first = pending_heartbeats_.extract(pending_heartbeats_.begin());
        cluster_.on_heartbeat(first.mapped(), true, now);
        co_await slicer.pause();
    }
    for (auto& [name, when] : renewals_before_recovery_)
        if (auto* machine = cluster_.find_machine(name))
            machine->last_answer = std::max(machine->last_answer, when);
    renewals_before_recovery_.clear();
}

// Sends the new fencing token to every known worker: this fences the predecessor, and the responses carry the
// workers' current state. Machines that run replicas of services come first.
void Leader::fence_known_workers(TimePoint now) {
    std::deque<std::string> names;
    for (auto& [name, machine] : cluster_.machines()) {
        machine->last_probe = now;
        if (machine->address.empty()) continue;
        if (cluster_.runs_service(*machine))
            names.push_front(name);
        else
            names.push_back(name);
    }
    dispatcher_.fence_all(std::move(names), max_concurrent_probes);
}

void Leader::start_loops() {
    spawn("placement loop", placement_loop());
    spawn("record writer", record_writer_.run());
    spawn("tick loop", tick_loop());
    spawn("job watch", watch_jobs());
    provisioner_.start();
}

}  // namespace barrowrun::api
