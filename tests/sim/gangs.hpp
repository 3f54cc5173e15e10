#pragma once
// Gangs of a simulated site: the tasks of one attempt start together, and go on only while all are there.
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "sim/clock.hpp"
#include "wire/messages.hpp"

namespace barrowrun::sim {

struct GangRules {
    Nanos wait{std::chrono::seconds(30)};  // for the others, before a task gives up
    Nanos peer{std::chrono::seconds(4)};   // until the others notice that one is gone
};

class Gangs {
  public:
    explicit Gangs(GangRules rules) : rules_(rules) {}
    const GangRules& rules() const { return rules_; }
    // The task has its image, and waits for the others of its attempt. The last of `tasks` starts all.
    void arrive(const wire::Attempt& attempt, std::uint32_t tasks);
    // The task is no longer there, or its machine hangs: a gang that runs has lost it.
    void lose(const wire::Attempt& attempt);
    // When the gang of this attempt started; nothing: it still waits.
    std::optional<Nanos> started(const wire::Attempt& attempt) const;
    // When the gang lost a task, once it had started.
    std::optional<Nanos> lost(const wire::Attempt& attempt) const;

  private:
    struct Gang {
        std::set<std::uint32_t> waiting;
        std::optional<Nanos> started, lost;
    };
    using Key = std::pair<std::string, std::uint64_t>;  // job, attempt number
    static Key key(const wire::Attempt& attempt) { return {attempt.task.job, attempt.number}; }
    GangRules rules_;
    std::map<Key, Gang> gangs_;
};

}  // namespace barrowrun::sim
