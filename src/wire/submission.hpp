#pragma once
// Job submissions and job statuses, as users send and receive them.
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "wire/codec.hpp"

namespace barrowrun::wire {

enum class JobKind { array, gang, service };
enum class Priority { production, high, normal, low };
inline constexpr int priority_levels = 4;
inline constexpr std::uint32_t max_tasks = 100'000;
inline constexpr std::uint32_t max_retries = 1'000;

struct Resources {
    double cpus = 0, gpus = 0, mem_gb = 0;
    bool fits(const Resources& room) const {
        constexpr double eps = 1e-6;
        return cpus <= room.cpus + eps && gpus <= room.gpus + eps && mem_gb <= room.mem_gb + eps;
    }
    Resources& operator+=(const Resources& o) {
        cpus += o.cpus, gpus += o.gpus, mem_gb += o.mem_gb;
        return *this;
    }
    Resources& operator-=(const Resources& o) {
        cpus -= o.cpus, gpus -= o.gpus, mem_gb -= o.mem_gb;
        return *this;
    }
};

struct JobSpec {
    std::string id, job_class, team;
    JobKind kind = JobKind::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 0;
    Resources need;
    std::string image;
    double image_gb = 0;
    std::optional<std::vector<std::string>> types;
    std::optional<std::string> zone;
    bool one_zone = false, spread = false, spot_ok = false;
    double estimate_s = 0, checkpoint_s = 0, save_s = 0;
    std::optional<double> deadline_s;
    // How often a task may fail and be retried; one more failure fails the job. Absent: tasks are retried
    // until the user cancels the job. This field is an extension of the platform's protocol.
    std::optional<std::uint32_t> retries;
    // Path of a project below the team, for nested quotas, such as "slips" or "slips/night". Empty: the team
    // itself. This field is an extension of the platform's protocol.
    std::string project;
    // Unknown fields of the submission: a node of a newer version finds them in the record of a job that a
    // node of an older version accepted. A field that can't be stored or has more than `max_extra_depth`
    // levels is left out, and so are all of them if they don't fit into `max_extra`.
    Json extra;
};
inline constexpr std::size_t max_extra = 1024;  // bytes of the unknown fields as JSON
// Levels of maps and lists in an unknown field that is kept. A record adds at most 5 levels of its own when
// it is listed, watched or sent to another cell, so that the whole stays far below `max_depth`.
inline constexpr int max_extra_depth = 8;

bool valid_job_id(std::string_view id);
// Returns the job, or one line that names the first missing or invalid field.
std::variant<JobSpec, std::string> parse_submission(const Json& body);
Json submission_json(const JobSpec& spec);

enum class JobState { queued, running, done, cancelled, failed };
std::optional<Priority> priority_of(const std::string& word);
const char* job_state_name(JobState s);
std::optional<JobState> parse_job_state(const std::string& word);

// The last failed attempt of a job with limited retries.
struct Failure {
    std::string task, machine;
    std::uint64_t attempt = 0;
};
struct ErrorCount {
    std::uint64_t errors = 0;
    std::optional<Failure> last;
};
Json error_count_json(const ErrorCount& c);
std::optional<ErrorCount> parse_error_count(const Json& value);

struct JobStatus {
    std::string id;
    JobState state = JobState::queued;
    std::uint64_t done = 0, running = 0;
    std::optional<ErrorCount> errors;  // only for jobs that set `retries`
};
Json status_json(const JobStatus& s);
std::optional<JobStatus> parse_status(const Json& body);
Json accepted_json(const std::string& id, JobState s);

}  // namespace barrowrun::wire
