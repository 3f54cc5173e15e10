#include "worker/executor.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include "worker/stage.hpp"

namespace barrowrun::worker {
using namespace std::chrono_literals;

namespace {

constexpr std::size_t tail_bytes = 4096;

// What a task writes: up to a bound into a file, and its last part for whoever asks why it failed.
class Output {
  public:
    Output(const fs::path& path, std::uint64_t most) : most_(most) {
        fd_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    }
    Output(const Output&) = delete;
    Output& operator=(const Output&) = delete;
    ~Output() {
        if (fd_ >= 0) ::close(fd_);
    }
    void write(const char* data, std::size_t n) {
        total_ += n;
        if (fd_ >= 0 && kept_ < most_) {
            auto part = std::min<std::uint64_t>(n, most_ - kept_);
            // A full disk loses output, not the task.
            if (auto w = ::write(fd_, data, part); w > 0) kept_ += static_cast<std::uint64_t>(w);
        }
        if (n >= tail_bytes) {
            tail_.assign(data + n - tail_bytes, tail_bytes);
        } else {
            tail_.append(data, n);
            if (tail_.size() > 2 * tail_bytes) tail_.erase(0, tail_.size() - tail_bytes);
        }
    }
    void line(const std::string& text) { write((text + "\n").data(), text.size() + 1); }
    std::uint64_t total() const { return total_; }
    std::string tail() const {
        return tail_.size() > tail_bytes ? tail_.substr(tail_.size() - tail_bytes) : tail_;
    }

  private:
    int fd_ = -1;
    std::uint64_t most_, kept_ = 0, total_ = 0;
    std::string tail_;
};

// Whether anything under the directory was written since.
bool written_since(const fs::path& dir, std::chrono::system_clock::time_point since) {
    std::error_code ec;
    for (auto& e : fs::recursive_directory_iterator(dir, ec)) {
        struct stat s {};
        if (::stat(e.path().c_str(), &s) != 0 || !S_ISREG(s.st_mode)) continue;
        auto at = std::chrono::system_clock::time_point(
            std::chrono::duration_cast<std::chrono::system_clock::duration>(
                std::chrono::seconds(s.st_mtim.tv_sec) + std::chrono::nanoseconds(s.st_mtim.tv_nsec)));
        // File systems stamp by a clock that is a tick behind.
        if (at + 20ms >= since) return true;
    }
    return false;
}

}  // namespace

struct Executor::Running {
    Attempt attempt;
    depot::Description what;
    std::unique_ptr<Process> process;
    bool killed = false;
    std::optional<std::chrono::system_clock::time_point> asked_to_save;
    bool gang_over = false;
    TimePoint began{};
};

Executor::Executor(net::asio::io_context& io, Machine& machine, depot::Depot depot, ExecutorSettings settings,
                   std::function<void()> changed)
    : io_(io),
      machine_(machine),
      depot_(std::move(depot)),
      settings_(std::move(settings)),
      changed_(std::move(changed)) {}

template <class F>
Task<> Executor::aside(F work) {
    std::exception_ptr failed;
    co_await net::asio::co_spawn(
        pool_,
        [&]() -> Task<> {
            try {
                work();
            } catch (...) {
                failed = std::current_exception();
            }
            co_return;
        },
        net::asio::use_awaitable);
    if (failed) std::rethrow_exception(failed);
}

void Executor::act() {
    // Carrying out an action may bring about more of them.
    for (auto actions = machine_.take_actions(); !actions.empty(); actions = machine_.take_actions())
        for (auto& action : actions) {
            auto it = running_.find(action.attempt);
            if (action.kind == Action::term) {
                if (it == running_.end()) continue;
                it->second->asked_to_save = std::chrono::system_clock::now();
                if (it->second->process) it->second->process->signal(SIGTERM);
            } else if (action.kind == Action::kill) {
                if (it == running_.end()) continue;
                it->second->killed = true;
                if (it->second->process) it->second->process->signal(SIGKILL);
            } else {
                begin(action.attempt, action.kind);
            }
        }
}

void Executor::begin(const Attempt& a, Action::Kind kind) {
    auto duty = kind == Action::fetch ? fetch(a) : kind == Action::meet ? meet(a) : run(a);
    net::asio::co_spawn(io_, std::move(duty), [self = shared_from_this(), a](std::exception_ptr e) {
        if (!e) return;
        try {
            std::rethrow_exception(e);
        } catch (const std::exception& err) {
            spdlog::error("{}: {}", a.task.str(), err.what());
        }
        self->running_.erase(a);
        self->machine_.exited(a, false, false);
        self->changed_();
    });
}

void Executor::stop() {
    for (auto& [a, r] : running_) {
        r->killed = true;
        if (r->process) r->process->signal(SIGKILL);
    }
}

Task<> Executor::fetch(Attempt a) {
    std::optional<depot::Description> what;
    try {
        co_await aside([&] { what = depot_.description(a.task.job); });
    } catch (const std::exception& e) {
        spdlog::error("the description of {} can't be read: {}", a.task.job, e.what());
    }
    machine_.fetched(a, what ? &what->spec : nullptr, Clock::now());
    changed_();
}

Task<> Executor::meet(Attempt a) {
    auto what = depot_.description(a.task.job);
    if (!what) throw std::runtime_error("the description is gone");
    auto dir = depot_.gang_dir(a.task.job, a.number);
    fs::create_directories(dir);
    const auto own = dir / std::to_string(a.task.index);
    auto beat = [&] { depot::write_whole(own, settings_.machine); };
    beat();
    auto last = Clock::now();
    for (;;) {
        // Still waited for? A stop or the end of the wait ends this as well.
        if (!machine_.waits(a)) {
            std::error_code ec;
            fs::remove(own, ec);
            co_return;
        }
        std::uint32_t present = 0;
        for (std::uint32_t i = 0; i < what->spec.tasks; ++i) {
            std::error_code ec;
            auto at = fs::last_write_time(dir / std::to_string(i), ec);
            present += !ec && fs::file_time_type::clock::now() - at < settings_.gang_peer;
        }
        if (present == what->spec.tasks) break;
        co_await net::sleep_for(50ms);
        if (Clock::now() - last > settings_.gang_peer / 4) {
            last = Clock::now();
            beat();
        }
    }
    machine_.met(a);
    changed_();
}

Task<> Executor::hold_gang(std::shared_ptr<Running> r) {
    auto dir = depot_.gang_dir(r->attempt.task.job, r->attempt.number);
    while (!r->gang_over) {
        depot::write_whole(dir / std::to_string(r->attempt.task.index), settings_.machine);
        for (std::uint32_t i = 0; i < r->what.spec.tasks && !r->gang_over; ++i) {
            std::error_code ec;
            auto at = fs::last_write_time(dir / std::to_string(i), ec);
            bool over = fs::exists(dir / (std::to_string(i) + ".done"));
            if (over || (!ec && fs::file_time_type::clock::now() - at < settings_.gang_peer)) continue;
            machine_.peer_lost(r->attempt);
            changed_();
            co_return;
        }
        co_await net::sleep_for(settings_.gang_peer / 4);
    }
}

Task<> Executor::run(Attempt a) {
    auto r = std::make_shared<Running>();
    r->attempt = a;
    r->began = Clock::now();
    running_[a] = r;
    depot::Result result;
    result.machine = settings_.machine;
    result.attempt = a.number;
    bool done = false, gang = false;
    try {
        auto what = depot_.description(a.task.job);
        if (!what) throw std::runtime_error("the description is gone");
        r->what = std::move(*what);
        gang = r->what.spec.kind == wire::JobKind::gang;
        if (gang) net::asio::co_spawn(io_, hold_gang(r), net::asio::detached);
        done = co_await steps(r, result);
    } catch (const std::exception& e) {
        // Trouble of this machine, such as a full disk: the attempt fails and says why.
        result.cause = e.what();
        if (result.status == 0) result.status = 125;
    }
    if (!done) result.ran_s = Seconds(Clock::now() - r->began).count();
    if (!done) spdlog::info("{} failed: {} (status {})", a.task.str(), result.cause, result.status);
    try {
        co_await aside([&] {
            if (done) return;
            depot_.keep_result(a, result);
            depot_.hint(a.task.job);
        });
    } catch (const std::exception& e) {
        spdlog::warn("the result of {} can't be kept: {}", a.task.str(), e.what());
    }
    bool saved = false;
    if (!done && r->asked_to_save && !r->killed)
        saved = written_since(depot_.saved_dir(a.task), *r->asked_to_save);
    r->gang_over = true;
    if (gang) {
        auto own = depot_.gang_dir(a.task.job, a.number) / std::to_string(a.task.index);
        std::error_code ec;
        if (done)
            fs::rename(own, own.string() + ".done", ec);
        else
            fs::remove(own, ec);
    }
    running_.erase(a);
    machine_.exited(a, done, saved);
    changed_();
}

Task<bool> Executor::steps(std::shared_ptr<Running> r, depot::Result& result) {
    const auto& what = r->what;
    const auto& a = r->attempt;
    // The task's final answer may be there already: its machine was lost after it was given.
    if (auto final = depot_.final(a.task)) {
        if (final->published)
            co_await aside([&] { depot_.settle(a.task, *final); });
        else
            result.cause = "given up: " + final->why, result.status = 125;
        co_return final->published;
    }
    auto run_dir = depot_.run_dir(a);
    fs::create_directories(run_dir);
    Output out(run_dir / "out", settings_.output_bytes);
    Stage stage(what, a);
    co_await aside([&] { stage.prepare(); });
    fs::create_directories(depot_.saved_dir(a.task));
    proc::Spawn command;
    command.dir = stage.work().string();
    command.env = what.env;
    command.env["BARROW_JOB"] = a.task.job;
    command.env["BARROW_TASK"] = std::to_string(a.task.index);
    command.env["BARROW_TASKS"] = std::to_string(what.spec.tasks);
    command.env["BARROW_ATTEMPT"] = std::to_string(a.number);
    command.env["BARROW_SAVE_DIR"] = depot_.saved_dir(a.task).string();
    command.env["PWD"] = command.dir;
    command.env[proc::mark_variable] = settings_.mark;
    if (what.limit_memory)
        command.memory_bytes = static_cast<std::uint64_t>(what.spec.need.mem_gb * 1024 * 1024 * 1024);
    bool good = true;
    for (auto& step : what.steps) {
        if (r->killed || r->asked_to_save) {
            good = false;
            break;
        }
        if (step.echo) out.line(step.run);
        command.argv = what.shell;
        command.argv.push_back(step.run);
        r->process = std::make_unique<Process>(io_, command);
        auto status = co_await r->process->wait([&](const char* data, std::size_t n) { out.write(data, n); });
        r->process.reset();
        if (status == 0) continue;
        result.status = status;
        result.step = step.run;
        if (step.ignore && !r->killed) {
            out.line("(status " + std::to_string(status) + ", ignored)");
            result.status = 0;
            continue;
        }
        result.cause =
            status < 0 ? "signal " + std::to_string(-status) : "exit status " + std::to_string(status);
        good = false;
        break;
    }
    if (r->killed)
        result.cause = "killed";
    else if (r->asked_to_save)
        result.cause = "stopped";
    bool done = false;
    if (good && !r->killed && !r->asked_to_save) {
        depot::Final final;
        co_await aside([&] {
            try {
                final = stage.collect(a.number, settings_.machine);
            } catch (const std::runtime_error& e) {
                good = false;
                result.status = 1;
                result.cause = e.what();
            }
        });
        // Only a live lease may decide. Should this process hang right here and go on after its lease, the
        // decision is still made once: whoever comes second finds it.
        if (good && machine_.may_publish(a, Clock::now())) {
            result.output_bytes = out.total();
            result.tail = out.tail();
            result.ran_s = Seconds(Clock::now() - r->began).count();
            co_await aside([&] {
                // Whoever hears of the decision may ask how it went.
                depot_.keep_result(a, result);
                if (!depot_.decide(a.task, final)) final = depot_.final(a.task).value();
                if (final.published) depot_.settle(a.task, final);
            });
            done = final.published;
            if (!done) result.cause = "given up: " + final.why;
        } else if (good) {
            result.cause = "the lease ran out";
        }
    }
    result.output_bytes = out.total();
    result.tail = out.tail();
    co_await aside([&] {
        if (!done) stage.abandon();
    });
    // Nobody waits for the cleaning up after a success.
    if (done)
        net::asio::post(pool_, [root = stage.root()] {
            std::error_code ec;
            fs::remove_all(root, ec);
        });
    co_return done;
}

}  // namespace barrowrun::worker
