#pragma once
// Builders shared by the tests of quotas: trees from the JSON of an operator's file, and random trees.
#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <string>
#include <vector>

#include "config/quotas.hpp"
#include "quota/tree.hpp"

namespace barrowrun::quota {

// The platform of these tests: `crew` may use 100 CPUs and is promised 20, `desk` may use 4 GPUs.
inline const std::vector<TeamQuota> platform_teams{
    {"crew", {100, std::nullopt, std::nullopt}, {20, std::nullopt, std::nullopt}},
    {"desk", {std::nullopt, 4, std::nullopt}, {}}};

// The tree of the nodes, given as the elements of a JSON list. Errors fail the test.
inline TreePtr build_tree(const std::string& nodes, const std::vector<TeamQuota>& teams = platform_teams) {
    auto built = Tree::build(config::parse_quotas_text("{\"nodes\":[" + nodes + "]}").set_entries, teams);
    for (auto& error : built.errors) ADD_FAILURE() << error.str();
    return built.tree;
}

// A random tree of projects below teams below bureaus; limits and guarantees nest.
inline std::vector<QuotaEntry> random_entries(std::mt19937_64& random, int bureaus, int teams, int projects) {
    auto pick = [&](int n) { return static_cast<double>(random() % static_cast<std::uint64_t>(n)); };
    std::vector<QuotaEntry> out;
    for (int b = 0; b < bureaus; ++b) {
        QuotaEntry bureau{"b" + std::to_string(b), "", "", {}, {}};
        bureau.guarantee.cpus = 8 + pick(16);
        if (pick(2) > 0) bureau.limit.cpus = *bureau.guarantee.cpus + pick(24);
        out.push_back(bureau);
        double left = *bureau.guarantee.cpus;
        for (int t = 0; t < teams; ++t) {
            QuotaEntry team{"t" + std::to_string(t), bureau.name, "", {}, {}};
            team.guarantee.cpus = std::floor(left * pick(4) / 8);
            left -= *team.guarantee.cpus;
            if (pick(3) == 0)
                team.limit.cpus =
                    std::min(*team.guarantee.cpus + 2 + pick(12), bureau.limit.cpus.value_or(1e9));
            out.push_back(team);
            double rest = *team.guarantee.cpus;
            for (int p = 0; p < projects; ++p) {
                QuotaEntry project{"p" + std::to_string(p), bureau.name + "/" + team.name, "", {}, {}};
                project.guarantee.cpus = std::floor(rest * pick(3) / 4);
                rest -= *project.guarantee.cpus;
                out.push_back(project);
            }
        }
    }
    return out;
}

}  // namespace barrowrun::quota
