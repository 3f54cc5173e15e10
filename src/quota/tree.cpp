#include "quota/tree.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace barrowrun::quota {
namespace {

constexpr double eps = 1e-6;
constexpr double most = 1e9;  // of any amount

bool good_name(const std::string& s) {
    return !s.empty() && s.size() <= max_name_length && std::all_of(s.begin(), s.end(), [](unsigned char c) {
        return std::isalnum(c) || c == '-' || c == '_' || c == '.';
    });
}

// For messages: whatever bytes came in, one line of text.
std::string shown(const std::string& s) {
    std::string out;
    for (unsigned char c : s.substr(0, max_name_length))
        out += c >= 0x20 && c < 0x7f ? static_cast<char>(c) : '?';
    return s.size() > max_name_length ? out + "..." : out;
}

std::string number(double x) {
    return fmt::format("{:.10g}", x);
}

}  // namespace

std::string format_resources(const Resources& r) {
    std::string out;
    auto add = [&](double x, const char* one, const char* many) {
        if (x == 0) return;
        out += (out.empty() ? "" : ", ") + number(x) + " " + (x == 1 ? one : many);
    };
    add(r.cpus, "CPU", "CPUs");
    add(r.gpus, "GPU", "GPUs");
    add(r.mem_gb, "GB", "GB");
    return out.empty() ? "nothing" : out;
}

BuildResult Tree::build(std::vector<QuotaEntry> lines, const std::vector<TeamQuota>& teams,
                        std::uint64_t version) {
    BuildResult out;
    auto fault = [&](const std::string& path, std::string what) {
        out.errors.push_back({path.empty() ? "the tree" : path, std::move(what)});
    };
    if (lines.size() > max_nodes) {
        fault("", fmt::format("{} nodes: expected at most {}", lines.size(), max_nodes));
        return out;
    }
    // The operator's lines as they are; teams that none of them names come after, at the top.
    auto tree = std::make_shared<Tree>();
    tree->version_ = version;
    tree->entries_ = lines;
    std::unordered_map<std::string, const TeamQuota*> known;
    for (auto& t : teams) known[t.name] = &t;
    std::unordered_map<std::string, std::size_t> team_line;
    const auto given = lines.size();
    for (std::size_t i = 0; i < given; ++i) {
        auto& l = lines[i];
        if (l.team.empty()) continue;
        if (!known.contains(l.team))
            fault(shown(l.name), "unknown team '" + shown(l.team) + "': expected one of the platform's");
        else if (auto [it, fresh] = team_line.try_emplace(l.team, i); !fresh)
            fault(shown(l.name),
                  "team '" + shown(l.team) + "' stands for " + shown(lines[it->second].name) + " already");
    }
    for (auto& t : teams)
        if (!team_line.contains(t.name)) {
            team_line[t.name] = lines.size();
            lines.push_back({t.name, "", t.name, {}, {}});
        }

    // Parents: by path, or by a name that only one bears.
    std::unordered_map<std::string, std::vector<std::size_t>> by_name;
    for (std::size_t i = 0; i < lines.size(); ++i) by_name[lines[i].name].push_back(i);
    std::vector<std::optional<std::size_t>> parent(lines.size());
    std::vector<char> lost(lines.size(), 0);
    std::vector<std::size_t> by_path_wanted;
    for (std::size_t i = 0; i < lines.size(); ++i) {
        auto& l = lines[i];
        // Names of teams are the platform's affair.
        if (i < given && l.team.empty() && !good_name(l.name)) {
            fault(
                l.name.empty() ? fmt::format("node {}", i + 1) : shown(l.name),
                fmt::format("expected a name of 1 to {} letters, digits, '.', '-' or '_'", max_name_length));
            lost[i] = 1;
            continue;
        }
        if (l.in.empty()) continue;
        auto slash = l.in.rfind('/');
        auto it = by_name.find(slash == std::string::npos ? l.in : l.in.substr(slash + 1));
        std::vector<std::size_t> fits;
        if (it != by_name.end()) fits = it->second;
        if (slash != std::string::npos) {
            // As many names upwards as were given must agree, each in its own `in`.
            auto matches = [&](std::size_t at, std::string path) {
                for (std::size_t steps = 0; steps <= max_depth; ++steps) {
                    auto cut = path.rfind('/');
                    if (lines[at].name != (cut == std::string::npos ? path : path.substr(cut + 1)))
                        return false;
                    if (cut == std::string::npos) return lines[at].in.empty();
                    path.resize(cut);
                    if (lines[at].in == path) return true;
                    auto up = by_name.find(lines[at].in);
                    if (up == by_name.end() || up->second.size() != 1) return false;
                    at = up->second.front();
                }
                return false;
            };
            std::erase_if(fits, [&](auto at) { return !matches(at, l.in); });
        } else if (fits.size() > 1) {
            // The one at the top is what a path of one name means.
            std::vector<std::size_t> top;
            for (auto at : fits)
                if (lines[at].in.empty()) top.push_back(at);
            if (top.size() == 1) fits = top;
        }
        if (fits.size() == 1) {
            parent[i] = fits.front();
        } else {
            fault(shown(l.name), fits.empty()
                                     ? "no node '" + shown(l.in) + "' to be in"
                                     : "several nodes are named '" + shown(l.in) + "': expected a path");
            lost[i] = 1;
        }
    }
    // Order: parents first. What is never reached stands in a cycle, or below one, or below a fault.
    std::vector<std::vector<std::size_t>> children(lines.size());
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < lines.size(); ++i) {
        if (lost[i]) continue;
        if (parent[i])
            children[*parent[i]].push_back(i);
        else
            order.push_back(i);
    }
    for (std::size_t k = 0; k < order.size(); ++k)
        order.insert(order.end(), children[order[k]].begin(), children[order[k]].end());
    if (order.size() < lines.size()) {
        std::vector<char> reached(lines.size(), 0);
        for (auto i : order) reached[i] = 1;
        for (std::size_t i = 0; i < lines.size(); ++i) {
            if (reached[i] || lost[i]) continue;
            // Up until a node comes again; each cycle is named once, by its first line.
            std::vector<std::size_t> way;
            std::size_t at = i;
            bool ends = false;
            while (std::find(way.begin(), way.end(), at) == way.end()) {
                way.push_back(at);
                if (lost[at] || !parent[at]) {
                    ends = true;
                    break;
                }
                at = *parent[at];
            }
            if (ends || at != i || *std::min_element(way.begin(), way.end()) != i) continue;
            std::string names;
            for (auto w : way) names += shown(lines[w].name) + " in ";
            fault(shown(lines[i].name), "a cycle: " + names + shown(lines[i].name));
        }
    }

    tree->nodes_.push_back({});
    std::vector<NodeId> id_of(lines.size(), no_node);
    std::vector<Resources> below(1);  // guarantees of children
    for (auto i : order) {
        auto& l = lines[i];
        Node n;
        n.name = l.name;
        n.team = l.team;
        if (i < given) n.entry_index = static_cast<std::uint32_t>(i);
        n.parent = parent[i] ? id_of[*parent[i]] : root;
        const Node up = tree->nodes_[n.parent];
        n.path = up.path.empty() ? l.name : up.path + "/" + l.name;
        n.depth = up.depth + 1;
        if (n.depth > max_depth)
            fault(n.path, fmt::format("{} levels: expected at most {}", n.depth, max_depth));
        auto id = static_cast<NodeId>(tree->nodes_.size());
        if (!tree->by_path_.emplace(n.path, id).second) fault(n.path, "a repeated name");
        if (!l.team.empty()) {
            tree->by_team_.emplace(l.team, id);
            for (NodeId a = n.parent; a != root; a = tree->nodes_[a].parent)
                if (!tree->nodes_[a].team.empty())
                    fault(n.path, "a team in team '" + tree->nodes_[a].team + "': expected a project there");
        }
        auto team = l.team.empty() ? known.end() : known.find(l.team);
        for (std::size_t d = 0; d < std::size(dimensions); ++d) {
            const auto dim = dimensions[d];
            const auto field = bound_fields[d];
            auto limit = l.limit.*field, promise = l.guarantee.*field;
            for (auto [value, what] : {std::pair(limit, "limit"), std::pair(promise, "guarantee")})
                if (value && (!std::isfinite(*value) || *value < 0 || *value > most))
                    fault(n.path, fmt::format("{}.{}: expected a number from 0 to {:.0f}", what,
                                              dimension_names[d], most));
            if (team != known.end()) {
                // The platform's word holds: an operator may be stricter with the limit, and no less
                // generous.
                auto top = team->second->limit.*field, owed = team->second->guarantee.*field;
                if (limit && top && *limit > *top + eps)
                    fault(n.path, fmt::format("limit.{} {}: the platform allows the team {}",
                                              dimension_names[d], number(*limit), number(*top)));
                if (promise && owed && *promise < *owed - eps)
                    fault(n.path, fmt::format("guarantee.{} {}: the platform promises the team {}",
                                              dimension_names[d], number(*promise), number(*owed)));
                if (!limit) limit = top;
                if (!promise) promise = owed;
            }
            if (limit) n.limit.*dim = *limit;
            if (promise) n.guarantee.*dim = *promise;
            if (promise && dim == &Resources::mem_gb) n.memory_guaranteed = *promise > 0;
            // The nearest limit above, if any.
            for (NodeId a = n.parent;; a = tree->nodes_[a].parent) {
                const double above = tree->nodes_[a].limit.*dim;
                if (above < no_limit) {
                    if (limit && *limit > above + eps)
                        fault(n.path, fmt::format("limit.{} {}: {} allows {}", dimension_names[d],
                                                  number(*limit), tree->nodes_[a].path, number(above)));
                    if (n.guarantee.*dim > above + eps && !(limit && n.guarantee.*dim > *limit + eps))
                        fault(n.path,
                              fmt::format("guarantee.{} {}: {} is limited to {}", dimension_names[d],
                                          number(n.guarantee.*dim), tree->nodes_[a].path, number(above)));
                    break;
                }
                if (a == root) break;
            }
            if (limit && n.guarantee.*dim > *limit + eps)
                fault(n.path, fmt::format("guarantee.{} {}: more than its own limit {}", dimension_names[d],
                                          number(n.guarantee.*dim), number(*limit)));
            below[n.parent].*dim += n.guarantee.*dim;
        }
        id_of[i] = id;
        tree->limits_ |= n.has_limit();
        if (n.has_guarantee()) {
            tree->guarantees_ = std::max(tree->guarantees_, n.depth);
            tree->guaranteed_.push_back(id);
        }
        tree->nodes_.push_back(std::move(n));
        below.emplace_back();
    }
    for (NodeId n = 1; n < tree->nodes_.size(); ++n)
        for (std::size_t d = 0; d < std::size(dimensions); ++d) {
            const double sum = below[n].*dimensions[d], own = tree->nodes_[n].guarantee.*dimensions[d];
            if (sum > own + eps)
                fault(tree->nodes_[n].path,
                      fmt::format("guarantee.{}: its children's add up to {}, its own is {}",
                                  dimension_names[d], number(sum), number(own)));
        }
    if (out.errors.empty()) out.tree = std::move(tree);
    return out;
}

std::optional<NodeId> Tree::find_by_path(const std::string& path) const {
    auto it = by_path_.find(path);
    if (it == by_path_.end()) return std::nullopt;
    return it->second;
}

std::optional<NodeId> Tree::find_project(const std::string& team, const std::string& project) const {
    auto it = by_team_.find(team);
    if (it == by_team_.end()) return std::nullopt;
    if (project.empty()) return it->second;
    return find_by_path(nodes_[it->second].path + "/" + project);
}

std::optional<NodeId> Tree::account_for(const std::string& team, const std::string& wanted) const {
    std::string path = wanted;
    for (;;) {
        if (auto n = find_project(team, path)) return n;
        if (path.empty()) return std::nullopt;
        auto slash = path.rfind('/');
        path.resize(slash == std::string::npos ? 0 : slash);
    }
}

NodeId Tree::lowest_common_ancestor(NodeId a, NodeId b) const {
    while (nodes_[a].depth > nodes_[b].depth) a = nodes_[a].parent;
    while (nodes_[b].depth > nodes_[a].depth) b = nodes_[b].parent;
    while (a != b) a = nodes_[a].parent, b = nodes_[b].parent;
    return a;
}

}  // namespace barrowrun::quota
