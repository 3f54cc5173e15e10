#include "wire/codec.hpp"

#include <algorithm>
#include <cmath>

#include "wire/unreadable_values.hpp"

namespace barrowrun::wire {
namespace {

// Parses a document without building it, and stops at the depth limit.
struct DepthGuard : nlohmann::json_sax<Json> {
    explicit DepthGuard(int limit) : max_depth(limit) {}
    int max_depth, depth = 0;
    bool enter() { return ++depth <= max_depth; }
    bool leave() {
        --depth;
        return true;
    }
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool start_object(std::size_t) override { return enter(); }
    bool key(string_t&) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return enter(); }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
        return false;
    }
};

}  // namespace

std::optional<Json> decode(std::string_view body) {
    if (auto value = decode_unchanged(body, max_depth)) return value;
    const auto readable = replace_unreadable_values(body, max_depth);
    if (!readable) return std::nullopt;
    return decode_unchanged(*readable, max_depth);
}

std::optional<Json> decode_unchanged(std::string_view body, int depth_limit) {
    DepthGuard guard(depth_limit);
    if (!Json::sax_parse(body.begin(), body.end(), &guard, Json::input_format_t::msgpack))
        return std::nullopt;
    Json value = Json::from_msgpack(body.begin(), body.end(), true, false);
    if (value.is_discarded()) return std::nullopt;
    return value;
}

std::string encode(const Json& value) {
    std::string out;
    Json::to_msgpack(value, out);
    return out;
}

// Computed without serializing the value, because an assignment shard of 10 KB is measured for each start on
// its machines.
std::size_t text_size(const Json& value) {
    auto digits = [](std::uint64_t n) {
        std::size_t length = 1;
        for (; n >= 10; n /= 10) ++length;
        return length;
    };
    switch (value.type()) {
        case Json::value_t::array: {
            std::size_t sum = value.empty() ? 2 : 1 + value.size();
            for (auto& v : value) sum += text_size(v);
            return sum;
        }
        case Json::value_t::object: {
            std::size_t sum = value.empty() ? 2 : 1 + value.size();
            for (auto& [key, v] : value.items()) sum += text_size(key) + 1 + text_size(v);
            return sum;
        }
        case Json::value_t::string: {
            const auto& text = value.get_ref<const std::string&>();
            const bool plain = std::all_of(text.begin(), text.end(), [](char c) {
                return c >= ' ' && c < 127 && c != '"' && c != '\\';
            });
            if (plain) return text.size() + 2;
            break;
        }
        case Json::value_t::number_unsigned:
            return digits(value.get<std::uint64_t>());
        default:
            break;
    }
    return value.dump(-1, ' ', false, Json::error_handler_t::replace).size();
}

namespace {
bool is_valid_utf8(const Json& text) {
    try {
        text.dump();
        return true;
    } catch (const Json::type_error&) {
        return false;
    }
}
}  // namespace

bool is_storable(const Json& value, int max_levels) {
    switch (value.type()) {
        case Json::value_t::array:
            return max_levels > 0 && std::all_of(value.begin(), value.end(), [&](const Json& element) {
                       return is_storable(element, max_levels - 1);
                   });
        case Json::value_t::object:
            if (max_levels <= 0) return false;
            for (auto& [key, field] : value.items())
                if (!is_valid_utf8(key) || !is_storable(field, max_levels - 1)) return false;
            return true;
        case Json::value_t::string:
            return is_valid_utf8(value);
        case Json::value_t::number_float:
            return std::isfinite(value.get<double>());
        case Json::value_t::binary:
        case Json::value_t::discarded:
            return false;
        default:
            return true;
    }
}

const Json* find(const Json& map, std::string_view key) {
    if (!map.is_object()) return nullptr;
    auto it = map.find(key);
    if (it == map.end() || it->is_null()) return nullptr;
    return &*it;
}

std::optional<std::string> text(const Json& map, std::string_view key) {
    const Json* v = find(map, key);
    if (!v || !v->is_string()) return std::nullopt;
    return v->get<std::string>();
}

std::optional<double> amount(const Json& map, std::string_view key) {
    const Json* v = find(map, key);
    if (!v || !v->is_number()) return std::nullopt;
    double d = v->get<double>();
    if (!std::isfinite(d)) return std::nullopt;
    return d;
}

std::optional<std::uint64_t> count(const Json& map, std::string_view key) {
    const Json* v = find(map, key);
    if (!v || !v->is_number_integer()) return std::nullopt;
    if (!v->is_number_unsigned() && v->get<std::int64_t>() < 0) return std::nullopt;
    return v->get<std::uint64_t>();
}

std::optional<bool> flag(const Json& map, std::string_view key) {
    const Json* v = find(map, key);
    if (!v || !v->is_boolean()) return std::nullopt;
    return v->get<bool>();
}

}  // namespace barrowrun::wire
