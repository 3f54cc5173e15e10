#include "election/leader_key.hpp"

#include <vector>

namespace barrowrun::election {
using state::Outcome;
using state::Throttle;
using namespace std::chrono_literals;

namespace {
constexpr auto read_deadline = 800ms;
// Kept short because no node leads until a campaign without an answer is read back.
constexpr auto campaign_deadline = 1000ms;
// The lease is extended concurrently, so a refresh may take longer than a campaign.
constexpr auto refresh_deadline = 1500ms;
}  // namespace

void LeaderKey::attach(std::uint64_t lease_id, std::uint64_t refresh_count) {
    lease_id_ = lease_id;
    refresh_count_ = refresh_count;
}

void LeaderKey::refreshed(std::uint64_t fencing_token) {
    ++refresh_count_;
    fencing_token_ = fencing_token;
}

Task<state::CompareAndSwapResult> LeaderKey::write(std::uint64_t expected_version) {
    return write(expected_version, refresh_count_, campaign_deadline);
}

Task<state::CompareAndSwapResult> LeaderKey::write_refresh() {
    return write(fencing_token_, refresh_count_ + 1, refresh_deadline);
}

state::Operation LeaderKey::refresh_operation() const {
    return write_operation(refresh_count_ + 1);
}

state::Operation LeaderKey::write_operation(std::uint64_t refresh_count) const {
    state::LeaderRecord record{node_, incarnation_, lease_id_, refresh_count};
    return {state::leader_key, state::to_json(record), lease_id_};
}

Task<state::CompareAndSwapResult> LeaderKey::write(std::uint64_t expected_version,
                                                   std::uint64_t refresh_count, Clock::duration deadline) {
    std::vector<state::Precondition> preconditions{{state::leader_key, expected_version}};
    std::vector<state::Operation> operations{write_operation(refresh_count)};
    auto result = co_await state_.compare_and_swap(std::move(preconditions), std::move(operations), deadline,
                                                   Throttle::exempt);
    co_return result;
}

Task<bool> LeaderKey::is_lost() {
    auto current = co_await state_.get(state::leader_key, read_deadline, Throttle::exempt);
    if (current.outcome == Outcome::absent) co_return true;
    auto record = current.outcome == Outcome::ok ? state::parse_leader_record(current.value) : std::nullopt;
    if (!record) co_return false;
    if (record->incarnation != incarnation_) co_return true;
    if (current.version > fencing_token_) {
        fencing_token_ = current.version;
        refresh_count_ = record->refresh_count;
    }
    co_return false;
}

Task<Outcome> LeaderKey::extend_lease(Clock::duration deadline) {
    return state_.extend_lease(lease_id_, deadline);
}

Task<Outcome> LeaderKey::revoke_lease() {
    return state_.revoke_lease(lease_id_);
}

}  // namespace barrowrun::election
