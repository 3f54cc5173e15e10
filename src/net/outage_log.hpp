#pragma once
// Decides when the log reports that a peer does not answer: 400 ms after the first failed call at the
// earliest, then at intervals that double from 1 s to 1 min, and once more when a reported peer answers
// again. It does no I/O and reads no clock: the caller passes the times in.
#include <algorithm>
#include <optional>
#include <string>

#include "base/clock.hpp"

namespace barrowrun::net {

class OutageLog {
  public:
    // `name` is the peer as log lines name it.
    explicit OutageLog(std::string name) : name_(std::move(name)) {}
    // Records the outcome of one call and returns the line to log, if one is due.
    std::optional<std::string> note(bool answered, TimePoint now) {
        if (answered) {
            if (!since_) return std::nullopt;
            auto away = Seconds(now - *since_).count();
            bool said = said_;
            since_.reset();
            said_ = false;
            if (!said) return std::nullopt;
            return name_ + " answers again, after " + tenths(away) + " s";
        }
        if (!since_) {
            since_ = now;
            pause_ = std::chrono::seconds(1);
            next_ = now + first_after;
        }
        if (now < next_) return std::nullopt;
        next_ = now + pause_;
        pause_ = std::min<Clock::duration>(pause_ * 2, std::chrono::minutes(1));
        said_ = true;
        return name_ + " has not answered for " + tenths(Seconds(now - *since_).count()) + " s";
    }
    bool away() const { return since_.has_value(); }

  private:
    // A single lost response is not reported.
    static constexpr std::chrono::milliseconds first_after{400};
    static std::string tenths(double s) {
        auto t = static_cast<long>(s * 10);
        return std::to_string(t / 10) + "." + std::to_string(t % 10);
    }
    std::string name_;
    std::optional<TimePoint> since_;
    TimePoint next_{};
    Clock::duration pause_{};
    bool said_ = false;
};

}  // namespace barrowrun::net
