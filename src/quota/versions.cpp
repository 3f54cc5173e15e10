#include "quota/versions.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <set>

namespace barrowrun::quota {
namespace {

constexpr std::size_t kept_history = 16, most_text = 200;

Json bounds_json(const Bounds& b) {
    Json out = Json::object();
    for (std::size_t d = 0; d < std::size(bound_fields); ++d)
        if (auto v = b.*bound_fields[d]) out[dimension_names[d]] = *v;
    return out;
}

bool parse_bounds(const Json& map, const char* key, Bounds& out) {
    const Json* v = wire::find(map, key);
    if (!v) return true;
    if (!v->is_object()) return false;
    for (auto& [name, x] : v->items()) {
        auto at = std::find_if(std::begin(dimension_names), std::end(dimension_names),
                               [&name = name](auto n) { return name == n; });
        if (at == std::end(dimension_names) || !x.is_number()) return false;
        out.*bound_fields[at - std::begin(dimension_names)] = x.get<double>();
    }
    return true;
}

std::string cut(std::string s) {
    if (s.size() > most_text) s.resize(most_text);
    return s;
}

std::size_t bytes_of(const QuotaEntry& l) {
    return to_json(l).dump(-1, ' ', false, Json::error_handler_t::replace).size() + 1;
}

std::string path_of(const QuotaEntry& l) {
    return l.in.empty() ? l.name : l.in + "/" + l.name;
}

}  // namespace

Json to_json(const QuotaEntry& l) {
    Json out{{"name", l.name}};
    if (!l.in.empty()) out["in"] = l.in;
    if (!l.team.empty()) out["team"] = l.team;
    if (!l.limit.empty()) out["limit"] = bounds_json(l.limit);
    if (!l.guarantee.empty()) out["guarantee"] = bounds_json(l.guarantee);
    return out;
}

std::optional<QuotaEntry> parse_quota_entry(const Json& v) {
    auto name = wire::text(v, "name");
    if (!name) return std::nullopt;
    QuotaEntry l{*name, wire::text(v, "in").value_or(""), wire::text(v, "team").value_or(""), {}, {}};
    if (l.in.size() > (max_name_length + 1) * max_depth || l.team.size() > most_text ||
        l.name.size() > most_text)
        return std::nullopt;
    if (!parse_bounds(v, "limit", l.limit) || !parse_bounds(v, "guarantee", l.guarantee)) return std::nullopt;
    return l;
}

Json to_json(const Change& c) {
    Json set = Json::array();
    for (auto& l : c.set_entries) set.push_back(to_json(l));
    Json out{{"base", c.base_version}, {"set", std::move(set)}, {"drop", c.removed_paths},
             {"by", c.author},         {"why", c.reason},       {"nonce", c.nonce}};
    if (c.over_limit_grace_s) out["shrink_s"] = *c.over_limit_grace_s;
    return out;
}

std::variant<Change, std::string> parse_change(const Json& body) {
    using std::string;
    Change c;
    if (!body.is_object()) return string("the body is not a map");
    auto base = wire::count(body, "base");
    if (!base) return string("base: expected the version that the change was made from");
    c.base_version = *base;
    if (const Json* set = wire::find(body, "set")) {
        if (!set->is_array()) return string("set: expected a list of nodes");
        for (std::size_t i = 0; i < set->size(); ++i) {
            auto l = parse_quota_entry((*set)[i]);
            if (!l)
                return fmt::format("set[{}]: expected a node with a name, and amounts of cpus, gpus, mem_gb",
                                   i);
            c.set_entries.push_back(std::move(*l));
        }
    }
    if (const Json* drop = wire::find(body, "drop")) {
        if (!drop->is_array()) return string("drop: expected a list of paths");
        for (auto& p : *drop) {
            if (!p.is_string()) return string("drop: expected a list of paths");
            c.removed_paths.push_back(p.get<string>());
        }
    }
    if (wire::find(body, "shrink_s")) {
        c.over_limit_grace_s = wire::amount(body, "shrink_s");
        if (!c.over_limit_grace_s || *c.over_limit_grace_s < 0 || *c.over_limit_grace_s > 86'400)
            return string("shrink_s: expected seconds, from 0 to 86400");
    }
    c.author = cut(wire::text(body, "by").value_or(""));
    c.reason = cut(wire::text(body, "why").value_or(""));
    c.nonce = cut(wire::text(body, "nonce").value_or(""));
    return c;
}

Json to_json(const ChangeSummary& e) {
    return Json{{"version", e.version},      {"at_ms", e.at_ms}, {"by", e.author},
                {"why", e.reason},           {"nonce", e.nonce}, {"set", e.set_count},
                {"dropped", e.removed_count}};
}

std::optional<ChangeSummary> parse_change_summary(const Json& v) {
    auto version = wire::count(v, "version");
    if (!version) return std::nullopt;
    return ChangeSummary{*version,
                         static_cast<std::int64_t>(wire::count(v, "at_ms").value_or(0)),
                         wire::text(v, "by").value_or(""),
                         wire::text(v, "why").value_or(""),
                         wire::text(v, "nonce").value_or(""),
                         wire::count(v, "set").value_or(0),
                         wire::count(v, "dropped").value_or(0)};
}

VersionedQuotas::VersionedQuotas(std::vector<QuotaEntry> lines, std::size_t value_bytes,
                                 double over_limit_grace_s)
    : over_limit_grace_s_(over_limit_grace_s), page_bytes_(value_bytes / 3) {
    std::size_t bytes = 0;
    for (auto& l : lines) {
        auto n = bytes_of(l);
        if (pages_.empty() || bytes + n > page_bytes_) pages_.emplace_back(), bytes = 0;
        bytes += n;
        pages_.back().entries.push_back(std::move(l));
    }
}

std::string VersionedQuotas::page_key(std::size_t page, char slot) {
    return fmt::format("{}{}{}", record_prefix, page, slot);
}

std::variant<VersionedQuotas, std::string> VersionedQuotas::from_records(
    const std::map<std::string, Json>& records, std::size_t value_bytes) {
    using std::string;
    auto head = records.find(head_key);
    if (head == records.end()) return string("no head");
    const Json& h = head->second;
    VersionedQuotas b({}, value_bytes);
    auto version = wire::count(h, "version");
    auto slots = wire::text(h, "slots");
    if (!version || !slots) return string("quota/head cannot be read");
    b.version_ = *version;
    b.changed_ms_ = static_cast<std::int64_t>(wire::count(h, "changed_ms").value_or(0));
    b.over_limit_grace_s_ = wire::amount(h, "shrink_s").value_or(b.over_limit_grace_s_);
    if (const Json* list = wire::find(h, "history"); list && list->is_array())
        for (auto& e : *list)
            if (auto entry = parse_change_summary(e)) b.history_.push_back(std::move(*entry));
    for (std::size_t i = 0; i < slots->size(); ++i) {
        auto key = page_key(i, (*slots)[i]);
        auto page = records.find(key);
        if (page == records.end() || !page->second.is_array()) return key + " cannot be read";
        b.pages_.push_back({(*slots)[i], {}});
        for (auto& v : page->second) {
            auto l = parse_quota_entry(v);
            if (!l) return key + " cannot be read";
            b.pages_.back().entries.push_back(std::move(*l));
        }
    }
    return b;
}

std::vector<QuotaEntry> VersionedQuotas::entries() const {
    std::vector<QuotaEntry> out;
    for (auto& p : pages_) out.insert(out.end(), p.entries.begin(), p.entries.end());
    return out;
}

Json VersionedQuotas::head() const {
    std::string slots;
    for (auto& p : pages_) slots += p.slot;
    Json history = Json::array();
    for (auto& e : history_) history.push_back(to_json(e));
    return Json{{"version", version_},
                {"slots", std::move(slots)},
                {"changed_ms", changed_ms_},
                {"shrink_s", over_limit_grace_s_},
                {"history", std::move(history)}};
}

std::variant<VersionedQuotas::NextVersion, std::vector<ValidationError>> VersionedQuotas::with_change(
    const Change& change, const std::vector<TeamQuota>& teams, std::int64_t wall_ms) const {
    std::vector<ValidationError> faults;
    NextVersion out{*this, nullptr, {}};
    VersionedQuotas& b = out.book;
    // Where each path stands: parents are named by path in changes, by path or name in files.
    std::map<std::string, std::pair<std::size_t, std::size_t>> at;
    auto before = Tree::build(entries(), teams, version_);
    std::vector<std::pair<std::size_t, std::size_t>> places;
    for (std::size_t p = 0; p < pages_.size(); ++p)
        for (std::size_t i = 0; i < pages_[p].entries.size(); ++i) places.emplace_back(p, i);
    if (before.tree) {
        for (auto& n : before.tree->nodes())
            if (n.entry_index != no_node) at[n.path] = places[n.entry_index];
    } else {
        std::size_t k = 0;
        for (auto& l : entries()) at[path_of(l)] = places[k++];
    }
    std::set<std::size_t> touched;
    std::set<std::pair<std::size_t, std::size_t>> dropped;
    for (auto& path : change.removed_paths) {
        auto it = at.find(path);
        if (it == at.end()) {
            faults.push_back({cut(path), "there is no such node to drop"});
            continue;
        }
        dropped.insert(it->second);
        touched.insert(it->second.first);
    }
    for (auto& l : change.set_entries) {
        if (auto it = at.find(path_of(l)); it != at.end()) {
            auto [p, i] = it->second;
            // Its parent keeps the spelling that it has.
            QuotaEntry changed = l;
            changed.in = b.pages_[p].entries[i].in;
            b.pages_[p].entries[i] = std::move(changed);
            touched.insert(p);
            continue;
        }
        std::size_t size = 0;
        if (!b.pages_.empty())
            for (auto& x : b.pages_.back().entries) size += bytes_of(x);
        if (b.pages_.empty() || size + bytes_of(l) > page_bytes_) b.pages_.emplace_back();
        b.pages_.back().entries.push_back(l);
        touched.insert(b.pages_.size() - 1);
    }
    for (auto it = dropped.rbegin(); it != dropped.rend(); ++it) {
        auto& lines = b.pages_[it->first].entries;
        lines.erase(lines.begin() + static_cast<long>(it->second));
    }
    if (!faults.empty()) return faults;
    b.version_ = version_ + 1;
    auto built = Tree::build(b.entries(), teams, b.version_);
    if (!built.tree) return built.errors;
    out.tree = built.tree;
    b.changed_ms_ = wall_ms;
    if (change.over_limit_grace_s) b.over_limit_grace_s_ = *change.over_limit_grace_s;
    b.history_.push_back({b.version_, wall_ms, change.author, change.reason, change.nonce,
                          change.set_entries.size(), change.removed_paths.size()});
    if (b.history_.size() > kept_history) b.history_.erase(b.history_.begin());
    // The first record holds all that the file said.
    if (version_ == 0)
        for (std::size_t p = 0; p < b.pages_.size(); ++p) touched.insert(p);
    for (auto p : touched) {
        auto& page = b.pages_[p];
        page.slot = page.slot == 'a' ? 'b' : 'a';
        Json value = Json::array();
        for (auto& l : page.entries) value.push_back(to_json(l));
        out.writes.push_back({page_key(p, page.slot), std::move(value)});
    }
    out.writes.push_back({head_key, b.head()});
    return out;
}

}  // namespace barrowrun::quota
