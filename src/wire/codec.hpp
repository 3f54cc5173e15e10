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

// Decodes one MessagePack document. Returns nothing if the document is invalid, is followed by more bytes, or
// is nested deeper than any message of the protocol. The depth is checked before the document is built,
// because the decoder recurses and deep nesting overflows the stack.
std::optional<Json> decode(std::string_view body);
std::string encode(const Json& value);

// Typed reads of a map's fields. They never throw; a field that is null or of another type counts as absent.
const Json* find(const Json& map, std::string_view key);
std::optional<std::string> text(const Json& map, std::string_view key);
std::optional<double> amount(const Json& map, std::string_view key);  // finite numbers only
std::optional<std::uint64_t> count(const Json& map, std::string_view key);
std::optional<bool> flag(const Json& map, std::string_view key);

}  // namespace barrowrun::wire
