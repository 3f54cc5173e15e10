#pragma once
// Coroutine helpers: long-lived duties with orderly cancellation, wake-up signals, sleeping, rate budgets.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/asio/awaitable.hpp>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.hpp"
#ifdef BARROWRUN_VIRTUAL_TIME
#include <sim/timer.hpp>
#endif

namespace barrowrun::net {

namespace asio = boost::asio;
using asio::awaitable;
template <class T = void>
using Task = awaitable<T>;
#ifdef BARROWRUN_VIRTUAL_TIME
using Timer = sim::Timer;
#else
using Timer = asio::steady_timer;
#endif

inline Task<> sleep_for(Clock::duration d) {
    Timer timer(co_await asio::this_coro::executor, std::max(d, Clock::duration::zero()));
    co_await timer.async_wait(asio::use_awaitable);
}

// Long work in slices: between two of them whatever else is ready goes on.
class Slices {
  public:
    explicit Slices(Clock::duration length) : length_(length), begun_(Clock::now()) {}
    Task<> pause() {
        if (Clock::now() - begun_ < length_) co_return;
        co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
        begun_ = Clock::now();
    }

  private:
    Clock::duration length_;
    TimePoint begun_;
};

// Wakes one waiting coroutine; a wake-up without a waiter is remembered.
class Signal {
  public:
    explicit Signal(asio::io_context& io) : timer_(io) {}
    void wake() {
        set_ = true;
        timer_.cancel();
    }
    // Returns when woken or after the time.
    Task<> wait(Clock::duration most) {
        if (!set_) {
            timer_.expires_after(most);
            boost::system::error_code ec;
            co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            auto state = co_await asio::this_coro::cancellation_state;
            if (state.cancelled() != asio::cancellation_type::none)
                throw boost::system::system_error(asio::error::operation_aborted);
        }
        set_ = false;
    }

  private:
    Timer timer_;
    bool set_ = false;
};

// Coroutines that end together. Each gets its own cancellation; what else ends one is logged.
class Duties {
  public:
    explicit Duties(asio::io_context& io) : io_(io) {}
    ~Duties() { cancel(); }
    template <class Owner>
    void spawn(std::string name, std::shared_ptr<Owner> keep, Task<> duty) {
        auto slot = signals_->insert(signals_->end(), std::make_shared<asio::cancellation_signal>());
        auto signal = *slot;
        auto list = signals_;
        asio::co_spawn(io_, std::move(duty),
                       asio::bind_cancellation_slot(signal->slot(), [name = std::move(name), keep, signal,
                                                                     list, slot](std::exception_ptr e) {
                           list->erase(slot);
                           if (!e) return;
                           try {
                               std::rethrow_exception(e);
                           } catch (const boost::system::system_error& err) {
                               if (err.code() != asio::error::operation_aborted)
                                   spdlog::error("{} ended: {}", name, err.what());
                           } catch (const std::exception& err) {
                               spdlog::error("{} ended: {}", name, err.what());
                           }
                       }));
    }
    void cancel() {
        auto copy = *signals_;
        for (auto& s : copy) asio::post(io_, [s] { s->emit(asio::cancellation_type::terminal); });
    }

  private:
    asio::io_context& io_;
    std::shared_ptr<std::list<std::shared_ptr<asio::cancellation_signal>>> signals_ =
        std::make_shared<std::list<std::shared_ptr<asio::cancellation_signal>>>();
};

// Spreads calls so that a rate limit of the other side is kept; allows a burst of a part of a second's worth.
class RateBudget {
  public:
    RateBudget(double per_s, double burst)
        : per_s_(std::max(0.1, per_s)), burst_(std::max(1.0, burst)), level_(burst_) {}
    // Reserves n and tells how long to wait before using them.
    Clock::duration reserve(TimePoint now, double n) {
        refill(now);
        level_ -= n;
        return level_ >= 0 ? Clock::duration::zero() : secs(-level_ / per_s_);
    }
    // The same, unless the wait would be longer than `most`: then nothing is reserved.
    std::optional<Clock::duration> reserve_within(TimePoint now, double n, Clock::duration most) {
        refill(now);
        if (level_ - n < 0 && secs((n - level_) / per_s_) > most) return std::nullopt;
        return reserve(now, n);
    }

  private:
    void refill(TimePoint now) {
        if (last_ != TimePoint{}) level_ = std::min(burst_, level_ + Seconds(now - last_).count() * per_s_);
        last_ = now;
    }
    double per_s_, burst_, level_;
    TimePoint last_{};
};

}  // namespace barrowrun::net
