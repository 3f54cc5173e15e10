#pragma once
// Writes the cluster's pending records to the state service, one transaction after the other.
#include <functional>
#include <vector>

#include "api/services.hpp"
#include "placement/cluster.hpp"

namespace barrowrun::api {

// One per term of leadership, and the only one that writes the cluster's records. Every transaction is fenced
// by the leader key's version, so that a former leader's is refused.
class RecordWriter {
  public:
    struct Host {
        placement::Cluster& cluster;
        TimePoint acquired;              // when the term began
        std::function<bool()> may_act;   // whether this node leads, at this moment
        std::function<void()> on_write;  // a transaction is on record: what waited for it may go on
    };
    RecordWriter(Services services, Host host)
        : services_(services), host_(std::move(host)), signal_(services.io) {}

    // Something may have to be written.
    void wake() { signal_.wake(); }
    // Until the term ends. At each suspension the cluster's state and the right to lead may change: both are
    // looked at anew before the next transaction is put together.
    net::Task<> run();

  private:
    bool progress_due() const;
    net::Task<> write(std::vector<placement::Write> writes);
    net::Task<> handle_failure(state::Outcome outcome);
    net::Task<> fence_unknown_write();

    Services services_;
    Host host_;
    net::Signal signal_;
    TimePoint progress_written_{};  // when progress of running jobs was last taken along
};

}  // namespace barrowrun::api
