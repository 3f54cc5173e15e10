#pragma once
// A Makefile as rules of a flow.
#include "workflow/make/resolve.hpp"

namespace barrowrun::workflow::make {

struct MakeOptions {
    std::string dir, file;  // file: empty for GNUmakefile, makefile or Makefile
    std::vector<std::string> goals;
    std::vector<std::string> variables;                  // NAME=VALUE
    std::function<void(const std::string&)> on_message;  // $(info), $(warning)
};

class Makefile : public Rules {
  public:
    // Throws RuleError: whatever isn't supported is said before anything runs.
    explicit Makefile(const MakeOptions& options);
    const Graph& graph() const override { return graph_; }
    Work work(NodeId node, const std::vector<NodeId>& newer) override;
    const std::string& file() const { return file_; }

  private:
    void read(const MakeOptions& options);
    std::map<std::string, std::string> environment(const Scope* scope, const Place& at);
    // What the BARROW_ variables say.
    void resources(Work& w, const Scope* scope, const Place& at);
    double number(const std::string& name, const Scope* scope, const Place& at, double otherwise,
                  double least, double most);
    std::string file_;
    Expander expander_;
    RuleBook book_;
    Graph graph_;
    Parser parser_;
    std::unique_ptr<Resolver> resolver_;
    bool one_shell_ = false, silent_ = false;
    std::set<std::string> from_environment_;
};

}  // namespace barrowrun::workflow::make
