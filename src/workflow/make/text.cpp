#include "workflow/make/text.hpp"

#include <glob.h>

#include <filesystem>

namespace barrowrun::workflow::make {
namespace {
constexpr std::string_view blanks = " \t\n\r\f\v";
}

std::vector<std::string> words(std::string_view text) {
    std::vector<std::string> out;
    for (std::size_t at = text.find_first_not_of(blanks); at != std::string_view::npos;) {
        auto end = text.find_first_of(blanks, at);
        if (end == std::string_view::npos) end = text.size();
        out.emplace_back(text.substr(at, end - at));
        at = text.find_first_not_of(blanks, end);
    }
    return out;
}

std::string join(const std::vector<std::string>& list) {
    std::string out;
    for (auto& w : list) {
        if (!out.empty()) out += ' ';
        out += w;
    }
    return out;
}

std::string strip(std::string_view text) {
    auto from = text.find_first_not_of(blanks);
    if (from == std::string_view::npos) return "";
    return std::string(text.substr(from, text.find_last_not_of(blanks) - from + 1));
}

std::string replace_all(const std::string& text, const std::string& from, const std::string& to) {
    if (from.empty()) return text + to;
    std::string out;
    for (std::size_t at = 0;;) {
        auto next = text.find(from, at);
        out.append(text, at, next == std::string::npos ? next : next - at);
        if (next == std::string::npos) return out;
        out += to;
        at = next + from.size();
    }
}

std::string first_word(const std::string& text, std::string* rest) {
    auto from = text.find_first_not_of(" \t");
    if (from == std::string::npos) return "";
    auto end = text.find_first_of(" \t", from);
    if (rest) *rest = end == std::string::npos ? "" : strip(text.substr(end));
    return text.substr(from, end == std::string::npos ? end : end - from);
}

Pattern::Pattern(std::string_view text) {
    std::string* into = &before;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '\\' && i + 1 < text.size() && text[i + 1] == '%' && !has_percent) {
            *into += '%';
            ++i;
        } else if (text[i] == '%' && !has_percent) {
            has_percent = true;
            into = &after;
        } else {
            *into += text[i];
        }
    }
}

bool Pattern::match(std::string_view word, std::string* stem) const {
    if (!has_percent) {
        if (word != before) return false;
        if (stem) stem->clear();
        return true;
    }
    if (word.size() < before.size() + after.size() || !word.starts_with(before) || !word.ends_with(after))
        return false;
    if (stem) *stem = std::string(word.substr(before.size(), word.size() - before.size() - after.size()));
    return true;
}

std::string Pattern::with(std::string_view stem) const {
    return has_percent ? before + std::string(stem) + after : before;
}

std::string patsubst(const Pattern& from, const std::string& to, const std::string& word) {
    std::string stem;
    if (!from.match(word, &stem)) return word;
    if (!from.has_percent) return to;
    return Pattern(to).with(stem);
}

std::string dir_part(const std::string& name) {
    auto slash = name.rfind('/');
    return slash == std::string::npos ? "./" : name.substr(0, slash + 1);
}

std::string notdir_part(const std::string& name) {
    auto slash = name.rfind('/');
    return slash == std::string::npos ? name : name.substr(slash + 1);
}

std::string suffix_part(const std::string& name) {
    auto dot = name.rfind('.');
    auto slash = name.rfind('/');
    if (dot == std::string::npos || (slash != std::string::npos && dot < slash)) return "";
    return name.substr(dot);
}

std::string basename_part(const std::string& name) {
    return name.substr(0, name.size() - suffix_part(name).size());
}

bool has_wildcard(std::string_view word) {
    return word.find_first_of("*?[") != std::string_view::npos;
}

std::vector<std::string> glob(const std::string& dir, const std::string& pattern) {
    std::vector<std::string> out;
    const bool relative = !pattern.starts_with('/');
    std::string full = pattern;
    if (relative) {
        // The directory's own name is taken to the letter.
        full.clear();
        for (char c : dir) {
            if (c == '*' || c == '?' || c == '[' || c == '\\') full += '\\';
            full += c;
        }
        full += '/' + pattern;
    }
    glob_t found{};
    if (::glob(full.c_str(), 0, nullptr, &found) == 0)
        for (std::size_t i = 0; i < found.gl_pathc; ++i) {
            std::string name = found.gl_pathv[i];
            out.push_back(relative ? name.substr(dir.size() + 1) : name);
        }
    ::globfree(&found);
    return out;
}

std::size_t find_outside(std::string_view text, std::string_view characters, std::size_t from) {
    std::vector<char> open;
    for (std::size_t i = from; i < text.size(); ++i) {
        char c = text[i];
        if (c == '$' && i + 1 < text.size()) {
            char next = text[i + 1];
            if (next == '(' || next == '{') open.push_back(next == '(' ? ')' : '}');
            ++i;
            continue;
        }
        if (!open.empty()) {
            if (c == open.back())
                open.pop_back();
            else if (c == '(' && open.back() == ')')
                open.push_back(')');
            else if (c == '{' && open.back() == '}')
                open.push_back('}');
            continue;
        }
        if (c == '\\' && i + 1 < text.size() && characters.find(text[i + 1]) != std::string_view::npos &&
            text[i + 1] != '\\') {
            ++i;
            continue;
        }
        if (characters.find(c) != std::string_view::npos) return i;
    }
    return std::string_view::npos;
}

}  // namespace barrowrun::workflow::make
