#include "placement/gangs.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace barrowrun::placement::gangs {

std::vector<std::size_t> choose_hosts(const wire::JobSpec& spec, const std::vector<Host>& hosts,
                                      const std::vector<std::string>& all_zones) {
    const auto zones = spec.one_zone ? all_zones : std::vector<std::string>(1);
    std::vector<wire::Resources> available(hosts.size());
    std::vector<std::size_t> tasks_to_add(hosts.size());
    for (auto& zone : zones) {
        std::vector<std::size_t> chosen;
        std::map<std::string, std::uint32_t> tasks_in_zone;
        for (std::size_t host = 0; host < hosts.size(); ++host) {
            available[host] = hosts[host].available;
            tasks_to_add[host] = hosts[host].max_tasks;
        }
        for (std::uint32_t i = 0; i < spec.tasks; ++i) {
            std::optional<std::size_t> best;
            double best_score = 0;
            for (std::size_t host = 0; host < hosts.size(); ++host) {
                if (!zone.empty() && hosts[host].zone != zone) continue;
                if (spec.spread && tasks_in_zone[hosts[host].zone] + 1 > (spec.tasks + 1) / 2) continue;
                if (!spec.need.fits(available[host]) || tasks_to_add[host] == 0) continue;
                const double score = hosts[host].base_score - (available[host].cpus - spec.need.cpus) /
                                                                  std::max(1.0, hosts[host].capacity_cpus);
                if (!best || score > best_score) best = host, best_score = score;
            }
            if (!best) break;
            chosen.push_back(*best);
            available[*best] -= spec.need;
            --tasks_to_add[*best];
            tasks_in_zone[hosts[*best].zone]++;
        }
        if (chosen.size() == spec.tasks) return chosen;
    }
    return {};
}

}  // namespace barrowrun::placement::gangs
