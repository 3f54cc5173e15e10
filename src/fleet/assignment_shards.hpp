#pragma once
// Groups machines into shards of one record each, so that the starts of a scheduling round on hundreds of
// machines cost a few writes: the number of writes grows with the bytes, not with the machines. A shard's
// record is a complete snapshot: it lists all its machines with every attempt that may be on them.
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
    // Order in which recorded starts are written: by priority, then the oldest first.
    using Urgency = std::pair<wire::Priority, TimePoint>;

    explicit AssignmentShards(std::size_t value_bytes) : value_bytes_(value_bytes) {}

    // Marks the machine's shard as due: a start on the machine waits until it is recorded.
    void add_start(const std::string& machine, Urgency urgency);
    // Marks the machine's shard as changed without urgency: the change is written with the next full write.
    void mark_changed(const std::string& machine);
    void remove_machine(const std::string& machine);
    // Restores a machine from a predecessor's record; call in ascending order of shards. After a crash during
    // a move two shards may list a machine: the lower one keeps it and is written, with both lists, first.
    void recover(ShardId shard, const std::string& machine);

    // Marks a shard whose record cannot be read as full: it is never overwritten, so a successor sees it too.
    void quarantine(ShardId shard) { shards_[shard].bytes = value_bytes_; }

    // Shards to write, the most urgent first. `all` includes changed shards that no start waits for.
    std::vector<ShardId> due(bool all) const;
    bool any_due(bool all) const;
    std::size_t changed_count() const { return due(true).size(); }
    const std::set<std::string>& machines(ShardId shard) const;
    // Stores the measured size of the record. Returns false if it is too large: half of the machines move to
    // a new shard, which is written before this one, because a crash between the writes would else lose them.
    bool record_size(ShardId shard, std::size_t bytes);
    void on_write_sent(ShardId shard);     // the write was sent to the state service
    void on_write_durable(ShardId shard);  // the state service has stored the write
    void on_write_failed(ShardId shard);   // the write failed; the shard becomes due again
    // The state service does not take the record: the shard is not due until `on_write_failed`.
    void on_write_rejected(ShardId shard);

  private:
    struct Shard {
        std::set<std::string> machines;
        std::size_t bytes = 0;
        std::optional<Urgency> urgency;
        bool changed = false, rejected = false;
        std::set<ShardId> write_after;  // shards that must be durable before this one is written
    };
    Shard& shard_of(const std::string& machine);
    ShardId unused_id() const;
    bool is_due(ShardId n, const Shard& shard, bool all) const;
    std::size_t value_bytes_;
    std::map<ShardId, Shard> shards_;
    std::unordered_map<std::string, ShardId> shard_of_machine_;
};

}  // namespace barrowrun::fleet
