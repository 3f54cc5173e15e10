#pragma once
/// Delegation of a shard of a job from one cell (the origin) to another (the executor).
///
/// Decisions only: state + event -> actions; no I/O and no clock. Both state machines are deterministic, so
/// that tests/delegation_test.cpp can visit every reachable state.
///
/// Invariant: at any moment at most one of the two cells may run a task of the shard.
///
/// Each delegation of a job to a cell has an epoch, a number that only grows. Each side keeps one record per
/// job and other cell:
///   origin    epoch, and whether it is open. Written before the offer is sent; closed in the same
///   transaction
///             that takes over the results of the executor.
///   executor  epoch, and whether it executes the shard or has closed the epoch with its results. Written
///   before
///             the reply is sent.
/// While its record is open, the origin runs none of the shard. The executor runs it only while its record
/// says that it executes. Only the executor's own reply closes the origin's record: the epoch was refused, or
/// nothing of the shard is on its machines any more. A refusal is recorded, too, because a copy of the offer
/// may still be in flight. A missing reply means that the outcome is unknown: the offer or the recall is sent
/// again.
///
/// A delegation may have a deadline: a time of day until which the executor may have any of the shard on a
/// machine. An executor that can't be reached does not keep such a shard: the origin reclaims it once the
/// deadline has passed by its own clock, plus the clock error. The deadline is recorded at the origin before
/// it is sent and extended only while the executor replies. The executor stops early enough that nothing is
/// left by then, even on machines that it can't reach. A deadline that the executor hasn't heard of doesn't
/// bind it, so an extension only ever adds time. It is a time of day, not a duration: a message that was
/// delayed for minutes must not set a later deadline than the origin counts on.
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.hpp"
#include "state/records.hpp"

namespace barrowrun::cells {

using state::IndexSet;

/// Orders the delegations of one job to one cell; 0: none yet.
using DelegationEpoch = std::uint64_t;

/// Origin to executor: run these tasks. Sent as POST /peer/submit together with the job.
struct DelegationOffer {
    DelegationEpoch epoch = 0;
    IndexSet tasks;
    std::optional<DayTime> deadline;
};

/// Origin to executor: close this epoch. Sent as POST /peer/cancel.
struct DelegationRecall {
    DelegationEpoch epoch = 0;
};

/// Executor to origin, in reply to an offer or a recall.
struct DelegationReply {
    enum class Status {
        undecided,  ///< nothing was decided; the request has to be repeated
        executing,  ///< recorded at the executor; `done` holds its results so far
        closed,     ///< the epoch will never run there (again); `done` is final
    };
    Status status = Status::undecided;
    DelegationEpoch epoch = 0;
    IndexSet done;
};

/// What the origin has on record of a job's delegation.
struct OriginRecord {
    DelegationEpoch epoch = 0;  ///< the last one used
    bool open = false;
    IndexSet tasks;  ///< empty unless open
    std::optional<DayTime> deadline;
};

/// The origin's side of one job's delegation to one cell.
class DelegationOrigin {
  public:
    explicit DelegationOrigin(OriginRecord record = {}) : record_(std::move(record)) {}

    /// A record to be written, and the executor's results that go into the same transaction.
    struct Write {
        OriginRecord record;
        IndexSet done;
    };
    using Action = std::variant<std::monostate, Write, DelegationOffer, DelegationRecall>;
    /// What has to be done next; the same action until an event changes it.
    Action next_action() const;

    /// Opens an epoch for tasks that don't run here. False if one is open or the set is empty.
    bool delegate(IndexSet tasks, std::optional<DayTime> deadline = {});
    /// Extends the deadline of an open epoch that has one. Only after a reply that the shard is executing.
    void extend_deadline(DayTime deadline);
    /// Reclaims the shard if its deadline has passed at `now`, clocks differing by up to `clock_error`, with
    /// the results last heard of; anything else the executor did is repeated. True if it was reclaimed.
    bool expire(DayTime now, std::chrono::milliseconds clock_error);
    /// Asks for the shard back, or acknowledges that all of it is done.
    void recall() { recalling_ = true; }
    /// The write that `next_action` asked for is durable.
    void on_recorded();
    /// A reply has arrived. One to an earlier epoch is ignored, as are results of tasks that weren't
    /// delegated.
    void on_reply(const DelegationReply& reply);

    /// Whether the tasks must not run here.
    bool delegated() const { return record_.open || (pending_ && pending_->record.open); }
    const IndexSet& tasks() const {
        return pending_ && pending_->record.open ? pending_->record.tasks : record_.tasks;
    }
    /// Results of the executor, as last heard.
    const IndexSet& done() const { return done_; }
    const OriginRecord& record() const { return record_; }
    /// Whether the executor's last reply said that it executes the shard.
    bool accepted() const { return accepted_; }

  private:
    void close();
    OriginRecord record_;
    std::optional<Write> pending_;  // not durable yet
    IndexSet done_;
    bool recalling_ = false, accepted_ = false;
    friend struct DelegationPeek;  // the test's search over all states
};

/// What the executor has on record of a delegation.
struct ExecutorRecord {
    DelegationEpoch epoch = 0;
    bool executing = false;  ///< false: the epoch is closed, and `done` is final
    IndexSet tasks, done;
    std::optional<DayTime> deadline;
};

/// The executor's side of one job's delegation from one cell.
class DelegationExecutor {
  public:
    explicit DelegationExecutor(ExecutorRecord record = {})
        : record_(std::move(record)), deadline_(record_.deadline) {}

    /// Handles an offer; `may_accept` must be false for one whose deadline leaves no time to stop. Returns
    /// the reply, or nothing while it waits for `next_write` to be recorded.
    std::optional<DelegationReply> on_offer(const DelegationOffer& offer, bool may_accept);
    /// Begins to stop a shard whose deadline is not after `stop_by`; extensions are ignored from then on.
    /// True if it has to stop and wasn't stopping before.
    bool stop_if_due(DayTime stop_by);
    /// Until when tasks of the shard may be on a machine here, as far as is known.
    std::optional<DayTime> deadline() const { return deadline_; }
    /// Handles a recall. Returns the reply, or nothing while it waits for a write or for tasks to be gone.
    std::optional<DelegationReply> on_recall(const DelegationRecall& recall);
    /// Tasks have completed. Reported to the origin only once they are recorded.
    void on_tasks_done(const IndexSet& tasks);
    /// Nothing of the shard is on a machine, nor may still start on one.
    void on_machines_cleared() { machines_cleared_ = true; }
    /// Tasks of the shard may be on machines.
    void on_tasks_placed() { machines_cleared_ = false; }

    /// The record to be written, if any.
    std::optional<ExecutorRecord> next_write() const;
    /// The record is durable.
    void on_recorded(const ExecutorRecord& record);

    /// Whether tasks of the shard may be started here.
    bool may_start_tasks() const { return record_.executing && !stopping_; }
    bool stopping() const { return record_.executing && stopping_; }
    const ExecutorRecord& record() const { return record_; }

  private:
    DelegationReply reply() const;
    ExecutorRecord record_;
    std::optional<ExecutorRecord> pending_;  // another epoch, or the end of this one
    IndexSet done_;                          // not recorded yet
    std::optional<DayTime> deadline_;        // as last heard; recorded later
    bool stopping_ = false, machines_cleared_ = true;
    friend struct DelegationPeek;
};

}  // namespace barrowrun::cells
