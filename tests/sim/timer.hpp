#pragma once
// A timer on virtual time, with as much of asio's steady_timer as the nodes use.
#include <boost/asio.hpp>
#include <memory>
#include <vector>

#include "sim/clock.hpp"

namespace barrowrun::sim {

namespace asio = boost::asio;

// What is to go on once something has come about; destroyed unused if its process ends first.
struct Completion {
    virtual ~Completion() = default;
    virtual void post(boost::system::error_code ec) = 0;
};

// Implemented by the world.
std::uint64_t wait_until(Nanos due, asio::io_context& process, std::unique_ptr<Completion> completion);
void end_wait(std::uint64_t id, boost::system::error_code ec);

template <class Handler>
struct CompletionOf final : Completion {
    Handler handler;
    asio::io_context& io;
    CompletionOf(Handler h, asio::io_context& i) : handler(std::move(h)), io(i) {}
    void post(boost::system::error_code ec) override {
        auto executor = asio::get_associated_executor(handler, io.get_executor());
        asio::post(executor, [h = std::move(handler), ec]() mutable { std::move(h)(ec); });
    }
};

class Timer {
  public:
    explicit Timer(asio::io_context& io) : io_(&io) {}
    Timer(const asio::any_io_executor& executor, Clock::duration after)
        : io_(static_cast<asio::io_context*>(&asio::query(executor, asio::execution::context))) {
        expires_after(after);
    }
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    ~Timer() { cancel(); }
    void expires_after(Clock::duration d) {
        cancel();
        // Rounded up: the process's own clock must show at least that much more by then.
        due_ = Present::now;
        if (d > Clock::duration::zero())
            due_ += Nanos(static_cast<Clock::rep>(static_cast<double>(d.count()) / Present::rate)) +
                    std::chrono::microseconds(1);
    }
    void cancel() {
        for (auto id : std::exchange(waits_, {})) end_wait(id, asio::error::operation_aborted);
    }
    template <class Token>
    auto async_wait(Token&& token) {
        return asio::async_initiate<Token, void(boost::system::error_code)>(
            [this](auto handler) {
                auto slot = asio::get_associated_cancellation_slot(handler);
                auto completion = std::make_unique<CompletionOf<decltype(handler)>>(std::move(handler), *io_);
                auto id = wait_until(due_, *io_, std::move(completion));
                waits_.push_back(id);
                if (slot.is_connected())
                    slot.assign(
                        [id](asio::cancellation_type) { end_wait(id, asio::error::operation_aborted); });
            },
            token);
    }

  private:
    asio::io_context* io_;
    Nanos due_{0};
    std::vector<std::uint64_t> waits_;
};

}  // namespace barrowrun::sim
