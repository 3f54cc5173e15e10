#pragma once
// Variables and their expansion.
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "workflow/graph.hpp"

namespace barrowrun::workflow::make {

enum class Origin { undefined, default_, environment, file, command_line, override_, automatic };

struct Variable {
    std::string value;
    bool recursive = true;
    Origin origin = Origin::file;
    std::optional<bool> exported;
};

// Variables of one place: a target's, a function call's. What isn't found here is looked for around it.
struct Scope {
    std::map<std::string, Variable> own;
    const Scope* around = nullptr;
    const Variable* find(const std::string& name) const {
        for (auto* s = this; s; s = s->around)
            if (auto it = s->own.find(name); it != s->own.end()) return &it->second;
        return nullptr;
    }
};

class Expander {
  public:
    explicit Expander(std::string dir) : dir_(std::move(dir)) {}
    // `scope`: null for the global variables alone.
    std::string expand(std::string_view text, const Scope* scope, const Place& at);
    // Throws if a reference doesn't end, or names a function that isn't supported; expands nothing.
    static void check(std::string_view text, const Place& at);
    const Variable* find(const std::string& name, const Scope* scope) const;
    std::string value(const std::string& name, const Scope* scope, const Place& at);

    // Assignments: `op` is one of = := ::= ?= += !=
    void assign(std::map<std::string, Variable>& into, const Scope* scope, const std::string& name,
                const std::string& op, const std::string& text, Origin origin, const Place& at);
    std::map<std::string, Variable>& global() { return global_; }
    const std::string& dir() const { return dir_; }

    std::function<void(const std::string& text, const Place& at)> on_eval;      // $(eval)
    std::function<void(const std::string& line)> on_message;                    // $(info), $(warning)
    std::vector<std::string> shell_words(const Scope* scope, const Place& at);  // SHELL and .SHELLFLAGS

  private:
    struct Function {
        std::size_t least, most;  // arguments; most 0: any number
        bool expanded;            // its arguments are expanded before it sees them
        std::function<std::string(Expander&, std::vector<std::string>&, const Scope*, const Place&)> run;
    };
    static const std::map<std::string, Function>& functions();
    std::string reference(std::string_view inside, const Scope* scope, const Place& at);
    std::string call_function(const std::string& name, const Function& f, std::string_view rest,
                              const Scope* scope, const Place& at);
    std::string shell(const std::string& command, const Scope* scope, const Place& at);
    std::string user_call(const std::vector<std::string>& args, const Scope* scope, const Place& at);
    std::string dir_;
    std::map<std::string, Variable> global_;
    std::vector<const Variable*> active_;  // being expanded: a recursion that has no end is an error
    int depth_ = 0;
};

}  // namespace barrowrun::workflow::make
