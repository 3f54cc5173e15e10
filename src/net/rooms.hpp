#pragma once
// Which connections a server keeps when room is short. Plain decisions: no I/O, no clock.
//
// Found on loopback: 1,500 connections that sent half a header and stopped held the whole server for two
// minutes; health checks and workers' heartbeats were turned away with everyone else.
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace barrowrun::net {

// Who a connection proved to be by its last whole request.
enum class Caller { unproven, user, system };  // system: workers, health checks, other nodes

class Rooms {
  public:
    using Id = std::uint64_t;
    // `most`: connections in all. Users get at most `user_share` of them, one address `address_share`; the
    // rest stays for workers and health checks.
    explicit Rooms(std::size_t most, double user_share = 0.8, double address_share = 0.8);

    struct Arrival {
        std::optional<Id> id;     // absent: refused
        std::optional<Id> evict;  // close this one: its room is given to the new one
    };
    // An address over its share displaces a connection of its own, or is refused; so does anyone when all is
    // full. First go connections with no whole request yet, of the address that has most of them; then those
    // idle between requests, users before system; one that is being served stays.
    Arrival arrive(const std::string& address);
    struct Verdict {
        bool serve = true;        // false: users have no room left; it gets its final answer at once
        std::optional<Id> evict;  // an idle user, whose room this one takes
    };
    // A whole request was read.
    Verdict request(Id id, Caller caller);
    void answered(Id id);  // idle from here on
    void left(Id id);
    std::size_t size() const { return all_.size(); }
    std::size_t users() const { return users_; }

  private:
    enum class Stage { unproven, idle, served };
    struct Entry {
        std::string address;
        Caller caller = Caller::unproven;
        Stage stage = Stage::unproven;
        std::list<Id>::iterator place;  // in the line of its stage, if it is in one
    };
    struct Address {
        std::size_t open = 0;
        std::list<Id> unproven;  // oldest first
    };
    std::list<Id>* line(Entry& e);
    void enter(Id id, Entry& e, Stage stage);
    void leave(Id id, Entry& e);
    std::optional<Id> victim(const std::string* only) const;
    std::size_t most_, most_users_, most_per_address_;
    std::size_t users_ = 0;
    Id last_ = 0;
    std::unordered_map<Id, Entry> all_;
    std::map<std::string, Address> addresses_;
    std::list<Id> idle_users_, idle_system_;  // longest idle first
};

}  // namespace barrowrun::net
