#pragma once
// Admission control for the HTTP server: decides which connections are accepted, refused or evicted when the
// connection limit is reached. It does no I/O and reads no clock.
//
// Without it, 1,500 connections that each sent half a header and stopped blocked a server for two minutes:
// health checks and workers' heartbeats were refused together with user requests.
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace barrowrun::net {

// The kind of client on a connection, by its last complete request: `system` stands for workers, health
// checks and other nodes, `unproven` for a connection without a complete request.
enum class Caller { unproven, user, system };

class ConnectionLimiter {
  public:
    using Id = std::uint64_t;
    // Users hold at most the fraction `user_share` of `most` connections, which leaves the rest to workers
    // and health checks; one address holds at most the fraction `address_share`.
    explicit ConnectionLimiter(std::size_t most, double user_share = 0.8, double address_share = 0.8);

    struct Arrival {
        std::optional<Id> id;     // of the new connection; absent: refused
        std::optional<Id> evict;  // the connection to close in favour of the new one
    };
    // Decides on a new connection. At the address's limit it replaces a connection of the same address; at
    // the limit for all connections it replaces any connection. If there is nothing to evict, it is refused.
    // Connections without a complete request are evicted first, oldest first, from the address that has most
    // of them; then connections that are idle between requests, users before system. A connection whose
    // request is being served is never evicted.
    Arrival arrive(const std::string& address);
    struct Verdict {
        bool serve = true;        // false: users are over their limit; the server answers 503 and closes
        std::optional<Id> evict;  // an idle user's connection to close in favour of this one
    };
    // A complete request has been read.
    Verdict request(Id id, Caller caller);
    void answered(Id id);  // the connection is idle until its next request
    void left(Id id);
    std::size_t size() const { return all_.size(); }
    std::size_t users() const { return users_; }

  private:
    enum class Stage { unproven, idle, served };
    struct Entry {
        std::string address;
        Caller caller = Caller::unproven;
        Stage stage = Stage::unproven;
        std::list<Id>::iterator place;  // in the queue of its stage, if the stage has one
    };
    struct Address {
        std::size_t open = 0;
        std::list<Id> unproven;  // oldest first
    };
    std::list<Id>* line(Entry& e);  // the queue of the entry's stage; null while its request is being served
    void enter(Id id, Entry& e, Stage stage);
    void leave(Id id, Entry& e);
    std::optional<Id> victim(const std::string* only) const;
    std::size_t most_, most_users_, most_per_address_;
    std::size_t users_ = 0;
    Id last_ = 0;
    std::unordered_map<Id, Entry> all_;
    std::map<std::string, Address> addresses_;
    std::list<Id> idle_users_, idle_system_;  // least recently used first
};

}  // namespace barrowrun::net
