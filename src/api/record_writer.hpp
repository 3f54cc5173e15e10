#pragma once
// Writes the scheduler's pending records to the state service, one transaction after the other.
#include <functional>
#include <vector>

#include "api/fenced_writer.hpp"
#include "api/services.hpp"
#include "placement/cluster.hpp"

namespace barrowrun::api {

// Each term has one record writer, the only component that writes the scheduler's records. It also refreshes
// the fencing token when workers need a newer one: with its own transactions, which a separate write of the
// leader key would fence.
class RecordWriter {
  public:
    struct Host {
        placement::Cluster& cluster;
        std::function<bool()> may_act;           // whether this node holds a valid leader lease now
        std::function<void()> on_write;          // called after each durable transaction
        std::function<void()> on_token_refresh;  // called when this writer has refreshed the fencing token
    };
    RecordWriter(Services services, Host host)
        : services_(services), host_(std::move(host)), writer_(services), signal_(services.io) {}

    // Adds the versions of the recovered records.
    void recovered(const state::Snapshot& records);

    // Interrupts the wait for pending records.
    void wake() { signal_.wake(); }
    // Asks for a newer fencing token, which voids launches of unknown outcome that were sent under this one.
    void refresh_token_for_launches() { launches_await_token_ = true; }
    std::uint64_t token_refreshes() const { return token_refreshes_; }
    std::uint64_t version_conflicts() const { return writer_.version_conflicts(); }
    // Write loop, runs until the term ends. Scheduler state and leadership may change at each suspension, so
    // both are checked again before the next transaction is assembled.
    net::Task<> run();

  private:
    bool progress_due() const;
    bool token_refresh_due() const;
    bool anything_due() const;
    net::Task<> write(std::vector<placement::Write> writes, FencedWriter::Token token);
    net::Task<> write_separately(std::vector<placement::Write> writes);
    void token_refreshed();
    net::Task<> handle_failure(state::Outcome outcome);
    net::Task<> fence_unknown_write();

    Services services_;
    Host host_;
    FencedWriter writer_;
    net::Signal signal_;
    bool launches_await_token_ = false;
    TimePoint token_refreshed_{};  // when a transaction last refreshed the token
    std::uint64_t token_refreshes_ = 0;
    TimePoint progress_written_{};  // when a transaction last included progress of running jobs
};

}  // namespace barrowrun::api
