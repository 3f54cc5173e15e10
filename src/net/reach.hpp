#pragma once
// Says in the log which other side can't be reached: within a second, then at growing intervals, and once
// when it is back. Plain decisions on times that are passed in.
#include <algorithm>
#include <optional>
#include <string>

#include "base/clock.hpp"

namespace barrowrun::net {

class Reach {
  public:
    explicit Reach(std::string name) : name_(std::move(name)) {}
    // The line to be logged, if any.
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
    // One lost answer is no news.
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
