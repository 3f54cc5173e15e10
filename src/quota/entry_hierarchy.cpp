#include "quota/entry_hierarchy.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cctype>
#include <string>
#include <unordered_map>

#include "quota/validation.hpp"

namespace barrowrun::quota {
namespace {

bool valid_name(const std::string& name) {
    const auto allowed = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; };
    return !name.empty() && name.size() <= max_name_length && std::all_of(name.begin(), name.end(), allowed);
}

bool is_path(const std::string& text) {
    return text.find('/') != std::string::npos;
}

std::string last_component(const std::string& path) {
    const auto slash = path.rfind('/');
    return slash == std::string::npos ? path : path.substr(slash + 1);
}

class HierarchyResolver {
  public:
    HierarchyResolver(const std::vector<QuotaEntry>& entries, std::size_t operator_entry_count,
                      std::vector<ValidationError>& errors)
        : entries_(entries),
          operator_entry_count_(operator_entry_count),
          errors_(errors),
          invalid_(entries.size(), 0) {
        hierarchy_.parents.resize(entries.size());
        for (std::size_t i = 0; i < entries.size(); ++i) by_name_[entries[i].name].push_back(i);
    }

    EntryHierarchy resolve() {
        for (std::size_t i = 0; i < entries_.size(); ++i) resolve_entry(i);
        order_parents_first();
        // Entries missing from the order are invalid, part of a cycle, or descendants of such entries.
        if (hierarchy_.order.size() < entries_.size()) report_cycles();
        return std::move(hierarchy_);
    }

  private:
    void resolve_entry(std::size_t index) {
        const QuotaEntry& entry = entries_[index];
        if (index < operator_entry_count_ && entry.team.empty() && !valid_name(entry.name)) {
            reject(
                index, entry.name.empty() ? fmt::format("node {}", index + 1) : printable(entry.name),
                fmt::format("expected a name of 1 to {} letters, digits, '.', '-' or '_'", max_name_length));
            return;
        }
        if (entry.in.empty()) return;
        const auto candidates = parent_candidates(entry.in);
        if (candidates.size() == 1)
            hierarchy_.parents[index] = candidates.front();
        else if (candidates.empty())
            reject(index, printable(entry.name), "no node '" + printable(entry.in) + "' to be in");
        else
            reject(index, printable(entry.name),
                   "several nodes are named '" + printable(entry.in) + "': expected a path");
    }

    void reject(std::size_t index, const std::string& path, std::string message) {
        add_error(errors_, path, std::move(message));
        invalid_[index] = 1;
    }

    // Returns the entries that `reference` (a name or path) can denote: exactly one if it is valid.
    std::vector<std::size_t> parent_candidates(const std::string& reference) const {
        const auto same_name = by_name_.find(last_component(reference));
        if (same_name == by_name_.end()) return {};
        auto candidates = same_name->second;
        if (is_path(reference)) {
            std::erase_if(candidates, [&](auto index) { return !has_path(index, reference); });
            return candidates;
        }
        if (candidates.size() < 2) return candidates;
        // Among several entries of the same name, a path of one component denotes the top-level one.
        std::vector<std::size_t> top_level;
        for (auto index : candidates)
            if (entries_[index].in.empty()) top_level.push_back(index);
        return top_level.size() == 1 ? top_level : candidates;
    }

    // Returns whether the names of an entry and its ancestors match `path`, compared from the last component
    // upwards. An ancestor may name its parent by path, which then has to equal the rest of `path`, or by a
    // name that only one node has.
    bool has_path(std::size_t index, std::string path) const {
        for (std::size_t level = 0; level <= max_depth; ++level) {
            const QuotaEntry& entry = entries_[index];
            if (entry.name != last_component(path)) return false;
            if (!is_path(path)) return entry.in.empty();
            path.resize(path.rfind('/'));
            if (entry.in == path) return true;
            const auto parent = by_name_.find(entry.in);
            if (parent == by_name_.end() || parent->second.size() != 1) return false;
            index = parent->second.front();
        }
        return false;
    }

    void order_parents_first() {
        std::vector<std::vector<std::size_t>> children(entries_.size());
        auto& order = hierarchy_.order;
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (invalid_[i]) continue;
            if (const auto parent = hierarchy_.parents[i])
                children[*parent].push_back(i);
            else
                order.push_back(i);
        }
        for (std::size_t k = 0; k < order.size(); ++k) {
            const auto& children_of_entry = children[order[k]];
            order.insert(order.end(), children_of_entry.begin(), children_of_entry.end());
        }
    }

    // Reports each cycle once, under its first entry.
    void report_cycles() {
        std::vector<char> reached(entries_.size(), 0);
        for (auto index : hierarchy_.order) reached[index] = 1;
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (reached[i] || invalid_[i]) continue;
            const auto cycle = cycle_through(i);
            if (cycle.empty() || *std::min_element(cycle.begin(), cycle.end()) != i) continue;
            std::string names;
            for (auto index : cycle) names += printable(entries_[index].name) + " in ";
            const auto first = printable(entries_[i].name);
            add_error(errors_, first, "a cycle: " + names + first);
        }
    }

    // Returns the entries from `start` upwards until `start` is reached again; empty if `start` is not itself
    // part of a cycle.
    std::vector<std::size_t> cycle_through(std::size_t start) const {
        std::vector<std::size_t> chain;
        std::size_t index = start;
        while (std::find(chain.begin(), chain.end(), index) == chain.end()) {
            if (invalid_[index] || !hierarchy_.parents[index]) return {};
            chain.push_back(index);
            index = *hierarchy_.parents[index];
        }
        if (index != start) return {};
        return chain;
    }

    const std::vector<QuotaEntry>& entries_;
    const std::size_t operator_entry_count_;
    std::vector<ValidationError>& errors_;
    std::unordered_map<std::string, std::vector<std::size_t>> by_name_;
    std::vector<char> invalid_;
    EntryHierarchy hierarchy_;
};

}  // namespace

EntryHierarchy resolve_hierarchy(const std::vector<QuotaEntry>& entries, std::size_t operator_entry_count,
                                 std::vector<ValidationError>& errors) {
    return HierarchyResolver(entries, operator_entry_count, errors).resolve();
}

}  // namespace barrowrun::quota
