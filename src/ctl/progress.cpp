#include "ctl/progress.hpp"

#include <fmt/format.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>

#include "ctl/site.hpp"

namespace barrowrun::ctl {
using workflow::State;

namespace {

std::size_t columns() {
    winsize w{};
    return ::ioctl(1, TIOCGWINSZ, &w) == 0 && w.ws_col > 20 ? w.ws_col : 80;
}

// The last lines of what it wrote, indented.
std::string last_lines(const std::string& text, std::size_t most) {
    std::vector<std::string> lines;
    for (std::size_t at = 0; at < text.size();) {
        auto end = std::min(text.find('\n', at), text.size());
        lines.push_back(text.substr(at, end - at));
        at = end + 1;
    }
    std::string out;
    for (auto i = lines.size() > most ? lines.size() - most : 0; i < lines.size(); ++i)
        out += "    " + lines[i] + "\n";
    return out;
}

}  // namespace

Progress::Progress(bool json, bool quiet)
    : json_(json), quiet_(quiet), terminal_(!json && ::isatty(1)), began_(Clock::now()) {}

void Progress::line(const std::string& text) {
    if (terminal_ && shown_) std::fputs("\r\x1b[K", stdout), shown_ = 0;
    std::fputs((text + "\n").c_str(), stdout);
    std::fflush(stdout);
}

void Progress::note(const std::string& text) {
    if (json_)
        print({{"note", depot::to_text(text)}});
    else
        line(text);
}

void Progress::report(const workflow::NodeReport& r) {
    if (r.state == State::done) made_.push_back(r);
    if (r.state == State::failed) failed_.push_back(r);
    if (json_) {
        nlohmann::json j{{"target", depot::to_text(r.node->name)}, {"state", workflow::state_name(r.state)}};
        if (!r.job.empty()) j["job"] = r.job;
        if (r.result)
            j["machine"] = r.result->machine, j["exit"] = r.result->status, j["ran_s"] = r.result->ran_s;
        if (r.state == State::failed) {
            j["why"] = depot::to_text(r.why);
            if (r.result)
                j["command"] = depot::to_text(r.result->step), j["output"] = depot::to_text(r.result->tail);
            j["rule"] = r.node->place.str();
        }
        print(j);
        return;
    }
    if (r.state == State::failed) return failure(r);
    if (r.state == State::current) return;
    if (!terminal_ && !quiet_)
        line(fmt::format("{:<8} {}  ({}, {:.1f} s)", workflow::state_name(r.state), r.node->name,
                         r.result ? r.result->machine : "", r.result ? r.result->ran_s : 0.0));
    draw();
}

void Progress::failure(const workflow::NodeReport& r) {
    std::string out = fmt::format("failed   {}  ({})\n", r.node->name, r.why);
    out += fmt::format("  rule     {}{}\n", r.node->place.str(),
                       r.node->rule.empty() ? "" : ", " + r.node->rule);
    if (r.result) {
        if (!r.result->step.empty()) out += fmt::format("  command  {}\n", r.result->step);
        out += fmt::format("  status   {}\n  machine  {}\n", r.result->status, r.result->machine);
        if (!r.result->tail.empty()) out += "  output   (last lines)\n" + last_lines(r.result->tail, 12);
    }
    if (!r.job.empty()) out += "  job      " + r.job;
    line(out);
}

void Progress::dry_run(const workflow::NodeReport& r) {
    if (json_)
        print({{"target", depot::to_text(r.node->name)}, {"would_run", depot::to_text(r.why)}});
    else
        std::fputs(r.why.c_str(), stdout);
}

void Progress::counts(const workflow::Counts& c) {
    counts_ = c;
    if (terminal_ && Clock::now() - drawn_ > std::chrono::milliseconds(100)) draw();
}

void Progress::draw() {
    if (!terminal_) return;
    drawn_ = Clock::now();
    auto& c = counts_;
    auto over = c.done + c.current + c.failed + c.skipped;
    auto width = std::min<std::size_t>(30, columns() / 3);
    auto full = c.total ? width * over / c.total : width;
    auto text = fmt::format("[{}{}] {}/{}  {} running, {} waiting{}  {:.0f} s", std::string(full, '#'),
                            std::string(width - full, '.'), over, c.total, c.running, c.waiting,
                            c.failed ? fmt::format(", {} failed", c.failed) : "",
                            Seconds(Clock::now() - began_).count());
    text.resize(std::min(text.size(), columns() - 1));
    std::fputs(("\r\x1b[K" + text).c_str(), stdout);
    std::fflush(stdout);
    shown_ = text.size();
}

void Progress::end(const std::string& flow, workflow::FlowState state, const workflow::Counts& c) {
    if (json_) {
        print({{"flow", flow},
               {"state", workflow::flow_state_name(state)},
               {"done", c.done},
               {"up_to_date", c.current},
               {"failed", c.failed},
               {"skipped", c.skipped}});
        return;
    }
    if (terminal_ && shown_) std::fputs("\r\x1b[K", stdout), shown_ = 0;
    if (terminal_ && !quiet_)
        for (auto& r : made_)
            line(fmt::format("done     {}  ({}, {:.1f} s)", r.node->name, r.result ? r.result->machine : "",
                             r.result ? r.result->ran_s : 0.0));
    line(fmt::format("flow {} {}: {} made, {} up to date, {} failed, {} not started, in {:.1f} s", flow,
                     workflow::flow_state_name(state), c.done, c.current, c.failed, c.skipped,
                     Seconds(Clock::now() - began_).count()));
}

}  // namespace barrowrun::ctl
