#include "placement/gangs.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace barrowrun::placement::gangs {

std::vector<std::size_t> choose(const wire::JobSpec& spec, const std::vector<Host>& hosts,
                                const std::vector<std::string>& all_zones) {
    const auto zones = spec.one_zone ? all_zones : std::vector<std::string>(1);
    std::vector<wire::Resources> room(hosts.size());
    for (auto& zone : zones) {
        std::vector<std::size_t> where;
        std::map<std::string, std::uint32_t> in_zone;
        for (std::size_t h = 0; h < hosts.size(); ++h) room[h] = hosts[h].room;
        for (std::uint32_t i = 0; i < spec.tasks; ++i) {
            std::optional<std::size_t> best;
            double best_score = 0;
            for (std::size_t h = 0; h < hosts.size(); ++h) {
                if (!zone.empty() && hosts[h].zone != zone) continue;
                if (spec.spread && in_zone[hosts[h].zone] + 1 > (spec.tasks + 1) / 2) continue;
                if (!spec.need.fits(room[h])) continue;
                const double score =
                    hosts[h].merit - (room[h].cpus - spec.need.cpus) / std::max(1.0, hosts[h].capacity_cpus);
                if (!best || score > best_score) best = h, best_score = score;
            }
            if (!best) break;
            where.push_back(*best);
            room[*best] -= spec.need;
            in_zone[hosts[*best].zone]++;
        }
        if (where.size() == spec.tasks) return where;
    }
    return {};
}

}  // namespace barrowrun::placement::gangs
