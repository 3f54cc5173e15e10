#include "sim/services.hpp"

#include <charconv>

namespace barrowrun::sim {
using net::http::verb;

namespace {
std::uint64_t number(const std::string& s, std::uint64_t otherwise) {
    std::uint64_t n = 0;
    auto [p, e] = std::from_chars(s.data(), s.data() + s.size(), n);
    return e == std::errc{} ? n : otherwise;
}
Response plain(lab::Answer a) {
    return {a.status, std::move(a.body)};
}
}  // namespace

std::string query(const std::string& target, const std::string& name) {
    auto at = target.find('?');
    while (at != std::string::npos) {
        auto begin = at + 1;
        at = target.find('&', begin);
        auto part = target.substr(begin, at == std::string::npos ? at : at - begin);
        if (part.starts_with(name + "=")) return part.substr(name.size() + 1);
    }
    return "";
}

StateServer::StateServer(World& world, lab::StateLimits limits)
    : world_(world), store_(":memory:", limits, Clock::now()) {
    world_.serve("state", "state", [this](Request r, Answer a) { handle(std::move(r), std::move(a)); });
    world_.every(25ms, [this] {
        if (out_until_ > world_.now())
            store_.renew_holds(Clock::now());
        else if (store_.expire(Clock::now())) {
            world_.digest().add_event("expiry", world_.now(), {std::to_string(store_.revision())});
            changed();
        }
        // Watches end by time; not while nothing is answered.
        for (auto it = watches_.begin(); it != watches_.end();) {
            if (it->until > world_.now() || fails(it->from)) {
                ++it;
                continue;
            }
            it->answer({200, {{"ledger", store_.revision()}, {"events", Json::array()}}});
            it = watches_.erase(it);
        }
        return true;
    });
}

bool StateServer::fails(const std::string& node) const {
    if (out_until_ > world_.now()) return true;
    auto it = refused_.find(node);
    return it != refused_.end() && it->second > world_.now();
}

void StateServer::changed() {
    for (auto it = watches_.begin(); it != watches_.end();) {
        auto answer = fails(it->from) ? std::nullopt : store_.changes(it->prefix, it->since);
        if (!answer) {
            ++it;
            continue;
        }
        it->answer(plain(std::move(*answer)));
        it = watches_.erase(it);
    }
}

void StateServer::handle(Request request, Answer answer) {
    if (fails(request.from)) return answer({503, {{"error", "trouble"}}});
    if (slow_until_ > world_.now()) {
        world_.after(slow_by_, [this, request = std::move(request), answer] {
            if (fails(request.from)) return answer({503, {{"error", "trouble"}}});
            carry_out(request, answer);
        });
        return;
    }
    if (request.target == "/multi" && lost_until_ > world_.now() && world_.one_in(lost_one_in_) &&
        (lost_only_.empty() || request.body.dump().find(lost_only_) != std::string::npos)) {
        if (lost_at_once_)
            carry_out(request, [](Response) {});
        else
            world_.after(late_after_.value_or(std::chrono::milliseconds(2000 + world_.random() % 10'000)),
                         [this, request = std::move(request)] { carry_out(request, [](Response) {}); });
        return;
    }
    if (request.target == "/multi" && copies_until_ > world_.now() && world_.one_in(copies_one_in_) &&
        (lost_only_.empty() || request.body.dump().find(lost_only_) != std::string::npos)) {
        carry_out(request, [this, request, answer](Response response) {
            if (response.status == 200) send_copies(request);
            answer(std::move(response));
        });
        return;
    }
    carry_out(request, std::move(answer));
}

void StateServer::send_copies(const Request& request) {
    const auto copies = 1 + world_.random() % 2;
    for (std::uint64_t i = 0; i < copies; ++i)
        world_.after(500ms + secs(world_.between(0, Seconds(copies_latest_).count())), [this, request] {
            if (fails(request.from)) return;
            carry_out(request, [this](Response response) {
                if (response.status != 200) return;
                ++copies_carried_out_;
                if (on_copy_carried_out) on_copy_carried_out();
            });
        });
}

// Also those that are carried out late, or whose answer is lost.
void StateServer::record_transaction(const Request& request, const lab::Answer& result) {
    auto& digest = world_.digest();
    if (!digest.enabled()) return;
    digest.add_event(
        "transaction", world_.now(),
        {request.from, wire::encode(request.body), std::to_string(request.bytes),
         std::to_string(result.status), wire::encode(result.body), std::to_string(store_.revision())});
}

void StateServer::carry_out(const Request& request, Answer answer) {
    const auto now = Clock::now();
    const auto path = request.target.substr(0, request.target.find('?'));
    double writes = 0;
    if (path == "/multi")
        if (auto* then = wire::find(request.body, "then"); then && then->is_array())
            writes = static_cast<double>(then->size());
    if (!store_.within_rates(writes, now)) {
        ++over_the_rate_;
        world_.digest().add_event("over the rate", world_.now(), {request.from, request.target});
        return answer({429, {{"error", "over the rate"}}});
    }
    const bool get = request.method == verb::get, post = request.method == verb::post;
    if (path == "/multi" && post) {
        auto result = rejects(request) ? lab::Answer{400, {{"error", "by script"}}}
                                       : store_.multi(request.body, request.bytes);
        rejected_ += result.status == 400;
        record_transaction(request, result);
        const bool did = result.status == 200;
        writes_ += did ? static_cast<std::uint64_t>(writes) : 0;
        answer(plain(std::move(result)));
        if (did) changed();
        return;
    }
    if (path == "/kv" && get)
        return answer(plain(store_.list(query(request.target, "under"), query(request.target, "since"),
                                        number(query(request.target, "page"), 1000))));
    if (path.starts_with("/kv/") && get) return answer(plain(store_.get(path.substr(4))));
    if (path == "/follow") {
        Watch w{request.from, query(request.target, "under"), number(query(request.target, "since"), 0),
                world_.now() + std::chrono::milliseconds(number(query(request.target, "wait_ms"), 0)),
                answer};
        if (auto ready = store_.changes(w.prefix, w.since)) return answer(plain(std::move(*ready)));
        watches_.push_back(std::move(w));
        return;
    }
    if (path == "/holds" && post) return answer(plain(store_.create_hold(request.body, now)));
    if (path.starts_with("/holds/")) {
        auto id = number(path.substr(7), 0);
        if (path.ends_with("/extend")) return answer(plain(store_.extend_hold(id, now)));
        auto result = store_.end_hold(id);
        answer(plain(std::move(result)));
        changed();
        return;
    }
    answer({400, {{"error", "no such request"}}});
}

bool StateServer::rejects(const Request& request) const {
    const Json* operations = wire::find(request.body, "then");
    if (!rejected_key_ || !operations) return false;
    return std::any_of(operations->begin(), operations->end(), [this](const Json& operation) {
        return wire::text(operation, "set").value_or("").starts_with(*rejected_key_);
    });
}

// ---- cloud ---------------------------------------------------------------------------------------------

CloudServer::CloudServer(World& world, std::vector<wire::MachineType> types, lab::CloudLimits limits,
                         std::uint64_t seed)
    : world_(world), model_(std::move(types), limits, seed) {
    world_.serve("cloud", "cloud", [this](Request r, Answer a) { a(handle(r)); });
    world_.every(200ms, [this] {
        boot_due();
        return true;
    });
}

void CloudServer::boot_due() {
    for (auto& name : model_.boots_due(Clock::now())) {
        model_.came_up(name, name, Clock::now());
        if (on_boot) on_boot(*model_.find(name));
    }
}

Response CloudServer::handle(const Request& request) {
    if (out_until_ > world_.now()) return {503, {{"error", "trouble"}}};
    if (!model_.within_rate(Clock::now())) return {429, {{"error", "over the rate"}}};
    const auto path = request.target.substr(0, request.target.find('?'));
    if (path == "/flavors") return {200, wire::types_json(model_.types())};
    if (path == "/rentals/return") {
        auto names = wire::parse_machine_names(request.body);
        if (!names) return {400, {{"error", "names"}}};
        for (auto& name : *names)
            if (on_return) on_return(name);
        model_.returned(*names, Clock::now());
        return {};
    }
    if (path == "/rentals" && request.method == verb::get)
        return {200, wire::machine_list_json(model_.list(query(request.target, "since"),
                                                         number(query(request.target, "page"), 500),
                                                         Clock::now()))};
    auto rent = wire::parse_provisioning_request(request.body);
    if (!rent || !model_.known(*rent)) return {400, {{"error", "malformed"}}};
    auto names = model_.rent(*rent, Clock::now());
    if (!names) return {503, {{"error", "no capacity"}}};
    return {200, wire::machine_names_json(*names)};
}

}  // namespace barrowrun::sim
