#pragma once
// MessagePack bodies: bounded decoding, encoding, and typed access to untrusted maps.
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace barrowrun::wire {

using Json = nlohmann::json;

inline constexpr std::size_t max_body = 64 * 1024;

// Decodes one MessagePack document. Nothing is returned for garbage, for trailing bytes and for nesting
// deeper than any message of ours: the decoder recurses, so depth must be bounded before it builds anything.
std::optional<Json> decode(std::string_view body);
std::string encode(const Json& value);

// Typed reads that never throw; a field of the wrong type reads as absent.
const Json* find(const Json& map, std::string_view key);
std::optional<std::string> text(const Json& map, std::string_view key);
std::optional<double> amount(const Json& map, std::string_view key);  // finite numbers only
std::optional<std::uint64_t> count(const Json& map, std::string_view key);
std::optional<bool> flag(const Json& map, std::string_view key);

}  // namespace barrowrun::wire
