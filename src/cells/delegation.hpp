#pragma once
// A part of a job that one cell, its owner, has run by a neighbour: hand to hand, so that it has one owner at
// any moment. Decisions only: state + event -> actions, no I/O, no clock.
//
// Each part that an owner offers a neighbour of a job has a turn, a number that only grows. Both sides keep
// one record for each job and each other cell:
//   owner      turn; open or not. Written before the offer is sent; closed in the same transaction that
//              takes over what the neighbour has done.
//   neighbour  turn; holding, or over with what was done. Written before the answer.
// While its record is open the owner runs none of the part. The neighbour runs it only while its record says
// holding. What closes the owner's record is the neighbour's own word that this turn is over: refused, or
// given back once nothing of it is on its machines any more. A refusal is on record too, since a copy of the
// offer may still be under way; it is told by its turn and meets the record. No answer means unknown: the
// offer, or the recall, is sent again.
//
// A part may have an end, a moment of the day until which the neighbour may have any of it on a machine. Then
// a neighbour that isn't heard any more doesn't keep it: the owner takes it back after that moment by its own
// clock, later by the error of clocks. The end is on record at the owner before it is sent, and is set anew
// only while the neighbour is heard. The neighbour stops so long before it that nothing is left by then, even
// where it can't reach its machines; an end that it has never heard of can't bind it, so a later one only
// ever adds. A moment, not a length: a message that was held for minutes must not set a later end than its
// owner counts on.
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.hpp"
#include "state/records.hpp"

namespace barrowrun::cells {

using state::IndexSet;
using DelegationEpoch = std::uint64_t;

// ---- what is sent, in the users' protocol ----

// POST /submissions with the job, and with it: whose, which turn, and which tasks.
struct DelegationOffer {
    DelegationEpoch epoch = 0;
    IndexSet tasks;
    std::optional<DayTime> deadline;
};
// POST /submissions/{id}/cancel, of one turn.
struct DelegationRecall {
    DelegationEpoch epoch = 0;
};
// What the neighbour answers to either.
struct DelegationReply {
    enum class Status {
        undecided,  // nothing was decided: to be asked again
        executing,  // it is on record there; `done` of it so far
        closed,     // it will never run there (again); `done` is final
    };
    Status status = Status::undecided;
    DelegationEpoch epoch = 0;
    IndexSet done;
};

// ---- the owner ----

struct OriginRecord {
    DelegationEpoch epoch = 0;  // the last that was used
    bool open = false;
    IndexSet tasks;  // of an open part
    std::optional<DayTime> deadline;
};

class DelegationOrigin {
  public:
    explicit DelegationOrigin(OriginRecord record = {}) : record_(std::move(record)) {}

    // What is to be done next; the same again until an event changes it.
    struct Write {
        OriginRecord record;
        IndexSet done;  // that the neighbour has done, to be recorded with it
    };
    using Action = std::variant<std::monostate, Write, DelegationOffer, DelegationRecall>;
    Action next_action() const;

    // Tasks that aren't running here and shall run there. Only while nothing is lent.
    bool delegate(IndexSet tasks, std::optional<DayTime> deadline = {});
    // A later end, for a part that has one; only after the neighbour was heard to hold it.
    void extend_deadline(DayTime deadline);
    // The time of day is `now`, and clocks may be apart by `apart`. True: the end is over, and the part
    // becomes ours again with what was last heard to be done. What the neighbour did without its being heard
    // is done again.
    bool expire(DayTime now, std::chrono::milliseconds clock_error);
    // The part is wanted back, or is to be acknowledged as done.
    void recall() { recalling_ = true; }
    // The write that `next` asked for is on record.
    void on_recorded();
    // An answer; one to an earlier turn says nothing.
    void on_reply(const DelegationReply& answer);

    // Whether the tasks may not be run here.
    bool delegated() const { return record_.open || (pending_ && pending_->record.open); }
    const IndexSet& tasks() const {
        return pending_ && pending_->record.open ? pending_->record.tasks : record_.tasks;
    }
    // Done there so far, as last heard.
    const IndexSet& done() const { return done_; }
    const OriginRecord& record() const { return record_; }
    bool accepted() const { return accepted_; }

  private:
    void close();
    OriginRecord record_;
    std::optional<Write> pending_;
    IndexSet done_;
    bool recalling_ = false, accepted_ = false;
    friend struct DelegationPeek;  // the search over all states
};

// ---- the neighbour ----

struct ExecutorRecord {
    DelegationEpoch epoch = 0;
    bool executing = false;
    IndexSet tasks, done;
    std::optional<DayTime> deadline;
};

class DelegationExecutor {
  public:
    explicit DelegationExecutor(ExecutorRecord record = {})
        : record_(std::move(record)), deadline_(record_.deadline) {}

    // An offer has come. `room`: whether it may be taken. The answer, or nothing: it waits for `next_write`.
    // One that has an end must not be taken (`room`) when the moment to stop is past already.
    std::optional<DelegationReply> on_offer(const DelegationOffer& offer, bool may_accept);
    // `stop_by`: what has an end before it must stop now. From then on no later end is heard of. True: it has
    // to stop, and hadn't.
    bool stop_if_due(DayTime stop_by);
    // Until when something of the part may be on a machine here, as far as is known.
    std::optional<DayTime> deadline() const { return deadline_; }
    // A recall has come. Nothing: it waits for a write, or for what runs to be gone.
    std::optional<DelegationReply> on_recall(const DelegationRecall& recall);
    // Tasks have ended well; on record with the next write, and told only then.
    void on_tasks_done(const IndexSet& tasks);
    // Nothing of the part is on a machine, or may still start there.
    void on_machines_cleared() { machines_cleared_ = true; }
    void on_tasks_placed() { machines_cleared_ = false; }

    // What is to be put on record.
    std::optional<ExecutorRecord> next_write() const;
    void on_recorded(const ExecutorRecord& record);

    // Whether its tasks may be started here.
    bool may_start_tasks() const { return record_.executing && !stopping_; }
    bool stopping() const { return record_.executing && stopping_; }
    const ExecutorRecord& record() const { return record_; }

  private:
    DelegationReply answer() const;
    ExecutorRecord record_;
    std::optional<ExecutorRecord> pending_;  // another turn, or the end of this one
    IndexSet done_;                          // not on record yet
    std::optional<DayTime> deadline_;        // as last heard, of the part that is held; on record later
    bool stopping_ = false, machines_cleared_ = true;
    friend struct DelegationPeek;
};

}  // namespace barrowrun::cells
