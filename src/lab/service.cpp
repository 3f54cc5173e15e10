#include "lab/service.hpp"

#include <charconv>

namespace barrowrun::lab {

Target Target::parse(const std::string& target) {
    Target out;
    auto separator = target.find('?');
    out.path = target.substr(0, separator);
    while (separator != std::string::npos) {
        auto end = target.find('&', separator + 1);
        auto pair = target.substr(separator + 1, end == std::string::npos ? end : end - separator - 1);
        auto equals = pair.find('=');
        if (equals != std::string::npos) out.query[pair.substr(0, equals)] = pair.substr(equals + 1);
        separator = end;
    }
    return out;
}

std::string Target::text(const std::string& name) const {
    auto it = query.find(name);
    return it == query.end() ? "" : it->second;
}

std::optional<std::uint64_t> Target::number(const std::string& name) const {
    auto it = query.find(name);
    if (it == query.end()) return std::nullopt;
    std::uint64_t n = 0;
    auto [parsed_end, error] = std::from_chars(it->second.data(), it->second.data() + it->second.size(), n);
    if (error != std::errc{} || parsed_end != it->second.data() + it->second.size()) return std::nullopt;
    return n;
}

net::Response Faults::set(const std::string& body, TimePoint now) {
    auto decoded = wire::decode(body);
    auto kind = decoded ? wire::text(*decoded, "kind").value_or("") : "";
    auto duration_s = decoded ? wire::amount(*decoded, "for_s").value_or(10) : 10;
    if (kind == "refuse")
        kind_ = Kind::refuse;
    else if (kind == "cut")
        kind_ = Kind::cut;
    else if (kind == "slow")
        kind_ = Kind::slow;
    else
        return {400, {{"error", "kind: expected refuse, cut or slow"}}};
    until_ = now + secs(duration_s);
    return {};
}

Task<bool> Faults::apply(net::Response& answer) {
    switch (active_kind(Clock::now())) {
        case Kind::none:
            break;
        case Kind::refuse:
            answer = {503, {{"error", "trouble"}}};
            co_return false;
        case Kind::cut:
            // No answer is sent during the cut; callers time out earlier. The request is not executed.
            while (active_kind(Clock::now()) == Kind::cut)
                co_await net::sleep_for(std::chrono::milliseconds(50));
            answer = {503, {{"error", "trouble"}}};
            co_return false;
        case Kind::slow:
            co_await net::sleep_for(delay_);
            break;
    }
    co_return true;
}

}  // namespace barrowrun::lab
