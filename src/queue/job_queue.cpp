#include "queue/job_queue.hpp"

namespace barrowrun::queue {

void JobQueue::set_waiting(wire::Priority level, const Position& place, std::uint64_t before,
                           std::uint64_t now) {
    auto& q = levels_[static_cast<std::size_t>(level)];
    waiting_ = waiting_ - before + now;
    if (now == 0)
        changes_[static_cast<std::size_t>(level)] += q.erase(place);
    else if (before == 0)
        changes_[static_cast<std::size_t>(level)] += q.insert(place).second;
}

}  // namespace barrowrun::queue
