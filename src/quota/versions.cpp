#include "quota/versions.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <set>

namespace barrowrun::quota {
namespace {

constexpr std::size_t max_history_entries = 16, max_text_bytes = 200;

Json bounds_to_json(const Bounds& bounds) {
    Json out = Json::object();
    for (std::size_t dimension = 0; dimension < std::size(bound_fields); ++dimension)
        if (auto amount = bounds.*bound_fields[dimension]) out[dimension_names[dimension]] = *amount;
    return out;
}

bool parse_bounds(const Json& object, const char* key, Bounds& out) {
    const Json* bounds = wire::find(object, key);
    if (!bounds) return true;
    if (!bounds->is_object()) return false;
    for (auto& [name, amount] : bounds->items()) {
        auto found = std::find_if(std::begin(dimension_names), std::end(dimension_names),
                                  [&name = name](auto dimension) { return name == dimension; });
        if (found == std::end(dimension_names) || !amount.is_number()) return false;
        out.*bound_fields[found - std::begin(dimension_names)] = amount.get<double>();
    }
    return true;
}

std::string truncated(std::string text) {
    if (text.size() > max_text_bytes) text.resize(max_text_bytes);
    return text;
}

std::size_t serialized_size(const QuotaEntry& entry) {
    return to_json(entry).dump(-1, ' ', false, Json::error_handler_t::replace).size() + 1;
}

std::string written_path(const QuotaEntry& entry) {
    return entry.in.empty() ? entry.name : entry.in + "/" + entry.name;
}

}  // namespace

Json to_json(const QuotaEntry& entry) {
    Json out{{"name", entry.name}};
    if (!entry.in.empty()) out["in"] = entry.in;
    if (!entry.team.empty()) out["team"] = entry.team;
    if (!entry.limit.empty()) out["limit"] = bounds_to_json(entry.limit);
    if (!entry.guarantee.empty()) out["guarantee"] = bounds_to_json(entry.guarantee);
    return out;
}

std::optional<QuotaEntry> parse_quota_entry(const Json& value) {
    auto name = wire::text(value, "name");
    if (!name) return std::nullopt;
    QuotaEntry entry{
        *name, wire::text(value, "in").value_or(""), wire::text(value, "team").value_or(""), {}, {}};
    if (entry.in.size() > (max_name_length + 1) * max_depth || entry.team.size() > max_text_bytes ||
        entry.name.size() > max_text_bytes)
        return std::nullopt;
    if (!parse_bounds(value, "limit", entry.limit) || !parse_bounds(value, "guarantee", entry.guarantee))
        return std::nullopt;
    return entry;
}

Json to_json(const Change& change) {
    Json set = Json::array();
    for (auto& entry : change.set_entries) set.push_back(to_json(entry));
    Json out{{"base", change.base_version}, {"set", std::move(set)}, {"drop", change.removed_paths},
             {"by", change.author},         {"why", change.reason},  {"nonce", change.nonce}};
    if (change.over_limit_grace_s) out["shrink_s"] = *change.over_limit_grace_s;
    return out;
}

std::variant<Change, std::string> parse_change(const Json& body) {
    using std::string;
    Change change;
    if (!body.is_object()) return string("the body is not a map");
    auto base = wire::count(body, "base");
    if (!base) return string("base: expected the version that the change was made from");
    change.base_version = *base;
    if (const Json* set = wire::find(body, "set")) {
        if (!set->is_array()) return string("set: expected a list of nodes");
        for (std::size_t i = 0; i < set->size(); ++i) {
            auto entry = parse_quota_entry((*set)[i]);
            if (!entry)
                return fmt::format("set[{}]: expected a node with a name, and amounts of cpus, gpus, mem_gb",
                                   i);
            change.set_entries.push_back(std::move(*entry));
        }
    }
    if (const Json* drop = wire::find(body, "drop")) {
        if (!drop->is_array()) return string("drop: expected a list of paths");
        for (auto& path : *drop) {
            if (!path.is_string()) return string("drop: expected a list of paths");
            change.removed_paths.push_back(path.get<string>());
        }
    }
    if (wire::find(body, "shrink_s")) {
        change.over_limit_grace_s = wire::amount(body, "shrink_s");
        if (!change.over_limit_grace_s || *change.over_limit_grace_s < 0 ||
            *change.over_limit_grace_s > 86'400)
            return string("shrink_s: expected seconds, from 0 to 86400");
    }
    change.author = truncated(wire::text(body, "by").value_or(""));
    change.reason = truncated(wire::text(body, "why").value_or(""));
    change.nonce = truncated(wire::text(body, "nonce").value_or(""));
    return change;
}

Json to_json(const ChangeSummary& summary) {
    return Json{{"version", summary.version},      {"at_ms", summary.at_ms}, {"by", summary.author},
                {"why", summary.reason},           {"nonce", summary.nonce}, {"set", summary.set_count},
                {"dropped", summary.removed_count}};
}

std::optional<ChangeSummary> parse_change_summary(const Json& value) {
    auto version = wire::count(value, "version");
    if (!version) return std::nullopt;
    return ChangeSummary{*version,
                         static_cast<std::int64_t>(wire::count(value, "at_ms").value_or(0)),
                         wire::text(value, "by").value_or(""),
                         wire::text(value, "why").value_or(""),
                         wire::text(value, "nonce").value_or(""),
                         wire::count(value, "set").value_or(0),
                         wire::count(value, "dropped").value_or(0)};
}

VersionedQuotas::VersionedQuotas(std::vector<QuotaEntry> entries, std::size_t value_bytes,
                                 double over_limit_grace_s)
    : over_limit_grace_s_(over_limit_grace_s), page_bytes_(value_bytes / 3) {
    std::size_t bytes = 0;
    for (auto& entry : entries) {
        auto size = serialized_size(entry);
        if (pages_.empty() || bytes + size > page_bytes_) pages_.emplace_back(), bytes = 0;
        bytes += size;
        pages_.back().entries.push_back(std::move(entry));
    }
}

std::string VersionedQuotas::page_key(std::size_t page, char slot) {
    return fmt::format("{}{}{}", record_prefix, page, slot);
}

std::variant<VersionedQuotas, std::string> VersionedQuotas::from_records(
    const std::map<std::string, Json>& records, std::size_t value_bytes) {
    using std::string;
    auto head_record = records.find(head_key);
    if (head_record == records.end()) return string("record quota/head: missing");
    const Json& head = head_record->second;
    VersionedQuotas quotas({}, value_bytes);
    auto version = wire::count(head, "version");
    auto slots = wire::text(head, "slots");
    if (!version || !slots) return string("record quota/head: expected a version and the slots of the pages");
    quotas.version_ = *version;
    quotas.changed_ms_ = static_cast<std::int64_t>(wire::count(head, "changed_ms").value_or(0));
    quotas.over_limit_grace_s_ = wire::amount(head, "shrink_s").value_or(quotas.over_limit_grace_s_);
    if (const Json* list = wire::find(head, "history"); list && list->is_array())
        for (auto& item : *list)
            if (auto summary = parse_change_summary(item)) quotas.history_.push_back(std::move(*summary));
    for (std::size_t i = 0; i < slots->size(); ++i) {
        auto key = page_key(i, (*slots)[i]);
        auto page = records.find(key);
        if (page == records.end() || !page->second.is_array())
            return "record " + key + ": expected a list of entries";
        quotas.pages_.push_back({(*slots)[i], {}});
        for (auto& value : page->second) {
            auto entry = parse_quota_entry(value);
            if (!entry) return "record " + key + ": invalid entry";
            quotas.pages_.back().entries.push_back(std::move(*entry));
        }
    }
    return quotas;
}

std::vector<QuotaEntry> VersionedQuotas::entries() const {
    std::vector<QuotaEntry> out;
    for (auto& page : pages_) out.insert(out.end(), page.entries.begin(), page.entries.end());
    return out;
}

Json VersionedQuotas::head() const {
    std::string slots;
    for (auto& page : pages_) slots += page.slot;
    Json history = Json::array();
    for (auto& summary : history_) history.push_back(to_json(summary));
    return Json{{"version", version_},
                {"slots", std::move(slots)},
                {"changed_ms", changed_ms_},
                {"shrink_s", over_limit_grace_s_},
                {"history", std::move(history)}};
}

std::variant<VersionedQuotas::NextVersion, std::vector<ValidationError>> VersionedQuotas::with_change(
    const Change& change, const std::vector<TeamQuota>& teams, std::int64_t wall_ms) const {
    std::vector<ValidationError> errors;
    NextVersion out{*this, nullptr, {}};
    VersionedQuotas& next = out.book;
    // Page and index of each entry by path: changes name parents by path, files by path or by name.
    std::map<std::string, std::pair<std::size_t, std::size_t>> position_by_path;
    auto previous = Tree::build(entries(), teams, version_);
    std::vector<std::pair<std::size_t, std::size_t>> positions;
    for (std::size_t page_index = 0; page_index < pages_.size(); ++page_index)
        for (std::size_t i = 0; i < pages_[page_index].entries.size(); ++i)
            positions.emplace_back(page_index, i);
    if (previous.tree) {
        for (auto& node : previous.tree->nodes())
            if (node.entry_index != no_node) position_by_path[node.path] = positions[node.entry_index];
    } else {
        std::size_t index = 0;
        for (auto& entry : entries()) position_by_path[written_path(entry)] = positions[index++];
    }
    std::set<std::size_t> touched_pages;
    std::set<std::pair<std::size_t, std::size_t>> removed;
    for (auto& path : change.removed_paths) {
        auto found = position_by_path.find(path);
        if (found == position_by_path.end()) {
            errors.push_back({truncated(path), "there is no such node to drop"});
            continue;
        }
        removed.insert(found->second);
        touched_pages.insert(found->second.first);
    }
    for (auto& entry : change.set_entries) {
        if (auto found = position_by_path.find(written_path(entry)); found != position_by_path.end()) {
            auto [page_index, entry_index] = found->second;
            // The entry keeps the way it names its parent: by path or by name.
            QuotaEntry changed = entry;
            changed.in = next.pages_[page_index].entries[entry_index].in;
            next.pages_[page_index].entries[entry_index] = std::move(changed);
            touched_pages.insert(page_index);
            continue;
        }
        std::size_t size = 0;
        if (!next.pages_.empty())
            for (auto& existing : next.pages_.back().entries) size += serialized_size(existing);
        if (next.pages_.empty() || size + serialized_size(entry) > page_bytes_) next.pages_.emplace_back();
        next.pages_.back().entries.push_back(entry);
        touched_pages.insert(next.pages_.size() - 1);
    }
    for (auto it = removed.rbegin(); it != removed.rend(); ++it) {
        auto& entries_of_page = next.pages_[it->first].entries;
        entries_of_page.erase(entries_of_page.begin() + static_cast<long>(it->second));
    }
    if (!errors.empty()) return errors;
    next.version_ = version_ + 1;
    auto built = Tree::build(next.entries(), teams, next.version_);
    if (!built.tree) return built.errors;
    out.tree = built.tree;
    next.changed_ms_ = wall_ms;
    if (change.over_limit_grace_s) next.over_limit_grace_s_ = *change.over_limit_grace_s;
    next.history_.push_back({next.version_, wall_ms, change.author, change.reason, change.nonce,
                             change.set_entries.size(), change.removed_paths.size()});
    if (next.history_.size() > max_history_entries) next.history_.erase(next.history_.begin());
    // The first change writes all pages, since the entries of the operator's file are not stored yet.
    if (version_ == 0)
        for (std::size_t page_index = 0; page_index < next.pages_.size(); ++page_index)
            touched_pages.insert(page_index);
    for (auto page_index : touched_pages) {
        auto& page = next.pages_[page_index];
        page.slot = page.slot == 'a' ? 'b' : 'a';
        Json value = Json::array();
        for (auto& entry : page.entries) value.push_back(to_json(entry));
        out.writes.push_back({page_key(page_index, page.slot), std::move(value)});
    }
    out.writes.push_back({head_key, next.head()});
    return out;
}

}  // namespace barrowrun::quota
