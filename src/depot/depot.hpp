#pragma once
// A directory that workers and submitting clients share. It holds the descriptions of jobs, the output and
// results of their tasks, and one final record for each task.
//
//   jobs/<job>.json               the job's description, written before the job is submitted
//   runs/<job>/<index>/<try>/     out (captured output) and result.json of an attempt
//   final/<job>.<index>.json      the task's final record, published or given up; created once, never changed
//   final/<job>.<index>.ok        marker: the published outputs have been moved to their final paths
//   hints/<job>                   touched when the job may have changed, so that waiting clients ask for it
//   gangs/<job>.<try>/<index>     marker of a gang task that waits or runs, touched by its worker meanwhile
//   saved/<job>/<index>/          checkpoints
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "depot/files.hpp"
#include "wire/messages.hpp"
#include "wire/submission.hpp"

namespace barrowrun::depot {

using Json = nlohmann::json;

struct Step {
    std::string run;
    bool echo = true;     // print the command before it runs
    bool ignore = false;  // a failure of this command doesn't fail the task
};

// The commands, inputs and outputs of a job's tasks. Paths of inputs and outputs are relative to `dir` or
// absolute.
struct Description {
    wire::JobSpec spec;
    std::vector<std::string> shell{"/bin/sh", "-c"};
    std::vector<Step> steps;
    std::string dir;
    std::map<std::string, std::string> env;
    std::vector<std::string> inputs, outputs;
    // The steps run in a private directory of the attempt that contains links to the content of `dir`; the
    // outputs are moved to their final paths only if the attempt succeeds. Otherwise the steps run in `dir`
    // itself.
    bool in_private = false;
    bool must_produce = false;             // the attempt fails if an output is missing after the steps
    bool delete_on_error = true;           // after a failure in `dir` itself, changed outputs are removed
    bool fresh_outputs = false;            // existing outputs are removed before the steps run
    std::vector<std::string> directories;  // the outputs that are directories
    std::vector<std::string> touch;        // the outputs that are created by touching them
    std::vector<std::string> protect;      // the outputs that are made read-only
    std::vector<std::string> logs;         // log files, kept after a failed attempt
    bool limit_memory = false;             // the job's `mem_gb` limits the address space
};
Json to_json(const Description& d);
// Throws std::runtime_error if a field is missing or invalid.
Description parse_description(const Json& value);

// The outcome of an attempt, for users. The scheduler doesn't read it.
struct Result {
    int status = 0;  // exit status, or the negative number of the signal that ended the command
    std::string machine, cause, step, tail;
    std::uint64_t output_bytes = 0;
    double ran_s = 0;
    std::uint64_t attempt = 0;
};
Json to_json(const Result& r);
Result parse_result(const Json& value);

// The value of `Output::hash` for an empty directory that has to be created.
inline constexpr const char* made_directory = "directory";

// An output of a successful attempt, which is moved from `staged` to `path`.
struct Output {
    std::string staged, path;  // both absolute
    std::string hash;          // content hash; empty for a directory
    std::int64_t mtime_ns = 0;
};
// The final record of a task.
struct Final {
    bool published = false;  // false: the task was given up, and results of later attempts are discarded
    std::string why;         // the reason for which the task was given up
    std::uint64_t attempt = 0;
    std::string machine;
    std::vector<Output> outputs;
    std::vector<std::string> removed;  // files that the steps removed
};

// The private directory of an attempt whose task works in `dir`, and all such directories of a task.
fs::path stage_of(const fs::path& dir, const wire::Attempt& attempt);
std::vector<fs::path> stages_of(const fs::path& dir, const wire::TaskId& task);
// Removes the private directories of a task's attempts. Call it after the final record has been settled.
void sweep_stages(const fs::path& dir, const wire::TaskId& task);

class Depot {
  public:
    explicit Depot(fs::path root);
    const fs::path& root() const { return root_; }
    void describe(const Description& d) const;  // synced to disk
    std::optional<Description> description(const std::string& job) const;
    fs::path run_dir(const wire::Attempt& a) const;
    void keep_result(const wire::Attempt& a, const Result& r) const;
    // The result of the newest attempt that wrote one.
    std::optional<Result> last_result(const wire::TaskId& task) const;
    std::optional<std::string> output(const wire::TaskId& task, std::uint64_t attempt,
                                      std::size_t most) const;

    // Creates the final record of a task. Returns false if the task already has one, which then stays.
    bool decide(const wire::TaskId& task, const Final& final) const;
    std::optional<Final> final(const wire::TaskId& task) const;
    // Moves the published outputs to their final paths. Continues where an interrupted call stopped.
    void settle(const wire::TaskId& task, const Final& final) const;
    bool settled(const wire::TaskId& task) const;
    void forget(const std::string& job) const;  // removes the job's description, output and checkpoints
    // Notifies waiting clients that the job's state may have changed. The notification may be lost.
    void hint(const std::string& job) const;
    fs::path finals() const { return root_ / "final"; }
    fs::path hints() const { return root_ / "hints"; }
    // The task of a `.ok` marker, from the marker's file name in finals(); nothing for other files.
    static std::optional<wire::TaskId> settled_name(const std::string& file);

    fs::path gang_dir(const std::string& job, std::uint64_t attempt) const;
    fs::path saved_dir(const wire::TaskId& task) const;

  private:
    fs::path final_path(const wire::TaskId& task, const char* end) const;
    fs::path root_;
};

}  // namespace barrowrun::depot
