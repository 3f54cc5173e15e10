#include "lab/child.hpp"

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>
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
    // Each process chooses on a loopback address of its own, by its number. On one that is shared, what
    // looked for ports for another site's workers took, or held while it tried, what a controller had been
    // promised and did not listen at yet, and the site did not come up.
    const auto pid = static_cast<unsigned>(::getpid());
    const net::asio::ip::address_v4 own(0x7f400000u | (pid & 0x3fffffu));  // 127.64.0.0 to 127.127.255.255
    // Below the ports that outgoing connections are given.
    constexpr unsigned first = 10'000, last = 32'000;
    static unsigned next = first;
    net::asio::io_context io;
    for (unsigned tries = first; tries < last; ++tries) {
        next = next + 1 < last ? next + 1 : first;
        net::asio::ip::tcp::endpoint at(own, static_cast<unsigned short>(next));
        net::asio::ip::tcp::acceptor a(io);
        boost::system::error_code ec;
        a.open(at.protocol(), ec);
        a.bind(at, ec);
        if (!ec) return own.to_string() + ":" + std::to_string(next);
    }
    throw std::runtime_error("no port is free below 32000");
}

}  // namespace barrowrun::lab
