#include "sim/checker.hpp"

#include <algorithm>

namespace barrowrun::sim {

using namespace std::chrono_literals;

namespace {
// For so long every question about a job may fail before it counts as forgotten.
constexpr std::chrono::seconds longest_silence{75};
// For so long a task may wait, once the troubles are over, while a machine that fits has room.
constexpr std::chrono::seconds longest_wait{90};
// By then a class's largest jobs have to begin; younger ones don't count for what is served, either.
constexpr std::chrono::minutes latest_begin{4};
std::string at_s(Nanos t) {
    return std::to_string(static_cast<double>(t.count() / 1'000'000) / 1000).substr(0, 7) + " s";
}
}  // namespace

void Checker::breaks(const std::string& rule, const std::string& what) {
    if (!said_.insert(rule + what).second) return;
    broken_.push_back(rule + ": " + what + " at " + at_s(Present::now));
}

bool Checker::broke(const std::string& rule) const {
    return std::any_of(broken_.begin(), broken_.end(), [&](auto& b) { return b.starts_with(rule + ":"); });
}

void Checker::intend(const wire::JobSpec& spec, bool sound) {
    auto& f = facts_[spec.id];
    f.spec = spec;
    f.sound = sound;
}

const wire::JobSpec* Checker::spec(const std::string& id) const {
    auto it = facts_.find(id);
    return it == facts_.end() || !it->second.spec ? nullptr : &*it->second.spec;
}

bool Checker::accepted(const std::string& id) const {
    auto it = facts_.find(id);
    return it != facts_.end() && it->second.accepted.has_value();
}

bool Checker::last_question_failed(const std::string& id) const {
    auto it = facts_.find(id);
    return it != facts_.end() && it->second.unanswered.has_value();
}

std::size_t Checker::done_tasks(const std::string& job) const {
    auto it = facts_.find(job);
    return it == facts_.end() ? 0 : it->second.done.size();
}

bool Checker::over(const std::string& id) const {
    auto it = facts_.find(id);
    return it != facts_.end() && (it->second.told_done || it->second.told_cancelled);
}

void Checker::launched_again(const Where& at, const wire::Attempt& a) {
    ++launched_again_;
    breaks("launched_again", a.task.str() + ", attempt " + std::to_string(a.number) + ", on " + at.machine +
                                 ", where it was reaped");
}

void Checker::started(const Where& at, const wire::Attempt& a) {
    ++starts_;
    machines_[at.machine] = at;
    auto& places = on_[a.task];
    for (auto& [machine, numbers] : places)
        if (machine != at.machine && !numbers.empty())
            breaks("ran_twice", a.task.str() + " starts on " + at.machine + " while it is on " + machine);
    auto& f = facts_[a.task.job];
    if (f.told_cancelled) {
        ++after_cancel_;
        if (Present::now > *f.told_cancelled + limits_.cancel)
            breaks("ran_cancelled", a.task.str() + " starts on " + at.machine + ", told cancelled at " +
                                        at_s(*f.told_cancelled));
    }
    if (!f.spec) return breaks("invented", a.task.str() + " starts and nobody submitted it");
    if (!f.begun) f.begun = Present::now;
    const auto& s = *f.spec;
    bool wrong = !allowed(s, at);
    auto zones = zones_of(a.task.job);
    zones[at.zone].insert(a.task.index);
    if (s.one_zone && zones.size() > 1) wrong = true;
    if (s.spread && zones[at.zone].size() > (s.tasks + 1) / 2) wrong = true;
    if (wrong) breaks("wrong_place", a.task.str() + " starts on " + at.machine + " in " + at.zone);
    places[at.machine].insert(a.number);
    auto& use = team_use_[s.team] += s.need.cpus;
    if (auto it = limits_.team_cpus.find(s.team);
        it != limits_.team_cpus.end() && it->second > 0 && use > it->second + 1e-6)
        breaks("quota", "team " + s.team + " uses more than its limit with " + a.task.str());
}

bool Checker::allowed(const wire::JobSpec& spec, const Where& at) const {
    if (spec.zone && *spec.zone != at.zone) return false;
    if (at.spot && !spec.spot_ok) return false;
    return !spec.types || std::find(spec.types->begin(), spec.types->end(), at.type) != spec.types->end();
}

std::map<std::string, std::set<std::uint32_t>> Checker::zones_of(const std::string& job) const {
    std::map<std::string, std::set<std::uint32_t>> zones;
    for (auto it = on_.lower_bound({job, 0}); it != on_.end() && it->first.job == job; ++it)
        for (auto& [machine, numbers] : it->second)
            if (!numbers.empty()) zones[machines_.at(machine).zone].insert(it->first.index);
    return zones;
}

void Checker::gone(const std::string& machine, const wire::Attempt& a) {
    auto it = on_.find(a.task);
    if (it == on_.end() || !it->second[machine].erase(a.number)) return;
    if (auto* s = spec(a.task.job)) team_use_[s->team] -= s->need.cpus;
}

void Checker::finished(const wire::TaskId& task) {
    auto& f = facts_[task.job];
    const bool fresh = f.done.insert(task.index).second;
    if (!fresh || !f.spec || f.done.size() < f.spec->tasks) return;
    ++jobs_done_;
    if (on_last_task_done) on_last_task_done(task.job);
}

// ---- what people notice ---------------------------------------------------------------------------------

std::size_t Checker::waiting_tasks(const Job& job) const {
    const auto& [id, f] = job;
    if (!f.spec || !f.accepted || f.cancel_sent || f.told_done) return 0;
    std::size_t there = f.done.size();
    for (auto it = on_.lower_bound({id, 0}); it != on_.end() && it->first.job == id; ++it) {
        const bool on_a_machine =
            std::any_of(it->second.begin(), it->second.end(), [](auto& at) { return !at.second.empty(); });
        there += on_a_machine && !f.done.contains(it->first.index);
    }
    return f.spec->tasks - std::min<std::size_t>(there, f.spec->tasks);
}

bool Checker::may_start(const Job& job, const std::vector<Host>& hosts) const {
    const auto& spec = *job.second.spec;
    const bool gang = spec.kind == wire::JobKind::gang;
    auto limit = limits_.team_cpus.find(spec.team);
    auto use = team_use_.find(spec.team);
    const double used = use == team_use_.end() ? 0 : use->second;
    const double asked = spec.need.cpus * (gang ? spec.tasks : 1);
    if (limit != limits_.team_cpus.end() && limit->second > 0 && used + asked > limit->second + 1e-6)
        return false;
    const auto zones = zones_of(job.first);
    std::map<std::string, std::uint32_t> starts;  // by zone: how many could start there
    for (auto host : hosts) {
        if (!allowed(spec, host.where)) continue;
        auto there = zones.find(host.where.zone);
        if (spec.one_zone && !zones.empty() && there == zones.end()) continue;
        const std::size_t here = (there == zones.end() ? 0 : there->second.size()) + starts[host.where.zone];
        if (spec.spread && here + 1 > (spec.tasks + 1) / 2) continue;
        for (; spec.need.fits(host.room); host.room -= spec.need) ++starts[host.where.zone];
    }
    std::uint32_t all = 0, most = 0;
    for (auto& [zone, count] : starts) all += count, most = std::max(most, count);
    return (spec.one_zone ? most : all) >= (gang ? spec.tasks : 1);
}

void Checker::look_for_waiting(const std::vector<Host>& hosts) {
    for (auto& job : facts_) {
        auto& f = job.second;
        if (waiting_tasks(job) == 0 || !may_start(job, hosts)) {
            f.could_run.reset();
            continue;
        }
        if (!f.could_run) f.could_run = Present::now;
        if (Present::now - *f.could_run > longest_wait)
            breaks("left_waiting",
                   job.first + " waits although a machine that fits has room, since " + at_s(*f.could_run));
    }
}

void Checker::check_served() {
    struct Count {
        std::size_t jobs = 0, served = 0;
    };
    std::map<std::string, Count> groups;
    for (auto& [id, f] : facts_) {
        if (!f.accepted || f.cancel_sent || Present::now - *f.accepted < latest_begin) continue;
        for (const auto& group : {"class " + f.spec->job_class, "team " + f.spec->team}) {
            ++groups[group].jobs;
            groups[group].served += f.begun.has_value();
        }
    }
    for (auto& [group, count] : groups)
        if (count.served * 2 < count.jobs) breaks("half_served", "less than half of " + group + " is served");
}

void Checker::check_begun() {
    std::map<std::string, double> largest;  // by class: CPUs of its largest jobs
    auto size = [](const wire::JobSpec& s) { return s.need.cpus * s.tasks; };
    for (auto& [id, f] : facts_)
        if (f.accepted) largest[f.spec->job_class] = std::max(largest[f.spec->job_class], size(*f.spec));
    for (auto& [id, f] : facts_) {
        if (!f.accepted || f.cancel_sent || size(*f.spec) < largest[f.spec->job_class]) continue;
        if (f.begun.value_or(Present::now) - *f.accepted > latest_begin)
            breaks("largest_late", id + ", one of the largest of its class, has not begun in time");
    }
}

// ---- answers --------------------------------------------------------------------------------------------

void Checker::answered(Asked what, const std::string& id, Nanos asked, int status,
                       const std::string& standing) {
    auto& f = facts_[id];
    if (status != 200 && status != 201 && status != 404) {
        if (!f.unanswered) f.unanswered = asked;
    } else {
        f.unanswered.reset();
    }
    const bool submit = what == Asked::submit;
    if (status == 404) {
        if (submit) return;
        // Only an answer to a question after the acceptance was told counts.
        if (f.accepted && asked >= *f.accepted) breaks("forgotten", id + " is answered 404");
        return;
    }
    if (status == 400 || status == 422) {
        if (submit && f.accepted && asked >= *f.accepted)
            breaks("forgotten", "a repeated submission of " + id + " is refused");
        return;
    }
    if (status != 200 && status != 201) return;
    if (!f.spec) return breaks("invented", id + " is answered " + standing + " and nobody submitted it");
    if (submit && !f.sound) breaks("accepted_unsound", id + " is accepted and can never run");
    const bool done = standing == "done", cancelled = standing == "withdrawn";
    // An answer that was asked for after another had come may not be older than that.
    auto earlier = [&](const std::optional<Nanos>& t) { return t && asked >= *t; };
    if (done && f.done.size() < f.spec->tasks) breaks("not_done", id + " is called done");
    if (cancelled && !f.cancel_sent) breaks("went_back", id + " is called cancelled and nobody cancelled it");
    if (cancelled && f.told_done) breaks("went_back", id + " was called done and is called cancelled");
    if (done && f.told_cancelled) breaks("went_back", id + " was called cancelled and is called done");
    if (!done && !cancelled && (earlier(f.told_done) || earlier(f.told_cancelled)))
        breaks("went_back", id + " was called over and is called " + standing);
    if (!f.accepted) f.accepted = Present::now;
    if (done && !f.told_done) f.told_done = Present::now;
    if (cancelled && !f.told_cancelled) f.told_cancelled = Present::now, ++confirmed_;
}

void Checker::look() {
    for (auto& [task, where] : on_) {
        auto& f = facts_[task.job];
        if (!f.told_cancelled || Present::now <= *f.told_cancelled + limits_.cancel) continue;
        for (auto& [machine, numbers] : where)
            if (!numbers.empty())
                breaks("ran_cancelled",
                       task.str() + " is on " + machine + ", told cancelled at " + at_s(*f.told_cancelled));
    }
}

void Checker::end(Nanos troubles_over) {
    look();
    for (auto& [id, f] : facts_) {
        if (!f.accepted) continue;
        if (f.unanswered && Present::now - std::max(*f.unanswered, troubles_over) > longest_silence)
            breaks("forgotten", "no question about " + id + " is answered");
    }
    check_served();
    check_begun();
    if (starts_ == 0) breaks("nothing_ran", "no task was started");
}

}  // namespace barrowrun::sim
