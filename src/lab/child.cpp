#include "lab/child.hpp"

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>
#include <system_error>

namespace barrowrun::lab {

Child::Child(net::asio::io_context& io, const Command& command) : pidfd_(io) {
    proc::Spawn spawn;
    spawn.argv = command.argv;
    spawn.env = command.env;
    spawn.own_group = command.own_group;
    if (!command.log.empty()) {
        spawn.output = ::open(command.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        if (spawn.output < 0) throw std::system_error(errno, std::generic_category(), command.log);
    }
    pid_ = proc::spawn(spawn);
    if (spawn.output >= 0) ::close(spawn.output);
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
    // Each process searches on its own loopback address, derived from its process ID. On a shared address,
    // the search for another site's worker ports can take or briefly bind a port that is reserved for a
    // controller that does not listen yet, and the site then fails to start.
    const auto pid = static_cast<unsigned>(::getpid());
    const net::asio::ip::address_v4 own(0x7f400000u | (pid & 0x3fffffu));  // 127.64.0.0 to 127.127.255.255
    // The range lies below the ephemeral ports of outgoing connections.
    constexpr unsigned first = 10'000, last = 32'000;
    static unsigned next = first;
    net::asio::io_context io;
    for (unsigned attempts = first; attempts < last; ++attempts) {
        next = next + 1 < last ? next + 1 : first;
        net::asio::ip::tcp::endpoint endpoint(own, static_cast<unsigned short>(next));
        net::asio::ip::tcp::acceptor acceptor(io);
        boost::system::error_code error;
        acceptor.open(endpoint.protocol(), error);
        acceptor.bind(endpoint, error);
        if (!error) return own.to_string() + ":" + std::to_string(next);
    }
    throw std::runtime_error("no free port from 10000 to 31999 on the loopback address of this process");
}

}  // namespace barrowrun::lab
