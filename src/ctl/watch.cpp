#include <unistd.h>

#include <algorithm>
#include <clocale>
#include <cstdio>

#include "ctl/flows.hpp"
#include "workflow/journal.hpp"

// Last, and without its macros, whose names others use.
#define NCURSES_NOMACROS
#include <curses.h>

namespace barrowrun::ctl {

// A table of a directory's flows and of the newest one's targets, renewed twice a second; q ends it.
int watch(const Options&, const std::string& dir) {
    if (!::isatty(1)) throw Usage("watch needs a terminal; `barrowctl flow list` and `flow show` print");
    std::error_code ec;
    auto whole = std::filesystem::canonical(dir, ec);
    if (ec) throw Usage(dir + ": there is no such directory");
    workflow::Journal journal(whole.string());
    std::setlocale(LC_ALL, "");  // names of files may be in any writing
    ::initscr();
    ::cbreak();
    ::noecho();
    ::curs_set(0);
    ::keypad(::stdscr, TRUE);
    ::timeout(500);
    int from = 0;
    for (;;) {
        auto flows = journal.flows();
        const int rows = ::getmaxy(::stdscr), columns = ::getmaxx(::stdscr);
        ::erase();
        int y = 0;
        auto row = [&](const std::string& text, attr_t style = A_NORMAL) {
            if (y >= rows) return;
            ::attrset(style);
            ::mvaddnstr(y++, 0, text.c_str(), columns - 1);
            ::attrset(A_NORMAL);
        };
        row("flows in " + whole.string() + "   (q: quit, arrows: scroll)", A_BOLD);
        for (auto f = flows.rbegin(); f != flows.rend() && f - flows.rbegin() < 5; ++f)
            row(f->id + "  " + f->kind + "  " + workflow::flow_state_name(f->state) + "  " +
                    std::to_string(f->done) + "/" + std::to_string(f->total) +
                    (f->failed ? ", " + std::to_string(f->failed) + " failed" : ""),
                f->state == workflow::FlowState::open ? A_STANDOUT : A_NORMAL);
        ++y;
        if (!flows.empty()) {
            auto nodes = journal.nodes(flows.back().id);
            // What runs stands first, then what failed.
            std::stable_sort(nodes.begin(), nodes.end(), [](auto& a, auto& b) {
                auto rank = [](auto& n) {
                    return n.state == workflow::NodeState::started  ? 0
                           : n.state == workflow::NodeState::failed ? 1
                                                                    : 2;
                };
                return rank(a) < rank(b);
            });
            from = std::clamp(from, 0, std::max(0, static_cast<int>(nodes.size()) - 1));
            for (std::size_t i = static_cast<std::size_t>(from); i < nodes.size() && y < rows; ++i) {
                auto& n = nodes[i];
                bool runs = n.state == workflow::NodeState::started,
                     bad = n.state == workflow::NodeState::failed;
                row((runs  ? "running  "
                     : bad ? "failed   "
                           : "done     ") +
                        n.job + "  " + n.node + (n.note.empty() ? "" : ": " + n.note),
                    runs  ? A_BOLD
                    : bad ? A_REVERSE
                          : A_NORMAL);
            }
        }
        ::refresh();
        int key = ::getch();
        if (key == 'q' || key == 27) break;
        if (key == KEY_DOWN) ++from;
        if (key == KEY_UP) --from;
        if (key == KEY_NPAGE) from += rows / 2;
        if (key == KEY_PPAGE) from -= rows / 2;
    }
    ::endwin();
    return good;
}

}  // namespace barrowrun::ctl
