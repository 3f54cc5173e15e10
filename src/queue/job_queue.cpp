#include "queue/job_queue.hpp"

namespace barrowrun::queue {

void JobQueue::set_waiting(wire::Priority level, const QueuePosition& position, std::uint64_t before,
                           std::uint64_t now) {
    auto& level_queue = levels_[static_cast<std::size_t>(level)];
    waiting_ = waiting_ - before + now;
    if (now == 0)
        changes_[static_cast<std::size_t>(level)] += level_queue.erase(position);
    else if (before == 0)
        changes_[static_cast<std::size_t>(level)] += level_queue.insert(position).second;
}

}  // namespace barrowrun::queue
