#pragma once
// Stand-in for the state service: what PROTOCOL says of keys, versions, transactions, holds and watches, kept
// in SQLite and synced before the answer. Calls take the time and do no network I/O.
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/clock.hpp"
#include "store/sqlite.hpp"
#include "wire/codec.hpp"

namespace barrowrun::lab {

using wire::Json;

struct StateLimits {
    double rps = 2000, write_rps = 1000;
    std::size_t value_bytes = 32 * 1024, txn_ops = 32, body_bytes = 64 * 1024;
    std::size_t kept_changes = 10'000;
};

struct Answer {
    int status = 200;
    Json body = Json::object();
};

class StateStore {
  public:
    // Every hold on file has its full time again, as after an outage.
    StateStore(const std::string& path, StateLimits limits, TimePoint now);
    Answer get(const std::string& key);
    Answer list(const std::string& prefix, const std::string& after, std::size_t page);
    Answer multi(const Json& body, std::size_t body_bytes);
    Answer create_hold(const Json& body, TimePoint now);
    Answer extend_hold(std::uint64_t id, TimePoint now);
    Answer end_hold(std::uint64_t id);
    // Removes the keys of holds that ran out. True if anything changed.
    bool expire(TimePoint now);
    // During an outage none ends, and after it each has its full time.
    void renew_holds(TimePoint now) {
        for (auto& [id, h] : holds_) h.until = now + h.ttl;
    }
    // Changes under a prefix after a revision; nothing: none yet.
    std::optional<Answer> changes(const std::string& prefix, std::uint64_t since) const;
    std::uint64_t revision() const { return revision_; }
    // Rates: whether one more request, with so many changes, is within them.
    bool within_rates(double writes, TimePoint now);
    static bool valid_key(const std::string& key);

  private:
    struct Change {
        std::string key;
        std::optional<Json> value;
        std::uint64_t mark;
    };
    struct Bucket {
        double level;
        TimePoint last;
    };
    bool end_holds(const std::vector<std::uint64_t>& ids);
    std::optional<std::uint64_t> mark_of(const std::string& key);
    StateLimits limits_;
    store::Database db_;
    std::uint64_t revision_ = 0, oldest_since_ = 0, last_hold_ = 0;
    struct Hold {
        Clock::duration ttl;
        TimePoint until;
    };
    std::map<std::uint64_t, Hold> holds_;
    std::deque<Change> log_;
    std::optional<Bucket> requests_, writes_;
};

}  // namespace barrowrun::lab
