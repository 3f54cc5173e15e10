#include "workflow/journal.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <random>
#include <system_error>

#include "depot/files.hpp"

namespace barrowrun::workflow {
namespace {

std::string own_dir(const std::string& dir) {
    auto own = dir + "/.barrowrun";
    std::error_code ec;
    std::filesystem::create_directories(own, ec);
    if (ec) throw depot::FileError("mkdir", own, ec.value());
    return own;
}

constexpr const char* columns =
    "id, key, kind, args, state, created_ms, ended_ms, cancel_asked, total, done, failed";

}  // namespace

const char* flow_state_name(FlowState s) {
    switch (s) {
        case FlowState::open:
            return "open";
        case FlowState::done:
            return "done";
        case FlowState::failed:
            return "failed";
        case FlowState::cancelled:
            return "cancelled";
    }
    return "";
}

std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

Journal::Journal(const std::string& dir) : dir_(dir), db_(own_dir(dir) + "/flows.db") {
    db_.run(
        "CREATE TABLE IF NOT EXISTS flows(id TEXT PRIMARY KEY, key TEXT NOT NULL, kind TEXT NOT NULL, args "
        "TEXT NOT "
        "NULL, state INTEGER NOT NULL, created_ms INTEGER NOT NULL, ended_ms INTEGER NOT NULL, cancel_asked "
        "INTEGER "
        "NOT NULL, total INTEGER NOT NULL, done INTEGER NOT NULL, failed INTEGER NOT NULL);"
        "CREATE TABLE IF NOT EXISTS nodes(flow TEXT NOT NULL, node BLOB NOT NULL, job TEXT NOT NULL, state "
        "INTEGER NOT "
        "NULL, note BLOB NOT NULL, PRIMARY KEY(flow, node)) WITHOUT ROWID;"
        "CREATE TABLE IF NOT EXISTS recipes(target BLOB PRIMARY KEY, fingerprint TEXT NOT NULL) WITHOUT "
        "ROWID;");
}

FlowRecord Journal::read(store::Statement& s) {
    return FlowRecord{
        s.bytes(0),  s.bytes(1),  s.bytes(2),       s.bytes(3),  static_cast<FlowState>(s.number(4)),
        s.number(5), s.number(6), s.number(7) != 0, s.number(8), s.number(9),
        s.number(10)};
}

FlowRecord Journal::open(const std::string& key, const std::string& kind, const std::string& args,
                         std::int64_t now) {
    store::Transaction txn(db_);
    {
        auto s =
            db_.prepare((std::string("SELECT ") + columns + " FROM flows WHERE key=? AND state=0").c_str());
        s.text(key);
        if (s.step()) {
            auto r = read(s);
            s.reset();
            txn.commit();
            return r;
        }
    }
    std::random_device random;
    char id[17];
    std::snprintf(id, sizeof id, "%08x%08x", random(), random());
    auto s = db_.prepare("INSERT INTO flows VALUES(?,?,?,?,0,?,0,0,0,0,0)");
    s.text(id).text(key).text(kind).text(args).bind(now).run();
    txn.commit();
    return FlowRecord{id, key, kind, args, FlowState::open, now, 0, false, 0, 0, 0};
}

std::vector<FlowRecord> Journal::flows() {
    auto s = db_.prepare((std::string("SELECT ") + columns + " FROM flows ORDER BY created_ms").c_str());
    std::vector<FlowRecord> out;
    while (s.step()) out.push_back(read(s));
    return out;
}

std::optional<FlowRecord> Journal::find(const std::string& id) {
    std::optional<FlowRecord> found;
    for (auto& f : flows()) {
        if (f.id == id) return f;
        if (!id.empty() && f.id.starts_with(id)) {
            if (found) return std::nullopt;
            found = f;
        }
    }
    return found;
}

std::optional<FlowRecord> Journal::unfinished() {
    for (auto& f : flows())
        if (f.state == FlowState::open) return f;
    return std::nullopt;
}

std::vector<NodeRecord> Journal::nodes(const std::string& flow) {
    auto s = db_.prepare("SELECT node, job, state, note FROM nodes WHERE flow=?");
    s.text(flow);
    std::vector<NodeRecord> out;
    while (s.step()) out.push_back({s.bytes(0), s.bytes(1), static_cast<NodeState>(s.number(2)), s.bytes(3)});
    return out;
}

void Journal::started(const std::string& flow, const std::vector<NodeRecord>& nodes) {
    store::Transaction txn(db_);
    auto s = db_.prepare("INSERT OR IGNORE INTO nodes VALUES(?,?,?,?,?)");
    for (auto& n : nodes)
        s.text(flow)
            .bind(n.node)
            .text(n.job)
            .bind(static_cast<std::int64_t>(NodeState::started))
            .bind("")
            .run();
    txn.commit();
}

void Journal::finished(const std::string& flow, const NodeRecord& n) {
    auto s = db_.prepare("INSERT OR REPLACE INTO nodes VALUES(?,?,?,?,?)");
    s.text(flow).bind(n.node).text(n.job).bind(static_cast<std::int64_t>(n.state)).bind(n.note).run();
}

void Journal::progress(const std::string& flow, std::int64_t total, std::int64_t done, std::int64_t failed) {
    auto s = db_.prepare("UPDATE flows SET total=?, done=?, failed=? WHERE id=?");
    s.bind(total).bind(done).bind(failed).text(flow).run();
}

void Journal::close(const std::string& flow, FlowState state, std::int64_t now) {
    auto s = db_.prepare("UPDATE flows SET state=?, ended_ms=? WHERE id=?");
    s.bind(static_cast<std::int64_t>(state)).bind(now).text(flow).run();
}

void Journal::ask_cancel(const std::string& flow) {
    auto s = db_.prepare("UPDATE flows SET cancel_asked=1 WHERE id=?");
    s.text(flow).run();
}

bool Journal::cancel_asked(const std::string& flow) {
    auto s = db_.prepare("SELECT cancel_asked FROM flows WHERE id=?");
    s.text(flow);
    return s.step() && s.number(0) != 0;
}

std::map<std::string, std::string> Journal::recipes() {
    std::map<std::string, std::string> out;
    auto s = db_.prepare("SELECT target, fingerprint FROM recipes");
    while (s.step()) out[s.bytes(0)] = s.bytes(1);
    return out;
}

void Journal::remember_recipe(const std::string& target, const std::string& fingerprint) {
    auto s = db_.prepare("INSERT OR REPLACE INTO recipes VALUES(?,?)");
    s.bind(target).text(fingerprint).run();
}

std::unique_ptr<DriverLock> DriverLock::take(const std::string& dir) {
    auto path = own_dir(dir) + "/driver.lock";
    int fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    if (fd < 0) throw depot::FileError("open", path, errno);
    if (::flock(fd, LOCK_EX | LOCK_NB) == 0) return std::unique_ptr<DriverLock>(new DriverLock(fd));
    ::close(fd);
    return nullptr;
}

DriverLock::~DriverLock() {
    ::close(fd_);
}

}  // namespace barrowrun::workflow
