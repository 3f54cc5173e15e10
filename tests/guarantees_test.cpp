// Quotas in a leader's decisions: guarantees, borrowing, lowered limits; then whole histories with crashes,
// late commands and changes of limits, checked against what is really on the machines.
#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>

#include <random>

#include "config/quotas.hpp"
#include "support.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;
using wire::JobKind;
using wire::Priority;

namespace {

std::vector<quota::QuotaEntry> lines(const std::string& nodes) {
    return config::parse_quotas_text("{\"nodes\":[" + nodes + "]}").set_entries;
}

placement::Config two_teams(double guaranteed = 4) {
    placement::Config rules;
    rules.teams["crew"] = {guaranteed, 0, 0, 0};
    rules.teams["desk"] = {};
    return rules;
}

struct QuotaFleet : Fleet {
    using Fleet::Fleet;
    wire::JobSpec of(const std::string& id, const std::string& team, std::uint32_t tasks, Priority p,
                     const std::string& project = "") {
        auto s = spec(id, tasks);
        s.team = team;
        s.project = project;
        s.priority = p;
        return s;
    }
    quota::NodeId node(const std::string& path) { return *cluster->ledger().tree().find_by_path(path); }
    double used(const std::string& path) { return cluster->ledger().used(node(path)).cpus; }
    std::size_t stopping() {
        std::size_t n = 0;
        for (auto& [name, m] : cluster->machines())
            for (auto& [a, e] : m->assignments) n += e.stop_requested && !e.exited();
        return n;
    }
    // What was told to stop has stopped, what was to start runs.
    void settle() {
        write();
        for (auto& [name, m] : cluster->machines()) {
            auto commands = cluster->push_commands(*m, now);
            std::vector<TaskStatus> tasks;
            for (auto& [a, e] : m->assignments) {
                if (e.stop_requested)
                    tasks.push_back({a, TaskState::exited, Cause::stopped, false});
                else
                    tasks.push_back({a, TaskState::running, Cause::none, false});
            }
            cluster->push_answered(*m, commands, cluster->fencing_token(), true, false, now);
            cluster->on_heartbeat(heartbeat(name, tasks, cluster->fencing_token(), m->zone), false, now);
            std::erase_if(tasks, [](auto& t) { return t.state == TaskState::exited; });
            cluster->on_heartbeat(heartbeat(name, tasks, cluster->fencing_token(), m->zone), true, now);
        }
    }
};

quota::TreePtr build(const std::string& nodes, const placement::Config& rules) {
    auto built = quota::Tree::build(lines(nodes), placement::quota_teams(rules.teams));
    for (auto& f : built.errors) ADD_FAILURE() << f.str();
    return built.tree;
}

}  // namespace

// `cpus` and `gpus` of the platform's file were read and used nowhere: a team with a guarantee waited behind
// others.
TEST(Guarantees, WhatAnotherTeamBorrowsYieldsWhateverItsLevelAndNoMoreThanIsMissing) {
    QuotaFleet f(two_teams());
    f.up("n-1");
    f.up("n-2");
    f.add(f.of("wk-1", "desk", 8, Priority::production));
    f.place_all();
    f.settle();
    ASSERT_EQ(f.used("desk"), 8);
    f.add(f.of("wk-2", "crew", 6, Priority::low));
    f.cluster->schedule_round(f.now);
    EXPECT_EQ(f.stopping(), 4u) << "the guarantee is 4 of the 6 that wait";
    f.cluster->schedule_round(f.now);
    EXPECT_EQ(f.stopping(), 4u) << "room that is being made is waited for";
    f.settle();
    f.place_all();
    f.settle();
    EXPECT_EQ(f.used("crew"), 4);
    EXPECT_EQ(f.used("desk"), 4);
    // What yielded stands first in the queue of a higher level, and doesn't win the room back, nor stop
    // anything.
    for (int i = 0; i < 5; ++i) {
        f.now += 1s;
        f.place_all();
        EXPECT_EQ(f.stopping(), 0u);
        f.settle();
    }
    EXPECT_EQ(f.used("crew"), 4);
}

TEST(Guarantees, RoomThatIsBeingMadeIsNotTakenByThoseWhoBorrow) {
    QuotaFleet f(two_teams(3));
    f.up("n-1");
    f.add(f.of("wk-1", "desk", 4, Priority::normal));
    f.place_all();
    f.settle();
    f.add([&] {
        auto s = f.of("wk-2", "crew", 1, Priority::low);
        s.need.cpus = 3;
        return s;
    }());
    f.cluster->schedule_round(f.now);
    ASSERT_EQ(f.stopping(), 3u);
    // One of the three is out. Its room fits a task of the borrower, who stands at a higher level.
    std::vector<TaskStatus> tasks;
    bool out = false;
    for (auto& [a, e] : f.machine("n-1").assignments) {
        bool ends = e.stop_requested && !std::exchange(out, out || e.stop_requested);
        tasks.push_back(
            {a, ends ? TaskState::exited : TaskState::running, ends ? Cause::stopped : Cause::none, false});
    }
    f.cluster->on_heartbeat(f.heartbeat("n-1", tasks), true, f.now);
    f.place_all();
    EXPECT_EQ(f.used("desk"), 3);
    EXPECT_EQ(f.on("n-1").size(), 4u) << "with the ended one; nothing new";
    f.settle();
    f.place_all();
    EXPECT_EQ(f.used("crew"), 3);
}

TEST(Guarantees, AGangIsNeverHalfStoppedAndHigherWorkDoesNotStopWhatIsGuaranteed) {
    QuotaFleet f(two_teams());
    f.up("n-1");
    f.up("n-2");
    auto gang = f.of("wk-1", "desk", 2, Priority::production);
    gang.kind = JobKind::gang;
    gang.need.cpus = 4;
    f.add(gang);
    f.place_all();
    f.settle();
    auto mine = f.of("wk-2", "crew", 1, Priority::low);
    f.add(mine);
    f.cluster->schedule_round(f.now);
    EXPECT_EQ(f.stopping(), 2u) << "both tasks of the gang, for one CPU";
    f.settle();
    f.place_all();
    f.settle();
    ASSERT_EQ(f.used("crew"), 1);
    // Now urgent work of the other team wants all: what is within the guarantee goes on.
    for (int i = 0; i < 3; ++i) {
        f.now += 1s;
        f.place_all();
        f.settle();
    }
    EXPECT_EQ(f.used("crew"), 1);
}

TEST(Guarantees, ABurstOfASiblingDoesNotKeepAnotherBelowItsGuarantee) {
    placement::Config rules;
    rules.teams["crew"] = {};
    rules.quotas = lines(R"({"name":"bureau","limit":{"cpus":8},"guarantee":{"cpus":8}},
        {"name":"crew","in":"bureau","team":"crew","guarantee":{"cpus":8}},
        {"name":"slips","in":"crew","guarantee":{"cpus":3}},{"name":"rebuild","in":"crew"})");
    QuotaFleet f(rules);
    for (auto n : {"n-1", "n-2", "n-3"}) f.up(n);
    f.add(f.of("wk-1", "crew", 40, Priority::high, "rebuild"));
    f.place_all();
    f.settle();
    EXPECT_EQ(f.used("bureau"), 8) << "of 12 CPUs: the limit three levels up";
    EXPECT_EQ(f.cluster->explain(*f.cluster->find_job("wk-1"), f.now),
              "the limit of bureau: cpus in use 8, limit 8, wanted 1");
    // The machines have room, the limit has not: the sibling yields.
    f.add(f.of("wk-2", "crew", 5, Priority::low, "slips"));
    f.cluster->schedule_round(f.now);
    EXPECT_EQ(f.stopping(), 3u);
    f.settle();
    f.place_all();
    f.settle();
    EXPECT_EQ(f.used("bureau/crew/slips"), 3);
    EXPECT_EQ(f.used("bureau"), 8);
}

TEST(Guarantees, ALoweredLimitStartsNothingDrainsInStepsAndASuccessorGoesOn) {
    auto rules = without_leases();
    rules.teams["crew"] = {};
    QuotaFleet f(rules);
    f.up("n-1");
    f.up("n-2");
    auto saving = f.of("wk-1", "crew", 2, Priority::normal);
    saving.checkpoint_s = 5;
    saving.save_s = 1;
    f.add(saving);
    f.add(f.of("wk-2", "crew", 4, Priority::normal));
    f.place_all();
    f.settle();
    ASSERT_EQ(f.used("crew"), 6);
    auto tree = build(R"({"name":"crew","team":"crew","limit":{"cpus":3}})", rules);
    f.cluster->set_quotas(tree, f.now, 60);
    f.cluster->tick(f.now);
    EXPECT_EQ(f.stopping(), 2u) << "those that save, at once";
    f.add(f.of("wk-3", "crew", 1, Priority::production));
    f.place_all();
    f.settle();
    EXPECT_EQ(f.used("crew"), 4) << "nothing starts meanwhile";
    f.cluster->tick(f.now);
    EXPECT_EQ(f.stopping(), 0u) << "the others have until shrink_s";
    // The leader ends. Its successor reads the same record, and when it was written.
    auto changed = f.now;
    std::vector<placement::Write> shards;
    f.cluster->mark_machine_changed("n-1");
    f.cluster->mark_machine_changed("n-2");
    std::vector<state::MachineRecord> records;
    for (auto& w : f.write())
        if (state::parse_assignment_shard_key(w.key)) {
            auto shard = state::parse_assignment_shard(*w.value);
            records.insert(records.end(), shard->begin(), shard->end());
        }
    std::vector<wire::JobSpec> specs{saving, f.of("wk-2", "crew", 4, Priority::normal)};
    f.now += 20s;
    f.restart(20);
    for (auto& s : specs) f.add(s);
    f.cluster->set_quotas(tree, changed, 60);
    for (auto& r : records) f.cluster->recover_machine(1, r, f.now, f.wall);
    EXPECT_EQ(f.used("crew"), 4);
    f.cluster->tick(f.now);
    EXPECT_EQ(f.stopping(), 0u);
    f.now += 61s;
    f.cluster->tick(f.now);
    EXPECT_EQ(f.stopping(), 1u) << "one more is enough";
}

TEST(Guarantees, ALimitKeepsMachinesFromBeingRentedForWorkThatMayNotStart) {
    placement::Config rules;
    rules.teams["crew"] = {0, 0, 4, 0};
    QuotaFleet f(rules);
    f.up("n-1");
    f.add(f.of("wk-1", "crew", 4, Priority::normal));
    f.place_all();
    f.settle();
    auto service = f.of("wk-2", "crew", 4, Priority::production);
    service.kind = JobKind::service;
    f.add(service);
    autoscaler::Autoscaler autoscaler;
    EXPECT_TRUE(autoscaler.plan(*f.cluster, f.now).scale_out.empty());
    f.cluster->set_quotas(build("", two_teams(0)), f.now, 60);
    EXPECT_FALSE(autoscaler.plan(*f.cluster, f.now).scale_out.empty());
}

TEST(Guarantees, WhatATaskWaitsForIsSaid) {
    QuotaFleet f;
    auto& job = f.add(f.of("wk-1", "crew", 1, Priority::normal));
    EXPECT_EQ(f.cluster->explain(job, f.now), "no machine that it may use is up");
    f.up("n-1");
    EXPECT_EQ(f.cluster->explain(job, f.now), "nothing is in its way: it starts with the next round");
    auto big = f.of("wk-2", "crew", 1, Priority::normal);
    big.need = {5, 0, 1};
    EXPECT_EQ(f.cluster->explain(f.add(big), f.now),
              "no room: a task needs 5 CPUs, 1 GB; of 1 machines that it may use the roomiest has 4 CPUs, 32 "
              "GB free");
    EXPECT_EQ(f.cluster->explain(f.add(f.of("wk-3", "crew", 1, Priority::low)), f.now),
              "2 tasks of higher levels or older jobs come first");
    f.place_all();
    EXPECT_EQ(f.cluster->explain(job, f.now), "") << "it waits for nothing any more";
}

// ---- histories -------------------------------------------------------------------------------------------

namespace {

// Workers as the protocol has them, a state service that keeps what was written, and a leader that may end
// between any two writes. Commands may come late.
struct World {
    std::mt19937_64 random;
    placement::Config rules = without_leases();
    std::vector<std::string> trees;
    quota::TreePtr tree;
    TimePoint now = TimePoint{} + 1000s, changed{};
    std::int64_t wall = 1'000'000;
    std::uint64_t fencing_token = 10;
    std::unique_ptr<Cluster> cluster;
    Records records;
    struct Worker {
        std::uint64_t seq = 0, fencing_token = 0;
        std::map<Attempt, std::pair<TaskState, Cause>> tasks;
    };
    std::map<std::string, Worker> workers;
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

    explicit World(std::uint64_t seed) : random(seed) {
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
        tree = build(trees[k], rules);
        changed = now;
    }
    void lead() {
        cluster = std::make_unique<Cluster>(rules);
        cluster->lead(fencing_token, now);
        cluster->set_types({{"small", 4, 0, 32, 30, 0.5, 1.0, 0.2, 25, {"a"}}});
        cluster->set_quotas(tree, changed, 5);
        records.read_into(*cluster, now, wall);
    }
    WorkerHeartbeat heartbeat(const std::string& name) {
        Worker& w = workers[name];
        WorkerHeartbeat r;
        r.machine = name, r.address = "127.0.0.1:9", r.type = "small", r.zone = "a";
        r.agent_epoch = 1, r.seq = ++w.seq, r.fencing_token = w.fencing_token;
        for (auto& [a, s] : w.tasks) r.tasks.push_back({a, s.first, s.second, false});
        return r;
    }
    bool execute(const std::string& name, std::uint64_t under, const std::vector<Command>& commands) {
        Worker& w = workers[name];
        if (under < w.fencing_token) return false;
        w.fencing_token = under;
        for (auto& c : commands) {
            auto it = w.tasks.find(c.attempt);
            if (c.verb == Verb::launch && it == w.tasks.end()) {
                double used = 0;
                for (auto& [a, s] : w.tasks)
                    if (s.first != TaskState::exited) used += jobs.at(a.task.job).need.cpus;
                bool fits = used + jobs.at(c.attempt.task.job).need.cpus <= 4;
                w.tasks[c.attempt] = {fits ? TaskState::running : TaskState::exited,
                                      fits ? Cause::none : Cause::no_room};
            }
            if (it == w.tasks.end()) continue;
            if (c.verb == Verb::kill && it->second.first != TaskState::exited)
                it->second = {TaskState::exited, Cause::stopped};
            if (c.verb == Verb::reap && it->second.first == TaskState::exited) w.tasks.erase(it);
        }
        return true;
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
    void step() {
        auto any = [&] { return "n-" + std::to_string(1 + pick(3)); };
        switch (pick(14)) {
            case 0: {
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
                break;
            }
            case 1:
            case 2:
            case 3:
                cluster->schedule_round(now);
                write(false);
                break;
            case 4:
            case 5:
            case 6:
                push(any());
                break;
            case 7:
            case 8: {
                auto name = any();
                for (auto& [a, s] : workers[name].tasks)
                    if (s.first == TaskState::running && jobs[a.task.job].kind == JobKind::array && pick(2)) {
                        s = {TaskState::exited, pick(6) ? Cause::done : Cause::error};
                        break;
                    }
                auto r = heartbeat(name);
                if (pick(4) == 0) break;  // lost
                cluster->on_heartbeat(r, true, now);
                auto commands = cluster->reply_commands(*cluster->find_machine(name), now);
                if (pick(6)) execute(name, fencing_token, commands);
                break;
            }
            case 9:
                if (!late.empty()) {
                    auto l = late.front();
                    late.erase(late.begin());
                    execute(l.machine, l.fencing_token, l.commands);
                }
                break;
            case 10:
                cluster->schedule_round(now);
                write(true);
                break;
            case 11:
                if (pick(3) == 0) {
                    std::map<std::string, double> held;
                    for (auto& n : cluster->ledger().tree().nodes()) held[n.path] = used(n.path);
                    use(pick(trees.size()));
                    cluster->set_quotas(tree, changed, 5);
                    for (auto& n : tree->nodes())
                        force[n.path] = real_force[n.path] = std::max(n.limit.cpus, held[n.path]);
                }
                break;
            case 12:
                now += std::chrono::milliseconds(500 + pick(3000));
                cluster->tick(now);
                break;
            default:
                if (!jobs.empty() && pick(3) == 0) {
                    auto it = std::next(jobs.begin(), static_cast<long>(pick(jobs.size())));
                    if (auto* job = cluster->find_job(it->first)) cluster->cancel(*job, now);
                }
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
    // What stands in the log of ten thousand histories is of no use.
    struct Quiet {
        spdlog::level::level_enum was = spdlog::get_level();
        Quiet() { spdlog::set_level(spdlog::level::critical); }
        ~Quiet() { spdlog::set_level(was); }
    } quiet;
#ifdef __SANITIZE_ADDRESS__
    constexpr std::uint64_t histories = 500;  // ten thousand would take minutes
#else
    constexpr std::uint64_t histories = 10'000;
#endif
    std::size_t started = 0, failovers = 0;
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        World w(seed);
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
