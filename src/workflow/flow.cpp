#include "workflow/flow.hpp"

#include <algorithm>

namespace barrowrun::workflow {

const char* state_name(State s) {
    switch (s) {
        case State::waiting:
            return "waiting";
        case State::looking:
            return "looking";
        case State::lazy:
            return "not needed";
        case State::queued:
            return "queued";
        case State::starting:
            return "starting";
        case State::running:
            return "running";
        case State::done:
            return "done";
        case State::current:
            return "up to date";
        case State::failed:
            return "failed";
        case State::skipped:
            return "skipped";
    }
    return "";
}

Flow::Flow(const Graph& graph, FlowOptions options)
    : graph_(graph), options_(options), nodes_(graph.nodes.size()) {
    if (options_.most_at_once == 0) options_.most_at_once = graph.most_at_once;
}

void Flow::want(NodeId root) {
    std::vector<NodeId> stack{root};
    while (!stack.empty()) {
        auto n = stack.back();
        stack.pop_back();
        auto& t = nodes_[n];
        if (t.wanted) continue;
        t.wanted = true;
        ++open_;
        for (auto& need : graph_.nodes[n].needs) t.needs.push_back(need.node);
        std::sort(t.needs.begin(), t.needs.end());
        t.needs.erase(std::unique(t.needs.begin(), t.needs.end()), t.needs.end());
        t.open_needs = static_cast<std::uint32_t>(t.needs.size());
        for (auto need : t.needs) {
            nodes_[need].users.push_back(n);
            ++nodes_[need].open_users;
            stack.push_back(need);
        }
    }
}

void Flow::resumed(NodeId n) {
    nodes_[n].resumed = true;
}

void Flow::begin() {
    for (auto g : graph_.goals) want(g);
    for (NodeId n = 0; n < nodes_.size(); ++n)
        if (nodes_[n].wanted && nodes_[n].needs.empty()) consider(n);
    drain();
}

bool Flow::lacks_a_need(NodeId n) const {
    auto& needs = graph_.nodes[n].needs;
    return std::any_of(needs.begin(), needs.end(), [this](const Need& need) {
        auto s = nodes_[need.node].state;
        return !need.sequence && (s == State::failed || s == State::skipped);
    });
}

// All that it needs is final, or lazy.
void Flow::consider(NodeId n) {
    auto& t = nodes_[n];
    if (stopped_ && !t.resumed) return settle(n, State::skipped);
    if (lacks_a_need(n)) return settle(n, State::skipped);
    if (t.resumed) {
        // Its job is on record: whether it was submitted or not, it is now.
        t.must_make = true;
        return launch(n);
    }
    t.state = State::looking;
    actions_.push_back({FlowAction::look, n});
}

bool Flow::newer_than(const Need& need, std::int64_t oldest) const {
    if (need.order_only) return false;
    auto& t = nodes_[need.node];
    return t.changed || t.facts.newest > oldest;
}

void Flow::looked(NodeId n, const Facts& facts) {
    auto& t = nodes_[n];
    if (t.state != State::looking) return;
    const auto& node = graph_.nodes[n];
    // While its files were looked at, another has come to want a passing file that this one needs, too.
    auto open = std::count_if(t.needs.begin(), t.needs.end(), [this](NodeId need) {
        return !is_final(nodes_[need].state) && nodes_[need].state != State::lazy;
    });
    if (open > 0) {
        t.state = State::waiting;
        t.open_needs = static_cast<std::uint32_t>(open);
        return;
    }
    t.facts = facts;
    const bool remade = made_before_.contains(n);
    const auto oldest = facts.missing ? 0 : facts.oldest;
    t.newer.clear();
    bool lazy_needs = false;
    for (auto& need : node.needs) {
        // What is missing makes everything newer, as make's $? has it.
        if (!need.order_only && (facts.missing || newer_than(need, oldest))) t.newer.push_back(need.node);
        lazy_needs |= nodes_[need.node].state == State::lazy;
    }
    std::sort(t.newer.begin(), t.newer.end());
    t.newer.erase(std::unique(t.newer.begin(), t.newer.end()), t.newer.end());
    bool make = node.phony || node.forced || options_.always || facts.recipe_changed ||
                (facts.missing && !node.outputs.empty()) ||
                std::any_of(node.needs.begin(), node.needs.end(),
                            [&](auto& need) { return newer_than(need, oldest); });
    if (remade) make = facts.missing && !node.phony && !node.passing;
    if (make && node.passing && facts.missing && !t.demanded && !node.forced) {
        // Not there, and perhaps not needed: those it is made from speak for it.
        t.facts.newest = 0;
        bool certain = options_.always;
        for (auto& need : node.needs) {
            auto& other = nodes_[need.node];
            if (need.order_only) continue;
            certain |= other.changed;
            t.facts.newest = std::max(t.facts.newest, other.facts.newest);
        }
        if (!certain) {
            t.state = State::lazy;
            settled_.push_back(n);
            return drain();
        }
    }
    if (!make) {
        t.changed = remade;
        settle(n, State::current);
        return drain();
    }
    if (!node.has_work) {
        // A name that stands for others: nothing is run, and what needs it is to be made.
        t.changed = node.phony || facts.missing;
        settle(n, State::current);
        return drain();
    }
    t.must_make = true;
    if (lazy_needs) {
        // Those passing files are wanted now: this one comes after them.
        t.state = State::waiting;
        t.open_needs = 0;
        for (auto need : t.needs)
            if (nodes_[need].state == State::lazy) demand(need);
        return;
    }
    launch(n);
    drain();
}

// A passing file is to be made after all: whoever waits, waits for it, too.
void Flow::demand(NodeId passing) {
    auto& t = nodes_[passing];
    t.demanded = true;
    t.state = State::looking;
    actions_.push_back({FlowAction::look, passing});
    for (auto u : t.users)
        if (nodes_[u].state == State::waiting) ++nodes_[u].open_needs;
}

void Flow::launch(NodeId n) {
    nodes_[n].state = State::queued;
    queue_.insert({-graph_.nodes[n].priority, n});
}

void Flow::fill() {
    while (!queue_.empty() && (options_.most_at_once == 0 || busy_ < options_.most_at_once)) {
        auto n = queue_.begin()->second;
        queue_.erase(queue_.begin());
        ++busy_;
        nodes_[n].state = State::starting;
        actions_.push_back({FlowAction::start, n});
    }
}

void Flow::started(NodeId n) {
    if (nodes_[n].state == State::starting) nodes_[n].state = State::running;
}

void Flow::nothing_to_do(NodeId n) {
    auto& t = nodes_[n];
    if (t.state != State::starting) return;
    --busy_;
    t.changed = graph_.nodes[n].phony || t.facts.missing;
    settle(n, State::current);
    drain();
}

void Flow::final(NodeId n, bool success, const Facts& after) {
    auto& t = nodes_[n];
    if (t.state != State::running && t.state != State::starting) return;
    --busy_;
    if (success) {
        // A recipe that left its file as it was has changed nothing for those who need it.
        t.changed = graph_.nodes[n].phony || after.missing || after.newest != t.facts.newest || t.resumed;
        t.facts = after;
        if (graph_.nodes[n].passing && !graph_.nodes[n].keep) made_passing_.push_back(n);
    } else {
        ++failed_;
    }
    settle(n, success ? State::done : State::failed);
    if (!success && !options_.keep_going) stop();
    drain();
}

void Flow::stop() {
    if (stopped_) return;
    stopped_ = true;
    std::vector<NodeId> waiting;
    for (auto& [priority, n] : queue_) waiting.push_back(n);
    queue_.clear();
    for (auto n : waiting) settle(n, State::skipped);
    for (NodeId n = 0; n < nodes_.size(); ++n) {
        auto& t = nodes_[n];
        if (!t.wanted || is_final(t.state)) continue;
        if (t.state == State::running)
            actions_.push_back({FlowAction::cancel, n});
        else if (t.state != State::starting)
            settle(n, State::skipped);
    }
    drain();
}

void Flow::settle(NodeId n, State s) {
    auto& t = nodes_[n];
    if (is_final(t.state)) return;
    // Users of a lazy one have been told already that they need not wait for it.
    const bool told = t.state == State::lazy;
    t.state = s;
    --open_;
    if (s != State::skipped) actions_.push_back({FlowAction::report, n});
    if (!told) settled_.push_back(n);
    for (auto need : t.needs) {
        auto& other = nodes_[need];
        if (--other.open_users > 0) continue;
        if (other.state == State::lazy)
            settle(need, State::current);
        else if (graph_.nodes[need].remove_early && other.state == State::done)
            actions_.push_back({FlowAction::remove, need});
    }
    if (open_ == 0)
        for (auto m : made_passing_)
            if (!graph_.nodes[m].remove_early) actions_.push_back({FlowAction::remove, m});
}

void Flow::drain() {
    while (!settled_.empty()) {
        auto n = settled_.front();
        settled_.pop_front();
        for (auto u : nodes_[n].users) need_settled(u);
    }
}

void Flow::need_settled(NodeId user) {
    auto& t = nodes_[user];
    if (t.state != State::waiting || t.open_needs == 0) return;
    if (--t.open_needs > 0) return;
    if (t.must_make) {
        // It had been decided, and waited for passing files only.
        return lacks_a_need(user) ? settle(user, State::skipped) : launch(user);
    }
    consider(user);
}

Counts Flow::counts() const {
    Counts c;
    for (NodeId n = 0; n < nodes_.size(); ++n) {
        auto& t = nodes_[n];
        if (!t.wanted || (!graph_.nodes[n].has_work && t.state != State::failed)) continue;
        ++c.total;
        switch (t.state) {
            case State::done:
                ++c.done;
                break;
            case State::current:
                ++c.current;
                break;
            case State::failed:
                ++c.failed;
                break;
            case State::skipped:
                ++c.skipped;
                break;
            case State::running:
            case State::starting:
                ++c.running;
                break;
            default:
                ++c.waiting;
                break;
        }
    }
    return c;
}

std::vector<FlowAction> Flow::take_actions() {
    // Only when all that was to be looked at has been: what has priority may be among it.
    if (actions_.empty()) fill();
    return std::exchange(actions_, {});
}

}  // namespace barrowrun::workflow
