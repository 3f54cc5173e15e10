#include "quota/book.hpp"

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

std::size_t bytes_of(const Line& l) {
    return to_json(l).dump(-1, ' ', false, Json::error_handler_t::replace).size() + 1;
}

std::string path_of(const Line& l) {
    return l.in.empty() ? l.name : l.in + "/" + l.name;
}

}  // namespace

Json to_json(const Line& l) {
    Json out{{"name", l.name}};
    if (!l.in.empty()) out["in"] = l.in;
    if (!l.team.empty()) out["team"] = l.team;
    if (!l.limit.empty()) out["limit"] = bounds_json(l.limit);
    if (!l.guarantee.empty()) out["guarantee"] = bounds_json(l.guarantee);
    return out;
}

std::optional<Line> parse_line(const Json& v) {
    auto name = wire::text(v, "name");
    if (!name) return std::nullopt;
    Line l{*name, wire::text(v, "in").value_or(""), wire::text(v, "team").value_or(""), {}, {}};
    if (l.in.size() > (max_name + 1) * max_depth || l.team.size() > most_text || l.name.size() > most_text)
        return std::nullopt;
    if (!parse_bounds(v, "limit", l.limit) || !parse_bounds(v, "guarantee", l.guarantee)) return std::nullopt;
    return l;
}

Json to_json(const Change& c) {
    Json set = Json::array();
    for (auto& l : c.set) set.push_back(to_json(l));
    Json out{{"base", c.base}, {"set", std::move(set)}, {"drop", c.drop},
             {"by", c.by},     {"why", c.why},          {"nonce", c.nonce}};
    if (c.shrink_s) out["shrink_s"] = *c.shrink_s;
    return out;
}

std::variant<Change, std::string> parse_change(const Json& body) {
    using std::string;
    Change c;
    if (!body.is_object()) return string("the body is not a map");
    auto base = wire::count(body, "base");
    if (!base) return string("base: expected the version that the change was made from");
    c.base = *base;
    if (const Json* set = wire::find(body, "set")) {
        if (!set->is_array()) return string("set: expected a list of nodes");
        for (std::size_t i = 0; i < set->size(); ++i) {
            auto l = parse_line((*set)[i]);
            if (!l)
                return fmt::format("set[{}]: expected a node with a name, and amounts of cpus, gpus, mem_gb",
                                   i);
            c.set.push_back(std::move(*l));
        }
    }
    if (const Json* drop = wire::find(body, "drop")) {
        if (!drop->is_array()) return string("drop: expected a list of paths");
        for (auto& p : *drop) {
            if (!p.is_string()) return string("drop: expected a list of paths");
            c.drop.push_back(p.get<string>());
        }
    }
    if (wire::find(body, "shrink_s")) {
        c.shrink_s = wire::amount(body, "shrink_s");
        if (!c.shrink_s || *c.shrink_s < 0 || *c.shrink_s > 86'400)
            return string("shrink_s: expected seconds, from 0 to 86400");
    }
    c.by = cut(wire::text(body, "by").value_or(""));
    c.why = cut(wire::text(body, "why").value_or(""));
    c.nonce = cut(wire::text(body, "nonce").value_or(""));
    return c;
}

Json to_json(const Entry& e) {
    return Json{{"version", e.version}, {"at_ms", e.at_ms}, {"by", e.by},          {"why", e.why},
                {"nonce", e.nonce},     {"set", e.set},     {"dropped", e.dropped}};
}

std::optional<Entry> parse_entry(const Json& v) {
    auto version = wire::count(v, "version");
    if (!version) return std::nullopt;
    return Entry{*version,
                 static_cast<std::int64_t>(wire::count(v, "at_ms").value_or(0)),
                 wire::text(v, "by").value_or(""),
                 wire::text(v, "why").value_or(""),
                 wire::text(v, "nonce").value_or(""),
                 wire::count(v, "set").value_or(0),
                 wire::count(v, "dropped").value_or(0)};
}

Book::Book(std::vector<Line> lines, std::size_t value_bytes, double shrink_s)
    : shrink_s_(shrink_s), page_bytes_(value_bytes / 3) {
    std::size_t bytes = 0;
    for (auto& l : lines) {
        auto n = bytes_of(l);
        if (pages_.empty() || bytes + n > page_bytes_) pages_.emplace_back(), bytes = 0;
        bytes += n;
        pages_.back().lines.push_back(std::move(l));
    }
}

std::string Book::page_key(std::size_t page, char slot) {
    return fmt::format("{}{}{}", key_prefix, page, slot);
}

std::variant<Book, std::string> Book::read(const std::map<std::string, Json>& records,
                                           std::size_t value_bytes) {
    using std::string;
    auto head = records.find(head_key);
    if (head == records.end()) return string("no head");
    const Json& h = head->second;
    Book b({}, value_bytes);
    auto version = wire::count(h, "version");
    auto slots = wire::text(h, "slots");
    if (!version || !slots) return string("quota/head cannot be read");
    b.version_ = *version;
    b.changed_ms_ = static_cast<std::int64_t>(wire::count(h, "changed_ms").value_or(0));
    b.shrink_s_ = wire::amount(h, "shrink_s").value_or(b.shrink_s_);
    if (const Json* list = wire::find(h, "history"); list && list->is_array())
        for (auto& e : *list)
            if (auto entry = parse_entry(e)) b.history_.push_back(std::move(*entry));
    for (std::size_t i = 0; i < slots->size(); ++i) {
        auto key = page_key(i, (*slots)[i]);
        auto page = records.find(key);
        if (page == records.end() || !page->second.is_array()) return key + " cannot be read";
        b.pages_.push_back({(*slots)[i], {}});
        for (auto& v : page->second) {
            auto l = parse_line(v);
            if (!l) return key + " cannot be read";
            b.pages_.back().lines.push_back(std::move(*l));
        }
    }
    return b;
}

std::vector<Line> Book::lines() const {
    std::vector<Line> out;
    for (auto& p : pages_) out.insert(out.end(), p.lines.begin(), p.lines.end());
    return out;
}

Json Book::head() const {
    std::string slots;
    for (auto& p : pages_) slots += p.slot;
    Json history = Json::array();
    for (auto& e : history_) history.push_back(to_json(e));
    return Json{{"version", version_},
                {"slots", std::move(slots)},
                {"changed_ms", changed_ms_},
                {"shrink_s", shrink_s_},
                {"history", std::move(history)}};
}

std::variant<Book::Next, std::vector<Fault>> Book::next(const Change& change, const std::vector<Team>& teams,
                                                        std::int64_t wall_ms) const {
    std::vector<Fault> faults;
    Next out{*this, nullptr, {}};
    Book& b = out.book;
    // Where each path stands: parents are named by path in changes, by path or name in files.
    std::map<std::string, std::pair<std::size_t, std::size_t>> at;
    auto before = Tree::build(lines(), teams, version_);
    std::vector<std::pair<std::size_t, std::size_t>> places;
    for (std::size_t p = 0; p < pages_.size(); ++p)
        for (std::size_t i = 0; i < pages_[p].lines.size(); ++i) places.emplace_back(p, i);
    if (before.tree) {
        for (auto& n : before.tree->nodes())
            if (n.line != no_node) at[n.path] = places[n.line];
    } else {
        std::size_t k = 0;
        for (auto& l : lines()) at[path_of(l)] = places[k++];
    }
    std::set<std::size_t> touched;
    std::set<std::pair<std::size_t, std::size_t>> dropped;
    for (auto& path : change.drop) {
        auto it = at.find(path);
        if (it == at.end()) {
            faults.push_back({cut(path), "there is no such node to drop"});
            continue;
        }
        dropped.insert(it->second);
        touched.insert(it->second.first);
    }
    for (auto& l : change.set) {
        if (auto it = at.find(path_of(l)); it != at.end()) {
            auto [p, i] = it->second;
            // Its parent keeps the spelling that it has.
            Line changed = l;
            changed.in = b.pages_[p].lines[i].in;
            b.pages_[p].lines[i] = std::move(changed);
            touched.insert(p);
            continue;
        }
        std::size_t size = 0;
        if (!b.pages_.empty())
            for (auto& x : b.pages_.back().lines) size += bytes_of(x);
        if (b.pages_.empty() || size + bytes_of(l) > page_bytes_) b.pages_.emplace_back();
        b.pages_.back().lines.push_back(l);
        touched.insert(b.pages_.size() - 1);
    }
    for (auto it = dropped.rbegin(); it != dropped.rend(); ++it) {
        auto& lines = b.pages_[it->first].lines;
        lines.erase(lines.begin() + static_cast<long>(it->second));
    }
    if (!faults.empty()) return faults;
    b.version_ = version_ + 1;
    auto built = Tree::build(b.lines(), teams, b.version_);
    if (!built.tree) return built.faults;
    out.tree = built.tree;
    b.changed_ms_ = wall_ms;
    if (change.shrink_s) b.shrink_s_ = *change.shrink_s;
    b.history_.push_back(
        {b.version_, wall_ms, change.by, change.why, change.nonce, change.set.size(), change.drop.size()});
    if (b.history_.size() > kept_history) b.history_.erase(b.history_.begin());
    // The first record holds all that the file said.
    if (version_ == 0)
        for (std::size_t p = 0; p < b.pages_.size(); ++p) touched.insert(p);
    for (auto p : touched) {
        auto& page = b.pages_[p];
        page.slot = page.slot == 'a' ? 'b' : 'a';
        Json value = Json::array();
        for (auto& l : page.lines) value.push_back(to_json(l));
        out.writes.push_back({page_key(p, page.slot), std::move(value)});
    }
    out.writes.push_back({head_key, b.head()});
    return out;
}

}  // namespace barrowrun::quota
