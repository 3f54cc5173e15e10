#pragma once
// What workers and those who submit share through a common directory: descriptions of tasks, their output and
// results, and the one final answer of each task.
//
//   jobs/<job>.json               what to run, written before the job is submitted
//   runs/<job>/<index>/<try>/     out (captured output), result.json
//   final/<job>.<index>.json      the task's final answer: published, or given up; created once and for good
//   final/<job>.<index>.ok        what was published stands in its place
//   hints/<job>                   something became of the job: whoever waits may ask
//   gangs/<job>.<try>/<index>     a gang task that waits or runs, touched while it does
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
    bool echo = true;     // the command is shown before it runs
    bool ignore = false;  // its failure is none
};

// What a job's tasks do. Paths of outputs and inputs are relative to `dir`, or absolute.
struct Description {
    wire::JobSpec spec;
    std::vector<std::string> shell{"/bin/sh", "-c"};
    std::vector<Step> steps;
    std::string dir;
    std::map<std::string, std::string> env;
    std::vector<std::string> inputs, outputs;
    // Steps run in a directory of the attempt that shows `dir` by links; only a success is moved into place.
    // Otherwise they run in `dir` itself.
    bool in_private = false;
    bool must_produce = false;             // an output that is missing afterwards is a failure
    bool delete_on_error = true;           // of steps that run in `dir` itself: changed outputs are removed
    bool fresh_outputs = false;            // outputs are removed before the steps run
    std::vector<std::string> directories;  // outputs that are directories
    std::vector<std::string> touch;        // outputs to be made by touching them
    std::vector<std::string> protect;      // outputs that lose their write bits
    std::vector<std::string> logs;         // files that keep what a failed attempt wrote into them
    bool limit_memory = false;             // `mem_gb` bounds the address space
};
Json to_json(const Description& d);
// Throws std::runtime_error naming the field.
Description parse_description(const Json& value);

// How an attempt went, for people: the scheduler knows nothing of it.
struct Result {
    int status = 0;  // exit status; negative: the signal that ended it
    std::string machine, cause, step, tail;
    std::uint64_t output_bytes = 0;
    double ran_s = 0;
    std::uint64_t attempt = 0;
};
Json to_json(const Result& r);
Result parse_result(const Json& value);

// The hash of an output that is an empty directory to be made.
inline constexpr const char* made_directory = "directory";

// A file that a success puts in its place.
struct Output {
    std::string staged, path;  // both absolute
    std::string hash;          // empty for a directory
    std::int64_t mtime_ns = 0;
};
struct Final {
    bool published = false;  // false: given up, whatever an attempt may still bring
    std::string why;         // of giving up
    std::uint64_t attempt = 0;
    std::string machine;
    std::vector<Output> outputs;
    std::vector<std::string> removed;  // files that the steps removed
};

// Where the attempts of tasks that work in `dir` have their private directories.
fs::path stage_of(const fs::path& dir, const wire::Attempt& attempt);
std::vector<fs::path> stages_of(const fs::path& dir, const wire::TaskId& task);
// Once the task's final answer is settled.
void sweep_stages(const fs::path& dir, const wire::TaskId& task);

class Depot {
  public:
    explicit Depot(fs::path root);
    const fs::path& root() const { return root_; }
    void describe(const Description& d) const;  // durable
    std::optional<Description> description(const std::string& job) const;
    fs::path run_dir(const wire::Attempt& a) const;
    void keep_result(const wire::Attempt& a, const Result& r) const;
    // Of the newest attempt that left one.
    std::optional<Result> last_result(const wire::TaskId& task) const;
    std::optional<std::string> output(const wire::TaskId& task, std::uint64_t attempt,
                                      std::size_t most) const;

    // The one decision about a task. False: another was there before.
    bool decide(const wire::TaskId& task, const Final& final) const;
    std::optional<Final> final(const wire::TaskId& task) const;
    // Moves what was published into place, from whatever point an earlier try got to.
    void settle(const wire::TaskId& task, const Final& final) const;
    bool settled(const wire::TaskId& task) const;
    void forget(const std::string& job) const;  // removes its description, output and checkpoints
    // A sign for those who wait that something became of the job; it may be lost.
    void hint(const std::string& job) const;
    fs::path finals() const { return root_ / "final"; }
    fs::path hints() const { return root_ / "hints"; }
    // Of a file's name under finals(): the task whose answer stands in its place.
    static std::optional<wire::TaskId> settled_name(const std::string& file);

    fs::path gang_dir(const std::string& job, std::uint64_t attempt) const;
    fs::path saved_dir(const wire::TaskId& task) const;

  private:
    fs::path final_path(const wire::TaskId& task, const char* end) const;
    fs::path root_;
};

}  // namespace barrowrun::depot
