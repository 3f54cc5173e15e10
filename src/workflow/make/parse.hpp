#pragma once
// Reads Makefiles into rules and variables.
#include <set>

#include "workflow/make/expand.hpp"
#include "workflow/make/text.hpp"

namespace barrowrun::workflow::make {

struct RecipeLine {
    std::string text;  // as written, without the tab
    Place at;
};

struct Recipe {
    std::vector<RecipeLine> lines;
    bool given = false;  // also by `target: ;`, which keeps implicit rules away
    Place at;
};

// One rule of one or more explicit targets.
struct Rule {
    std::vector<std::string> targets, prereqs, order_only;
    bool double_colon = false, grouped = false;
    std::shared_ptr<Recipe> recipe;  // shared by the targets of a rule
    std::string stem;                // of a static pattern rule
    Place at;
};

struct PatternRule {
    std::vector<std::string> targets, prereqs, order_only;
    bool terminal = false, built_in = false;
    std::shared_ptr<Recipe> recipe;
    Place at;
};

struct Assignment {
    std::string name, op, text;
    bool override_ = false;
    std::optional<bool> exported;
    Place at;
};

struct RuleBook {
    std::vector<std::shared_ptr<Rule>> rules;  // in their order
    std::vector<PatternRule> patterns;
    std::map<std::string, std::vector<Assignment>> target_variables;
    std::vector<std::pair<std::string, Assignment>> pattern_variables;
    std::vector<std::pair<std::string, std::vector<std::string>>> vpaths;  // pattern -> directories
    std::string first_target;
};

class Parser {
  public:
    Parser(Expander& expander, RuleBook& book) : expander_(expander), book_(book) {}
    // Throws RuleError. `name`: as it is shown, and as MAKEFILE_LIST has it.
    void file(const std::string& name);
    void text(const std::string& content, const Place& at);  // for $(eval), and what is built in
    void built_in(bool on) { built_in_ = on; }
    bool export_all() const { return export_all_; }
    // Files that `-include` didn't find: if a rule can make one, Make would make it and begin again.
    const std::vector<std::pair<std::string, Place>>& not_included() const { return not_included_; }
    bool has_built_in() const { return !suffixes_.empty(); }

  private:
    struct Condition {
        bool taking, taken, seen_else;
        Place at;
    };
    struct Line {
        std::string text;  // with its continuations as written
        Place at;
    };
    struct Source {
        std::vector<Line> lines;
        std::size_t next = 0;
    };
    static std::vector<Line> split(const std::string& content, const std::string& name, int first);
    void run(Source& source);
    void line(const Line& l, Source& source);
    bool conditional(const std::string& text, const Place& at);
    bool test(const std::string& word, const std::string& rest, const Place& at);
    bool taking() const;
    bool directive(const std::string& text, const Line& l, Source& source);
    bool assignment(const std::string& text, const Line& l);
    void define(std::string head, Origin origin, std::optional<bool> exported, const Line& l, Source& source);
    void include(const std::string& names, bool must, const Place& at);
    void export_names(const std::string& names, bool on, const Place& at);
    void vpath(const std::string& text, const Place& at);
    void rule(const std::string& text, const Place& at);
    void add_rule(std::vector<std::string> targets, const std::string& colon, const std::string& rest,
                  std::shared_ptr<Recipe> inline_recipe, const Place& at);
    void add_pattern(std::vector<std::string> targets, std::vector<std::string> prereqs,
                     std::vector<std::string> order_only, bool terminal, const Place& at);
    bool suffix_rule(const std::string& target, const std::vector<std::string>& prereqs, const Place& at);
    std::vector<std::string> prerequisites(const std::string& text) const;
    void recipe_line(const std::string& text, const Place& at);
    std::string prefix() const;
    Expander& expander_;
    RuleBook& book_;
    std::vector<Condition> conditions_;
    std::shared_ptr<Recipe> open_;  // lines with a tab go here
    bool rule_open_ = false, export_all_ = false, built_in_ = false;
    std::vector<std::string> suffixes_{".c",  ".cc", ".cpp", ".C", ".o", ".s", ".S",
                                       ".sh", ".f",  ".y",   ".l", ".p", ".r"};
    std::vector<std::pair<std::string, Place>> not_included_;
    std::vector<std::string> including_;
};

// Finds `name op text`, where no colon of a rule stands before. Nothing if it is no assignment.
std::optional<Assignment> as_assignment(const std::string& text, const Place& at);

}  // namespace barrowrun::workflow::make
