#pragma once
// The simulated state service: keys, versions, transactions, leases (`holds` in the protocol) and watches as
// PROTOCOL specifies them, stored in SQLite and synced before the answer. The caller passes the current time;
// no call does network I/O.
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
    // Opens the database. Every stored lease gets its full TTL again, as after an outage.
    StateStore(const std::string& path, StateLimits limits, TimePoint now);
    Answer get(const std::string& key);
    Answer list(const std::string& prefix, const std::string& after, std::size_t page);
    Answer multi(const Json& body, std::size_t body_bytes);
    Answer create_hold(const Json& body, TimePoint now);
    Answer extend_hold(std::uint64_t id, TimePoint now);
    Answer end_hold(std::uint64_t id);
    // Removes expired leases and their keys. Returns true if a key was removed.
    bool expire(TimePoint now);
    // Gives every lease its full TTL. Called throughout an outage, so that no lease expires during it.
    void renew_holds(TimePoint now) {
        for (auto& [id, lease] : leases_) lease.until = now + lease.ttl;
    }
    // Returns the changes under a prefix after a revision, 410 if the change log does not reach back that
    // far, or nothing if there are no changes yet.
    std::optional<Answer> changes(const std::string& prefix, std::uint64_t since) const;
    std::uint64_t revision() const { return revision_; }
    // Takes one request and `writes` changes from the rate limits. Returns false if a limit is exceeded.
    bool within_rates(double writes, TimePoint now);
    static bool valid_key(const std::string& key);

  private:
    struct Change {
        std::string key;
        std::optional<Json> value;
        std::uint64_t revision;
    };
    struct Bucket {
        double level;
        TimePoint last;
    };
    bool revoke_leases(const std::vector<std::uint64_t>& ids);
    std::optional<std::uint64_t> revision_of(const std::string& key);
    StateLimits limits_;
    store::Database db_;
    std::uint64_t revision_ = 0, oldest_since_ = 0, last_hold_ = 0;
    struct Lease {
        Clock::duration ttl;
        TimePoint until;
    };
    std::map<std::uint64_t, Lease> leases_;
    std::deque<Change> change_log_;
    std::optional<Bucket> requests_, writes_;
};

}  // namespace barrowrun::lab
