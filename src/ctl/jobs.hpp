#pragma once
// Single jobs: submit, status, cancel.
#include "ctl/site.hpp"

namespace barrowrun::ctl {

int submit(const Options& options, const std::string& file, bool wait);
int status(const Options& options, const std::string& id, bool output);
int cancel(const Options& options, const std::string& id);

}  // namespace barrowrun::ctl
