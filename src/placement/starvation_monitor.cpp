#include "placement/starvation_monitor.hpp"

#include <algorithm>
#include <cmath>

namespace barrowrun::placement {

double StarvationMonitor::Group::share() const {
    const double total = job_count();
    return total > 0 ? (served + active_served) / total : 1.0;
}

StarvationMonitor::Group* StarvationMonitor::find_or_add_group(const std::string& name) {
    if (auto it = groups_.find(name); it != groups_.end()) return &it->second;
    if (groups_.size() >= thresholds_.max_groups) {
        // Evicts the group with the fewest jobs, and only if it has too few to be judged: a user who invents
        // class names can't evict the groups that matter.
        auto smallest = std::min_element(groups_.begin(), groups_.end(), [](auto& x, auto& y) {
            return x.second.job_count() < y.second.job_count();
        });
        if (smallest->second.job_count() >= thresholds_.min_jobs) return nullptr;
        groups_.erase(smallest);
    }
    return &groups_[name];
}

void StarvationMonitor::record_finished_job(const std::string& job_class, const std::string& team,
                                            bool served) {
    for (auto& name : {"class " + job_class, "team " + team})
        if (Group* g = find_or_add_group(name)) (served ? g->served : g->missed) += 1;
}

void StarvationMonitor::begin_pass(TimePoint now) {
    const double half_lives = last_decay_ == TimePoint{} ? 0
                                                         : Seconds(now - last_decay_).count() /
                                                               Seconds(thresholds_.half_life).count();
    last_decay_ = now;
    const double decay_factor = std::exp2(-half_lives);
    for (auto& [name, g] : groups_) {
        g.served *= decay_factor;
        g.missed *= decay_factor;
        g.active_served = g.active_overdue = 0;
    }
}

void StarvationMonitor::observe(const std::string& job_class, const std::string& team, bool served) {
    for (auto& name : {"class " + job_class, "team " + team})
        if (Group* g = find_or_add_group(name)) (served ? g->active_served : g->active_overdue) += 1;
}

std::vector<StarvationMonitor::Finding> StarvationMonitor::end_pass(TimePoint now) {
    std::vector<Finding> findings;
    for (auto it = groups_.begin(); it != groups_.end();) {
        Group& g = it->second;
        if (g.job_count() < 0.01) {
            it = groups_.erase(it);
            continue;
        }
        const double share = g.share();
        State state = g.state;
        // A group is healthy again only well above the at-risk threshold: otherwise its state would change
        // with every job.
        if (g.job_count() < thresholds_.min_jobs || share >= thresholds_.healthy_from)
            state = State::healthy;
        else if (share < thresholds_.starved_below)
            state = State::starved;
        else if (share < thresholds_.at_risk_below || state != State::healthy)
            state = State::at_risk;
        const bool due = state != State::healthy && now - g.last_reported >= thresholds_.repeat_interval;
        if (state != g.state || due) {
            findings.push_back({it->first, state, share, g.active_overdue});
            g.last_reported = now;
        }
        g.state = state;
        ++it;
    }
    std::sort(findings.begin(), findings.end(), [](auto& x, auto& y) { return x.group < y.group; });
    return findings;
}

double StarvationMonitor::share(const std::string& name) const {
    auto it = groups_.find(name);
    return it == groups_.end() ? 1.0 : it->second.share();
}

}  // namespace barrowrun::placement
