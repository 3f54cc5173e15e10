#pragma once
// Which machines stand together on one record. A round's starts on hundreds of machines then cost a few
// changes of the state service rather than one a machine: the count grows with bytes, not with machines.
// A sheet's value is absolute: it names all its machines with every attempt that may be on them.
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.hpp"
#include "wire/submission.hpp"

namespace barrowrun::fleet {

class Sheets {
  public:
    using Number = std::uint32_t;
    // How pressing a start is: the higher level first, then the older.
    using Rank = std::pair<wire::Priority, TimePoint>;

    explicit Sheets(std::size_t value_bytes) : value_bytes_(value_bytes) {}

    // A start on the machine waits to be recorded.
    void start(const std::string& machine, Rank rank);
    // Something else about it is to be recorded with the next occasion.
    void change(const std::string& machine);
    void remove(const std::string& machine);
    // A record of a predecessor names it; sheets come in rising order. Two may name one, after a crash within
    // a move: the lower becomes its home and is written, with what either named, before the other.
    void inherit(Number sheet, const std::string& machine);

    // A record that cannot be read: it is neither used nor overwritten, so that a successor sees it too.
    void set_aside(Number sheet) { sheets_[sheet].bytes = value_bytes_; }

    // Sheets to write, the most pressing first; with `all` also those that no start waits for.
    std::vector<Number> due(bool all) const;
    bool any(bool all) const;
    std::size_t changed() const { return due(true).size(); }
    const std::set<std::string>& machines(Number sheet) const;
    // The value was measured. False: it is too large. Then half of its machines stand on a new sheet, and
    // this one is not due before that is on record: else a crash between the two would lose them.
    bool fits(Number sheet, std::size_t bytes);
    void taken(Number sheet);    // its value is on its way
    void durable(Number sheet);  // and on record
    void failed(Number sheet);   // or not

  private:
    struct Sheet {
        std::set<std::string> machines;
        std::size_t bytes = 0;
        std::optional<Rank> pressing;
        bool changed = false;
        std::set<Number> after;  // not written before these are on record
    };
    Sheet& home(const std::string& machine);
    Number fresh() const;
    bool is_due(Number n, const Sheet& sheet, bool all) const;
    std::size_t value_bytes_;
    std::map<Number, Sheet> sheets_;
    std::unordered_map<std::string, Number> home_;
};

}  // namespace barrowrun::fleet
