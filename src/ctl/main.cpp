#include <CLI/CLI.hpp>
#include <cstdio>

#include "base/logging.hpp"
#include "ctl/flows.hpp"
#include "ctl/jobs.hpp"
#include "ctl/quota.hpp"

using namespace barrowrun;

int main(int argc, char** argv) {
    CLI::App cli{"barrowctl: jobs and rule files on a barrowrun site"};
    cli.require_subcommand(1);
    cli.set_version_flag("--version", "barrowctl " BARROWRUN_VERSION);
    ctl::Options o;
    cli.add_option("--site", o.nodes, "the site's nodes, 127.0.0.1:8080,... (BARROWRUN_SITE)");
    cli.add_option("--depot", o.depot, "directory shared with the workers (BARROWRUN_DEPOT)");
    cli.add_option("--team", o.team, "the team that pays for it (BARROWRUN_TEAM)");
    cli.add_option("--client", o.client_file,
                   "client file (BARROWRUN_CLIENT, see schema/client.schema.json)");
    cli.add_flag("--json", o.json, "answers for machines: one JSON document per line");
    cli.fallthrough();

    std::string file, id, dir = ".";
    bool wait = false, output = false;
    auto* submit =
        cli.add_subcommand("submit", "submit a job described by a file (see schema/job.schema.json)");
    submit->add_option("file", file)->required();
    submit->add_flag("--wait", wait, "until it is over; status 1 if it failed");
    auto* status = cli.add_subcommand("status", "how a job stands; status 1 if it failed or was cancelled");
    status->add_option("id", id)->required();
    status->add_flag("--output", output, "and what its first task wrote");
    auto* cancel = cli.add_subcommand("cancel", "stop a job and all its tasks");
    cancel->add_option("id", id)->required();

    ctl::FlowCall call;
    std::vector<std::string> words, config;
    auto* make = cli.add_subcommand("make", "build targets of a Makefile on the site");
    make->add_option("-f,--file", call.file, "the Makefile");
    make->add_flag("-k,--keep-going", call.keep_going, "go on with what doesn't need what failed");
    make->add_option("words", words, "NAME=VALUE and targets");
    auto* snake = cli.add_subcommand("snake", "build targets of a Snakefile on the site");
    snake->add_option("-s,--snakefile", call.file, "the Snakefile");
    snake->add_flag("-k,--keep-going", call.keep_going, "go on with what doesn't need what failed");
    snake->add_option("--config", config, "KEY=VALUE of its configuration")->take_all();
    snake->add_option("targets", words, "files or rules");
    for (auto* sub : {make, snake}) {
        sub->add_option("-C,--directory", call.dir, "where to work");
        sub->add_flag("-n,--dry-run", call.dry_run, "say what would run");
        sub->add_flag("-B,--always-make", call.always, "take nothing for up to date");
        sub->add_flag("-q,--quiet", call.quiet, "no line per target");
        sub->add_flag("--changed-recipes", call.changed_recipes,
                      "make again what was made by other commands");
        sub->add_option("-j,--jobs", call.most_at_once, "at most so many at once (default: no bound)");
    }
    auto* flow = cli.add_subcommand("flow", "flows that were begun in a directory");
    flow->require_subcommand(1);
    flow->add_option("-C,--directory", dir, "the directory");
    auto* list = flow->add_subcommand("list", "all of them");
    auto* show = flow->add_subcommand("show", "the targets of one");
    auto* stop = flow->add_subcommand("cancel", "stop one and its jobs");
    auto* resume = flow->add_subcommand("resume", "go on with one whose driver was killed");
    for (auto* sub : {show, stop, resume}) sub->add_option("id", id)->required();
    auto* watch = cli.add_subcommand("watch", "watch a directory's flows on the terminal");
    watch->add_option("-C,--directory", dir, "the directory");
    auto* why = cli.add_subcommand("explain", "what keeps a job's tasks waiting");
    why->add_option("id", id)->required();
    ctl::QuotaCall quota_call;
    auto* quota = cli.add_subcommand("quota", "nested quotas of organisations, teams and projects");
    quota->require_subcommand(1);
    auto* quota_show = quota->add_subcommand("show", "limits, guarantees, what is in use and waits");
    quota_show->add_flag("--tree", quota_call.tree, "as a tree with bars");
    auto* quota_set = quota->add_subcommand("set", "make the site's quotas what a file says");
    quota_set->add_flag("--prune", quota_call.prune, "drop nodes that the file doesn't name");
    quota_set->add_option("--why", quota_call.why, "for the history");
    quota_set->add_option("--by", quota_call.by, "who, for the history (default: USER)")->envname("USER");
    auto* quota_check = quota->add_subcommand("check", "every fault of a file; status 2 if there is one");
    quota_check->add_option("--settings", quota_call.settings,
                            "the platform's settings file, whose teams it must suit (default: the site's)");
    for (auto* sub : {quota_set, quota_check})
        sub->add_option("file", quota_call.file, "JSON, see schema/quotas.schema.json")->required();
    auto* quota_history = quota->add_subcommand("history", "who changed them, when and why");
    try {
        cli.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return cli.exit(e) == 0 ? 0 : ctl::bad_input;
    }
    base::log_to_stderr("barrowctl", "warn");
    try {
        if (*submit) return ctl::submit(o, file, wait);
        if (*status) return ctl::status(o, id, output);
        if (*cancel) return ctl::cancel(o, id);
        if (*make || *snake) {
            call.kind = *make ? "make" : "snake";
            for (auto& w : words)
                (*make && w.find('=') != std::string::npos ? call.variables : call.targets).push_back(w);
            if (*snake) call.variables = config;
            return ctl::flow(o, call);
        }
        if (*list) return ctl::flow_list(o, dir);
        if (*show) return ctl::flow_show(o, dir, id);
        if (*stop) return ctl::flow_cancel(o, dir, id);
        if (*resume) return ctl::flow_resume(o, dir, id);
        if (*why) return ctl::explain(o, id);
        if (*quota_show) return ctl::quota_show(o, quota_call);
        if (*quota_set) return ctl::quota_set(o, quota_call);
        if (*quota_check) return ctl::quota_check(o, quota_call);
        if (*quota_history) return ctl::quota_history(o);
        if (*watch) return ctl::watch(o, dir);
    } catch (const ctl::Usage& e) {
        std::fprintf(stderr, "barrowctl: %s\n", e.what());
        return ctl::bad_input;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "barrowctl: %s\n", e.what());
        return ctl::failed;
    }
    return ctl::good;
}
