#pragma once
// The attempts that this leader had reaped most recently, to explain one that appears again.
#include <deque>
#include <string>
#include <unordered_map>

#include "base/clock.hpp"
#include "fleet/machine.hpp"
#include "wire/messages.hpp"

namespace barrowrun::fleet {

class ReapedAttempts {
  public:
    void add(const wire::Attempt& attempt, const std::string& machine, std::uint64_t fencing_token,
             TimePoint now);
    // Logs that the machine's worker lists the attempt although this leader had taken it for gone.
    void log_reappearance(const wire::Attempt& attempt, const Machine& machine, TimePoint now);

    std::uint64_t reaped() const { return reaped_; }          // since the term began
    std::uint64_t reappeared() const { return reappeared_; }  // of these and of others taken for gone

  private:
    struct Reap {
        std::string machine;
        std::uint64_t fencing_token = 0;
        TimePoint at{};
    };
    std::unordered_map<wire::Attempt, Reap, wire::AttemptHash> attempts_;
    std::deque<wire::Attempt> order_;  // oldest first
    std::uint64_t reaped_ = 0, reappeared_ = 0;
};

}  // namespace barrowrun::fleet
