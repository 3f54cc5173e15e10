#pragma once
// What is kept in the state service: key layout and values.
//
//   leader              who leads; attached to the leader's hold; its version is the token
//   jobs/<id>           the job as accepted, written once by whichever node accepted it
//   progress/<id>       finished tasks, withdrawn or not; written by the leader only
//   past/<id>           final state of a finished job
//   sheets/<number>     machines, each with the attempts that may be on it
//   hires/<request>     a rental whose outcome is not known yet
//   catalog             machine types, so that a node can check jobs while the cloud is down
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wire/messages.hpp"
#include "wire/submission.hpp"

namespace barrowrun::state {

using wire::Json;

// A set of task numbers kept as ranges.
class IndexSet {
  public:
    static IndexSet full(std::uint32_t n);
    bool contains(std::uint32_t i) const;
    bool insert(std::uint32_t i);  // false if it was there
    bool erase(std::uint32_t i);
    void insert_range(std::uint32_t from, std::uint32_t to);  // [from, to)
    void insert(const IndexSet& others) {
        for (auto& [from, to] : others.ranges_) insert_range(from, to);
    }
    // Members in order. The set must not change meanwhile.
    template <class F>
    void each(F&& f) const {
        for (auto& [from, to] : ranges_)
            for (auto i = from; i < to; ++i) f(i);
    }
    std::uint32_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    std::optional<std::uint32_t> first() const;
    std::optional<std::uint32_t> next(std::uint32_t from) const;  // smallest member >= from
    const std::map<std::uint32_t, std::uint32_t>& ranges() const { return ranges_; }
    // Ranges, or a bitmap in text where ranges would be longer than that.
    Json json(std::uint32_t universe) const;
    static std::optional<IndexSet> parse(const Json& value, std::uint32_t universe);

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
    std::int64_t accepted_ms = 0;  // time of day; orders the queue and dates the deadline
};
Json to_json(const JobRecord& r);
std::optional<JobRecord> parse_job_record(const Json& value);

// Failures of one task. An attempt counts once: numbers only grow, so those up to `last` are counted.
struct TaskErrors {
    std::uint32_t count = 0;
    std::uint64_t last = 0;
    bool operator==(const TaskErrors&) const = default;
};

struct Progress {
    IndexSet done;
    bool cancelled = false;
    bool failed = false;  // cancelled by the scheduler itself: a task failed too often
    // Only of jobs that count their failures.
    std::map<std::uint32_t, TaskErrors> errors{};
    std::optional<wire::ErrorCount> total{};
};
Json to_json(const Progress& p, std::uint32_t tasks);
std::optional<Progress> parse_progress(const Json& value, std::uint32_t tasks);

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
    std::vector<wire::Attempt> attempts;  // may be on the machine
};
Json to_json(const MachineRecord& r);  // a list without field names: hundreds stand in a few values
std::optional<MachineRecord> parse_machine_record(const Json& value);
// A sheet is read whole or not at all.
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
