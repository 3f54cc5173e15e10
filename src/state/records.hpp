#pragma once
// Records in the state service: key layout and values.
//
//   leader              the leader node; attached to the leader's lease; its version is the fencing token
//   jobs/<id>           the accepted job, written once by the node that accepted it
//   progress/<id>       the job's finished tasks and whether it was cancelled; written only by the leader
//   progress/<id>/<first>-<end>
//                       finished tasks of a job that is too large for one record (ProgressLayout)
//   past/<id>           final state of a finished job
//   sheets/<number>     assignment shard: machines, each with the attempts that may be on it
//   hires/<request>     a provisioning request whose outcome is not known yet
//   catalog             machine types, with which a node can check jobs while the cloud is unavailable
#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wire/messages.hpp"
#include "wire/submission.hpp"

namespace barrowrun::state {

using wire::Json;

// A set of task indices, stored as ranges.
class IndexSet {
  public:
    static IndexSet full(std::uint32_t n);
    bool contains(std::uint32_t i) const;
    bool insert(std::uint32_t i);                             // false if the index was already a member
    bool erase(std::uint32_t i);                              // false if the index was not a member
    void insert_range(std::uint32_t from, std::uint32_t to);  // [from, to)
    void insert(const IndexSet& others) {
        for (auto& [from, to] : others.ranges_) insert_range(from, to);
    }
    // Calls `f` for each member in ascending order. `f` must not change the set.
    template <class F>
    void each(F&& f) const {
        for (auto& [from, to] : ranges_)
            for (auto i = from; i < to; ++i) f(i);
    }
    std::uint32_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    IndexSet within(std::uint32_t from, std::uint32_t to) const;  // the members in [from, to)
    std::optional<std::uint32_t> first() const;
    std::optional<std::uint32_t> next(std::uint32_t from) const;  // smallest member >= from
    const std::map<std::uint32_t, std::uint32_t>& ranges() const { return ranges_; }
    // Encodes the set as an array of ranges, or as a base64 bitmap if that is shorter. All members must be
    // less than `universe_size`.
    Json json(std::uint32_t universe_size) const;
    // Returns nothing if the value is malformed or has a member that is not less than `universe_size`.
    static std::optional<IndexSet> parse(const Json& value, std::uint32_t universe_size);

  private:
    std::map<std::uint32_t, std::uint32_t> ranges_;  // start -> end (exclusive)
    std::uint32_t size_ = 0;
};

std::string job_key(const std::string& id);
std::string progress_key(const std::string& id);
std::string finished_key(const std::string& id);
std::string assignment_shard_key(std::uint32_t number);
std::optional<std::uint32_t> parse_assignment_shard_key(const std::string& key);
std::string provisioning_key(const std::string& request);
inline constexpr const char* leader_key = "leader";
inline constexpr const char* catalog_key = "catalog";

struct JobRecord {
    wire::JobSpec spec;
    std::int64_t accepted_ms = 0;  // wall-clock time; orders the queue, and the deadline counts from it
};
Json to_json(const JobRecord& r);
std::optional<JobRecord> parse_job_record(const Json& value);

// Failures of one task. Each failed attempt is counted once: attempt numbers only grow, so all attempts up to
// `last` have been counted.
struct TaskFailures {
    std::uint32_t count = 0;
    std::uint64_t last = 0;  // attempt number
    bool operator==(const TaskFailures&) const = default;
};

// Tasks `first` to `end` - 1 of a job.
struct TaskRange {
    std::uint32_t first = 0, end = 0;
    auto operator<=>(const TaskRange&) const = default;
};

struct Progress {
    IndexSet done;
    bool cancelled = false;
    bool failed = false;  // the scheduler cancelled the job because a task failed too often
    // Present only for jobs that count their failures.
    std::map<std::uint32_t, TaskFailures> errors{};
    std::optional<wire::ErrorCount> total{};
    // Finished tasks that further records of the job have; not part of the job's main record.
    std::map<TaskRange, IndexSet> parts{};

    IndexSet all_done() const;
};
// The main record. `tasks`: all finished tasks in it are below this number.
Json to_json(const Progress& p, std::uint32_t tasks);
std::optional<Progress> parse_progress(const Json& value, std::uint32_t tasks);

// How the progress of a job is divided among records, so that each fits into a value of the state service
// whatever tasks have finished. The main record has the job's first tasks, its flags and its failures. Jobs
// whose progress fits into one value have no other record. A record's key names its tasks, so that a
// record of another layout (the limit of values is a setting) is never overwritten by one with fewer tasks.
class ProgressLayout {
  public:
    ProgressLayout(const wire::JobSpec& spec, std::size_t value_bytes);
    TaskRange main() const { return {0, std::min(width_, tasks_)}; }
    std::vector<TaskRange> parts() const;  // the tasks of each further record

  private:
    std::uint32_t tasks_, width_;
};
// Most tasks of a job whose failures its progress record can hold, while they aren't done.
std::size_t max_failed_tasks(std::size_t value_bytes);

std::string progress_part_key(const std::string& id, TaskRange tasks);
struct ProgressKey {
    std::string job;
    std::optional<TaskRange> part;  // nothing: the main record
};
std::optional<ProgressKey> parse_progress_key(const std::string& key);
// `done` may have members outside of `tasks`, which the record leaves out.
Json progress_part_json(const IndexSet& done, TaskRange tasks);
std::optional<IndexSet> parse_progress_part(const Json& value, TaskRange tasks);
// Adds what a record of the job says to what its other records say. `tasks`: the number of the job's tasks.
// False: the record is malformed, and nothing was added.
bool add_progress_record(std::optional<Progress>& progress, std::optional<TaskRange> part, const Json& value,
                         std::uint32_t tasks);

struct FinishedRecord {
    wire::JobState state = wire::JobState::done;
    std::uint32_t done = 0;
    std::optional<wire::ErrorCount> errors{};
};
Json to_json(const FinishedRecord& r);
std::optional<FinishedRecord> parse_finished_record(const Json& value);

struct MachineRecord {
    std::string name, address, type, zone;
    bool spot = false;
    std::int64_t provisioned_ms = 0;
    std::vector<wire::Attempt> attempts;  // attempts that may be on the machine
    // The latest agent epoch of the machine's worker in which any of them may have been launched; unknown in
    // records of earlier versions.
    std::optional<std::uint64_t> agent_epoch{};
};
// Encodes the record as an array without field names, because a few values hold hundreds of records.
Json to_json(const MachineRecord& r);
std::optional<MachineRecord> parse_machine_record(const Json& value);
// Returns nothing if any machine record of the assignment shard is malformed.
std::optional<std::vector<MachineRecord>> parse_assignment_shard(const Json& value);

struct ProvisioningRecord {
    std::string type, zone;
    bool spot = false;
    int count = 0;
};
Json to_json(const ProvisioningRecord& r);
std::optional<ProvisioningRecord> parse_provisioning_record(const Json& value);

struct LeaderRecord {
    std::string node, incarnation;
    std::uint64_t lease_id = 0, refresh_count = 0;
};
Json to_json(const LeaderRecord& r);
std::optional<LeaderRecord> parse_leader_record(const Json& value);

}  // namespace barrowrun::state
