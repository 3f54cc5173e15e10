#include "worker/stage.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>

namespace barrowrun::worker {
namespace {
using depot::FileError;
using depot::Json;

constexpr const char* outside_outputs_file = "outside.json";

std::optional<struct stat> lstat_if_exists(const fs::path& path) {
    struct stat s {};
    if (::lstat(path.c_str(), &s) != 0) return std::nullopt;
    return s;
}

std::int64_t mtime_ns(const struct stat& s) {
    return static_cast<std::int64_t>(s.st_mtim.tv_sec) * 1'000'000'000 + s.st_mtim.tv_nsec;
}

void make_dir(const fs::path& path, const fs::path& like) {
    if (::mkdir(path.c_str(), 0777) != 0 && errno != EEXIST) throw FileError("mkdir", path, errno);
    // The mirror has the permissions of the original, so a directory that is read-only stays read-only.
    if (auto s = lstat_if_exists(like)) ::chmod(path.c_str(), s->st_mode & 07777);
}

void copy_with_time(const fs::path& from, const fs::path& to) {
    std::error_code error;
    fs::copy_file(from, to, error);
    if (error) throw FileError("copy", from, error.value());
    struct stat s {};
    if (::stat(from.c_str(), &s) == 0) {
        timespec times[2] = {s.st_atim, s.st_mtim};
        ::utimensat(AT_FDCWD, to.c_str(), times, 0);
    }
}

}  // namespace

Stage::Stage(const depot::Description& description, const wire::Attempt& attempt)
    : description_(description),
      task_(attempt.task),
      dir_(description.dir),
      root_(depot::stage_of(dir_, attempt)),
      work_(root_ / "work") {
    auto add_parents = [this](const fs::path& relative_path) {
        for (auto p = relative_path.parent_path(); !p.empty(); p = p.parent_path()) parents_.insert(p);
    };
    for (auto& o : description_.outputs)
        if (is_in_working_directory(o)) {
            auto relative_path = fs::path(o).lexically_normal();
            outputs_.insert(relative_path);
            add_parents(relative_path);
        }
    for (auto& l : description_.logs)
        if (is_in_working_directory(l)) add_parents(fs::path(l).lexically_normal());
    for (auto& d : description_.directories) directory_outputs_.insert(fs::path(d).lexically_normal());
    for (auto& i : description_.inputs)
        if (is_in_working_directory(i)) {
            auto relative_path = fs::path(i).lexically_normal();
            if (outputs_.contains(relative_path)) continue;
            inputs_.insert(relative_path);
            add_parents(relative_path);
        }
}

// Whether the path is below the working directory, and none of its parent directories is a symbolic link.
bool Stage::is_in_working_directory(const std::string& name) const {
    fs::path relative_path = fs::path(name).lexically_normal();
    if (relative_path.empty() || relative_path.is_absolute() || *relative_path.begin() == ".." ||
        relative_path == ".")
        return false;
    for (auto p = relative_path.parent_path(); !p.empty(); p = p.parent_path())
        if (auto s = lstat_if_exists(dir_ / p); s && S_ISLNK(s->st_mode)) return false;
    return true;
}

void Stage::remove_changed_outside_outputs(const fs::path& stage) {
    auto text = depot::read_all(stage / outside_outputs_file);
    if (!text) return;
    auto list = Json::parse(*text, nullptr, false);
    if (!list.is_array()) return;
    for (auto& item : list) {
        fs::path path = depot::from_text(item.value("path", ""));
        auto current = lstat_if_exists(path);
        if (current && S_ISREG(current->st_mode) &&
            mtime_ns(*current) != item.value("mtime_ns", std::int64_t{0}))
            ::unlink(path.c_str());
    }
}

void Stage::prepare() {
    for (auto& p : depot::stages_of(dir_, task_)) remove_changed_outside_outputs(p);
    std::error_code error;
    fs::create_directories(description_.in_private ? work_ : root_, error);
    if (error) throw FileError("mkdir", work_, error.value());
    Json outside = Json::array();
    for (auto& o : description_.outputs) {
        if (description_.in_private && is_in_working_directory(o)) continue;
        fs::path path = fs::path(o).is_absolute() ? fs::path(o) : dir_ / o;
        if (description_.fresh_outputs) ::unlink(path.c_str());
        auto s = lstat_if_exists(path);
        outside.push_back({{"path", depot::to_text(path.string())}, {"mtime_ns", s ? mtime_ns(*s) : 0}});
    }
    if (!outside.empty() && description_.delete_on_error)
        depot::write_whole(root_ / outside_outputs_file, outside.dump());
    if (!description_.in_private) {
        work_ = dir_;
        return;
    }
    mirror_directory("");
    // Rule languages that require outputs to exist also create the parent directories of outputs and logs.
    if (description_.must_produce)
        for (auto* list : {&description_.outputs, &description_.logs})
            for (auto& o : *list)
                if (is_in_working_directory(o)) fs::create_directories((work_ / o).parent_path());
}

void Stage::mirror_directory(const fs::path& relative_path) {
    std::error_code error;
    fs::directory_iterator entries(dir_ / relative_path, error);
    if (error) throw FileError("read", dir_ / relative_path, error.value());
    for (auto& e : entries) {
        auto name = relative_path / e.path().filename();
        if (name == ".barrowrun") continue;
        auto at = lstat_if_exists(e.path());
        if (!at) continue;
        const fs::path mirror_path = work_ / name;
        const bool output = outputs_.contains(name);
        if (S_ISDIR(at->st_mode) && (parents_.contains(name) || (output && !description_.fresh_outputs))) {
            make_dir(mirror_path, e.path());
            mirrored_[name] = {MirroredEntry::directory};
            mirror_directory(name);
        } else if (output) {
            if (description_.fresh_outputs || S_ISDIR(at->st_mode)) continue;
            copy_with_time(e.path(), mirror_path);
            if (auto s = lstat_if_exists(mirror_path))
                mirrored_[name] = {MirroredEntry::copy, s->st_ino, mtime_ns(*s),
                                   static_cast<std::uintmax_t>(s->st_size)};
        } else if (inputs_.contains(name) && S_ISREG(at->st_mode) &&
                   ::link(e.path().c_str(), mirror_path.c_str()) == 0) {
            mirrored_[name] = {MirroredEntry::hard_link, at->st_ino, mtime_ns(*at),
                               static_cast<std::uintmax_t>(at->st_size)};
        } else {
            fs::create_symlink(dir_ / name, mirror_path, error);
            if (error) throw FileError("symlink", mirror_path, error.value());
            mirrored_[name] = {MirroredEntry::symlink};
        }
    }
}

void Stage::add_output(const fs::path& relative_path, depot::Final& final) {
    auto staged = work_ / relative_path;
    auto s = lstat_if_exists(staged);
    if (!s) return;
    depot::Output o{staged.string(), (dir_ / relative_path).string(), "", mtime_ns(*s)};
    if (S_ISREG(s->st_mode)) {
        o.hash = depot::content_hash(staged);
        depot::sync_file(staged);
    }
    final.outputs.push_back(std::move(o));
}

void Stage::collect_changes(const fs::path& relative_path, depot::Final& final,
                            std::map<fs::path, fs::path>& moved) {
    std::vector<fs::path> names;
    for (auto& e : fs::directory_iterator(work_ / relative_path))
        names.push_back(relative_path / e.path().filename());
    for (auto& name : names) {
        auto s = lstat_if_exists(work_ / name);
        if (!s) continue;
        auto it = mirrored_.find(name);
        const MirroredEntry* mirrored = it == mirrored_.end() ? nullptr : &it->second;
        if (S_ISDIR(s->st_mode)) {
            if (directory_outputs_.contains(name)) {
                for (auto& e : fs::recursive_directory_iterator(work_ / name))
                    if (e.is_regular_file() && !e.is_symlink()) depot::sync_file(e.path());
                final.outputs.push_back({(work_ / name).string(), (dir_ / name).string(), "", mtime_ns(*s)});
                continue;
            }
            if (!mirrored && fs::is_empty(work_ / name))
                final.outputs.push_back(
                    {(work_ / name).string(), (dir_ / name).string(), depot::made_directory, mtime_ns(*s)});
            collect_changes(name, final, moved);
        } else if (S_ISLNK(s->st_mode)) {
            if (mirrored && mirrored->kind == MirroredEntry::symlink) continue;
            // The steps renamed a symbolic link of the mirror: the original file is moved to the new name.
            auto target = fs::read_symlink(work_ / name);
            auto from = target.lexically_relative(dir_);
            if (auto was = mirrored_.find(from); was != mirrored_.end() &&
                                                 was->second.kind == MirroredEntry::symlink &&
                                                 !lstat_if_exists(work_ / from)) {
                moved[from] = name;
                final.outputs.push_back({(dir_ / from).string(), (dir_ / name).string(), "", mtime_ns(*s)});
            } else {
                add_output(name, final);
            }
        } else if (S_ISREG(s->st_mode)) {
            bool unchanged = mirrored && mirrored->inode == s->st_ino &&
                             (mirrored->kind == MirroredEntry::hard_link ||
                              (mirrored->kind == MirroredEntry::copy && mirrored->mtime_ns == mtime_ns(*s) &&
                               mirrored->size == static_cast<std::uintmax_t>(s->st_size)));
            if (!unchanged) add_output(name, final);
        }
    }
}

depot::Final Stage::collect(std::uint64_t attempt, const std::string& machine) {
    depot::Final final;
    final.published = true;
    final.attempt = attempt;
    final.machine = machine;
    for (auto& t : description_.touch) {
        fs::path path = fs::path(t).is_absolute() ? fs::path(t) : work_ / t;
        if (!fs::exists(path)) depot::write_whole(path, "");
        ::utimensat(AT_FDCWD, path.c_str(), nullptr, 0);
    }
    if (description_.must_produce)
        for (auto& o : description_.outputs)
            if (!lstat_if_exists(fs::path(o).is_absolute() ? fs::path(o) : work_ / o))
                throw std::runtime_error("the steps succeeded and did not make " + o);
    if (!description_.in_private) return final;
    for (auto& p : description_.protect)
        if (auto s = lstat_if_exists(work_ / p); s && S_ISREG(s->st_mode))
            ::chmod((work_ / p).c_str(), s->st_mode & ~static_cast<mode_t>(0222));
    std::map<fs::path, fs::path> moved;
    collect_changes("", final, moved);
    for (auto& [relative_path, mirrored] : mirrored_) {
        if (mirrored.kind == MirroredEntry::directory || moved.contains(relative_path) ||
            lstat_if_exists(work_ / relative_path))
            continue;
        if (auto s = lstat_if_exists(dir_ / relative_path); s && !S_ISDIR(s->st_mode))
            final.removed.push_back((dir_ / relative_path).string());
    }
    // A path must not change from a directory to a file while other tasks use it.
    for (auto& o : final.outputs) {
        auto current = lstat_if_exists(o.path);
        if (current && S_ISDIR(current->st_mode) && o.hash != depot::made_directory &&
            !directory_outputs_.contains(fs::path(o.path).lexically_relative(dir_)))
            throw std::runtime_error(o.path + " is a directory, and the steps made a file of that name");
    }
    return final;
}

void Stage::abandon() {
    remove_changed_outside_outputs(root_);
    for (auto& log : description_.logs) {
        std::error_code error;
        auto from = work_ / log;
        if (!description_.in_private || !is_in_working_directory(log) ||
            !fs::is_regular_file(fs::symlink_status(from, error)))
            continue;
        fs::create_directories((dir_ / log).parent_path(), error);
        fs::rename(from, dir_ / log, error);
    }
    std::error_code error;
    fs::remove_all(root_, error);
}

}  // namespace barrowrun::worker
