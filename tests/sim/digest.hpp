#pragma once
// Digests of simulated histories. A digest covers every message and every transaction of a history, with its
// virtual time, in order, and nothing else: no log text, no address in memory, no name of a type or a file.
// Two builds that behave alike print the same digests, so `tools/compare-histories` can tell whether a change
// of the sources changed what the software does.
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "sim/clock.hpp"

namespace barrowrun::sim {

// 64-bit FNV-1a over a stream of events. Each value goes in with its length, so that no two streams of events
// give the same bytes.
class Digest {
  public:
    void add_event(std::string_view kind, Nanos time, std::initializer_list<std::string_view> values);
    void add_bytes(std::string_view bytes);
    std::uint64_t value() const { return value_; }

  private:
    void add_number(std::uint64_t number);
    std::uint64_t value_ = 14695981039346656037ULL;  // the offset basis of FNV-1a
};

// The digest of one history, appended as a line "name<TAB>seed<TAB>digest" to the file that SIM_DIGEST names
// once the history is over. Without SIM_DIGEST it is not enabled, and callers need not encode anything for
// it.
class HistoryDigest {
  public:
    explicit HistoryDigest(std::uint64_t seed);
    ~HistoryDigest();
    HistoryDigest(const HistoryDigest&) = delete;
    HistoryDigest& operator=(const HistoryDigest&) = delete;
    bool enabled() const { return !file_.empty(); }
    // A drawn history has its kind's name; a fixed one that of its test and its number within it.
    void name(std::string name) { name_ = std::move(name); }
    void add_event(std::string_view kind, Nanos time, std::initializer_list<std::string_view> values) {
        if (enabled()) digest_.add_event(kind, time, values);
    }

  private:
    std::string file_, name_;
    std::uint64_t seed_;
    Digest digest_;
};

}  // namespace barrowrun::sim
