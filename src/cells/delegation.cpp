#include "cells/delegation.hpp"

#include <algorithm>

namespace barrowrun::cells {
// ---- origin ----

DelegationOrigin::Action DelegationOrigin::next_action() const {
    if (pending_) return *pending_;
    if (!record_.open) return {};
    if (recalling_) return DelegationRecall{record_.epoch};
    // The offer is repeated while the executor runs the shard, because the reply reports the finished tasks.
    return DelegationOffer{record_.epoch, record_.tasks, record_.deadline};
}

bool DelegationOrigin::delegate(IndexSet tasks, std::optional<DayTime> deadline) {
    if (pending_ || record_.open || tasks.empty()) return false;
    pending_ = Write{{record_.epoch + 1, true, std::move(tasks), deadline}, {}};
    recalling_ = accepted_ = false;
    done_ = {};
    return true;
}

void DelegationOrigin::extend_deadline(DayTime deadline) {
    if (pending_ || !record_.open || !record_.deadline || recalling_ || deadline <= *record_.deadline) return;
    pending_.emplace();
    pending_->record = record_;
    pending_->record.deadline = deadline;
}

bool DelegationOrigin::expire(DayTime now, std::chrono::milliseconds clock_error) {
    // The shard is not reclaimed while a record with a later deadline is being written: the record may
    // already be durable, and a new leader may read it and send the later deadline.
    if (pending_ || !record_.open || !record_.deadline || now <= *record_.deadline + clock_error)
        return false;
    close();
    return true;
}

// The origin may run the tasks again once the closed record is durable. The record is written together with
// the results, because a new leader would otherwise run the finished tasks a second time.
void DelegationOrigin::close() {
    pending_.emplace();
    pending_->record.epoch = record_.epoch;
    pending_->done = done_;
}

void DelegationOrigin::on_recorded() {
    if (!pending_) return;
    record_ = std::move(pending_->record);
    pending_.reset();
    if (!record_.open) recalling_ = accepted_ = false;
}

void DelegationOrigin::on_reply(const DelegationReply& reply) {
    if (!record_.open || pending_ || reply.epoch != record_.epoch) return;
    if (reply.status == DelegationReply::Status::undecided) return;
    // The executor can't have results of a task that is not in the shard.
    reply.done.each([&](std::uint32_t i) {
        if (record_.tasks.contains(i)) done_.insert(i);
    });
    accepted_ = reply.status == DelegationReply::Status::executing;
    if (reply.status == DelegationReply::Status::closed) close();
}

// ---- executor ----

DelegationReply DelegationExecutor::reply() const {
    return {record_.executing ? DelegationReply::Status::executing : DelegationReply::Status::closed,
            record_.epoch, record_.done};
}

std::optional<DelegationReply> DelegationExecutor::on_offer(const DelegationOffer& offer, bool may_accept) {
    if (offer.epoch < record_.epoch) return DelegationReply{DelegationReply::Status::closed, offer.epoch, {}};
    if (offer.epoch == record_.epoch) {
        if (record_.executing && !stopping_ && deadline_ && offer.deadline)
            deadline_ = std::max(*deadline_, *offer.deadline);
        return reply();
    }
    // The origin has lost its record if it opens a new epoch while the last one is open, so the executor does
    // not decide.
    if (record_.executing) return DelegationReply{DelegationReply::Status::undecided, offer.epoch, {}};
    if (!pending_ || pending_->epoch < offer.epoch)
        pending_ = ExecutorRecord{offer.epoch, may_accept, offer.tasks, {}, offer.deadline};
    return std::nullopt;
}

std::optional<DelegationReply> DelegationExecutor::on_recall(const DelegationRecall& recall) {
    if (recall.epoch < record_.epoch)
        return DelegationReply{DelegationReply::Status::closed, recall.epoch, {}};
    if (recall.epoch == record_.epoch) {
        if (!record_.executing) return reply();
        stopping_ = true;
        return std::nullopt;
    }
    if (record_.executing) return DelegationReply{DelegationReply::Status::undecided, recall.epoch, {}};
    // The epoch is unknown, or its acceptance is being written. For an unknown epoch a refusal is recorded,
    // so that a late copy of the offer is refused.
    if (!pending_ || pending_->epoch < recall.epoch) {
        pending_ = ExecutorRecord{recall.epoch, false, {}, {}, {}};
    } else if (pending_->epoch == recall.epoch && pending_->executing) {
        // The acceptance may already be durable, so the shard is stopped once the write has finished.
        stopping_ = true;
    }
    return std::nullopt;
}

bool DelegationExecutor::stop_if_due(DayTime stop_by) {
    if (!record_.executing || stopping_ || !deadline_ || stop_by < *deadline_) return false;
    stopping_ = true;
    return true;
}

void DelegationExecutor::on_tasks_done(const IndexSet& tasks) {
    if (record_.executing) done_.insert(tasks);
}

std::optional<ExecutorRecord> DelegationExecutor::next_write() const {
    if (pending_) return pending_;
    if (!record_.executing) return std::nullopt;
    auto done = record_.done;
    done.insert(done_);
    const bool closed = stopping_ && machines_cleared_;
    // A later deadline may be used before it is recorded: a new leader that reads the earlier one only stops
    // the shard sooner.
    if (!closed && done.size() == record_.done.size() && deadline_ == record_.deadline) return std::nullopt;
    return ExecutorRecord{record_.epoch, !closed, record_.tasks, std::move(done), deadline_};
}

void DelegationExecutor::on_recorded(const ExecutorRecord& record) {
    const bool new_epoch = record.epoch != record_.epoch;
    record_ = record;
    if (pending_ && pending_->epoch <= record.epoch) pending_.reset();
    if (new_epoch) {
        done_ = {};
        machines_cleared_ = true;
        deadline_ = record_.deadline;
    }
    if (!record_.executing) stopping_ = false, done_ = {};
}

}  // namespace barrowrun::cells
