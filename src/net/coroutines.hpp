#pragma once
// Coroutine helpers: groups of long-running coroutines that are cancelled together, wake-up signals,
// sleeping, cooperative yielding and rate limiting.
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

// Lets a long computation yield: `pause` lets other ready handlers of the executor run once `length` has
// passed since the last yield, and otherwise returns immediately.
class TimeSlicer {
  public:
    explicit TimeSlicer(Clock::duration length) : length_(length), begun_(Clock::now()) {}
    Task<> pause() {
        if (Clock::now() - begun_ < length_) co_return;
        co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
        begun_ = Clock::now();
    }

  private:
    Clock::duration length_;
    TimePoint begun_;
};

// Wakes one waiting coroutine. A wake-up that finds no waiter makes the next wait return immediately.
class Signal {
  public:
    explicit Signal(asio::io_context& io) : timer_(io) {}
    void wake() {
        set_ = true;
        timer_.cancel();
    }
    // Returns after a wake-up, or when `most` has passed. Throws operation_aborted if the coroutine is
    // cancelled.
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

// A group of coroutines that are cancelled together. Each has its own cancellation signal; any other
// exception that ends a coroutine is logged.
class CoroutineGroup {
  public:
    explicit CoroutineGroup(asio::io_context& io) : io_(io) {}
    ~CoroutineGroup() { cancel(); }
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

// A token bucket that keeps calls within the rate limit of the called service. `burst` is its capacity in
// calls.
class RateBudget {
  public:
    RateBudget(double per_s, double burst)
        : per_s_(std::max(0.1, per_s)), burst_(std::max(1.0, burst)), level_(burst_) {}
    // Takes n tokens and returns how long the caller must wait before it uses them.
    Clock::duration reserve(TimePoint now, double n) {
        refill(now);
        level_ -= n;
        return level_ >= 0 ? Clock::duration::zero() : secs(-level_ / per_s_);
    }
    // As `reserve`, but takes no tokens and returns nothing if the wait would exceed `most`.
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
