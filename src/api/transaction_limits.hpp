#pragma once
// How much goes into one transaction of the state service.
#include <algorithm>
#include <cstddef>

#include "placement/cluster.hpp"

namespace barrowrun::api {

// The service takes bodies of 64 KiB; the rest is for what goes around keys and values.
inline constexpr std::size_t max_transaction_bytes = 48 * 1024;

// Operations of one transaction, whatever a small setting says: some belong together.
inline std::size_t max_transaction_operations(const placement::Config& config) {
    constexpr std::size_t at_least = 4;
    return std::max(at_least, config.txn_ops);
}

}  // namespace barrowrun::api
