#pragma once
// Rule files as flows: make, snake, and what can be done with flows that were begun.
#include "ctl/site.hpp"

namespace barrowrun::ctl {

struct FlowCall {
    std::string kind;  // make, snake
    std::string dir = ".", file;
    std::vector<std::string> targets, variables;  // NAME=VALUE; of Snakemake: its configuration
    bool keep_going = false, dry_run = false, always = false, changed_recipes = false, quiet = false;
    std::size_t most_at_once = 0;
};

int flow(const Options& options, FlowCall call);
int flow_list(const Options& options, const std::string& dir);
int flow_show(const Options& options, const std::string& dir, const std::string& id);
int flow_cancel(const Options& options, const std::string& dir, const std::string& id);
int flow_resume(const Options& options, const std::string& dir, const std::string& id);
int watch(const Options& options, const std::string& dir);

}  // namespace barrowrun::ctl
