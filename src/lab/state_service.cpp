#include "lab/state_service.hpp"

#include <charconv>

namespace barrowrun::lab {
using namespace std::chrono_literals;
using net::Response;
using net::http::verb;

namespace {
Response to_response(Answer a) {
    return {a.status, std::move(a.body)};
}
std::optional<std::uint64_t> number(std::string_view s) {
    std::uint64_t value = 0;
    auto [parsed_end, error] = std::from_chars(s.data(), s.data() + s.size(), value);
    if (error != std::errc{} || parsed_end != s.data() + s.size()) return std::nullopt;
    return value;
}
// Levels of maps and lists in a request. Values are kept unchanged, also those that no controller would
// write.
constexpr int max_request_depth = 500;
}  // namespace

StateService::StateService(net::asio::io_context& io, const std::string& file, StateLimits limits)
    : io_(io),
      store_(file, limits, Clock::now()),
      server_(io, 4000, {120s, 10s, 600s, 10s}),
      change_(std::make_shared<net::asio::steady_timer>(io, Clock::time_point::max())) {}

void StateService::start() {
    auto rethrow_failure = [](std::exception_ptr e) {
        if (e) std::rethrow_exception(e);
    };
    net::asio::co_spawn(io_, server_.serve([this](net::Request r) { return route(std::move(r)); }),
                        rethrow_failure);
    net::asio::co_spawn(io_, expire_loop(), rethrow_failure);
}

Task<> StateService::expire_loop() {
    for (;;) {
        co_await net::sleep_for(25ms);
        // No lease expires during an outage, and afterwards each has its full TTL. This applies to faults
        // that affect all nodes.
        auto kind = faults_.active_kind(Clock::now());
        if (kind == Faults::Kind::refuse || kind == Faults::Kind::cut) {
            store_.renew_holds(Clock::now());
            continue;
        }
        if (store_.expire(Clock::now())) wake_watches();
    }
}

void StateService::wake_watches() {
    change_->cancel();
}

Task<Response> StateService::route(net::Request request) {
    auto target = Target::parse(request.target);
    if (target.path == "/lab/fault") co_return faults_.set(request.body, Clock::now());
    Response error_response;
    if (!co_await faults_.apply(error_response)) co_return error_response;
    auto now = Clock::now();
    const bool get = request.method == verb::get, post = request.method == verb::post;
    Json body = Json::object();
    if (post && !request.body.empty()) {
        auto decoded = wire::decode_unchanged(request.body, max_request_depth);
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
            co_return to_response(store_.list(target.text("under"), target.text("since"),
                                              target.number("page").value_or(1000)));
        if (get && target.path.starts_with("/kv/")) co_return to_response(store_.get(target.path.substr(4)));
        if (get && target.path == "/follow") co_return co_await follow(std::move(target));
        if (post && target.path == "/multi") {
            auto answer = store_.multi(body, request.body.size());
            if (answer.status == 200) wake_watches();
            co_return to_response(std::move(answer));
        }
        if (post && target.path == "/holds") co_return to_response(store_.create_hold(body, now));
        constexpr std::string_view holds = "/holds/", extend = "/extend";
        if (target.path.starts_with(holds)) {
            auto rest = std::string_view(target.path).substr(holds.size());
            bool extends = post && rest.ends_with(extend);
            if (extends) rest.remove_suffix(extend.size());
            auto id = number(rest);
            if (id && extends) co_return to_response(store_.extend_hold(*id, now));
            if (id && request.method == verb::delete_) {
                auto answer = store_.end_hold(*id);
                wake_watches();
                co_return to_response(std::move(answer));
            }
        }
    } catch (const store::StoreError& e) {
        // The transaction was rolled back.
        spdlog::error("state store: request failed, answered with 503: {}", e.what());
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
        // During an outage an open watch stays open and returns nothing.
        auto kind = faults_.active_kind(Clock::now());
        bool outage = kind == Faults::Kind::refuse || kind == Faults::Kind::cut;
        if (!outage) {
            if (auto answer = store_.changes(prefix, since)) co_return to_response(std::move(*answer));
            if (Clock::now() >= until)
                co_return Response{200, {{"ledger", store_.revision()}, {"events", Json::array()}}};
        }
        boost::system::error_code ec;
        auto timer = std::make_shared<net::asio::steady_timer>(io_);
        auto change = change_;
        // All watches wait on one shared timer, which every change cancels. The timeout of this watch is a
        // separate timer, which cancels the shared one.
        timer->expires_at(outage ? Clock::now() + 50ms : until);
        timer->async_wait([change, timer](boost::system::error_code e) {
            if (!e) change->cancel();
        });
        co_await change->async_wait(net::asio::redirect_error(net::asio::use_awaitable, ec));
        timer->cancel();
    }
}

}  // namespace barrowrun::lab
