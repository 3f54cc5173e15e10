// Random histories of quota enforcement with leader crashes, late commands and changed limits. After every
// step, the ledger is compared with the tasks that are really on the machines.
#include <spdlog/fmt/fmt.h>

#include <random>

#include "history.hpp"
#include "quota_fleet.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;

namespace {

// Simulated workers, a state service that keeps all written records, and a leader that may crash between any
// two transactions. Commands may arrive late.
struct QuotaHistory {
    std::mt19937_64 random;
    placement::Config config = without_leases();
    std::vector<std::string> trees;
    quota::TreePtr tree;
    TimePoint now = TimePoint{} + 1000s, quotas_changed{};
    std::int64_t wall = 1'000'000;
    std::uint64_t fencing_token = 10;
    std::unique_ptr<Cluster> cluster;
    Records records;
    std::map<std::string, SimulatedWorker> workers;
    struct DelayedPush {
        std::string machine;
        std::uint64_t fencing_token;
        std::vector<Command> commands;
    };
    std::vector<DelayedPush> delayed_pushes;
    std::map<std::string, wire::JobSpec> jobs;
    // The effective limits, by path, of the charged CPUs and of the CPUs of tasks that are really on
    // machines. They differ because a new leader charges recorded tasks that have already exited until it
    // learns that they have; it starts no task because of them.
    std::map<std::string, double> charged_limits, actual_limits;
    int job_count = 0;
    std::size_t failovers = 0;

    explicit QuotaHistory(std::uint64_t seed) : random(seed) {
        config.teams["crew"] = {2, 0, 10, 0};
        config.teams["desk"] = {};
        for (auto limits : {"9,6,4", "5,3,2", "10,8,3", "4,2,1"}) {
            int bureau_limit, crew_limit, slips_limit;
            std::sscanf(limits, "%d,%d,%d", &bureau_limit, &crew_limit, &slips_limit);
            trees.push_back(fmt::format(R"({{"name":"bureau","limit":{{"cpus":{}}},"guarantee":{{"cpus":3}}}},
                {{"name":"crew","in":"bureau","team":"crew","limit":{{"cpus":{}}}}},
                {{"name":"slips","in":"crew","limit":{{"cpus":{}}},"guarantee":{{"cpus":1}}}},
                {{"name":"desk","in":"bureau","team":"desk"}})",
                                        bureau_limit, std::max(crew_limit, 2), slips_limit));
        }
        use_tree(0);
        for (int i = 1; i <= 3; ++i) workers["n-" + std::to_string(i)];
        start_leader();
    }
    std::uint64_t random_below(std::uint64_t bound) { return random() % bound; }
    void use_tree(std::size_t index) {
        tree = build_tree(trees[index], config);
        quotas_changed = now;
    }
    void start_leader() {
        cluster = std::make_unique<Cluster>(config);
        cluster->set_fencing_token(fencing_token, now);
        cluster->set_types({{"small", 4, 0, 32, 30, 0.5, 1.0, 0.2, 25, {"a"}}});
        cluster->set_quotas(tree, quotas_changed, 5);
        records.read_into(*cluster, now, wall);
    }
    WorkerHeartbeat heartbeat(const std::string& name) { return workers[name].next_heartbeat(name, "a"); }
    bool execute(const std::string& name, std::uint64_t token, const std::vector<Command>& commands) {
        auto& worker = workers[name];
        return worker.execute(token, commands, [&](const Attempt& attempt) { start(worker, attempt); });
    }
    void start(SimulatedWorker& worker, const Attempt& attempt) {
        double used = 0;
        for (auto& [other, state] : worker.tasks)
            if (state.first != TaskState::exited) used += jobs.at(other.task.job).need.cpus;
        const bool fits = used + jobs.at(attempt.task.job).need.cpus <= 4;
        worker.tasks[attempt] = {fits ? TaskState::running : TaskState::exited,
                                 fits ? Cause::none : Cause::no_room};
    }
    void write(bool crash) {
        for (;;) {
            auto writes = cluster->take_writes(4, 48 * 1024, now, wall);
            if (writes.empty()) return;
            if (crash && random_below(2) == 0) {
                // The leader crashes, and its transaction may or may not have been applied.
                if (random_below(2) == 0) records.apply(writes);
                fail_over();
                return;
            }
            if (random_below(12) == 0) {
                cluster->write_failed(std::move(writes));
                return;
            }
            records.apply(writes);
            for (auto& record_write : writes)
                if (record_write.on_durable) record_write.on_durable();
        }
    }
    void fail_over() {
        ++failovers;
        ++fencing_token;
        start_leader();
        for (auto& n : tree->nodes()) charged_limits[n.path] = std::max(n.limit.cpus, used_cpus(n.path));
        for (auto& [name, worker] : workers)
            if (random_below(2)) {
                execute(name, fencing_token, {});
                cluster->on_heartbeat(heartbeat(name), false, now);
            }
    }
    void push(const std::string& name) {
        auto* machine = cluster->find_machine(name);
        if (!machine || !machine->up) return;
        auto commands = cluster->push_commands(*machine, now);
        const auto token = machine->fencing_token_sent;
        auto outcome = random_below(8);
        if (outcome == 0) {  // the leader cannot tell whether the push is lost or late
            if (random_below(2)) delayed_pushes.push_back({name, token, commands});
            cluster->push_answered(*machine, commands, token, false, true, now);
            return;
        }
        bool ok = execute(name, token, commands);
        // A push that was executed may arrive once more.
        if (ok && random_below(4) == 0) delayed_pushes.push_back({name, token, commands});
        if (outcome == 1) {  // executed, but the answer is lost
            cluster->push_answered(*machine, commands, token, false, true, now);
            return;
        }
        cluster->push_answered(*machine, commands, token, ok, false, now);
        cluster->on_heartbeat(heartbeat(name), false, now);
    }
    // Accepts a random job.
    void submit_job() {
        wire::JobSpec spec;
        spec.id = "wk-" + std::to_string(++job_count);
        spec.job_class = "batch", spec.image = "img";
        spec.team = random_below(2) ? "crew" : "desk";
        if (spec.team == "crew" && random_below(2)) spec.project = "slips";
        spec.tasks = static_cast<std::uint32_t>(1 + random_below(5));
        spec.need = {static_cast<double>(1 + random_below(2)), 0, 1};
        spec.priority = static_cast<Priority>(random_below(4));
        if (random_below(5) == 0) spec.kind = JobKind::gang, spec.tasks = 2;
        if (random_below(5) == 0) spec.kind = JobKind::service;
        if (random_below(2)) spec.checkpoint_s = 5, spec.save_s = 1;
        jobs[spec.id] = spec;
        state::JobRecord record{spec, wall++};
        records.accept(record);
        cluster->add_job(record, nullptr, now, wall);
    }
    // A random worker sends a heartbeat; one of its tasks may have exited.
    void report_from_random_worker() {
        auto name = random_machine();
        for (auto& [attempt, state] : workers[name].tasks)
            if (state.first == TaskState::running && jobs[attempt.task.job].kind == JobKind::array &&
                random_below(2)) {
                state = {TaskState::exited, random_below(6) ? Cause::done : Cause::error};
                break;
            }
        auto message = heartbeat(name);
        if (random_below(4) == 0) return;  // the heartbeat is lost
        cluster->on_heartbeat(message, true, now);
        auto* machine = cluster->find_machine(name);
        auto commands = cluster->reply_commands(*machine, now);
        if (random_below(6)) execute(name, machine->fencing_token_sent, commands);
    }
    // The worker executes the oldest delayed push.
    void deliver_late_commands() {
        if (!delayed_pushes.empty()) {
            auto delayed = delayed_pushes.front();
            delayed_pushes.erase(delayed_pushes.begin());
            execute(delayed.machine, delayed.fencing_token, delayed.commands);
        }
    }
    // Changes the limits. Tasks above a lowered limit may stay for the grace period.
    void change_quotas() {
        if (random_below(3) == 0) {
            std::map<std::string, double> held;
            for (auto& n : cluster->ledger().tree().nodes()) held[n.path] = used_cpus(n.path);
            use_tree(random_below(trees.size()));
            cluster->set_quotas(tree, quotas_changed, 5);
            for (auto& n : tree->nodes())
                charged_limits[n.path] = actual_limits[n.path] = std::max(n.limit.cpus, held[n.path]);
        }
    }
    // Cancels a random job.
    void cancel_random_job() {
        if (!jobs.empty() && random_below(3) == 0) {
            auto entry = std::next(jobs.begin(), static_cast<long>(random_below(jobs.size())));
            if (auto* job = cluster->find_job(entry->first)) cluster->cancel(*job, now);
        }
    }
    std::string random_machine() { return "n-" + std::to_string(1 + random_below(3)); }
    void step() {
        switch (random_below(14)) {
            case 0:
                return submit_job();
            case 1:
            case 2:
            case 3:
                cluster->schedule_round(now);
                return write(false);
            case 4:
            case 5:
            case 6:
                return push(random_machine());
            case 7:
            case 8:
                return report_from_random_worker();
            case 9:
                return deliver_late_commands();
            case 10:
                cluster->schedule_round(now);
                return write(true);
            case 11:
                return change_quotas();
            case 12:
                now += std::chrono::milliseconds(500 + random_below(3000));
                cluster->tick(now);
                return;
            default:
                cancel_random_job();
                if (cluster->has_unconfirmed_launch(now) || cluster->reaps_await_fencing_token())
                    cluster->set_fencing_token(++fencing_token, now);
                if (random_below(40) == 0) fail_over();
        }
    }
    double used_cpus(const std::string& path) {
        auto n = cluster->ledger().tree().find_by_path(path);
        return n ? cluster->ledger().used(*n).cpus : 0;
    }
    // Returns a violation, if any, of these rules: tasks on the machines are charged to each of their nodes,
    // and the charged usage of each node is within its effective limit.
    std::string find_violation() {
        for (auto& node : tree->nodes()) {
            if (node.path.empty()) continue;
            double actual = 0;
            auto id = *tree->find_by_path(node.path);
            for (auto& [name, worker] : workers)
                for (auto& [attempt, state] : worker.tasks) {
                    auto& spec = jobs.at(attempt.task.job);
                    if (state.first != TaskState::exited &&
                        tree->within(*tree->account_for(spec.team, spec.project), id))
                        actual += spec.need.cpus;
                }
            const double charged = used_cpus(node.path);
            if (actual > charged + 1e-6)
                return fmt::format("node {}: tasks on machines use {} CPUs, but only {} are charged",
                                   node.path, actual, charged);
            for (auto [usage, amount, limits] : {std::tuple("charged", charged, &charged_limits),
                                                 std::tuple("actual", actual, &actual_limits)}) {
                auto& limit = limits->try_emplace(node.path, node.limit.cpus).first->second;
                if (amount > limit + 1e-6)
                    return fmt::format("node {}: {} {} CPUs, effective limit {}", node.path, amount, usage,
                                       limit);
                limit = std::max(node.limit.cpus, std::min(limit, charged));
            }
        }
        // The incrementally updated usage has to equal the sum over all assignments.
        std::map<std::string, double> sum;
        const auto& held = cluster->ledger().tree();
        for (auto& [name, machine] : cluster->machines())
            for (auto& [attempt, assignment] : machine->assignments)
                if (!assignment.exited() && assignment.account != quota::no_node)
                    for (auto n = assignment.account; n != quota::root; n = held.node(n).parent)
                        sum[held.node(n).path] += assignment.need.cpus;
        for (auto& node : held.nodes())
            if (!node.path.empty() && std::abs(sum[node.path] - used_cpus(node.path)) > 1e-6)
                return fmt::format("node {}: ledger has {} CPUs, the sum over assignments is {}", node.path,
                                   used_cpus(node.path), sum[node.path]);
        return "";
    }
};

}  // namespace

TEST(QuotaHistories, NoNodeExceedsItsEffectiveLimitUnderRandomFailures) {
    QuietLog quiet;
#ifdef __SANITIZE_ADDRESS__
    constexpr std::uint64_t histories = 500;  // 10,000 would take minutes under the sanitizer
#else
    constexpr std::uint64_t histories = 10'000;
#endif
    std::size_t started = 0, failovers = 0;
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        QuotaHistory history(seed);
        for (auto& [name, worker] : history.workers)
            history.cluster->on_heartbeat(history.heartbeat(name), true, history.now);
        for (int step = 0; step < 60; ++step) {
            history.step();
            auto violation = history.find_violation();
            ASSERT_EQ(violation, "") << "seed " << seed << ", step " << step;
        }
        failovers += history.failovers;
        for (auto& [name, worker] : history.workers) started += worker.tasks.size();
    }
    EXPECT_GT(started, histories);
    EXPECT_GT(failovers, histories / 2);
    std::printf("%llu histories, %zu failovers, %zu attempts on machines at the end of a history\n",
                static_cast<unsigned long long>(histories), failovers, started);
}
