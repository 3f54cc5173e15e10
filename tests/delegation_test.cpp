// All states of one task between its origin and an executor: every order of sending, loss, doubling, late
// delivery, crashes before and after each write, ends and stops. In none of them is the task on machines of
// both, or run again after its result is on record.
#include "cells/delegation.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <string>
#include <unordered_set>

namespace barrowrun::cells {
struct DelegationPeek {
    static std::string text(const IndexSet& s) { return s.empty() ? "-" : "x"; }
    static std::string text(const std::optional<DayTime>& t) {
        return t ? std::to_string(t->time_since_epoch().count()) : "";
    }
    static std::string text(const OriginRecord& r) {
        return std::to_string(r.epoch) + (r.open ? "o" : "c") + text(r.tasks) + text(r.deadline);
    }
    static std::string text(const ExecutorRecord& r) {
        return std::to_string(r.epoch) + (r.executing ? "h" : "v") + text(r.tasks) + text(r.done) +
               text(r.deadline);
    }
    static std::string text(const DelegationOrigin& l) {
        return text(l.record_) + (l.pending_ ? text(l.pending_->record) + text(l.pending_->done) : "_") +
               text(l.done_) + (l.recalling_ ? "r" : ".") + (l.accepted_ ? "h" : ".");
    }
    static std::string text(const DelegationExecutor& b) {
        return text(b.record_) + (b.pending_ ? text(*b.pending_) : "_") + text(b.done_) + text(b.deadline_) +
               (b.stopping_ ? "s" : ".") + (b.machines_cleared_ ? "g" : ".");
    }
};
}  // namespace barrowrun::cells

using namespace barrowrun;
using namespace barrowrun::cells;
using namespace std::chrono_literals;
using Status = DelegationReply::Status;

namespace {

enum class Mistake {
    none,
    sent_before_record,       // the offer goes out while its record is being written
    reclaimed_without_reply,  // the origin gives up waiting for an answer
    refusal_not_recorded,     // the executor answers a recall of a epoch that it never heard of at once
    replied_before_record,    // the executor says "over" while that is being written
    replied_while_running,    // the executor says "over" while the task is still on a machine
    done_not_recorded,        // the origin closes its record without what was done
    // Of delegations with a deadline:
    reclaimed_early,         // the origin reclaims it one tick before the end is over
    extended_before_record,  // a later deadline is sent while it is being written
    relative_deadline,       // the executor counts the end from when the offer came
    no_stop,                 // the executor lets it run on past the end
};

// With a deadline: time goes in ticks, the same for both. The executor begins to stop a tick ahead.
constexpr int length = 2, ahead = 1;
DayTime at(int tick) {
    return DayTime(std::chrono::milliseconds(tick));
}
int tick_of(DayTime t) {
    return static_cast<int>(t.time_since_epoch().count());
}

IndexSet task() {
    IndexSet s;
    s.insert(0);
    return s;
}

struct Message {
    enum class Kind { offer, recall, answer } kind;
    DelegationEpoch epoch = 0;
    Status status = Status::undecided;
    bool done = false;
    int deadline = 0;
    std::string text() const {
        return std::to_string(static_cast<int>(kind)) + std::to_string(epoch) +
               std::to_string(static_cast<int>(status)) + (done ? "d" : "") + std::to_string(deadline);
    }
};

struct World {
    // What survives a crash.
    OriginRecord origin_record;
    bool origin_done = false;  // the job's progress
    ExecutorRecord executor_record;
    bool origin_runs = false, executor_runs = false;  // on machines
    bool ever_done = false;                           // some run ended well
    int tick = 0;
    int executor_deadline = 0;  // the latest end that the executor has counted on, of the part that it has
    // What doesn't.
    DelegationOrigin origin;
    DelegationExecutor executor;
    bool origin_wrote = false, executor_wrote = false;  // on record, and not told yet
    std::deque<Message> in_flight;
    std::string text() const {
        std::string s = DelegationPeek::text(origin_record) + "|" + DelegationPeek::text(executor_record) +
                        "|" + DelegationPeek::text(origin) + "|" + DelegationPeek::text(executor) + "|";
        for (bool b : {origin_done, origin_runs, executor_runs, ever_done, origin_wrote, executor_wrote})
            s += b ? '1' : '0';
        s += std::to_string(tick) + std::to_string(executor_deadline);
        std::vector<std::string> ms;
        for (auto& m : in_flight) ms.push_back(m.text());
        std::sort(ms.begin(), ms.end());
        for (auto& m : ms) s += "," + m;
        return s;
    }
};

struct Search {
    Mistake mistake = Mistake::none;
    bool deadlines = false;
    int last_tick = 4;
    DelegationEpoch epochs = 2;
    std::size_t most_in_flight = 2;
    std::unordered_set<std::string> seen;
    std::deque<World> open;
    std::string wrong;

    void visit(World w) {
        if (w.origin_runs && w.executor_runs) wrong = "on both: " + w.text();
        if (w.origin_done && !w.ever_done) wrong = "done, and never was: " + w.text();
        // What the origin reclaimed at the end it does again.
        if (!deadlines && !w.origin_record.open && w.origin_record.epoch == w.executor_record.epoch &&
            !w.executor_record.executing && !w.executor_record.done.empty() && !w.origin_done)
            wrong = "a result is lost: " + w.text();
        if (seen.insert(w.text()).second) open.push_back(std::move(w));
    }
    void send(World w, Message m) {
        for (auto& other : w.in_flight)
            if (other.text() == m.text()) return;  // a copy is under way: it can be delivered again and again
        if (w.in_flight.size() >= most_in_flight) w.in_flight.pop_front();  // lost
        w.in_flight.push_back(m);
        visit(std::move(w));
    }
    static Message message(const DelegationReply& a) {
        return {Message::Kind::answer, a.epoch, a.status, !a.done.empty()};
    }

    static Message message(const DelegationOffer& o) {
        return {Message::Kind::offer, o.epoch, Status::undecided, false,
                o.deadline ? tick_of(*o.deadline) : 0};
    }

    void time_steps(const World& w) {
        if (!deadlines) return;
        if (w.tick < last_tick) {
            World x = w;
            ++x.tick;
            // Leases: by then nothing is left, whether or not the executor has a leader that knows of it.
            if (x.tick > x.executor_deadline && mistake != Mistake::no_stop) x.executor_runs = false;
            visit(std::move(x));
        }
        World x = w;
        if (x.origin.expire(at(w.tick + (mistake == Mistake::reclaimed_early ? 1 : 0)), 0ms)) visit(x);
        x = w;
        if (w.origin.accepted()) {
            x.origin.extend_deadline(at(w.tick + length));
            visit(x);
            if (mistake == Mistake::extended_before_record)
                if (auto next = x.origin.next_action();
                    auto* write = std::get_if<DelegationOrigin::Write>(&next))
                    send(w, message(DelegationOffer{write->record.epoch, task(), write->record.deadline}));
        }
        x = w;
        if (mistake != Mistake::no_stop && x.executor.stop_if_due(at(w.tick + ahead))) visit(std::move(x));
    }

    void origin_steps(const World& w) {
        auto next = w.origin.next_action();
        if (auto* write = std::get_if<DelegationOrigin::Write>(&next)) {
            if (!w.origin_wrote) {
                World x = w;
                x.origin_record = write->record;
                if (!write->done.empty() && mistake != Mistake::done_not_recorded) x.origin_done = true;
                x.origin_wrote = true;
                visit(std::move(x));
            } else {
                World x = w;
                x.origin.on_recorded();
                x.origin_wrote = false;
                visit(std::move(x));
            }
            if (mistake == Mistake::sent_before_record && write->record.open)
                send(w, message(DelegationOffer{write->record.epoch, task(), write->record.deadline}));
        }
        if (auto* offer = std::get_if<DelegationOffer>(&next)) send(w, message(*offer));
        if (auto* recall = std::get_if<DelegationRecall>(&next))
            send(w, {Message::Kind::recall, recall->epoch});
        if (!w.origin.delegated() && !w.origin_runs && !w.origin_done && w.origin_record.epoch < epochs) {
            World x = w;
            x.origin.delegate(task(), deadlines ? std::optional(at(w.tick + length)) : std::nullopt);
            visit(std::move(x));
        }
        if (w.origin.record().open) {
            World x = w;
            x.origin.recall();
            visit(std::move(x));
            if (mistake == Mistake::reclaimed_without_reply) {
                x.origin.on_reply({Status::closed, w.origin.record().epoch, {}});
                visit(std::move(x));
            }
        }
        // Its own machines.
        if (!w.origin.delegated() && !w.origin_done && !w.origin_runs) {
            World x = w;
            if (x.ever_done && x.origin_done) wrong = "run again after its result";
            x.origin_runs = true;
            visit(std::move(x));
        }
        if (w.origin_runs) {
            World x = w;
            x.origin_runs = false;
            visit(x);
            x.origin_done = x.ever_done = true;
            visit(std::move(x));
        }
        World x = w;  // a crash: a successor knows the records
        x.origin = DelegationOrigin(x.origin_record);
        x.origin_wrote = false;
        visit(std::move(x));
    }

    void executor_steps(const World& w) {
        if (auto write = w.executor.next_write()) {
            World x = w;
            if (!w.executor_wrote) {
                x.executor_record = *write;
                x.executor_wrote = true;
                visit(x);
            } else {
                // What is on record by now, which may be less than what is to be written next.
                x.executor.on_recorded(x.executor_record);
                x.executor_wrote = false;
                if (auto deadline = x.executor.deadline(); deadline && x.executor.may_start_tasks())
                    x.executor_deadline = tick_of(*deadline);
                visit(x);
            }
        }
        const bool in_time = !deadlines || mistake == Mistake::no_stop ||
                             (w.executor.deadline() && w.tick <= tick_of(*w.executor.deadline()));
        if (w.executor.may_start_tasks() && in_time && !w.executor_runs && w.executor.record().done.empty()) {
            World x = w;
            x.executor_runs = true;
            x.executor.on_tasks_placed();
            visit(std::move(x));
        }
        if (w.executor_runs) {
            World x = w;
            x.executor_runs = false;
            x.executor.on_machines_cleared();
            visit(x);
            x.ever_done = true;
            x.executor.on_tasks_done(task());
            visit(std::move(x));
        }
        if (mistake == Mistake::replied_while_running && w.executor.stopping())
            send(w, message({Status::closed, w.executor.record().epoch, {}}));
        if (mistake == Mistake::replied_before_record)
            if (auto write = w.executor.next_write(); write && !write->executing)
                send(w, message({Status::closed, write->epoch, write->done}));
        World x = w;
        x.executor = DelegationExecutor(x.executor_record);
        if (x.executor_runs) x.executor.on_tasks_placed();
        x.executor_wrote = false;
        visit(std::move(x));
    }

    void deliver(const World& w) {
        for (std::size_t i = 0; i < w.in_flight.size(); ++i)
            for (bool copy : {false, true}) {
                World x = w;
                const Message m = w.in_flight[i];
                if (!copy) x.in_flight.erase(x.in_flight.begin() + static_cast<std::ptrdiff_t>(i));
                std::optional<DelegationReply> answer;
                if (m.kind == Message::Kind::answer) {
                    x.origin.on_reply({m.status, m.epoch, m.done ? task() : IndexSet{}});
                    visit(std::move(x));
                    continue;
                }
                if (m.kind == Message::Kind::offer) {
                    for (bool room : {true, false}) {
                        World y = x;
                        DelegationOffer offer{m.epoch, task(), {}};
                        const bool relative = mistake == Mistake::relative_deadline;
                        if (deadlines) offer.deadline = at(relative ? w.tick + length : m.deadline);
                        if (offer.deadline && w.tick + ahead >= tick_of(*offer.deadline)) room = false;
                        auto a = y.executor.on_offer(offer, room);
                        if (auto deadline = y.executor.deadline(); deadline && y.executor.may_start_tasks())
                            y.executor_deadline = std::max(y.executor_deadline, tick_of(*deadline));
                        visit(y);
                        if (a) send(y, message(*a));
                    }
                    continue;
                }
                if (mistake == Mistake::refusal_not_recorded && m.epoch > x.executor.record().epoch)
                    answer = DelegationReply{Status::closed, m.epoch, {}};
                else
                    answer = x.executor.on_recall({m.epoch});
                visit(x);
                if (answer) send(std::move(x), message(*answer));
            }
    }

    // The number of states, all of them visited; or what went wrong.
    std::size_t run(std::size_t most = 3'000'000) {
        World first;
        visit(std::move(first));
        while (!open.empty() && wrong.empty() && seen.size() < most) {
            World w = std::move(open.front());
            open.pop_front();
            origin_steps(w);
            executor_steps(w);
            time_steps(w);
            deliver(w);
        }
        return seen.size();
    }
};

}  // namespace

TEST(Delegation, NoOrderOfEventsGivesTwoExecutors) {
    Search s;
    auto states = s.run();
    EXPECT_EQ(s.wrong, "");
    EXPECT_TRUE(s.open.empty()) << "not all states were visited";
    RecordProperty("states", static_cast<int>(states));
    std::printf("%zu states\n", states);
    EXPECT_GT(states, 1000u);
}

TEST(Delegation, EachPlantedMistakeIsFound) {
    for (auto m :
         {Mistake::sent_before_record, Mistake::reclaimed_without_reply, Mistake::refusal_not_recorded,
          Mistake::replied_before_record, Mistake::replied_while_running, Mistake::done_not_recorded}) {
        Search s;
        s.mistake = m;
        s.run();
        EXPECT_NE(s.wrong, "") << "mistake " << static_cast<int>(m);
    }
}

// The same with delegations that have a deadline: time passes in ticks, the origin takes the part back at the
// end without an answer and sets it anew while it is answered.
TEST(Delegation, NoOrderOfEventsGivesTwoExecutorsBeforeOrAfterADeadline) {
    auto search = [](DelegationEpoch epochs, int last_tick, std::size_t most_in_flight) {
        Search s;
        s.deadlines = true;
        s.epochs = epochs, s.last_tick = last_tick, s.most_in_flight = most_in_flight;
        return s;
    };
    // One epoch whose end is put off and runs out; two epochs, so that a late copy of the first meets the
    // second. Once each, all clean as well: one epoch with two messages under way to tick 3, 420,998 states;
    // two epochs to tick 4, 610,312.
#ifdef __SANITIZE_ADDRESS__
    const int least = 2;  // ticks: each state takes ten times as long
#else
    const int least = 4;
#endif
    for (auto s : {search(1, least, 1), search(2, least - 1, 1)}) {
        auto states = s.run();
        EXPECT_EQ(s.wrong, "");
        EXPECT_TRUE(s.open.empty()) << "not all states were visited";
        std::printf("%zu states\n", states);
        EXPECT_GT(states, 1000u);
    }
#ifndef __SANITIZE_ADDRESS__
    for (auto m : {Mistake::sent_before_record, Mistake::reclaimed_early, Mistake::extended_before_record,
                   Mistake::relative_deadline, Mistake::no_stop}) {
        auto planted = search(1, 4, 1);
        planted.mistake = m;
        planted.run();
        EXPECT_NE(planted.wrong, "") << "mistake " << static_cast<int>(m);
    }
#endif
}

// What an executor says is done is looked at task by task: one that it was never given, or that the job
// doesn't have, would make the job count as done before it is.
TEST(Delegation, OnlyDelegatedTasksCanBeDoneAtTheExecutor) {
    IndexSet part, said;
    part.insert_range(2, 5);
    said.insert_range(4, 9);
    DelegationOrigin origin;
    ASSERT_TRUE(origin.delegate(part));
    origin.on_recorded();
    origin.on_reply({Status::executing, 1, said});
    EXPECT_EQ(origin.done().size(), 1u);
    origin.on_reply({Status::closed, 1, said});
    auto next = origin.next_action();
    ASSERT_TRUE(std::holds_alternative<DelegationOrigin::Write>(next));
    const auto& done = std::get<DelegationOrigin::Write>(next).done;
    EXPECT_EQ(done.size(), 1u);
    EXPECT_TRUE(done.contains(4));
}
