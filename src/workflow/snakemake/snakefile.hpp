#pragma once
// A Snakefile as rules of a flow. Its Python is run by an embedded interpreter; what becomes of its rules is
// ours.
#include "workflow/graph.hpp"

namespace barrowrun::workflow::snakemake {

struct SnakeOptions {
    std::string dir, file;             // file: empty for Snakefile, workflow/Snakefile
    std::vector<std::string> targets;  // files or rules; empty: the first rule
    std::vector<std::string> config;   // KEY=VALUE
};

class Snakefile : public Rules {
  public:
    // Throws RuleError: whatever isn't supported is said before anything runs.
    explicit Snakefile(const SnakeOptions& options);
    const Graph& graph() const override { return graph_; }
    Work work(NodeId node, const std::vector<NodeId>& newer) override;

  private:
    NodeId source(const std::string& file);
    Graph graph_;
    std::vector<Work> works_;
};

}  // namespace barrowrun::workflow::snakemake
