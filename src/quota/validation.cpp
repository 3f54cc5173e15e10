#include "quota/validation.hpp"

#include <spdlog/fmt/fmt.h>

namespace barrowrun::quota {

std::string printable(const std::string& text) {
    std::string out;
    for (const unsigned char c : text.substr(0, max_name_length))
        out += c >= 0x20 && c < 0x7f ? static_cast<char>(c) : '?';
    return text.size() > max_name_length ? out + "..." : out;
}

std::string number_text(double number) {
    return fmt::format("{:.10g}", number);
}

void add_error(std::vector<ValidationError>& errors, const std::string& path, std::string message) {
    errors.push_back({path.empty() ? "the tree" : path, std::move(message)});
}

}  // namespace barrowrun::quota
