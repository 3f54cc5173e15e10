#include "proc/spawn.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <cstring>
#include <fstream>
#include <sstream>
#include <system_error>
#include <thread>

extern char** environ;

namespace barrowrun::proc {
namespace {

[[noreturn]] void exit_with_message(const char* name, const char* message, int status) {
    [[maybe_unused]] auto n = ::write(2, name, std::strlen(name));
    n = ::write(2, message, std::strlen(message));
    ::_exit(status);
}

}  // namespace

pid_t spawn(const Spawn& command) {
    // All memory is allocated before vfork: between vfork and exec only plain system calls are safe.
    std::vector<char*> argv;
    for (auto& a : command.argv) argv.push_back(const_cast<char*>(a.c_str()));
    argv.push_back(nullptr);
    std::map<std::string, std::string> env;
    for (char** e = environ; *e; ++e)
        if (const char* eq = std::strchr(*e, '='))
            env[std::string(*e, static_cast<std::size_t>(eq - *e))] = eq + 1;
    for (auto& [k, v] : command.env) env[k] = v;
    std::vector<std::string> pairs;
    for (auto& [k, v] : env) pairs.push_back(k + "=" + v);
    std::vector<char*> envp;
    for (auto& p : pairs) envp.push_back(p.data());
    envp.push_back(nullptr);
    const pid_t parent = ::getpid();
    // vfork suspends the calling thread until the exec, so the child never holds descriptors that the parent
    // closes in the meantime. With fork, the child held such descriptors for a moment, which kept them in the
    // reactor's epoll set: their late events were attributed to other descriptors, and running commands were
    // taken as ended.
    const pid_t pid = ::vfork();
    if (pid < 0) throw std::system_error(errno, std::generic_category(), "vfork");
    if (pid > 0) {
        if (command.own_group) ::setpgid(pid, pid);
        return pid;
    }
    if (command.own_group) ::setpgid(0, 0);
    // The kernel kills the child when the thread that started it ends. Processes that the child has started
    // are not killed with it; `marked` finds them by their environment.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(125);
    if (command.output >= 0) {
        int null = ::open("/dev/null", O_RDONLY);
        if (null >= 0) ::dup2(null, 0);
        ::dup2(command.output, 1);
        ::dup2(command.output, 2);
    }
    sigset_t none;
    ::sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    ::signal(SIGPIPE, SIG_DFL);
    rlimit no_core{0, 0};
    ::setrlimit(RLIMIT_CORE, &no_core);
    if (command.memory_bytes) {
        rlimit memory{command.memory_bytes, command.memory_bytes};
        ::setrlimit(RLIMIT_AS, &memory);
    }
    if (!command.dir.empty() && ::chdir(command.dir.c_str()) != 0)
        exit_with_message(command.dir.c_str(), ": cannot change to this directory\n", 126);
    ::execvpe(argv[0], argv.data(), envp.data());
    exit_with_message(argv[0], ": cannot execute this command\n", 127);
}

int watch(pid_t pid) {
    auto fd = static_cast<int>(::syscall(SYS_pidfd_open, pid, 0));
    if (fd < 0) throw std::system_error(errno, std::generic_category(), "pidfd_open");
    return fd;
}

bool ended(int watched) {
    pollfd p{watched, POLLIN, 0};
    return ::poll(&p, 1, 0) > 0;
}

int reap(pid_t pid) {
    int status = 0;
    while (::waitpid(pid, &status, 0) < 0 && errno == EINTR) {
    }
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::vector<pid_t> marked(const std::string& mark) {
    const std::string wanted = std::string(mark_variable) + "=" + mark;
    std::vector<pid_t> out;
    DIR* proc = ::opendir("/proc");
    if (!proc) return out;
    while (dirent* e = ::readdir(proc)) {
        std::string name = e->d_name;
        pid_t pid = 0;
        auto [p, error] = std::from_chars(name.data(), name.data() + name.size(), pid);
        if (error != std::errc{} || p != name.data() + name.size() || pid == ::getpid()) continue;
        std::ifstream in("/proc/" + name + "/environ", std::ios::binary);
        std::string entry;
        bool matches = false;
        while (!matches && std::getline(in, entry, '\0')) matches = entry == wanted;
        if (!matches) continue;
        std::ifstream stat("/proc/" + name + "/stat");
        std::stringstream text;
        text << stat.rdbuf();
        auto line = text.str();
        auto close = line.rfind(") ");
        if (close != std::string::npos && line[close + 2] == 'Z') continue;
        out.push_back(pid);
    }
    ::closedir(proc);
    return out;
}

std::size_t end_marked(const std::string& mark) {
    std::size_t found = 0;
    for (int round = 0; round < 400; ++round) {
        auto pids = marked(mark);
        if (pids.empty()) return found;
        found = std::max(found, pids.size());
        for (auto pid : pids) ::kill(pid, SIGKILL);
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    throw std::runtime_error("processes with " + std::string(mark_variable) + "=" + mark +
                             " are still running after repeated SIGKILL");
}

}  // namespace barrowrun::proc
