// Lines that are rules.
#include <algorithm>

#include "workflow/make/parse.hpp"

namespace barrowrun::workflow::make {

void Parser::recipe_line(const std::string& text, const Place& at) {
    if (!open_) return;
    open_->given = true;
    if (!strip(text).empty()) open_->lines.push_back({text, at});
}

std::vector<std::string> Parser::prerequisites(const std::string& text) const {
    std::vector<std::string> out;
    for (auto& w : words(text)) {
        if (has_wildcard(w)) {
            auto found = glob(expander_.dir(), w);
            if (!found.empty()) {
                out.insert(out.end(), found.begin(), found.end());
                continue;
            }
        }
        out.push_back(w.starts_with("./") && w.size() > 2
                          ? w.substr(w.find_first_not_of("./") == std::string::npos ? 0 : 2)
                          : w);
    }
    return out;
}

void Parser::rule(const std::string& text, const Place& at) {
    rule_open_ = false;
    open_.reset();
    auto colon = find_outside(text, ":");
    std::string left, rest;
    std::shared_ptr<Recipe> inline_recipe;
    auto after_semicolon = [&](std::string part) {
        auto semicolon = find_outside(part, ";");
        if (semicolon == std::string::npos) return part;
        inline_recipe = std::make_shared<Recipe>();
        inline_recipe->at = at;
        inline_recipe->given = true;
        auto command = strip(part.substr(semicolon + 1));
        if (!command.empty()) inline_recipe->lines.push_back({command, at});
        return part.substr(0, semicolon);
    };
    std::string kind = ":";
    auto take_colon = [&](const std::string& whole, std::size_t where) {
        left = whole.substr(0, where);
        auto next = where + 1;
        if (next < whole.size() && whole[next] == ':') kind = "::", ++next;
        rest = whole.substr(next);
        if (!left.empty() && left.back() == '&') left.pop_back(), kind = "&" + kind;
    };
    if (colon == std::string::npos) {
        // The colon may come from a variable.
        auto expanded = expander_.expand(after_semicolon(text), nullptr, at);
        if (strip(expanded).empty()) return;
        // What several lines come to is read as such.
        if (expanded.find('\n') != std::string::npos) {
            Source inner{split(expanded, at.file, at.line), 0};
            while (inner.next < inner.lines.size()) {
                auto& l = inner.lines[inner.next++];
                line(l, inner);
            }
            return;
        }
        colon = expanded.find(':');
        if (colon == std::string::npos)
            throw RuleError(at, "expected a rule (TARGETS : PREREQUISITES), an assignment or a directive: '" +
                                    strip(text) + "'");
        take_colon(expanded, colon);
    } else {
        take_colon(text, colon);
        left = expander_.expand(left, nullptr, at);
        // A variable of these targets only.
        std::string head, body = strip(rest);
        std::optional<bool> exported;
        bool override_ = false;
        std::string further;
        for (;;) {
            head = first_word(body, &further);
            if (head == "export")
                exported = true;
            else if (head == "override")
                override_ = true;
            else if (head == "private")
                throw RuleError(at, "private isn't supported");
            else
                break;
            if (!as_assignment(further, at)) break;
            body = further;
        }
        // A semicolon that comes first makes it a recipe after all.
        auto semicolon = find_outside(body, ";"), eq = find_outside(body, "=");
        auto a = semicolon != std::string::npos && (eq == std::string::npos || semicolon < eq)
                     ? std::nullopt
                     : as_assignment(body, at);
        if (a) {
            a->exported = exported;
            a->override_ = override_;
            for (auto& t : prerequisites(left)) {
                if (t.find('%') != std::string::npos)
                    book_.pattern_variables.emplace_back(t, *a);
                else
                    book_.target_variables[t].push_back(*a);
            }
            return;
        }
        rest = expander_.expand(after_semicolon(rest), nullptr, at);
    }
    auto targets = prerequisites(left);
    if (targets.empty()) {
        // Nothing is a target: Make passes the rule over, with its recipe.
        open_ = std::make_shared<Recipe>();
        rule_open_ = true;
        return;
    }
    add_rule(std::move(targets), kind, rest, inline_recipe, at);
}

void Parser::add_rule(std::vector<std::string> targets, const std::string& kind, const std::string& rest,
                      std::shared_ptr<Recipe> inline_recipe, const Place& at) {
    rule_open_ = true;
    open_ = inline_recipe ? inline_recipe : std::make_shared<Recipe>();
    open_->at = at;
    for (auto& t : targets)
        if (t.find('(') != std::string::npos && t.back() == ')')
            throw RuleError(at, "members of archives aren't supported: " + t);
    auto split_order = [&](const std::string& text, std::vector<std::string>& prereqs,
                           std::vector<std::string>& order_only) {
        auto bar = text.find('|');
        prereqs = prerequisites(text.substr(0, bar));
        if (bar != std::string::npos) order_only = prerequisites(text.substr(bar + 1));
    };
    std::vector<std::string> prereqs, order_only;
    // TARGETS: TARGET-PATTERN: PREREQUISITE-PATTERNS
    auto colon = rest.find(':');
    if (colon != std::string::npos) {
        auto pattern_text = strip(rest.substr(0, colon));
        if (words(pattern_text).size() != 1 || pattern_text.find('%') == std::string::npos)
            throw RuleError(
                at, "a static pattern rule has one target pattern with a %, not '" + pattern_text + "'");
        Pattern pattern(pattern_text);
        split_order(rest.substr(colon + 1), prereqs, order_only);
        auto fill = [](const std::vector<std::string>& list, const std::string& stem) {
            std::vector<std::string> out;
            for (auto& p : list) out.push_back(Pattern(p).with(stem));
            return out;
        };
        std::vector<std::shared_ptr<Rule>> rules;
        for (auto& t : targets) {
            std::string stem;
            if (!pattern.match(t, &stem))
                throw RuleError(at,
                                "the target '" + t + "' doesn't match the pattern '" + pattern_text + "'");
            auto r = std::make_shared<Rule>(Rule{{t},
                                                 fill(prereqs, stem),
                                                 fill(order_only, stem),
                                                 kind.find("::") != std::string::npos,
                                                 false,
                                                 open_,
                                                 stem,
                                                 at});
            book_.rules.push_back(r);
        }
        if (book_.first_target.empty() && !built_in_) book_.first_target = targets.front();
        return;
    }
    split_order(rest, prereqs, order_only);
    bool any_percent =
        std::any_of(targets.begin(), targets.end(), [](auto& t) { return Pattern(t).has_percent; });
    if (any_percent) {
        if (!std::all_of(targets.begin(), targets.end(), [](auto& t) { return Pattern(t).has_percent; }))
            throw RuleError(at, "patterns and plain targets in one rule");
        add_pattern(std::move(targets), std::move(prereqs), std::move(order_only), kind == "::", at);
        return;
    }
    if (targets.size() == 1 && suffix_rule(targets[0], prereqs, at)) return;
    static const std::set<std::string> unsupported{".SECONDEXPANSION", ".DEFAULT", ".LOW_RESOLUTION_TIME",
                                                   ".LIBPATTERNS"};
    for (auto& t : targets)
        if (unsupported.contains(t)) throw RuleError(at, t + " isn't supported");
    if (targets.size() == 1 && targets[0] == ".SUFFIXES") {
        if (prereqs.empty())
            suffixes_.clear();
        else
            suffixes_.insert(suffixes_.end(), prereqs.begin(), prereqs.end());
        if (prereqs.empty()) std::erase_if(book_.patterns, [](auto& p) { return p.built_in; });
        return;
    }
    const bool grouped = kind.starts_with('&');
    auto r = std::make_shared<Rule>();
    r->targets = targets;
    r->prereqs = std::move(prereqs);
    r->order_only = std::move(order_only);
    r->double_colon = kind.find("::") != std::string::npos;
    r->grouped = grouped;
    r->recipe = open_;
    r->at = at;
    book_.rules.push_back(r);
    if (book_.first_target.empty() && !built_in_)
        for (auto& t : targets)
            if (t[0] != '.' || t.find('/') != std::string::npos) {
                book_.first_target = t;
                break;
            }
}

void Parser::add_pattern(std::vector<std::string> targets, std::vector<std::string> prereqs,
                         std::vector<std::string> order_only, bool terminal, const Place& at) {
    PatternRule p{
        std::move(targets), std::move(prereqs), std::move(order_only), terminal, built_in_, open_, at};
    // The same targets and prerequisites again take the place of what was said before.
    std::erase_if(book_.patterns, [&](auto& o) { return o.targets == p.targets && o.prereqs == p.prereqs; });
    book_.patterns.push_back(std::move(p));
}

// `.c.o:` is `%.o: %.c`, and `.sh:` is `%: %.sh`, if these are suffixes.
bool Parser::suffix_rule(const std::string& target, const std::vector<std::string>& prereqs,
                         const Place& at) {
    if (!prereqs.empty() || target.empty() || target[0] != '.' || target.find('/') != std::string::npos)
        return false;
    auto known = [&](const std::string& s) {
        return std::find(suffixes_.begin(), suffixes_.end(), s) != suffixes_.end();
    };
    if (known(target)) {
        add_pattern({"%"}, {"%" + target}, {}, false, at);
        return true;
    }
    for (std::size_t i = 1; i < target.size(); ++i)
        if (target[i] == '.' && known(target.substr(0, i)) && known(target.substr(i))) {
            add_pattern({"%" + target.substr(i)}, {"%" + target.substr(0, i)}, {}, false, at);
            return true;
        }
    return false;
}

}  // namespace barrowrun::workflow::make
