#include "workflow/make/makefile.hpp"

#include <pthread.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <filesystem>

extern char** environ;

namespace barrowrun::workflow::make {
namespace fs = std::filesystem;

namespace {

// The part of Make's own rules and variables that is supported: C, C++, assembler and shell.
constexpr const char* built_in_rules = R"(
AR = ar
ARFLAGS = rv
AS = as
CC = cc
CXX = g++
CPP = $(CC) -E
LD = ld
RM = rm -f
OUTPUT_OPTION = -o $@
COMPILE.c = $(CC) $(CFLAGS) $(CPPFLAGS) $(TARGET_ARCH) -c
COMPILE.cc = $(CXX) $(CXXFLAGS) $(CPPFLAGS) $(TARGET_ARCH) -c
COMPILE.cpp = $(COMPILE.cc)
COMPILE.C = $(COMPILE.cc)
COMPILE.s = $(AS) $(ASFLAGS) $(TARGET_MACH)
LINK.o = $(CC) $(LDFLAGS) $(TARGET_ARCH)
LINK.c = $(CC) $(CFLAGS) $(CPPFLAGS) $(LDFLAGS) $(TARGET_ARCH)
LINK.cc = $(CXX) $(CXXFLAGS) $(CPPFLAGS) $(LDFLAGS) $(TARGET_ARCH)
LINK.cpp = $(LINK.cc)
LINK.C = $(LINK.cc)
%: %.o
	$(LINK.o) $^ $(LOADLIBES) $(LDLIBS) -o $@
%: %.c
	$(LINK.c) $^ $(LOADLIBES) $(LDLIBS) -o $@
%: %.cc
	$(LINK.cc) $^ $(LOADLIBES) $(LDLIBS) -o $@
%: %.C
	$(LINK.C) $^ $(LOADLIBES) $(LDLIBS) -o $@
%: %.cpp
	$(LINK.cpp) $^ $(LOADLIBES) $(LDLIBS) -o $@
%: %.sh
	cat $< >$@ 
	chmod a+x $@
%.o: %.c
	$(COMPILE.c) $(OUTPUT_OPTION) $<
%.o: %.cc
	$(COMPILE.cc) $(OUTPUT_OPTION) $<
%.o: %.C
	$(COMPILE.C) $(OUTPUT_OPTION) $<
%.o: %.cpp
	$(COMPILE.cpp) $(OUTPUT_OPTION) $<
%.o: %.s
	$(COMPILE.s) -o $@ $<
)";

// Rules may stand in chains of tens of thousands, and their reading recurses: on a stack that allows for it.
template <class F>
void with_deep_stack(F work) {
    struct Call {
        F* work;
        std::exception_ptr failed;
    } call{&work, {}};
    pthread_attr_t attributes;
    ::pthread_attr_init(&attributes);
    ::pthread_attr_setstacksize(&attributes, std::size_t{512} << 20);
    pthread_t thread;
    auto run = [](void* p) -> void* {
        auto* c = static_cast<Call*>(p);
        try {
            (*c->work)();
        } catch (...) {
            c->failed = std::current_exception();
        }
        return nullptr;
    };
    int error = ::pthread_create(&thread, &attributes, run, &call);
    ::pthread_attr_destroy(&attributes);
    if (error) throw RuleError("no thread to read the rules with");
    ::pthread_join(thread, nullptr);
    if (call.failed) std::rethrow_exception(call.failed);
}

std::string shown(const std::string& path) {
    return path.starts_with("./") ? path.substr(2) : path;
}

}  // namespace

Makefile::Makefile(const MakeOptions& options) : expander_(options.dir), parser_(expander_, book_) {
    with_deep_stack([&] { read(options); });
}

void Makefile::read(const MakeOptions& options) {
    file_ = options.file;
    if (file_.empty()) {
        for (auto* name : {"GNUmakefile", "makefile", "Makefile"})
            if (file_.empty() && fs::exists(fs::path(options.dir) / name)) file_ = name;
        if (file_.empty()) throw RuleError("no Makefile in " + options.dir + " (and none named by -f)");
    }
    expander_.on_message = options.on_message;
    expander_.on_eval = [this](const std::string& text, const Place& at) { parser_.text(text, at); };
    auto& global = expander_.global();
    auto set = [&](const char* name, const std::string& value, Origin origin) {
        global[name] = {value, false, origin, {}};
    };
    parser_.built_in(true);
    parser_.text(built_in_rules, {"built-in rules", 1});
    for (auto& p : book_.patterns) p.built_in = true;
    for (auto& [name, v] : global) v.origin = Origin::default_;
    parser_.built_in(false);
    for (char** e = environ; *e; ++e) {
        const char* eq = std::strchr(*e, '=');
        if (!eq) continue;
        std::string name(*e, static_cast<std::size_t>(eq - *e));
        if (name == "SHELL" || name == "MAKEFLAGS" || name == "MAKELEVEL" || name == "MAKEFILES") continue;
        from_environment_.insert(name);
        global[name] = {eq + 1, true, Origin::environment, {}};
    }
    set("MAKE", "make", Origin::default_);
    set("MAKE_COMMAND", "make", Origin::default_);
    set("MAKE_VERSION", "4.3", Origin::default_);
    set("MAKELEVEL", "0", Origin::file);
    set("MAKEFLAGS", "", Origin::file);
    set("CURDIR", options.dir, Origin::file);
    set("SHELL", "/bin/sh", Origin::file);
    set("MAKEFILE_LIST", "", Origin::file);
    std::string goals;
    for (auto& g : options.goals) goals += (goals.empty() ? "" : " ") + g;
    set("MAKECMDGOALS", goals, Origin::file);
    for (auto& v : options.variables) {
        auto a = as_assignment(v, {"command line", 0});
        if (!a) throw RuleError("'" + v + "': expected NAME=VALUE");
        expander_.assign(global, nullptr, a->name, a->op, a->text, Origin::command_line, a->at);
        global[a->name].origin = Origin::command_line;
    }
    parser_.file(shown(file_));
    auto flags = expander_.value("MAKEFLAGS", nullptr, {file_, 0});
    bool built_in = parser_.has_built_in();
    for (auto& f : words(flags))
        if (f == "r" || f == "-r" || f == "--no-builtin-rules" || f == "R" || f == "-R" || f == "-rR" ||
            f == "rR") {
            std::erase_if(book_.patterns, [](auto& p) { return p.built_in; });
            built_in = false;
        }
    resolver_ = std::make_unique<Resolver>(expander_, book_, graph_, built_in);
    for (auto& [name, at] : parser_.not_included())
        if (resolver_->could_make(name))
            throw RuleError(
                at, "'" + name + "' would be made by a rule before it is included: that isn't supported");
    resolver_->goals(options.goals);
    graph_.check_acyclic();
    one_shell_ = resolver_->special(".ONESHELL");
    silent_ = resolver_->special(".SILENT");
    // What can be known to be wrong with a recipe is said before any runs.
    std::set<const Recipe*> checked;
    for (auto& making : resolver_->makings()) {
        if (!making.recipe || making.recipe->lines.empty()) continue;
        Work w;
        resources(w, making.scope.get(), making.recipe->at);
        if (checked.insert(making.recipe.get()).second)
            for (auto& line : making.recipe->lines) Expander::check(line.text, line.at);
    }
    // From here on, what is expanded is recipes.
    expander_.on_eval = nullptr;
}

double Makefile::number(const std::string& name, const Scope* scope, const Place& at, double otherwise,
                        double least, double most) {
    if (!expander_.find(name, scope)) return otherwise;
    auto text = strip(expander_.value(name, scope, at));
    char* end = nullptr;
    double v = std::strtod(text.c_str(), &end);
    if (text.empty() || *end || !(v >= least && v <= most))
        throw RuleError(at, name + ": expected a number from " + std::to_string(static_cast<long>(least)) +
                                " to " + std::to_string(static_cast<long>(most)) + ", not '" + text + "'");
    return v;
}

std::map<std::string, std::string> Makefile::environment(const Scope* scope, const Place& at) {
    std::map<std::string, std::string> out;
    std::map<std::string, const Variable*> all;
    for (auto& [name, v] : expander_.global()) all[name] = &v;
    std::vector<const Scope*> scopes;
    for (auto* s = scope; s; s = s->around) scopes.push_back(s);
    for (auto it = scopes.rbegin(); it != scopes.rend(); ++it)
        for (auto& [name, v] : (*it)->own)
            if (v.origin != Origin::automatic) all[name] = &v;
    for (auto& [name, v] : all) {
        const Variable* global = nullptr;
        if (auto it = expander_.global().find(name); it != expander_.global().end()) global = &it->second;
        auto exported = v->exported ? v->exported : global ? global->exported : std::nullopt;
        if (exported && !*exported) continue;
        bool plain_name = !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char c) {
            return std::isalnum(c) || c == '_';
        });
        bool wanted = exported.value_or(false) || v->origin == Origin::command_line ||
                      (from_environment_.contains(name) && v->origin != Origin::environment) ||
                      (parser_.export_all() && plain_name && v->origin == Origin::file && name != "SHELL" &&
                       name != "CURDIR" && !name.starts_with("MAKE"));
        if (wanted) out[name] = expander_.value(name, scope, at);
    }
    out["MAKELEVEL"] = "1";
    return out;
}

Work Makefile::work(NodeId id, const std::vector<NodeId>& newer) {
    const auto& making = resolver_->makings()[id];
    const auto& node = graph_.nodes[id];
    Work w;
    if (!making.recipe) return w;
    Scope scope;
    scope.around = making.scope.get();
    auto automatic = [&](const char* name, const std::string& value) {
        scope.own[name] = {value, false, Origin::automatic, {}};
    };
    std::vector<std::string> unique, changed;
    for (auto& p : making.prereqs)
        if (std::find(unique.begin(), unique.end(), p) == unique.end()) unique.push_back(p);
    for (auto& p : unique) {
        auto it = graph_.by_output.find(p);
        if (it != graph_.by_output.end() && std::binary_search(newer.begin(), newer.end(), it->second))
            changed.push_back(p);
    }
    auto stem = making.stem;
    if (stem.empty())
        for (auto* suffix :
             {".o", ".c", ".cc", ".cpp", ".C", ".s", ".S", ".a", ".h", ".sh", ".y", ".l", ".f", ".tex"})
            if (making.target.ends_with(suffix)) stem = basename_part(making.target);
    automatic("@", making.target);
    automatic("*", stem);
    automatic("<", making.prereqs.empty() ? "" : making.prereqs.front());
    automatic("^", join(unique));
    automatic("+", join(making.prereqs));
    automatic("|", join(making.order_only));
    automatic("?", join(changed));
    automatic("%", "");
    const auto& at = making.recipe->at;
    w.shell = expander_.shell_words(&scope, at);
    if (one_shell_ && !expander_.find(".SHELLFLAGS", &scope)) w.shell = {w.shell[0], "-c"};
    auto echo_off = silent_ || resolver_->listed(".SILENT", making.target);
    auto ignore = resolver_->special(".IGNORE") || resolver_->listed(".IGNORE", making.target);
    auto add = [&](std::string text) {
        depot::Step step{"", !echo_off, ignore};
        std::size_t i = 0;
        for (; i < text.size(); ++i) {
            if (text[i] == '@')
                step.echo = false;
            else if (text[i] == '-')
                step.ignore = true;
            else if (text[i] != '+' && text[i] != ' ' && text[i] != '\t')
                break;
        }
        step.run = text.substr(i);
        if (!strip(step.run).empty()) w.steps.push_back(std::move(step));
    };
    std::string all;
    for (auto& line : making.recipe->lines) {
        // The tab that a continued line begins with is none of the command's.
        std::string text;
        for (std::size_t i = 0; i < line.text.size(); ++i) {
            text += line.text[i];
            if (line.text[i] == '\n' && i + 1 < line.text.size() && line.text[i + 1] == '\t') ++i;
        }
        auto expanded = expander_.expand(text, &scope, line.at);
        if (one_shell_) {
            all += (all.empty() ? "" : "\n") + expanded;
            continue;
        }
        // What expands to several lines is several commands, but for escaped ends of lines.
        std::string command;
        for (std::size_t i = 0; i <= expanded.size(); ++i) {
            if (i < expanded.size() && !(expanded[i] == '\n' && (i == 0 || expanded[i - 1] != '\\'))) {
                command += expanded[i];
                continue;
            }
            add(std::move(command));
            command.clear();
            while (i + 1 < expanded.size() && expanded[i + 1] == '\t') ++i;
        }
    }
    if (one_shell_) add(all);
    w.env = environment(&scope, at);
    w.inputs = unique;
    w.inputs.insert(w.inputs.end(), making.order_only.begin(), making.order_only.end());
    auto direct = strip(expander_.value("BARROW_DIRECT", &scope, at));
    w.in_private = !node.phony && (direct.empty() || direct == "0");
    w.delete_on_error = true;
    resources(w, &scope, at);
    return w;
}

void Makefile::resources(Work& w, const Scope* scope, const Place& at) {
    w.need.cpus = number("BARROW_CPUS", scope, at, 1, 0, 4096);
    w.need.gpus = number("BARROW_GPUS", scope, at, 0, 0, 64);
    w.need.mem_gb = number("BARROW_MEM_GB", scope, at, 0.25, 0, 65536);
    w.limit_memory = expander_.find("BARROW_MEM_GB", scope) != nullptr && w.need.mem_gb > 0;
    w.retries = static_cast<std::uint32_t>(number("BARROW_RETRIES", scope, at, 0, 0, wire::max_retries));
    w.estimate_s = number("BARROW_ESTIMATE_S", scope, at, 10, 0, 1e6);
    if (auto c = strip(expander_.value("BARROW_CLASS", scope, at)); !c.empty()) w.job_class = c;
    w.project = strip(expander_.value("BARROW_PROJECT", scope, at));
    if (auto r = strip(expander_.value("BARROW_RANK", scope, at)); !r.empty()) {
        auto rank = wire::priority_of(r);
        if (!rank)
            throw RuleError(at, "BARROW_RANK: expected production, urgent, normal or low, not '" + r + "'");
        w.rank = *rank;
    }
}

}  // namespace barrowrun::workflow::make
