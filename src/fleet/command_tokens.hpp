#pragma once
// The fencing tokens of one term of leadership, and under which of them a worker is written to.
#include <cstdint>
#include <deque>

#include "base/clock.hpp"
#include "fleet/machine.hpp"

namespace barrowrun::fleet {

// A worker accepts any token that is not below the highest one it has seen, and reports at once when it sees
// a higher one. So each worker is written to under the token that it knows, until a message to it has to void
// launches that were sent under that token.
class CommandTokens {
  public:
    // How long after a refresh the new token is given to workers so that they can reap. By then the other
    // nodes, which renew leases under the token of their last grant, have been granted the new one.
    static constexpr std::chrono::milliseconds propagation{1500};

    // Adds a token that this leader holds; the first one begins the term.
    void obtained(std::uint64_t token, TimePoint now);
    std::uint64_t first() const { return tokens_.empty() ? 0 : first_; }
    std::uint64_t current() const { return tokens_.empty() ? 0 : tokens_.back().token; }
    // The highest token that was obtained at least `propagation` ago, or the first one.
    std::uint64_t propagated(TimePoint now) const;

    // Sets the token under which the next message to the machine's worker is sent: the lowest one that the
    // worker accepts and that voids the launches, as far as there is one.
    void choose_for(Machine& machine, const Machine::LaunchesToVoid& launches, TimePoint now);
    // Whether a message to a worker had to be sent that could not void all of the launches, because they were
    // sent under the current token.
    bool refresh_wanted() const { return unvoided_launch_token_ > 0 && unvoided_launch_token_ >= current(); }

  private:
    struct Obtained {
        std::uint64_t token;
        TimePoint at;
    };
    std::uint64_t first_ = 0;
    std::deque<Obtained> tokens_;              // ascending; without those that a propagated one replaced
    std::uint64_t unvoided_launch_token_ = 0;  // of the launches that could not be voided so far
};

}  // namespace barrowrun::fleet
