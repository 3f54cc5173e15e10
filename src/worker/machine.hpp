#pragma once
// The worker's side of the protocol between workers and controllers, as a state machine: commands, fencing
// tokens, agent epochs, the lease, and the states of the tasks on this machine. It does no I/O and reads no
// clock: events and the current time are passed in, and actions come out.
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "wire/messages.hpp"
#include "wire/submission.hpp"

namespace barrowrun::worker {

using wire::Attempt;
using wire::Cause;
using wire::TaskState;

struct Times {
    Clock::duration heartbeat = std::chrono::seconds(3), lease = std::chrono::seconds(20),
                    gang_wait = std::chrono::seconds(30), gang_peer = std::chrono::seconds(4),
                    least_between = std::chrono::milliseconds(500);  // minimum interval between heartbeats
};

// An action for the executor.
struct Action {
    enum Kind {
        fetch,  // read the task's description; completed by fetched()
        meet,   // wait for the other tasks of the gang; completed by met()
        run,    // run the steps of the task; completed by exited()
        term,   // ask the task to save a checkpoint within `grace`
        kill,   // kill the task immediately; completed by exited()
    } kind;
    Attempt attempt;
    Clock::duration grace{};
};

class Machine {
  public:
    Machine(std::string name, std::string address, std::string type, std::string zone, bool spot,
            wire::Resources capacity, Times times, std::uint64_t agent_epoch, TimePoint now);

    // ---- Commands. They are executed in order, and only with a current fencing token and agent epoch.
    // Handles the answer to a heartbeat that was sent at `sent`, and renews the lease from that time. Returns
    // false if the answer is dropped: its fencing token is lower or missing, its agent epoch is another one,
    // or the lease has expired.
    bool answered(std::optional<std::uint64_t> fencing_token, std::uint64_t agent_epoch,
                  const std::vector<wire::Command>& commands, TimePoint sent, TimePoint now);
    // Handles commands that a controller sends directly; they do not renew the lease. Returns false if they
    // are refused: the HTTP answer is then 409, or 503 between two agent epochs.
    bool commanded(std::uint64_t fencing_token, std::uint64_t agent_epoch,
                   const std::vector<wire::Command>& commands, TimePoint now);

    // ---- Results of actions. Results for attempts that have been removed meanwhile are ignored.
    // `spec` is null if there is no such job.
    void fetched(const Attempt& attempt, const wire::JobSpec* spec, TimePoint now);
    void met(const Attempt& attempt);
    void peer_lost(const Attempt& attempt);
    void exited(const Attempt& attempt, bool done, bool saved);
    void notice(std::optional<TimePoint> recall);

    // Handles the timeouts: expiry of the lease, of grace periods, and of the wait for a complete gang.
    void tick(TimePoint now);
    // Whether processes of an expired agent epoch are still running. The worker sends no heartbeat and
    // refuses commands until they have exited.
    bool ending() const { return !terminating_.empty(); }
    // Whether the attempt may record its task's final result: it belongs to this agent epoch, the lease is
    // valid, and no stop or kill is pending for it.
    bool may_publish(const Attempt& attempt, TimePoint now) const;

    // Whether the attempt waits for the other tasks of its gang.
    bool waits(const Attempt& attempt) const {
        auto it = tasks_.find(attempt);
        return it != tasks_.end() && it->second.state == TaskState::waiting;
    }

    wire::WorkerHeartbeat heartbeat(TimePoint now);  // increments the sequence number
    // The time at which the next heartbeat is due.
    TimePoint report_due(TimePoint now) const;
    void reported(TimePoint sent);
    // Marks all changes as reported by the answer to a command, which carries a heartbeat. If that answer is
    // lost, the next regular heartbeat reports them. An extra heartbeat at each start would use up the
    // minimum interval of half a second between heartbeats, and delay the report of a short task's end.
    void told() { has_unreported_change_ = false; }
    bool fetching() const;  // whether a task description is being read
    std::vector<Action> take_actions() { return std::exchange(actions_, {}); }

    // How many launches were not executed because their attempt had been reaped in this agent epoch: late
    // copies, since controllers don't start an attempt twice.
    std::uint64_t refused_launches() const { return refused_launches_; }
    std::uint64_t agent_epoch() const { return agent_epoch_; }
    std::uint64_t fencing_token() const { return fencing_token_; }
    TimePoint lease_end() const { return lease_renewed_at_ + times_.lease; }
    const Times& times() const { return times_; }

  private:
    struct Task {
        TaskState state = TaskState::fetching;
        Cause cause = Cause::none;
        bool saved = false, stopping = false, killed = false;
        bool started = false;  // processes of the task have been started
        std::optional<wire::JobSpec> spec;
        std::optional<TimePoint> wait_until, save_until;
        Cause exit_cause = Cause::none;  // cause to report once the task has exited; set when it is stopped
    };
    void execute(const std::vector<wire::Command>& commands, TimePoint now);
    void launch(const Attempt& attempt);
    void reap(const Attempt& attempt);
    void stop(const Attempt& attempt, Task& task, Clock::duration grace, TimePoint now);
    void mark_exited(Task& task, Cause cause);
    void kill(const Attempt& attempt, Task& task, Cause cause);
    void update_fencing_token(std::uint64_t fencing_token, TimePoint now);
    void mark_changed() { has_unreported_change_ = true; }
    void expire(TimePoint now);

    std::string name_, address_, type_, zone_;
    bool spot_;
    wire::Resources capacity_;
    Times times_;
    std::uint64_t agent_epoch_, seq_ = 0, fencing_token_ = 0;
    TimePoint lease_renewed_at_, last_sent_{}, fencing_token_change_{};
    bool has_unreported_change_ = true;
    std::optional<TimePoint> recall_at_;
    std::map<Attempt, Task> tasks_;
    std::set<Attempt> reaped_;        // in this agent epoch, the most recent ones
    std::deque<Attempt> reap_order_;  // the same attempts, oldest first
    std::uint64_t refused_launches_ = 0;
    std::map<Attempt, bool> terminating_;  // attempts of expired agent epochs whose processes are running
    std::vector<Action> actions_;
};

}  // namespace barrowrun::worker
