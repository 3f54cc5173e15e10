#pragma once
// Writes the scheduler's pending records to the state service, one transaction after the other.
#include <functional>
#include <vector>

#include "api/fenced_writer.hpp"
#include "api/services.hpp"
#include "placement/cluster.hpp"

namespace barrowrun::api {

// Each term has one record writer, the only component that writes the scheduler's records. The version of the
// leader key is a precondition of every transaction, so the state service rejects those of a former leader.
class RecordWriter {
  public:
    struct Host {
        placement::Cluster& cluster;
        TimePoint acquired;              // when the term began
        std::function<bool()> may_act;   // whether this node holds a valid leader lease now
        std::function<void()> on_write;  // called after each durable transaction
    };
    RecordWriter(Services services, Host host)
        : services_(services), host_(std::move(host)), writer_(services), signal_(services.io) {}

    // Adds the versions of the recovered records.
    void recovered(const state::Snapshot& records);

    // Interrupts the wait for pending records.
    void wake() { signal_.wake(); }
    // Write loop, runs until the term ends. Scheduler state and leadership may change at each suspension, so
    // both are checked again before the next transaction is assembled.
    net::Task<> run();

  private:
    bool progress_due() const;
    net::Task<> write(std::vector<placement::Write> writes);
    net::Task<> handle_failure(state::Outcome outcome);
    net::Task<> fence_unknown_write();

    Services services_;
    Host host_;
    FencedWriter writer_;
    net::Signal signal_;
    TimePoint progress_written_{};  // when a transaction last included progress of running jobs
};

}  // namespace barrowrun::api
