#include "worker/process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <cerrno>
#include <system_error>

namespace barrowrun::worker {

Process::Process(net::asio::io_context& io, proc::Spawn what) : pidfd_(io), out_(io) {
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0) throw std::system_error(errno, std::generic_category(), "pipe");
    out_.assign(ends[0]);
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    what.output = ends[1];
    try {
        pid_ = proc::spawn(what);
    } catch (...) {
        ::close(ends[1]);
        throw;
    }
    ::close(ends[1]);
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
    std::vector<char> part(65536);
    auto ended = [this]() -> Task<> {
        while (!proc::ended(pidfd_.native_handle()))
            co_await pidfd_.async_wait(net::asio::posix::descriptor_base::wait_read,
                                       net::asio::use_awaitable);
    };
    auto read = [&]() -> Task<> {
        for (;;) {
            boost::system::error_code ec;
            co_await out_.async_wait(net::asio::posix::descriptor_base::wait_read,
                                     net::asio::redirect_error(net::asio::use_awaitable, ec));
            if (ec) co_return;
            // One portion at a time: a command that writes without end must not keep heartbeats from going
            // out.
            auto n = ::read(out_.native_handle(), part.data(), part.size());
            if (n > 0)
                output(part.data(), static_cast<std::size_t>(n));
            else if (n == 0)
                break;
        }
        co_await ended();
    };
    // The end of the process counts: something in the background may hold its output open.
    co_await (ended() || read());
    // The group may only be ended before its leader is reaped: until then its number is not given away again.
    ::kill(-pid_, SIGKILL);
    auto status = proc::reap(pid_);
    reaped_ = true;
    for (;;) {
        auto n = ::read(out_.native_handle(), part.data(), part.size());
        if (n <= 0) break;
        output(part.data(), static_cast<std::size_t>(n));
    }
    co_return status;
}

}  // namespace barrowrun::worker
