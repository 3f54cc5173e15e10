#pragma once
// The private directory of an attempt. It mirrors the working directory with links, and files that the steps
// create in it are moved into the working directory only after a success, so other tasks never read partly
// written files.
//
// Layout: the parent directories of outputs and inputs are real directories; inputs are hard links, so that
// archivers see regular files; existing outputs are copies, so that steps may append to them; every other
// entry is a symbolic link. Writes outside the private directory, through absolute paths, `..` or a linked
// directory, take effect immediately; declared outputs among them are removed if a failed attempt changed
// them.
#include <map>
#include <set>

#include "depot/depot.hpp"

namespace barrowrun::worker {

namespace fs = std::filesystem;

class Stage {
  public:
    // The private directory is `dir`/.barrowrun/stage/<job>.<index>.<try>, where `dir` is the working
    // directory.
    Stage(const depot::Description& description, const wire::Attempt& attempt);
    // Removes outside outputs that earlier attempts of the task left partly written, and creates the mirror.
    // The private directories of earlier attempts stay until the task's final result is settled, because an
    // attempt that was presumed dead may still be the one that records it. Throws depot::FileError.
    void prepare();
    // The directory in which the steps run.
    const fs::path& work() const { return work_; }
    const fs::path& root() const { return root_; }
    // After a success: lists the outputs to publish, hashed and synced to disk. Throws std::runtime_error
    // with a message of one line if a required output is missing or would replace a directory by a file.
    depot::Final collect(std::uint64_t attempt, const std::string& machine);
    // After a failed or stopped attempt: removes changed outside outputs, moves the declared logs into the
    // working directory, and removes the private directory.
    void abandon();

  private:
    // How an entry of the working directory was mirrored.
    struct MirroredEntry {
        enum Kind { symlink, hard_link, copy, directory } kind;
        ino_t inode = 0;
        std::int64_t mtime_ns = 0;
        std::uintmax_t size = 0;
    };
    void mirror_directory(const fs::path& relative_path);
    void collect_changes(const fs::path& relative_path, depot::Final& final,
                         std::map<fs::path, fs::path>& moved);
    void add_output(const fs::path& relative_path, depot::Final& final);
    bool is_in_working_directory(const std::string& name) const;
    static void remove_changed_outside_outputs(const fs::path& stage);

    const depot::Description& description_;
    wire::TaskId task_;
    fs::path dir_, root_, work_;
    std::set<fs::path> parents_, outputs_, inputs_;
    std::set<fs::path> directory_outputs_;  // published as whole directories
    std::map<fs::path, MirroredEntry> mirrored_;
};

}  // namespace barrowrun::worker
