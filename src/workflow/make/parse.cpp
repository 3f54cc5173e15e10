#include "workflow/make/parse.hpp"

#include <algorithm>
#include <filesystem>

#include "depot/files.hpp"

namespace barrowrun::workflow::make {
namespace fs = std::filesystem;

namespace {

// A backslash before the end of a line, and the blanks around, come to one blank.
std::string join_lines(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '\n') {
            out += text[i];
            continue;
        }
        std::size_t slashes = 0;
        while (slashes < out.size() && out[out.size() - 1 - slashes] == '\\') ++slashes;
        out.resize(out.size() - std::min<std::size_t>(1, slashes));
        while (!out.empty() && (out.back() == ' ' || out.back() == '\t')) out.pop_back();
        auto next = text.find_first_not_of(" \t", i + 1);
        out += ' ';
        i = (next == std::string::npos ? text.size() : next) - 1;
    }
    return out;
}

// A `#` begins a comment unless it is escaped or stands in a reference.
std::string without_comment(const std::string& text) {
    std::string out;
    for (std::size_t i = 0, from = 0;;) {
        auto at = find_outside(text, "#", i);
        if (at == std::string::npos) {
            out += text.substr(from);
            break;
        }
        out += text.substr(from, at - from);
        break;
    }
    std::string plain;
    for (std::size_t i = 0; i < out.size(); ++i)
        if (out[i] == '\\' && i + 1 < out.size() && out[i + 1] == '#')
            plain += out[++i];
        else
            plain += out[i];
    return plain;
}

}  // namespace

std::optional<Assignment> as_assignment(const std::string& text, const Place& at) {
    auto eq = find_outside(text, "=");
    if (eq == std::string::npos) return std::nullopt;
    std::string op = "=";
    auto name_end = eq;
    auto before = [&](std::size_t n) { return eq >= n ? text[eq - n] : '\0'; };
    if (before(1) == ':' && before(2) == ':')
        op = "::=", name_end = eq - 2;
    else if (before(1) == ':')
        op = ":=", name_end = eq - 1;
    else if (before(1) == '?')
        op = "?=", name_end = eq - 1;
    else if (before(1) == '+')
        op = "+=", name_end = eq - 1;
    else if (before(1) == '!')
        op = "!=", name_end = eq - 1;
    auto colon = find_outside(text.substr(0, name_end), ":");
    if (colon != std::string::npos) return std::nullopt;
    auto name = strip(text.substr(0, name_end));
    // A name is one word; `a b = c` is no assignment. References may have blanks in them.
    if (name.empty() || find_outside(name, " \t") != std::string::npos) return std::nullopt;
    auto value = text.substr(eq + 1);
    auto from = value.find_first_not_of(" \t");
    value = from == std::string::npos ? "" : value.substr(from);
    return Assignment{name, op, value, false, {}, at};
}

std::vector<Parser::Line> Parser::split(const std::string& content, const std::string& name, int first) {
    std::vector<Line> out;
    int number = first;
    for (std::size_t at = 0; at < content.size();) {
        Line l{"", {name, number}};
        for (;;) {
            auto end = content.find('\n', at);
            if (end == std::string::npos) end = content.size();
            auto part = content.substr(at, end - at);
            if (!part.empty() && part.back() == '\r') part.pop_back();
            at = end + 1;
            ++number;
            std::size_t slashes = 0;
            while (slashes < part.size() && part[part.size() - 1 - slashes] == '\\') ++slashes;
            l.text += part;
            if (slashes % 2 == 0 || at > content.size()) break;
            l.text += '\n';
            if (at >= content.size()) break;
        }
        out.push_back(std::move(l));
    }
    return out;
}

void Parser::file(const std::string& name) {
    fs::path path = name;
    if (path.is_relative()) path = fs::path(expander_.dir()) / path;
    std::optional<std::string> content;
    try {
        content = depot::read_all(path);
    } catch (const depot::FileError& e) {
        throw RuleError(Place{name, 0}, e.what());
    }
    if (!content) throw RuleError(Place{name, 0}, "there is no such file");
    if (std::count(including_.begin(), including_.end(), name) > 20)
        throw RuleError(Place{name, 0}, "it includes itself without end");
    including_.push_back(name);
    expander_.assign(expander_.global(), nullptr, "MAKEFILE_LIST", "+=", name, Origin::file, {name, 0});
    Source source{split(*content, name, 1), 0};
    auto conditions = std::exchange(conditions_, {});
    run(source);
    if (!conditions_.empty()) throw RuleError(conditions_.back().at, "a conditional without endif");
    conditions_ = std::move(conditions);
    including_.pop_back();
}

void Parser::text(const std::string& content, const Place& at) {
    Source source{split(content, at.file, at.line), 0};
    auto conditions = std::exchange(conditions_, {});
    auto open = open_;
    auto was_open = rule_open_;
    rule_open_ = false;
    open_.reset();
    run(source);
    if (!conditions_.empty()) throw RuleError(conditions_.back().at, "a conditional without endif");
    conditions_ = std::move(conditions);
    open_ = open;
    rule_open_ = was_open;
}

void Parser::run(Source& source) {
    open_.reset();
    rule_open_ = false;
    while (source.next < source.lines.size()) {
        auto& l = source.lines[source.next++];
        line(l, source);
    }
}

std::string Parser::prefix() const {
    const auto* v = expander_.find(".RECIPEPREFIX", nullptr);
    return v && !v->value.empty() ? v->value.substr(0, 1) : "\t";
}

bool Parser::taking() const {
    return std::all_of(conditions_.begin(), conditions_.end(), [](auto& c) { return c.taking; });
}

void Parser::line(const Line& l, Source& source) {
    if (!l.text.empty() && l.text[0] == prefix()[0]) {
        if (rule_open_) {
            if (taking()) recipe_line(l.text.substr(1), l.at);
            return;
        }
        if (strip(without_comment(join_lines(l.text.substr(1)))).empty()) return;
        // Without a rule before it, a line with a tab may still be something else; Make decides by what it
        // is.
    }
    auto text = without_comment(join_lines(l.text));
    if (strip(text).empty()) return;
    if (conditional(text, l.at)) return;
    if (!taking()) {
        // Of what is passed over, only definitions need looking at: their lines are no conditionals.
        std::string rest;
        if (first_word(text, &rest) == "define") define(rest, Origin::file, {}, l, source);
        return;
    }
    if (directive(text, l, source)) return;
    if (assignment(text, l)) return;
    if (l.text[0] == '\t' && prefix() == "\t") throw RuleError(l.at, "a recipe line before any rule");
    rule(text, l.at);
}

// ---- conditionals --------------------------------------------------------------------------------------

bool Parser::conditional(const std::string& text, const Place& at) {
    std::string rest;
    auto word = first_word(text, &rest);
    if (auto paren = word.find('(');
        paren != std::string::npos && (word.starts_with("ifeq(") || word.starts_with("ifneq(")))
        throw RuleError(at, "expected a blank after " + word.substr(0, paren));
    if (word == "endif") {
        if (!rest.empty()) throw RuleError(at, "unexpected text after endif: " + rest);
        if (conditions_.empty()) throw RuleError(at, "endif without a conditional");
        conditions_.pop_back();
        return true;
    }
    if (word == "else") {
        if (conditions_.empty()) throw RuleError(at, "else without a conditional");
        auto& c = conditions_.back();
        if (c.seen_else) throw RuleError(at, "a second else in one conditional");
        std::string further;
        auto next = first_word(rest, &further);
        if (next.empty()) {
            c.seen_else = true;
            c.taking = !c.taken;
            c.taken = true;
            return true;
        }
        if (next != "ifeq" && next != "ifneq" && next != "ifdef" && next != "ifndef")
            throw RuleError(at, "unexpected text after else: " + rest);
        c.taking = false;
        bool outer = taking() || conditions_.size() == 1;
        outer = std::all_of(conditions_.begin(), conditions_.end() - 1, [](auto& x) { return x.taking; });
        if (!c.taken && outer && test(next, further, at)) c.taking = c.taken = true;
        return true;
    }
    if (word != "ifeq" && word != "ifneq" && word != "ifdef" && word != "ifndef") return false;
    bool outer = taking();
    bool result = outer && test(word, rest, at);
    conditions_.push_back({result, result, false, at});
    return true;
}

bool Parser::test(const std::string& word, const std::string& rest, const Place& at) {
    if (word == "ifdef" || word == "ifndef") {
        auto name = strip(expander_.expand(rest, nullptr, at));
        if (name.empty() || words(name).size() != 1)
            throw RuleError(at, word + ": expected the name of a variable");
        const auto* v = expander_.find(name, nullptr);
        return (v && !v->value.empty()) == (word == "ifdef");
    }
    std::string left, right;
    if (rest.starts_with('(')) {
        if (rest.back() != ')') throw RuleError(at, word + ": expected (A,B)");
        auto inside = rest.substr(1, rest.size() - 2);
        auto comma = find_outside(inside, ",");
        if (comma == std::string::npos) throw RuleError(at, word + ": expected (A,B)");
        left = strip(inside.substr(0, comma));
        right = strip(inside.substr(comma + 1));
    } else {
        auto quoted = [&](std::size_t& i) {
            char q = i < rest.size() ? rest[i] : '\0';
            auto end = q == '"' || q == '\'' ? rest.find(q, i + 1) : std::string::npos;
            if (end == std::string::npos) throw RuleError(at, word + ": expected (A,B) or \"A\" \"B\"");
            auto out = rest.substr(i + 1, end - i - 1);
            i = rest.find_first_not_of(" \t", end + 1);
            return out;
        };
        std::size_t i = 0;
        left = quoted(i);
        right = quoted(i);
        if (i != std::string::npos) throw RuleError(at, word + ": unexpected text after its arguments");
    }
    bool same = expander_.expand(left, nullptr, at) == expander_.expand(right, nullptr, at);
    return same == (word == "ifeq");
}

// ---- directives and variables --------------------------------------------------------------------------

bool Parser::directive(const std::string& text, const Line& l, Source& source) {
    std::string rest;
    auto word = first_word(text, &rest);
    // `include = x` and `export: y` are what they look like, not directives.
    if (rest.starts_with('=') || rest.starts_with(":=") || rest.starts_with("+=") || rest.starts_with("?=") ||
        rest.starts_with("::=") || (rest.starts_with(':') && word != "define"))
        return false;
    if (word == "include" || word == "-include" || word == "sinclude") {
        include(rest, word == "include", l.at);
    } else if (word == "define") {
        define(rest, Origin::file, {}, l, source);
    } else if (word == "override" || word == "export") {
        std::string further;
        bool override_ = word == "override", exported = word == "export";
        auto next = first_word(rest, &further);
        if (next == "define") {
            define(further, override_ ? Origin::override_ : Origin::file,
                   exported ? std::optional<bool>(true) : std::nullopt, l, source);
            return true;
        }
        if (next == "export" || next == "override") override_ = exported = true, rest = further;
        auto a = as_assignment(rest, l.at);
        if (a) {
            auto name = strip(expander_.expand(a->name, nullptr, l.at));
            expander_.assign(expander_.global(), nullptr, name, a->op, a->text,
                             override_ ? Origin::override_ : Origin::file, l.at);
            if (exported) expander_.global()[name].exported = true;
        } else if (override_) {
            throw RuleError(l.at, "override: expected an assignment");
        } else if (rest.empty()) {
            export_all_ = true;
        } else {
            export_names(rest, true, l.at);
        }
    } else if (word == "unexport") {
        if (rest.empty())
            export_all_ = false;
        else
            export_names(rest, false, l.at);
    } else if (word == "undefine") {
        for (auto& name : words(expander_.expand(rest, nullptr, l.at))) expander_.global().erase(name);
    } else if (word == "vpath") {
        vpath(rest, l.at);
    } else if (word == "private" || word == "load" || word == "-load") {
        throw RuleError(l.at, word + " isn't supported");
    } else if (word == "endef") {
        throw RuleError(l.at, "endef without define");
    } else {
        return false;
    }
    rule_open_ = false;
    return true;
}

bool Parser::assignment(const std::string& text, const Line& l) {
    auto a = as_assignment(text, l.at);
    if (!a) return false;
    rule_open_ = false;
    auto name = strip(expander_.expand(a->name, nullptr, l.at));
    if (name == ".SECONDEXPANSION") throw RuleError(l.at, ".SECONDEXPANSION isn't supported");
    expander_.assign(expander_.global(), nullptr, name, a->op, a->text, Origin::file, l.at);
    return true;
}

void Parser::define(std::string head, Origin origin, std::optional<bool> exported, const Line& l,
                    Source& source) {
    std::string op = "=";
    for (auto* candidate : {"::=", ":=", "+=", "?=", "!=", "="})
        if (head.ends_with(candidate)) {
            op = candidate;
            head = strip(head.substr(0, head.size() - op.size()));
            break;
        }
    std::string body;
    int depth = 1;
    bool first = true;
    for (;;) {
        if (source.next == source.lines.size()) throw RuleError(l.at, "define without endef");
        auto& next = source.lines[source.next++];
        auto word = next.text[0] == '\t' ? "" : first_word(join_lines(next.text), nullptr);
        if (word == "define") ++depth;
        if (word == "endef" && --depth == 0) break;
        body += (first ? "" : "\n") + next.text;
        first = false;
    }
    if (!taking()) return;
    auto name = strip(expander_.expand(head, nullptr, l.at));
    expander_.assign(expander_.global(), nullptr, name, op, body, origin, l.at);
    if (exported) expander_.global()[name].exported = exported;
    rule_open_ = false;
}

void Parser::include(const std::string& names, bool must, const Place& at) {
    auto expanded = expander_.expand(names, nullptr, at);
    for (auto& w : words(expanded)) {
        std::vector<std::string> files{w};
        if (has_wildcard(w)) files = glob(expander_.dir(), w);
        for (auto& f : files) {
            fs::path path = fs::path(f).is_absolute() ? fs::path(f) : fs::path(expander_.dir()) / f;
            std::error_code ec;
            if (!fs::exists(path, ec)) {
                not_included_.emplace_back(f, at);
                if (must)
                    throw RuleError(
                        at, f + ": there is no such file to include (one that a rule makes isn't supported)");
                continue;
            }
            auto open = open_;
            file(f);
            open_.reset();
        }
    }
}

void Parser::export_names(const std::string& names, bool on, const Place& at) {
    for (auto& name : words(expander_.expand(names, nullptr, at))) {
        auto& global = expander_.global();
        auto it = global.find(name);
        if (it == global.end()) it = global.emplace(name, Variable{"", true, Origin::file, {}}).first;
        it->second.exported = on;
    }
}

void Parser::vpath(const std::string& text, const Place& at) {
    auto list = words(expander_.expand(text, nullptr, at));
    if (list.empty()) {
        book_.vpaths.clear();
        return;
    }
    auto pattern = list.front();
    if (list.size() == 1) {
        std::erase_if(book_.vpaths, [&](auto& v) { return v.first == pattern; });
        return;
    }
    std::vector<std::string> dirs;
    for (std::size_t i = 1; i < list.size(); ++i)
        for (std::size_t from = 0; from <= list[i].size();) {
            auto end = std::min(list[i].find(':', from), list[i].size());
            if (end > from) dirs.push_back(list[i].substr(from, end - from));
            from = end + 1;
        }
    book_.vpaths.emplace_back(pattern, dirs);
}

}  // namespace barrowrun::workflow::make
