#pragma once
// What a flow shows while it goes: a bar on a terminal, one line per target otherwise, and a last table.
#include "workflow/driver.hpp"

namespace barrowrun::ctl {

class Progress {
  public:
    Progress(bool json, bool quiet);
    void report(const workflow::NodeReport& r);
    void counts(const workflow::Counts& c);
    void note(const std::string& line);
    void dry_run(const workflow::NodeReport& r);
    // The table of what was made, and what failed once more.
    void end(const std::string& flow, workflow::FlowState state, const workflow::Counts& c);

  private:
    void line(const std::string& text);
    void draw();
    void failure(const workflow::NodeReport& r);
    bool json_, quiet_, terminal_;
    workflow::Counts counts_;
    TimePoint began_, drawn_{};
    std::size_t shown_ = 0;  // length of the bar on the terminal
    std::vector<workflow::NodeReport> made_, failed_;
};

}  // namespace barrowrun::ctl
