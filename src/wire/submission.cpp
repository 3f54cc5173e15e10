#include "wire/submission.hpp"

#include <algorithm>
#include <string_view>

namespace barrowrun::wire {
namespace {

template <class E>
struct Word {
    const char* word;
    E value;
};
constexpr Word<JobKind> job_kind_names[] = {
    {"sweep", JobKind::array}, {"gang", JobKind::gang}, {"daemon", JobKind::service}};
constexpr Word<Priority> priority_names[] = {{"production", Priority::production},
                                             {"urgent", Priority::high},
                                             {"normal", Priority::normal},
                                             {"low", Priority::low}};
constexpr Word<JobState> job_state_names[] = {{"queued", JobState::queued},
                                              {"running", JobState::running},
                                              {"done", JobState::done},
                                              {"withdrawn", JobState::cancelled},
                                              {"failed", JobState::failed}};

constexpr std::string_view known_fields[] = {
    "name_id", "docket",    "crew",     "sort",   "rank",    "parcels",    "vcpus",  "cards",
    "mem_gb",  "cargo",     "image_gb", "builds", "yard",    "same_place", "spread", "loaners",
    "haul_s",  "waymark_s", "stow_s",   "due_s",  "retries", "project"};

template <class E, std::size_t N>
std::optional<E> lookup(const Word<E> (&table)[N], const std::string& word) {
    for (auto& w : table)
        if (word == w.word) return w.value;
    return std::nullopt;
}

template <class E, std::size_t N>
const char* word_for(const Word<E> (&table)[N], E value) {
    for (auto& w : table)
        if (w.value == value) return w.word;
    return "";
}

// A field that a record can't hold is ignored like any other unknown field.
Json unknown_fields_to_keep(const Json& body) {
    Json kept;
    for (auto& [key, value] : body.items()) {
        const bool known =
            std::find(std::begin(known_fields), std::end(known_fields), key) != std::end(known_fields);
        if (!known && is_storable(Json(key), 0) && is_storable(value, max_extra_depth)) kept[key] = value;
    }
    if (!kept.is_null() && text_size(kept) > max_extra) return nullptr;
    return kept;
}

}  // namespace

bool valid_job_id(std::string_view id) {
    if (id.size() < 4 || id.size() > 21 || id.substr(0, 3) != "wk-") return false;
    return std::all_of(id.begin() + 3, id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::variant<JobSpec, std::string> parse_submission(const Json& body) {
    using std::string;
    if (!body.is_object()) return string("the body is not a map");
    JobSpec s;
    string wrong;
    auto bad = [&](const char* field) {
        if (wrong.empty()) wrong = string("missing or invalid field: ") + field;
    };
    auto take_text = [&](const char* field, string& out) {
        auto v = text(body, field);
        if (!v || v->empty() || v->size() > 200)
            bad(field);
        else
            out = *v;
    };
    auto take_amount = [&](const char* field, double& out) {
        auto v = amount(body, field);
        if (!v || *v < 0 || *v > 1e12)
            bad(field);
        else
            out = *v;
    };
    auto take_flag = [&](const char* field, bool& out) {
        auto v = flag(body, field);
        if (!v)
            bad(field);
        else
            out = *v;
    };
    auto id = text(body, "name_id");
    if (!id || !valid_job_id(*id))
        bad("name_id");
    else
        s.id = *id;
    take_text("docket", s.job_class);
    take_text("crew", s.team);
    if (auto v = lookup(job_kind_names, text(body, "sort").value_or("")))
        s.kind = *v;
    else
        bad("sort");
    if (auto v = lookup(priority_names, text(body, "rank").value_or("")))
        s.priority = *v;
    else
        bad("rank");
    if (auto n = count(body, "parcels"); n && *n >= 1 && *n <= max_tasks)
        s.tasks = static_cast<std::uint32_t>(*n);
    else
        bad("parcels");
    take_amount("vcpus", s.need.cpus);
    take_amount("cards", s.need.gpus);
    take_amount("mem_gb", s.need.mem_gb);
    take_text("cargo", s.image);
    take_amount("image_gb", s.image_gb);
    if (const Json* types = find(body, "builds")) {
        if (!types->is_array()) {
            bad("builds");
        } else {
            s.types.emplace();
            for (const Json& t : *types) {
                if (!t.is_string())
                    bad("builds");
                else
                    s.types->push_back(t.get<string>());
            }
        }
    }
    if (find(body, "yard")) {
        string zone;
        take_text("yard", zone);
        s.zone = zone;
    }
    take_flag("same_place", s.one_zone);
    take_flag("spread", s.spread);
    take_flag("loaners", s.spot_ok);
    take_amount("haul_s", s.estimate_s);
    take_amount("waymark_s", s.checkpoint_s);
    take_amount("stow_s", s.save_s);
    if (find(body, "due_s")) {
        double due = 0;
        take_amount("due_s", due);
        s.deadline_s = due;
    }
    if (find(body, "retries")) {
        auto n = count(body, "retries");
        if (!n || *n > max_retries)
            bad("retries");
        else
            s.retries = static_cast<std::uint32_t>(*n);
    }
    if (find(body, "project")) take_text("project", s.project);
    if (!wrong.empty()) return wrong;
    s.extra = unknown_fields_to_keep(body);
    return s;
}

Json submission_json(const JobSpec& s) {
    Json out{{"name_id", s.id},
             {"docket", s.job_class},
             {"crew", s.team},
             {"sort", word_for(job_kind_names, s.kind)},
             {"rank", word_for(priority_names, s.priority)},
             {"parcels", s.tasks},
             {"vcpus", s.need.cpus},
             {"cards", s.need.gpus},
             {"mem_gb", s.need.mem_gb},
             {"cargo", s.image},
             {"image_gb", s.image_gb},
             {"same_place", s.one_zone},
             {"spread", s.spread},
             {"loaners", s.spot_ok},
             {"haul_s", s.estimate_s},
             {"waymark_s", s.checkpoint_s},
             {"stow_s", s.save_s}};
    if (s.types) out["builds"] = *s.types;
    if (s.zone) out["yard"] = *s.zone;
    if (s.deadline_s) out["due_s"] = *s.deadline_s;
    if (s.retries) out["retries"] = *s.retries;
    if (!s.project.empty()) out["project"] = s.project;
    if (s.extra.is_object()) out.insert(s.extra.begin(), s.extra.end());
    return out;
}

std::optional<Priority> priority_of(const std::string& word) {
    return lookup(priority_names, word);
}

const char* job_state_name(JobState s) {
    return word_for(job_state_names, s);
}
std::optional<JobState> parse_job_state(const std::string& word) {
    return lookup(job_state_names, word);
}

Json status_json(const JobStatus& s) {
    Json out{
        {"name_id", s.id}, {"standing", job_state_name(s.state)}, {"done", s.done}, {"running", s.running}};
    if (s.errors) out["errors"] = error_count_json(*s.errors);
    return out;
}

std::optional<JobStatus> parse_status(const Json& body) {
    auto id = text(body, "name_id");
    auto job_state = parse_job_state(text(body, "standing").value_or(""));
    if (!id || !job_state) return std::nullopt;
    JobStatus s{*id, *job_state, count(body, "done").value_or(0), count(body, "running").value_or(0), {}};
    if (const Json* e = find(body, "errors")) s.errors = parse_error_count(*e);
    return s;
}

Json error_count_json(const ErrorCount& c) {
    Json out{{"count", c.errors}};
    if (c.last)
        out["last"] = {{"parcel", c.last->task}, {"barrow", c.last->machine}, {"try", c.last->attempt}};
    return out;
}

std::optional<ErrorCount> parse_error_count(const Json& value) {
    auto n = count(value, "count");
    if (!n) return std::nullopt;
    ErrorCount c{*n, std::nullopt};
    if (const Json* last = find(value, "last"))
        c.last = Failure{text(*last, "parcel").value_or(""), text(*last, "barrow").value_or(""),
                         count(*last, "try").value_or(0)};
    return c;
}

Json accepted_json(const std::string& id, JobState s) {
    return Json{{"name_id", id}, {"standing", job_state_name(s)}};
}

}  // namespace barrowrun::wire
