#include "lab/child.hpp"

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace barrowrun::lab {

Child::Child(net::asio::io_context& io, const What& what) : pidfd_(io) {
    proc::Spawn s;
    s.argv = what.argv;
    s.env = what.env;
    s.own_group = what.own_group;
    if (!what.log.empty()) {
        s.output = ::open(what.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        if (s.output < 0) throw std::system_error(errno, std::generic_category(), what.log);
    }
    pid_ = proc::spawn(s);
    if (s.output >= 0) ::close(s.output);
    try {
        pidfd_.assign(proc::watch(pid_));
    } catch (...) {
        ::kill(pid_, SIGKILL);
        proc::reap(pid_);
        throw;
    }
}

Child::~Child() {
    if (reaped_) return;
    ::kill(pid_, SIGKILL);
    proc::reap(pid_);
}

void Child::signal(int number) const {
    if (!reaped_) ::kill(pid_, number);
}

Task<int> Child::wait() {
    while (!proc::ended(pidfd_.native_handle()))
        co_await pidfd_.async_wait(net::asio::posix::descriptor_base::wait_read, net::asio::use_awaitable);
    auto status = proc::reap(pid_);
    reaped_ = true;
    co_return status < 0 ? 128 - status : status;
}

std::string free_address() {
    net::asio::io_context io;
    net::asio::ip::tcp::acceptor a(io, {net::asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(a.local_endpoint().port());
}

}  // namespace barrowrun::lab
