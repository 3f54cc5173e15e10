#pragma once
// Workers, and the cloud that rents their machines, as PROTOCOL-barrowrun.md describes them.
#include <cmath>
#include <memory>
#include <tuple>

#include "jobs.hpp"

namespace site {

struct Type {
    std::string name;
    double cpus, gpus, mem_gb, price, boot_s;
    std::vector<std::string> zones;
};

// One worker with its machine. All data is guarded by `lock`.
class Worker {
  public:
    struct Task {
        std::string state = "pulling", why;
        TimePoint since = Clock::now();  // begin of the state
    };
    using Key = std::pair<std::string, std::uint64_t>;  // task, attempt

    const Deployment& d;
    const std::string name, zone;
    const Type& type;
    const bool spot;
    const TimePoint rented;
    TimePoint up{}, gone = TimePoint::max();
    std::uint64_t shift = 1, tally = 0, baton = 0;
    std::map<Key, Task> tasks;
    TimePoint lease_from = Clock::now();
    bool changed = true;
    bool faulty = false;         // every task that it starts fails
    bool cut = false;            // the machine has lost the network; its tasks go on
    json last_report;            // as sent to a controller
    std::string last_answered_by;  // the controller that last answered 200
    std::uint64_t answers = 0;     // reports that were answered 200

    Worker(const Deployment& deployment, std::string n, const Type& t, std::string z, bool is_spot)
        : d(deployment), name(std::move(n)), zone(std::move(z)), type(t), spot(is_spot), rented(Clock::now()) {
        server_ = std::make_unique<Server>([this](const Request& r) { return handle(r); });
    }
    const std::string& address() const { return server_->address(); }
    bool running() const { return up != TimePoint{} && gone == TimePoint::max(); }
    void start() {
        {
            std::lock_guard guard(lock);
            up = lease_from = Clock::now();
        }
        std::thread([this] { report_loop(); }).detach();
    }
    static std::string job_of(const std::string& task) { return task.substr(0, task.rfind('/')); }
    static std::uint32_t index_of(const std::string& task) {
        return static_cast<std::uint32_t>(std::stoul(task.substr(task.rfind('/') + 1)));
    }
    // What its tasks leave free.
    void room(double& cpus, double& gpus, double& mem) const {
        cpus = type.cpus, gpus = type.gpus, mem = type.mem_gb;
        for (auto& [key, task] : tasks) {
            if (task.state == "ended") continue;
            auto job = jobs.find(job_of(key.first));
            if (job == jobs.end()) continue;
            cpus -= job->second.spec["vcpus"].get<double>();
            gpus -= job->second.spec["cards"].get<double>();
            mem -= job->second.spec["mem_gb"].get<double>();
        }
    }
    bool has_room(const json& spec) const {
        double cpus, gpus, mem;
        room(cpus, gpus, mem);
        return spec["vcpus"] <= cpus + 1e-6 && spec["cards"] <= gpus + 1e-6 && spec["mem_gb"] <= mem + 1e-6;
    }
    void end(Task& task, const char* why) {
        task.state = "ended";
        task.why = why;
        changed = true;
    }
    // Whether an attempt of the task is on this machine: it has its image, and may go on.
    bool holds(const std::string& task) const {
        if (up == TimePoint{} || gone != TimePoint::max() || Clock::now() - lease_from > secs(d.lease_s)) return false;
        for (auto& [key, t] : tasks)
            if (key.first == task && t.state != "ended" && t.state != "pulling") return true;
        return false;
    }
    // Leases, fetches and ends of tasks.
    void tick(TimePoint now) {
        if (now - lease_from > secs(d.lease_s)) {
            if (!tasks.empty()) record("worker %s: lease expired, %zu tasks killed", name.c_str(), tasks.size());
            tasks.clear();
            ++shift;
            lease_from = now;
            changed = true;
            return;
        }
        for (auto& [key, task] : tasks) {
            if (task.state == "ended") continue;
            Job& job = jobs.at(job_of(key.first));
            const auto index = index_of(key.first);
            const double in_state = Seconds(now - task.since).count();
            if (task.state == "pulling" && in_state >= job.image_s) {
                if (job.done.contains(index)) {
                    end(task, "done");
                } else {
                    task.state = job.gang() ? "waiting" : "running";
                    task.since = now;
                    job.ever_started.insert(index);
                    changed = true;
                    on_start(*this, key);
                    if (faulty) end(task, "error");
                }
            } else if (task.state == "waiting" && in_state >= d.gang_wait_s) {
                end(task, "alone");
            } else if (task.state == "running" && !job.gang() && !job.daemon() && in_state >= job.run_s(index)) {
                job.done.insert(index);
                end(task, "done");
            }
        }
    }

    // Called under `lock` when a task starts.
    static inline std::function<void(const Worker&, const Key&)> on_start = [](auto&, auto&) {};

  private:
    json report() {
        json parcels = json::array();
        for (auto& [key, task] : tasks) {
            json p{{"parcel", key.first}, {"try", key.second}, {"standing", task.state}};
            if (!task.why.empty()) p["cause"] = task.why;
            parcels.push_back(std::move(p));
        }
        return {{"barrow", name}, {"endpoint", address()}, {"build", type.name}, {"yard", zone},   {"loaners", spot},
                {"shift", shift}, {"tally", ++tally},      {"baton", baton},     {"recall_s", nullptr}, {"parcels", std::move(parcels)}};
    }
    void see(std::uint64_t token) {
        if (token <= baton) return;
        baton = token;
        if (Clock::now() - token_change_ > secs(d.lease_s / 2)) {
            token_change_ = Clock::now();
            changed = true;
        }
    }
    void execute(const json& orders) {
        for (auto& o : orders) {
            Key key{o["parcel"], o["try"]};
            auto it = tasks.find(key);
            if (o["verb"] == "launch") {
                if (it == tasks.end()) launch(key);
            } else if (it == tasks.end()) {
                continue;
            } else if (o["verb"] == "kill") {
                if (it->second.state != "ended") end(it->second, "stopped");
            } else if (it->second.state == "ended") {
                tasks.erase(it);
                changed = true;
            }
        }
    }
    void launch(const Key& key) {
        auto job = jobs.find(job_of(key.first));
        bool busy = false;
        for (auto& [k, t] : tasks) busy |= k.first == key.first && t.state != "ended";
        bool fits = job != jobs.end() && has_room(job->second.spec);
        Task& task = tasks[key];
        changed = true;
        if (job == jobs.end() || index_of(key.first) >= job->second.tasks())
            end(task, "unknown");
        else if (busy)
            end(task, "busy");
        else if (!fits)
            end(task, "full");
    }
    Answer handle(const Request& r) {
        std::unique_lock guard(lock);
        // What is sent to a machine without a network is lost; the sender gets no answer.
        for (const bool lost = cut; lost;) {
            guard.unlock();
            sleep_s(0.05);
            guard.lock();
            if (!cut) return {};
        }
        if (!running()) return {};
        tick(Clock::now());
        if (r.target == "/inspect") return {200, report()};
        if (r.target != "/commands" || !r.body.contains("baton") || !r.body.contains("shift")) return {400};
        if (r.body["baton"] < baton || r.body["shift"] != shift) return {409, report()};
        see(r.body["baton"]);
        if (r.body.contains("orders")) execute(r.body["orders"]);
        return {200, report()};
    }
    void report_loop() {
        Client client;
        std::size_t at = static_cast<std::size_t>(random_between(0, 0.999) * static_cast<double>(d.controllers.size()));
        TimePoint sent{};
        double period = 0;
        for (;; sleep_s(0.02)) {
            json body;
            std::uint64_t in_shift;
            {
                std::lock_guard guard(lock);
                if (!running()) return;
                if (cut) continue;
                const auto now = Clock::now();
                tick(now);
                if (now - sent < secs(changed ? 0.5 : period)) continue;
                sent = now;
                changed = false;
                period = d.report_s * random_between(0.75, 1.25);
                in_shift = shift;
                last_report = body = report();
            }
            Answer answer = client.call(d.controllers[at].second, "POST", "/hello", &body, 4);
            if (answer.status == 200) {
                std::lock_guard guard(lock);
                if (!running()) return;
                tick(Clock::now());
                const bool valid = answer.body.contains("baton") && answer.body["baton"] >= baton && shift == in_shift;
                if (!valid) continue;
                see(answer.body["baton"]);
                lease_from = std::max(lease_from, sent);
                last_answered_by = d.controllers[at].first;
                ++answers;
                if (answer.body.contains("orders")) execute(answer.body["orders"]);
                continue;
            }
            client.close();
            std::size_t next = (at + 1) % d.controllers.size();
            double pause = 1;
            if (answer.status == 421)
                for (std::size_t i = 0; i < d.controllers.size(); ++i)
                    if (i != at && answer.body.value("foreman", "") == d.controllers[i].first) next = i, pause = 0.1;
            at = next;
            sleep_s(pause);
            sent = TimePoint{};
        }
    }
    std::unique_ptr<Server> server_;
    TimePoint token_change_{};
};

class Cloud {
  public:
    std::vector<std::unique_ptr<Worker>> machines;  // never removed; guarded by `lock`
    // Further machines of a type in a zone that can be rented, by kind (spot or ordinary).
    std::map<std::tuple<std::string, std::string, bool>, int> left;
    int rental_requests = 0;
    int faulty_next = 0;     // so many of the machines that are rented next are faulty
    double next_boot_s = -1;  // boot time of the next rented machines; negative: 0.6 to 1.5 times the nominal one

    Cloud(const Deployment& d, std::vector<Type> types)
        : d_(d), types_(std::move(types)), requests_{d.cloud_rps, 2 * d.cloud_rps}, server_([this](const Request& r) { return handle(r); }) {
        std::thread([this] {
            for (;; sleep_s(0.05)) meet_gangs();
        }).detach();
    }
    const std::string& address() const { return server_.address(); }
    // A machine that is up already.
    void add_up(const std::string& type, const std::string& zone, bool spot = false) {
        Worker* w;
        {
            std::lock_guard guard(lock);
            w = add(type, zone, spot);
        }
        w->start();
    }
    // Takes all spot machines back without a notice.
    void take_spot_machines() {
        std::lock_guard guard(lock);
        for (auto& w : machines)
            if (w->spot && w->gone == TimePoint::max()) {
                record("cloud: spot machine %s taken back, %zu tasks", w->name.c_str(), w->tasks.size());
                w->gone = Clock::now();
                w->tasks.clear();
            }
    }

  private:
    const Type* find(const std::string& name) const {
        for (auto& t : types_)
            if (t.name == name) return &t;
        return nullptr;
    }
    Worker* add(const std::string& type, const std::string& zone, bool spot) {
        char name[16];
        std::snprintf(name, sizeof name, "n-%06zu", machines.size() + 1);
        machines.push_back(std::make_unique<Worker>(d_, name, *find(type), zone, spot));
        return machines.back().get();
    }
    // The tasks of a gang start together once all have their image, and complete together.
    void meet_gangs() {
        std::lock_guard guard(lock);
        std::map<std::pair<std::string, std::uint64_t>, std::vector<std::pair<Worker*, Worker::Task*>>> waiting, running;
        for (auto& w : machines)
            if (w->running())
                for (auto& [key, task] : w->tasks) {
                    const std::string job = Worker::job_of(key.first);
                    if (!jobs.contains(job) || !jobs.at(job).gang()) continue;
                    if (task.state == "waiting") waiting[{job, key.second}].push_back({w.get(), &task});
                    if (task.state == "running") running[{job, key.second}].push_back({w.get(), &task});
                }
        const auto now = Clock::now();
        for (auto& [key, list] : waiting)
            if (list.size() == jobs.at(key.first).tasks())
                for (auto& [w, task] : list) {
                    task->state = "running";
                    task->since = now;
                    w->changed = true;
                }
        for (auto& [key, list] : running) {
            Job& job = jobs.at(key.first);
            const double ran = Seconds(now - list.front().second->since).count();
            if (list.size() < job.tasks()) {
                for (auto& [w, task] : list) w->end(*task, "peers");
            } else if (ran >= job.run_s(0)) {
                for (std::uint32_t i = 0; i < job.tasks(); ++i) job.done.insert(i);
                for (auto& [w, task] : list) w->end(*task, "done");
            }
        }
    }
    Answer handle(const Request& r) {
        sleep_s(0.02);
        std::lock_guard guard(lock);
        requests_.fill();
        if (requests_.level < 1) return {429, {{"error", "rate"}}};
        requests_.level -= 1;
        const std::string path = r.target.substr(0, r.target.find('?'));
        if (r.method == "GET" && path == "/flavors") {
            json builds = json::array();
            for (auto& t : types_)
                builds.push_back({{"label", t.name}, {"vcpus", t.cpus}, {"cards", t.gpus}, {"mem_gb", t.mem_gb},
                                  {"local_gb", 80.0}, {"fetch_gb_per_s", 0.5}, {"price", t.price}, {"spot_price", t.price / 3},
                                  {"ready_s", t.boot_s}, {"yards", t.zones}});
            return {200, {{"builds", builds}}};
        }
        if (r.method == "GET" && path == "/rentals") return list(r);
        if (r.method == "POST" && path == "/rentals") return rent(r.body);
        if (r.method == "POST" && path == "/rentals/return") {
            for (auto& name : r.body["barrows"])
                for (auto& w : machines)
                    if (w->name == name && w->gone == TimePoint::max()) {
                        record("cloud: machine %s returned", w->name.c_str());
                        w->gone = Clock::now();
                        w->tasks.clear();
                    }
            return {200, json::object()};
        }
        return {400, {{"error", "no such request"}}};
    }
    Answer list(const Request& r) {
        auto query = query_of(r.target);
        const std::size_t page = query["page"].empty() ? 500 : std::stoul(query["page"]);
        const auto at = Clock::now() - secs(d_.list_lag_s);
        json out = json::array();
        bool more = false;
        for (auto& w : machines) {
            if (w->name <= query["since"] || w->rented > at || w->gone <= at) continue;
            if (out.size() == page) {
                more = true;
                break;
            }
            out.push_back({{"name_id", w->name}, {"endpoint", w->address()}, {"build", w->type.name}, {"yard", w->zone},
                           {"loaners", w->spot}, {"standing", w->up != TimePoint{} && w->up <= at ? "running" : "booting"},
                           {"age_s", Seconds(at - w->rented).count()}});
        }
        return {200, {{"barrows", out}, {"truncated", more}}};
    }
    Answer rent(const json& body) {
        const std::string hire = body["hire"], build = body["build"], yard = body["yard"];
        if (auto it = granted_.find(hire); it != granted_.end()) return {200, {{"barrows", it->second}}};
        const bool spot = body["loaners"];
        ++rental_requests;
        int& free = left[{build, yard, spot}];
        const int n = std::min(free, body["how_many"].get<int>());
        record("cloud: rental request for %d %s machines (%s, %s): %d", body["how_many"].get<int>(), spot ? "spot" : "ordinary",
               build.c_str(), yard.c_str(), std::max(n, 0));
        if (n <= 0) return {503, {{"error", "no capacity"}}};
        free -= n;
        json names = json::array();
        for (int i = 0; i < n; ++i) {
            Worker* w = add(build, yard, spot);
            names.push_back(w->name);
            w->faulty = faulty_next > 0 && faulty_next-- > 0;
            const double boot = next_boot_s >= 0 ? next_boot_s : w->type.boot_s * random_between(0.6, 1.5);
            std::thread([w, boot] {
                sleep_s(boot);
                record("cloud: machine %s is up", w->name.c_str());
                if (w->gone == TimePoint::max()) w->start();
            }).detach();
        }
        granted_[hire] = names;
        return {200, {{"barrows", names}}};
    }
    const Deployment& d_;
    std::vector<Type> types_;
    Bucket requests_;
    std::map<std::string, json> granted_;
    Server server_;
};

}  // namespace site
