#pragma once
// Quotas between the state service, the leader and operators: how they are read, and who may change them.
#include "quota/versions.hpp"
#include "state/state_client.hpp"

namespace barrowrun::api {

enum class QuotaReadStatus {
    ok,
    none,       // never changed while running: the operator's file holds
    unusable,   // the records can't be used, whoever reads them
    no_answer,  // the service did not say: read again
};

// One version whole into `book`: pages are read before the head, and the head once more.
net::Task<QuotaReadStatus> read_quota_records(state::StateClient& state, std::size_t value_bytes,
                                              quota::VersionedQuotas& book);

// Takes as long whatever they have in common.
bool equal_in_constant_time(const std::string& given, const std::string& kept);

}  // namespace barrowrun::api
