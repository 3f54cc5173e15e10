#include "state/records.hpp"

#include <charconv>

namespace barrowrun::state {
namespace {
constexpr char base64_digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
int base64_value(char c) {
    if (c >= 'A' && c <= 'Z') return c - 'A';
    if (c >= 'a' && c <= 'z') return c - 'a' + 26;
    if (c >= '0' && c <= '9') return c - '0' + 52;
    return c == '-' ? 62 : c == '_' ? 63 : -1;
}
}  // namespace

IndexSet IndexSet::full(std::uint32_t n) {
    IndexSet s;
    s.insert_range(0, n);
    return s;
}

bool IndexSet::contains(std::uint32_t i) const {
    auto it = ranges_.upper_bound(i);
    return it != ranges_.begin() && std::prev(it)->second > i;
}

bool IndexSet::insert(std::uint32_t i) {
    if (contains(i)) return false;
    insert_range(i, i + 1);
    return true;
}

void IndexSet::insert_range(std::uint32_t from, std::uint32_t to) {
    if (from >= to) return;
    auto it = ranges_.upper_bound(from);
    if (it != ranges_.begin() && std::prev(it)->second >= from) --it;
    while (it != ranges_.end() && it->first <= to) {
        from = std::min(from, it->first);
        to = std::max(to, it->second);
        size_ -= it->second - it->first;
        it = ranges_.erase(it);
    }
    ranges_.emplace(from, to);
    size_ += to - from;
}

bool IndexSet::erase(std::uint32_t i) {
    auto it = ranges_.upper_bound(i);
    if (it == ranges_.begin() || std::prev(it)->second <= i) return false;
    --it;
    auto [from, to] = *it;
    ranges_.erase(it);
    if (from < i) ranges_.emplace(from, i);
    if (i + 1 < to) ranges_.emplace(i + 1, to);
    --size_;
    return true;
}

IndexSet IndexSet::within(std::uint32_t from, std::uint32_t to) const {
    IndexSet out;
    auto it = ranges_.upper_bound(from);
    if (it != ranges_.begin()) --it;
    for (; it != ranges_.end() && it->first < to; ++it)
        out.insert_range(std::max(from, it->first), std::min(to, it->second));
    return out;
}

std::optional<std::uint32_t> IndexSet::first() const {
    if (ranges_.empty()) return std::nullopt;
    return ranges_.begin()->first;
}

std::optional<std::uint32_t> IndexSet::next(std::uint32_t from) const {
    auto it = ranges_.upper_bound(from);
    if (it != ranges_.begin() && std::prev(it)->second > from) return from;
    if (it == ranges_.end()) return std::nullopt;
    return it->first;
}

Json IndexSet::json(std::uint32_t universe_size) const {
    // In JSON a range takes up to 16 characters; a bitmap takes one character for every six tasks.
    if (ranges_.size() * 16 > universe_size / 6 + 8) {
        std::string bitmap;
        bitmap.reserve(universe_size / 6 + 1);
        for (std::uint32_t base = 0; base < universe_size; base += 6) {
            int bits_of_digit = 0;
            for (std::uint32_t bit = 0; bit < 6; ++bit)
                if (base + bit < universe_size && contains(base + bit)) bits_of_digit |= 1 << bit;
            bitmap += base64_digits[bits_of_digit];
        }
        return bitmap;
    }
    Json out = Json::array();
    for (auto [from, to] : ranges_) {
        out.push_back(from);
        out.push_back(to - from);
    }
    return out;
}

std::optional<IndexSet> IndexSet::parse(const Json& value, std::uint32_t universe_size) {
    IndexSet s;
    if (value.is_string()) {
        const auto& bitmap = value.get_ref<const std::string&>();
        for (std::size_t c = 0; c < bitmap.size(); ++c) {
            int bits_of_digit = base64_value(bitmap[c]);
            if (bits_of_digit < 0) return std::nullopt;
            for (std::uint32_t bit = 0; bit < 6; ++bit)
                if (bits_of_digit & (1 << bit)) {
                    auto i = static_cast<std::uint32_t>(c * 6 + bit);
                    if (i >= universe_size) return std::nullopt;
                    s.insert(i);
                }
        }
        return s;
    }
    if (!value.is_array() || value.size() % 2) return std::nullopt;
    for (std::size_t k = 0; k < value.size(); k += 2) {
        if (!value[k].is_number_unsigned() || !value[k + 1].is_number_unsigned()) return std::nullopt;
        auto from = value[k].get<std::uint64_t>(), count = value[k + 1].get<std::uint64_t>();
        if (from > universe_size || count > universe_size - from) return std::nullopt;
        s.insert_range(static_cast<std::uint32_t>(from), static_cast<std::uint32_t>(from + count));
    }
    return s;
}

std::string job_key(const std::string& id) {
    return "jobs/" + id;
}
std::string progress_key(const std::string& id) {
    return "progress/" + id;
}
std::string finished_key(const std::string& id) {
    return "past/" + id;
}
std::string assignment_shard_key(std::uint32_t number) {
    auto digits = std::to_string(number);
    return "sheets/" + std::string(digits.size() < 6 ? 6 - digits.size() : 0, '0') + digits;
}
std::optional<std::uint32_t> parse_assignment_shard_key(const std::string& key) {
    constexpr std::string_view prefix = "sheets/";
    if (!key.starts_with(prefix)) return std::nullopt;
    std::uint32_t n = 0;
    auto [end, error] = std::from_chars(key.data() + prefix.size(), key.data() + key.size(), n);
    if (error != std::errc{} || end != key.data() + key.size()) return std::nullopt;
    return n;
}
std::string provisioning_key(const std::string& request) {
    return "hires/" + request;
}

Json to_json(const JobRecord& r) {
    return Json{{"job", wire::submission_json(r.spec)}, {"accepted_ms", r.accepted_ms}};
}

std::optional<JobRecord> parse_job_record(const Json& value) {
    const Json* job = wire::find(value, "job");
    if (!job) return std::nullopt;
    auto spec = wire::parse_submission(*job);
    if (!std::holds_alternative<wire::JobSpec>(spec)) return std::nullopt;
    JobRecord r;
    r.spec = std::get<wire::JobSpec>(std::move(spec));
    r.accepted_ms = static_cast<std::int64_t>(wire::count(value, "accepted_ms").value_or(0));
    return r;
}

Json to_json(const Progress& p, std::uint32_t tasks) {
    Json out{{"finished", p.done.json(tasks)}};
    if (p.cancelled) out["cancelled"] = true;
    if (p.failed) out["failed"] = true;
    if (!p.errors.empty()) {
        Json list = Json::array();
        for (auto& [index, e] : p.errors) {
            list.push_back(index);
            list.push_back(e.count);
            list.push_back(e.last);
        }
        out["errors"] = std::move(list);
    }
    if (p.total) out["error_count"] = wire::error_count_json(*p.total);
    return out;
}

std::optional<Progress> parse_progress(const Json& value, std::uint32_t tasks) {
    const Json* done = wire::find(value, "finished");
    if (!done) return std::nullopt;
    auto set = IndexSet::parse(*done, tasks);
    if (!set) return std::nullopt;
    Progress p{std::move(*set), wire::flag(value, "cancelled").value_or(false),
               wire::flag(value, "failed").value_or(false)};
    if (const Json* list = wire::find(value, "errors")) {
        if (!list->is_array() || list->size() % 3) return std::nullopt;
        for (std::size_t k = 0; k < list->size(); k += 3) {
            for (std::size_t i = 0; i < 3; ++i)
                if (!(*list)[k + i].is_number_unsigned()) return std::nullopt;
            auto index = (*list)[k].get<std::uint64_t>();
            if (index >= tasks) return std::nullopt;
            p.errors[static_cast<std::uint32_t>(index)] = {(*list)[k + 1].get<std::uint32_t>(),
                                                           (*list)[k + 2].get<std::uint64_t>()};
        }
    }
    if (const Json* total = wire::find(value, "error_count")) p.total = wire::parse_error_count(*total);
    return p;
}

Json to_json(const FinishedRecord& r) {
    Json out{{"state", wire::job_state_name(r.state)}, {"finished", r.done}};
    if (r.errors) out["error_count"] = wire::error_count_json(*r.errors);
    return out;
}

std::optional<FinishedRecord> parse_finished_record(const Json& value) {
    auto job_state = wire::parse_job_state(wire::text(value, "state").value_or(""));
    if (!job_state) return std::nullopt;
    FinishedRecord r{*job_state, static_cast<std::uint32_t>(wire::count(value, "finished").value_or(0)), {}};
    if (const Json* errors = wire::find(value, "error_count")) r.errors = wire::parse_error_count(*errors);
    return r;
}

Json to_json(const MachineRecord& r) {
    Json attempts = Json::array();
    for (auto& a : r.attempts) {
        attempts.push_back(a.task.str());
        attempts.push_back(a.number);
    }
    Json out =
        Json::array({r.name, r.address, r.type, r.zone, r.spot, r.provisioned_ms, std::move(attempts)});
    if (r.agent_epoch) out.push_back(*r.agent_epoch);
    return out;
}

std::optional<MachineRecord> parse_machine_record(const Json& value) {
    if (!value.is_array() || value.size() < 7) return std::nullopt;
    for (std::size_t i = 0; i < 4; ++i)
        if (!value[i].is_string()) return std::nullopt;
    const Json& list = value[6];
    if (!value[4].is_boolean() || !value[5].is_number_integer() || !list.is_array() || list.size() % 2)
        return std::nullopt;
    MachineRecord r{value[0].get<std::string>(),
                    value[1].get<std::string>(),
                    value[2].get<std::string>(),
                    value[3].get<std::string>(),
                    value[4].get<bool>(),
                    value[5].get<std::int64_t>(),
                    {},
                    {}};
    if (r.name.empty()) return std::nullopt;
    if (value.size() > 7) {
        if (!value[7].is_number_unsigned()) return std::nullopt;
        r.agent_epoch = value[7].get<std::uint64_t>();
    }
    for (std::size_t i = 0; i < list.size(); i += 2) {
        if (!list[i].is_string() || !list[i + 1].is_number_unsigned()) return std::nullopt;
        auto task = wire::TaskId::parse(list[i].get_ref<const std::string&>());
        if (!task) return std::nullopt;
        r.attempts.push_back({*task, list[i + 1].get<std::uint64_t>()});
    }
    return r;
}

std::optional<std::vector<MachineRecord>> parse_assignment_shard(const Json& value) {
    if (!value.is_array()) return std::nullopt;
    std::vector<MachineRecord> out;
    for (const Json& v : value) {
        auto record = parse_machine_record(v);
        if (!record) return std::nullopt;
        out.push_back(std::move(*record));
    }
    return out;
}

Json to_json(const ProvisioningRecord& r) {
    return Json{{"type", r.type}, {"zone", r.zone}, {"spot", r.spot}, {"count", r.count}};
}

std::optional<ProvisioningRecord> parse_provisioning_record(const Json& value) {
    auto type = wire::text(value, "type"), zone = wire::text(value, "zone");
    auto count = wire::count(value, "count");
    if (!type || !zone || !count || *count > 50) return std::nullopt;
    return ProvisioningRecord{*type, *zone, wire::flag(value, "spot").value_or(false),
                              static_cast<int>(*count)};
}

Json to_json(const LeaderRecord& r) {
    return Json{
        {"node", r.node}, {"incarnation", r.incarnation}, {"hold", r.lease_id}, {"stamp", r.refresh_count}};
}

std::optional<LeaderRecord> parse_leader_record(const Json& value) {
    auto node = wire::text(value, "node");
    if (!node) return std::nullopt;
    return LeaderRecord{*node, wire::text(value, "incarnation").value_or(""),
                        wire::count(value, "hold").value_or(0), wire::count(value, "stamp").value_or(0)};
}

}  // namespace barrowrun::state
