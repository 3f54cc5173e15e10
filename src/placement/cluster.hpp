#pragma once
// The leader's view and decisions: state + event + time -> actions. No I/O, no clock of its own.
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
#include "fleet/machine.hpp"
#include "placement/capacity_index.hpp"
#include "placement/starvation_monitor.hpp"
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

struct TeamLimits {
    double cpus = 0, gpus = 0;          // guaranteed
    double cpus_max = 0, gpus_max = 0;  // 0: none
};

// What the platform's file says of its teams, as the quotas' tree has it.
std::vector<quota::TeamQuota> quota_teams(const std::map<std::string, TeamLimits>& teams);

struct ServiceLevelObjective {
    std::string kind, job_class;
    double within_s = 0, times = 1;
};

struct Config {
    double heartbeat_s = 3, lease_s = 20, gang_wait_s = 30, gang_peer_s = 4, cancel_s = 30;
    std::map<std::string, TeamLimits> teams;
    std::vector<ServiceLevelObjective> objectives;
    std::uint64_t queue_bound = queue::default_bound;
    std::size_t txn_ops = 16, value_bytes = 32 * 1024;
    // The operator's tree of quotas; absent: the platform's teams alone.
    std::optional<std::vector<quota::QuotaEntry>> quotas;
    double over_limit_grace_s = 120;  // as in quota::VersionedQuotas, until a change says otherwise
    double idle_return_s = 12;
    std::uint32_t headroom_min = 3, headroom_max = 16;
};

struct Job {
    wire::JobSpec spec;
    std::int64_t accepted_ms = 0;
    quota::NodeId account = quota::root;
    std::string shape;  // what it needs of a machine, as a key: like jobs fit alike
    std::uint32_t shape_number = 0;
    std::vector<const ServiceLevelObjective*> objectives;  // of its class
    // Machines that it may use, as far as their sort tells, and how many sorts there were then.
    std::vector<const CapacityIndex::MachineClass*> candidate_classes;
    std::uint64_t candidate_class_count = 0;
    TimePoint accepted{};
    IndexSet waiting, done, durable_done;
    bool cancelled = false, cancel_durable = false;
    // Tasks that another cell runs for this one (src/cells): they don't wait here, and are not started here.
    IndexSet delegated;
    // Of a job of another cell, of which a part is run here: all but that part counts as done here, and its
    // records are not this cluster's.
    bool runs_for_origin_cell = false;
    bool failed = false;  // cancelled because a task failed more often than the job allows
    bool write_pending = false, progress_written = false;
    // A record that changes what users are told of it is under way, or one was sent without an answer: others
    // may read it already. Until that is known, nothing is told from memory.
    bool write_in_flight = false, write_unanswered = false;
    bool write_outcome_unknown() const { return write_in_flight || write_unanswered; }
    bool fully_scheduled = false;   // all its tasks had started once
    bool objective_missed = false;  // as the last look told: it should have been served by now, and isn't
    // Every machine that may hold an attempt of a task. A task is started only while it has none.
    std::unordered_map<std::uint32_t, std::vector<std::pair<std::string, std::uint64_t>>> placements;
    TimePoint retry_at{};
    int errors_in_row = 0;
    std::set<std::string> failed_on;  // machines
    // Failures of tasks, of a job that counts them: the attempts counted, and which of these counts are not
    // on record yet. Until they are, the worker keeps the attempt and the task is not started again, so that
    // a successor counts each exactly once.
    std::map<std::uint32_t, state::TaskErrors> errors;
    std::set<std::uint32_t> unrecorded_errors;
    std::optional<wire::ErrorCount> error_count;
    double run_sum = 0;  // of its finished tasks
    int runs = 0;

    bool finished() const { return done.size() == spec.tasks; }
    wire::JobState job_state() const;
    std::uint64_t running() const { return placements.size(); }
    // Best guess of a task's run time: the owner's estimate until tasks have finished.
    double estimated_run_s() const { return runs >= 2 ? run_sum / runs : std::max(1.0, spec.estimate_s); }
};

// Whether a task could ever run on the type, or on one of them.
bool fits_type(const wire::JobSpec& spec, const wire::MachineType& type);
bool fits_some_type(const wire::JobSpec& spec, const std::vector<wire::MachineType>& types);

// What one transaction carries, and what follows once it is durable.
struct Write {
    std::string key;
    std::optional<wire::Json> value;  // absent: drop
    std::function<void()> durable;
};

// Bounds the time of a round and what its starts put into the line of writes; the next round follows at once.
inline constexpr std::size_t max_starts_per_round = 400;

class Cluster {
  public:
    explicit Cluster(Config config);

    // Where tasks of a job may be, by zone, and where another may start. `job`: absent where none has
    // started.
    class ZoneConstraint {
      public:
        ZoneConstraint(const Cluster& cluster, const wire::JobSpec& spec, const Job* job);
        bool allows(const std::string& zone) const;
        void add(const std::string& zone) { in_[zone]++, ++all_; }

      private:
        const wire::JobSpec& spec_;
        std::map<std::string, std::uint32_t> in_;
        std::uint32_t all_ = 0;
    };

    const Config& config() const { return config_; }
    void set_types(std::vector<wire::MachineType> types);
    const std::map<std::string, wire::MachineType>& types() const { return types_; }

    // The token that commands go out under, and when this leader began to lead.
    void lead(std::uint64_t fencing_token, TimePoint acquired) {
        fencing_token_ = fencing_token;
        if (acquired_ == TimePoint{}) acquired_ = acquired, first_fencing_token_ = fencing_token;
    }
    std::uint64_t fencing_token() const { return fencing_token_; }
    TimePoint acquired() const { return acquired_; }

    // Quotas. `changed`: when a limit was last lowered, perhaps by a predecessor; what runs above it and
    // doesn't save goes on for `over_limit_grace_s`.
    void set_quotas(quota::TreePtr tree, TimePoint changed, double over_limit_grace_s);
    const quota::Ledger& ledger() const { return ledger_; }
    // Which classes and teams get less than they should: what is to be said of it now.
    std::vector<StarvationMonitor::Finding> check_starvation(TimePoint now);
    const StarvationMonitor& starvation() const { return starvation_; }
    // Why a task of the job waits, in one line; empty: none does.
    std::string explain(const Job& job, TimePoint now) const;

    // Jobs.
    Job& add_job(const state::JobRecord& record, const state::Progress* progress, TimePoint now,
                 std::int64_t wall_ms);
    Job* find_job(const std::string& id);
    const std::unordered_map<std::string, std::unique_ptr<Job>>& jobs() const { return jobs_; }
    const queue::JobQueue& queue() const { return queue_; }
    void cancel(Job& job, TimePoint now);
    // Other cells. `lend`: those of the tasks that wait and nothing here may hold; what is given is what was
    // taken out of the queue. `reclaim_delegated`: they are ours again, and some of them done.
    IndexSet delegate(Job& job, std::uint32_t most);
    void delegate(Job& job, const IndexSet& tasks);  // as a predecessor recorded it
    void reclaim_delegated(Job& job, const IndexSet& tasks, const IndexSet& done);
    void finish_delegated(Job& job, std::uint32_t index) { finish_task(job, index); }
    bool fits_some_type(const wire::JobSpec& spec) const;
    // A part of another cell's job. Its changes are told by `take_changed_delegated_shards`, its results let
    // go once they are on record there.
    Job& add_delegated_shard(const state::JobRecord& record, const IndexSet& tasks, const IndexSet& done,
                             TimePoint now, std::int64_t wall_ms);
    void delegated_results_recorded(Job& job, const IndexSet& done);
    void drop_delegated_shard(Job& job);
    std::set<std::string> take_changed_delegated_shards() {
        return std::exchange(changed_delegated_shards_, {});
    }
    // Room on machines that may be used, for those who ask how much there is.
    void for_each_free_capacity(TimePoint now, const std::function<void(const wire::Resources&)>& each) const;
    std::optional<state::FinishedRecord> finished_job(const std::string& id) const;
    void remember_finished_job(const std::string& id, state::FinishedRecord r) { finished_jobs_[id] = r; }

    // Machines.
    Machine& add_machine(const std::string& name, const std::string& type, const std::string& zone, bool spot,
                         TimePoint now);
    void recover_machine(std::uint32_t shard, const state::MachineRecord& record, TimePoint now,
                         std::int64_t wall_ms);
    // A record of starts cannot be read, so any task may be anywhere: nothing is started before what no
    // worker has reported by then is certainly over.
    void note_unreadable_record(std::optional<std::uint32_t> shard, TimePoint until) {
        starts_deferred_until_ = std::max(starts_deferred_until_, until);
        if (shard) shards_.quarantine(*shard);
    }
    Machine* find_machine(const std::string& name);
    std::map<std::string, std::unique_ptr<Machine>>& machines() { return machines_; }
    const std::map<std::string, std::unique_ptr<Machine>>& machines() const { return machines_; }
    // Proven gone for good: names are not used again. What it still says, however late, is of no account.
    void machine_gone(const std::string& name, const char* proof, TimePoint now);
    bool is_gone(const std::string& name) const { return gone_.contains(name); }
    void expire_lease(Machine& m, TimePoint now);

    // Events. A heartbeat that is not newer than what is known changes nothing and gives false.
    bool on_heartbeat(const wire::WorkerHeartbeat& heartbeat, bool from_heartbeat_route, TimePoint now);
    // Commands for the response to a heartbeat or for a push; launches are marked as sent with it.
    // Not `all`: kills alone. An answer renews the lease of whatever is on the machine, so none goes without
    // them.
    std::vector<wire::Command> reply_commands(Machine& m, TimePoint now, bool all = true);
    std::vector<wire::Command> push_commands(Machine& m, TimePoint now);
    void push_answered(Machine& m, const std::vector<wire::Command>& sent, std::uint64_t fencing_token,
                       bool executed, bool may_execute, TimePoint now);

    // Time passing: leases that run out, stops that come due, gangs in trouble, faulty machines. True if
    // tasks were proven gone.
    // `others`: until when other nodes may have answered workers of a zone by themselves
    // (leases::RenewalBound).
    bool tick(TimePoint now, const std::function<TimePoint(const std::string& zone)>& others = {});
    // Machines that may hold a task of a cancelled job, launches on their way included.
    std::set<std::string> machines_with_cancelled_tasks() const;
    // Gives free room to the oldest highest-priority tasks that fit. True if anything was placed or stopped.
    bool schedule_round(TimePoint now);

    // Writes that wait, most urgent first.
    // `progress`: with what running jobs have done; ends and cancellations of jobs go in any case.
    std::vector<Write> take_writes(std::size_t max_ops, std::size_t max_bytes, TimePoint now,
                                   std::int64_t wall_ms, bool progress = true);
    // `wall_ms`: the time of day, by which a successor dates what it inherits.
    std::size_t changes() const { return pending_jobs_.size() + shards_.changed_count(); }
    bool has_writes() const {
        return shards_.any_due(true) || !pending_jobs_.empty() || !queued_writes_.empty();
    }
    bool has_urgent_writes() const;
    // To be written again. `may_be_executed`: there was no answer, so others may read it already.
    void write_failed(std::vector<Write> writes, bool may_be_executed = false);
    void enqueue(Write w) { queued_writes_.push_back(std::move(w)); }
    // What of a machine is to be recorded with the next occasion; its starts are recorded at once.
    void mark_machine_changed(const std::string& name) { shards_.mark_changed(name); }
    void request_stop(Machine& m, const Attempt& a, Assignment& e, double grace, TimePoint now,
                      const char* why);

    bool schedulable(const Machine& m, TimePoint now) const;
    bool eligible(const wire::JobSpec& spec, const Machine& m) const {
        return eligible(spec, m.type, m.zone, m.spot);
    }
    bool eligible(const wire::JobSpec& spec, const std::string& type, const std::string& zone,
                  bool spot) const;
    bool has_unanswered_launch(TimePoint now) const;  // a push without an answer is older than a while
    bool gpu_reserved(const wire::JobSpec& spec, const wire::MachineType& t) const;
    std::set<std::string> take_machines_with_commands() {
        return std::exchange(machines_with_commands_, {});
    }  // machines with something to send
    // What lower work on a machine would leave to work of a level; `kept`: only work that loses nothing.
    wire::Resources preemptible(const Machine& m, wire::Priority level, bool kept = false) const;
    // Time within which the job's tasks should all have been started, from now.
    double objective_slack_s(const Job& job, TimePoint now) const;
    // Whether a job may stop lower work: always at the upper levels; below, an array that would be late if it
    // waited for a machine to boot, and only work that saves.
    bool may_preempt(const Job& job, TimePoint now) const;
    double usual_boot_s() const { return usual_boot_s_; }
    bool runs_service(const Machine& m) const;
    // The machines that can take a task of the job, best first.
    std::vector<Machine*> rank_machines(Job& job, TimePoint now);
    const CapacityIndex& capacity_index() const { return capacity_index_; }
    void note_command(const std::string& machine) { machines_with_commands_.insert(machine); }

  private:
    void apply(Machine& m, const std::vector<fleet::AssignmentChange>& changes, TimePoint now);
    void ended(Machine& m, const Attempt& a, const Assignment& e, TimePoint now);
    void unplace(Job& job, std::uint32_t index, const std::string& machine, std::uint64_t attempt);
    void set_waiting(Job& job, std::uint32_t index, bool waiting);
    void finish_task(Job& job, std::uint32_t index);
    void count_error(Job& job, const Machine& m, const Attempt& a, TimePoint now);
    void errors_recorded(Job& job, const std::map<std::uint32_t, state::TaskErrors>& written);
    // A counted failure that no record names yet.
    bool unrecorded_error(const Attempt& a, const Assignment& e) const;
    void mark_write_pending(Job& job);
    static bool write_is_urgent(
        const Job& job);  // a user waits for its next record: it is over, or cancelled
    // The sorts of machines that the job may use.
    const std::vector<const CapacityIndex::MachineClass*>& candidate_classes(Job& job);
    void reserve(Machine& m, const wire::Resources& need);
    void occupy(Job& job, const Attempt& a, Assignment& e, Machine& m);
    void release(Assignment& e);
    quota::NodeId account_of(const wire::JobSpec& spec) const;
    // Starts waiting tasks of the job on free room, at most so many. What became of it:
    struct Scheduled {
        std::size_t placed = 0;
        bool stopped = false;  // something was stopped, to make room where the image is
        bool no_room = false;  // a task found no machine
    };
    Scheduled schedule_job(Job& job, std::uint32_t most, TimePoint now, bool make_way, bool may_fit);
    // The ordinary path, after what has been placed already.
    bool schedule_by_priority(TimePoint now, std::size_t placed);
    // Work within a guarantee comes first, and what others borrow yields to it.
    bool schedule_guaranteed(TimePoint now, std::size_t& placed);
    bool reclaim_for_guarantee(Job& job, std::uint32_t tasks, TimePoint now);
    // Brings nodes down to lowered limits.
    void enforce_lowered_limits(TimePoint now);
    struct RunningWork {
        std::vector<quota::PreemptionCandidate> units;
        std::vector<std::pair<Machine*, Attempt>> tasks;  // of each unit: itself, or one of its gang
    };
    // What runs and could be stopped. `hosts`: whose places are numbered; others aren't looked at.
    RunningWork running_work(const std::vector<Machine*>& hosts, TimePoint now) const;
    double preemption_cost(const Job& job, const Assignment& e, TimePoint now) const;
    // Free once what is being stopped there is out.
    static wire::Resources capacity_after_stops(const CapacityIndex::IndexedMachine& indexed);
    state::MachineRecord record_of(const Machine& m, TimePoint now, std::int64_t wall_ms) const;
    std::size_t max_tasks_per_machine() const;  // on one machine: its record must fit a value
    void drop_unsent(Machine& m);
    void place(Job& job, std::uint32_t index, Machine& m, std::uint64_t attempt, TimePoint now);
    bool place_gang(Job& job, TimePoint now);
    struct PreemptionResult {
        std::uint32_t tasks = 0;  // that will find room shortly
        bool stopped = false;     // something was stopped for it
    };
    PreemptionResult preempt_for(Job& job, std::uint32_t tasks, TimePoint now, bool with_image);
    double wait_objective_slack_s(const Job& job,
                                  TimePoint now) const;  // until its tasks should have started
    void reconcile_reported(Machine& m, TimePoint now);
    void stop_gang(Job& job, double grace, TimePoint now, const char* why);
    // Whether a job has shown that its tasks can run: then a failure is the machine's.
    bool has_proven_run(const Job& job, TimePoint now) const;
    bool cleared_for(const Machine& m, const Job& job, TimePoint now) const;
    bool may_reap(const Attempt& a, const Assignment& e) const;
    double grace_for(const Job& job) const { return job.spec.checkpoint_s > 0 ? job.spec.save_s + 1.0 : 0.0; }
    std::uint64_t next_attempt() { return (first_fencing_token_ << 20) + ++attempts_; }

    // Whether its tasks should all have started by now, and could have.
    bool overdue(const Job& job, TimePoint now) const;

    Config config_;
    std::map<std::string, wire::MachineType> types_;
    std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
    std::unordered_map<std::string, state::FinishedRecord> finished_jobs_;
    std::map<std::string, std::unique_ptr<Machine>> machines_;
    queue::JobQueue queue_;
    fleet::AssignmentShards shards_;
    std::set<std::string> pending_jobs_, machines_with_commands_, changed_delegated_shards_;
    std::deque<Write> queued_writes_;
    quota::Ledger ledger_;
    // Charged during a round: room that is being made for work within its guarantee.
    std::vector<std::pair<quota::NodeId, wire::Resources>> promised_;
    TimePoint quotas_changed_{};
    double over_limit_grace_s_ = 120;
    std::uint64_t fencing_token_ = 0, first_fencing_token_ = 0, attempts_ = 0;
    TimePoint acquired_{}, starts_deferred_until_{};
    CapacityIndex capacity_index_;
    std::vector<Machine*> reserved_;  // in this round
    double usual_boot_s_ = 0;
    StarvationMonitor starvation_;
    // Jobs that this leader doesn't know, and that workers or records name.
    std::unordered_set<std::string> unknown_jobs_;
    std::unordered_set<std::string> gone_;  // machines, the last of them
    std::deque<std::string> gone_order_;
    // Shapes of the jobs there are, numbered, so that a round can mark them.
    struct Shape {
        std::uint32_t number = 0, jobs = 0;
    };
    std::unordered_map<std::string, Shape> shapes_;
    std::vector<std::uint32_t> free_shapes_;
    void drop_shape(const Job& job);
    // The waiting jobs of each level in their order, as of the queue's count of changes.
    struct Order {
        std::uint64_t changes = ~0ULL;
        std::vector<Job*> jobs;
    };
    std::array<Order, wire::priority_levels> order_;
    const std::vector<Job*>& in_order(int level);
};

}  // namespace barrowrun::placement
