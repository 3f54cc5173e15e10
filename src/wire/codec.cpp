#include "wire/codec.hpp"

#include <cmath>

namespace barrowrun::wire {
namespace {

constexpr int max_depth = 24;

// Parses a document without building it, and stops at the depth limit.
struct DepthGuard : nlohmann::json_sax<Json> {
    int depth = 0;
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
    DepthGuard guard;
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
