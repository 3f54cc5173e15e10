#include "sim/worker.hpp"

namespace barrowrun::sim {
using net::http::verb;
using wire::Cause;
using wire::TaskState;

Worker::Worker(World& world, Checker& checker, Gangs& gangs, WorkerRules rules,
               std::vector<std::pair<std::string, std::string>> nodes, Checker::Where where,
               wire::Resources capacity)
    : world_(world),
      checker_(checker),
      gangs_(gangs),
      rules_(rules),
      nodes_(std::move(nodes)),
      where_(std::move(where)),
      capacity_(capacity),
      node_(world.random() % nodes_.size()),
      lease_from_(world.now()),
      next_(world.now()),
      self_(std::make_shared<Worker*>(this)) {
    world_.serve(name(), name(), [this](Request r, Answer a) {
        if (r.target == "/inspect") {
            if (!hung()) return a({200, wire::worker_heartbeat_json(say())});
            return;
        }
        if (late_until_ > world_.now() && world_.one_in(late_one_in_)) {
            world_.after(std::chrono::milliseconds(2000 + world_.random() % 14'000),
                         [this, body = std::move(r.body), alive = std::weak_ptr<Worker*>(self_)]() mutable {
                             if (!alive.expired() && alive_) receive(std::move(body), [](Response) {});
                         });
            return;
        }
        receive(std::move(r.body), std::move(a));
    });
    world_.every(50ms, [this, alive = std::weak_ptr<Worker*>(self_)] {
        if (alive.expired() || !alive_) return false;
        step();
        return true;
    });
}

void Worker::receive(Json body, Answer answer) {
    if (hung()) {
        held_.emplace_back(std::move(body), std::move(answer));
        return;
    }
    auto response = command(body);
    if (command_copies_until_ > world_.now() && response.status == 200 &&
        world_.one_in(command_copies_one_in_))
        send_copies(body);
    answer(std::move(response));
}

void Worker::send_copies(const Json& body) {
    const auto copies = 1 + world_.random() % 2;
    for (std::uint64_t i = 0; i < copies; ++i)
        world_.after(500ms + secs(world_.between(0, Seconds(command_copies_latest_).count())),
                     [this, body, alive = std::weak_ptr<Worker*>(self_)] {
                         if (alive.expired() || !alive_) return;
                         if (hung())
                             held_.emplace_back(body, [](Response) {});
                         else
                             command(body);
                     });
}

Worker::~Worker() {
    if (alive_) die();
}

void Worker::die() {
    if (!alive_) return;
    alive_ = false;
    world_.stop_serving(name());
    forget_tasks();
}

void Worker::forget_tasks() {
    for (auto& [a, t] : tasks_) {
        checker_.gone(name(), a);
        if (t.state != TaskState::exited) gangs_.lose(a);
    }
    tasks_.clear();
    reaped_.clear();
}

void Worker::hang(Nanos length) {
    hung_until_ = world_.now() + length;
    for (auto& [a, t] : tasks_)
        if (t.state != TaskState::exited) gangs_.lose(a);
}

bool Worker::runs(const std::string& job) const {
    return std::any_of(tasks_.begin(), tasks_.end(), [&](auto& kv) {
        return kv.first.task.job == job && kv.second.state != TaskState::exited;
    });
}

std::vector<std::string> Worker::jobs() const {
    std::set<std::string> out;
    for (auto& [a, t] : tasks_)
        if (t.state != TaskState::exited) out.insert(a.task.job);
    return {out.begin(), out.end()};
}

wire::WorkerHeartbeat Worker::say() {
    wire::WorkerHeartbeat r{name(),       name(), where_.type,    where_.zone, where_.spot,
                            agent_epoch_, ++seq_, fencing_token_, {},          {}};
    if (ends_at_) r.notice_s = std::max(0.0, Seconds(*ends_at_ - world_.now()).count());
    for (auto& [a, t] : tasks_) r.tasks.push_back({a, t.state, t.cause, t.stored});
    return r;
}

void Worker::exit(const wire::Attempt& a, Task& t, Cause cause) {
    t.state = TaskState::exited;
    t.cause = cause;
    checker_.gone(name(), a);
    if (cause != Cause::done) gangs_.lose(a);
    changed();
}

void Worker::end_session() {
    forget_tasks();
    ++agent_epoch_;
    lease_from_ = world_.now();
    in_flight_ = false;
    changed();
}

void Worker::step() {
    // Also while it hangs: one that goes on after its lease has nothing left.
    if (world_.now() - lease_from_ > rules_.lease) end_session();
    if (hung()) return;
    for (auto& [body, answer] : std::exchange(held_, {})) answer(command(body));
    for (auto& [a, t] : tasks_) {
        const auto* s = checker_.spec(a.task.job);
        if (t.state == TaskState::fetching && world_.now() >= t.ready) image_is_here(a, t, s);
        if (s && s->kind == wire::JobKind::gang) step_gang(a, t, *s);
        if (t.state == TaskState::running && t.fails && world_.now() >= *t.fails) {
            exit(a, t, Cause::error);
            continue;
        }
        if (t.state == TaskState::running && world_.now() >= t.ends) {
            results_.insert(a.task);
            checker_.finished(a.task);
            exit(a, t, Cause::done);
        }
        if (t.state == TaskState::saving && world_.now() >= t.saved_at) {
            t.stored = true;
            exit(a, t, Cause::stopped);
        }
    }
    if (!in_flight_ && world_.now() >= next_) heartbeat();
}

void Worker::image_is_here(const wire::Attempt& a, Task& t, const wire::JobSpec* spec) {
    checker_.started(where_, a);
    t.since = world_.now();
    changed();
    if (spec && spec->kind == wire::JobKind::gang) {
        t.state = TaskState::waiting;
        gangs_.arrive(a, spec->tasks);
        return;
    }
    t.state = TaskState::running;
    if (failures_until_ > world_.now() && world_.one_in(failures_one_in_))
        t.fails = world_.now() + std::chrono::milliseconds(world_.random() % 1000);
    // A result that was kept: it exits as soon as it has its image.
    t.ends = results_.contains(a.task) ? world_.now()
             : spec && spec->kind == wire::JobKind::service
                 ? Nanos::max()
                 : world_.now() + secs(spec ? spec->estimate_s : 1);
}

void Worker::step_gang(const wire::Attempt& a, Task& t, const wire::JobSpec& spec) {
    const auto started = gangs_.started(a), lost = gangs_.lost(a);
    if (t.state == TaskState::waiting) {
        if (started && !lost) {
            t.state = TaskState::running;
            t.ends = *started + secs(spec.estimate_s);
            changed();
        } else if (world_.now() - t.since > gangs_.rules().wait) {
            exit(a, t, Cause::alone);
        }
    } else if (t.state == TaskState::running && lost) {
        t.ends = Nanos::max();
        if (world_.now() - *lost > gangs_.rules().peer) exit(a, t, Cause::peers);
    }
}

void Worker::heartbeat() {
    in_flight_ = true;
    last_sent_ = world_.now();
    next_ = world_.now() +
            std::chrono::milliseconds(static_cast<long>(
                static_cast<double>(rules_.heartbeat.count() / 1'000'000) * world_.between(0.75, 1.25)));
    auto body = wire::worker_heartbeat_json(say());
    sent_heartbeats_.push_back(
        {agent_epoch_, [&world = world_, nodes = nodes_, from = name() + "-copy", body] {
             for (auto& [node, address] : nodes)
                 world.send({from, verb::post, "/hello", body, 0}, address, 4s, [](Reply) {});
         }});
    if (copies_until_ > world_.now() && world_.one_in(copies_one_in_))
        copies_(sent_heartbeats_.back().arrive);
    const auto sent = world_.now();
    const auto agent_epoch = agent_epoch_;
    world_.send({name(), verb::post, "/hello", std::move(body), 0}, nodes_[node_].second, 4s,
                [this, sent, agent_epoch, alive = std::weak_ptr<Worker*>(self_)](Reply r) {
                    if (alive.expired() || !alive_) return;
                    if (!hung()) return answered(agent_epoch, sent, r);
                    // A machine that hangs reads it when it goes on, if it isn't too late by then.
                    world_.at(hung_until_, [this, sent, agent_epoch, r, alive] {
                        if (alive.expired() || !alive_) return;
                        if (world_.now() - sent > 4s)
                            answered(agent_epoch, sent, Reply{});
                        else
                            answered(agent_epoch, sent, r);
                    });
                });
}

void Worker::answered(std::uint64_t agent_epoch, Nanos sent, const Reply& reply) {
    if (agent_epoch != agent_epoch_) return;
    if (world_.now() - lease_from_ > rules_.lease) return end_session();
    in_flight_ = false;
    if (reply.status == 421) {
        auto to = wire::parse_redirect(reply.body);
        for (std::size_t i = 0; to && i < nodes_.size(); ++i)
            if (nodes_[i].first == *to && i != node_) {
                node_ = i;
                next_ = world_.now() + std::chrono::milliseconds(world_.random() % 500);
                return;
            }
    }
    if (reply.status != 200) {
        node_ = (node_ + 1) % nodes_.size();
        next_ = world_.now() + 1s;
        return;
    }
    auto fencing_token = wire::parse_fencing_token(reply.body);
    if (!fencing_token || *fencing_token < fencing_token_) return;
    lease_from_ = sent;
    if (*fencing_token > fencing_token_) {
        fencing_token_ = *fencing_token;
        if (world_.now() - fencing_token_told_ > rules_.lease / 2)
            fencing_token_told_ = world_.now(), changed();
    }
    if (auto commands = wire::parse_commands(reply.body)) carry_out(*commands);
}

wire::Resources Worker::room() const {
    auto room = capacity_;
    for (auto& [a, t] : tasks_)
        if (t.state != TaskState::exited)
            if (auto* s = checker_.spec(a.task.job)) room -= s->need;
    return room;
}

void Worker::carry_out(const std::vector<wire::Command>& commands) {
    for (auto& c : commands) {
        auto it = tasks_.find(c.attempt);
        if (c.verb == wire::Verb::reap) {
            if (it != tasks_.end() && it->second.state == TaskState::exited) {
                reaped_.insert(c.attempt);
                tasks_.erase(it);
                changed();
            }
            continue;
        }
        if (c.verb == wire::Verb::kill) {
            if (it == tasks_.end() || it->second.state == TaskState::exited) continue;
            auto& t = it->second;
            auto* s = checker_.spec(c.attempt.task.job);
            if (t.state == TaskState::running && s && s->checkpoint_s > 0 && c.grace_s >= s->save_s) {
                t.state = TaskState::saving;
                t.saved_at = world_.now() + secs(s->save_s);
                changed();
            } else if (t.state != TaskState::saving || c.grace_s <= 0) {
                exit(c.attempt, t, Cause::stopped);
            }
            continue;
        }
        if (it != tasks_.end()) continue;
        if (reaped_.contains(c.attempt)) checker_.launched_again(where_, c.attempt);
        auto* s = checker_.spec(c.attempt.task.job);
        const bool busy = std::any_of(tasks_.begin(), tasks_.end(), [&](auto& kv) {
            return kv.first.task == c.attempt.task && kv.second.state != TaskState::exited;
        });
        Task t;
        t.ready = world_.now() + std::chrono::milliseconds(100 + world_.random() % 900);
        if (!s || busy || !s->need.fits(room())) {
            t.state = TaskState::exited;
            t.cause = !s ? Cause::unknown : busy ? Cause::busy : Cause::no_room;
        }
        tasks_[c.attempt] = t;
        changed();
    }
}

Response Worker::command(const Json& body) {
    auto fencing_token = wire::parse_fencing_token(body), agent_epoch = wire::parse_agent_epoch(body);
    auto commands = wire::parse_commands(body);
    if (!fencing_token || !agent_epoch || !commands) return {400, {{"error", "token and session"}}};
    if (world_.now() - lease_from_ > rules_.lease) end_session();
    if (*fencing_token < fencing_token_ || *agent_epoch != agent_epoch_)
        return {409, wire::worker_heartbeat_json(say())};
    if (*fencing_token > fencing_token_) {
        fencing_token_ = *fencing_token;
        if (world_.now() - fencing_token_told_ > rules_.lease / 2)
            fencing_token_told_ = world_.now(), changed();
    }
    carry_out(*commands);
    return {200, wire::worker_heartbeat_json(say())};
}

}  // namespace barrowrun::sim
