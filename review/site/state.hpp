#pragma once
// The state service, as PROTOCOL-barrowrun.md describes it, in memory.
#include <deque>

#include "base.hpp"

namespace site {

class StateService {
  public:
    explicit StateService(const Deployment& d)
        : txn_ops_(d.txn_ops),
          value_bytes_(static_cast<std::size_t>(d.value_kb * 1024)),
          requests_{d.state_rps, d.state_rps},
          writes_{d.state_write_rps, d.state_write_rps},
          server_([this](const Request& r) { return handle(r); }) {
        std::thread([this] {
            for (;; sleep_s(0.02)) expire();
        }).detach();
    }
    const std::string& address() const { return server_.address(); }
    // Transactions that were answered 400, by the reason and the key at fault.
    std::map<std::string, int> refused() {
        std::lock_guard guard(lock);
        return refused_;
    }

  private:
    struct Item {
        json value;
        std::uint64_t mark = 0, permit = 0;
    };
    struct Change {
        std::uint64_t mark;
        std::string key;
        std::optional<json> value;
    };
    struct Lease {
        Clock::duration ttl;
        TimePoint until;
    };

    Answer handle(const Request& r) {
        sleep_s(0.002);
        std::unique_lock guard(lock);
        requests_.fill();
        if (requests_.level < 1) return {429, {{"error", "rate"}}};
        requests_.level -= 1;
        if (!r.valid) return bad("not MessagePack");
        auto query = query_of(r.target);
        const std::string path = r.target.substr(0, r.target.find('?'));
        if (r.method == "GET" && path == "/kv") return list(query);
        if (r.method == "GET" && path.starts_with("/kv/")) return get(path.substr(4));
        if (r.method == "GET" && path == "/follow") return follow(query, guard);
        if (r.method == "POST" && path == "/multi") return multi(r.body);
        if (r.method == "POST" && path == "/holds") {
            auto ttl = r.body.value("ttl_ms", 0);
            if (ttl < 100 || ttl > 600'000) return bad("ttl_ms");
            auto length = std::chrono::milliseconds(ttl);
            leases_[++last_lease_] = {length, Clock::now() + length};
            return {200, {{"permit", last_lease_}}};
        }
        if (path.starts_with("/holds/")) {
            auto it = leases_.find(std::stoull(path.substr(7)));
            if (it == leases_.end()) return {404, {{"error", "no such lease"}}};
            if (r.method == "DELETE")
                end_lease(it->first);
            else
                it->second.until = Clock::now() + it->second.ttl;
            return {200, json::object()};
        }
        return bad("no such request");
    }
    static Answer bad(const char* why) { return {400, {{"error", why}}}; }
    Answer refuse(const std::string& why, const std::string& key, std::size_t size) {
        if (refused_[why + ": " + key]++ == 0)
            record("state service: transaction answered 400: %s: %s, %zu bytes", why.c_str(), key.c_str(), size);
        return {400, {{"error", why}}};
    }
    Answer get(const std::string& key) {
        auto it = items_.find(key);
        if (it == items_.end()) return {404, {{"ledger", ledger_}}};
        json out{{"key", key}, {"value", it->second.value}, {"mark", it->second.mark}};
        if (it->second.permit) out["permit"] = it->second.permit;
        return {200, out};
    }
    Answer list(std::map<std::string, std::string>& query) {
        const std::string& prefix = query["under"];
        const std::size_t page = query["page"].empty() ? 1000 : std::min<std::size_t>(1000, std::stoul(query["page"]));
        json entries = json::array();
        std::size_t bytes = 0;
        bool more = false;
        for (auto it = items_.lower_bound(std::max(prefix, query["since"])); it != items_.end(); ++it) {
            if (it->first <= query["since"]) continue;
            if (!it->first.starts_with(prefix)) break;
            bytes += it->first.size() + it->second.value.dump().size() + 40;
            if (entries.size() == page || (!entries.empty() && bytes > 512 * 1024)) {
                more = true;
                break;
            }
            entries.push_back({{"key", it->first}, {"value", it->second.value}, {"mark", it->second.mark}});
        }
        return {200, {{"entries", entries}, {"truncated", more}, {"ledger", ledger_}}};
    }
    Answer multi(const json& body) {
        static const json none = json::array();
        const json& conditions = body.contains("if") ? body["if"] : none;
        const json& changes = body.contains("then") ? body["then"] : none;
        writes_.fill();
        if (writes_.level < static_cast<double>(changes.size())) return {429, {{"error", "rate"}}};
        writes_.level -= static_cast<double>(changes.size());
        if (changes.size() > txn_ops_ || conditions.size() > 4 * txn_ops_) return bad("too many");
        if (auto size = body.dump().size(); size > 64 * 1024) return refuse("larger than 64 KiB", "all", size);
        for (auto& c : changes)
            if (c.contains("set")) {
                if (auto size = c["value"].dump().size(); size > value_bytes_)
                    return refuse("value too large", c["set"].get<std::string>(), size);
                if (c.contains("permit") && !leases_.contains(c["permit"].get<std::uint64_t>()))
                    return bad("no such lease");
            }
        json failed = json::array();
        for (auto& c : conditions) {
            auto it = items_.find(c["key"].get<std::string>());
            if ((it == items_.end() ? 0 : it->second.mark) != c["mark"].get<std::uint64_t>()) failed.push_back(c["key"]);
        }
        if (!failed.empty()) return {409, {{"failed", failed}, {"ledger", ledger_}}};
        if (changes.empty()) return {200, {{"ledger", ledger_}}};
        ++ledger_;
        for (auto& c : changes) {
            if (c.contains("set")) {
                const std::string key = c["set"];
                items_[key] = {c["value"], ledger_, c.value("permit", std::uint64_t{0})};
                log_.push_back({ledger_, key, c["value"]});
            } else if (items_.erase(c["drop"].get<std::string>())) {
                log_.push_back({ledger_, c["drop"], std::nullopt});
            }
        }
        trim();
        return {200, {{"ledger", ledger_}}};
    }
    void trim() {
        while (log_.size() > 10'000) {
            oldest_ = log_.front().mark;
            log_.pop_front();
        }
        changed_.notify_all();
    }
    Answer follow(std::map<std::string, std::string>& query, std::unique_lock<std::mutex>& guard) {
        const std::uint64_t since = query["since"].empty() ? 0 : std::stoull(query["since"]);
        const double wait = query["wait_ms"].empty() ? 0 : std::min(60.0, std::stod(query["wait_ms"]) / 1000);
        const auto until = Clock::now() + secs(wait);
        for (;;) {
            if (since < oldest_) return {410, {{"error", "too old"}}};
            json events = json::array();
            for (auto& c : log_) {
                if (c.mark <= since || !c.key.starts_with(query["under"])) continue;
                if (c.value)
                    events.push_back({{"set", c.key}, {"value", *c.value}, {"mark", c.mark}});
                else
                    events.push_back({{"drop", c.key}, {"mark", c.mark}});
            }
            if (!events.empty() || Clock::now() >= until) return {200, {{"ledger", ledger_}, {"events", events}}};
            changed_.wait_until(guard, until);
        }
    }
    void end_lease(std::uint64_t id) {
        ++ledger_;
        for (auto it = items_.begin(); it != items_.end();)
            if (it->second.permit == id) {
                log_.push_back({ledger_, it->first, std::nullopt});
                it = items_.erase(it);
            } else {
                ++it;
            }
        leases_.erase(id);
        trim();
    }
    void expire() {
        std::lock_guard guard(lock);
        std::vector<std::uint64_t> over;
        for (auto& [id, lease] : leases_)
            if (Clock::now() >= lease.until) over.push_back(id);
        for (auto id : over) end_lease(id);
    }

    std::size_t txn_ops_, value_bytes_;
    Bucket requests_, writes_;
    std::map<std::string, Item> items_;
    std::map<std::uint64_t, Lease> leases_;
    std::deque<Change> log_;
    std::uint64_t ledger_ = 1, oldest_ = 0, last_lease_ = 0;
    std::map<std::string, int> refused_;
    std::condition_variable changed_;
    Server server_;
};

}  // namespace site
