#include "workflow/driver.hpp"

#include <sys/inotify.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>

namespace barrowrun::workflow {
using namespace std::chrono_literals;
using client::Answer;
using wire::JobState;

namespace {

constexpr std::size_t batch_size = 64;
constexpr int polls_after_hint = 8;

std::string job_of(const std::string& flow, const std::string& node) {
    auto n = depot::short_hash(flow + '\n' + node) % 1'000'000'000'000'000'000ULL;
    return "wk-" + std::to_string(n);
}

std::int64_t mtime_of(const struct stat& s) {
    return static_cast<std::int64_t>(s.st_mtim.tv_sec) * 1'000'000'000 + s.st_mtim.tv_nsec;
}

}  // namespace

Driver::Driver(net::asio::io_context& io, client::JobService& service, depot::Depot depot, Journal& journal,
               Rules& rules, FlowRecord flow, DriverSettings settings)
    : io_(io),
      service_(service),
      depot_(std::move(depot)),
      journal_(journal),
      rules_(rules),
      record_(std::move(flow)),
      settings_(std::move(settings)),
      flow_(rules.graph(), settings_.options),
      coroutines_(io),
      changed_(io) {
    // A node is known by its name, from run to run; of several of one name, by their order.
    std::map<std::string, int> seen;
    for (auto& n : rules.graph().nodes) {
        auto& count = seen[n.name];
        keys_.push_back(count == 0 ? n.name : n.name + "#" + std::to_string(count));
        ++count;
    }
}

std::string Driver::path(const std::string& file) const {
    return file.starts_with('/') ? file : settings_.dir + "/" + file;
}

void Driver::resume() {
    std::map<std::string, NodeId> by_key;
    for (NodeId n = 0; n < keys_.size(); ++n) by_key[keys_[n]] = n;
    for (auto& r : journal_.nodes(record_.id)) {
        auto it = by_key.find(r.node);
        if (it == by_key.end()) continue;  // the rules have changed: nobody asks for it any more
        jobs_on_record_[r.node] = r.job;
        if (r.state == NodeState::done)
            flow_.made_before(it->second);
        else
            flow_.resumed(it->second);
    }
}

Task<FlowState> Driver::run() {
    known_recipes_ = journal_.recipes();
    resume();
    if (!settings_.options.dry_run) {
        coroutines_.spawn("watch", std::shared_ptr<int>(), watch());
        coroutines_.spawn("sweep", std::shared_ptr<int>(), sweep());
    }
    flow_.begin();
    act();
    while (!flow_.over() && !broken_) {
        co_await changed_.wait(500ms);
        if (!cancelled_ && !settings_.options.dry_run && journal_.cancel_asked(record_.id)) cancel();
        act();
    }
    // Jobs that are to be stopped have been told so, or the site can't be reached.
    for (const auto end = Clock::now() + 10s; cancelling_ > 0 && Clock::now() < end;)
        co_await changed_.wait(100ms);
    coroutines_.cancel();
    if (broken_) std::rethrow_exception(broken_);
    auto state = cancelled_ ? FlowState::cancelled : flow_.failed() ? FlowState::failed : FlowState::done;
    if (!settings_.options.dry_run) {
        auto c = flow_.counts();
        journal_.progress(record_.id, static_cast<std::int64_t>(c.total),
                          static_cast<std::int64_t>(c.done + c.current), static_cast<std::int64_t>(c.failed));
        journal_.close(record_.id, state, now_ms());
        for (auto& r : journal_.nodes(record_.id)) {
            depot::sweep_stages(settings_.dir, {r.job, 0});
            if (r.state == NodeState::done) depot_.forget(r.job);
        }
    }
    co_return state;
}

void Driver::cancel() {
    if (cancelled_) return;
    cancelled_ = true;
    flow_.stop();
    // What nobody has any use for is stopped; what was published meanwhile is done.
    auto all = running_;
    for (auto& [job, s] : all) fail(s, "cancelled");
    changed_.wake();
}

void Driver::act() {
    try {
        std::vector<Handle> batch;
        for (auto actions = flow_.take_actions(); !actions.empty(); actions = flow_.take_actions()) {
            for (auto& a : actions) {
                switch (a.kind) {
                    case FlowAction::look:
                        flow_.looked(a.node, judge(a.node));
                        break;
                    case FlowAction::start:
                        prepare(a.node, batch);
                        break;
                    case FlowAction::remove:
                        remove(a.node);
                        break;
                    case FlowAction::cancel:
                        break;  // the sweep sees to what has not begun to run
                    case FlowAction::report: {
                        NodeReport r;
                        r.node = &rules_.graph().nodes[a.node];
                        r.state = flow_.state(a.node);
                        if (r.state == State::current && on_report && r.node->has_work) on_report(r);
                        break;
                    }
                }
            }
            while (batch.size() >= batch_size) {
                std::vector<Handle> part(batch.begin(), batch.begin() + batch_size);
                batch.erase(batch.begin(), batch.begin() + batch_size);
                coroutines_.spawn("begin", std::shared_ptr<int>(), begin(std::move(part)));
            }
        }
        if (!batch.empty()) coroutines_.spawn("begin", std::shared_ptr<int>(), begin(std::move(batch)));
        if (on_counts) on_counts(flow_.counts());
    } catch (...) {
        broken_ = std::current_exception();
        changed_.wake();
    }
}

Facts Driver::judge(NodeId n) {
    const auto& with = rules_.graph().nodes[n].judged_with;
    if (!with) return look(n);
    auto it = judged_.find(*with);
    if (it == judged_.end()) it = judged_.emplace(*with, look(n)).first;
    return it->second;
}

Facts Driver::look(NodeId n) {
    const auto& node = rules_.graph().nodes[n];
    Facts f;
    bool first = true;
    for (auto& o : node.outputs) {
        struct stat s {};
        if (::stat(path(o).c_str(), &s) != 0) {
            f.missing = true;
            continue;
        }
        auto t = mtime_of(s);
        f.oldest = first ? t : std::min(f.oldest, t);
        f.newest = std::max(f.newest, t);
        first = false;
    }
    if (settings_.changed_recipes && node.has_work && !f.missing)
        if (auto it = known_recipes_.find(key(n)); it != known_recipes_.end())
            f.recipe_changed = rules_.work(n, {}).fingerprint() != it->second;
    return f;
}

void Driver::prepare(NodeId n, std::vector<Handle>& batch) {
    const auto& node = rules_.graph().nodes[n];
    auto s = std::make_shared<Started>();
    s->node = n;
    s->since = Clock::now();
    s->work = rules_.work(n, flow_.newer(n));
    if (s->work.steps.empty() && s->work.touch.empty()) {
        flow_.nothing_to_do(n);
        return;
    }
    if (settings_.options.dry_run) {
        NodeReport r;
        r.node = &node;
        r.state = State::done;
        std::string all;
        for (auto& step : s->work.steps) all += step.run + "\n";
        r.why = all;
        if (on_report) on_report(r);
        flow_.started(n);
        Facts after;
        after.oldest = after.newest = std::numeric_limits<std::int64_t>::max();
        flow_.final(n, true, after);
        return;
    }
    auto known = jobs_on_record_.find(key(n));
    s->job = known != jobs_on_record_.end() ? known->second : job_of(record_.id, key(n));
    auto& spec = s->spec;
    spec.id = s->job;
    spec.job_class = s->work.job_class;
    spec.team = settings_.team;
    spec.kind = wire::JobKind::array;
    spec.priority = s->work.rank;
    spec.tasks = 1;
    spec.need = s->work.need;
    spec.image = s->work.image;
    spec.estimate_s = s->work.estimate_s;
    spec.retries = s->work.retries;
    spec.project = s->work.project;
    running_[s->job] = s;
    batch.push_back(s);
}

Task<> Driver::stop_job(std::string job) {
    co_await service_.cancel(job);
    --cancelling_;
    changed_.wake();
}

Task<> Driver::begin(std::vector<Handle> batch) {
    try {
        put_on_record(batch);
    } catch (...) {
        broken_ = std::current_exception();
        changed_.wake();
        co_return;
    }
    for (auto& s : batch) coroutines_.spawn("submit", std::shared_ptr<int>(), submit(s));
}

void Driver::put_on_record(const std::vector<Handle>& batch) {
    // Described, then on record, then submitted: whatever ends this process in between, its successor knows
    // the job by the same name, and finds what it is to run.
    std::vector<NodeRecord> records;
    for (auto& s : batch) {
        const auto& node = rules_.graph().nodes[s->node];
        depot::Description d;
        d.spec = s->spec;
        d.shell = s->work.shell;
        d.steps = s->work.steps;
        d.dir = settings_.dir;
        d.env = s->work.env;
        d.inputs = s->work.inputs;
        d.outputs = node.outputs;
        d.in_private = s->work.in_private;
        d.must_produce = s->work.must_produce;
        d.fresh_outputs = s->work.fresh_outputs;
        d.delete_on_error = s->work.delete_on_error;
        d.directories = s->work.directories;
        d.touch = s->work.touch;
        d.protect = s->work.protect;
        d.logs = s->work.logs;
        d.limit_memory = s->work.limit_memory;
        depot_.describe(d);
        records.push_back({key(s->node), s->job, NodeState::started, ""});
    }
    journal_.started(record_.id, records);
}

Task<> Driver::submit(Handle s) {
    bool said = false;
    while (running_.contains(s->job)) {
        auto outcome = co_await service_.submit(s->spec);
        if (!running_.contains(s->job)) co_return;
        if (outcome.answer == Answer::accepted) {
            s->submitted = true;
            flow_.started(s->node);
            // Known already, and perhaps over.
            conclude(s);
            s->asked = Clock::now();
            if (outcome.status.state != JobState::queued && outcome.status.state != JobState::running)
                co_await poll(s);
            act();
            co_return;
        }
        if (outcome.answer == Answer::refused || outcome.answer == Answer::unknown) {
            flow_.started(s->node);
            fail(s, "refused: " + outcome.why);
            co_return;
        }
        if (!said && on_note)
            on_note("the site does not take " + s->job + ": " + outcome.why + "; trying on");
        said = true;
    }
}

Task<> Driver::watch() {
    int fd = ::inotify_init1(IN_NONBLOCK | IN_CLOEXEC);
    if (fd < 0) co_return;  // the sweep finds everything, a little later
    net::asio::posix::stream_descriptor in(io_, fd);
    ::inotify_add_watch(fd, depot_.finals().c_str(), IN_CREATE | IN_MOVED_TO);
    int hints = ::inotify_add_watch(fd, depot_.hints().c_str(), IN_CREATE | IN_CLOSE_WRITE);
    alignas(inotify_event) char part[16384];
    for (;;) {
        co_await in.async_wait(net::asio::posix::descriptor_base::wait_read, net::asio::use_awaitable);
        auto n = ::read(fd, part, sizeof part);
        std::set<std::string> jobs;
        for (ssize_t at = 0; at < n;) {
            auto* e = reinterpret_cast<inotify_event*>(part + at);
            at += static_cast<ssize_t>(sizeof(inotify_event) + e->len);
            if (!e->len) continue;
            std::string name = e->name;
            if (e->wd == hints) {
                if (auto it = running_.find(name); it != running_.end()) it->second->eager = polls_after_hint;
            } else if (auto task = depot::Depot::settled_name(name)) {
                jobs.insert(task->job);
            }
        }
        for (auto& job : jobs)
            if (auto it = running_.find(job); it != running_.end()) conclude(it->second);
        if (!jobs.empty()) act();
    }
}

Task<> Driver::sweep() {
    // Every running job now and then; those of which something was heard, soon.
    for (std::size_t round = 0;; ++round) {
        co_await net::sleep_for(50ms);
        auto now = Clock::now();
        std::vector<Handle> due;
        // At most some dozens a second, however many run.
        auto pause = std::max<Clock::duration>(settings_.poll, running_.size() * 20ms);
        for (auto& [job, s] : running_) {
            if (!s->submitted) continue;
            if (s->eager > 0)
                --s->eager;
            else if (now - s->asked < pause)
                continue;
            due.push_back(s);
        }
        for (auto& s : due) {
            conclude(s);
            if (running_.contains(s->job)) co_await poll(s);
        }
        if (!due.empty()) act();
    }
}

Task<> Driver::poll(Handle s) {
    s->asked = Clock::now();
    auto outcome = co_await service_.status(s->job);
    if (!running_.contains(s->job)) co_return;
    if (outcome.answer == Answer::unknown) {
        // On record here and not there: the submission was lost on its way.
        s->submitted = false;
        coroutines_.spawn("submit", std::shared_ptr<int>(), submit(s));
        co_return;
    }
    if (outcome.answer != Answer::accepted) co_return;
    switch (outcome.status.state) {
        case JobState::failed:
            fail(s, "");
            break;
        case JobState::cancelled:
            fail(s, "cancelled");
            break;
        case JobState::done:
            conclude(s);
            if (running_.contains(s->job)) fail(s, "it is done, and left no result in the depot");
            break;
        case JobState::queued:
            // A failure has stopped the flow: what has not begun is not begun.
            if (flow_.failed() && !settings_.options.keep_going) fail(s, "cancelled");
            break;
        case JobState::running:
            break;
    }
}

void Driver::conclude(Handle s) {
    if (!running_.contains(s->job)) return;
    wire::TaskId task{s->job, 0};
    auto final = depot_.final(task);
    if (!final) return;
    if (final->published) depot_.settle(task, *final);
    finish(s, final->published, final->why);
}

void Driver::fail(Handle s, const std::string& why) {
    if (!running_.contains(s->job)) return;
    depot::Final given_up;
    given_up.why = why.empty() ? "failed" : why;
    wire::TaskId task{s->job, 0};
    // If an attempt has published after all, that is the answer.
    if (!depot_.decide(task, given_up)) {
        conclude(s);
        return;
    }
    if (why == "cancelled") {
        ++cancelling_;
        coroutines_.spawn("cancel", std::shared_ptr<int>(), stop_job(s->job));
    }
    finish(s, false, why);
}

void Driver::finish(Handle s, bool success, const std::string& why) {
    running_.erase(s->job);
    const auto& node = rules_.graph().nodes[s->node];
    NodeReport r;
    r.node = &node;
    r.job = s->job;
    r.took = Clock::now() - s->since;
    r.result = depot_.last_result({s->job, 0});
    if (!success) {
        r.why = why.empty() || why == "failed" ? (r.result ? r.result->cause : "failed") : why;
        r.state = State::failed;
    }
    journal_.finished(record_.id,
                      {key(s->node), s->job, success ? NodeState::done : NodeState::failed, r.why});
    if (success) journal_.remember_recipe(key(s->node), s->work.fingerprint());
    flow_.started(s->node);
    flow_.final(s->node, success, success ? look(s->node) : Facts{});
    if (on_report) on_report(r);
    changed_.wake();
}

void Driver::remove(NodeId n) {
    std::string names;
    for (auto& o : rules_.graph().nodes[n].outputs) {
        std::error_code ec;
        if (!settings_.options.dry_run && !std::filesystem::remove_all(path(o), ec)) continue;
        names += " " + o;
    }
    if (!names.empty() && on_note) on_note("rm" + names);
}

}  // namespace barrowrun::workflow
