#pragma once
// Finds the parts of a MessagePack document that the decoder can't or must not build, without recursion.
#include <optional>
#include <string>
#include <string_view>

namespace barrowrun::wire {

/// Returns the document with null in place of each map or list below `max_depth` levels and of each map that
/// has a key which is not text. Returns nothing if the bytes are not exactly one MessagePack document. Takes
/// time and memory in proportion to the document's size, however deep it is and whatever lengths it declares.
std::optional<std::string> replace_unreadable_values(std::string_view document, int max_depth);

}  // namespace barrowrun::wire
