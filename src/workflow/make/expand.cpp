#include "workflow/make/expand.hpp"

#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <set>

#include "workflow/make/text.hpp"

namespace barrowrun::workflow::make {
namespace fs = std::filesystem;

namespace {

constexpr int deepest = 2000;

// Arguments stand between commas that are in no parentheses of the call's own kind.
std::vector<std::string> arguments(std::string_view rest, std::size_t most) {
    std::vector<std::string> out;
    int depth = 0;
    std::size_t from = 0;
    for (std::size_t i = 0; i < rest.size(); ++i) {
        char c = rest[i];
        if (c == '(' || c == '{')
            ++depth;
        else if (c == ')' || c == '}')
            --depth;
        else if (c == ',' && depth == 0 && (most == 0 || out.size() + 1 < most)) {
            out.emplace_back(rest.substr(from, i - from));
            from = i + 1;
        }
    }
    out.emplace_back(rest.substr(from));
    return out;
}

long to_number(const std::string& text, const char* what, const Place& at) {
    auto s = strip(text);
    if (s.empty() || s.find_first_not_of("0123456789") != std::string::npos || s.size() > 9)
        throw RuleError(at, std::string(what) + ": expected a number, not '" + s + "'");
    return std::stol(s);
}

// Of the reference that opens here, where it closes.
std::size_t reference_end(std::string_view text, std::size_t opens, const Place& at) {
    const char open = text[opens], close = open == '(' ? ')' : '}';
    int depth = 0;
    for (auto end = opens; end < text.size(); ++end) {
        if (text[end] == open)
            ++depth;
        else if (text[end] == close && --depth == 0)
            return end;
    }
    throw RuleError(at, std::string("unterminated reference: expected '") + close + "'");
}

std::string replace_all(const std::string& text, const std::string& from, const std::string& to) {
    if (from.empty()) return text + to;
    std::string out;
    for (std::size_t at = 0;;) {
        auto next = text.find(from, at);
        out.append(text, at, next == std::string::npos ? next : next - at);
        if (next == std::string::npos) return out;
        out += to;
        at = next + from.size();
    }
}

std::string normal(const std::string& dir, const std::string& name) {
    fs::path p = name;
    if (p.is_relative()) p = fs::path(dir) / p;
    auto s = p.lexically_normal().string();
    while (s.size() > 1 && s.back() == '/') s.pop_back();
    return s;
}

template <class F>
std::string each(const std::string& text, F f) {
    auto list = words(text);
    for (auto& w : list) w = f(w);
    return join(list);
}

std::string filtered(const std::string& patterns, const std::string& text, bool keep) {
    std::vector<Pattern> ps;
    for (auto& p : words(patterns)) ps.emplace_back(p);
    auto list = words(text);
    std::erase_if(list, [&](auto& w) {
        return std::any_of(ps.begin(), ps.end(), [&](auto& p) { return p.match(w); }) != keep;
    });
    return join(list);
}

}  // namespace

struct Expander::Function {
    std::size_t least, most;  // most 0: any number
    bool expanded;            // its arguments are expanded before it sees them
    std::function<std::string(Expander&, std::vector<std::string>&, const Scope*, const Place&)> run;
};

const Variable* Expander::find(const std::string& name, const Scope* scope) const {
    const Variable* near = scope ? scope->find(name) : nullptr;
    auto it = global_.find(name);
    const Variable* far = it == global_.end() ? nullptr : &it->second;
    if (!near) return far;
    // What the command line says holds against targets' variables too, unless these override it.
    if (far && (far->origin == Origin::command_line || far->origin == Origin::override_) &&
        near->origin == Origin::file)
        return far;
    return near;
}

std::string Expander::value(const std::string& name, const Scope* scope, const Place& at) {
    const Variable* v = find(name, scope);
    if (!v) {
        // Directory and file parts of automatic variables.
        if (name.size() == 2 && (name[1] == 'D' || name[1] == 'F') &&
            std::string_view("@%<?^+*|").find(name[0]) != std::string_view::npos) {
            auto whole = value(name.substr(0, 1), scope, at);
            return each(whole, [&](const std::string& w) {
                if (name[1] == 'F') return notdir_part(w);
                auto d = dir_part(w);
                if (d == "./") return std::string(".");
                while (d.size() > 1 && d.back() == '/') d.pop_back();
                return d;
            });
        }
        return "";
    }
    if (!v->recursive) return v->value;
    if (std::find(active_.begin(), active_.end(), v) != active_.end() && name != "call")
        throw RuleError(at, "the variable '" + name + "' refers to itself without end");
    active_.push_back(v);
    std::string out;
    try {
        out = expand(v->value, scope, at);
    } catch (...) {
        active_.pop_back();
        throw;
    }
    active_.pop_back();
    return out;
}

std::string Expander::expand(std::string_view text, const Scope* scope, const Place& at) {
    if (++depth_ > deepest) {
        depth_ = 0;
        throw RuleError(at, "references nested deeper than " + std::to_string(deepest));
    }
    std::string out;
    for (std::size_t i = 0; i < text.size();) {
        auto dollar = text.find('$', i);
        if (dollar == std::string_view::npos || dollar + 1 == text.size()) {
            out += text.substr(i);
            break;
        }
        out += text.substr(i, dollar - i);
        char next = text[dollar + 1];
        if (next == '$') {
            out += '$';
            i = dollar + 2;
        } else if (next == '(' || next == '{') {
            auto end = reference_end(text, dollar + 1, at);
            out += reference(text.substr(dollar + 2, end - dollar - 2), scope, at);
            i = end + 1;
        } else {
            out += value(std::string(1, next), scope, at);
            i = dollar + 2;
        }
    }
    --depth_;
    return out;
}

void Expander::check(std::string_view text, const Place& at) {
    for (std::size_t i = 0; i + 1 < text.size(); ++i) {
        if (text[i] != '$') continue;
        if (text[i + 1] != '(' && text[i + 1] != '{') {
            ++i;
            continue;
        }
        auto end = reference_end(text, i + 1, at);
        auto inside = text.substr(i + 2, end - i - 2);
        for (auto* f : {"guile ", "file ", "eval "})
            if (inside.starts_with(f))
                throw RuleError(at, "$(" + std::string(f, std::strlen(f) - 1) + " ...) isn't supported here");
        ++i;
    }
}

std::string Expander::reference(std::string_view inside, const Scope* scope, const Place& at) {
    // A function: its name, and a blank after it.
    auto end = inside.find_first_of(" \t");
    if (end != std::string_view::npos) {
        std::string name(inside.substr(0, end));
        if (name == "guile" || name == "file") throw RuleError(at, "$(" + name + " ...) isn't supported");
        auto f = functions().find(name);
        if (f != functions().end()) {
            auto from = inside.find_first_not_of(" \t", end);
            return call_function(name, f->second, from == std::string_view::npos ? "" : inside.substr(from),
                                 scope, at);
        }
    }
    // $(name:a=b): a substitution.
    auto colon = find_outside(inside, ":");
    if (colon != std::string_view::npos) {
        auto eq = find_outside(inside, "=", colon + 1);
        if (eq != std::string_view::npos) {
            auto name = strip(expand(inside.substr(0, colon), scope, at));
            auto from = expand(inside.substr(colon + 1, eq - colon - 1), scope, at);
            auto to = expand(inside.substr(eq + 1), scope, at);
            if (from.find('%') == std::string::npos) from = "%" + from, to = "%" + to;
            Pattern p(from);
            return each(value(name, scope, at), [&](const std::string& w) { return patsubst(p, to, w); });
        }
    }
    return value(expand(inside, scope, at), scope, at);
}

std::string Expander::call_function(const std::string& name, const Function& f, std::string_view rest,
                                    const Scope* scope, const Place& at) {
    auto args = arguments(rest, f.most);
    if (args.size() < f.least)
        throw RuleError(at, "$(" + name + " ...) takes at least " + std::to_string(f.least) +
                                " arguments, not " + std::to_string(args.size()));
    if (f.expanded)
        for (auto& a : args) a = expand(a, scope, at);
    return f.run(*this, args, scope, at);
}

std::vector<std::string> Expander::shell_words(const Scope* scope, const Place& at) {
    std::vector<std::string> out{"/bin/sh"};
    if (auto* v = find("SHELL", scope); v && v->origin != Origin::environment)
        out[0] = value("SHELL", scope, at);
    auto flags = words(find(".SHELLFLAGS", scope) ? value(".SHELLFLAGS", scope, at) : "-c");
    out.insert(out.end(), flags.begin(), flags.end());
    return out;
}

std::string Expander::shell(const std::string& command, const Scope* scope, const Place& at) {
    // By way of a shell that changes to the directory: this process must not.
    auto quote = [](const std::string& s) { return "'" + replace_all(s, "'", "'\\''") + "'"; };
    std::string line = "cd " + quote(dir_) + " && exec";
    for (auto& w : shell_words(scope, at)) line += " " + quote(w);
    line += " " + quote(command);
    FILE* pipe = ::popen(line.c_str(), "re");
    if (!pipe) throw RuleError(at, "$(shell ...) can't be started");
    std::string out;
    char part[4096];
    while (auto n = std::fread(part, 1, sizeof part, pipe)) out.append(part, n);
    int status = ::pclose(pipe);
    shell_status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    global_[".SHELLSTATUS"] = {std::to_string(shell_status_), false, Origin::override_, {}};
    if (!out.empty() && out.back() == '\n') out.pop_back();
    std::replace(out.begin(), out.end(), '\n', ' ');
    return out;
}

std::string Expander::user_call(const std::vector<std::string>& args, const Scope* scope, const Place& at) {
    auto name = strip(args[0]);
    if (auto f = functions().find(name); f != functions().end()) {
        std::vector<std::string> rest(args.begin() + 1, args.end());
        if (rest.empty()) rest.emplace_back();
        if (rest.size() < f->second.least) throw RuleError(at, "$(call " + name + "): too few arguments");
        return f->second.run(*this, rest, scope, at);
    }
    const Variable* v = find(name, scope);
    if (!v) return "";
    Scope inner;
    inner.around = scope;
    for (std::size_t i = 0; i < args.size(); ++i)
        inner.own[std::to_string(i)] = {i == 0 ? name : args[i], false, Origin::automatic, {}};
    // Arguments of an outer call don't reach the inner one.
    for (std::size_t i = args.size(); i < 20; ++i)
        if (scope && scope->find(std::to_string(i)))
            inner.own[std::to_string(i)] = {"", false, Origin::automatic, {}};
    // A function may call itself, with an end.
    return v->recursive ? expand(v->value, &inner, at) : v->value;
}

void Expander::assign(std::map<std::string, Variable>& into, const Scope* scope, const std::string& name,
                      const std::string& op, const std::string& text, Origin origin, const Place& at) {
    if (name.empty()) throw RuleError(at, "a variable without a name");
    auto it = into.find(name);
    Variable* known = it == into.end() ? nullptr : &it->second;
    if (known && known->origin == Origin::command_line && origin == Origin::file) return;
    if (known && known->origin == Origin::override_ && origin == Origin::file) return;
    auto exported = known ? known->exported : std::optional<bool>();
    if (op == "?=") {
        if (find(name, scope)) return;
        into[name] = {text, true, origin, exported};
    } else if (op == "+=") {
        const Variable* base = known ? known : find(name, scope);
        if (!base) {
            into[name] = {text, true, origin, exported};
            return;
        }
        Variable v = *base;
        auto more = v.recursive ? text : expand(text, scope, at);
        v.value += (v.value.empty() ? "" : " ") + more;
        v.origin = origin;
        into[name] = std::move(v);
    } else if (op == "!=") {
        into[name] = {shell(expand(text, scope, at), scope, at), true, origin, exported};
    } else if (op == "=") {
        into[name] = {text, true, origin, exported};
    } else {
        into[name] = {expand(text, scope, at), false, origin, exported};
    }
}

const std::map<std::string, Expander::Function>& Expander::functions() {
    using Args = std::vector<std::string>&;
    using At = const Place&;
    static const std::map<std::string, Function> table{
        {"subst",
         {3, 3, true, [](Expander&, Args a, const Scope*, At) { return replace_all(a[2], a[0], a[1]); }}},
        {"patsubst",
         {3, 3, true,
          [](Expander&, Args a, const Scope*, At) {
              Pattern from(strip(a[0]));
              auto to = strip(a[1]);
              return each(a[2], [&](const std::string& w) { return patsubst(from, to, w); });
          }}},
        {"strip", {1, 1, true, [](Expander&, Args a, const Scope*, At) { return join(words(a[0])); }}},
        {"findstring",
         {2, 2, true,
          [](Expander&, Args a, const Scope*, At) {
              return a[1].find(a[0]) != std::string::npos ? a[0] : std::string();
          }}},
        {"filter",
         {2, 2, true, [](Expander&, Args a, const Scope*, At) { return filtered(a[0], a[1], true); }}},
        {"filter-out",
         {2, 2, true, [](Expander&, Args a, const Scope*, At) { return filtered(a[0], a[1], false); }}},
        {"sort",
         {1, 1, true,
          [](Expander&, Args a, const Scope*, At) {
              auto list = words(a[0]);
              std::set<std::string> sorted(list.begin(), list.end());
              return join({sorted.begin(), sorted.end()});
          }}},
        {"word",
         {2, 2, true,
          [](Expander&, Args a, const Scope*, At at) {
              auto n = to_number(a[0], "$(word)", at);
              if (n < 1) throw RuleError(at, "$(word): words are counted from 1");
              auto list = words(a[1]);
              return static_cast<std::size_t>(n) <= list.size() ? list[static_cast<std::size_t>(n - 1)]
                                                                : std::string();
          }}},
        {"wordlist",
         {3, 3, true,
          [](Expander&, Args a, const Scope*, At at) {
              auto from = to_number(a[0], "$(wordlist)", at), to = to_number(a[1], "$(wordlist)", at);
              if (from < 1) throw RuleError(at, "$(wordlist): words are counted from 1");
              std::vector<std::string> out;
              auto list = words(a[2]);
              for (auto i = from; i <= to && static_cast<std::size_t>(i) <= list.size(); ++i)
                  out.push_back(list[static_cast<std::size_t>(i - 1)]);
              return join(out);
          }}},
        {"words",
         {1, 1, true,
          [](Expander&, Args a, const Scope*, At) { return std::to_string(words(a[0]).size()); }}},
        {"firstword",
         {1, 1, true,
          [](Expander&, Args a, const Scope*, At) {
              auto list = words(a[0]);
              return list.empty() ? std::string() : list.front();
          }}},
        {"lastword",
         {1, 1, true,
          [](Expander&, Args a, const Scope*, At) {
              auto list = words(a[0]);
              return list.empty() ? std::string() : list.back();
          }}},
        {"dir", {1, 1, true, [](Expander&, Args a, const Scope*, At) { return each(a[0], dir_part); }}},
        {"notdir", {1, 1, true, [](Expander&, Args a, const Scope*, At) { return each(a[0], notdir_part); }}},
        {"suffix",
         {1, 1, true,
          [](Expander&, Args a, const Scope*, At) { return join(words(each(a[0], suffix_part))); }}},
        {"basename",
         {1, 1, true, [](Expander&, Args a, const Scope*, At) { return each(a[0], basename_part); }}},
        {"addsuffix",
         {2, 2, true,
          [](Expander&, Args a, const Scope*, At) {
              return each(a[1], [&](const std::string& w) { return w + a[0]; });
          }}},
        {"addprefix",
         {2, 2, true,
          [](Expander&, Args a, const Scope*, At) {
              return each(a[1], [&](const std::string& w) { return a[0] + w; });
          }}},
        {"join",
         {2, 2, true,
          [](Expander&, Args a, const Scope*, At) {
              auto x = words(a[0]), y = words(a[1]);
              std::vector<std::string> out;
              for (std::size_t i = 0; i < std::max(x.size(), y.size()); ++i)
                  out.push_back((i < x.size() ? x[i] : "") + (i < y.size() ? y[i] : ""));
              return join(out);
          }}},
        {"wildcard",
         {1, 1, true,
          [](Expander& e, Args a, const Scope*, At) {
              std::vector<std::string> out;
              for (auto& p : words(a[0]))
                  for (auto& f : glob(e.dir_, p)) out.push_back(f);
              return join(out);
          }}},
        {"realpath",
         {1, 1, true,
          [](Expander& e, Args a, const Scope*, At) {
              std::vector<std::string> out;
              for (auto& w : words(a[0])) {
                  std::error_code ec;
                  auto p = fs::canonical(fs::path(e.dir_) / w, ec);
                  if (!ec) out.push_back(p.string());
              }
              return join(out);
          }}},
        {"abspath",
         {1, 1, true,
          [](Expander& e, Args a, const Scope*, At) {
              return each(a[0], [&](const std::string& w) { return normal(e.dir_, w); });
          }}},
        {"foreach",
         {3, 3, false,
          [](Expander& e, Args a, const Scope* s, At at) {
              auto name = strip(e.expand(a[0], s, at));
              std::string out;
              bool first = true;
              for (auto& w : words(e.expand(a[1], s, at))) {
                  Scope inner;
                  inner.around = s;
                  inner.own[name] = {w, false, Origin::automatic, {}};
                  out += (first ? "" : " ") + e.expand(a[2], &inner, at);
                  first = false;
              }
              return out;
          }}},
        {"if",
         {2, 3, false,
          [](Expander& e, Args a, const Scope* s, At at) {
              if (!strip(e.expand(strip(a[0]), s, at)).empty()) return e.expand(a[1], s, at);
              return a.size() > 2 ? e.expand(a[2], s, at) : std::string();
          }}},
        {"or",
         {1, 0, false,
          [](Expander& e, Args a, const Scope* s, At at) {
              for (auto& x : a)
                  if (auto v = strip(e.expand(strip(x), s, at)); !v.empty()) return v;
              return std::string();
          }}},
        {"and",
         {1, 0, false,
          [](Expander& e, Args a, const Scope* s, At at) {
              std::string v;
              for (auto& x : a)
                  if (v = strip(e.expand(strip(x), s, at)); v.empty()) break;
              return v;
          }}},
        {"call",
         {1, 0, true, [](Expander& e, Args a, const Scope* s, At at) { return e.user_call(a, s, at); }}},
        {"eval",
         {1, 1, true,
          [](Expander& e, Args a, const Scope*, At at) {
              if (!e.on_eval) throw RuleError(at, "$(eval ...) in a recipe isn't supported");
              e.on_eval(a[0], at);
              return std::string();
          }}},
        {"shell",
         {1, 1, true, [](Expander& e, Args a, const Scope* s, At at) { return e.shell(a[0], s, at); }}},
        {"origin",
         {1, 1, true,
          [](Expander& e, Args a, const Scope* s, At) {
              const Variable* v = e.find(strip(a[0]), s);
              switch (v ? v->origin : Origin::undefined) {
                  case Origin::undefined:
                      return std::string("undefined");
                  case Origin::default_:
                      return std::string("default");
                  case Origin::environment:
                      return std::string("environment");
                  case Origin::file:
                      return std::string("file");
                  case Origin::command_line:
                      return std::string("command line");
                  case Origin::override_:
                      return std::string("override");
                  case Origin::automatic:
                      return std::string("automatic");
              }
              return std::string();
          }}},
        {"flavor",
         {1, 1, true,
          [](Expander& e, Args a, const Scope* s, At) {
              const Variable* v = e.find(strip(a[0]), s);
              return std::string(!v ? "undefined" : v->recursive ? "recursive" : "simple");
          }}},
        {"value",
         {1, 1, true,
          [](Expander& e, Args a, const Scope* s, At) {
              const Variable* v = e.find(strip(a[0]), s);
              return v ? v->value : std::string();
          }}},
        {"info",
         {1, 1, true,
          [](Expander& e, Args a, const Scope*, At) {
              if (e.on_message) e.on_message(a[0]);
              return std::string();
          }}},
        {"warning",
         {1, 1, true,
          [](Expander& e, Args a, const Scope*, At at) {
              if (e.on_message) e.on_message(at.str() + ": " + a[0]);
              return std::string();
          }}},
        {"error",
         {1, 1, true,
          [](Expander&, Args a, const Scope*, At at) -> std::string { throw RuleError(at, a[0]); }}},
    };
    return table;
}

}  // namespace barrowrun::workflow::make
