#include "placement/starvation_monitor.hpp"

#include <algorithm>
#include <cmath>

namespace barrowrun::placement {

double StarvationMonitor::Group::share() const {
    const double all = jobs();
    return all > 0 ? (served + served_now) / all : 1.0;
}

StarvationMonitor::Group* StarvationMonitor::group(const std::string& name) {
    if (auto it = groups_.find(name); it != groups_.end()) return &it->second;
    if (groups_.size() >= thresholds_.most_groups) {
        // The one of which least is known gives way, so that a user who makes up names can't crowd out those
        // that matter.
        auto least = std::min_element(groups_.begin(), groups_.end(),
                                      [](auto& x, auto& y) { return x.second.jobs() < y.second.jobs(); });
        if (least->second.jobs() >= thresholds_.least_jobs) return nullptr;
        groups_.erase(least);
    }
    return &groups_[name];
}

void StarvationMonitor::job_over(const std::string& job_class, const std::string& team, bool served) {
    for (auto& name : {"class " + job_class, "team " + team})
        if (Group* g = group(name)) (served ? g->served : g->missed) += 1;
}

void StarvationMonitor::begin_pass(TimePoint now) {
    const double halves = decayed_ == TimePoint{}
                              ? 0
                              : Seconds(now - decayed_).count() / Seconds(thresholds_.half_life).count();
    decayed_ = now;
    const double keep = std::exp2(-halves);
    for (auto& [name, g] : groups_) {
        g.served *= keep;
        g.missed *= keep;
        g.served_now = g.late_now = 0;
    }
}

void StarvationMonitor::observe(const std::string& job_class, const std::string& team, bool served) {
    for (auto& name : {"class " + job_class, "team " + team})
        if (Group* g = group(name)) (served ? g->served_now : g->late_now) += 1;
}

std::vector<StarvationMonitor::Finding> StarvationMonitor::end_pass(TimePoint now) {
    std::vector<Finding> out;
    for (auto it = groups_.begin(); it != groups_.end();) {
        Group& g = it->second;
        if (g.jobs() < 0.01) {
            it = groups_.erase(it);
            continue;
        }
        const double share = g.share();
        State state = g.state;
        // Out of danger only well above its edge: else the line would come and go with every job.
        if (g.jobs() < thresholds_.least_jobs || share >= thresholds_.fine)
            state = State::healthy;
        else if (share < thresholds_.floor)
            state = State::starved;
        else if (share < thresholds_.danger || state != State::healthy)
            state = State::at_risk;
        const bool due = state != State::healthy && now - g.said >= thresholds_.repeat;
        if (state != g.state || due) {
            out.push_back({it->first, state, share, g.late_now});
            g.said = now;
        }
        g.state = state;
        ++it;
    }
    std::sort(out.begin(), out.end(), [](auto& x, auto& y) { return x.group < y.group; });
    return out;
}

double StarvationMonitor::share(const std::string& name) const {
    auto it = groups_.find(name);
    return it == groups_.end() ? 1.0 : it->second.share();
}

}  // namespace barrowrun::placement
