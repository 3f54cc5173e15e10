#include "depot/depot.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <set>

namespace barrowrun::depot {
namespace {

Json encoded_list(const std::vector<std::string>& list) {
    Json out = Json::array();
    for (auto& s : list) out.push_back(to_text(s));
    return out;
}

std::string decoded(const Json& v) {
    return from_text(v.get<std::string>());
}

std::vector<std::string> decoded_list(const Json& value, const char* key) {
    std::vector<std::string> out;
    if (auto it = value.find(key); it != value.end())
        for (auto& v : *it) out.push_back(decoded(v));
    return out;
}

// An exclusive lock on a file; the kernel releases it when the process that holds it ends.
struct Lock {
    int fd;
    explicit Lock(const fs::path& path) : fd(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644)) {
        if (fd < 0) throw FileError("open", path, errno);
        while (::flock(fd, LOCK_EX) != 0)
            if (errno != EINTR) throw FileError("lock", path, errno);
    }
    Lock(const Lock&) = delete;
    Lock& operator=(const Lock&) = delete;
    ~Lock() { ::close(fd); }
};

}  // namespace

Json to_json(const Description& d) {
    Json steps = Json::array();
    for (auto& s : d.steps)
        steps.push_back({{"run", to_text(s.run)}, {"echo", s.echo}, {"ignore", s.ignore}});
    Json env = Json::object();
    for (auto& [k, v] : d.env) env[to_text(k)] = to_text(v);
    return Json{{"job", wire::submission_json(d.spec)},
                {"shell", encoded_list(d.shell)},
                {"steps", std::move(steps)},
                {"dir", to_text(d.dir)},
                {"env", std::move(env)},
                {"inputs", encoded_list(d.inputs)},
                {"outputs", encoded_list(d.outputs)},
                {"private", d.in_private},
                {"must_produce", d.must_produce},
                {"delete_on_error", d.delete_on_error},
                {"fresh_outputs", d.fresh_outputs},
                {"directories", encoded_list(d.directories)},
                {"touch", encoded_list(d.touch)},
                {"protect", encoded_list(d.protect)},
                {"logs", encoded_list(d.logs)},
                {"limit_memory", d.limit_memory}};
}

Description parse_description(const Json& value) {
    Description d;
    auto spec = wire::parse_submission(value.at("job"));
    if (auto* wrong = std::get_if<std::string>(&spec)) throw std::runtime_error(*wrong);
    d.spec = std::get<wire::JobSpec>(std::move(spec));
    if (value.contains("shell")) d.shell = decoded_list(value, "shell");
    if (d.shell.empty()) throw std::runtime_error("shell: expected at least one word");
    for (auto& s : value.at("steps"))
        d.steps.push_back({decoded(s.at("run")), s.value("echo", true), s.value("ignore", false)});
    d.dir = decoded(value.at("dir"));
    if (auto it = value.find("env"); it != value.end())
        for (auto& [k, v] : it->items()) d.env[from_text(k)] = decoded(v);
    d.inputs = decoded_list(value, "inputs");
    d.outputs = decoded_list(value, "outputs");
    d.in_private = value.value("private", false);
    d.must_produce = value.value("must_produce", false);
    d.delete_on_error = value.value("delete_on_error", true);
    d.fresh_outputs = value.value("fresh_outputs", false);
    d.directories = decoded_list(value, "directories");
    d.touch = decoded_list(value, "touch");
    d.protect = decoded_list(value, "protect");
    d.logs = decoded_list(value, "logs");
    d.limit_memory = value.value("limit_memory", false);
    return d;
}

Json to_json(const Result& r) {
    return Json{{"status", r.status},      {"machine", r.machine},    {"cause", r.cause},
                {"step", to_text(r.step)}, {"tail", to_text(r.tail)}, {"output_bytes", r.output_bytes},
                {"ran_s", r.ran_s},        {"attempt", r.attempt}};
}

Result parse_result(const Json& v) {
    return Result{v.value("status", 0),           v.value("machine", ""),
                  v.value("cause", ""),           from_text(v.value("step", "")),
                  from_text(v.value("tail", "")), v.value("output_bytes", std::uint64_t{0}),
                  v.value("ran_s", 0.0),          v.value("attempt", std::uint64_t{0})};
}

Depot::Depot(fs::path root) : root_(std::move(root)) {
    for (auto* d : {"jobs", "runs", "final", "hints", "gangs", "saved"}) fs::create_directories(root_ / d);
}

void Depot::describe(const Description& d) const {
    write_whole(root_ / "jobs" / (d.spec.id + ".json"), to_json(d).dump());
}

std::optional<Description> Depot::description(const std::string& job) const {
    auto text = read_all(root_ / "jobs" / (job + ".json"));
    if (!text) return std::nullopt;
    return parse_description(Json::parse(*text));
}

fs::path Depot::run_dir(const wire::Attempt& a) const {
    return root_ / "runs" / a.task.job / std::to_string(a.task.index) / std::to_string(a.number);
}

void Depot::keep_result(const wire::Attempt& a, const Result& r) const {
    // Users read this file and the scheduler doesn't, so it isn't synced to disk.
    fs::create_directories(run_dir(a));
    auto path = run_dir(a) / "result.json", temporary = run_dir(a) / ".result";
    std::ofstream(temporary) << to_json(r).dump();
    fs::rename(temporary, path);
}

std::optional<Result> Depot::last_result(const wire::TaskId& task) const {
    std::set<std::uint64_t, std::greater<>> attempts;
    std::error_code ec;
    for (auto& e : fs::directory_iterator(root_ / "runs" / task.job / std::to_string(task.index), ec)) {
        auto name = e.path().filename().string();
        std::uint64_t n = 0;
        std::from_chars(name.data(), name.data() + name.size(), n);
        attempts.insert(n);
    }
    for (auto n : attempts)
        if (auto text = read_all(run_dir({task, n}) / "result.json")) return parse_result(Json::parse(*text));
    return std::nullopt;
}

std::optional<std::string> Depot::output(const wire::TaskId& task, std::uint64_t attempt,
                                         std::size_t most) const {
    std::ifstream in(run_dir({task, attempt}) / "out", std::ios::binary | std::ios::ate);
    if (!in) return std::nullopt;
    auto size = static_cast<std::size_t>(in.tellg());
    auto n = std::min(size, most);
    in.seekg(static_cast<std::streamoff>(size - n));
    std::string out(n, '\0');
    in.read(out.data(), static_cast<std::streamsize>(n));
    return out;
}

fs::path Depot::final_path(const wire::TaskId& task, const char* extension) const {
    return root_ / "final" / (task.job + "." + std::to_string(task.index) + extension);
}

bool Depot::decide(const wire::TaskId& task, const Final& f) const {
    Json outputs = Json::array();
    for (auto& o : f.outputs)
        outputs.push_back({{"staged", to_text(o.staged)},
                           {"path", to_text(o.path)},
                           {"xxh128", o.hash},
                           {"mtime_ns", o.mtime_ns}});
    Json value{{"published", f.published},      {"why", to_text(f.why)},
               {"attempt", f.attempt},          {"machine", f.machine},
               {"outputs", std::move(outputs)}, {"removed", encoded_list(f.removed)}};
    return create_once(final_path(task, ".json"), value.dump());
}

std::optional<Final> Depot::final(const wire::TaskId& task) const {
    auto text = read_all(final_path(task, ".json"));
    if (!text) return std::nullopt;
    auto v = Json::parse(*text);
    Final f{v.at("published").get<bool>(),
            from_text(v.value("why", "")),
            v.value("attempt", std::uint64_t{0}),
            v.value("machine", ""),
            {},
            decoded_list(v, "removed")};
    for (auto& o : v.at("outputs"))
        f.outputs.push_back({decoded(o.at("staged")), decoded(o.at("path")), o.value("xxh128", ""),
                             o.value("mtime_ns", std::int64_t{0})});
    return f;
}

bool Depot::settled(const wire::TaskId& task) const {
    return fs::exists(final_path(task, ".ok"));
}

void Depot::settle(const wire::TaskId& task, const Final& f) const {
    if (!f.published || settled(task)) return;
    // The lock serializes processes that settle the same task: two that replace the same directory at once
    // could move the new directory away.
    Lock lock(final_path(task, ".lock"));
    if (settled(task)) return;
    std::set<fs::path> parents;
    for (auto& o : f.outputs) {
        fs::path staged = o.staged, path = o.path;
        std::error_code ec;
        // An earlier call has moved the file already: the staged name is unique to the attempt and is not
        // reused.
        if (!fs::exists(fs::symlink_status(staged, ec))) continue;
        fs::create_directories(path.parent_path());
        if (o.hash == made_directory) {
            fs::create_directories(path);
            parents.insert(path.parent_path());
            continue;
        }
        if (fs::is_directory(fs::symlink_status(path, ec)) ||
            fs::is_directory(fs::symlink_status(staged, ec))) {
            // rename(2) can't replace a directory, so the old one is renamed first.
            fs::path replaced = staged.string() + ".replaced";
            if (fs::exists(fs::symlink_status(path, ec))) {
                fs::remove_all(replaced, ec);
                fs::rename(path, replaced);
            }
        }
        if (::rename(staged.c_str(), path.c_str()) != 0 && errno != ENOENT)
            throw FileError("rename to", path, errno);
        parents.insert(path.parent_path());
    }
    for (auto& r : f.removed) {
        if (::unlink(r.c_str()) != 0 && errno != ENOENT) throw FileError("unlink", r, errno);
        parents.insert(fs::path(r).parent_path());
    }
    for (auto& p : parents)
        if (fs::exists(p)) sync_dir(p);
    // This file isn't synced: if it is lost, the next call repeats the moves, which changes nothing.
    std::ofstream(final_path(task, ".ok"));
}

void Depot::forget(const std::string& job) const {
    std::error_code ec;
    fs::remove(root_ / "jobs" / (job + ".json"), ec);
    fs::remove_all(root_ / "runs" / job, ec);
    fs::remove_all(root_ / "saved" / job, ec);
}

void Depot::hint(const std::string& job) const {
    std::ofstream(root_ / "hints" / job, std::ios::app);
}

std::optional<wire::TaskId> Depot::settled_name(const std::string& file) {
    if (!file.ends_with(".ok")) return std::nullopt;
    auto dot = file.find('.');
    return wire::TaskId::parse(file.substr(0, dot) + "/" + file.substr(dot + 1, file.size() - dot - 4));
}

fs::path stage_of(const fs::path& dir, const wire::Attempt& a) {
    return dir / ".barrowrun" / "stage" /
           (a.task.job + "." + std::to_string(a.task.index) + "." + std::to_string(a.number));
}

std::vector<fs::path> stages_of(const fs::path& dir, const wire::TaskId& task) {
    std::error_code ec;
    auto prefix = task.job + "." + std::to_string(task.index) + ".";
    std::vector<fs::path> out;
    for (auto& e : fs::directory_iterator(dir / ".barrowrun" / "stage", ec))
        if (e.path().filename().string().starts_with(prefix)) out.push_back(e.path());
    return out;
}

void sweep_stages(const fs::path& dir, const wire::TaskId& task) {
    std::error_code ec;
    for (auto& p : stages_of(dir, task)) fs::remove_all(p, ec);
}

fs::path Depot::gang_dir(const std::string& job, std::uint64_t attempt) const {
    return root_ / "gangs" / (job + "." + std::to_string(attempt));
}

fs::path Depot::saved_dir(const wire::TaskId& task) const {
    return root_ / "saved" / task.job / std::to_string(task.index);
}

}  // namespace barrowrun::depot
