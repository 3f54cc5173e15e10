#pragma once
// The leader's model of jobs, machines and quotas, and its scheduling decisions: state, event and time in,
// actions out. Does no I/O and reads no clock.
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "fleet/assignment_shards.hpp"
#include "fleet/command_tokens.hpp"
#include "fleet/machine.hpp"
#include "fleet/reaped_attempts.hpp"
#include "placement/capacity_index.hpp"
#include "placement/config.hpp"
#include "placement/job.hpp"
#include "placement/starvation_monitor.hpp"
#include "placement/write_batch.hpp"
#include "queue/job_queue.hpp"
#include "quota/reclaim.hpp"
#include "state/records.hpp"

namespace barrowrun::placement {

using fleet::Assignment;
using fleet::AssignmentPhase;
using fleet::Machine;
using state::IndexSet;
using wire::Attempt;
using wire::TaskId;

// Bounds the duration of a scheduling round and the writes that its starts queue; the next round follows at
// once.
inline constexpr std::size_t max_starts_per_round = 400;

class Cluster {
  public:
    explicit Cluster(Config config);

    // Decides in which zones another task of a job may start, given the zones of its placed tasks. `job` is
    // null for a job without placed tasks.
    class ZoneConstraint {
      public:
        ZoneConstraint(const Cluster& cluster, const wire::JobSpec& spec, const Job* job);
        bool allows(const std::string& zone) const;
        void add(const std::string& zone) { tasks_in_zone_[zone]++, ++total_tasks_; }

      private:
        const wire::JobSpec& spec_;
        std::map<std::string, std::uint32_t> tasks_in_zone_;
        std::uint32_t total_tasks_ = 0;
    };

    const Config& config() const { return config_; }
    void set_types(std::vector<wire::MachineType> types);
    const std::map<std::string, wire::MachineType>& types() const { return types_; }

    // Sets the fencing token that this leader holds now. The first call begins its term, at `now`.
    void set_fencing_token(std::uint64_t fencing_token, TimePoint now) {
        tokens_.obtained(fencing_token, now);
        if (acquired_ == TimePoint{}) acquired_ = now;
    }
    std::uint64_t fencing_token() const { return tokens_.current(); }
    std::uint64_t first_fencing_token() const { return tokens_.first(); }
    // Whether exited attempts wait for a newer fencing token before they can be reaped.
    bool reaps_await_fencing_token() const { return tokens_.refresh_wanted(); }
    const fleet::ReapedAttempts& reaped_attempts() const { return reaped_; }
    TimePoint acquired() const { return acquired_; }

    // Replaces the quota tree. `changed`: when a limit was last lowered, perhaps by a predecessor. Tasks
    // above their limit that don't checkpoint are left running for `over_limit_grace_s` from then on.
    void set_quotas(quota::TreePtr tree, TimePoint changed, double over_limit_grace_s);
    const quota::Ledger& ledger() const { return ledger_; }
    // Updates the starvation monitor and returns the job classes and teams to report now.
    std::vector<StarvationMonitor::Finding> check_starvation(TimePoint now);
    const StarvationMonitor& starvation() const { return starvation_; }
    // Why tasks of the job are waiting, in one line; empty if none is.
    std::string explain(const Job& job, TimePoint now) const;

    // Jobs.
    Job& add_job(const state::JobRecord& record, const state::Progress* progress, TimePoint now,
                 std::int64_t wall_ms);
    Job* find_job(const std::string& id);
    const std::unordered_map<std::string, std::unique_ptr<Job>>& jobs() const { return jobs_; }
    const queue::JobQueue& queue() const { return queue_; }
    void cancel(Job& job, TimePoint now);
    // Delegation to executor cells. `delegate` removes at most `max_tasks` tasks without placements from the
    // queue and returns them. `reclaim_delegated` takes `tasks` back; those in `done` have finished at the
    // executor cell.
    IndexSet delegate(Job& job, std::uint32_t max_tasks);
    void delegate(Job& job, const IndexSet& tasks);  // tasks that a predecessor delegated
    void reclaim_delegated(Job& job, const IndexSet& tasks, const IndexSet& done);
    void finish_delegated(Job& job, std::uint32_t index) { finish_task(job, index); }
    bool fits_some_type(const wire::JobSpec& spec) const;
    // Adds the shard of an origin cell's job that was delegated to this cell. Its changes are returned by
    // `take_changed_delegated_shards`; its finished attempts are reaped after `delegated_results_recorded`.
    Job& add_delegated_shard(const state::JobRecord& record, const IndexSet& tasks, const IndexSet& done,
                             TimePoint now, std::int64_t wall_ms);
    void delegated_results_recorded(Job& job, const IndexSet& done);
    void drop_delegated_shard(Job& job);
    std::set<std::string> take_changed_delegated_shards() {
        return std::exchange(changed_delegated_shards_, {});
    }
    // Calls `each` with the available capacity of every schedulable machine.
    void for_each_free_capacity(TimePoint now, const std::function<void(const wire::Resources&)>& each) const;
    std::optional<state::FinishedRecord> finished_job(const std::string& id) const;
    void remember_finished_job(const std::string& id, state::FinishedRecord r) { finished_jobs_[id] = r; }

    // Machines.
    Machine& add_machine(const std::string& name, const std::string& type, const std::string& zone, bool spot,
                         TimePoint now);
    void recover_machine(std::uint32_t shard, const state::MachineRecord& record, TimePoint now,
                         std::int64_t wall_ms);
    // An assignment shard cannot be read, so any task may be running on any machine. No task is started
    // before `until`, by when every attempt that no worker has reported has certainly ended.
    void on_unreadable_shard(std::optional<std::uint32_t> shard, TimePoint until) {
        starts_deferred_until_ = std::max(starts_deferred_until_, until);
        if (shard) shards_.quarantine(*shard);
    }
    Machine* find_machine(const std::string& name);
    std::map<std::string, std::unique_ptr<Machine>>& machines() { return machines_; }
    const std::map<std::string, std::unique_ptr<Machine>>& machines() const { return machines_; }
    // Removes a machine that is proven to be gone for good. Machine names are not reused, so heartbeats under
    // the name are ignored from then on. `proof` is logged.
    void remove_machine(const std::string& name, const char* proof, TimePoint now);
    bool is_removed(const std::string& name) const { return removed_machines_.contains(name); }
    void expire_lease(Machine& m, TimePoint now);

    // Applies a heartbeat. Returns false and changes nothing if the machine was removed or the heartbeat is
    // not newer than the last one.
    bool on_heartbeat(const wire::WorkerHeartbeat& heartbeat, bool from_heartbeat_route, TimePoint now);
    // Commands for the response to a heartbeat or for a push; launches among them are marked as sent.
    // Without `all` the response carries only kills. A response renews the lease of every task on the
    // machine, so the pending kills go with each one. The message is to be sent under the machine's
    // `fencing_token_sent`, which is set here.
    std::vector<wire::Command> reply_commands(Machine& m, TimePoint now, bool all = true);
    std::vector<wire::Command> push_commands(Machine& m, TimePoint now);
    void push_answered(Machine& m, const std::vector<wire::Command>& sent, std::uint64_t fencing_token,
                       bool executed, bool may_execute, TimePoint now);

    // Handles the passing of time: expires leases, stops tasks on machines that are drained or reclaimed by
    // the cloud, updates quarantines and enforces lowered limits. True if a lease expired, which proves that
    // the machine's tasks are gone.
    // `others`: the latest time at which another node may have renewed a lease in the zone on its own
    // authority (leases::RenewalBound).
    bool tick(TimePoint now, const std::function<TimePoint(const std::string& zone)>& others = {});
    // Machines that may hold a task of a cancelled job, including those with a launch in flight.
    std::set<std::string> machines_with_cancelled_tasks() const;
    // Places waiting tasks that fit, by priority and then age. True if a task was placed or told to stop.
    bool schedule_round(TimePoint now);

    // Takes the pending writes, most urgent first. `progress`: includes the progress of running jobs and
    // machine changes that no start waits for; ends and cancellations of jobs are always included.
    // `wall_ms`: the time of day, from which a successor computes the ages of the machines it recovers.
    std::vector<Write> take_writes(std::size_t max_ops, std::size_t max_bytes, TimePoint now,
                                   std::int64_t wall_ms, bool progress = true);
    // The number of jobs and assignment shards with changes to write.
    std::size_t changes() const { return pending_jobs_.size() + shards_.changed_count(); }
    bool has_writes() const {
        return shards_.any_due(true) || !pending_jobs_.empty() || !queued_writes_.empty();
    }
    bool has_urgent_writes() const;
    // Queues the writes of a failed transaction again. `may_be_executed`: the transaction got no reply, so
    // other nodes may already read its records.
    void write_failed(std::vector<Write> writes, bool may_be_executed = false);
    // The state service never executes these writes, which belong into one transaction. They are left alone
    // for a while, and starts that wait for them go back to their queues.
    void write_rejected(std::vector<Write> writes, TimePoint now);
    void enqueue(Write w) { queued_writes_.push_back(std::move(w)); }
    // Marks the machine's record as changed, to be written when next convenient; starts are written at once.
    void mark_machine_changed(const std::string& name) { shards_.mark_changed(name); }
    void request_stop(Machine& m, const Attempt& a, Assignment& e, double grace, TimePoint now,
                      const char* why);

    bool schedulable(const Machine& m, TimePoint now) const;
    bool eligible(const wire::JobSpec& spec, const Machine& m) const {
        return eligible(spec, m.type, m.zone, m.spot);
    }
    bool eligible(const wire::JobSpec& spec, const std::string& type, const std::string& zone,
                  bool spot) const;
    // Whether it has been unknown for too long if a launch was executed that was sent under the current
    // token.
    bool has_unconfirmed_launch(TimePoint now) const;
    bool is_gpu_reserved(const wire::JobSpec& spec, const wire::MachineType& type) const;
    std::set<std::string> take_machines_with_commands() {
        return std::exchange(machines_with_commands_, {});
    }  // machines with commands to send; clears the set
    // Resources held by tasks that work at priority `level` may preempt; `checkpointing_only`: only tasks
    // that checkpoint.
    wire::Resources preemptible(const Machine& m, wire::Priority level,
                                bool checkpointing_only = false) const;
    // Seconds from now within which all of the job's tasks should have started to meet its objectives.
    double objective_slack_s(const Job& job, TimePoint now) const;
    // Whether a job may preempt tasks of lower priority. A job at `high` or above always may. Below, an array
    // job may if it would miss its objective by waiting for a machine to boot, and it may then preempt only
    // tasks that checkpoint.
    bool may_preempt(const Job& job, TimePoint now) const;
    double longest_cpu_boot_s() const { return longest_cpu_boot_s_; }
    bool runs_service(const Machine& m) const;
    // Most attempts on one machine, and how many more it may be given: its record has to fit into a value.
    std::size_t max_tasks_per_machine() const;
    std::size_t task_slots(const Machine& m) const;
    // Schedulable machines with room for a task of the job, best first.
    std::vector<Machine*> rank_machines(Job& job, TimePoint now);
    const CapacityIndex& capacity_index() const { return capacity_index_; }
    void mark_command_pending(const std::string& machine) { machines_with_commands_.insert(machine); }

  private:
    void apply_changes(Machine& m, const std::vector<fleet::AssignmentChange>& changes, TimePoint now);
    void on_attempt_reappeared(Machine& m, const Attempt& a, TimePoint now);
    void on_attempt_ended(Machine& m, const Attempt& a, const Assignment& e, TimePoint now);
    void unplace(Job& job, std::uint32_t index, const std::string& machine, std::uint64_t attempt);
    void set_waiting(Job& job, std::uint32_t index, bool waiting);
    void finish_task(Job& job, std::uint32_t index);
    void count_error(Job& job, const Machine& m, const Attempt& a, TimePoint now);
    void on_errors_recorded(Job& job, const std::map<std::uint32_t, state::TaskFailures>& written);
    // Whether the attempt failed and its failure was counted but is not recorded yet.
    bool has_unrecorded_error(const Attempt& a, const Assignment& e) const;
    void mark_write_pending(Job& job);
    // A start whose record is being written, and the agent epoch that the record allows for it.
    struct RecordedStart {
        std::string machine;
        Attempt attempt;
        std::uint64_t agent_epoch;
    };
    void take_shard_writes(WriteBatch& batch, TimePoint now, std::int64_t wall_ms, bool all);
    void on_shard_durable(std::uint32_t shard, const std::vector<RecordedStart>& starts);
    // Adds the writes that the job needs now. False: not all fit into the batch, the job stays pending.
    bool take_job_writes(Job& job, WriteBatch& batch);
    bool take_end(Job& job, WriteBatch& batch);
    bool take_progress(Job& job, WriteBatch& batch);
    bool take_main_progress(Job& job, state::TaskRange tasks, WriteBatch& batch);
    bool take_progress_part(Job& job, state::TaskRange tasks, WriteBatch& batch);
    static bool has_unrecorded_tasks(const Job& job, state::TaskRange tasks);
    void on_end_durable(const std::string& id, const state::FinishedRecord& finished);
    void on_progress_durable(const std::string& id, const state::Progress& written);
    void on_state_change_failed(const std::string& key, bool may_be_executed);
    void return_starts(std::uint32_t shard, TimePoint now);
    void retry_rejected_writes(TimePoint now);
    void recover_done_tasks(Job& job, const state::Progress& progress);
    // Whether the job's next record is written even while progress is deferred: the job has ended or been
    // cancelled, or a failure is not recorded yet.
    static bool write_is_urgent(const Job& job);
    // The machine classes that the job may use.
    const std::vector<const CapacityIndex::MachineClass*>& candidate_classes(Job& job);
    void reserve(Machine& m, const wire::Resources& need);
    void occupy(Job& job, const Attempt& a, Assignment& e, Machine& m);
    void release_charge(Assignment& e);
    quota::NodeId account_of(const wire::JobSpec& spec) const;
    // Places at most `max_tasks` waiting tasks of the job in free capacity.
    struct ScheduleResult {
        std::size_t placed = 0;
        bool stopped = false;  // a task was told to stop, to make room where the image is
        bool no_room = false;  // no machine had room for a task
    };
    ScheduleResult schedule_job(Job& job, std::uint32_t max_tasks, TimePoint now, bool preempt_for_image,
                                bool shape_may_fit);
    // Places waiting tasks by strict priority and age; `placed` tasks were already placed in this round.
    bool schedule_by_priority(TimePoint now, std::size_t placed);
    // Places work within unused guarantees, and preempts tasks that borrow the guaranteed capacity.
    bool schedule_guaranteed(TimePoint now, std::size_t& placed);
    bool reclaim_for_guarantee(Job& job, std::uint32_t tasks, TimePoint now);
    // Preempts tasks of quota nodes that are above a lowered limit.
    void enforce_lowered_limits(TimePoint now);
    struct RunningWork {
        std::vector<quota::PreemptionCandidate> candidates;
        std::vector<std::pair<Machine*, Attempt>> tasks;  // by candidate: the task, or one of its gang
    };
    // The tasks and gangs on `hosts` that could be preempted. Hosts are numbered by their position in the
    // list; gang tasks on other machines get the number after the last.
    RunningWork running_work(const std::vector<Machine*>& hosts, TimePoint now) const;
    double preemption_cost(const Job& job, const Assignment& e, TimePoint now) const;
    // The machine's unreserved capacity once its stopping tasks have exited.
    static wire::Resources capacity_after_stops(const CapacityIndex::IndexedMachine& indexed);
    state::MachineRecord record_of(const Machine& m, TimePoint now, std::int64_t wall_ms) const;
    void drop_unsent_starts(Machine& m);
    std::vector<wire::Command> commands(Machine& m, bool launches, bool reaps, TimePoint now);
    void place_task(Job& job, std::uint32_t index, Machine& m, std::uint64_t attempt, TimePoint now);
    bool place_gang(Job& job, TimePoint now);
    struct PreemptionResult {
        std::uint32_t tasks = 0;  // tasks for which room was found or is being made
        bool stopped = false;     // a task was told to stop
    };
    PreemptionResult preempt_for(Job& job, std::uint32_t tasks, TimePoint now, bool with_image);
    // Seconds until the job's tasks should have started by its `wait` objectives.
    double wait_objective_slack_s(const Job& job, TimePoint now) const;
    void reconcile_reported(Machine& m, TimePoint now);
    void stop_gang(Job& job, double grace, TimePoint now, const char* why);
    // Whether the job has shown that its tasks can run; a failure is then attributed to the machine.
    bool has_proven_run(const Job& job, TimePoint now) const;
    bool passes_failure_check(const Machine& m, const Job& job, TimePoint now) const;
    bool may_reap(const Attempt& a, const Assignment& e) const;
    double grace_for(const Job& job) const { return job.spec.checkpoint_s > 0 ? job.spec.save_s + 1.0 : 0.0; }
    std::uint64_t next_attempt() { return fleet::first_attempt_number(tokens_.first()) + ++attempts_; }

    // Whether all tasks of the job should have started by now and the job's limits would have allowed it.
    bool start_is_overdue(const Job& job, TimePoint now) const;

    Config config_;
    std::map<std::string, wire::MachineType> types_;
    std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
    std::unordered_map<std::string, state::FinishedRecord> finished_jobs_;
    std::map<std::string, std::unique_ptr<Machine>> machines_;
    queue::JobQueue queue_;
    fleet::AssignmentShards shards_;
    std::set<std::string> pending_jobs_, machines_with_commands_, changed_delegated_shards_;
    std::deque<Write> queued_writes_;
    // Writes that the state service does not take, the first ones first, and the jobs among them.
    struct RejectedWrites {
        TimePoint retry_at;
        std::vector<Write> writes;
    };
    std::deque<RejectedWrites> rejected_writes_;
    std::set<std::string> rejected_jobs_;
    quota::Ledger ledger_;
    // Charges of the current round for room that is being made for work within its guarantee.
    std::vector<std::pair<quota::NodeId, wire::Resources>> reclaim_charges_;
    TimePoint quotas_changed_{};
    double over_limit_grace_s_ = 120;
    fleet::CommandTokens tokens_;
    fleet::ReapedAttempts reaped_;
    std::uint64_t attempts_ = 0;
    TimePoint acquired_{}, starts_deferred_until_{};
    CapacityIndex capacity_index_;
    std::vector<Machine*> reserved_;  // machines with a reservation in the current round
    double longest_cpu_boot_s_ = 0;
    StarvationMonitor starvation_;
    // Jobs that workers or assignment shards name and that this leader doesn't know.
    std::unordered_set<std::string> unknown_jobs_;
    std::unordered_set<std::string> removed_machines_;  // names of the machines removed most recently
    std::deque<std::string> removal_order_;             // the same names, oldest first
    // The shapes of the known jobs, numbered so that a round can keep a flag for each.
    struct Shape {
        std::uint32_t number = 0, jobs = 0;
    };
    std::unordered_map<std::string, Shape> shapes_;
    std::vector<std::uint32_t> free_shapes_;
    void release_shape(const Job& job);
    // The waiting jobs of a priority level in queue order, cached for one value of JobQueue::changes().
    struct WaitingOrder {
        std::uint64_t changes = ~0ULL;
        std::vector<Job*> jobs;
    };
    std::array<WaitingOrder, wire::priority_levels> waiting_order_;
    const std::vector<Job*>& waiting_jobs_in_order(int level);
};

}  // namespace barrowrun::placement
