#pragma once
// From rules to a graph: which rule makes which file, by implicit rules and search paths too.
#include "workflow/make/parse.hpp"

namespace barrowrun::workflow::make {

// How a node of the graph is made.
struct Making {
    std::string target;  // $@
    std::string stem;    // $*
    std::shared_ptr<Recipe> recipe;
    std::vector<std::string> prereqs, order_only;  // as found, $< first
    std::shared_ptr<Scope> scope;                  // its variables
};

class Resolver {
  public:
    // `built_in`: whether Make's own rules hold.
    Resolver(Expander& expander, RuleBook& book, Graph& graph, bool built_in)
        : expander_(expander), book_(book), graph_(graph), built_in_(built_in) {}
    // Throws RuleError.
    void goals(const std::vector<std::string>& names);
    const std::vector<Making>& makings() const { return makings_; }
    bool special(const std::string& name) const { return special_all_.contains(name); }
    bool listed(const std::string& special, const std::string& name) const;
    // Whether a rule could make this file.
    bool could_make(const std::string& name);

  private:
    struct Target {
        std::vector<std::shared_ptr<Rule>> rules;  // in their order
    };
    struct Found {
        const PatternRule* rule = nullptr;
        std::string stem, dir;
        std::vector<std::string> prereqs, order_only;
        std::vector<std::string> also;                       // other targets it makes
        std::vector<std::pair<std::string, Found>> passing;  // files on the way, and how they are made
    };
    void index();
    NodeId need(const std::string& name, const std::shared_ptr<Scope>& parent, const std::string& user,
                const Place& at);
    NodeId plain_file(const std::string& name, const std::string& shown);
    NodeId make_node(const std::string& name, const std::shared_ptr<Scope>& parent, const Place& at,
                     const std::string& user);
    NodeId double_colon(const std::string& name, const Target& target, const std::shared_ptr<Scope>& parent);
    void fill(NodeId id, Making making, const std::shared_ptr<Scope>& scope);
    std::optional<Found> search(const std::string& name, int depth, std::set<const PatternRule*>& used);
    std::optional<Found> try_rule(const PatternRule& rule, const std::string& name, int depth, bool chain,
                                  std::set<const PatternRule*>& used);
    std::shared_ptr<Scope> scope_for(const std::string& name, const std::shared_ptr<Scope>& parent);
    bool exists(const std::string& name) const;
    void refuse_foreign(const std::string& name) const;
    std::optional<std::string> by_vpath(const std::string& name) const;
    NodeId add(Node node);
    Expander& expander_;
    RuleBook& book_;
    Graph& graph_;
    std::vector<Making> makings_;
    std::unordered_map<std::string, Target> targets_;
    std::set<std::string> mentioned_;  // as target or prerequisite
    std::map<std::string, std::set<std::string>> special_;
    std::set<std::string> special_all_;  // special targets without prerequisites
    std::vector<std::string> way_;       // being resolved: a name that comes again is a cycle
    std::set<std::string> on_way_;
    std::map<std::string, Found> chained_;
    bool indexed_ = false, built_in_;
};

}  // namespace barrowrun::workflow::make
