// The division of a job's progress among records (ProgressLayout in records.hpp).
#include <charconv>

#include "state/records.hpp"

namespace barrowrun::state {
namespace {

// For the names of the fields, the flags and the last failure.
constexpr std::size_t fixed_bytes = 1024;
// Most bytes of one task's failures in the record: index, count and attempt number.
constexpr std::size_t bytes_per_failed_task = 32;
// A bitmap of finished tasks has a character for each six of them (IndexSet::json).
constexpr std::size_t tasks_per_byte = 6;
constexpr std::size_t min_tasks_per_record = 384;

std::size_t tasks_per_record(bool counts_failures, std::size_t value_bytes) {
    std::size_t other_bytes = fixed_bytes;
    if (counts_failures) other_bytes += (max_failed_tasks(value_bytes) + 1) * bytes_per_failed_task;
    const std::size_t bitmap_bytes = value_bytes - std::min(value_bytes, other_bytes);
    return std::max(min_tasks_per_record, bitmap_bytes * tasks_per_byte);
}

std::optional<std::uint32_t> parse_number(std::string_view digits) {
    std::uint32_t number = 0;
    auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (error != std::errc{} || end != digits.data() + digits.size()) return std::nullopt;
    return number;
}

}  // namespace

std::size_t max_failed_tasks(std::size_t value_bytes) {
    return value_bytes / (2 * bytes_per_failed_task);
}

ProgressLayout::ProgressLayout(const wire::JobSpec& spec, std::size_t value_bytes)
    : tasks_(spec.tasks),
      width_(static_cast<std::uint32_t>(
          std::min<std::size_t>(wire::max_tasks, tasks_per_record(spec.retries.has_value(), value_bytes)))) {}

std::vector<TaskRange> ProgressLayout::parts() const {
    std::vector<TaskRange> out;
    for (auto first = main().end; first < tasks_; first = out.back().end)
        out.push_back({first, std::min(first + width_, tasks_)});
    return out;
}

std::string progress_part_key(const std::string& id, TaskRange tasks) {
    return progress_key(id) + "/" + std::to_string(tasks.first) + "-" + std::to_string(tasks.end);
}

std::optional<ProgressKey> parse_progress_key(const std::string& key) {
    constexpr std::string_view prefix = "progress/";
    if (!key.starts_with(prefix)) return std::nullopt;
    const std::string_view rest = std::string_view(key).substr(prefix.size());
    const auto slash = rest.find('/');
    ProgressKey out{std::string(rest.substr(0, slash)), std::nullopt};
    if (slash == std::string_view::npos) return out;
    const std::string_view range = rest.substr(slash + 1);
    const auto dash = range.find('-');
    if (dash == std::string_view::npos) return std::nullopt;
    const auto first = parse_number(range.substr(0, dash)), end = parse_number(range.substr(dash + 1));
    if (!first || !end || *first >= *end || *end > wire::max_tasks) return std::nullopt;
    out.part = TaskRange{*first, *end};
    return out;
}

Json progress_part_json(const IndexSet& done, TaskRange tasks) {
    IndexSet from_zero;
    const IndexSet members = done.within(tasks.first, tasks.end);
    for (auto [from, to] : members.ranges()) from_zero.insert_range(from - tasks.first, to - tasks.first);
    return Json{{"finished", from_zero.json(tasks.end - tasks.first)}};
}

std::optional<IndexSet> parse_progress_part(const Json& value, TaskRange tasks) {
    const Json* field = wire::find(value, "finished");
    auto from_zero = field ? IndexSet::parse(*field, tasks.end - tasks.first) : std::nullopt;
    if (!from_zero) return std::nullopt;
    IndexSet done;
    for (auto [from, to] : from_zero->ranges()) done.insert_range(from + tasks.first, to + tasks.first);
    return done;
}

IndexSet Progress::all_done() const {
    IndexSet all = done;
    for (auto& [tasks, part] : parts) all.insert(part);
    return all;
}

bool add_progress_record(std::optional<Progress>& progress, std::optional<TaskRange> part, const Json& value,
                         std::uint32_t tasks) {
    if (part) {
        auto done = parse_progress_part(value, *part);
        if (!done) return false;
        if (!progress) progress.emplace();
        progress->parts[*part] = done->within(0, tasks);
        return true;
    }
    auto main = parse_progress(value, tasks);
    if (!main) return false;
    if (progress) main->parts = std::move(progress->parts);
    progress = std::move(main);
    return true;
}

}  // namespace barrowrun::state
