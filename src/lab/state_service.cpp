#include "lab/state_service.hpp"

#include <charconv>

namespace barrowrun::lab {
using namespace std::chrono_literals;
using net::Response;
using net::http::verb;

namespace {
Response plain(Answer a) {
    return {a.status, std::move(a.body)};
}
std::optional<std::uint64_t> number(std::string_view s) {
    std::uint64_t n = 0;
    auto [p, error] = std::from_chars(s.data(), s.data() + s.size(), n);
    if (error != std::errc{} || p != s.data() + s.size()) return std::nullopt;
    return n;
}
}  // namespace

StateService::StateService(net::asio::io_context& io, const std::string& file, StateLimits limits)
    : io_(io),
      store_(file, limits, Clock::now()),
      server_(io, 4000, {120s, 10s, 600s, 10s}),
      change_(std::make_shared<net::asio::steady_timer>(io, Clock::time_point::max())) {}

void StateService::start() {
    auto ended = [](std::exception_ptr e) {
        if (e) std::rethrow_exception(e);
    };
    net::asio::co_spawn(io_, server_.serve([this](net::Request r) { return route(std::move(r)); }), ended);
    net::asio::co_spawn(io_, expire_loop(), ended);
}

Task<> StateService::expire_loop() {
    for (;;) {
        co_await net::sleep_for(25ms);
        // During an outage no hold ends, and afterwards each has its full time; that is for the faults that
        // all nodes get.
        auto kind = faults_.at(Clock::now());
        if (kind == Faults::Kind::refuse || kind == Faults::Kind::cut) {
            store_.renew_holds(Clock::now());
            continue;
        }
        if (store_.expire(Clock::now())) changed();
    }
}

void StateService::changed() {
    change_->cancel();
}

Task<Response> StateService::route(net::Request request) {
    auto target = Target::parse(request.target);
    if (target.path == "/lab/fault") co_return faults_.set(request.body, Clock::now());
    Response refusal;
    if (!co_await faults_.pass(refusal)) co_return refusal;
    auto now = Clock::now();
    const bool get = request.method == verb::get, post = request.method == verb::post;
    Json body = Json::object();
    if (post && !request.body.empty()) {
        auto decoded = wire::decode(request.body);
        if (!decoded) co_return Response{400, {{"error", "not MessagePack"}}};
        body = std::move(*decoded);
    }
    double writes = 0;
    if (target.path == "/multi")
        if (auto* then = wire::find(body, "then"); then && then->is_array())
            writes = static_cast<double>(then->size());
    if (!store_.within_rates(writes, now)) co_return Response{429, {{"error", "over the rate"}}};
    try {
        if (get && target.path == "/kv")
            co_return plain(store_.list(target.text("under"), target.text("since"),
                                        target.number("page").value_or(1000)));
        if (get && target.path.starts_with("/kv/")) co_return plain(store_.get(target.path.substr(4)));
        if (get && target.path == "/follow") co_return co_await follow(std::move(target));
        if (post && target.path == "/multi") {
            auto answer = store_.multi(body, request.body.size());
            if (answer.status == 200) changed();
            co_return plain(std::move(answer));
        }
        if (post && target.path == "/holds") co_return plain(store_.create_hold(body, now));
        constexpr std::string_view holds = "/holds/", extend = "/extend";
        if (target.path.starts_with(holds)) {
            auto rest = std::string_view(target.path).substr(holds.size());
            bool extends = post && rest.ends_with(extend);
            if (extends) rest.remove_suffix(extend.size());
            auto id = number(rest);
            if (id && extends) co_return plain(store_.extend_hold(*id, now));
            if (id && request.method == verb::delete_) {
                auto answer = store_.end_hold(*id);
                changed();
                co_return plain(std::move(answer));
            }
        }
    } catch (const store::StoreError& e) {
        // Not executed: rolled back.
        spdlog::error("the store: {}", e.what());
        co_return Response{503, {{"error", "trouble"}}};
    }
    co_return Response{400, {{"error", "no such request"}}};
}

Task<Response> StateService::follow(Target target) {
    auto since = target.number("since").value_or(0);
    auto prefix = target.text("under");
    auto until = Clock::now() + std::chrono::milliseconds(
                                    std::min<std::uint64_t>(target.number("wait_ms").value_or(0), 60'000));
    for (;;) {
        // An open watch stays open and silent during an outage.
        auto kind = faults_.at(Clock::now());
        bool outage = kind == Faults::Kind::refuse || kind == Faults::Kind::cut;
        if (!outage) {
            if (auto answer = store_.changes(prefix, since)) co_return plain(std::move(*answer));
            if (Clock::now() >= until)
                co_return Response{200, {{"ledger", store_.revision()}, {"events", Json::array()}}};
        }
        boost::system::error_code ec;
        auto timer = std::make_shared<net::asio::steady_timer>(io_);
        auto change = change_;
        // Many wait on one timer, which every change cancels; the end of this one's time is a timer of its
        // own.
        timer->expires_at(outage ? Clock::now() + 50ms : until);
        timer->async_wait([change, timer](boost::system::error_code e) {
            if (!e) change->cancel();
        });
        co_await change->async_wait(net::asio::redirect_error(net::asio::use_awaitable, ec));
        timer->cancel();
    }
}

}  // namespace barrowrun::lab
