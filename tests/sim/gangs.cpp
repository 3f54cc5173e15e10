#include "sim/gangs.hpp"

namespace barrowrun::sim {

void Gangs::arrive(const wire::Attempt& attempt, std::uint32_t tasks) {
    auto& gang = gangs_[key(attempt)];
    gang.waiting.insert(attempt.task.index);
    if (!gang.started && gang.waiting.size() == tasks) gang.started = Present::now;
}

void Gangs::lose(const wire::Attempt& attempt) {
    auto it = gangs_.find(key(attempt));
    if (it == gangs_.end()) return;
    it->second.waiting.erase(attempt.task.index);
    if (it->second.started && !it->second.lost) it->second.lost = Present::now;
}

std::optional<Nanos> Gangs::started(const wire::Attempt& attempt) const {
    auto it = gangs_.find(key(attempt));
    return it == gangs_.end() ? std::nullopt : it->second.started;
}

std::optional<Nanos> Gangs::lost(const wire::Attempt& attempt) const {
    auto it = gangs_.find(key(attempt));
    return it == gangs_.end() ? std::nullopt : it->second.lost;
}

}  // namespace barrowrun::sim
