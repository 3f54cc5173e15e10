#include "worker/process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <cerrno>
#include <system_error>

namespace barrowrun::worker {

Process::Process(net::asio::io_context& io, proc::Spawn command) : pidfd_(io), output_(io) {
    int pipe_ends[2];
    if (::pipe2(pipe_ends, O_CLOEXEC) != 0) throw std::system_error(errno, std::generic_category(), "pipe");
    output_.assign(pipe_ends[0]);
    ::fcntl(pipe_ends[0], F_SETFL, O_NONBLOCK);
    command.output = pipe_ends[1];
    try {
        pid_ = proc::spawn(command);
    } catch (...) {
        ::close(pipe_ends[1]);
        throw;
    }
    ::close(pipe_ends[1]);
    try {
        pidfd_.assign(proc::watch(pid_));
    } catch (...) {
        ::kill(-pid_, SIGKILL);
        proc::reap(pid_);
        throw;
    }
}

Process::~Process() {
    if (reaped_) return;
    ::kill(-pid_, SIGKILL);
    proc::reap(pid_);
}

void Process::signal(int number) const {
    if (!reaped_) ::kill(-pid_, number);
}

Task<int> Process::wait(std::function<void(const char*, std::size_t)> output) {
    using namespace net::asio::experimental::awaitable_operators;
    std::vector<char> buffer(65536);
    auto ended = [this]() -> Task<> {
        while (!proc::ended(pidfd_.native_handle()))
            co_await pidfd_.async_wait(net::asio::posix::descriptor_base::wait_read,
                                       net::asio::use_awaitable);
    };
    auto read = [&]() -> Task<> {
        for (;;) {
            boost::system::error_code error;
            co_await output_.async_wait(net::asio::posix::descriptor_base::wait_read,
                                        net::asio::redirect_error(net::asio::use_awaitable, error));
            if (error) co_return;
            // One read per wait: a command that writes without pause must not keep the event loop from
            // sending heartbeats.
            auto bytes_read = ::read(output_.native_handle(), buffer.data(), buffer.size());
            if (bytes_read > 0)
                output(buffer.data(), static_cast<std::size_t>(bytes_read));
            else if (bytes_read == 0)
                break;
        }
        co_await ended();
    };
    // The wait ends with the process, not with its output: a background child may hold the pipe open.
    co_await (ended() || read());
    // The group is killed before its leader is reaped, because the process group ID may be reused afterwards.
    ::kill(-pid_, SIGKILL);
    auto status = proc::reap(pid_);
    reaped_ = true;
    for (;;) {
        auto bytes_read = ::read(output_.native_handle(), buffer.data(), buffer.size());
        if (bytes_read <= 0) break;
        output(buffer.data(), static_cast<std::size_t>(bytes_read));
    }
    co_return status;
}

}  // namespace barrowrun::worker
