#pragma once
// Words, patterns and file names as Make has them.
#include <string>
#include <string_view>
#include <vector>

namespace barrowrun::workflow::make {

std::vector<std::string> words(std::string_view text);
std::string join(const std::vector<std::string>& list);
std::string strip(std::string_view text);
std::string replace_all(const std::string& text, const std::string& from, const std::string& to);
// Each word changed, joined again.
template <class F>
std::string each(const std::string& text, F f) {
    auto list = words(text);
    for (auto& w : list) w = f(w);
    return join(list);
}

// The first word, and in `rest` what follows it.
std::string first_word(const std::string& text, std::string* rest);

// A word with at most one `%`; `\%` is a plain one.
struct Pattern {
    std::string before, after;
    bool has_percent = false;
    explicit Pattern(std::string_view text);
    // The stem, if the word matches: what stands for the `%`; empty for a pattern without one.
    bool match(std::string_view word, std::string* stem = nullptr) const;
    std::string with(std::string_view stem) const;
};
// Replaces by patterns, as $(patsubst) does for one word.
std::string patsubst(const Pattern& from, const std::string& to, const std::string& word);

std::string dir_part(const std::string& name);  // up to the last slash, with it; "./" if there is none
std::string notdir_part(const std::string& name);
std::string suffix_part(const std::string& name);  // from the last dot of the last component
std::string basename_part(const std::string& name);

bool has_wildcard(std::string_view word);
// Existing files that match, sorted; below `dir` where the pattern is relative.
std::vector<std::string> glob(const std::string& dir, const std::string& pattern);

// The first place of one of these characters outside of $(...) and ${...}; npos if there is none.
std::size_t find_outside(std::string_view text, std::string_view characters, std::size_t from = 0);

}  // namespace barrowrun::workflow::make
