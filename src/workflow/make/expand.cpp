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

}  // namespace

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
    const int ended = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    global_[".SHELLSTATUS"] = {std::to_string(ended), false, Origin::override_, {}};
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
}  // namespace barrowrun::workflow::make
