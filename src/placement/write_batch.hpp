#pragma once
// The writes of one transaction with the state service, within its limits.
#include <functional>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "wire/codec.hpp"

namespace barrowrun::placement {

/// A record to write or delete in a transaction, and the callback to run once the write is durable.
struct Write {
    std::string key;
    std::optional<wire::Json> value;  // absent: delete the record
    std::function<void()> on_durable;
    bool with_previous = false;  // must be in the same transaction as the write before it
};

class WriteBatch {
  public:
    WriteBatch(std::size_t max_operations, std::size_t max_bytes)
        : max_operations_(max_operations), max_bytes_(max_bytes) {}

    /// Adds writes that belong into one transaction. Returns false and adds none if they don't fit beside the
    /// others; the first ones are always added.
    bool add(std::vector<Write> writes) {
        std::size_t bytes = 0;
        for (auto& write : writes) bytes += size_of(write);
        const bool fits = writes_.size() + writes.size() <= max_operations_ && bytes_ + bytes <= max_bytes_;
        if (!writes_.empty() && !fits) return false;
        bytes_ += bytes;
        for (std::size_t i = 1; i < writes.size(); ++i) writes[i].with_previous = true;
        std::move(writes.begin(), writes.end(), std::back_inserter(writes_));
        return true;
    }
    std::vector<Write> take() { return std::move(writes_); }

  private:
    // Most bytes that a transaction takes for a write and its precondition in addition to key and value.
    static constexpr std::size_t overhead_bytes = 40;
    // Measured as JSON text, which the state service's limits count; MessagePack is never much longer.
    static std::size_t size_of(const Write& write) {
        return write.key.size() + overhead_bytes + (write.value ? wire::text_size(*write.value) : 0);
    }
    std::size_t max_operations_, max_bytes_, bytes_ = 0;
    std::vector<Write> writes_;
};

/// Divides the writes of a transaction into the smallest transactions that they may be sent in.
inline std::vector<std::vector<Write>> separable(std::vector<Write> writes) {
    std::vector<std::vector<Write>> groups;
    for (auto& write : writes) {
        if (groups.empty() || !write.with_previous) groups.emplace_back();
        groups.back().push_back(std::move(write));
    }
    return groups;
}

}  // namespace barrowrun::placement
