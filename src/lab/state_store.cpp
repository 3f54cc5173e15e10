#include "lab/state_store.hpp"

#include <algorithm>

namespace barrowrun::lab {
namespace {

Answer bad_request(const char* why) {
    return {400, {{"error", why}}};
}

// The least string greater than all strings with the prefix; empty if there is none.
std::string after_prefix(std::string prefix) {
    while (!prefix.empty()) {
        if (static_cast<unsigned char>(prefix.back()) != 0xff) {
            prefix.back() = static_cast<char>(prefix.back() + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return prefix;
}

}  // namespace

bool StateStore::valid_key(const std::string& key) {
    return !key.empty() && key.size() <= 200 &&
           std::none_of(key.begin(), key.end(), [](unsigned char c) { return c <= ' ' || c == 0x7f; });
}

StateStore::StateStore(const std::string& path, StateLimits limits, TimePoint now)
    : limits_(limits), db_(path, true) {
    db_.run(
        "CREATE TABLE IF NOT EXISTS kv(key TEXT PRIMARY KEY, value BLOB NOT NULL, mark INTEGER NOT NULL, "
        "permit "
        "INTEGER) WITHOUT ROWID;"
        "CREATE INDEX IF NOT EXISTS by_permit ON kv(permit) WHERE permit IS NOT NULL;"
        "CREATE TABLE IF NOT EXISTS holds(id INTEGER PRIMARY KEY AUTOINCREMENT, ttl_ms INTEGER NOT NULL);"
        "CREATE TABLE IF NOT EXISTS meta(name TEXT PRIMARY KEY, n INTEGER NOT NULL);"
        "INSERT OR IGNORE INTO meta VALUES('ledger', 0);");
    auto revision_row = db_.prepare("SELECT n FROM meta WHERE name='ledger'");
    revision_row.step();
    revision_ = oldest_since_ = static_cast<std::uint64_t>(revision_row.number(0));
    auto lease_rows = db_.prepare("SELECT id, ttl_ms FROM holds");
    while (lease_rows.step()) {
        auto ttl = std::chrono::milliseconds(lease_rows.number(1));
        leases_[static_cast<std::uint64_t>(lease_rows.number(0))] = {ttl, now + ttl};
    }
}

bool StateStore::within_rates(double writes, TimePoint now) {
    auto take = [now](std::optional<Bucket>& b, double rate, double n) {
        if (!b) b = Bucket{rate, now};
        b->level = std::min(rate, b->level + Seconds(now - b->last).count() * rate);
        b->last = now;
        if (b->level < n) return false;
        b->level -= n;
        return true;
    };
    return take(requests_, limits_.rps, 1) && take(writes_, limits_.write_rps, writes);
}

Answer StateStore::get(const std::string& key) {
    if (!valid_key(key)) return bad_request("key");
    auto s = db_.prepare("SELECT value, mark, permit FROM kv WHERE key=?");
    s.text(key);
    if (!s.step()) return {404, {{"ledger", revision_}}};
    Json out{{"key", key}, {"value", Json::from_msgpack(s.bytes(0))}, {"mark", s.number(1)}};
    if (!s.is_null(2)) out["permit"] = s.number(2);
    return {200, std::move(out)};
}

Answer StateStore::list(const std::string& prefix, const std::string& after, std::size_t page) {
    page = std::clamp<std::size_t>(page, 1, 1000);
    auto end = after_prefix(prefix);
    auto s = db_.prepare(
        "SELECT key, value, mark FROM kv WHERE key>=? AND key>? AND (?='' OR key<?) ORDER BY key LIMIT ?");
    s.text(prefix).text(after).text(end).text(end).bind(static_cast<std::int64_t>(page + 1));
    Json entries = Json::array();
    std::size_t bytes = 0;
    bool more = false;
    while (s.step()) {
        auto value = s.bytes(1);
        bytes += value.size() + s.bytes(0).size() + 40;
        if (entries.size() == page || (!entries.empty() && bytes > 512 * 1024)) {
            more = true;
            break;
        }
        entries.push_back({{"key", s.bytes(0)}, {"value", Json::from_msgpack(value)}, {"mark", s.number(2)}});
    }
    return {200, {{"entries", std::move(entries)}, {"truncated", more}, {"ledger", revision_}}};
}

std::optional<std::uint64_t> StateStore::revision_of(const std::string& key) {
    auto s = db_.prepare("SELECT mark FROM kv WHERE key=?");
    s.text(key);
    if (!s.step()) return std::nullopt;
    return static_cast<std::uint64_t>(s.number(0));
}

Answer StateStore::multi(const Json& body, std::size_t body_bytes) {
    if (body_bytes > limits_.body_bytes) return bad_request("larger than 64 KiB");
    const Json* conditions = wire::find(body, "if");
    const Json* operations = wire::find(body, "then");
    if ((conditions && !conditions->is_array()) || (operations && !operations->is_array()))
        return bad_request("lists");
    std::size_t n = operations ? operations->size() : 0;
    if (n > limits_.txn_ops || (conditions && conditions->size() > 4 * limits_.txn_ops))
        return bad_request("too many");
    for (std::size_t i = 0; i < n; ++i) {
        const Json& op = (*operations)[i];
        auto set = wire::text(op, "set"), drop = wire::text(op, "drop");
        if (set.has_value() == drop.has_value()) return bad_request("set or drop");
        if (!valid_key(set ? *set : *drop)) return bad_request("key");
        if (!set) continue;
        if (!op.contains("value")) return bad_request("value");
        if (op["value"].dump(-1, ' ', false, Json::error_handler_t::replace).size() > limits_.value_bytes)
            return bad_request("a value is too large");
        if (auto lease_id = wire::find(op, "permit")) {
            if (!lease_id->is_number_unsigned() || !leases_.contains(lease_id->get<std::uint64_t>()))
                return {400, {{"error", "no such lease"}}};
        }
    }
    Json failed = Json::array();
    for (const Json& c : conditions ? *conditions : Json::array()) {
        auto key = wire::text(c, "key");
        auto revision = wire::count(c, "mark");
        if (!key || !valid_key(*key) || !revision) return bad_request("condition");
        if (revision_of(*key).value_or(0) != *revision) failed.push_back(*key);
    }
    if (!failed.empty()) return {409, {{"failed", std::move(failed)}, {"ledger", revision_}}};
    if (n == 0) return {200, {{"ledger", revision_}}};
    store::Transaction txn(db_);
    std::vector<Change> changes;
    auto set = db_.prepare("INSERT OR REPLACE INTO kv VALUES(?,?,?,?)");
    auto drop = db_.prepare("DELETE FROM kv WHERE key=?");
    const auto revision = revision_ + 1;
    for (const Json& op : *operations) {
        if (auto key = wire::text(op, "set")) {
            set.text(*key).bind(wire::encode(op["value"])).bind(static_cast<std::int64_t>(revision));
            if (auto lease_id = wire::count(op, "permit"))
                set.bind(static_cast<std::int64_t>(*lease_id));
            else
                set.null();
            set.run();
            changes.push_back({*key, op["value"], revision});
        } else {
            auto dropped_key = *wire::text(op, "drop");
            if (!revision_of(dropped_key)) continue;
            drop.text(dropped_key).run();
            changes.push_back({dropped_key, std::nullopt, revision});
        }
    }
    auto revision_row = db_.prepare("UPDATE meta SET n=? WHERE name='ledger'");
    revision_row.bind(static_cast<std::int64_t>(revision)).run();
    txn.commit();
    revision_ = revision;
    for (auto& c : changes) change_log_.push_back(std::move(c));
    while (change_log_.size() > limits_.kept_changes) {
        oldest_since_ = change_log_.front().revision;
        change_log_.pop_front();
    }
    return {200, {{"ledger", revision_}}};
}

Answer StateStore::create_hold(const Json& body, TimePoint now) {
    auto ttl = wire::count(body, "ttl_ms");
    if (!ttl || *ttl < 100 || *ttl > 600'000) return bad_request("ttl_ms");
    auto s = db_.prepare("INSERT INTO holds(ttl_ms) VALUES(?)");
    s.bind(static_cast<std::int64_t>(*ttl)).run();
    auto id = static_cast<std::uint64_t>(sqlite3_last_insert_rowid(db_.handle()));
    auto length = std::chrono::milliseconds(*ttl);
    leases_[id] = {length, now + length};
    return {200, {{"permit", id}}};
}

Answer StateStore::extend_hold(std::uint64_t id, TimePoint now) {
    expire(now);
    auto it = leases_.find(id);
    if (it == leases_.end()) return {404, {{"error", "no such lease"}}};
    it->second.until = now + it->second.ttl;
    return {200, Json::object()};
}

Answer StateStore::end_hold(std::uint64_t id) {
    if (!leases_.contains(id)) return {404, {{"error", "no such lease"}}};
    revoke_leases({id});
    return {200, Json::object()};
}

bool StateStore::expire(TimePoint now) {
    std::vector<std::uint64_t> expired;
    for (auto& [id, lease] : leases_)
        if (now >= lease.until) expired.push_back(id);
    return !expired.empty() && revoke_leases(expired);
}

bool StateStore::revoke_leases(const std::vector<std::uint64_t>& ids) {
    store::Transaction txn(db_);
    std::vector<Change> changes;
    const auto revision = revision_ + 1;
    for (auto id : ids) {
        auto keys = db_.prepare("SELECT key FROM kv WHERE permit=?");
        keys.bind(static_cast<std::int64_t>(id));
        while (keys.step()) changes.push_back({keys.bytes(0), std::nullopt, revision});
        auto drop = db_.prepare("DELETE FROM kv WHERE permit=?");
        drop.bind(static_cast<std::int64_t>(id)).run();
        auto end = db_.prepare("DELETE FROM holds WHERE id=?");
        end.bind(static_cast<std::int64_t>(id)).run();
    }
    if (!changes.empty()) {
        auto revision_row = db_.prepare("UPDATE meta SET n=? WHERE name='ledger'");
        revision_row.bind(static_cast<std::int64_t>(revision)).run();
    }
    txn.commit();
    for (auto id : ids) leases_.erase(id);
    if (changes.empty()) return false;
    revision_ = revision;
    for (auto& c : changes) change_log_.push_back(std::move(c));
    return true;
}

std::optional<Answer> StateStore::changes(const std::string& prefix, std::uint64_t since) const {
    if (since < oldest_since_) return Answer{410, {{"error", "too old"}, {"ledger", revision_}}};
    auto from = std::upper_bound(change_log_.begin(), change_log_.end(), since,
                                 [](std::uint64_t s, const Change& c) { return s < c.revision; });
    Json events = Json::array();
    for (auto it = from; it != change_log_.end(); ++it) {
        if (!it->key.starts_with(prefix)) continue;
        if (it->value)
            events.push_back({{"set", it->key}, {"value", *it->value}, {"mark", it->revision}});
        else
            events.push_back({{"drop", it->key}, {"mark", it->revision}});
    }
    if (events.empty()) return std::nullopt;
    return Answer{200, {{"ledger", revision_}, {"events", std::move(events)}}};
}

}  // namespace barrowrun::lab
