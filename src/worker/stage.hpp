#pragma once
// The private directory of an attempt: it shows the working directory by links, and what the steps make in it
// is moved into place only after a success. Nothing half-written ever stands under a name that others read.
//
// How it looks: directories on the way to an output or an input are real ones; inputs are hard links, so that
// archivers see files; an output that exists is a copy, so that steps may append to it; all else is a
// symbolic link. What steps write outside of it, by absolute names, by `..` or into a linked directory,
// happens at once; of these, declared outputs that a failed attempt changed are removed.
#include <map>
#include <set>

#include "depot/depot.hpp"

namespace barrowrun::worker {

namespace fs = std::filesystem;

class Stage {
  public:
    // `dir`/.barrowrun/stage/<job>.<index>.<try>
    Stage(const depot::Description& what, const wire::Attempt& attempt);
    // Undoes what earlier attempts of the task left half-written outside, and builds the view. Their private
    // directories stay until the task's final answer is settled: one that was taken for dead may still be the
    // one that decides it. Throws depot::FileError.
    void prepare();
    // Where the steps run.
    const fs::path& work() const { return work_; }
    const fs::path& root() const { return root_; }
    // After a success: what is to be published, hashed and synced. Throws std::runtime_error with one line if
    // an output that must exist is missing.
    depot::Final collect(std::uint64_t attempt, const std::string& machine);
    // After anything else: changed outputs outside are removed, and the log of a failure is kept.
    void abandon();

  private:
    struct Seen {
        enum Kind { link, hard, copy, directory } kind;
        ino_t inode = 0;
        std::int64_t mtime_ns = 0;
        std::uintmax_t size = 0;
    };
    void mirror(const fs::path& rel);
    void walk(const fs::path& rel, depot::Final& out, std::map<fs::path, fs::path>& moved);
    void publish(const fs::path& rel, depot::Final& out);
    bool inside(const std::string& path) const;
    static void undo_outside(const fs::path& stage);

    const depot::Description& what_;
    wire::TaskId task_;
    fs::path dir_, root_, work_;
    std::set<fs::path> spine_, outputs_, inputs_, whole_;
    std::map<fs::path, Seen> seen_;
};

}  // namespace barrowrun::worker
