#pragma once
// The worker's side of the protocol between workers and controllers, as plain decisions: commands, tokens,
// sessions, leases, and the states of the tasks on this machine. No I/O, no clock of its own: state + event +
// time -> actions.
#include <chrono>
#include <functional>
#include <map>
#include <optional>
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
                    least_between = std::chrono::milliseconds(500);
};

// What the I/O around this is to do.
struct Action {
    enum Kind {
        fetch,  // read the task's description: answered by fetched()
        meet,   // wait for the other tasks of its gang: answered by met()
        run,    // start its steps: answered by exited()
        term,   // ask it to save; it has `grace`
        kill,   // end it at once: answered by exited()
    } kind;
    Attempt attempt;
    Clock::duration grace{};
};

class Machine {
  public:
    Machine(std::string name, std::string address, std::string type, std::string zone, bool spot,
            wire::Resources capacity, Times times, std::uint64_t agent_epoch, TimePoint now);

    // ---- commands. Executed in order, and only with a fitting token and agent epoch.
    // The answer to a heartbeat of this agent epoch, sent at `sent`. False: dropped, for a lower token or
    // none.
    bool answered(std::optional<std::uint64_t> fencing_token, std::uint64_t agent_epoch,
                  const std::vector<wire::Command>& commands, TimePoint sent, TimePoint now);
    // Direct commands: they do not renew the lease. False: 409.
    bool commanded(std::uint64_t fencing_token, std::uint64_t agent_epoch,
                   const std::vector<wire::Command>& commands, TimePoint now);

    // ---- what became of actions; for attempts forgotten meanwhile they change nothing.
    void fetched(const Attempt& a, const wire::JobSpec* spec, TimePoint now);  // null: no such job
    void met(const Attempt& a);
    void peer_lost(const Attempt& a);
    void exited(const Attempt& a, bool done, bool saved);
    void notice(std::optional<TimePoint> recall);

    // Time passing: the lease, the end of grace, gangs that are not complete in time.
    void tick(TimePoint now);
    // While a process of an agent epoch that is over is still there, the new agent epoch does not begin.
    bool ending() const { return !dying_.empty(); }
    // Whether the attempt may still decide its task's result: it is of this agent epoch, its lease is alive
    // and nobody has stopped it.
    bool may_publish(const Attempt& a, TimePoint now) const;

    bool waits(const Attempt& a) const {  // for the other tasks of its gang
        auto it = tasks_.find(a);
        return it != tasks_.end() && it->second.state == TaskState::waiting;
    }

    wire::WorkerHeartbeat heartbeat(TimePoint now);  // counts it
    // When the next heartbeat is due.
    TimePoint report_due(TimePoint now) const;
    void reported(TimePoint sent);
    // What has changed so far stands in the answer to a command, which is a heartbeat as well: it needs no
    // other. Should that answer be lost, the next regular heartbeat tells it. Otherwise each start would use
    // up the half second that must lie between heartbeats, and the end of a short task would wait for the
    // next.
    void told() { has_change_ = false; }
    bool fetching() const;  // some task's description is being read
    std::vector<Action> take_actions() { return std::exchange(actions_, {}); }

    std::uint64_t agent_epoch() const { return agent_epoch_; }
    std::uint64_t fencing_token() const { return fencing_token_; }
    TimePoint lease_end() const { return renewed_ + times_.lease; }
    const Times& times() const { return times_; }

  private:
    struct Task {
        TaskState state = TaskState::fetching;
        Cause cause = Cause::none;
        bool saved = false, stopping = false, killed = false;
        bool started = false;  // it has processes
        std::optional<wire::JobSpec> spec;
        std::optional<TimePoint> wait_until, save_until;
        Cause when_gone = Cause::none;  // why it is being ended
    };
    void execute(const std::vector<wire::Command>& commands, TimePoint now);
    void launch(const Attempt& a);
    void stop(const Attempt& a, Task& t, Clock::duration grace, TimePoint now);
    void end(Task& t, Cause cause);
    void kill(const Attempt& a, Task& t, Cause cause);
    void learn(std::uint64_t fencing_token, TimePoint now);
    void changed() { has_change_ = true; }
    void expire(TimePoint now);

    std::string name_, address_, type_, zone_;
    bool spot_;
    wire::Resources capacity_;
    Times times_;
    std::uint64_t agent_epoch_, seq_ = 0, fencing_token_ = 0;
    TimePoint renewed_, last_sent_{}, fencing_token_change_{};
    bool has_change_ = true;
    std::optional<TimePoint> recall_;
    std::map<Attempt, Task> tasks_;
    std::map<Attempt, bool> dying_;  // of sessions that are over: processes not gone yet
    std::vector<Action> actions_;
};

}  // namespace barrowrun::worker
