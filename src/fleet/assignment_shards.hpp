#pragma once
// Which machines stand together on one record. A round's starts on hundreds of machines then cost a few
// changes of the state service rather than one a machine: the count grows with bytes, not with machines.
// A sheet's value is absolute: it names all its machines with every attempt that may be on them.
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.hpp"
#include "wire/submission.hpp"

namespace barrowrun::fleet {

class AssignmentShards {
  public:
    using ShardId = std::uint32_t;
    // How pressing a start is: the higher level first, then the older.
    using Urgency = std::pair<wire::Priority, TimePoint>;

    explicit AssignmentShards(std::size_t value_bytes) : value_bytes_(value_bytes) {}

    // A start on the machine waits to be recorded.
    void add_start(const std::string& machine, Urgency urgency);
    // Something else about it is to be recorded with the next occasion.
    void mark_changed(const std::string& machine);
    void remove_machine(const std::string& machine);
    // A record of a predecessor names it; sheets come in rising order. Two may name one, after a crash within
    // a move: the lower becomes its home and is written, with what either named, before the other.
    void recover(ShardId shard, const std::string& machine);

    // A record that cannot be read: it is neither used nor overwritten, so that a successor sees it too.
    void quarantine(ShardId shard) { shards_[shard].bytes = value_bytes_; }

    // AssignmentShards to write, the most pressing first; with `all` also those that no start waits for.
    std::vector<ShardId> due(bool all) const;
    bool any_due(bool all) const;
    std::size_t changed_count() const { return due(true).size(); }
    const std::set<std::string>& machines(ShardId shard) const;
    // The value was measured. False: it is too large. Then half of its machines stand on a new sheet, and
    // this one is not due before that is on record: else a crash between the two would lose them.
    bool record_size(ShardId shard, std::size_t bytes);
    void on_write_sent(ShardId shard);     // its value is on its way
    void on_write_durable(ShardId shard);  // and on record
    void on_write_failed(ShardId shard);   // or not

  private:
    struct Shard {
        std::set<std::string> machines;
        std::size_t bytes = 0;
        std::optional<Urgency> urgency;
        bool changed = false;
        std::set<ShardId> write_after;  // not written before these are on record
    };
    Shard& shard_of(const std::string& machine);
    ShardId unused_id() const;
    bool is_due(ShardId n, const Shard& shard, bool all) const;
    std::size_t value_bytes_;
    std::map<ShardId, Shard> shards_;
    std::unordered_map<std::string, ShardId> shard_of_machine_;
};

}  // namespace barrowrun::fleet
