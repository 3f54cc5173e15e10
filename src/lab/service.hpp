#pragma once
// What both stand-ins share: queries in targets, and faults that are brought about on request.
#include <map>
#include <optional>
#include <random>
#include <string>

#include "net/http_server.hpp"

namespace barrowrun::lab {

using net::Task;

struct Target {
    std::string path;
    std::map<std::string, std::string> query;
    static Target parse(const std::string& target);
    std::optional<std::uint64_t> number(const std::string& name) const;
    std::string text(const std::string& name) const;
};

// Faults that an interface shows: for a while it refuses (503), keeps silent, or takes its time.
class Faults {
  public:
    enum class Kind { none, refuse, cut, slow };
    // Answers `POST /lab/fault {"kind":..., "for_s":...}`.
    net::Response set(const std::string& body, TimePoint now);
    Kind at(TimePoint now) const { return now < until_ ? kind_ : Kind::none; }
    // Before a request is looked at: false, if it is not to be answered now but with `answer`, or never.
    Task<bool> pass(net::Response& answer);

  private:
    Kind kind_ = Kind::none;
    TimePoint until_{};
    Clock::duration delay_ = std::chrono::milliseconds(300);
};

}  // namespace barrowrun::lab
