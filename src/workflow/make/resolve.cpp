#include "workflow/make/resolve.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <filesystem>

namespace barrowrun::workflow::make {
namespace fs = std::filesystem;

namespace {
constexpr int longest_chain = 12;

const std::set<std::string>& special_names() {
    static const std::set<std::string> names{
        ".PHONY",           ".PRECIOUS", ".INTERMEDIATE", ".SECONDARY",
        ".DELETE_ON_ERROR", ".IGNORE",   ".SILENT",       ".EXPORT_ALL_VARIABLES",
        ".NOTPARALLEL",     ".ONESHELL", ".POSIX",        ".SUFFIXES"};
    return names;
}

const std::set<std::string>& known_suffixes() {
    static const std::set<std::string> suffixes{
        ".out", ".a",   ".ln",      ".o",    ".c",      ".cc", ".C",  ".cpp", ".p",   ".f",   ".F", ".m",
        ".r",   ".y",   ".l",       ".ym",   ".yl",     ".s",  ".S",  ".mod", ".sym", ".def", ".h", ".info",
        ".dvi", ".tex", ".texinfo", ".texi", ".txinfo", ".w",  ".ch", ".web", ".sh",  ".elc", ".el"};
    return suffixes;
}

// Suffixes that Make's own rules know and that aren't built in here: passed over, a file would not be made
// that Make makes.
const char* foreign_suffixes[] = {".f",   ".F",   ".r",    ".y",   ".l",       ".p",    ".m",
                                  ".mod", ".sym", ".def",  ".tex", ".texinfo", ".texi", ".txinfo",
                                  ".w",   ".web", ".cweb", ".ch",  ".S",       ".dvi"};
}  // namespace

bool Resolver::exists(const std::string& name) const {
    struct stat s {};
    auto path = name.starts_with('/') ? name : expander_.dir() + "/" + name;
    return ::stat(path.c_str(), &s) == 0;
}

void Resolver::index() {
    if (std::exchange(indexed_, true)) return;
    for (auto& r : book_.rules) {
        for (auto& t : r->targets) {
            if (special_names().contains(t)) {
                if (r->prereqs.empty()) special_all_.insert(t);
                special_[t].insert(r->prereqs.begin(), r->prereqs.end());
                if (t != ".PHONY" && t != ".SUFFIXES" && t != ".PRECIOUS" && t != ".IGNORE" && t != ".SILENT")
                    mentioned_.insert(r->prereqs.begin(), r->prereqs.end());
                continue;
            }
            targets_[t].rules.push_back(r);
            mentioned_.insert(t);
        }
        mentioned_.insert(r->prereqs.begin(), r->prereqs.end());
        mentioned_.insert(r->order_only.begin(), r->order_only.end());
    }
    for (auto& name : special_[".PHONY"]) mentioned_.insert(name);
    if (special_all_.contains(".NOTPARALLEL")) graph_.most_at_once = 1;
    if (expander_.find("VPATH", nullptr)) {
        std::vector<std::string> dirs;
        auto value = expander_.value("VPATH", nullptr, {"VPATH", 0});
        std::replace(value.begin(), value.end(), ':', ' ');
        if (auto list = words(value); !list.empty()) book_.vpaths.emplace_back("%", list);
    }
}

bool Resolver::listed(const std::string& special, const std::string& name) const {
    auto it = special_.find(special);
    if (it == special_.end()) return false;
    if (special_all_.contains(special) && special != ".PHONY") return true;
    return it->second.contains(name);
}

std::optional<std::string> Resolver::by_vpath(const std::string& name) const {
    if (name.starts_with('/')) return std::nullopt;
    for (auto& [pattern, dirs] : book_.vpaths) {
        if (!Pattern(pattern).match(name)) continue;
        for (auto& d : dirs) {
            auto path = d + (d.ends_with('/') ? "" : "/") + name;
            if (exists(path)) return path;
        }
    }
    return std::nullopt;
}

std::shared_ptr<Scope> Resolver::scope_for(const std::string& name, const std::shared_ptr<Scope>& parent) {
    std::vector<const Assignment*> own;
    // Patterns with the shorter stem are nearer, and come last.
    std::vector<std::pair<std::size_t, const Assignment*>> by_pattern;
    for (auto& [pattern, a] : book_.pattern_variables) {
        std::string stem;
        if (Pattern(pattern).match(name, &stem)) by_pattern.emplace_back(stem.size(), &a);
    }
    std::stable_sort(by_pattern.begin(), by_pattern.end(),
                     [](auto& x, auto& y) { return x.first > y.first; });
    for (auto& [n, a] : by_pattern) own.push_back(a);
    if (auto it = book_.target_variables.find(name); it != book_.target_variables.end())
        for (auto& a : it->second) own.push_back(&a);
    if (own.empty()) return parent;
    auto scope = std::make_shared<Scope>();
    scope->around = parent.get();
    // The parent must live as long: the scopes are kept with the makings, children first.
    for (auto* a : own) {
        auto var = strip(expander_.expand(a->name, scope.get(), a->at));
        expander_.assign(scope->own, scope.get(), var, a->op, a->text,
                         a->override_ ? Origin::override_ : Origin::file, a->at);
        if (a->exported) scope->own[var].exported = a->exported;
    }
    return scope;
}

NodeId Resolver::add(Node node) {
    auto id = static_cast<NodeId>(graph_.nodes.size());
    for (auto& o : node.outputs) graph_.by_output.emplace(o, id);
    if (node.phony) graph_.by_output.emplace(node.name, id);
    graph_.nodes.push_back(std::move(node));
    makings_.emplace_back();
    return id;
}

void Resolver::goals(const std::vector<std::string>& names) {
    index();
    std::vector<std::string> list = names;
    if (list.empty()) {
        auto* v = expander_.find(".DEFAULT_GOAL", nullptr);
        auto goal = v ? strip(expander_.value(".DEFAULT_GOAL", nullptr, {".DEFAULT_GOAL", 0})) : "";
        if (goal.empty()) goal = book_.first_target;
        if (goal.empty()) throw RuleError("no targets: the rules make nothing");
        list.push_back(goal);
    }
    for (auto& n : list) graph_.goals.push_back(need(n, nullptr, "", {}));
    // `clean all`: the one must not remove what the other has just made. Goals that are all files share what
    // they have in common and may be made side by side.
    if (std::any_of(graph_.goals.begin(), graph_.goals.end(),
                    [this](auto g) { return graph_.nodes[g].phony; }))
        graph_.goals_in_order();
}

bool Resolver::could_make(const std::string& name) {
    index();
    if (auto it = targets_.find(name); it != targets_.end())
        for (auto& r : it->second.rules)
            if (!r->recipe->lines.empty()) return true;
    std::set<const PatternRule*> used;
    return search(name, 0, used).has_value();
}

NodeId Resolver::plain_file(const std::string& name, const std::string& shown) {
    Node n;
    n.name = shown;
    n.outputs = {name};
    return add(std::move(n));
}

NodeId Resolver::need(const std::string& name, const std::shared_ptr<Scope>& parent, const std::string& user,
                      const Place& at) {
    if (auto it = graph_.by_output.find(name); it != graph_.by_output.end()) {
        return it->second;
    }
    if (on_way_.contains(name)) {
        std::string way;
        bool on = false;
        for (auto& w : way_) {
            on |= w == name;
            if (on) way += w + " <- ";
        }
        throw RuleError(at, "a cycle: " + way + name);
    }
    way_.push_back(name);
    on_way_.insert(name);
    auto id = make_node(name, parent, at, user);
    way_.pop_back();
    on_way_.erase(name);
    return id;
}

NodeId Resolver::make_node(const std::string& name, const std::shared_ptr<Scope>& parent, const Place& at,
                           const std::string& user) {
    auto it = targets_.find(name);
    const Target* target = it == targets_.end() ? nullptr : &it->second;
    const bool phony = special_[".PHONY"].contains(name);
    if (target && target->rules.front()->double_colon) return double_colon(name, *target, parent);

    Node node;
    node.name = name;
    node.phony = phony;
    Making making;
    making.target = name;
    std::shared_ptr<Rule> with_recipe;
    std::vector<std::string> others;
    if (target)
        for (auto& r : target->rules) {
            if (r->double_colon) throw RuleError(r->at, name + " has both : and :: rules");
            if (r->recipe->given) {
                if (with_recipe && with_recipe->recipe != r->recipe)
                    graph_.warnings.push_back(r->at.str() + ": the recipe for '" + name +
                                              "' takes the place of the one at " + with_recipe->at.str());
                with_recipe = r;
            }
        }
    std::optional<Found> found;
    if (target) {
        // What the rule with the recipe needs stands first, as $< is its first.
        auto take = [&](const Rule& r) {
            making.prereqs.insert(making.prereqs.end(), r.prereqs.begin(), r.prereqs.end());
            making.order_only.insert(making.order_only.end(), r.order_only.begin(), r.order_only.end());
        };
        if (with_recipe) take(*with_recipe);
        for (auto& r : target->rules)
            if (r != with_recipe) take(*r);
        node.place = with_recipe ? with_recipe->at : target->rules.front()->at;
        if (with_recipe) {
            making.recipe = with_recipe->recipe;
            making.stem = with_recipe->stem;
            if (with_recipe->grouped) others = with_recipe->targets;
        }
    }
    // An empty recipe, as in `x: ;`, keeps implicit rules away.
    bool empty_recipe = target && std::any_of(target->rules.begin(), target->rules.end(), [](auto& r) {
                            return r->recipe->given && r->recipe->lines.empty();
                        });
    if (!making.recipe && !phony && !empty_recipe) {
        if (auto c = chained_.find(name); c != chained_.end()) found = c->second;
        if (!found) {
            std::set<const PatternRule*> used;
            found = search(name, 0, used);
        }
        if (found) {
            making.recipe = found->rule->recipe;
            making.stem = found->dir + found->stem;
            std::vector<std::string> all = found->prereqs;
            all.insert(all.end(), making.prereqs.begin(), making.prereqs.end());
            making.prereqs = std::move(all);
            making.order_only.insert(making.order_only.end(), found->order_only.begin(),
                                     found->order_only.end());
            node.place = found->rule->at;
            others = found->also;
            for (auto& [passing, how] : found->passing) chained_.emplace(passing, how);
        }
    }
    if (!target && !found) {
        if (exists(name) || phony) {
            if (!phony) {
                refuse_foreign(name);
                return plain_file(name, name);
            }
        } else if (auto path = by_vpath(name)) {
            auto id = plain_file(*path, *path);
            graph_.by_output.emplace(name, id);
            return id;
        } else {
            auto why = "no rule to make '" + name + "'" + (user.empty() ? "" : ", needed by '" + user + "'");
            for (auto* suffix : foreign_suffixes)
                if (exists(name + suffix) || exists(basename_part(name) + suffix))
                    why += " (Make's built-in rule for " + std::string(suffix) + " files isn't supported)";
            if (at.line) throw RuleError(at, why);
            throw RuleError(why);
        }
    }
    if (making.recipe && !phony && !exists(name)) {
        if (auto path = by_vpath(name))
            throw RuleError(node.place, name + " is made here and was found as " + *path +
                                            ": targets found by vpath aren't supported");
    }
    if (!phony) {
        node.outputs = {name};
        for (auto& o : others)
            if (o != name) node.outputs.push_back(o);
    }
    node.has_work = making.recipe && !making.recipe->lines.empty();
    const bool mentioned = mentioned_.contains(name) || user.empty();
    node.passing = (!mentioned && found.has_value()) || listed(".INTERMEDIATE", name) ||
                   (special_.contains(".SECONDARY") && listed(".SECONDARY", name));
    node.keep = listed(".SECONDARY", name) || listed(".PRECIOUS", name);
    for (auto& p : special_[".PRECIOUS"]) {
        Pattern pattern(p);
        node.keep |= pattern.has_percent && pattern.match(name);
    }
    auto scope = scope_for(name, parent);
    auto place = node.place;
    auto id = add(std::move(node));
    // Of a group, each may have prerequisites of its own.
    for (auto& o : others) {
        auto other = targets_.find(o);
        if (o == name || other == targets_.end()) continue;
        for (auto& r : other->second.rules)
            if (r != with_recipe) {
                making.prereqs.insert(making.prereqs.end(), r->prereqs.begin(), r->prereqs.end());
                making.order_only.insert(making.order_only.end(), r->order_only.begin(), r->order_only.end());
            }
    }
    fill(id, std::move(making), scope);
    return id;
}

void Resolver::fill(NodeId id, Making making, const std::shared_ptr<Scope>& scope) {
    const auto name = graph_.nodes[id].name;
    const auto place = graph_.nodes[id].place;
    std::vector<Need> needs;
    // While its own are resolved, the node counts as open: it may be reached again only by a cycle.
    auto resolve = [&](std::vector<std::string>& list, bool order_only) {
        for (auto& p : list) {
            if (p == ".WAIT") throw RuleError(place, ".WAIT isn't supported");
            auto n = need(p, scope, name, place);
            if (n == id || on_way_.contains(p)) {
                std::string way;
                bool on = false;
                for (auto& w : way_) {
                    on |= w == p;
                    if (on) way += w + " <- ";
                }
                throw RuleError(place, "a cycle: " + way + p);
            }
            needs.push_back({n, order_only});
            // As it was found, by the search path if need be.
            const auto& made = graph_.nodes[n];
            if (!made.phony && made.place.line == 0 && made.outputs.size() == 1) p = made.outputs[0];
        }
    };
    resolve(making.prereqs, false);
    std::erase_if(making.order_only, [&](auto& p) {
        return std::find(making.prereqs.begin(), making.prereqs.end(), p) != making.prereqs.end();
    });
    resolve(making.order_only, true);
    graph_.nodes[id].needs = std::move(needs);
    making.scope = scope;
    makings_[id] = std::move(making);
}

// Rules with `::` are independent of one another, and run in their order.
NodeId Resolver::double_colon(const std::string& name, const Target& target,
                              const std::shared_ptr<Scope>& parent) {
    std::optional<NodeId> before, first;
    auto scope = scope_for(name, parent);
    for (auto& r : target.rules) {
        if (!r->double_colon) throw RuleError(r->at, name + " has both : and :: rules");
        Node node;
        node.name = name;
        node.place = r->at;
        node.phony = special_[".PHONY"].contains(name);
        if (!node.phony) node.outputs = {name};
        node.has_work = !r->recipe->lines.empty();
        // Without prerequisites it is done whenever it is reached.
        node.forced = r->prereqs.empty() && node.has_work;
        Making m;
        m.target = name;
        m.recipe = r->recipe;
        m.stem = r->stem;
        m.prereqs = r->prereqs;
        m.order_only = r->order_only;
        auto id = add(std::move(node));
        fill(id, std::move(m), scope);
        if (before)
            graph_.nodes[id].needs.push_back({*before, true});
        else
            first = id;
        graph_.nodes[id].judged_with = first;
        before = id;
    }
    // Who needs the name needs the last, which comes after all others.
    graph_.by_output[name] = *before;
    return *before;
}

// A file that Make would make again by a rule of its own that isn't built in here is no plain file.
void Resolver::refuse_foreign(const std::string& name) const {
    static const std::multimap<std::string, std::string> made_from{
        {".c", ".y"},       {".c", ".l"},          {".c", ".w"},   {".o", ".f"},     {".o", ".F"},
        {".o", ".p"},       {".o", ".r"},          {".o", ".y"},   {".o", ".l"},     {".o", ".S"},
        {".o", ".m"},       {".o", ".mod"},        {".s", ".S"},   {".r", ".l"},     {".f", ".F"},
        {".f", ".r"},       {".dvi", ".tex"},      {".tex", ".w"}, {".tex", ".web"}, {".p", ".web"},
        {".info", ".texi"}, {".info", ".texinfo"}, {".elc", ".el"}};
    if (!built_in_) return;
    auto suffix = suffix_part(name);
    auto [first, last] = made_from.equal_range(suffix);
    for (auto it = first; it != last; ++it)
        if (auto from = basename_part(name) + it->second; exists(from))
            throw RuleError(
                "Make would make '" + name + "' from '" + from +
                "' by a built-in rule that isn't supported here: write the rule, or MAKEFLAGS += -r");
}

// ---- implicit rules ------------------------------------------------------------------------------------

std::optional<Resolver::Found> Resolver::try_rule(const PatternRule& rule, const std::string& name, int depth,
                                                  bool chain, std::set<const PatternRule*>& used) {
    Found f;
    f.rule = &rule;
    const std::string* matched = nullptr;
    for (auto& t : rule.targets) {
        Pattern p(t);
        std::string stem;
        // A pattern without a slash is held against the file's name, without its directory.
        bool in_dir = t.find('/') == std::string::npos && name.find('/') != std::string::npos;
        auto base = in_dir ? notdir_part(name) : name;
        if (!p.match(base, &stem) || stem.empty()) continue;
        f.stem = stem;
        f.dir = in_dir ? dir_part(name) : "";
        matched = &t;
        break;
    }
    if (!matched) return std::nullopt;
    auto filled = [&](const std::string& p) {
        Pattern pattern(p);
        return pattern.has_percent ? f.dir + pattern.with(f.stem) : p;
    };
    for (auto& t : rule.targets)
        if (auto o = filled(t); o != name) f.also.push_back(o);
    auto there = [&](const std::string& p, bool passing_too) {
        if (exists(p) || mentioned_.contains(p) || by_vpath(p)) return true;
        if (!passing_too || !chain || rule.terminal) return false;
        auto inner = search(p, depth + 1, used);
        if (!inner) return false;
        f.passing.emplace_back(p, *inner);
        return true;
    };
    used.insert(&rule);
    bool good = true;
    for (auto& p : rule.prereqs) {
        auto full = filled(p);
        // Of the rule's own text: a name to the letter counts as mentioned.
        if (!there(full, true) && Pattern(p).has_percent)
            good = false;
        else if (!Pattern(p).has_percent && !there(full, true))
            good = false;
        if (!good) break;
        f.prereqs.push_back(full);
    }
    used.erase(&rule);
    if (!good) return std::nullopt;
    for (auto& p : rule.order_only) f.order_only.push_back(filled(p));
    return f;
}

std::optional<Resolver::Found> Resolver::search(const std::string& name, int depth,
                                                std::set<const PatternRule*>& used) {
    if (depth > longest_chain) return std::nullopt;
    struct Candidate {
        const PatternRule* rule;
        std::size_t stem;
        bool anything;
    };
    std::vector<Candidate> candidates;
    // Names with a suffix that Make knows are not made by rules for anything.
    bool specific = known_suffixes().contains(suffix_part(name));
    for (auto& r : book_.patterns) {
        if (used.contains(&r) || r.recipe->lines.empty()) continue;
        for (auto& t : r.targets) {
            Pattern p(t);
            std::string stem;
            bool in_dir = t.find('/') == std::string::npos && name.find('/') != std::string::npos;
            if (!p.match(in_dir ? notdir_part(name) : name, &stem) || stem.empty()) continue;
            bool anything = t == "%";
            specific |= !anything;
            // The directory counts as part of the stem here, as in Make.
            candidates.push_back({&r, stem.size() + (in_dir ? dir_part(name).size() : 0), anything});
            break;
        }
    }
    // A rule for anything is no rule for a file that a pattern of its own speaks of, unless it is terminal;
    // nor is it one on the way to something else.
    std::erase_if(candidates,
                  [&](auto& c) { return c.anything && !c.rule->terminal && (specific || depth > 0); });
    std::stable_sort(candidates.begin(), candidates.end(), [](auto& a, auto& b) { return a.stem < b.stem; });
    for (bool chain : {false, true})
        for (auto& c : candidates)
            if (auto f = try_rule(*c.rule, name, depth, chain, used)) return f;
    return std::nullopt;
}

}  // namespace barrowrun::workflow::make
