#include "workflow/graph.hpp"

#include <algorithm>
#include <utility>

namespace barrowrun::workflow {

std::string Work::fingerprint() const {
    std::string all;
    for (auto& s : shell) all += s + '\0';
    for (auto& s : steps) all += s.run + '\0';
    return depot::text_hash(all);
}

void Graph::goals_in_order() {
    std::vector<char> seen(nodes.size(), 0);
    std::optional<NodeId> before;
    for (auto goal : goals) {
        if (seen[goal]) continue;
        std::vector<NodeId> stack{goal};
        seen[goal] = 1;
        while (!stack.empty()) {
            auto n = stack.back();
            stack.pop_back();
            for (auto& need : nodes[n].needs)
                if (!std::exchange(seen[need.node], 1)) stack.push_back(need.node);
            if (before) nodes[n].needs.push_back({*before, true, true});
        }
        before = goal;
    }
}

void Graph::check_acyclic() const {
    enum Mark : char { fresh, open, closed };
    std::vector<Mark> marks(nodes.size(), fresh);
    struct Frame {
        NodeId node;
        std::size_t next = 0;
    };
    // By hand rather than by recursion: chains of ten thousand rules are no reason to run out of stack.
    std::vector<Frame> stack;
    for (NodeId root = 0; root < nodes.size(); ++root) {
        if (marks[root] != fresh) continue;
        stack.push_back({root});
        marks[root] = open;
        while (!stack.empty()) {
            auto& f = stack.back();
            if (f.next == nodes[f.node].needs.size()) {
                marks[f.node] = closed;
                stack.pop_back();
                continue;
            }
            auto to = nodes[f.node].needs[f.next++].node;
            if (marks[to] == fresh) {
                marks[to] = open;
                stack.push_back({to});
            } else if (marks[to] == open) {
                auto from = std::find_if(stack.begin(), stack.end(), [to](auto& x) { return x.node == to; });
                std::string way;
                for (auto it = from; it != stack.end(); ++it) way += nodes[it->node].name + " <- ";
                throw RuleError(nodes[to].place, "a cycle: " + way + nodes[to].name);
            }
        }
    }
}

}  // namespace barrowrun::workflow
