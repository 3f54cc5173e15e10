#include "sim/checker.hpp"

#include <algorithm>

namespace barrowrun::sim {

using namespace std::chrono_literals;

namespace {
// For so long every question about a job may fail before it counts as forgotten.
constexpr std::chrono::seconds longest_silence{75};
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

bool Checker::over(const std::string& id) const {
    auto it = facts_.find(id);
    return it != facts_.end() && (it->second.told_done || it->second.told_cancelled);
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
    const auto& s = *f.spec;
    bool wrong = (s.zone && *s.zone != at.zone) || (at.spot && !s.spot_ok) ||
                 (s.types && std::find(s.types->begin(), s.types->end(), at.type) == s.types->end());
    std::map<std::string, std::set<std::uint32_t>> zones;
    zones[at.zone].insert(a.task.index);
    for (auto& [task, where] : on_) {
        if (task.job != a.task.job) continue;
        for (auto& [machine, numbers] : where)
            if (!numbers.empty()) zones[machines_[machine].zone].insert(task.index);
    }
    if (s.one_zone && zones.size() > 1) wrong = true;
    if (s.spread && zones[at.zone].size() > (s.tasks + 1) / 2) wrong = true;
    if (wrong) breaks("wrong_place", a.task.str() + " starts on " + at.machine + " in " + at.zone);
    places[at.machine].insert(a.number);
    auto& use = team_use_[s.team] += s.need.cpus;
    if (auto it = limits_.team_cpus.find(s.team);
        it != limits_.team_cpus.end() && it->second > 0 && use > it->second + 1e-6)
        breaks("quota", "team " + s.team + " uses more than its limit with " + a.task.str());
}

void Checker::gone(const std::string& machine, const wire::Attempt& a) {
    auto it = on_.find(a.task);
    if (it == on_.end() || !it->second[machine].erase(a.number)) return;
    if (auto* s = spec(a.task.job)) team_use_[s->team] -= s->need.cpus;
}

void Checker::finished(const wire::TaskId& task) {
    facts_[task.job].done.insert(task.index);
}

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
    if (starts_ == 0) breaks("nothing_ran", "no task was started");
}

}  // namespace barrowrun::sim
