#pragma once
// Encoding and decoding of MessagePack bodies with a limit on nesting, and typed access to untrusted maps.
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace barrowrun::wire {

using Json = nlohmann::json;

inline constexpr std::size_t max_body = 64 * 1024;  // bytes of a request body

// Levels of maps and lists that a decoded document has at most. Every message of the protocol has fewer.
inline constexpr int max_depth = 24;

// Decodes one MessagePack document. A part that no receiver knows must be ignored, whatever it is: null takes
// the place of maps and lists below `max_depth` levels and of maps with a key that is not text. Returns
// nothing if the document is invalid or is followed by more bytes. The depth is checked before the document
// is built, because the decoder recurses and deep nesting overflows the stack.
std::optional<Json> decode(std::string_view body);
// The same for a store, which must return what it was given: returns nothing if a part would be replaced.
std::optional<Json> decode_unchanged(std::string_view body, int depth_limit);
std::string encode(const Json& value);

// The length of the value as JSON text, in which the limits of bodies and stored values are counted.
std::size_t text_size(const Json& value);
// Whether the value has only what the protocol's bodies may have (maps, lists, valid UTF-8 text, finite
// numbers, booleans and null), with at most `max_levels` levels of maps and lists.
bool is_storable(const Json& value, int max_levels);

// Typed reads of a map's fields. They never throw; a field that is null or of another type counts as absent.
const Json* find(const Json& map, std::string_view key);
std::optional<std::string> text(const Json& map, std::string_view key);
std::optional<double> amount(const Json& map, std::string_view key);  // finite numbers only
std::optional<std::uint64_t> count(const Json& map, std::string_view key);
std::optional<bool> flag(const Json& map, std::string_view key);

}  // namespace barrowrun::wire
