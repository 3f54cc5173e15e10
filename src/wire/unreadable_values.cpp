#include "wire/unreadable_values.hpp"

#include <cstdint>
#include <vector>

namespace barrowrun::wire {
namespace {

constexpr char nil = '\xc0';

/// The start of a value: everything before the values that it contains.
struct ValueStart {
    enum class Kind { scalar, text, list, map };
    Kind kind = Kind::scalar;
    std::uint64_t bytes = 0;  // of the type, the declared length and the content of a scalar or text
    std::uint64_t contained_values = 0;  // a map has two for each entry
};

/// The big-endian number in the `size` bytes after the first one, if the document has them.
std::optional<std::uint64_t> declared_number(std::string_view rest, std::size_t size) {
    if (rest.size() < 1 + size) return std::nullopt;
    std::uint64_t number = 0;
    for (std::size_t i = 1; i <= size; ++i) number = number << 8 | static_cast<unsigned char>(rest[i]);
    return number;
}

/// A value with its declared length in the `size` bytes after its type; `overhead`: further bytes before the
/// content.
std::optional<ValueStart> with_length(std::string_view rest, std::size_t size, ValueStart::Kind kind,
                                      std::uint64_t overhead = 0) {
    auto length = declared_number(rest, size);
    if (!length) return std::nullopt;
    const std::uint64_t header = 1 + size;
    if (kind == ValueStart::Kind::list) return ValueStart{kind, header, *length};
    if (kind == ValueStart::Kind::map) return ValueStart{kind, header, 2 * *length};
    return ValueStart{kind, header + overhead + *length, 0};
}

/// Reads the start of the value at the front of `rest`; nothing if its type is not one of MessagePack's, or
/// its length is cut off.
std::optional<ValueStart> read_start(std::string_view rest) {
    using Kind = ValueStart::Kind;
    if (rest.empty()) return std::nullopt;
    const auto type = static_cast<unsigned char>(rest[0]);
    if (type <= 0x7f || type >= 0xe0) return ValueStart{Kind::scalar, 1, 0};  // small integers
    if (type <= 0x8f) return ValueStart{Kind::map, 1, 2ULL * (type & 0x0fU)};
    if (type <= 0x9f) return ValueStart{Kind::list, 1, type & 0x0fU};
    if (type <= 0xbf) return ValueStart{Kind::text, 1 + (type & 0x1fULL), 0};
    switch (type) {
        case 0xc0:  // null
        case 0xc2:  // false
        case 0xc3:  // true
            return ValueStart{Kind::scalar, 1, 0};
        case 0xc4:  // binary
        case 0xc5:
        case 0xc6:
            return with_length(rest, std::size_t{1} << (type - 0xc4), Kind::scalar);
        case 0xc7:  // extensions, whose subtype is one more byte
        case 0xc8:
        case 0xc9:
            return with_length(rest, std::size_t{1} << (type - 0xc7), Kind::scalar, 1);
        case 0xca:  // numbers
            return ValueStart{Kind::scalar, 5, 0};
        case 0xcb:
            return ValueStart{Kind::scalar, 9, 0};
        case 0xcc:
        case 0xcd:
        case 0xce:
        case 0xcf:
            return ValueStart{Kind::scalar, 1 + (1ULL << (type - 0xcc)), 0};
        case 0xd0:
        case 0xd1:
        case 0xd2:
        case 0xd3:
            return ValueStart{Kind::scalar, 1 + (1ULL << (type - 0xd0)), 0};
        case 0xd4:  // extensions of fixed lengths
        case 0xd5:
        case 0xd6:
        case 0xd7:
        case 0xd8:
            return ValueStart{Kind::scalar, 2 + (1ULL << (type - 0xd4)), 0};
        case 0xd9:
        case 0xda:
        case 0xdb:
            return with_length(rest, std::size_t{1} << (type - 0xd9), Kind::text);
        case 0xdc:
        case 0xdd:
            return with_length(rest, std::size_t{2} << (type - 0xdc), Kind::list);
        case 0xde:
        case 0xdf:
            return with_length(rest, std::size_t{2} << (type - 0xde), Kind::map);
        default:
            return std::nullopt;
    }
}

bool is_container(const ValueStart& start) {
    return start.kind == ValueStart::Kind::list || start.kind == ValueStart::Kind::map;
}

/// Copies a document value by value. Each method returns false if the document is malformed.
class Copy {
  public:
    Copy(std::string_view document, int max_depth) : rest_(document), max_depth_(max_depth) {}

    bool run() {
        if (!copy_value()) return false;
        while (!open_.empty())
            if (!(open_.back().remaining == 0 ? close() : copy_value())) return false;
        return rest_.empty();
    }
    std::string take() { return std::move(out_); }

  private:
    /// A map or list whose values are being copied.
    struct OpenContainer {
        bool is_map = false;
        std::uint64_t remaining = 0;  // values
        std::size_t out_begin = 0;
        bool readable = true;
    };

    bool copy_value() {
        const auto start = read_start(rest_);
        if (!start || start->bytes > rest_.size()) return false;
        if (!open_.empty()) {
            OpenContainer& parent = open_.back();
            const bool is_key = parent.is_map && parent.remaining % 2 == 0;
            if (is_key && start->kind != ValueStart::Kind::text) parent.readable = false;
            --parent.remaining;
        }
        if (is_container(*start) && static_cast<int>(open_.size()) == max_depth_) {
            out_ += nil;
            return skip_value();
        }
        if (is_container(*start))
            open_.push_back(
                {start->kind == ValueStart::Kind::map, start->contained_values, out_.size(), true});
        out_ += rest_.substr(0, start->bytes);
        rest_.remove_prefix(start->bytes);
        return true;
    }

    bool close() {
        const OpenContainer closed = open_.back();
        open_.pop_back();
        if (closed.readable) return true;
        out_.resize(closed.out_begin);
        out_ += nil;
        return true;
    }

    /// Skips the next value with all that it contains.
    bool skip_value() {
        // Each value adds less than 2^33, so the sum for the largest body that is read doesn't overflow.
        for (std::uint64_t remaining = 1; remaining > 0; --remaining) {
            const auto start = read_start(rest_);
            if (!start || start->bytes > rest_.size()) return false;
            rest_.remove_prefix(start->bytes);
            remaining += start->contained_values;
        }
        return true;
    }

    std::string_view rest_;
    int max_depth_;
    std::string out_;
    std::vector<OpenContainer> open_;
};

}  // namespace

std::optional<std::string> replace_unreadable_values(std::string_view document, int max_depth) {
    Copy copy(document, max_depth);
    if (!copy.run()) return std::nullopt;
    return copy.take();
}

}  // namespace barrowrun::wire
