#include "fleet/assignment_shards.hpp"

#include <algorithm>

namespace barrowrun::fleet {

namespace {
// A shard is written whole for each start on it: it is filled to a third, and has room for what its machines
// come to hold.
constexpr std::size_t filled_part = 3;
// What a machine with one task takes about, until its shard has been measured.
constexpr std::size_t usual_record = 110;
}  // namespace

AssignmentShards::ShardId AssignmentShards::unused_id() const {
    ShardId n = 0;
    while (shards_.contains(n)) ++n;
    return n;
}

AssignmentShards::Shard& AssignmentShards::shard_of(const std::string& machine) {
    if (auto it = shard_of_machine_.find(machine); it != shard_of_machine_.end())
        return shards_.at(it->second);
    auto room = std::find_if(shards_.begin(), shards_.end(), [&](auto& s) {
        return s.second.write_after.empty() && s.second.bytes + usual_record <= value_bytes_ / filled_part;
    });
    ShardId n = room != shards_.end() ? room->first : unused_id();
    Shard& shard = shards_[n];
    shard.machines.insert(machine);
    shard.bytes += usual_record;
    shard_of_machine_[machine] = n;
    return shard;
}

void AssignmentShards::add_start(const std::string& machine, Urgency rank) {
    auto& shard = shard_of(machine);
    shard.changed = true;
    shard.urgency = std::min(shard.urgency.value_or(rank), rank);
}

void AssignmentShards::mark_changed(const std::string& machine) {
    shard_of(machine).changed = true;
}

void AssignmentShards::remove_machine(const std::string& machine) {
    auto it = shard_of_machine_.find(machine);
    if (it == shard_of_machine_.end()) return;
    auto& shard = shards_.at(it->second);
    shard.machines.erase(machine);
    shard.changed = true;
    shard_of_machine_.erase(it);
}

void AssignmentShards::recover(ShardId id, const std::string& machine) {
    auto& shard = shards_[id];
    auto [it, first] = shard_of_machine_.try_emplace(machine, id);
    if (first) {
        shard.machines.insert(machine);
        shard.bytes += usual_record;
    } else if (it->second != id) {
        shards_.at(it->second).changed = shard.changed = true;
        shard.write_after.insert(it->second);
    }
}

bool AssignmentShards::is_due(ShardId n, const Shard& shard, bool all) const {
    if (!shard.changed || !shard.write_after.empty()) return false;
    return all || shard.urgency || std::any_of(shards_.begin(), shards_.end(), [n](auto& s) {
               return s.second.write_after.contains(n);
           });
}

bool AssignmentShards::any_due(bool all) const {
    return std::any_of(shards_.begin(), shards_.end(),
                       [&](auto& s) { return is_due(s.first, s.second, all); });
}

std::vector<AssignmentShards::ShardId> AssignmentShards::due(bool all) const {
    std::vector<ShardId> out;
    for (auto& [n, s] : shards_)
        if (is_due(n, s, all)) out.push_back(n);
    auto rank = [this](ShardId n) {
        return shards_.at(n).urgency.value_or(Urgency{wire::Priority::low, TimePoint::max()});
    };
    std::stable_sort(out.begin(), out.end(), [&](auto x, auto y) { return rank(x) < rank(y); });
    return out;
}

const std::set<std::string>& AssignmentShards::machines(ShardId shard) const {
    return shards_.at(shard).machines;
}

bool AssignmentShards::record_size(ShardId id, std::size_t bytes) {
    Shard& shard = shards_.at(id);
    shard.bytes = bytes;
    if (bytes <= value_bytes_ || shard.machines.size() < 2) return true;
    ShardId other = unused_id();
    Shard& next = shards_[other];
    auto from = std::next(shard.machines.begin(), static_cast<long>(shard.machines.size() / 2));
    next.machines.insert(from, shard.machines.end());
    shard.machines.erase(from, shard.machines.end());
    for (auto& m : next.machines) shard_of_machine_[m] = other;
    shard.bytes = next.bytes = bytes / 2;
    next.changed = true;
    next.urgency = shard.urgency;
    shard.write_after.insert(other);
    return false;
}

void AssignmentShards::on_write_sent(ShardId id) {
    auto& shard = shards_.at(id);
    shard.changed = false;
    shard.urgency.reset();
}

void AssignmentShards::on_write_durable(ShardId id) {
    for (auto& [n, s] : shards_) s.write_after.erase(id);
}

void AssignmentShards::on_write_failed(ShardId id) {
    auto& shard = shards_.at(id);
    shard.changed = true;
    // What waited for it waits still; nothing more is known here than that it is overdue.
    shard.urgency = Urgency{wire::Priority::production, TimePoint{}};
}

}  // namespace barrowrun::fleet
