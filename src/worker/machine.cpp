#include "worker/machine.hpp"

#include <algorithm>

namespace barrowrun::worker {
using wire::JobKind;

Machine::Machine(std::string name, std::string address, std::string type, std::string zone, bool spot,
                 wire::Resources capacity, Times times, std::uint64_t agent_epoch, TimePoint now)
    : name_(std::move(name)),
      address_(std::move(address)),
      type_(std::move(type)),
      zone_(std::move(zone)),
      spot_(spot),
      capacity_(capacity),
      times_(times),
      agent_epoch_(agent_epoch),
      renewed_(now) {}

bool Machine::fetching() const {
    return std::any_of(tasks_.begin(), tasks_.end(),
                       [](auto& kv) { return kv.second.state == TaskState::fetching; });
}

void Machine::learn(std::uint64_t fencing_token, TimePoint now) {
    if (fencing_token <= fencing_token_) return;
    fencing_token_ = fencing_token;
    // A higher token counts as a change at most once in half of the lease.
    if (fencing_token_change_ != TimePoint{} && now - fencing_token_change_ < times_.lease / 2) return;
    fencing_token_change_ = now;
    changed();
}

bool Machine::answered(std::optional<std::uint64_t> fencing_token, std::uint64_t agent_epoch,
                       const std::vector<wire::Command>& commands, TimePoint sent, TimePoint now) {
    if (!fencing_token || *fencing_token < fencing_token_ || agent_epoch != agent_epoch_) return false;
    // The lease may have run out while the answer was under way, and nobody has ticked since.
    if (now > lease_end()) {
        tick(now);
        return false;
    }
    learn(*fencing_token, now);
    renewed_ = std::max(renewed_, sent);
    execute(commands, now);
    return true;
}

bool Machine::commanded(std::uint64_t fencing_token, std::uint64_t agent_epoch,
                        const std::vector<wire::Command>& commands, TimePoint now) {
    // A machine that hung past its lease must not obey before it has ended its agent epoch.
    tick(now);
    if (fencing_token < fencing_token_ || agent_epoch != agent_epoch_ || ending()) return false;
    learn(fencing_token, now);
    execute(commands, now);
    return true;
}

void Machine::execute(const std::vector<wire::Command>& commands, TimePoint now) {
    for (auto& c : commands) {
        auto it = tasks_.find(c.attempt);
        if (c.verb == wire::Verb::launch) {
            if (it == tasks_.end()) launch(c.attempt);
        } else if (c.verb == wire::Verb::kill) {
            if (it != tasks_.end()) stop(c.attempt, it->second, secs(c.grace_s), now);
        } else if (it != tasks_.end() && it->second.state == TaskState::exited) {
            tasks_.erase(it);
            changed();
        }
    }
}

void Machine::launch(const Attempt& a) {
    bool busy = std::any_of(tasks_.begin(), tasks_.end(), [&](auto& kv) {
        return kv.first.task == a.task && kv.second.state != TaskState::exited;
    });
    Task& t = tasks_[a];
    changed();
    if (busy) {
        end(t, Cause::busy);
        return;
    }
    actions_.push_back({Action::fetch, a, {}});
}

void Machine::fetched(const Attempt& a, const wire::JobSpec* spec, TimePoint now) {
    auto it = tasks_.find(a);
    if (it == tasks_.end() || it->second.state != TaskState::fetching) return;
    Task& t = it->second;
    if (!spec || a.task.index >= spec->tasks) {
        end(t, Cause::unknown);
        return;
    }
    auto room = capacity_;
    for (auto& [other, o] : tasks_)
        if (other != a && o.state != TaskState::exited && o.spec) room -= o.spec->need;
    if (!spec->need.fits(room)) {
        end(t, Cause::no_room);
        return;
    }
    t.spec = *spec;
    changed();
    if (spec->kind == JobKind::gang) {
        t.state = TaskState::waiting;
        t.wait_until = now + times_.gang_wait;
        actions_.push_back({Action::meet, a, {}});
        return;
    }
    t.state = TaskState::running;
    t.started = true;
    actions_.push_back({Action::run, a, {}});
}

void Machine::met(const Attempt& a) {
    auto it = tasks_.find(a);
    if (it == tasks_.end() || it->second.state != TaskState::waiting) return;
    it->second.state = TaskState::running;
    it->second.wait_until.reset();
    it->second.started = true;
    actions_.push_back({Action::run, a, {}});
    changed();
}

void Machine::peer_lost(const Attempt& a) {
    auto it = tasks_.find(a);
    if (it == tasks_.end() || it->second.state != TaskState::running) return;
    kill(a, it->second, Cause::peers);
    changed();
}

void Machine::kill(const Attempt& a, Task& t, Cause cause) {
    if (t.when_gone == Cause::none) t.when_gone = cause;
    if (t.killed) return;
    t.killed = true;
    actions_.push_back({Action::kill, a, {}});
}

void Machine::stop(const Attempt& a, Task& t, Clock::duration grace, TimePoint now) {
    if (t.state == TaskState::exited) return;
    changed();
    if (!t.started) {
        // Waits for its image or its gang: nothing of it runs.
        end(t, Cause::stopped);
        return;
    }
    if (t.state == TaskState::saving) {
        if (grace <= Clock::duration::zero()) kill(a, t, Cause::stopped);
        return;
    }
    if (t.state != TaskState::running || t.killed) return;
    t.stopping = true;
    if (t.spec->checkpoint_s > 0 && grace >= secs(t.spec->save_s) && grace > Clock::duration::zero()) {
        t.state = TaskState::saving;
        t.save_until = now + grace;
        t.when_gone = Cause::stopped;
        actions_.push_back({Action::term, a, grace});
        return;
    }
    kill(a, t, Cause::stopped);
}

void Machine::end(Task& t, Cause cause) {
    t.state = TaskState::exited;
    t.cause = cause;
    t.wait_until.reset();
    t.save_until.reset();
    changed();
}

void Machine::exited(const Attempt& a, bool done, bool saved) {
    if (dying_.erase(a)) {
        changed();
        return;
    }
    auto it = tasks_.find(a);
    if (it == tasks_.end() || it->second.state == TaskState::exited) return;
    Task& t = it->second;
    // What was finished and made final before the stop reached it is done all the same.
    if (done) {
        end(t, Cause::done);
        return;
    }
    t.saved = saved && t.stopping;
    end(t, t.when_gone != Cause::none ? t.when_gone : Cause::error);
}

void Machine::notice(std::optional<TimePoint> recall) {
    if (recall_.has_value() != recall.has_value()) changed();
    recall_ = recall;
}

bool Machine::may_publish(const Attempt& a, TimePoint now) const {
    auto it = tasks_.find(a);
    return it != tasks_.end() && it->second.state == TaskState::running && !it->second.stopping &&
           !it->second.killed && now < lease_end();
}

void Machine::expire(TimePoint now) {
    for (auto& [a, t] : tasks_)
        if (t.started && t.state != TaskState::exited) {
            dying_[a] = true;
            if (!t.killed) actions_.push_back({Action::kill, a, {}});
        }
    tasks_.clear();
    ++agent_epoch_;
    renewed_ = now;
    changed();
}

void Machine::tick(TimePoint now) {
    if (now > lease_end()) {
        expire(now);
        return;
    }
    for (auto& [a, t] : tasks_) {
        if (t.state == TaskState::waiting && t.wait_until && now >= *t.wait_until) end(t, Cause::alone);
        if (t.state == TaskState::saving && t.save_until && now >= *t.save_until) kill(a, t, Cause::stopped);
    }
}

wire::WorkerHeartbeat Machine::heartbeat(TimePoint now) {
    wire::WorkerHeartbeat r;
    r.machine = name_;
    r.address = address_;
    r.type = type_;
    r.zone = zone_;
    r.spot = spot_;
    r.agent_epoch = agent_epoch_;
    r.seq = ++seq_;
    r.fencing_token = fencing_token_;
    if (recall_) r.notice_s = std::max(0.0, Seconds(*recall_ - now).count());
    for (auto& [a, t] : tasks_) r.tasks.push_back({a, t.state, t.cause, t.saved});
    return r;
}

TimePoint Machine::report_due(TimePoint now) const {
    if (last_sent_ == TimePoint{}) return now;
    if (has_change_) return std::max(now, last_sent_ + times_.least_between);
    return last_sent_ + times_.heartbeat;
}

void Machine::reported(TimePoint sent) {
    last_sent_ = sent;
    has_change_ = false;
}

}  // namespace barrowrun::worker
