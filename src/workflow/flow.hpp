#pragma once
// The decisions of a flow: which nodes are up to date, which start when, and what becomes of the rest. State
// + event -> actions; no I/O, no clock. Whoever drives it keeps a journal and does the I/O: a client today, a
// daemon later.
#include <deque>
#include <set>

#include "workflow/graph.hpp"

namespace barrowrun::workflow {

enum class State : std::uint8_t {
    waiting,   // for what it needs
    looking,   // its files are being looked at
    lazy,      // a passing file that isn't there, and that nobody has needed yet
    queued,    // to be started as soon as the bound lets it
    starting,  // being recorded and submitted
    running,   // submitted: its job has the say
    done,      // made
    current,   // was up to date, or has nothing to be made
    failed,
    skipped,  // something it needs has failed, or the flow was stopped before it started
};
const char* state_name(State s);
inline bool is_final(State s) {
    return s >= State::done;
}

// What the files of a node show. Times are nanoseconds of the epoch.
struct Facts {
    bool missing = false;         // an output is not there
    std::int64_t oldest = 0;      // of its outputs
    std::int64_t newest = 0;      // what the node counts as for those that need it
    bool recipe_changed = false;  // and that matters
};

struct FlowOptions {
    bool keep_going = false;  // -k
    bool always = false;      // -B: nothing counts as up to date
    bool dry_run = false;     // -n: what would be made is taken as made
    std::size_t most_at_once = 0;
};

struct FlowAction {
    enum Kind {
        look,    // answered by looked()
        start,   // record it, then submit it: answered by started(), then final()
        remove,  // a passing file that nobody needs any more
        report,  // the node has its final state
        cancel,  // its job, if it has not begun to run
    } kind;
    NodeId node;
};

struct Counts {
    std::size_t total = 0, done = 0, current = 0, failed = 0, skipped = 0, running = 0, waiting = 0;
};

class Flow {
  public:
    Flow(const Graph& graph, FlowOptions options);
    void begin();
    // A node that an earlier driver had started: before begin().
    void resumed(NodeId node);
    // A node that this flow has made already: before begin(). It is not made again.
    void made_before(NodeId node) { made_before_.insert(node); }
    void looked(NodeId node, const Facts& facts);
    void started(NodeId node);
    // `after`: what its files show now, if it was made.
    void final(NodeId node, bool success, const Facts& after = {});
    // A started node that counts as up to date after all, or that has nothing to do.
    void nothing_to_do(NodeId node);
    // Nothing more is started; what runs goes on.
    void stop();
    bool over() const { return open_ == 0; }
    bool failed() const { return failed_ > 0 || stopped_; }
    State state(NodeId n) const { return nodes_[n].state; }
    // Those it needs that are newer than it, as found when it was decided to make it.
    const std::vector<NodeId>& newer(NodeId n) const { return nodes_[n].newer; }
    Counts counts() const;
    std::vector<FlowAction> take_actions();
    const Graph& graph() const { return graph_; }

  private:
    struct Track {
        State state = State::waiting;
        std::uint32_t open_needs = 0;  // not final yet
        std::uint32_t open_users = 0;  // that need it and are not final
        bool wanted = false;           // part of this flow
        bool resumed = false, demanded = false, must_make = false;
        bool changed = false;  // made in this flow, or a name that is no file
        Facts facts;
        std::vector<NodeId> needs, users, newer;  // each once
    };
    void want(NodeId n);
    void need_settled(NodeId n);
    bool lacks_a_need(NodeId n) const;  // one that it needs has failed
    void demand(NodeId passing);
    void drain();
    void settle(NodeId n, State s);
    void consider(NodeId n);
    void launch(NodeId n);
    void fill();
    bool newer_than(const Need& need, std::int64_t oldest) const;
    const Graph& graph_;
    FlowOptions options_;
    std::vector<Track> nodes_;
    std::size_t open_ = 0, failed_ = 0, busy_ = 0;
    bool stopped_ = false;
    std::set<NodeId> made_before_;
    std::set<std::pair<int, NodeId>> queue_;  // by priority, then in the rules' order
    std::vector<NodeId> made_passing_;
    // Settled, their users not told yet: a loop rather than a recursion, for long chains.
    std::deque<NodeId> settled_;
    std::vector<FlowAction> actions_;
};

}  // namespace barrowrun::workflow
