#pragma once
// Formats names and numbers in the error messages about quota trees, which operators read.
#include <string>
#include <utility>
#include <vector>

#include "quota/tree.hpp"

namespace barrowrun::quota {

// Returns `text` as one line of printable ASCII of bounded length: an operator's file may hold any bytes.
std::string printable(const std::string& text);
// Formats a number with up to ten significant digits, without trailing zeros.
std::string number_text(double number);
// Appends an error. An empty path denotes the whole tree.
void add_error(std::vector<ValidationError>& errors, const std::string& path, std::string message);

}  // namespace barrowrun::quota
