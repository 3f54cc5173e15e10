#pragma once
// A worker as the protocol describes it: sessions, leases, tokens; launch, kill and reap; hung, and with
// messages held.
#include "sim/checker.hpp"
#include "sim/gangs.hpp"
#include "sim/world.hpp"

namespace barrowrun::sim {

struct WorkerRules {
    Nanos lease{12s}, heartbeat{3s};
};

class Worker {
  public:
    Worker(World& world, Checker& checker, Gangs& gangs, WorkerRules rules,
           std::vector<std::pair<std::string, std::string>> nodes, Checker::Where where,
           wire::Resources capacity);
    ~Worker();
    const std::string& name() const { return where_.machine; }
    const Checker::Where& where() const { return where_; }
    void hang(Nanos length);
    bool hung() const { return hung_until_ > world_.now(); }
    // The cloud takes it, with all that is on it.
    void die();
    bool alive() const { return alive_; }
    // The cloud announces that it takes the machine, nominally after so long.
    void announce_end(Nanos after) { ends_at_ = world_.now() + after; }
    bool end_announced() const { return ends_at_.has_value(); }
    // Of direct commands one in so many is held up for 2 to 16 s, unanswered, and carried out once.
    void delay_commands(std::uint64_t one_in, Nanos length) {
        late_one_in_ = one_in, late_until_ = world_.now() + length;
    }
    // Of direct commands that are carried out and answered with 200, one in so many arrives once or twice
    // more, 0.5 s to `latest` later.
    void copy_commands(std::uint64_t one_in, Nanos length, Nanos latest) {
        command_copies_one_in_ = one_in, command_copies_until_ = world_.now() + length,
        command_copies_latest_ = latest;
    }
    // Of the tasks that get their image, one in so many fails within a second.
    void fail_tasks(std::uint64_t one_in, Nanos length) {
        failures_one_in_ = one_in, failures_until_ = world_.now() + length;
    }
    wire::Resources room() const;
    bool runs(const std::string& job) const;
    std::vector<std::string> jobs() const;  // of which it has tasks that go on
    // Of its heartbeats one in so many arrives once more at every node: whenever what is handed over is
    // called.
    using Copies = std::function<void(std::function<void()> arrive)>;
    void copy_reports(std::uint64_t one_in, Nanos length, Copies copies) {
        copies_one_in_ = one_in, copies_until_ = world_.now() + length, copies_ = std::move(copies);
    }
    std::uint64_t agent_epoch() const { return agent_epoch_; }
    // Heartbeats that it has sent, in this order, also those that got lost. `arrive` sends a copy to every
    // node.
    struct SentHeartbeat {
        std::uint64_t agent_epoch;
        std::function<void()> arrive;
    };
    const std::vector<SentHeartbeat>& sent_heartbeats() const { return sent_heartbeats_; }

  private:
    struct Task {
        wire::TaskState state = wire::TaskState::fetching;
        wire::Cause cause = wire::Cause::none;
        bool stored = false;
        Nanos ready{0}, since{0}, ends{0}, saved_at{0};  // since: in its state
        std::optional<Nanos> fails;
    };
    void step();
    void heartbeat();
    void answered(std::uint64_t agent_epoch, Nanos sent, const Reply& reply);
    void carry_out(const std::vector<wire::Command>& commands);
    void exit(const wire::Attempt& a, Task& t, wire::Cause cause);
    void end_session();
    void forget_tasks();
    // A task that has its image: it runs, or waits for its gang.
    void image_is_here(const wire::Attempt& a, Task& t, const wire::JobSpec* spec);
    void step_gang(const wire::Attempt& a, Task& t, const wire::JobSpec& spec);
    void receive(Json body, Answer answer);
    wire::WorkerHeartbeat say();
    Response command(const Json& body);
    void send_copies(const Json& body);
    void changed() { next_ = std::min(next_, std::max(world_.now(), last_sent_ + 500ms)); }
    World& world_;
    Checker& checker_;
    Gangs& gangs_;
    WorkerRules rules_;
    std::vector<std::pair<std::string, std::string>> nodes_;  // name, address
    Checker::Where where_;
    wire::Resources capacity_;
    bool alive_ = true, in_flight_ = false;
    std::uint64_t agent_epoch_ = 1, seq_ = 0, fencing_token_ = 0, copies_one_in_ = 0, late_one_in_ = 1;
    std::optional<Nanos> ends_at_;  // as the cloud announced it
    std::size_t node_ = 0;
    Nanos lease_from_, next_, last_sent_{-1s}, fencing_token_told_{-1000s}, hung_until_{0}, copies_until_{0},
        late_until_{0};
    Copies copies_;
    std::uint64_t command_copies_one_in_ = 1, failures_one_in_ = 1;
    Nanos command_copies_until_{0}, command_copies_latest_{0}, failures_until_{0};
    std::vector<SentHeartbeat> sent_heartbeats_;
    std::map<wire::Attempt, Task> tasks_;
    std::set<wire::Attempt> reaped_;  // in this agent epoch
    std::set<wire::TaskId> results_;
    std::shared_ptr<Worker*> self_;              // for what comes back after its end
    std::vector<std::pair<Json, Answer>> held_;  // commands that came while it hung
};

}  // namespace barrowrun::sim
