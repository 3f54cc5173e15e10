// A day of a simulated site with three levels of quotas: 200 machines, an order desk, reconciliation and slip
// printers in one bureau, a second bureau that borrows. Sampled each second; what is on the machines is
// counted by the machines themselves. At 600 s reconciliation bursts, at 1200 s the bureau's limit is
// lowered, at 1260 s the leader dies in the middle of that, at 1800 s the limit is raised again, at 2100 s
// the other bureau bursts at the highest level. usage: quota_day [SEED] > day.csv; ends with status 1 if a
// level was over its limit in force, or the slip printers waited longer for their guarantee than the bound.
#include <spdlog/spdlog.h>

#include <cstdio>
#include <random>

#include "placement/cluster.hpp"

using namespace barrowrun;
using namespace std::chrono_literals;
using wire::Attempt;
using wire::Cause;
using wire::JobKind;
using wire::Priority;
using wire::TaskState;

namespace {

constexpr int machines = 200, seconds = 2700;
constexpr double cpus_each = 4, grace_bound_s = 12;  // a report, a save, a report, and the start

std::vector<quota::QuotaEntry> tree(double bureau_limit) {
    return {{"airport", "", "", {bureau_limit, {}, {}}, {500, {}, {}}},
            {"counter", "airport", "counterops", {}, {400, {}, {}}},
            {"orderdesk", "airport/counter", "", {200, {}, {}}, {160, {}, {}}},
            {"reconcile", "airport/counter", "", {}, {80, {}, {}}},
            {"slips", "airport/counter", "", {160, {}, {}}, {120, {}, {}}},
            {"hosting", "", "", {}, {200, {}, {}}},
            {"readers", "hosting", "helpline", {}, {150, {}, {}}}};
}

struct Task {
    TaskState state = TaskState::running;
    Cause cause = Cause::none;
    bool saved = false;
    double left = 0, saving = 0;
};

struct Worker {
    std::uint64_t seq = 0, fencing_token = 0;
    std::map<Attempt, Task> tasks;
    double next_report = 0;
    bool changed = true;
};

class Day {
  public:
    explicit Day(std::uint64_t seed) : random_(seed) {
        rules_.lease_s = 1e6;  // its workers are always answered
        rules_.teams["counterops"] = {};
        rules_.teams["helpline"] = {};
        tree_ = build(800);
        workers_.resize(machines);
        for (auto& w : workers_) w.next_report = uniform(0, 3);
        lead();
    }

    int play() {
        std::printf("t");
        for (auto& n : tree_->nodes())
            if (!n.path.empty())
                std::printf(",%s,%s limit,%s guarantee", n.path.c_str(), n.path.c_str(), n.path.c_str());
        std::printf(",slips waiting\n");
        for (int tick = 0; tick < seconds * 10; ++tick) {
            t_ = tick / 10.0;
            now_ = TimePoint{} + 1000s + secs(t_);
            if (tick % 10 == 0) events(tick / 10);
            for (int i = 0; i < machines; ++i) advance(i);
            if (t_ >= dead_until_ && !cluster_) lead();
            if (cluster_) {
                for (int i = 0; i < machines; ++i) talk(i);
                if (tick % 2 == 0) cluster_->tick(now_);
                cluster_->schedule_round(now_);
                write();
                for (auto& name : cluster_->take_machines_with_commands()) push(name);
            }
            if (tick % 10 == 9) sample();
        }
        std::fprintf(stderr,
                     "%d s, %d machines: %zu samples over a limit in force, slips below their guarantee with "
                     "work waiting "
                     "for at most %.0f s at a stretch (bound %.0f), %zu tasks done, %zu stopped for quotas\n",
                     seconds, machines, over_, worst_wait_, grace_bound_s, done_, stopped_);
        return over_ > 0 || worst_wait_ > grace_bound_s ? 1 : 0;
    }

  private:
    double uniform(double a, double b) { return std::uniform_real_distribution<double>(a, b)(random_); }
    quota::TreePtr build(double limit) {
        auto built = quota::Tree::build(tree(limit), placement::quota_teams(rules_.teams));
        for (auto& f : built.errors) std::fprintf(stderr, "%s\n", f.str().c_str());
        return built.tree;
    }
    void submit(const std::string& team, const std::string& project, Priority p, JobKind kind,
                std::uint32_t tasks, wire::Resources need, double run_s, double checkpoint_s) {
        wire::JobSpec s;
        s.id = "wk-" + std::to_string(++ids_);
        s.job_class = project.empty() ? team : project;
        s.team = team, s.project = project, s.priority = p, s.kind = sort, s.tasks = tasks, s.need = need;
        s.image = "img", s.image_gb = 0.1;
        s.estimate_s = sort == JobKind::service ? 0 : run_s;
        s.checkpoint_s = checkpoint_s, s.save_s = checkpoint_s > 0 ? 2 : 0;
        run_s_[s.id] = run_s;
        specs_[s.id] = s;
        state::JobRecord record{s, static_cast<std::int64_t>(t_ * 1000)};
        records_["jobs/" + s.id] = state::to_json(record);
        if (cluster_) cluster_->add_job(record, nullptr, now_, record.accepted_ms);
    }
    void events(int s) {
        if (s == 0)
            for (int i = 0; i < 10; ++i)
                submit("counterops", "orderdesk", Priority::production, JobKind::service, 14, {1, 0, 4}, 0,
                       0);
        // Slips come steadily, at the lowest level; reconciliation in arrays; readers borrow what there is.
        if (s % 20 == 0)
            submit("counterops", "slips", Priority::low, JobKind::array, 60, {1, 0, 4}, uniform(30, 50), 15);
        if (s % 15 == 0)
            submit("counterops", "reconcile", Priority::normal, JobKind::array, 60, {1, 0, 4},
                   uniform(20, 30), 0);
        if (s % 30 == 0)
            submit("helpline", "", Priority::normal, JobKind::array, 200, {1, 0, 2}, uniform(40, 80), 10);
        if (s >= 600 && s < 720 && s % 4 == 0)
            submit("counterops", "reconcile", Priority::high, JobKind::array, 300, {1, 0, 4}, uniform(20, 30),
                   0);
        if (s >= 2100 && s < 2160 && s % 4 == 0)
            submit("helpline", "", Priority::production, JobKind::array, 400, {1, 0, 2}, uniform(40, 60), 0);
        if (s == 1200) limit(500);
        if (s == 1260) cluster_.reset(), dead_until_ = t_ + 3.2;
        if (s == 1800) limit(800);
    }
    void limit(double cpus) {
        tree_ = build(cpus);
        changed_ = now_;
        if (cluster_) cluster_->set_quotas(tree_, changed_, 60);
        for (auto& n : tree_->nodes()) force_[n.path] = std::max(n.limit.cpus, used(n.path));
    }
    double used(const std::string& path) {
        auto n = cluster_ ? cluster_->ledger().tree().find_by_path(path) : std::nullopt;
        return n ? cluster_->ledger().used(*n).cpus : 0;
    }
    void lead() {
        cluster_ = std::make_unique<placement::Cluster>(rules_);
        cluster_->set_fencing_token(++fencing_token_, now_);
        cluster_->set_types({{"kiosk", cpus_each, 0, 32, 30, 0.5, 1.0, 0.2, 25, {"a"}}});
        cluster_->set_quotas(tree_, changed_, 60);
        for (auto& [key, value] : records_)
            if (key.starts_with("jobs/")) {
                auto record = *state::parse_job_record(value);
                auto p = records_.find("progress/" + record.spec.id);
                std::optional<state::Progress> progress;
                if (p != records_.end()) progress = state::parse_progress(p->second, record.spec.tasks);
                cluster_->add_job(record, progress ? &*progress : nullptr, now_,
                                  static_cast<std::int64_t>(t_ * 1000));
            }
        for (auto& [key, value] : records_)
            if (auto n = state::parse_assignment_shard_key(key)) {
                auto shard = state::parse_assignment_shard(value);
                for (auto& r : *shard)
                    cluster_->recover_machine(*n, r, now_, static_cast<std::int64_t>(t_ * 1000));
            }
        for (int i = 0; i < machines; ++i) {
            execute(i, fencing_token_, {});
            cluster_->on_heartbeat(heartbeat(i), false, now_);
        }
    }
    std::string name(int i) { return "n-" + std::to_string(1000 + i); }
    wire::WorkerHeartbeat heartbeat(int i) {
        Worker& w = workers_[static_cast<std::size_t>(i)];
        wire::WorkerHeartbeat r;
        r.machine = name(i), r.address = "127.0.0.1:9", r.type = "kiosk", r.zone = "a";
        r.agent_epoch = 1, r.seq = ++w.seq, r.fencing_token = w.fencing_token;
        for (auto& [a, x] : w.tasks) r.tasks.push_back({a, x.state, x.cause, x.saved});
        w.changed = false;
        w.next_report = t_ + uniform(2.2, 3.7);
        return r;
    }
    void execute(int i, std::uint64_t under, const std::vector<wire::Command>& commands) {
        Worker& w = workers_[static_cast<std::size_t>(i)];
        w.fencing_token = std::max(w.fencing_token, under);
        for (auto& c : commands) {
            auto it = w.tasks.find(c.attempt);
            if (c.verb == wire::Verb::launch && it == w.tasks.end()) {
                Task x;
                x.left = run_s_[c.attempt.task.job] - saved_[c.attempt.task.str()];
                w.tasks[c.attempt] = x;
            } else if (it == w.tasks.end()) {
                continue;
            } else if (c.verb == wire::Verb::kill && it->second.state == TaskState::running) {
                auto& spec = specs_.at(c.attempt.task.job);
                ++stopped_;
                if (spec.checkpoint_s > 0 && c.grace_s >= spec.save_s)
                    it->second.state = TaskState::saving, it->second.saving = spec.save_s;
                else
                    it->second.state = TaskState::exited, it->second.cause = Cause::stopped, w.changed = true;
            } else if (c.verb == wire::Verb::reap && it->second.state == TaskState::exited) {
                w.tasks.erase(it);
            }
        }
    }
    void advance(int i) {
        Worker& w = workers_[static_cast<std::size_t>(i)];
        for (auto& [a, x] : w.tasks) {
            auto& spec = specs_.at(a.task.job);
            if (x.state == TaskState::saving && (x.saving -= 0.1) <= 0) {
                x.state = TaskState::exited, x.cause = Cause::stopped, x.saved = true, w.changed = true;
                saved_[a.task.str()] = run_s_[a.task.job] - x.left;
            } else if (x.state == TaskState::running && spec.kind != JobKind::service &&
                       (x.left -= 0.1) <= 0) {
                x.state = TaskState::exited, x.cause = Cause::done, w.changed = true;
                ++done_;
            }
        }
    }
    void talk(int i) {
        Worker& w = workers_[static_cast<std::size_t>(i)];
        if (!w.changed && t_ < w.next_report) return;
        cluster_->on_heartbeat(heartbeat(i), true, now_);
        execute(i, fencing_token_, cluster_->reply_commands(*cluster_->find_machine(name(i)), now_));
    }
    void push(const std::string& which) {
        auto* m = cluster_->find_machine(which);
        if (!m || !m->up) return;
        int i = std::stoi(which.substr(2)) - 1000;
        auto commands = cluster_->push_commands(*m, now_);
        if (commands.empty()) return;
        execute(i, fencing_token_, commands);
        cluster_->push_answered(*m, commands, fencing_token_, true, false, now_);
        cluster_->on_heartbeat(heartbeat(i), false, now_);
    }
    void write() {
        for (;;) {
            auto writes = cluster_->take_writes(32, 48 * 1024, now_, static_cast<std::int64_t>(t_ * 1000));
            if (writes.empty()) return;
            for (auto& w : writes) {
                if (w.value)
                    records_[w.key] = *w.value;
                else
                    records_.erase(w.key);
                if (w.on_durable) w.on_durable();
            }
        }
    }
    void sample() {
        std::map<std::string, double> real;
        for (auto& w : workers_)
            for (auto& [a, x] : w.tasks) {
                if (x.state == TaskState::exited) continue;
                auto& spec = specs_.at(a.task.job);
                for (auto n = *tree_->account_for(spec.team, spec.project); n != quota::root;
                     n = tree_->node(n).parent)
                    real[tree_->node(n).path] += spec.need.cpus;
            }
        std::printf("%.0f", t_);
        for (auto& n : tree_->nodes()) {
            if (n.path.empty()) continue;
            auto& f = force_.try_emplace(n.path, n.limit.cpus).first->second;
            if (real[n.path] > f + 1e-6) ++over_;
            if (cluster_) f = std::max(n.limit.cpus, std::min(f, used(n.path)));
            std::printf(",%g,%g,%g", real[n.path], std::min(n.limit.cpus, machines * cpus_each),
                        n.guarantee.cpus);
        }
        std::uint64_t waiting = 0;
        if (cluster_)
            for (auto& [id, job] : cluster_->jobs())
                if (job->spec.project == "slips") waiting += job->waiting.size();
        std::printf(",%llu\n", static_cast<unsigned long long>(waiting));
        // Below the guarantee while work that fits it waits. The first minute fills an empty fleet.
        const auto promised = tree_->node(*tree_->find_by_path("airport/counter/slips")).guarantee.cpus;
        if (cluster_ && waiting > 0 && real["airport/counter/slips"] + 1 <= promised)
            worst_wait_ = std::max(worst_wait_, ++below_);
        else
            below_ = 0;
    }

    std::mt19937_64 random_;
    placement::Config rules_;
    quota::TreePtr tree_;
    std::unique_ptr<placement::Cluster> cluster_;
    std::vector<Worker> workers_;
    std::map<std::string, wire::Json> records_;
    std::map<std::string, wire::JobSpec> specs_;
    std::map<std::string, double> run_s_, saved_, force_;
    TimePoint now_ = TimePoint{} + 1000s, changed_{};
    double t_ = 0, dead_until_ = 0, below_ = 0, worst_wait_ = 0;
    std::uint64_t fencing_token_ = 9;
    int ids_ = 0;
    std::size_t over_ = 0, done_ = 0, stopped_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
    spdlog::set_level(spdlog::level::off);
    return Day(argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1).play();
}
