#pragma once
// Conversions of numbers from settings and messages to integers. The language leaves the conversion of a
// floating-point number outside the integer's range undefined.
#include <cmath>
#include <concepts>
#include <limits>
#include <optional>

namespace barrowrun::wire {

// The number without its fraction; nothing if the type holds no such integer.
template <std::integral Integer>
std::optional<Integer> to_integer(double value) {
    using Limits = std::numeric_limits<Integer>;
    // The largest integer plus one is a power of two, which a double represents exactly.
    const double above_max = std::ldexp(1.0, Limits::digits);
    const double truncated = std::trunc(value);
    if (!(truncated < above_max) || !(truncated >= static_cast<double>(Limits::min()))) return std::nullopt;
    return static_cast<Integer>(truncated);
}

// The same, with the nearest integer of the type for a number outside its range, and 0 for a NaN.
template <std::integral Integer>
Integer to_integer_saturated(double value) {
    using Limits = std::numeric_limits<Integer>;
    if (std::isnan(value)) return 0;
    return to_integer<Integer>(value).value_or(value < 0 ? Limits::min() : Limits::max());
}

}  // namespace barrowrun::wire
