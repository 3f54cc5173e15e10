#pragma once
// What a flow has decided, on disk before it acts: `.barrowrun/flows.db` in the directory that it works in.
// Killed at any moment, its driver's successor goes on from here.
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "store/sqlite.hpp"

namespace barrowrun::workflow {

enum class FlowState { open, done, failed, cancelled };
const char* flow_state_name(FlowState s);

struct FlowRecord {
    std::string id, key;
    std::string kind;  // make, snake
    std::string args;  // JSON: what it was called with
    FlowState state = FlowState::open;
    std::int64_t created_ms = 0, ended_ms = 0;
    bool cancel_asked = false;
    std::int64_t total = 0, done = 0, failed = 0;  // for display
};

enum class NodeState { started = 1, done = 2, failed = 3 };

struct NodeRecord {
    std::string node, job;
    NodeState state = NodeState::started;
    std::string note;  // of a failure
};

class Journal {
  public:
    explicit Journal(const std::string& dir);  // the working directory; throws store::StoreError
    const std::string& dir() const { return dir_; }
    // The open flow of this key, or a new one.
    FlowRecord open(const std::string& key, const std::string& kind, const std::string& args,
                    std::int64_t now_ms);
    std::vector<FlowRecord> flows();
    std::optional<FlowRecord> find(const std::string& id);  // or the only one whose id begins so
    std::optional<FlowRecord> unfinished();
    std::vector<NodeRecord> nodes(const std::string& flow);
    // Before any of these jobs is submitted: all of them, or none.
    void started(const std::string& flow, const std::vector<NodeRecord>& nodes);
    void finished(const std::string& flow, const NodeRecord& node);
    void progress(const std::string& flow, std::int64_t total, std::int64_t done, std::int64_t failed);
    void close(const std::string& flow, FlowState state, std::int64_t now_ms);
    void ask_cancel(const std::string& flow);
    bool cancel_asked(const std::string& flow);
    // What a target was last made by.
    std::map<std::string, std::string> recipes();
    void remember_recipe(const std::string& target, const std::string& fingerprint);

  private:
    static FlowRecord read(store::Statement& s);
    std::string dir_;
    store::Database db_;
};

// Held while a flow is driven in a directory: one driver at a time.
class DriverLock {
  public:
    // Empty if another process holds it.
    static std::unique_ptr<DriverLock> take(const std::string& dir);
    ~DriverLock();
    DriverLock(const DriverLock&) = delete;
    DriverLock& operator=(const DriverLock&) = delete;

  private:
    explicit DriverLock(int fd) : fd_(fd) {}
    int fd_;
};

std::int64_t now_ms();

}  // namespace barrowrun::workflow
