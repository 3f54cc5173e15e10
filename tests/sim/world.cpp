#include "sim/world.hpp"

namespace barrowrun::sim {
namespace {
World* the_world = nullptr;
}

std::uint64_t wait_until(Nanos due, asio::io_context& process, std::unique_ptr<Completion> completion) {
    return World::current().wait(due, process, std::move(completion));
}
void end_wait(std::uint64_t id, boost::system::error_code ec) {
    if (the_world) the_world->end_wait(id, ec);
}

World::World(std::uint64_t seed) : random(seed), digest_(seed), network_(seed * 7919 + 1) {
    the_world = this;
    Present::now = Nanos{0};
    Present::rate = 1;
    Present::day_off = Nanos{0};
    Present::seed = static_cast<std::uint32_t>(seed);
}

World::~World() {
    the_world = nullptr;
}

World& World::current() {
    return *the_world;
}

std::uint64_t World::put(Nanos due, Event e) {
    auto id = next_++;
    due = std::max(due, now());
    due_[id] = due;
    queue_.emplace(std::pair(due, id), std::move(e));
    return id;
}

void World::at(Nanos when, std::function<void()> event) {
    put(when, {std::move(event), nullptr, nullptr});
}

void World::every(Nanos period, std::function<bool()> event) {
    after(period, [this, period, event = std::move(event)] {
        if (event()) every(period, event);
    });
}

std::uint64_t World::wait(Nanos due, asio::io_context& io, std::unique_ptr<Completion> completion) {
    return put(due, {{}, std::move(completion), &io});
}

void World::end_wait(std::uint64_t id, boost::system::error_code ec) {
    auto it = due_.find(id);
    if (it == due_.end()) return;
    auto node = queue_.extract({it->second, id});
    due_.erase(it);
    if (node.empty()) return;
    auto& e = node.mapped();
    if (auto p = processes_.find(e.io); p != processes_.end()) touched_.insert(p->second);
    e.completion->post(ec);
}

bool World::run(Process& p) {
    if (p.frozen_until > now()) {
        // What has come about meanwhile waits in its loop.
        at(p.frozen_until, [this, &p] { touched_.insert(&p); });
        return false;
    }
    Present::rate = p.rate;
    Present::day_off = p.day_off;
    p.io.restart();
    bool ran = p.io.poll() > 0;
    Present::rate = 1;
    Present::day_off = Nanos{0};
    return ran;
}

void World::pump() {
    while (!touched_.empty()) {
        // In the order in which they were added, not of their addresses.
        Process* first = nullptr;
        for (auto* p : touched_)
            if (!first || p->name < first->name) first = p;
        touched_.erase(first);
        for (int pass = 0; run(*first); ++pass)
            if (pass > 100'000) throw std::runtime_error(first->name + " goes on without time passing");
    }
}

void World::run_until(Nanos when) {
    for (;;) {
        pump();
        if (queue_.empty() || queue_.begin()->first.first > when) break;
        auto node = queue_.extract(queue_.begin());
        Present::now = node.key().first;
        due_.erase(node.key().second);
        ++events_;
        auto& e = node.mapped();
        if (e.scripted) {
            e.scripted();
        } else {
            if (auto p = processes_.find(e.io); p != processes_.end()) touched_.insert(p->second);
            e.completion->post({});
        }
    }
    Present::now = std::max(Present::now, when);
}

void World::end(Process& p) {
    p.dead = true;
    for (auto it = servers_.begin(); it != servers_.end();)
        it = it->second.process == &p ? servers_.erase(it) : std::next(it);
    touched_.erase(&p);
    // Destroying what waits posts the unwinding of coroutines to the loop; that may begin new waits.
    for (int pass = 0; pass < 100; ++pass) {
        std::vector<std::pair<Nanos, std::uint64_t>> mine;
        for (auto& [key, e] : queue_)
            if (e.io == &p.io) mine.push_back(key);
        std::vector<Event> gone;
        for (auto& key : mine) {
            due_.erase(key.second);
            gone.push_back(std::move(queue_.extract(key).mapped()));
        }
        gone.clear();
        p.io.restart();
        if (p.io.poll() == 0 && mine.empty()) break;
    }
    touched_.erase(&p);
}

void World::serve(const std::string& address, const std::string& name, Server server) {
    servers_[address] = {name, std::move(server), nullptr};
}

void World::listen(asio::io_context& io, const std::string& address, net::Handler handler) {
    Process& p = process_of(io);
    if (p.dead) return;
    auto serve_it = [this, &p, handler](Request request, Answer answer) {
        net::Request asked{request.method, request.target, ""};
        if (!request.body.is_null()) asked.body = wire::encode(request.body);
        touched_.insert(&p);
        asio::co_spawn(p.io, handler(std::move(asked)), [answer](std::exception_ptr e, Response r) {
            if (e) r = {503, {{"error", "internal"}}, 1};
            answer(std::move(r));
        });
    };
    servers_[address] = {p.name, std::move(serve_it), &p};
}

const Fault* World::fault_between(const std::string& from, const std::string& to, Direction direction) const {
    const Fault* worst = nullptr;
    for (auto& f : faults_) {
        if (f.until <= now() || (f.requests_only && direction == Direction::answer)) continue;
        if (f.hits(from, to) && (!worst || f.kind == Fault::Kind::drop)) worst = &f;
    }
    return worst;
}

void World::cut(const std::string& one, const std::string& other, Nanos length, Fault::Kind kind) {
    fault({kind, now() + length, [one, other](const std::string& from, const std::string& to) {
               return (from == one && to == other) || (from == other && to == one);
           }});
}

Nanos World::latency(const std::string& from, const std::string& to) {
    // The regional services answer in milliseconds, and now and then in a few hundred.
    auto draw = [this](std::uint64_t least, std::uint64_t most) {
        return std::chrono::microseconds(least + network_() % (most - least));
    };
    Nanos slower{0};
    if (slow_until_ > now())
        slower = Nanos(static_cast<Nanos::rep>(network_() % static_cast<std::uint64_t>(slow_by_.count())));
    if (from == "state" || to == "state")
        return slower + (network_() % 50 == 0 ? draw(5'000, 150'000) : draw(800, 3'000));
    if (from == "cloud" || to == "cloud") return slower + draw(20'000, 80'000);
    return slower + draw(150, 1'500);
}

void World::record(std::string_view kind, const Request& request, const std::string& address) {
    if (!digest_.enabled()) return;
    const auto body = request.body.is_null() ? std::string() : wire::encode(request.body);
    digest_.add_event(kind, now(),
                      {request.from, address, net::http::to_string(request.method), request.target, body});
}

void World::send(Request request, const std::string& address, Clock::duration deadline,
                 std::function<void(Reply)> done) {
    struct Open {
        std::function<void(Reply)> done;
    };
    auto open = std::make_shared<Open>(Open{std::move(done)});
    auto finish = [this, open, from = request.from, address](Reply r) {
        auto f = std::exchange(open->done, nullptr);
        if (!f) return;
        digest_.add_event("told", now(),
                          {from, address, std::to_string(r.status), r.may_execute ? "sent" : "not sent"});
        f(std::move(r));
    };
    record("request", request, address);
    digest_.add_event("deadline", now(), {std::to_string(deadline.count())});
    after(deadline, [finish] { finish(Reply{0, true, {}, false, {}}); });
    auto it = servers_.find(address);
    if (it == servers_.end()) {
        after(1ms, [finish] { finish(Reply{0, false, {}, false, {}}); });
        return;
    }
    const auto to = it->second.name;
    if (auto* f = fault_between(request.from, to, Direction::request)) {
        // No connection can be opened: nothing is sent. One that is open holds the request.
        if (f->kind == Fault::Kind::refuse) {
            after(1ms, [finish] { finish(Reply{0, false, {}, false, {}}); });
            return;
        }
        if (f->kind == Fault::Kind::drop || network_() % 2) return;
    }
    const auto delay = latency(request.from, to);
    after(delay, [this, request = std::move(request), address, finish]() mutable {
        deliver(std::move(request), address, finish);
    });
}

void World::deliver(Request request, const std::string& address, std::function<void(Reply)> done) {
    auto it = servers_.find(address);
    if (it == servers_.end()) {
        done(Reply{0, true, {}, false, {}});
        return;
    }
    record("arrival", request, address);
    const auto from = request.from, to = it->second.name;
    if (auto* f = fault_between(from, to, Direction::request)) {
        if (f->kind == Fault::Kind::hold)
            at(f->until + std::chrono::milliseconds(network_() % 50),
               [this, request = std::move(request), address, done]() mutable {
                   deliver(std::move(request), address, done);
               });
        return;
    }
    it->second.server(std::move(request), [this, from, to, done](Response r) {
        if (digest_.enabled())
            digest_.add_event(
                "answer", now(),
                {to, from, std::to_string(r.status), wire::encode(r.body), std::to_string(r.retry_after)});
        // The way back; a cut that began meanwhile holds or loses the answer.
        auto back = [this, from, to, done](Response answer) {
            auto arrive = [done, answer = std::move(answer)]() mutable {
                Reply reply;
                reply.status = answer.status;
                if (auto decoded = wire::decode(wire::encode(answer.body)))
                    reply.body = std::move(*decoded);
                else
                    reply.garbage = true;
                done(std::move(reply));
            };
            if (auto* f = fault_between(to, from, Direction::answer)) {
                if (f->kind == Fault::Kind::hold)
                    at(f->until + std::chrono::milliseconds(network_() % 50), std::move(arrive));
                return;
            }
            arrive();
        };
        after(latency(to, from), [back, r = std::move(r)]() mutable { back(std::move(r)); });
    });
}

}  // namespace barrowrun::sim
