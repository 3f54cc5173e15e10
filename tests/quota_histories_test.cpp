// Whole histories of quotas, with crashes, late commands and changes of limits, checked against what is
// really on the machines.
#include <spdlog/fmt/fmt.h>

#include <random>

#include "history.hpp"
#include "quota_fleet.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;

namespace {

// Workers as the protocol has them, a state service that keeps what was written, and a leader that may end
// between any two writes. Commands may come late.
struct QuotaHistory {
    std::mt19937_64 random;
    placement::Config rules = without_leases();
    std::vector<std::string> trees;
    quota::TreePtr tree;
    TimePoint now = TimePoint{} + 1000s, changed{};
    std::int64_t wall = 1'000'000;
    std::uint64_t fencing_token = 10;
    std::unique_ptr<Cluster> cluster;
    Records records;
    std::map<std::string, SimulatedWorker> workers;
    struct Late {
        std::string machine;
        std::uint64_t fencing_token;
        std::vector<Command> commands;
    };
    std::vector<Late> late;
    std::map<std::string, wire::JobSpec> jobs;
    // Limit in force, by path: of what is charged, and of what is really there. A successor charges what
    // records name though it has ended, until it hears so; that starts nothing.
    std::map<std::string, double> force, real_force;
    int ids = 0;

    explicit QuotaHistory(std::uint64_t seed) : random(seed) {
        rules.teams["crew"] = {2, 0, 10, 0};
        rules.teams["desk"] = {};
        for (auto limits : {"9,6,4", "5,3,2", "10,8,3", "4,2,1"}) {
            int b, c, s;
            std::sscanf(limits, "%d,%d,%d", &b, &c, &s);
            trees.push_back(fmt::format(R"({{"name":"bureau","limit":{{"cpus":{}}},"guarantee":{{"cpus":3}}}},
                {{"name":"crew","in":"bureau","team":"crew","limit":{{"cpus":{}}}}},
                {{"name":"slips","in":"crew","limit":{{"cpus":{}}},"guarantee":{{"cpus":1}}}},
                {{"name":"desk","in":"bureau","team":"desk"}})",
                                        b, std::max(c, 2), s));
        }
        use(0);
        for (int i = 1; i <= 3; ++i) workers["n-" + std::to_string(i)];
        lead();
    }
    std::uint64_t pick(std::uint64_t n) { return random() % n; }
    void use(std::size_t k) {
        tree = build_tree(trees[k], rules);
        changed = now;
    }
    void lead() {
        cluster = std::make_unique<Cluster>(rules);
        cluster->lead(fencing_token, now);
        cluster->set_types({{"small", 4, 0, 32, 30, 0.5, 1.0, 0.2, 25, {"a"}}});
        cluster->set_quotas(tree, changed, 5);
        records.read_into(*cluster, now, wall);
    }
    WorkerHeartbeat heartbeat(const std::string& name) { return workers[name].next_heartbeat(name, "a"); }
    bool execute(const std::string& name, std::uint64_t under, const std::vector<Command>& commands) {
        auto& worker = workers[name];
        return worker.execute(under, commands, [&](const Attempt& attempt) { start(worker, attempt); });
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
            if (crash && pick(2) == 0) {
                // The transaction may have been applied or not; the leader is gone either way.
                if (pick(2) == 0) records.apply(writes);
                successor();
                return;
            }
            if (pick(12) == 0) {
                cluster->write_failed(std::move(writes));
                return;
            }
            records.apply(writes);
            for (auto& w : writes)
                if (w.durable) w.durable();
        }
    }
    void successor() {
        ++fencing_token;
        lead();
        for (auto& n : tree->nodes()) force[n.path] = std::max(n.limit.cpus, used(n.path));
        for (auto& [name, w] : workers)
            if (pick(2)) {
                execute(name, fencing_token, {});
                cluster->on_heartbeat(heartbeat(name), false, now);
            }
    }
    void push(const std::string& name) {
        auto* m = cluster->find_machine(name);
        if (!m || !m->up) return;
        auto commands = cluster->push_commands(*m, now);
        auto how = pick(8);
        if (how == 0) {  // lost for good, or late: nobody can tell
            if (pick(2)) late.push_back({name, fencing_token, commands});
            cluster->push_answered(*m, commands, fencing_token, false, true, now);
            return;
        }
        bool ok = execute(name, fencing_token, commands);
        if (how == 1) {  // executed, the answer is lost
            cluster->push_answered(*m, commands, fencing_token, false, true, now);
            return;
        }
        cluster->push_answered(*m, commands, fencing_token, ok, false, now);
        cluster->on_heartbeat(heartbeat(name), false, now);
    }
    // A job of any kind is accepted.
    void submit_job() {
        wire::JobSpec s;
        s.id = "wk-" + std::to_string(++ids);
        s.job_class = "batch", s.image = "img";
        s.team = pick(2) ? "crew" : "desk";
        if (s.team == "crew" && pick(2)) s.project = "slips";
        s.tasks = static_cast<std::uint32_t>(1 + pick(5));
        s.need = {static_cast<double>(1 + pick(2)), 0, 1};
        s.priority = static_cast<Priority>(pick(4));
        if (pick(5) == 0) s.kind = JobKind::gang, s.tasks = 2;
        if (pick(5) == 0) s.kind = JobKind::service;
        if (pick(2)) s.checkpoint_s = 5, s.save_s = 1;
        jobs[s.id] = s;
        state::JobRecord record{s, wall++};
        records.accept(record);
        cluster->add_job(record, nullptr, now, wall);
    }
    // A worker sends a heartbeat, some task on it may have ended.
    void report_from_any_worker() {
        auto name = any();
        for (auto& [a, s] : workers[name].tasks)
            if (s.first == TaskState::running && jobs[a.task.job].kind == JobKind::array && pick(2)) {
                s = {TaskState::exited, pick(6) ? Cause::done : Cause::error};
                break;
            }
        auto r = heartbeat(name);
        if (pick(4) == 0) return;  // lost
        cluster->on_heartbeat(r, true, now);
        auto commands = cluster->reply_commands(*cluster->find_machine(name), now);
        if (pick(6)) execute(name, fencing_token, commands);
    }
    // The oldest late push is carried out.
    void deliver_late_commands() {
        if (!late.empty()) {
            auto l = late.front();
            late.erase(late.begin());
            execute(l.machine, l.fencing_token, l.commands);
        }
    }
    // The limits change; what is above them may stay for the grace.
    void change_quotas() {
        if (pick(3) == 0) {
            std::map<std::string, double> held;
            for (auto& n : cluster->ledger().tree().nodes()) held[n.path] = used(n.path);
            use(pick(trees.size()));
            cluster->set_quotas(tree, changed, 5);
            for (auto& n : tree->nodes())
                force[n.path] = real_force[n.path] = std::max(n.limit.cpus, held[n.path]);
        }
    }
    // A user cancels a job.
    void cancel_any_job() {
        if (!jobs.empty() && pick(3) == 0) {
            auto it = std::next(jobs.begin(), static_cast<long>(pick(jobs.size())));
            if (auto* job = cluster->find_job(it->first)) cluster->cancel(*job, now);
        }
    }
    std::string any() { return "n-" + std::to_string(1 + pick(3)); }
    void step() {
        switch (pick(14)) {
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
                return push(any());
            case 7:
            case 8:
                return report_from_any_worker();
            case 9:
                return deliver_late_commands();
            case 10:
                cluster->schedule_round(now);
                return write(true);
            case 11:
                return change_quotas();
            case 12:
                now += std::chrono::milliseconds(500 + pick(3000));
                cluster->tick(now);
                return;
            default:
                cancel_any_job();
                if (pick(40) == 0) successor();
        }
    }
    double used(const std::string& path) {
        auto n = cluster->ledger().tree().find_by_path(path);
        return n ? cluster->ledger().used(*n).cpus : 0;
    }
    // What is on the machines is charged at every level, and what is charged is within the limit in force.
    std::string wrong() {
        for (auto& node : tree->nodes()) {
            if (node.path.empty()) continue;
            double real = 0;
            auto id = *tree->find_by_path(node.path);
            for (auto& [name, w] : workers)
                for (auto& [a, s] : w.tasks) {
                    auto& spec = jobs.at(a.task.job);
                    if (s.first != TaskState::exited &&
                        tree->within(*tree->account_for(spec.team, spec.project), id))
                        real += spec.need.cpus;
                }
            const double charged = used(node.path);
            if (real > charged + 1e-6)
                return fmt::format("{}: {} on machines, {} charged", node.path, real, charged);
            for (auto [what, amount, bound] :
                 {std::tuple("charged", charged, &force), std::tuple("there", real, &real_force)}) {
                auto& f = bound->try_emplace(node.path, node.limit.cpus).first->second;
                if (amount > f + 1e-6)
                    return fmt::format("{}: {} {}, limit in force {}", node.path, amount, what, f);
                f = std::max(node.limit.cpus, std::min(f, charged));
            }
        }
        // The deltas against a plain sum.
        std::map<std::string, double> sum;
        const auto& held = cluster->ledger().tree();
        for (auto& [name, m] : cluster->machines())
            for (auto& [a, e] : m->assignments)
                if (!e.exited() && e.account != quota::no_node)
                    for (auto n = e.account; n != quota::root; n = held.node(n).parent)
                        sum[held.node(n).path] += e.need.cpus;
        for (auto& node : held.nodes())
            if (!node.path.empty() && std::abs(sum[node.path] - used(node.path)) > 1e-6)
                return fmt::format("{}: {} by deltas, {} by a plain sum", node.path, used(node.path),
                                   sum[node.path]);
        return "";
    }
};

}  // namespace

TEST(QuotaHistories, NoLevelIsOverItsLimitInForceWhateverFails) {
    QuietLog quiet;
#ifdef __SANITIZE_ADDRESS__
    constexpr std::uint64_t histories = 500;  // ten thousand would take minutes
#else
    constexpr std::uint64_t histories = 10'000;
#endif
    std::size_t started = 0, failovers = 0;
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        QuotaHistory w(seed);
        for (auto& [name, worker] : w.workers) w.cluster->on_heartbeat(w.heartbeat(name), true, w.now);
        for (int step = 0; step < 60; ++step) {
            w.step();
            auto wrong = w.wrong();
            ASSERT_EQ(wrong, "") << "seed " << seed << ", step " << step;
        }
        failovers += w.fencing_token - 10;
        for (auto& [name, worker] : w.workers) started += worker.tasks.size();
    }
    EXPECT_GT(started, histories);
    EXPECT_GT(failovers, histories / 2);
    std::printf("%llu histories, %zu failovers, %zu attempts on machines at their ends\n",
                static_cast<unsigned long long>(histories), failovers, started);
}
