#include "worker/stage.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>

namespace barrowrun::worker {
namespace {
using depot::FileError;
using depot::Json;

constexpr const char* outside_list = "outside.json";

std::optional<struct stat> look(const fs::path& p) {
    struct stat s {};
    if (::lstat(p.c_str(), &s) != 0) return std::nullopt;
    return s;
}

std::int64_t mtime_ns(const struct stat& s) {
    return static_cast<std::int64_t>(s.st_mtim.tv_sec) * 1'000'000'000 + s.st_mtim.tv_nsec;
}

void make_dir(const fs::path& p, const fs::path& like) {
    if (::mkdir(p.c_str(), 0777) != 0 && errno != EEXIST) throw FileError("mkdir", p, errno);
    // What could not be written into in its place can't be here either.
    if (auto s = look(like)) ::chmod(p.c_str(), s->st_mode & 07777);
}

void copy_with_time(const fs::path& from, const fs::path& to) {
    std::error_code ec;
    fs::copy_file(from, to, ec);
    if (ec) throw FileError("copy", from, ec.value());
    struct stat s {};
    if (::stat(from.c_str(), &s) == 0) {
        timespec times[2] = {s.st_atim, s.st_mtim};
        ::utimensat(AT_FDCWD, to.c_str(), times, 0);
    }
}

}  // namespace

Stage::Stage(const depot::Description& what, const wire::Attempt& attempt)
    : what_(what),
      task_(attempt.task),
      dir_(what.dir),
      root_(depot::stage_of(dir_, attempt)),
      work_(root_ / "work") {
    auto way = [this](const fs::path& rel) {
        for (auto p = rel.parent_path(); !p.empty(); p = p.parent_path()) spine_.insert(p);
    };
    for (auto& o : what_.outputs)
        if (inside(o)) {
            auto rel = fs::path(o).lexically_normal();
            outputs_.insert(rel);
            way(rel);
        }
    for (auto& l : what_.logs)
        if (inside(l)) way(fs::path(l).lexically_normal());
    for (auto& d : what_.directories) whole_.insert(fs::path(d).lexically_normal());
    for (auto& i : what_.inputs)
        if (inside(i)) {
            auto rel = fs::path(i).lexically_normal();
            if (outputs_.contains(rel)) continue;
            inputs_.insert(rel);
            way(rel);
        }
}

// Whether a name lies below the working directory by its spelling, and by no link on its way.
bool Stage::inside(const std::string& name) const {
    fs::path rel = fs::path(name).lexically_normal();
    if (rel.empty() || rel.is_absolute() || *rel.begin() == ".." || rel == ".") return false;
    for (auto p = rel.parent_path(); !p.empty(); p = p.parent_path())
        if (auto s = look(dir_ / p); s && S_ISLNK(s->st_mode)) return false;
    return true;
}

void Stage::undo_outside(const fs::path& stage) {
    auto text = depot::read_all(stage / outside_list);
    if (!text) return;
    auto list = Json::parse(*text, nullptr, false);
    if (!list.is_array()) return;
    for (auto& item : list) {
        fs::path path = depot::from_text(item.value("path", ""));
        auto now = look(path);
        if (now && S_ISREG(now->st_mode) && mtime_ns(*now) != item.value("mtime_ns", std::int64_t{0}))
            ::unlink(path.c_str());
    }
}

void Stage::prepare() {
    for (auto& p : depot::stages_of(dir_, task_)) undo_outside(p);
    std::error_code ec;
    fs::create_directories(what_.in_private ? work_ : root_, ec);
    if (ec) throw FileError("mkdir", work_, ec.value());
    Json outside = Json::array();
    for (auto& o : what_.outputs) {
        if (what_.in_private && inside(o)) continue;
        fs::path path = fs::path(o).is_absolute() ? fs::path(o) : dir_ / o;
        if (what_.fresh_outputs) ::unlink(path.c_str());
        auto s = look(path);
        outside.push_back({{"path", depot::to_text(path.string())}, {"mtime_ns", s ? mtime_ns(*s) : 0}});
    }
    if (!outside.empty() && what_.delete_on_error) depot::write_whole(root_ / outside_list, outside.dump());
    if (!what_.in_private) {
        work_ = dir_;
        return;
    }
    mirror("");
    // Directories that the outputs need are there for the steps, where the rules' language makes them.
    if (what_.must_produce)
        for (auto* list : {&what_.outputs, &what_.logs})
            for (auto& o : *list)
                if (inside(o)) fs::create_directories((work_ / o).parent_path());
}

void Stage::mirror(const fs::path& rel) {
    std::error_code ec;
    fs::directory_iterator entries(dir_ / rel, ec);
    if (ec) throw FileError("read", dir_ / rel, ec.value());
    for (auto& e : entries) {
        auto name = rel / e.path().filename();
        if (name == ".barrowrun") continue;
        auto at = look(e.path());
        if (!at) continue;
        const fs::path shown = work_ / name;
        const bool output = outputs_.contains(name);
        if (S_ISDIR(at->st_mode) && (spine_.contains(name) || (output && !what_.fresh_outputs))) {
            make_dir(shown, e.path());
            seen_[name] = {Seen::directory};
            mirror(name);
        } else if (output) {
            if (what_.fresh_outputs || S_ISDIR(at->st_mode)) continue;
            copy_with_time(e.path(), shown);
            if (auto s = look(shown))
                seen_[name] = {Seen::copy, s->st_ino, mtime_ns(*s), static_cast<std::uintmax_t>(s->st_size)};
        } else if (inputs_.contains(name) && S_ISREG(at->st_mode) &&
                   ::link(e.path().c_str(), shown.c_str()) == 0) {
            seen_[name] = {Seen::hard, at->st_ino, mtime_ns(*at), static_cast<std::uintmax_t>(at->st_size)};
        } else {
            fs::create_symlink(dir_ / name, shown, ec);
            if (ec) throw FileError("symlink", shown, ec.value());
            seen_[name] = {Seen::link};
        }
    }
}

void Stage::publish(const fs::path& rel, depot::Final& out) {
    auto staged = work_ / rel;
    auto s = look(staged);
    if (!s) return;
    depot::Output o{staged.string(), (dir_ / rel).string(), "", mtime_ns(*s)};
    if (S_ISREG(s->st_mode)) {
        o.hash = depot::content_hash(staged);
        depot::sync_file(staged);
    }
    out.outputs.push_back(std::move(o));
}

void Stage::walk(const fs::path& rel, depot::Final& out, std::map<fs::path, fs::path>& moved) {
    std::vector<fs::path> names;
    for (auto& e : fs::directory_iterator(work_ / rel)) names.push_back(rel / e.path().filename());
    for (auto& name : names) {
        auto s = look(work_ / name);
        if (!s) continue;
        auto it = seen_.find(name);
        const Seen* seen = it == seen_.end() ? nullptr : &it->second;
        if (S_ISDIR(s->st_mode)) {
            if (whole_.contains(name)) {
                for (auto& e : fs::recursive_directory_iterator(work_ / name))
                    if (e.is_regular_file() && !e.is_symlink()) depot::sync_file(e.path());
                out.outputs.push_back({(work_ / name).string(), (dir_ / name).string(), "", mtime_ns(*s)});
                continue;
            }
            if (!seen && fs::is_empty(work_ / name))
                out.outputs.push_back(
                    {(work_ / name).string(), (dir_ / name).string(), depot::made_directory, mtime_ns(*s)});
            walk(name, out, moved);
        } else if (S_ISLNK(s->st_mode)) {
            if (seen && seen->kind == Seen::link) continue;
            // A link of the view that the steps gave another name: the file itself is moved.
            auto target = fs::read_symlink(work_ / name);
            auto from = target.lexically_relative(dir_);
            if (auto was = seen_.find(from);
                was != seen_.end() && was->second.kind == Seen::link && !look(work_ / from)) {
                moved[from] = name;
                out.outputs.push_back({(dir_ / from).string(), (dir_ / name).string(), "", mtime_ns(*s)});
            } else {
                publish(name, out);
            }
        } else if (S_ISREG(s->st_mode)) {
            bool same =
                seen && seen->inode == s->st_ino &&
                (seen->kind == Seen::hard || (seen->kind == Seen::copy && seen->mtime_ns == mtime_ns(*s) &&
                                              seen->size == static_cast<std::uintmax_t>(s->st_size)));
            if (!same) publish(name, out);
        }
    }
}

depot::Final Stage::collect(std::uint64_t attempt, const std::string& machine) {
    depot::Final out;
    out.published = true;
    out.attempt = attempt;
    out.machine = machine;
    for (auto& t : what_.touch) {
        fs::path path = fs::path(t).is_absolute() ? fs::path(t) : work_ / t;
        if (!fs::exists(path)) depot::write_whole(path, "");
        ::utimensat(AT_FDCWD, path.c_str(), nullptr, 0);
    }
    if (what_.must_produce)
        for (auto& o : what_.outputs)
            if (!look(fs::path(o).is_absolute() ? fs::path(o) : work_ / o))
                throw std::runtime_error("the steps succeeded and did not make " + o);
    if (!what_.in_private) return out;
    for (auto& p : what_.protect)
        if (auto s = look(work_ / p); s && S_ISREG(s->st_mode))
            ::chmod((work_ / p).c_str(), s->st_mode & ~static_cast<mode_t>(0222));
    std::map<fs::path, fs::path> moved;
    walk("", out, moved);
    for (auto& [rel, seen] : seen_) {
        if (seen.kind == Seen::directory || moved.contains(rel) || look(work_ / rel)) continue;
        if (auto s = look(dir_ / rel); s && !S_ISDIR(s->st_mode))
            out.removed.push_back((dir_ / rel).string());
    }
    // A name must not change between file and directory under the feet of those who use it.
    for (auto& o : out.outputs) {
        auto now = look(o.path);
        if (now && S_ISDIR(now->st_mode) && o.hash != depot::made_directory &&
            !whole_.contains(fs::path(o.path).lexically_relative(dir_)))
            throw std::runtime_error(o.path + " is a directory, and the steps made a file of that name");
    }
    return out;
}

void Stage::abandon() {
    undo_outside(root_);
    for (auto& log : what_.logs) {
        std::error_code ec;
        auto from = work_ / log;
        if (!what_.in_private || !inside(log) || !fs::is_regular_file(fs::symlink_status(from, ec))) continue;
        fs::create_directories((dir_ / log).parent_path(), ec);
        fs::rename(from, dir_ / log, ec);
    }
    std::error_code ec;
    fs::remove_all(root_, ec);
}

}  // namespace barrowrun::worker
