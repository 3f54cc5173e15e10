#pragma once
// What rules come to: files, how each is made, and what must be there first. Readers build it, a flow walks
// it.
#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <vector>

#include "depot/depot.hpp"

namespace barrowrun::workflow {

// Where something stands in a rule file.
struct Place {
    std::string file;
    int line = 0;
    std::string str() const { return line > 0 ? file + ":" + std::to_string(line) : file; }
};

// A rule file says what can't be done, or isn't supported. `what()` is one line that begins with file:line.
struct RuleError : std::runtime_error {
    RuleError(const Place& at, const std::string& why) : std::runtime_error(at.str() + ": " + why) {}
    explicit RuleError(const std::string& why) : std::runtime_error(why) {}
};

using NodeId = std::uint32_t;

struct Need {
    NodeId node = 0;
    bool order_only = false;  // must be there first; its age doesn't matter
    // Merely comes first, as one goal of a command line does before the next: its failure doesn't matter
    // either.
    bool sequence = false;
};

// One run of a rule: one or more files that are made together, or a name that is no file.
struct Node {
    std::string name;                  // what people call it: its first output, or the rule
    std::string rule;                  // the rule's name where it has one
    Place place;                       // of the rule; line 0: a file that no rule makes
    std::vector<std::string> outputs;  // files, as the rules spell them
    std::vector<Need> needs;
    bool has_work = false;  // there are steps to run
    bool phony = false;     // always to be done, no file
    bool forced = false;    // done whatever its files' ages are
    // A file that is only a step on the way: not made for its own sake, and removed at the end.
    bool passing = false;
    bool keep = false;          // of a passing one: not removed
    bool remove_early = false;  // removed once all that need it are done, not at the end
    int priority = 0;           // greater first, among what may start
    // Of several rules for one file that are independent of one another: its age counts as it was when the
    // first of them was looked at.
    std::optional<NodeId> judged_with;
};

// How a node is made.
struct Work {
    std::vector<std::string> shell{"/bin/sh", "-c"};
    std::vector<depot::Step> steps;
    std::map<std::string, std::string> env;
    std::vector<std::string> inputs;  // files that the steps read, as far as the rules tell
    bool in_private = true;
    bool must_produce = false, fresh_outputs = false, delete_on_error = true, limit_memory = false;
    std::vector<std::string> directories, touch, protect, logs;
    wire::Resources need{1, 0, 0.5};
    std::string job_class = "flow", image = "none", project;
    wire::Priority rank = wire::Priority::normal;
    std::uint32_t retries = 0;
    double estimate_s = 10;
    // What a change of the recipe is told by.
    std::string fingerprint() const;
};

struct Graph {
    std::vector<Node> nodes;
    std::vector<NodeId> goals;
    std::unordered_map<std::string, NodeId> by_output;
    std::vector<std::string> warnings;
    std::size_t most_at_once = 0;  // 0: no bound

    // Goals one after the other, as plain make takes them: what only a later one needs begins after the
    // earlier ones. Each node waits for goals whose needs it isn't among, so this adds no cycle.
    void goals_in_order();
    // Throws RuleError naming a cycle.
    void check_acyclic() const;
};

// A read rule file: its graph, and the work of each node, asked for when all it needs is there, since rules
// may look at files only then. `newer`: of what it needs, the nodes that are newer than its outputs.
class Rules {
  public:
    virtual ~Rules() = default;
    virtual const Graph& graph() const = 0;
    virtual Work work(NodeId node, const std::vector<NodeId>& newer) = 0;
};

}  // namespace barrowrun::workflow
