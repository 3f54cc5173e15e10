#include "worker/machine.hpp"

#include <algorithm>

namespace barrowrun::worker {
using wire::JobKind;

namespace {
// Bounds the memory for reaped attempts; about a megabyte.
constexpr std::size_t max_remembered_reaps = 8192;
}  // namespace

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
      lease_renewed_at_(now) {}

bool Machine::fetching() const {
    return std::any_of(tasks_.begin(), tasks_.end(),
                       [](auto& kv) { return kv.second.state == TaskState::fetching; });
}

void Machine::update_fencing_token(std::uint64_t fencing_token, TimePoint now) {
    if (fencing_token <= fencing_token_) return;
    fencing_token_ = fencing_token;
    // A higher token triggers an early heartbeat at most once in half of the lease.
    if (fencing_token_change_ != TimePoint{} && now - fencing_token_change_ < times_.lease / 2) return;
    fencing_token_change_ = now;
    mark_changed();
}

bool Machine::answered(std::optional<std::uint64_t> fencing_token, std::uint64_t agent_epoch,
                       const std::vector<wire::Command>& commands, TimePoint sent, TimePoint now) {
    if (!fencing_token || *fencing_token < fencing_token_ || agent_epoch != agent_epoch_) return false;
    // The lease may have expired while the answer was in transit, before the next tick.
    if (now > lease_end()) {
        tick(now);
        return false;
    }
    update_fencing_token(*fencing_token, now);
    lease_renewed_at_ = std::max(lease_renewed_at_, sent);
    execute(commands, now);
    return true;
}

bool Machine::commanded(std::uint64_t fencing_token, std::uint64_t agent_epoch,
                        const std::vector<wire::Command>& commands, TimePoint now) {
    // A machine that hung past its lease must end its agent epoch before it executes commands.
    tick(now);
    if (fencing_token < fencing_token_ || agent_epoch != agent_epoch_ || ending()) return false;
    update_fencing_token(fencing_token, now);
    execute(commands, now);
    return true;
}

void Machine::execute(const std::vector<wire::Command>& commands, TimePoint now) {
    for (auto& command : commands) {
        auto it = tasks_.find(command.attempt);
        if (command.verb == wire::Verb::launch) {
            if (it == tasks_.end()) launch(command.attempt);
        } else if (command.verb == wire::Verb::kill) {
            if (it != tasks_.end()) stop(command.attempt, it->second, secs(command.grace_s), now);
        } else if (it != tasks_.end() && it->second.state == TaskState::exited) {
            reap(command.attempt);
        }
    }
}

void Machine::reap(const Attempt& attempt) {
    tasks_.erase(attempt);
    mark_changed();
    if (!reaped_.insert(attempt).second) return;
    reap_order_.push_back(attempt);
    if (reap_order_.size() <= max_remembered_reaps) return;
    reaped_.erase(reap_order_.front());
    reap_order_.pop_front();
}

void Machine::launch(const Attempt& attempt) {
    if (reaped_.contains(attempt)) {
        ++refused_launches_;
        return;
    }
    bool already_present = std::any_of(tasks_.begin(), tasks_.end(), [&](auto& kv) {
        return kv.first.task == attempt.task && kv.second.state != TaskState::exited;
    });
    Task& task = tasks_[attempt];
    mark_changed();
    if (already_present) {
        mark_exited(task, Cause::busy);
        return;
    }
    actions_.push_back({Action::fetch, attempt, {}});
}

void Machine::fetched(const Attempt& attempt, const wire::JobSpec* spec, TimePoint now) {
    auto it = tasks_.find(attempt);
    if (it == tasks_.end() || it->second.state != TaskState::fetching) return;
    Task& task = it->second;
    if (!spec || attempt.task.index >= spec->tasks) {
        mark_exited(task, Cause::unknown);
        return;
    }
    auto available = capacity_;
    for (auto& [other, other_task] : tasks_)
        if (other != attempt && other_task.state != TaskState::exited && other_task.spec)
            available -= other_task.spec->need;
    if (!spec->need.fits(available)) {
        mark_exited(task, Cause::no_room);
        return;
    }
    task.spec = *spec;
    mark_changed();
    if (spec->kind == JobKind::gang) {
        task.state = TaskState::waiting;
        task.wait_until = now + times_.gang_wait;
        actions_.push_back({Action::meet, attempt, {}});
        return;
    }
    task.state = TaskState::running;
    task.started = true;
    actions_.push_back({Action::run, attempt, {}});
}

void Machine::met(const Attempt& attempt) {
    auto it = tasks_.find(attempt);
    if (it == tasks_.end() || it->second.state != TaskState::waiting) return;
    it->second.state = TaskState::running;
    it->second.wait_until.reset();
    it->second.started = true;
    actions_.push_back({Action::run, attempt, {}});
    mark_changed();
}

void Machine::peer_lost(const Attempt& attempt) {
    auto it = tasks_.find(attempt);
    if (it == tasks_.end() || it->second.state != TaskState::running) return;
    kill(attempt, it->second, Cause::peers);
    mark_changed();
}

void Machine::kill(const Attempt& attempt, Task& task, Cause cause) {
    if (task.exit_cause == Cause::none) task.exit_cause = cause;
    if (task.killed) return;
    task.killed = true;
    actions_.push_back({Action::kill, attempt, {}});
}

void Machine::stop(const Attempt& attempt, Task& task, Clock::duration grace, TimePoint now) {
    if (task.state == TaskState::exited) return;
    mark_changed();
    if (!task.started) {
        // The task waits for its description or its gang and has no processes.
        mark_exited(task, Cause::stopped);
        return;
    }
    if (task.state == TaskState::saving) {
        if (grace <= Clock::duration::zero()) kill(attempt, task, Cause::stopped);
        return;
    }
    if (task.state != TaskState::running || task.killed) return;
    task.stopping = true;
    if (task.spec->checkpoint_s > 0 && grace >= secs(task.spec->save_s) && grace > Clock::duration::zero()) {
        task.state = TaskState::saving;
        task.save_until = now + grace;
        task.exit_cause = Cause::stopped;
        actions_.push_back({Action::term, attempt, grace});
        return;
    }
    kill(attempt, task, Cause::stopped);
}

void Machine::mark_exited(Task& task, Cause cause) {
    task.state = TaskState::exited;
    task.cause = cause;
    task.wait_until.reset();
    task.save_until.reset();
    mark_changed();
}

void Machine::exited(const Attempt& attempt, bool done, bool saved) {
    if (terminating_.erase(attempt)) {
        mark_changed();
        return;
    }
    auto it = tasks_.find(attempt);
    if (it == tasks_.end() || it->second.state == TaskState::exited) return;
    Task& task = it->second;
    // A task whose result was recorded before the stop took effect is done.
    if (done) {
        mark_exited(task, Cause::done);
        return;
    }
    task.saved = saved && task.stopping;
    mark_exited(task, task.exit_cause != Cause::none ? task.exit_cause : Cause::error);
}

void Machine::notice(std::optional<TimePoint> recall) {
    if (recall_at_.has_value() != recall.has_value()) mark_changed();
    recall_at_ = recall;
}

bool Machine::may_publish(const Attempt& attempt, TimePoint now) const {
    auto it = tasks_.find(attempt);
    return it != tasks_.end() && it->second.state == TaskState::running && !it->second.stopping &&
           !it->second.killed && now < lease_end();
}

void Machine::expire(TimePoint now) {
    for (auto& [attempt, task] : tasks_)
        if (task.started && task.state != TaskState::exited) {
            terminating_[attempt] = true;
            if (!task.killed) actions_.push_back({Action::kill, attempt, {}});
        }
    tasks_.clear();
    reaped_.clear();
    reap_order_.clear();
    ++agent_epoch_;
    lease_renewed_at_ = now;
    mark_changed();
}

void Machine::tick(TimePoint now) {
    if (now > lease_end()) {
        expire(now);
        return;
    }
    for (auto& [attempt, task] : tasks_) {
        if (task.state == TaskState::waiting && task.wait_until && now >= *task.wait_until)
            mark_exited(task, Cause::alone);
        if (task.state == TaskState::saving && task.save_until && now >= *task.save_until)
            kill(attempt, task, Cause::stopped);
    }
}

wire::WorkerHeartbeat Machine::heartbeat(TimePoint now) {
    wire::WorkerHeartbeat message;
    message.machine = name_;
    message.address = address_;
    message.type = type_;
    message.zone = zone_;
    message.spot = spot_;
    message.agent_epoch = agent_epoch_;
    message.seq = ++seq_;
    message.fencing_token = fencing_token_;
    if (recall_at_) message.notice_s = std::max(0.0, Seconds(*recall_at_ - now).count());
    for (auto& [attempt, task] : tasks_)
        message.tasks.push_back({attempt, task.state, task.cause, task.saved});
    return message;
}

TimePoint Machine::report_due(TimePoint now) const {
    if (last_sent_ == TimePoint{}) return now;
    if (has_unreported_change_) return std::max(now, last_sent_ + times_.least_between);
    return last_sent_ + times_.heartbeat;
}

void Machine::reported(TimePoint sent) {
    last_sent_ = sent;
    has_unreported_change_ = false;
}

}  // namespace barrowrun::worker
