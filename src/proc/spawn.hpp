#pragma once
// Starting child processes from a process with threads, and finding them again by a mark in their
// environment.
#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace barrowrun::proc {

struct Spawn {
    std::vector<std::string> argv;
    std::string dir;                         // empty: ours
    std::map<std::string, std::string> env;  // besides ours
    int output = -1;  // for its standard output and error; -1: it has ours, and our input
    bool own_group = true;
    std::uint64_t memory_bytes = 0;  // bound of the address space; 0: none
};

// The child dies with the thread that calls this. A command that can't be started exits with 126 or 127.
// Throws std::system_error if there can be no child.
pid_t spawn(const Spawn& what);
// Becomes readable when the process ends. Throws std::system_error.
int watch(pid_t pid);
bool ended(int watched);  // whether that descriptor says so now
// Waits for the process, and gives the exit status, or the signal's number, negative.
int reap(pid_t pid);

inline constexpr const char* mark_variable = "BARROW_WORKER";
// Processes that were started with this mark in their environment, by whomever.
std::vector<pid_t> marked(const std::string& mark);
// All of them are ended before this returns. Gives how many there were; throws if some don't end.
std::size_t end_marked(const std::string& mark);

}  // namespace barrowrun::proc
