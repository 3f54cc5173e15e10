#include "fleet/machine.hpp"

#include <algorithm>
#include <unordered_set>

namespace barrowrun::fleet {
using wire::Attempt;
using wire::TaskState;

wire::Resources Machine::room() const {
    wire::Resources r = capacity;
    for (auto& [a, e] : entries)
        if (!e.exited()) r -= e.need;
    return r;
}

std::size_t Machine::live() const {
    return static_cast<std::size_t>(
        std::count_if(entries.begin(), entries.end(), [](auto& kv) { return !kv.second.exited(); }));
}

bool Machine::any_live() const {
    return std::any_of(entries.begin(), entries.end(), [](auto& kv) { return !kv.second.exited(); });
}

bool Machine::has_image(const std::string& image) const {
    return std::any_of(images.begin(), images.end(), [&](auto& p) { return p.first == image; });
}

void Machine::use_image(const std::string& image, double gb) {
    images.remove_if([&](auto& p) { return p.first == image; });
    images.emplace_front(image, gb);
    fetching_.erase(image);
    double total = 0;
    for (auto& p : images) total += p.second;
    while (images.size() > 1 && total > cache_gb) {
        total -= images.back().second;
        images.pop_back();
    }
}

bool Machine::holds_task(const wire::TaskId& task) const {
    return std::any_of(entries.begin(), entries.end(), [&](auto& kv) { return kv.first.task == task; });
}

void Machine::clear(std::vector<Change>& changes) {
    for (auto& [a, e] : entries)
        if (!e.exited()) changes.push_back({Change::vanished, a, e});
    entries.clear();
    images.clear();
    fetching_.clear();
}

bool Machine::may_renew(TimePoint now, Clock::duration keep) const {
    return std::none_of(entries.begin(), entries.end(), [&](auto& kv) {
        auto& e = kv.second;
        return e.stop && (e.late || e.in_flight) && fencing_token_seen <= e.sent_fencing_token &&
               now >= e.stop_at + keep;
    });
}

bool Machine::apply(const wire::Report& report, bool hello, std::uint64_t own_fencing_token, TimePoint now,
                    std::vector<Change>& changes) {
    if (up && std::pair(report.session, report.seq) <= std::pair(session, seq)) return false;
    // A higher session proves that all of the earlier one is gone, launches under way included: they name
    // the old session. Until our first report from it we know no session, so entries stay to be judged below.
    if (up && report.session > session) {
        std::vector<wire::Attempt> gone;
        for (auto& [a, e] : entries)
            if (!(e.phase == Phase::recording || e.phase == Phase::ready)) gone.push_back(a);
        for (auto& a : gone) {
            auto node = entries.extract(a);
            if (!node.mapped().exited()) changes.push_back({Change::vanished, a, node.mapped()});
        }
        images.clear();
        fetching_.clear();
    }
    if (!up || report.session > session) session_known = now;
    up = true;
    session = report.session;
    seq = report.seq;
    fencing_token_seen = std::max(fencing_token_seen, report.fencing_token);
    last_report = now;
    suspect = false;
    missed = 0;
    if (!report.address.empty()) address = report.address;
    if (!report.notice_s) {
        taken_at.reset();
    } else if (!taken_at) {
        taken_at = now + secs(std::max(0.0, *report.notice_s));
    }

    std::unordered_set<Attempt, wire::AttemptHash> listed;
    for (auto& t : report.tasks) {
        listed.insert(t.attempt);
        auto [it, fresh] = entries.try_emplace(t.attempt);
        Entry& e = it->second;
        if (fresh) e.since = now;
        bool was_exited = e.exited(), was_running = e.phase == Phase::seen && e.running != TimePoint{};
        if (fresh || e.phase != Phase::seen) changes.push_back({Change::adopted, t.attempt, e});
        e.phase = Phase::seen;
        e.state = t.state;
        e.cause = t.cause;
        e.saved = t.saved;
        if (!was_running && (t.state == TaskState::running || t.state == TaskState::saving)) {
            e.running = now;
            changes.push_back({Change::started, t.attempt, e});
        }
        if (!was_exited && t.state == TaskState::exited) {
            e.ended = now;
            changes.push_back({Change::ended, t.attempt, e});
        }
    }
    std::vector<Attempt> gone;
    for (auto& [a, e] : entries) {
        if (listed.contains(a)) continue;
        bool proven = false;
        switch (e.phase) {
            case Phase::recording:
            case Phase::ready:
                break;
            case Phase::pushed:
                // A push without an answer may execute as long as its token is the highest the worker knows.
                proven = !e.in_flight && (!e.late || report.fencing_token > e.sent_fencing_token);
                break;
            case Phase::replied:
                // The worker has one report in flight at a time: its next one shows what became of the
                // response to the last.
                proven = hello && report.seq > e.reply_seq && !e.in_flight &&
                         (!e.late || report.fencing_token > e.sent_fencing_token);
                break;
            case Phase::inherited:
                // Whatever the predecessor sent dies with its token, once the worker has seen ours.
                proven = report.fencing_token >= own_fencing_token;
                break;
            case Phase::seen:
                // Seen before, gone now: reaped, or ended with its session. A push that may still be on its
                // way could start it again.
                proven = !e.in_flight && (!e.late || report.fencing_token > e.sent_fencing_token);
                break;
        }
        if (proven) gone.push_back(a);
    }
    for (auto& a : gone) {
        auto node = entries.extract(a);
        if (!node.mapped().exited()) changes.push_back({Change::vanished, a, node.mapped()});
    }
    return true;
}

std::vector<wire::Command> Machine::commands(
    TimePoint now, bool launches,
    const std::function<bool(const wire::Attempt&, const Entry&)>& may_reap) const {
    std::vector<wire::Command> out;
    for (auto& [a, e] : entries) {
        if (e.stop && !e.exited() && now >= e.stop_at &&
            (e.phase == Phase::seen || e.phase == Phase::inherited || e.late || e.phase == Phase::replied ||
             e.phase == Phase::pushed)) {
            bool saving = e.phase == Phase::seen && e.state == TaskState::saving;
            if (!saving || e.grace_s <= 0) out.push_back({wire::Verb::kill, a, e.grace_s});
        } else if (e.exited()) {
            // A late launch would start a reaped attempt again, so wait until none can be on its way.
            if (!e.in_flight && (!e.late || fencing_token_seen > e.sent_fencing_token) && may_reap(a, e))
                out.push_back({wire::Verb::reap, a, 0});
        } else if (launches && !e.stop &&
                   (e.phase == Phase::ready || (e.phase == Phase::pushed && e.late && !e.in_flight))) {
            out.push_back({wire::Verb::launch, a, 0});
        }
    }
    // Kills free the room that launches need.
    std::stable_sort(out.begin(), out.end(), [](auto& x, auto& y) {
        auto order = [](wire::Verb v) { return v == wire::Verb::kill ? 0 : v == wire::Verb::reap ? 1 : 2; };
        return order(x.verb) < order(y.verb);
    });
    return out;
}

}  // namespace barrowrun::fleet
