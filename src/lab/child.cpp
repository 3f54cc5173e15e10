#include "lab/child.hpp"

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <cerrno>
#include <random>
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
    // Below the ports that outgoing connections are given: between the choice and the listening one of those
    // was taken now and then, and the site did not come up.
    constexpr unsigned first = 10'000, last = 32'000;
    static unsigned next = first + std::random_device{}() % (last - first);
    net::asio::io_context io;
    for (unsigned tries = first; tries < last; ++tries) {
        next = next + 1 < last ? next + 1 : first;
        net::asio::ip::tcp::endpoint at(net::asio::ip::make_address("127.0.0.1"),
                                        static_cast<unsigned short>(next));
        net::asio::ip::tcp::acceptor a(io);
        boost::system::error_code ec;
        a.open(at.protocol(), ec);
        a.bind(at, ec);
        if (!ec) return "127.0.0.1:" + std::to_string(next);
    }
    throw std::runtime_error("no port is free below 32000");
}

}  // namespace barrowrun::lab
