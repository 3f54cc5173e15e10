#pragma once
// Quota service of the leader: reads the recorded quotas, serves them to operators and applies their changes.
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "api/fenced_writer.hpp"
#include "api/services.hpp"
#include "net/http_server.hpp"
#include "placement/cluster.hpp"
#include "quota/versions.hpp"

namespace barrowrun::api {

enum class QuotaReadStatus {
    ok,
    none,       // no version was ever recorded: the operator's file applies
    unusable,   // the records are invalid; reading them again does not help
    no_answer,  // the state service did not answer: read again
};

// Reads one complete version into `quotas`: first all records, then the head again to detect a concurrent
// change. `quotas` must live until the coroutine has ended.
net::Task<QuotaReadStatus> read_quota_records(state::StateClient& state, std::size_t value_bytes,
                                              quota::VersionedQuotas& quotas);

// Compares secrets in a time that doesn't depend on how many characters match, so that timing doesn't leak
// them.
bool equal_in_constant_time(const std::string& given, const std::string& expected);

// The quotas of one term. Owns the version in force and serializes changes; the cluster's ledger holds the
// quota tree that is built from that version.
//
// Coroutines run on the node's io thread and refer to the service. The caller that awaits one must keep the
// term's leader alive.
class QuotaService {
  public:
    struct Host {
        placement::Cluster& cluster;
        std::function<bool()> may_act;         // whether this node holds a valid leader lease now
        std::function<void()> wake_placement;  // called when limits have changed
    };
    QuotaService(Services services, Host host)
        : services_(services), host_(std::move(host)), writer_(services) {}

    // Reads the recorded version, once per term, before any task is placed. Returns only when the state
    // service has answered. If the records are invalid, the operator's file stays in force.
    net::Task<> recover();
    // Applies an operator's change and answers once it is durable. A repeated change with the same nonce is
    // applied once. If leadership is lost meanwhile the answer is 503, and the change may have been made.
    net::Task<net::Response> change(wire::Json body);
    // The usage of at most `page` quota nodes, from node `since` on. The first page also has teams and
    // history.
    net::Response page(std::uint64_t since, std::uint64_t page) const;
    std::uint64_t version() const { return quotas_.version(); }

  private:
    void apply(quota::VersionedQuotas quotas, quota::TreePtr tree);
    std::optional<net::Response> answer_without_writing(const quota::Change& change) const;
    enum class WriteResult { durable, leadership_lost, rejected };
    net::Task<WriteResult> write_version(std::vector<quota::VersionedQuotas::RecordWrite> writes);
    std::vector<state::Operation> next_transaction(
        const std::vector<quota::VersionedQuotas::RecordWrite>& writes, std::size_t from) const;
    net::Task<WriteResult> write_until_durable(std::vector<state::Operation> operations,
                                               std::optional<wire::Json> head);
    std::vector<std::uint64_t> waiting_tasks_by_node() const;
    wire::Json node_json(quota::NodeId id, std::uint64_t waiting_tasks) const;

    Services services_;
    Host host_;
    FencedWriter writer_;
    quota::VersionedQuotas quotas_;
    bool changing_ = false;  // a change is being written
};

}  // namespace barrowrun::api
