#include "cells/handover.hpp"

#include <algorithm>

namespace barrowrun::cells {
// ---- the owner ----

Lender::Next Lender::next() const {
    if (pending_) return *pending_;
    if (!record_.open) return {};
    if (recalling_) return Recall{record_.turn};
    // Again while it is held, too: the answer tells what is done.
    return Offer{record_.turn, record_.tasks, record_.until};
}

bool Lender::lend(IndexSet tasks, std::optional<DayTime> until) {
    if (pending_ || record_.open || tasks.empty()) return false;
    pending_ = Write{{record_.turn + 1, true, std::move(tasks), until}, {}};
    recalling_ = held_ = false;
    done_ = {};
    return true;
}

void Lender::renew(DayTime until) {
    if (pending_ || !record_.open || !record_.until || recalling_ || until <= *record_.until) return;
    pending_.emplace();
    pending_->record = record_;
    pending_->record.until = until;
}

bool Lender::run_out(DayTime now, std::chrono::milliseconds apart) {
    // A later end whose record is under way counts: it may be on record, and be found there by a successor
    // that sends it.
    if (pending_ || !record_.open || !record_.until || now <= *record_.until + apart) return false;
    close();
    return true;
}

// Ours again once that is on record: with what was done, or a successor would run it a second time.
void Lender::close() {
    pending_.emplace();
    pending_->record.turn = record_.turn;
    pending_->done = done_;
}

void Lender::wrote() {
    if (!pending_) return;
    record_ = std::move(pending_->record);
    pending_.reset();
    if (!record_.open) recalling_ = held_ = false;
}

void Lender::answered(const Answer& answer) {
    if (!record_.open || pending_ || answer.turn != record_.turn) return;
    if (answer.word == Answer::Word::later) return;
    // Of a task that the part doesn't have it can't know.
    answer.done.each([&](std::uint32_t i) {
        if (record_.tasks.contains(i)) done_.insert(i);
    });
    held_ = answer.word == Answer::Word::holds;
    if (answer.word == Answer::Word::over) close();
}

// ---- the neighbour ----

Answer Borrower::answer() const {
    return {record_.holding ? Answer::Word::holds : Answer::Word::over, record_.turn, record_.done};
}

std::optional<Answer> Borrower::offered(const Offer& offer, bool room) {
    if (offer.turn < record_.turn) return Answer{Answer::Word::over, offer.turn, {}};
    if (offer.turn == record_.turn) {
        if (record_.holding && !stopping_ && until_ && offer.until) until_ = std::max(*until_, *offer.until);
        return answer();
    }
    // A new turn while the last is not over: its owner has forgotten what it knew. Nothing is decided.
    if (record_.holding) return Answer{Answer::Word::later, offer.turn, {}};
    if (!pending_ || pending_->turn < offer.turn)
        pending_ = HeldRecord{offer.turn, room, offer.tasks, {}, offer.until};
    return std::nullopt;
}

std::optional<Answer> Borrower::recalled(const Recall& recall) {
    if (recall.turn < record_.turn) return Answer{Answer::Word::over, recall.turn, {}};
    if (recall.turn == record_.turn) {
        if (!record_.holding) return answer();
        stopping_ = true;
        return std::nullopt;
    }
    if (record_.holding) return Answer{Answer::Word::later, recall.turn, {}};
    // Of a turn that was never heard of, or whose acceptance is being written: the refusal that its copies
    // will meet.
    if (!pending_ || pending_->turn < recall.turn) {
        pending_ = HeldRecord{recall.turn, false, {}, {}, {}};
    } else if (pending_->turn == recall.turn && pending_->holding) {
        // Its record may be under way: it is refused once that is known.
        stopping_ = true;
    }
    return std::nullopt;
}

bool Borrower::run_out(DayTime stop_by) {
    if (!record_.holding || stopping_ || !until_ || stop_by < *until_) return false;
    stopping_ = true;
    return true;
}

void Borrower::finished(const IndexSet& tasks) {
    if (record_.holding) done_.insert(tasks);
}

std::optional<HeldRecord> Borrower::next_write() const {
    if (pending_) return pending_;
    if (!record_.holding) return std::nullopt;
    auto done = record_.done;
    done.insert(done_);
    const bool over = stopping_ && gone_;
    // A later end need not be on record before it counts: a successor that knows the earlier one stops
    // sooner.
    if (!over && done.size() == record_.done.size() && until_ == record_.until) return std::nullopt;
    return HeldRecord{record_.turn, !over, record_.tasks, std::move(done), until_};
}

void Borrower::wrote(const HeldRecord& record) {
    const bool another = record.turn != record_.turn;
    record_ = record;
    if (pending_ && pending_->turn <= record.turn) pending_.reset();
    if (another) {
        done_ = {};
        gone_ = true;
        until_ = record_.until;
    }
    if (!record_.holding) stopping_ = false, done_ = {};
}

}  // namespace barrowrun::cells
