#pragma once
/// Delegation of a shard of a job from one cell (the origin) to another (the executor).
///
/// Two state machines, state + event -> actions, without I/O and without a clock. Both are deterministic, so
/// that tests/delegation_test.cpp can visit every reachable state.
///
/// Invariant: at any moment at most one of the two cells may run a task of the shard.
///
/// Each delegation of a job to a cell has an epoch, a number that only grows. Each side keeps one record per
/// job and other cell:
///   origin    epoch, and whether the epoch is open. Written before the offer is sent; closed in the same
///             transaction that stores the results of the executor.
///   executor  epoch, and whether the executor runs the shard or has closed the epoch with its results.
///             Written before the reply is sent.
/// While its record is open, the origin runs no task of the shard. The executor runs tasks of the shard only
/// while its record says that it executes the shard. Without a deadline, only the executor's own reply closes
/// the origin's record: the executor refused the epoch, or no task of the shard is on its machines any more.
/// A refusal is recorded, too, because a copy of the offer may still be in flight. If a reply is missing, the
/// outcome is unknown, and the origin sends the offer or the recall again.
///
/// A delegation may have a deadline: a wall-clock time until which the executor may have tasks of the shard
/// on a machine. If the executor can't be reached, the origin reclaims the shard once the deadline plus the
/// clock error has passed by its own clock. The origin records the deadline before sending it, and extends it
/// only while the executor replies. The executor stops the shard early enough that no task is left by the
/// deadline, even on machines that it can't reach. An extension that has not reached the executor doesn't
/// bind it, so an extension can only add time. The deadline is a wall-clock time, not a duration, so that a
/// message delayed for minutes can't set a later deadline than the one on which the origin relies.
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.hpp"
#include "state/records.hpp"

namespace barrowrun::cells {

using state::IndexSet;

/// Orders the delegations of one job to one cell; 0 if there has been none.
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
        undecided,  ///< nothing was decided; the origin must repeat the request
        executing,  ///< the executor has recorded the shard; `done` holds its results so far
        closed,     ///< the executor will not run the epoch (again); `done` is final
    };
    Status status = Status::undecided;
    DelegationEpoch epoch = 0;
    IndexSet done;
};

/// The origin's record of a job's delegation.
struct OriginRecord {
    DelegationEpoch epoch = 0;  ///< the last epoch used
    bool open = false;
    IndexSet tasks;  ///< empty unless open
    std::optional<DayTime> deadline;
};

/// The origin's side of one job's delegation to one cell.
class DelegationOrigin {
  public:
    explicit DelegationOrigin(OriginRecord record = {}) : record_(std::move(record)) {}

    /// A record to be written, and the executor's results to be stored in the same transaction.
    struct Write {
        OriginRecord record;
        IndexSet done;
    };
    using Action = std::variant<std::monostate, Write, DelegationOffer, DelegationRecall>;
    /// Returns the next action; the same action until an event changes it.
    Action next_action() const;

    /// Opens an epoch for tasks that don't run in the origin cell. Returns false if an epoch is open or the
    /// set is empty.
    bool delegate(IndexSet tasks, std::optional<DayTime> deadline = {});
    /// Extends the deadline of an open epoch that has one. May be called only after a reply with status
    /// `executing`.
    void extend_deadline(DayTime deadline);
    /// Reclaims the shard with the last known results if its deadline has passed at `now`, where clocks
    /// differ by up to `clock_error`. Tasks that the executor finished without reporting run again. Returns
    /// true if the shard was reclaimed.
    bool expire(DayTime now, std::chrono::milliseconds clock_error);
    /// Recalls the shard, either to get it back or to close the epoch after all its tasks are done.
    void recall() { recalling_ = true; }
    /// Reports that the write returned by `next_action` is durable.
    void on_recorded();
    /// Handles a reply. A reply to an earlier epoch is ignored, and so are results of tasks that weren't
    /// delegated.
    void on_reply(const DelegationReply& reply);

    /// Whether the origin must not run the tasks.
    bool delegated() const { return record_.open || (pending_ && pending_->record.open); }
    const IndexSet& tasks() const {
        return pending_ && pending_->record.open ? pending_->record.tasks : record_.tasks;
    }
    /// The last known results of the executor.
    const IndexSet& done() const { return done_; }
    const OriginRecord& record() const { return record_; }
    /// Whether the executor's last reply had status `executing`.
    bool accepted() const { return accepted_; }

  private:
    void close();
    OriginRecord record_;
    std::optional<Write> pending_;  // the write is not durable yet
    IndexSet done_;
    bool recalling_ = false, accepted_ = false;
    friend struct DelegationTestAccess;  // gives the test's state-space search access to the private state
};

/// The executor's record of a delegation.
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

    /// Handles an offer; `may_accept` must be false if its deadline leaves no time to stop the shard. Returns
    /// the reply, or nothing while `next_write` has to be recorded first.
    std::optional<DelegationReply> on_offer(const DelegationOffer& offer, bool may_accept);
    /// Starts to stop the shard if its deadline is not after `stop_by`; extensions are ignored from then on.
    /// Returns true if this call started the stop.
    bool stop_if_due(DayTime stop_by);
    /// The last known time until which tasks of the shard may be on a machine of the executor.
    std::optional<DayTime> deadline() const { return deadline_; }
    /// Handles a recall. Returns the reply, or nothing while a write is pending or tasks are still on
    /// machines.
    std::optional<DelegationReply> on_recall(const DelegationRecall& recall);
    /// Adds completed tasks. They are reported to the origin only once they are recorded.
    void on_tasks_done(const IndexSet& tasks);
    /// Reports that no task of the shard is on a machine or may still start on one.
    void on_machines_cleared() { machines_cleared_ = true; }
    /// Reports that tasks of the shard may be on machines.
    void on_tasks_placed() { machines_cleared_ = false; }

    /// Returns the record to be written, if any.
    std::optional<ExecutorRecord> next_write() const;
    /// Reports that the record is durable.
    void on_recorded(const ExecutorRecord& record);

    /// Whether the executor may start tasks of the shard.
    bool may_start_tasks() const { return record_.executing && !stopping_; }
    bool stopping() const { return record_.executing && stopping_; }
    const ExecutorRecord& record() const { return record_; }

  private:
    DelegationReply reply() const;
    ExecutorRecord record_;
    std::optional<ExecutorRecord> pending_;  // record of a new epoch, not durable yet
    IndexSet done_;                          // completed tasks that are not recorded yet
    std::optional<DayTime> deadline_;        // last received deadline; may not be recorded yet
    bool stopping_ = false, machines_cleared_ = true;
    friend struct DelegationTestAccess;
};

}  // namespace barrowrun::cells
