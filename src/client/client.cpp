#include "client/client.hpp"

#include <algorithm>

namespace barrowrun::client {
using namespace std::chrono_literals;
using net::http::verb;
using wire::Json;

std::vector<std::string> parse_nodes(const std::string& text) {
    std::vector<std::string> out;
    for (std::size_t at = 0; at <= text.size();) {
        auto end = std::min(text.find(',', at), text.size());
        auto node = text.substr(at, end - at);
        at = end + 1;
        if (node.empty()) continue;
        if (!net::parse_endpoint(node))
            throw std::runtime_error("'" + node +
                                     "': expected an IP address and a port, as in 127.0.0.1:8080");
        out.push_back(node);
    }
    if (out.empty()) throw std::runtime_error("expected at least one node");
    return out;
}

Client::Client(net::asio::io_context& io, std::vector<std::string> nodes, Patience retry_policy)
    : http_(io, 16), nodes_(std::move(nodes)), avoid_until_(nodes_.size()), retry_policy_(retry_policy) {
    next_node_ = random_() % nodes_.size();
}

Task<net::Reply> Client::ask(verb method, std::string target, std::optional<Json> body,
                             Clock::duration deadline) {
    // Nodes take turns, which spreads the load. A node that failed within the last 2 s is used only if all of
    // them did.
    auto now = Clock::now();
    std::size_t at = next_node_++ % nodes_.size();
    for (std::size_t i = 0; i < nodes_.size() && avoid_until_[at] > now; ++i)
        at = next_node_++ % nodes_.size();
    auto reply = co_await http_.call(nodes_[at], method, std::move(target), std::move(body), deadline);
    if (reply.status == 0) {
        http_.forget(nodes_[at]);
        avoid_until_[at] = Clock::now() + 2s;
    }
    co_return reply;
}

Task<Outcome> Client::call_with_retries(verb method, std::string target, std::optional<Json> body) {
    Outcome out;
    const auto end = Clock::now() + retry_policy_.total;
    auto pause = retry_policy_.first_pause;
    for (;;) {
        auto reply = co_await ask(method, target, body, retry_policy_.answer);
        if (reply.status == 200 || reply.status == 201) {
            if (auto s = wire::parse_status(reply.body)) {
                out.answer = Answer::accepted;
                out.status = *s;
                co_return out;
            }
        }
        if (reply.status == 400 || reply.status == 422 || reply.status == 404) {
            out.answer = reply.status == 404 ? Answer::unknown : Answer::refused;
            out.why = wire::text(reply.body, "error").value_or("status " + std::to_string(reply.status));
            co_return out;
        }
        out.why = reply.status == 0
                      ? "no answer"
                      : wire::text(reply.body, "error").value_or("status " + std::to_string(reply.status));
        auto wait = pause;
        if (reply.retry_after)
            wait = std::max<Clock::duration>(wait, std::min<std::chrono::seconds>(*reply.retry_after, 30s));
        // The random factor keeps clients from retrying at the same moment after an outage.
        wait = std::chrono::duration_cast<Clock::duration>(
            wait * std::uniform_real_distribution<double>(0.75, 1.25)(random_));
        if (Clock::now() + wait >= end) co_return out;
        co_await net::sleep_for(wait);
        pause = std::min(pause * 2, retry_policy_.longest_pause);
    }
}

Task<net::Reply> Client::request(verb method, std::string target, std::optional<Json> body) {
    const auto end = Clock::now() + retry_policy_.total;
    auto pause = retry_policy_.first_pause;
    for (;;) {
        auto reply = co_await ask(method, target, body, retry_policy_.answer);
        const bool retryable =
            reply.status == 0 || reply.status == 429 || reply.status == 503 || reply.status == 504;
        if (!retryable || Clock::now() + pause >= end) co_return reply;
        co_await net::sleep_for(pause);
        pause = std::min(pause * 2, retry_policy_.longest_pause);
    }
}

Task<Outcome> Client::submit(wire::JobSpec spec) {
    co_return co_await call_with_retries(verb::post, "/submissions", wire::submission_json(spec));
}

Task<Outcome> Client::cancel(std::string id) {
    co_return co_await call_with_retries(verb::post, "/submissions/" + id + "/cancel", Json::object());
}

Task<Outcome> Client::status(std::string id) {
    Outcome out;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        auto reply = co_await ask(verb::get, "/submissions/" + id, std::nullopt, 2s);
        if (reply.status == 200) {
            if (auto s = wire::parse_status(reply.body)) {
                out.answer = Answer::accepted;
                out.status = *s;
                co_return out;
            }
        }
        if (reply.status == 404) {
            out.answer = Answer::unknown;
            co_return out;
        }
        out.why = reply.status == 0
                      ? "no answer"
                      : wire::text(reply.body, "error").value_or("status " + std::to_string(reply.status));
    }
    co_return out;
}

}  // namespace barrowrun::client
