#include "fleet/sheets.hpp"

#include <algorithm>

namespace barrowrun::fleet {

namespace {
// A sheet is written whole for each start on it: it is filled to a third, and has room for what its machines
// come to hold.
constexpr std::size_t filled_part = 3;
// What a machine with one task takes about, until its sheet has been measured.
constexpr std::size_t usual_record = 110;
}  // namespace

Sheets::Number Sheets::fresh() const {
    Number n = 0;
    while (sheets_.contains(n)) ++n;
    return n;
}

Sheets::Sheet& Sheets::home(const std::string& machine) {
    if (auto it = home_.find(machine); it != home_.end()) return sheets_.at(it->second);
    auto room = std::find_if(sheets_.begin(), sheets_.end(), [&](auto& s) {
        return s.second.after.empty() && s.second.bytes + usual_record <= value_bytes_ / filled_part;
    });
    Number n = room != sheets_.end() ? room->first : fresh();
    Sheet& sheet = sheets_[n];
    sheet.machines.insert(machine);
    sheet.bytes += usual_record;
    home_[machine] = n;
    return sheet;
}

void Sheets::start(const std::string& machine, Rank rank) {
    auto& sheet = home(machine);
    sheet.changed = true;
    sheet.pressing = std::min(sheet.pressing.value_or(rank), rank);
}

void Sheets::change(const std::string& machine) {
    home(machine).changed = true;
}

void Sheets::remove(const std::string& machine) {
    auto it = home_.find(machine);
    if (it == home_.end()) return;
    auto& sheet = sheets_.at(it->second);
    sheet.machines.erase(machine);
    sheet.changed = true;
    home_.erase(it);
}

void Sheets::inherit(Number number, const std::string& machine) {
    auto& sheet = sheets_[number];
    auto [it, first] = home_.try_emplace(machine, number);
    if (first) {
        sheet.machines.insert(machine);
        sheet.bytes += usual_record;
    } else if (it->second != number) {
        sheets_.at(it->second).changed = sheet.changed = true;
        sheet.after.insert(it->second);
    }
}

bool Sheets::is_due(Number n, const Sheet& sheet, bool all) const {
    if (!sheet.changed || !sheet.after.empty()) return false;
    return all || sheet.pressing ||
           std::any_of(sheets_.begin(), sheets_.end(), [n](auto& s) { return s.second.after.contains(n); });
}

bool Sheets::any(bool all) const {
    return std::any_of(sheets_.begin(), sheets_.end(),
                       [&](auto& s) { return is_due(s.first, s.second, all); });
}

std::vector<Sheets::Number> Sheets::due(bool all) const {
    std::vector<Number> out;
    for (auto& [n, s] : sheets_)
        if (is_due(n, s, all)) out.push_back(n);
    auto rank = [this](Number n) {
        return sheets_.at(n).pressing.value_or(Rank{wire::Priority::low, TimePoint::max()});
    };
    std::stable_sort(out.begin(), out.end(), [&](auto x, auto y) { return rank(x) < rank(y); });
    return out;
}

const std::set<std::string>& Sheets::machines(Number sheet) const {
    return sheets_.at(sheet).machines;
}

bool Sheets::fits(Number number, std::size_t bytes) {
    Sheet& sheet = sheets_.at(number);
    sheet.bytes = bytes;
    if (bytes <= value_bytes_ || sheet.machines.size() < 2) return true;
    Number other = fresh();
    Sheet& next = sheets_[other];
    auto from = std::next(sheet.machines.begin(), static_cast<long>(sheet.machines.size() / 2));
    next.machines.insert(from, sheet.machines.end());
    sheet.machines.erase(from, sheet.machines.end());
    for (auto& m : next.machines) home_[m] = other;
    sheet.bytes = next.bytes = bytes / 2;
    next.changed = true;
    next.pressing = sheet.pressing;
    sheet.after.insert(other);
    return false;
}

void Sheets::taken(Number number) {
    auto& sheet = sheets_.at(number);
    sheet.changed = false;
    sheet.pressing.reset();
}

void Sheets::durable(Number number) {
    for (auto& [n, s] : sheets_) s.after.erase(number);
}

void Sheets::failed(Number number) {
    auto& sheet = sheets_.at(number);
    sheet.changed = true;
    // What waited for it waits still; nothing more is known here than that it is overdue.
    sheet.pressing = Rank{wire::Priority::production, TimePoint{}};
}

}  // namespace barrowrun::fleet
