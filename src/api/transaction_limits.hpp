#pragma once
// Size limits of transactions with the state service.
#include <algorithm>
#include <cstddef>

#include "placement/cluster.hpp"

namespace barrowrun::api {

// Most operations in one transaction. At least four, even if the setting is smaller, because some operations
// must be in the same transaction.
inline std::size_t max_transaction_operations(const placement::Config& config) {
    constexpr std::size_t min_operations = 4;
    return std::max(min_operations, config.txn_ops);
}

}  // namespace barrowrun::api
