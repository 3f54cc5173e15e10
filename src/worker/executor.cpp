#include "worker/executor.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include "wire/numbers.hpp"
#include "worker/stage.hpp"

namespace barrowrun::worker {
using namespace std::chrono_literals;

namespace {

constexpr std::size_t tail_bytes = 4096;

// Captures the output of a task: stores it in a file up to a size limit, and keeps the last `tail_bytes` in
// memory for the attempt's result, where they show why it failed.
class OutputCapture {
  public:
    OutputCapture(const fs::path& path, std::uint64_t max_bytes) : max_bytes_(max_bytes) {
        descriptor_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    }
    OutputCapture(const OutputCapture&) = delete;
    OutputCapture& operator=(const OutputCapture&) = delete;
    ~OutputCapture() {
        if (descriptor_ >= 0) ::close(descriptor_);
    }
    void write(const char* data, std::size_t n) {
        total_bytes_ += n;
        if (descriptor_ >= 0 && stored_bytes_ < max_bytes_) {
            auto part = std::min<std::uint64_t>(n, max_bytes_ - stored_bytes_);
            // A failed write, such as on a full disk, loses output but does not fail the task.
            if (auto w = ::write(descriptor_, data, part); w > 0)
                stored_bytes_ += static_cast<std::uint64_t>(w);
        }
        if (n >= tail_bytes) {
            tail_.assign(data + n - tail_bytes, tail_bytes);
        } else {
            tail_.append(data, n);
            if (tail_.size() > 2 * tail_bytes) tail_.erase(0, tail_.size() - tail_bytes);
        }
    }
    void line(const std::string& text) { write((text + "\n").data(), text.size() + 1); }
    std::uint64_t total() const { return total_bytes_; }
    std::string tail() const {
        return tail_.size() > tail_bytes ? tail_.substr(tail_.size() - tail_bytes) : tail_;
    }

  private:
    int descriptor_ = -1;
    std::uint64_t max_bytes_, stored_bytes_ = 0, total_bytes_ = 0;
    std::string tail_;
};

// Whether a regular file under the directory was modified at or after `since`.
bool written_since(const fs::path& dir, std::chrono::system_clock::time_point since) {
    std::error_code ec;
    for (auto& e : fs::recursive_directory_iterator(dir, ec)) {
        struct stat s {};
        if (::stat(e.path().c_str(), &s) != 0 || !S_ISREG(s.st_mode)) continue;
        auto at = std::chrono::system_clock::time_point(
            std::chrono::duration_cast<std::chrono::system_clock::duration>(
                std::chrono::seconds(s.st_mtim.tv_sec) + std::chrono::nanoseconds(s.st_mtim.tv_nsec)));
        // File systems take time stamps from a clock that may be one tick behind, hence the 20 ms margin.
        if (at + 20ms >= since) return true;
    }
    return false;
}

}  // namespace

struct Executor::RunningAttempt {
    Attempt attempt;
    depot::Description description;
    std::unique_ptr<Process> process;
    bool killed = false;
    std::optional<std::chrono::system_clock::time_point> save_requested_at;
    bool gang_finished = false;
    TimePoint started_at{};
};

Executor::Executor(net::asio::io_context& io, Machine& machine, depot::Depot depot, ExecutorSettings settings,
                   std::function<void()> changed)
    : io_(io),
      machine_(machine),
      depot_(std::move(depot)),
      settings_(std::move(settings)),
      changed_(std::move(changed)) {}

template <class F>
Task<> Executor::run_in_pool(F work) {
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
    // Starting an action may add further actions, so the queue is read until it is empty.
    for (auto actions = machine_.take_actions(); !actions.empty(); actions = machine_.take_actions())
        for (auto& action : actions) {
            auto it = running_.find(action.attempt);
            if (action.kind == Action::term) {
                if (it == running_.end()) continue;
                it->second->save_requested_at = std::chrono::system_clock::now();
                if (it->second->process) it->second->process->signal(SIGTERM);
            } else if (action.kind == Action::kill) {
                if (it == running_.end()) continue;
                it->second->killed = true;
                if (it->second->process) it->second->process->signal(SIGKILL);
            } else {
                start_action(action.attempt, action.kind);
            }
        }
}

void Executor::start_action(const Attempt& attempt, Action::Kind kind) {
    auto coroutine = kind == Action::fetch  ? fetch(attempt)
                     : kind == Action::meet ? wait_for_gang(attempt)
                                            : run(attempt);
    net::asio::co_spawn(io_, std::move(coroutine),
                        [self = shared_from_this(), attempt](std::exception_ptr e) {
                            if (!e) return;
                            try {
                                std::rethrow_exception(e);
                            } catch (const std::exception& err) {
                                spdlog::error("task {}: {}", attempt.task.str(), err.what());
                            }
                            self->running_.erase(attempt);
                            self->machine_.exited(attempt, false, false);
                            self->changed_();
                        });
}

void Executor::stop() {
    for (auto& [attempt, running] : running_) {
        running->killed = true;
        if (running->process) running->process->signal(SIGKILL);
    }
}

Task<> Executor::fetch(Attempt attempt) {
    std::optional<depot::Description> description;
    try {
        co_await run_in_pool([&] { description = depot_.description(attempt.task.job); });
    } catch (const std::exception& e) {
        spdlog::error("job {}: cannot read the description: {}", attempt.task.job, e.what());
    }
    machine_.fetched(attempt, description ? &description->spec : nullptr, Clock::now());
    changed_();
}

Task<> Executor::wait_for_gang(Attempt attempt) {
    auto description = depot_.description(attempt.task.job);
    if (!description) throw std::runtime_error("the description is gone");
    auto dir = depot_.gang_dir(attempt.task.job, attempt.number);
    fs::create_directories(dir);
    const auto own_file = dir / std::to_string(attempt.task.index);
    auto touch_own_file = [&] { depot::write_whole(own_file, settings_.machine); };
    touch_own_file();
    auto last_touch = Clock::now();
    for (;;) {
        // A stop command or the gang wait timeout ends the wait in Machine, and ends this loop as well.
        if (!machine_.waits(attempt)) {
            std::error_code ec;
            fs::remove(own_file, ec);
            co_return;
        }
        std::uint32_t present = 0;
        for (std::uint32_t i = 0; i < description->spec.tasks; ++i) {
            std::error_code ec;
            auto touched_at = fs::last_write_time(dir / std::to_string(i), ec);
            present += !ec && fs::file_time_type::clock::now() - touched_at < settings_.gang_peer;
        }
        if (present == description->spec.tasks) break;
        co_await net::sleep_for(50ms);
        if (Clock::now() - last_touch > settings_.gang_peer / 4) {
            last_touch = Clock::now();
            touch_own_file();
        }
    }
    machine_.met(attempt);
    changed_();
}

Task<> Executor::monitor_gang(std::shared_ptr<RunningAttempt> running) {
    auto dir = depot_.gang_dir(running->attempt.task.job, running->attempt.number);
    while (!running->gang_finished) {
        depot::write_whole(dir / std::to_string(running->attempt.task.index), settings_.machine);
        for (std::uint32_t i = 0; i < running->description.spec.tasks && !running->gang_finished; ++i) {
            std::error_code ec;
            auto touched_at = fs::last_write_time(dir / std::to_string(i), ec);
            bool peer_done = fs::exists(dir / (std::to_string(i) + ".done"));
            if (peer_done || (!ec && fs::file_time_type::clock::now() - touched_at < settings_.gang_peer))
                continue;
            machine_.peer_lost(running->attempt);
            changed_();
            co_return;
        }
        co_await net::sleep_for(settings_.gang_peer / 4);
    }
}

Task<> Executor::run(Attempt attempt) {
    auto running = std::make_shared<RunningAttempt>();
    running->attempt = attempt;
    running->started_at = Clock::now();
    running_[attempt] = running;
    depot::Result result;
    result.machine = settings_.machine;
    result.attempt = attempt.number;
    bool done = false, gang = false;
    try {
        auto description = depot_.description(attempt.task.job);
        if (!description) throw std::runtime_error("the description is gone");
        running->description = std::move(*description);
        gang = running->description.spec.kind == wire::JobKind::gang;
        if (gang) net::asio::co_spawn(io_, monitor_gang(running), net::asio::detached);
        done = co_await run_steps(running, result);
    } catch (const std::exception& e) {
        // A failure of this machine, such as a full disk, fails the attempt and is recorded as its cause.
        result.cause = e.what();
        if (result.status == 0) result.status = 125;
    }
    if (!done) result.ran_s = Seconds(Clock::now() - running->started_at).count();
    if (!done)
        spdlog::info("task {}: attempt failed: {} (status {})", attempt.task.str(), result.cause,
                     result.status);
    try {
        co_await run_in_pool([&] {
            if (done) return;
            depot_.keep_result(attempt, result);
            depot_.hint(attempt.task.job);
        });
    } catch (const std::exception& e) {
        spdlog::warn("task {}: cannot store the result: {}", attempt.task.str(), e.what());
    }
    bool saved = false;
    if (!done && running->save_requested_at && !running->killed)
        saved = written_since(depot_.saved_dir(attempt.task), *running->save_requested_at);
    running->gang_finished = true;
    if (gang) {
        auto own_file =
            depot_.gang_dir(attempt.task.job, attempt.number) / std::to_string(attempt.task.index);
        std::error_code ec;
        if (done)
            fs::rename(own_file, own_file.string() + ".done", ec);
        else
            fs::remove(own_file, ec);
    }
    running_.erase(attempt);
    machine_.exited(attempt, done, saved);
    changed_();
}

Task<bool> Executor::run_steps(std::shared_ptr<RunningAttempt> running, depot::Result& result) {
    const auto& description = running->description;
    const auto& attempt = running->attempt;
    // An earlier attempt may have recorded the final result before its machine was lost.
    if (auto final = depot_.final(attempt.task)) {
        if (final->published)
            co_await run_in_pool([&] { depot_.settle(attempt.task, *final); });
        else
            result.cause = "given up: " + final->why, result.status = 125;
        co_return final->published;
    }
    auto run_dir = depot_.run_dir(attempt);
    fs::create_directories(run_dir);
    OutputCapture output(run_dir / "out", settings_.output_bytes);
    Stage stage(description, attempt);
    co_await run_in_pool([&] { stage.prepare(); });
    fs::create_directories(depot_.saved_dir(attempt.task));
    proc::Spawn command;
    command.dir = stage.work().string();
    command.env = description.env;
    command.env["BARROW_JOB"] = attempt.task.job;
    command.env["BARROW_TASK"] = std::to_string(attempt.task.index);
    command.env["BARROW_TASKS"] = std::to_string(description.spec.tasks);
    command.env["BARROW_ATTEMPT"] = std::to_string(attempt.number);
    command.env["BARROW_SAVE_DIR"] = depot_.saved_dir(attempt.task).string();
    command.env["PWD"] = command.dir;
    command.env[proc::mark_variable] = settings_.mark;
    if (description.limit_memory)
        command.memory_bytes =
            wire::to_integer_saturated<std::uint64_t>(description.spec.need.mem_gb * 1024 * 1024 * 1024);
    bool succeeded = true;
    for (auto& step : description.steps) {
        if (running->killed || running->save_requested_at) {
            succeeded = false;
            break;
        }
        if (step.echo) output.line(step.run);
        command.argv = description.shell;
        command.argv.push_back(step.run);
        running->process = std::make_unique<Process>(io_, command);
        auto status =
            co_await running->process->wait([&](const char* data, std::size_t n) { output.write(data, n); });
        running->process.reset();
        if (status == 0) continue;
        result.status = status;
        result.step = step.run;
        if (step.ignore && !running->killed) {
            output.line("(status " + std::to_string(status) + ", ignored)");
            result.status = 0;
            continue;
        }
        result.cause =
            status < 0 ? "signal " + std::to_string(-status) : "exit status " + std::to_string(status);
        succeeded = false;
        break;
    }
    if (running->killed)
        result.cause = "killed";
    else if (running->save_requested_at)
        result.cause = "stopped";
    bool done = false;
    if (succeeded && !running->killed && !running->save_requested_at) {
        depot::Final final;
        co_await run_in_pool([&] {
            try {
                final = stage.collect(attempt.number, settings_.machine);
            } catch (const std::runtime_error& e) {
                succeeded = false;
                result.status = 1;
                result.cause = e.what();
            }
        });
        // The final result may only be recorded while the lease is valid. If this process hangs after the
        // check and resumes after the lease has expired, the result is still recorded only once:
        // Depot::decide fails for the attempt that comes second.
        if (succeeded && machine_.may_publish(attempt, Clock::now())) {
            result.output_bytes = output.total();
            result.tail = output.tail();
            result.ran_s = Seconds(Clock::now() - running->started_at).count();
            co_await run_in_pool([&] {
                // The attempt result is stored first, because clients may read it once the decision is
                // visible.
                depot_.keep_result(attempt, result);
                if (!depot_.decide(attempt.task, final)) final = depot_.final(attempt.task).value();
                if (final.published) depot_.settle(attempt.task, final);
            });
            done = final.published;
            if (!done) result.cause = "given up: " + final.why;
        } else if (succeeded) {
            result.cause = "the lease ran out";
        }
    }
    result.output_bytes = output.total();
    result.tail = output.tail();
    co_await run_in_pool([&] {
        if (!done) stage.abandon();
    });
    // The private directory of a successful attempt is removed in the background.
    if (done)
        net::asio::post(pool_, [root = stage.root()] {
            std::error_code ec;
            fs::remove_all(root, ec);
        });
    co_return done;
}

}  // namespace barrowrun::worker
