#pragma once
// Code shared by the simulated state service and cloud: parsing of request targets, and injection of faults.
#include <map>
#include <optional>
#include <random>
#include <string>

#include "net/http_server.hpp"

namespace barrowrun::lab {

using net::Task;

// The path and the query parameters of a request target.
struct Target {
    std::string path;
    std::map<std::string, std::string> query;
    static Target parse(const std::string& target);
    std::optional<std::uint64_t> number(const std::string& name) const;
    std::string text(const std::string& name) const;
};

// Faults of an HTTP interface: for a limited time it refuses requests with 503, does not answer, or answers
// late.
class Faults {
  public:
    enum class Kind { none, refuse, cut, slow };
    // Handles `POST /lab/fault {"kind":..., "for_s":...}`.
    net::Response set(const std::string& body, TimePoint now);
    Kind active_kind(TimePoint now) const { return now < until_ ? kind_ : Kind::none; }
    // Called before a request is handled. Returns false if the request is not to be executed; the caller then
    // sends `answer`. During a cut it returns only when the cut has ended.
    Task<bool> apply(net::Response& answer);

  private:
    Kind kind_ = Kind::none;
    TimePoint until_{};
    Clock::duration delay_ = std::chrono::milliseconds(300);
};

}  // namespace barrowrun::lab
