#pragma once
// Shared by the steps that check a quota tree: how names and numbers appear in the messages for operators.
#include <string>
#include <utility>
#include <vector>

#include "quota/tree.hpp"

namespace barrowrun::quota {

// `text` as one line of printable ASCII of bounded length, whatever bytes an operator's file holds.
std::string printable(const std::string& text);
// Up to ten significant digits, without trailing zeros.
std::string number_text(double number);
// Appends an error; an empty path means the tree as a whole.
void add_error(std::vector<ValidationError>& errors, const std::string& path, std::string what);

}  // namespace barrowrun::quota
