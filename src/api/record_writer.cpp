#include "api/record_writer.hpp"

#include <spdlog/spdlog.h>

#include "api/transaction_limits.hpp"

namespace barrowrun::api {
using net::Task;
using state::Outcome;
using namespace std::chrono_literals;

namespace {
// Starts of tasks are written at once. Progress of running jobs is written at most four times a second and
// takes at most a quarter of the state service's write rate: without this bound, the progress of many jobs
// filled every transaction and delayed starts.
constexpr std::chrono::milliseconds min_progress_interval{250};
constexpr double progress_share_of_rate = 0.25;
// How long the write loop sleeps while nothing is pending, or while it must not or cannot write.
constexpr std::chrono::milliseconds idle_wait{1000}, progress_wait{60}, not_leading_pause{100};
constexpr std::chrono::milliseconds conflict_pause{50}, refused_pause{100}, token_refresh_pause{200};
// Every other node is told of a refresh by its watch of the leader key, so that refreshes are bounded.
// Workers that hold launches of unknown outcome need some time to answer under the new token.
constexpr std::chrono::seconds refresh_interval_for_reaps{2}, refresh_interval_for_launches{4};
}  // namespace

bool RecordWriter::progress_due() const {
    const auto rate = std::max(1.0, progress_share_of_rate * services_.settings.state_writes_per_s);
    const auto min_interval_for_changes = secs(static_cast<double>(host_.cluster.changes()) / rate);
    return Clock::now() - progress_written_ >=
           std::max<Clock::duration>(min_progress_interval, min_interval_for_changes);
}

bool RecordWriter::token_refresh_due() const {
    const auto now = Clock::now();
    const auto age = now - token_refreshed_;
    if (!services_.state.responsive(now)) return false;
    return (launches_await_token_ && age >= refresh_interval_for_launches) ||
           (host_.cluster.reaps_await_fencing_token() && age >= refresh_interval_for_reaps);
}

bool RecordWriter::anything_due() const {
    return token_refresh_due() || host_.cluster.has_urgent_writes() ||
           (host_.cluster.has_writes() && progress_due());
}

void RecordWriter::recovered(const state::Snapshot& records) {
    writer_.recovered("progress/", records.progress);
    writer_.recovered("sheets/", records.shards);
    writer_.recovered("hires/", records.provisioning_requests);
}

Task<> RecordWriter::run() {
    auto& cluster = host_.cluster;
    const auto max_operations = max_transaction_operations(services_.settings.placement);
    for (;;) {
        if (!anything_due()) {
            co_await signal_.wait(cluster.has_writes() ? progress_wait : idle_wait);
            if (!anything_due()) continue;
        }
        if (!host_.may_act()) {
            co_await net::sleep_for(not_leading_pause);
            continue;
        }
        const bool refresh = token_refresh_due();
        const bool progress = progress_due();
        if (progress) progress_written_ = Clock::now();
        auto writes = cluster.take_writes(max_operations - refresh, placement::max_transaction_bytes,
                                          Clock::now(), wall_ms(), progress);
        if (writes.empty() && !refresh) {
            co_await signal_.wait(progress_wait);
            continue;
        }
        const auto token = refresh ? FencedWriter::Token::refresh : FencedWriter::Token::keep;
        co_await write(std::move(writes), token);
    }
}

Task<> RecordWriter::write(std::vector<placement::Write> writes, FencedWriter::Token token) {
    std::vector<state::Operation> operations;
    for (auto& write : writes) operations.push_back({write.key, write.value, 0});
    const auto outcome = co_await writer_.write(std::move(operations), token);
    if (outcome == Outcome::ok) {
        if (token == FencedWriter::Token::refresh) token_refreshed();
        for (auto& write : writes)
            if (write.on_durable) write.on_durable();
        host_.on_write();
        co_return;
    }
    if (outcome == Outcome::rejected) {
        co_await write_separately(std::move(writes));
        co_return;
    }
    host_.cluster.write_failed(std::move(writes), outcome == Outcome::unknown);
    co_await handle_failure(outcome);
}

// The state service never executes this transaction. Each of its writes that could be sent alone is, so that
// the one that is not taken holds up no other.
Task<> RecordWriter::write_separately(std::vector<placement::Write> writes) {
    auto transactions = placement::separable(std::move(writes));
    if (transactions.size() == 1) {
        host_.cluster.write_rejected(std::move(transactions.front()), Clock::now());
        co_return;
    }
    // Without writes the transaction was a refresh of the token under a lease that has ended.
    if (transactions.empty()) co_await net::sleep_for(refused_pause);
    for (auto& transaction : transactions) {
        if (host_.may_act())
            co_await write(std::move(transaction), FencedWriter::Token::keep);
        else
            host_.cluster.write_failed(std::move(transaction));
    }
}

void RecordWriter::token_refreshed() {
    const auto now = Clock::now();
    ++token_refreshes_;
    token_refreshed_ = now;
    launches_await_token_ = false;
    host_.cluster.set_fencing_token(services_.election.fencing_token(), now);
    host_.on_token_refresh();
}

Task<> RecordWriter::handle_failure(Outcome outcome) {
    if (outcome != Outcome::conflict && outcome != Outcome::refused) {
        co_await fence_unknown_write();
        co_return;
    }
    const auto pause = outcome == Outcome::conflict ? conflict_pause : refused_pause;
    co_await net::sleep_for(pause);
}

// A transaction with an unknown outcome may still be executed later and overwrite newer values. With a new
// fencing token its precondition fails, so the token is refreshed before the next transaction.
Task<> RecordWriter::fence_unknown_write() {
    spdlog::info(
        "state service: no response to a transaction, the fencing token is refreshed before the next one");
    // The await is a statement of its own: with `while (!co_await ...)` beside other awaits, GCC 12 resumed
    // the coroutine frame at an invalid point and the process crashed.
    for (;;) {
        const bool refreshed = co_await services_.election.refresh_fencing_token();
        if (refreshed) break;
        co_await net::sleep_for(token_refresh_pause);
    }
    host_.cluster.set_fencing_token(services_.election.fencing_token(), Clock::now());
}

}  // namespace barrowrun::api
