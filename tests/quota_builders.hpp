#pragma once
// Test helpers that build quota trees: from the JSON of an operator's file, and random ones.
#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <string>
#include <vector>

#include "config/quotas.hpp"
#include "quota/tree.hpp"

namespace barrowrun::quota {

// Platform teams: `crew` has a limit of 100 CPUs and a guarantee of 20 CPUs, `desk` a limit of 4 GPUs.
inline const std::vector<TeamQuota> platform_teams{
    {"crew", {100, std::nullopt, std::nullopt}, {20, std::nullopt, std::nullopt}},
    {"desk", {std::nullopt, 4, std::nullopt}, {}}};

// Builds a tree from nodes given as the elements of a JSON list. Errors fail the test.
inline TreePtr build_tree(const std::string& nodes, const std::vector<TeamQuota>& teams = platform_teams) {
    auto built = Tree::build(config::parse_quotas_text("{\"nodes\":[" + nodes + "]}").set_entries, teams);
    for (auto& error : built.errors) ADD_FAILURE() << error.str();
    return built.tree;
}

// Returns a random hierarchy of bureaus, teams and projects whose limits and guarantees are consistent.
inline std::vector<QuotaEntry> random_entries(std::mt19937_64& random, int bureau_count, int team_count,
                                              int project_count) {
    auto random_below = [&](int n) { return static_cast<double>(random() % static_cast<std::uint64_t>(n)); };
    std::vector<QuotaEntry> entries;
    for (int bureau_index = 0; bureau_index < bureau_count; ++bureau_index) {
        QuotaEntry bureau{"b" + std::to_string(bureau_index), "", "", {}, {}};
        bureau.guarantee.cpus = 8 + random_below(16);
        if (random_below(2) > 0) bureau.limit.cpus = *bureau.guarantee.cpus + random_below(24);
        entries.push_back(bureau);
        double bureau_remaining = *bureau.guarantee.cpus;
        for (int team_index = 0; team_index < team_count; ++team_index) {
            QuotaEntry team{"t" + std::to_string(team_index), bureau.name, "", {}, {}};
            team.guarantee.cpus = std::floor(bureau_remaining * random_below(4) / 8);
            bureau_remaining -= *team.guarantee.cpus;
            if (random_below(3) == 0)
                team.limit.cpus =
                    std::min(*team.guarantee.cpus + 2 + random_below(12), bureau.limit.cpus.value_or(1e9));
            entries.push_back(team);
            double team_remaining = *team.guarantee.cpus;
            for (int project_index = 0; project_index < project_count; ++project_index) {
                QuotaEntry project{
                    "p" + std::to_string(project_index), bureau.name + "/" + team.name, "", {}, {}};
                project.guarantee.cpus = std::floor(team_remaining * random_below(3) / 4);
                team_remaining -= *project.guarantee.cpus;
                entries.push_back(project);
            }
        }
    }
    return entries;
}

}  // namespace barrowrun::quota
