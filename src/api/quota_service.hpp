#pragma once
// Quotas between the state service, the leader and operators: how they are read, shown and changed.
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "api/services.hpp"
#include "net/http_server.hpp"
#include "placement/cluster.hpp"
#include "quota/versions.hpp"

namespace barrowrun::api {

enum class QuotaReadStatus {
    ok,
    none,       // never changed while running: the operator's file holds
    unusable,   // the records can't be used, whoever reads them
    no_answer,  // the service did not say: read again
};

// One version whole into `quotas`: pages are read before the head, and the head once more. `quotas` must live
// until the coroutine has ended.
net::Task<QuotaReadStatus> read_quota_records(state::StateClient& state, std::size_t value_bytes,
                                              quota::VersionedQuotas& quotas);

// Compares secrets without telling by the time it takes how much of them is the same.
bool equal_in_constant_time(const std::string& given, const std::string& expected);

// The quotas of one term of leadership. It owns the version in force and sees to it that only one change is
// written at a time; the cluster's ledger holds the tree that follows from that version.
//
// Coroutines run on the node's io thread and keep a reference to the service: whoever awaits them keeps the
// term alive.
class QuotaService {
  public:
    struct Host {
        placement::Cluster& cluster;
        std::function<bool()> may_act;         // whether this node leads, at this moment
        std::function<void()> wake_placement;  // other limits: another round
    };
    QuotaService(Services services, Host host) : services_(services), host_(std::move(host)) {}

    // Reads the version on record, once per term, before anything is placed. Returns only when the state
    // service has answered; what can't be used leaves the operator's file in force.
    net::Task<> recover();
    // An operator's change, answered once it is on record. Idempotent by the change's nonce. While it waits
    // for the state service, leadership may be lost: then it answers 503, and the change may have been made.
    net::Task<net::Response> change(wire::Json body);
    // What is in use, of at most `page` nodes after node `since`; with the first page teams and history, too.
    net::Response page(std::uint64_t since, std::uint64_t page) const;
    std::uint64_t version() const { return quotas_.version(); }

  private:
    void apply(quota::VersionedQuotas quotas, quota::TreePtr tree);
    std::optional<net::Response> answer_without_writing(const quota::Change& change) const;
    net::Task<bool> write_version(std::vector<quota::VersionedQuotas::RecordWrite> writes);
    std::vector<state::Operation> next_transaction(
        const std::vector<quota::VersionedQuotas::RecordWrite>& writes, std::size_t from) const;
    net::Task<bool> write_until_on_record(std::vector<state::Operation> operations,
                                          std::optional<wire::Json> head);
    std::vector<std::uint64_t> waiting_tasks_by_node() const;
    wire::Json node_json(quota::NodeId id, std::uint64_t waiting_tasks) const;

    Services services_;
    Host host_;
    quota::VersionedQuotas quotas_;
    bool changing_ = false;  // a change is being written
};

}  // namespace barrowrun::api
