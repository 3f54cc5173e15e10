// What Make's functions do with their arguments.
#include <algorithm>
#include <filesystem>
#include <set>

#include "workflow/make/expand.hpp"
#include "workflow/make/text.hpp"

namespace barrowrun::workflow::make {
namespace fs = std::filesystem;

namespace {

long to_number(const std::string& text, const char* what, const Place& at) {
    auto s = strip(text);
    if (s.empty() || s.find_first_not_of("0123456789") != std::string::npos || s.size() > 9)
        throw RuleError(at, std::string(what) + ": expected a number, not '" + s + "'");
    return std::stol(s);
}

std::string normal(const std::string& dir, const std::string& name) {
    fs::path p = name;
    if (p.is_relative()) p = fs::path(dir) / p;
    auto s = p.lexically_normal().string();
    while (s.size() > 1 && s.back() == '/') s.pop_back();
    return s;
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
