#pragma once
// Starts child processes from a multithreaded process, and finds and kills processes by a mark in their
// environment.
#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace barrowrun::proc {

// A command to start, with its environment and limits.
struct Spawn {
    std::vector<std::string> argv;
    std::string dir;                         // working directory; empty: that of the parent
    std::map<std::string, std::string> env;  // variables to set in addition to the parent's environment
    // Descriptor for standard output and standard error; standard input is then /dev/null. -1: the child
    // inherits all three from the parent.
    int output = -1;
    bool own_group = true;           // the child gets a process group of its own
    std::uint64_t memory_bytes = 0;  // limit of the address space; 0: no limit
};

// Starts the command and returns the child's process id. The child is killed when the calling thread ends.
// Its exit status is 126 if the directory can't be entered and 127 if the command can't be executed. Throws
// std::system_error if no child can be created.
pid_t spawn(const Spawn& what);
// Returns a descriptor that becomes readable when the process ends. Throws std::system_error.
int watch(pid_t pid);
bool ended(int watched);  // whether the process of a `watch` descriptor has ended
// Waits for the process. Returns its exit status, or the negative number of the signal that ended it.
int reap(pid_t pid);

inline constexpr const char* mark_variable = "BARROW_WORKER";
// Running processes whose environment has this value of `mark_variable`, whichever process started them.
std::vector<pid_t> marked(const std::string& mark);
// Kills all processes with this mark and returns their number once they have ended. Throws std::runtime_error
// if some are still running after 2 s of repeated SIGKILL.
std::size_t end_marked(const std::string& mark);

}  // namespace barrowrun::proc
