#pragma once
// Settings of the scheduler.
#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "queue/job_queue.hpp"
#include "quota/tree.hpp"

namespace barrowrun::placement {

struct TeamLimits {
    double cpus = 0, gpus = 0;          // guarantee; 0: none
    double cpus_max = 0, gpus_max = 0;  // limit; 0: none
};

// The guarantees and limits of the platform's teams in the form that the quota tree is built from.
std::vector<quota::TeamQuota> quota_teams(const std::map<std::string, TeamLimits>& teams);

struct ServiceLevelObjective {
    std::string kind, job_class;
    double within_s = 0, times = 1;
};

// The state service accepts request bodies of up to 64 KiB; the difference is left for the encoding around
// keys and values.
inline constexpr std::size_t max_transaction_bytes = 48 * 1024;

struct Config {
    double heartbeat_s = 3, lease_s = 20, gang_wait_s = 30, gang_peer_s = 4, cancel_s = 30;
    std::map<std::string, TeamLimits> teams;
    std::vector<ServiceLevelObjective> objectives;
    std::uint64_t queue_bound = queue::default_max_waiting_tasks;
    std::size_t txn_ops = 16, value_bytes = 32 * 1024;  // limits of the state service
    // Most bytes of a record: it fits into a value, and into a transaction.
    std::size_t max_record_bytes() const { return std::min(value_bytes, max_transaction_bytes); }
    // The operator's quota tree; absent: only the platform's team limits apply.
    std::optional<std::vector<quota::QuotaEntry>> quotas;
    double over_limit_grace_s = 120;  // the default of quota::VersionedQuotas; set_quotas() replaces it
    double idle_return_s = 12;
    std::uint32_t headroom_min = 3, headroom_max = 16;
};

}  // namespace barrowrun::placement
