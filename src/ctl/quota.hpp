#pragma once
// Nested quotas from the command line: looked at, checked, changed.
#include "ctl/site.hpp"

namespace barrowrun::ctl {

struct QuotaCall {
    std::string file, why, by, settings;
    bool tree = false, prune = false;
};

int quota_show(const Options& options, const QuotaCall& call);
// Makes the site's quotas what the file says; nodes that it doesn't name stay, unless they are to be pruned.
int quota_set(const Options& options, const QuotaCall& call);
// Every fault of a file, by path; status 2 if there is one. Against the platform's settings file if that is
// named, else against the site's teams.
int quota_check(const Options& options, const QuotaCall& call);
int quota_history(const Options& options);
int explain(const Options& options, const std::string& id);

}  // namespace barrowrun::ctl
