#include "fleet/assignment_shards.hpp"

#include <algorithm>

namespace barrowrun::fleet {

namespace {
// Every start rewrites the whole record of its shard. New machines are added only up to a third of the
// maximum size, which leaves room for the attempts that the machines receive later.
constexpr std::size_t fill_divisor = 3;
// Estimated size of a machine with one task, used until the shard's record has been measured.
constexpr std::size_t estimated_machine_bytes = 110;
}  // namespace

AssignmentShards::ShardId AssignmentShards::unused_id() const {
    ShardId id = 0;
    while (shards_.contains(id)) ++id;
    return id;
}

AssignmentShards::Shard& AssignmentShards::shard_of(const std::string& machine) {
    if (auto it = shard_of_machine_.find(machine); it != shard_of_machine_.end())
        return shards_.at(it->second);
    auto with_room = std::find_if(shards_.begin(), shards_.end(), [&](auto& s) {
        return s.second.write_after.empty() &&
               s.second.bytes + estimated_machine_bytes <= value_bytes_ / fill_divisor;
    });
    ShardId id = with_room != shards_.end() ? with_room->first : unused_id();
    Shard& shard = shards_[id];
    shard.machines.insert(machine);
    shard.bytes += estimated_machine_bytes;
    shard_of_machine_[machine] = id;
    return shard;
}

void AssignmentShards::add_start(const std::string& machine, Urgency urgency) {
    auto& shard = shard_of(machine);
    shard.changed = true;
    shard.urgency = std::min(shard.urgency.value_or(urgency), urgency);
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
    auto [it, inserted] = shard_of_machine_.try_emplace(machine, id);
    if (inserted) {
        shard.machines.insert(machine);
        shard.bytes += estimated_machine_bytes;
    } else if (it->second != id) {
        shards_.at(it->second).changed = shard.changed = true;
        shard.write_after.insert(it->second);
    }
}

bool AssignmentShards::is_due(ShardId n, const Shard& shard, bool all) const {
    if (!shard.changed || shard.rejected || !shard.write_after.empty()) return false;
    return all || shard.urgency || std::any_of(shards_.begin(), shards_.end(), [n](auto& s) {
               return s.second.write_after.contains(n);
           });
}

bool AssignmentShards::any_due(bool all) const {
    return std::any_of(shards_.begin(), shards_.end(),
                       [&](auto& s) { return is_due(s.first, s.second, all); });
}

std::vector<AssignmentShards::ShardId> AssignmentShards::due(bool all) const {
    std::vector<ShardId> due_ids;
    for (auto& [id, shard] : shards_)
        if (is_due(id, shard, all)) due_ids.push_back(id);
    auto urgency_of = [this](ShardId id) {
        return shards_.at(id).urgency.value_or(Urgency{wire::Priority::low, TimePoint::max()});
    };
    std::stable_sort(due_ids.begin(), due_ids.end(),
                     [&](auto x, auto y) { return urgency_of(x) < urgency_of(y); });
    return due_ids;
}

const std::set<std::string>& AssignmentShards::machines(ShardId shard) const {
    return shards_.at(shard).machines;
}

bool AssignmentShards::record_size(ShardId id, std::size_t bytes) {
    Shard& shard = shards_.at(id);
    shard.bytes = bytes;
    if (bytes <= value_bytes_ || shard.machines.size() < 2) return true;
    ShardId new_id = unused_id();
    Shard& new_shard = shards_[new_id];
    auto middle = std::next(shard.machines.begin(), static_cast<long>(shard.machines.size() / 2));
    new_shard.machines.insert(middle, shard.machines.end());
    shard.machines.erase(middle, shard.machines.end());
    for (auto& machine : new_shard.machines) shard_of_machine_[machine] = new_id;
    shard.bytes = new_shard.bytes = bytes / 2;
    new_shard.changed = true;
    new_shard.urgency = shard.urgency;
    shard.write_after.insert(new_id);
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
    shard.rejected = false;
    // Starts still wait for this write, but their urgency was reset when it was sent: assume the highest.
    shard.urgency = Urgency{wire::Priority::production, TimePoint{}};
}

void AssignmentShards::on_write_rejected(ShardId id) {
    auto& shard = shards_.at(id);
    shard.changed = shard.rejected = true;
}

}  // namespace barrowrun::fleet
