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
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "state/records.hpp"

namespace barrowrun::cells {

using state::IndexSet;
using Turn = std::uint64_t;

// ---- what is sent, in the users' protocol ----

// POST /submissions with the job, and with it: whose, which turn, and which tasks.
struct Offer {
    Turn turn = 0;
    IndexSet tasks;
};
// POST /submissions/{id}/cancel, of one turn.
struct Recall {
    Turn turn = 0;
};
// What the neighbour answers to either.
struct Answer {
    enum class Word {
        later,  // nothing was decided: to be asked again
        holds,  // it is on record there; `done` of it so far
        over,   // it will never run there (again); `done` is final
    };
    Word word = Word::later;
    Turn turn = 0;
    IndexSet done;
};

// ---- the owner ----

struct LentRecord {
    Turn turn = 0;  // the last that was used
    bool open = false;
    IndexSet tasks;  // of an open part
};

class Lender {
  public:
    explicit Lender(LentRecord record = {}) : record_(std::move(record)) {}

    // What is to be done next; the same again until an event changes it.
    struct Write {
        LentRecord record;
        IndexSet done;  // that the neighbour has done, to be recorded with it
    };
    using Next = std::variant<std::monostate, Write, Offer, Recall>;
    Next next() const;

    // Tasks that aren't running here and shall run there. Only while nothing is lent.
    bool lend(IndexSet tasks);
    // The part is wanted back, or is to be acknowledged as done.
    void want_back() { recalling_ = true; }
    // The write that `next` asked for is on record.
    void wrote();
    // An answer; one to an earlier turn says nothing.
    void answered(const Answer& answer);

    // Whether the tasks may not be run here.
    bool away() const { return record_.open || (pending_ && pending_->record.open); }
    const IndexSet& tasks() const {
        return pending_ && pending_->record.open ? pending_->record.tasks : record_.tasks;
    }
    // Done there so far, as last heard.
    const IndexSet& done() const { return done_; }
    const LentRecord& record() const { return record_; }
    bool held() const { return held_; }

  private:
    LentRecord record_;
    std::optional<Write> pending_;
    IndexSet done_;
    bool recalling_ = false, held_ = false;
    friend struct HandoverPeek;  // the search over all states
};

// ---- the neighbour ----

struct HeldRecord {
    Turn turn = 0;
    bool holding = false;
    IndexSet tasks, done;
};

class Borrower {
  public:
    explicit Borrower(HeldRecord record = {}) : record_(std::move(record)) {}

    // An offer has come. `room`: whether it may be taken. The answer, or nothing: it waits for `next_write`.
    std::optional<Answer> offered(const Offer& offer, bool room);
    // A recall has come. Nothing: it waits for a write, or for what runs to be gone.
    std::optional<Answer> recalled(const Recall& recall);
    // Tasks have ended well; on record with the next write, and told only then.
    void finished(const IndexSet& tasks);
    // Nothing of the part is on a machine, or may still start there.
    void gone() { gone_ = true; }
    void runs() { gone_ = false; }

    // What is to be put on record.
    std::optional<HeldRecord> next_write() const;
    void wrote(const HeldRecord& record);

    // Whether its tasks may be started here.
    bool may_run() const { return record_.holding && !stopping_; }
    bool stopping() const { return record_.holding && stopping_; }
    const HeldRecord& record() const { return record_; }

  private:
    Answer answer() const;
    HeldRecord record_;
    std::optional<HeldRecord> pending_;  // another turn, or the end of this one
    IndexSet done_;                      // not on record yet
    bool stopping_ = false, gone_ = true;
    friend struct HandoverPeek;
};

}  // namespace barrowrun::cells
