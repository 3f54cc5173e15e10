// Compares the loss of reclaim plans with the optimum found by the GLPK solver.
#include <glpk.h>
#include <gtest/gtest.h>

#include <cstdio>
#include <random>
#include <set>

#include "quota/reclaim.hpp"
#include "quota/tree.hpp"

using namespace barrowrun;
using namespace barrowrun::quota;

namespace {

// Returns the least loss that makes room for `tasks` tasks, found by GLPK; negative if there is no solution.
// The variables are x_c = 1 if candidate c is preempted, and y_h = the number of tasks placed on host h. The
// holders keep their guarantees.
double least_loss(const Ledger& ledger, const std::vector<Resources>& free_capacity,
                  const std::vector<PreemptionCandidate>& candidates, const ReclaimRequest& request,
                  std::size_t tasks) {
    const auto& tree = ledger.tree();
    glp_term_out(GLP_OFF);
    glp_prob* problem = glp_create_prob();
    glp_set_obj_dir(problem, GLP_MIN);
    const int candidate_count = static_cast<int>(candidates.size()),
              host_count = static_cast<int>(free_capacity.size());
    glp_add_cols(problem, candidate_count + host_count);
    for (int i = 0; i < candidate_count; ++i) {
        glp_set_col_kind(problem, i + 1, GLP_BV);
        glp_set_obj_coef(problem, i + 1, candidates[static_cast<std::size_t>(i)].loss);
    }
    for (int j = 0; j < host_count; ++j) {
        glp_set_col_kind(problem, candidate_count + j + 1, GLP_IV);
        glp_set_col_bnds(problem, candidate_count + j + 1, GLP_DB, 0,
                         std::max<double>(1, static_cast<double>(tasks)));
    }
    auto row = [&](const std::vector<double>& coefficients, int type, double bound) {
        int row_index = glp_add_rows(problem, 1);
        std::vector<int> indices{0};
        std::vector<double> values{0};
        for (std::size_t i = 0; i < coefficients.size(); ++i)
            if (coefficients[i] != 0)
                indices.push_back(static_cast<int>(i) + 1), values.push_back(coefficients[i]);
        glp_set_mat_row(problem, row_index, static_cast<int>(indices.size()) - 1, indices.data(),
                        values.data());
        glp_set_row_bnds(problem, row_index, type, bound, bound);
    };
    const auto columns = static_cast<std::size_t>(candidate_count + host_count);
    for (std::size_t j = 0; j < free_capacity.size(); ++j) {
        std::vector<double> row_coefficients(columns);
        row_coefficients[static_cast<std::size_t>(candidate_count) + j] = request.need.cpus;
        for (std::size_t i = 0; i < candidates.size(); ++i)
            for (auto& part : candidates[i].parts)
                if (part.host == j) row_coefficients[i] -= part.need.cpus;
        row(row_coefficients, GLP_UP, free_capacity[j].cpus);
    }
    std::vector<double> placed_tasks(columns);
    for (std::size_t j = 0; j < free_capacity.size(); ++j)
        placed_tasks[static_cast<std::size_t>(candidate_count) + j] = 1;
    row(placed_tasks, GLP_LO, static_cast<double>(tasks));
    for (NodeId n = 1; n < tree.size(); ++n) {
        if (!tree.node(n).has_guarantee() || tree.within(request.account, n)) continue;
        std::vector<double> row_coefficients(columns);
        bool has_candidates = false;
        for (std::size_t i = 0; i < candidates.size(); ++i)
            if (tree.within(candidates[i].account, n))
                row_coefficients[i] = candidates[i].need().cpus, has_candidates = true;
        if (has_candidates)
            row(row_coefficients, GLP_UP, std::max(0.0, ledger.used(n).cpus - tree.node(n).guarantee.cpus));
    }
    glp_iocp options;
    glp_init_iocp(&options);
    options.presolve = GLP_ON;
    double best = -1;
    if (glp_intopt(problem, &options) == 0 && glp_mip_status(problem) == GLP_OPT)
        best = glp_mip_obj_val(problem);
    glp_delete_prob(problem);
    return best;
}

}  // namespace

TEST(QuotaReclaim, LossIsAtMostAQuarterAboveTheOptimumOnRandomSmallInstances) {
    std::mt19937_64 random(20261201);
    auto random_below = [&](std::uint64_t n) { return static_cast<double>(random() % n); };
    std::size_t solved = 0, optimal = 0;
    double worst = 1, sum = 0;
    std::vector<double> ratios;
    for (int instance = 0; instance < 2000; ++instance) {
        // All nodes are at the top level, so that all candidates are equally near: the node that reclaims and
        // up to four nodes that hold the resources.
        std::vector<QuotaEntry> entries{{"reclaiming", "", "", {}, {}}};
        entries[0].guarantee.cpus = 40;
        const auto holder_count = 1 + random() % 4;
        for (std::uint64_t k = 0; k < holder_count; ++k) {
            entries.push_back({"h" + std::to_string(k), "", "", {}, {}});
            entries.back().guarantee.cpus = random_below(6);
        }
        auto tree = Tree::build(entries, {}).tree;
        Ledger ledger(tree);
        const auto hosts = static_cast<std::uint32_t>(1 + random() % 5);
        std::vector<Resources> free_capacity(hosts);
        std::vector<PreemptionCandidate> candidates;
        for (std::uint32_t h = 0; h < hosts; ++h) {
            double free_cpus = 8;
            for (auto n = random() % 6; n > 0 && free_cpus > 0; --n) {
                double cpus = std::min(free_cpus, 1 + random_below(4));
                auto account = static_cast<NodeId>(2 + random() % holder_count);
                candidates.push_back(
                    {{{h, {cpus, 0, 0}}}, account, 1 + random_below(40), random_below(2) > 0});
                ledger.charge(account, {cpus, 0, 0});
                free_cpus -= cpus;
            }
            // With zero free capacity, the rest of the host is held by tasks that cannot be preempted or that
            // belong to the reclaiming node.
            free_capacity[h].cpus = random_below(2) > 0 ? 0 : free_cpus;
        }
        // A gang across two hosts.
        if (hosts > 1 && random_below(3) == 0) {
            candidates.push_back({{{0, {1, 0, 0}}, {1, {1, 0, 0}}}, 2, 2 + random_below(40), false});
            for (int i = 0; i < 2; ++i) ledger.charge(2, {1, 0, 0});
        }
        ReclaimRequest request{1, {1 + random_below(5), 0, 0}, static_cast<std::uint32_t>(1 + random() % 4)};
        auto plan = plan_guarantee_reclaim(ledger, free_capacity, candidates, request);
        // The plan is valid: the victims free the capacity that the placed tasks need, and no holder falls
        // below its guarantee.
        auto free_after = free_capacity;
        Ledger ledger_after = ledger;
        std::set<std::size_t> distinct_victims(plan.victims.begin(), plan.victims.end());
        ASSERT_EQ(distinct_victims.size(), plan.victims.size());
        for (auto victim : plan.victims)
            for (auto& part : candidates[victim].parts)
                free_after[part.host] += part.need,
                    ledger_after.release(candidates[victim].account, part.need);
        for (auto h : plan.task_hosts) free_after[h] -= request.need;
        for (auto& r : free_after) ASSERT_GE(r.cpus, -1e-9);
        for (NodeId n = 2; n < tree->size(); ++n)
            ASSERT_GE(ledger_after.used(n).cpus,
                      std::min(ledger.used(n).cpus, tree->node(n).guarantee.cpus) - 1e-9);
        ASSERT_LE(plan.task_hosts.size(), request.tasks);
        if (plan.task_hosts.empty()) {
            EXPECT_LT(least_loss(ledger, free_capacity, candidates, request, 1), 0)
                << "the solver finds room for one task, instance " << instance;
            continue;
        }
        double best = least_loss(ledger, free_capacity, candidates, request, plan.task_hosts.size());
        ASSERT_GE(best, 0) << instance;
        ASSERT_LE(best, plan.loss + 1e-6) << instance;
        ++solved;
        double ratio = best > 0 ? plan.loss / best : plan.loss > 0 ? 99 : 1;
        ratios.push_back(ratio);
        optimal += ratio < 1 + 1e-6;
        worst = std::max(worst, ratio);
        sum += ratio;
    }
    std::sort(ratios.begin(), ratios.end());
    std::printf(
        "%zu solved, %.1f%% at the least loss; loss ratio: mean %.4f, 99th percentile %.3f, worst %.3f\n",
        solved, 100.0 * static_cast<double>(optimal) / static_cast<double>(solved),
        sum / static_cast<double>(solved), ratios[ratios.size() * 99 / 100], worst);
    EXPECT_GT(solved, 800u);
    EXPECT_LE(worst, 1.25);
}
