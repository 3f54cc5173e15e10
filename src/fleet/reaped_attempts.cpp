#include "fleet/reaped_attempts.hpp"

#include <spdlog/spdlog.h>

namespace barrowrun::fleet {
namespace {
// Bounds the memory for reaped attempts; about a megabyte.
constexpr std::size_t max_remembered_attempts = 8192;
}  // namespace

void ReapedAttempts::add(const wire::Attempt& attempt, const std::string& machine,
                         std::uint64_t fencing_token, TimePoint now) {
    auto [it, inserted] = attempts_.try_emplace(attempt);
    it->second = {machine, fencing_token, now};
    if (!inserted) return;  // the command is repeated until a heartbeat shows its effect
    ++reaped_;
    order_.push_back(attempt);
    if (order_.size() <= max_remembered_attempts) return;
    attempts_.erase(order_.front());
    order_.pop_front();
}

void ReapedAttempts::log_reappearance(const wire::Attempt& attempt, const Machine& machine, TimePoint now) {
    ++reappeared_;
    const auto it = attempts_.find(attempt);
    const bool known = it != attempts_.end() && it->second.machine == machine.name;
    const auto history = known ? fmt::format("its reap was sent {:.1f} s ago under fencing token {}",
                                             Seconds(now - it->second.at).count(), it->second.fencing_token)
                               : std::string("it was taken for gone before");
    spdlog::error(
        "task {}: attempt {} appears again on machine {} (agent epoch {}, fencing token {}): {}; all "
        "attempts "
        "of the task are stopped",
        attempt.task.str(), attempt.number, machine.name, machine.agent_epoch, machine.fencing_token_seen,
        history);
}

}  // namespace barrowrun::fleet
