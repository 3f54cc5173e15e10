// The loss of reclaim plans, compared with the optimum that a solver finds.
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

// The least loss that makes room for all that the planner made room for, by GLPK: x_u = unit u stops, y_h =
// tasks that find room on host h. Holders keep their guarantees.
double least_loss(const Ledger& ledger, const std::vector<Resources>& rooms,
                  const std::vector<PreemptionCandidate>& units, const ReclaimRequest& want,
                  std::size_t tasks) {
    const auto& t = ledger.tree();
    glp_term_out(GLP_OFF);
    glp_prob* p = glp_create_prob();
    glp_set_obj_dir(p, GLP_MIN);
    const int u = static_cast<int>(units.size()), h = static_cast<int>(rooms.size());
    glp_add_cols(p, u + h);
    for (int i = 0; i < u; ++i) {
        glp_set_col_kind(p, i + 1, GLP_BV);
        glp_set_obj_coef(p, i + 1, units[static_cast<std::size_t>(i)].loss);
    }
    for (int j = 0; j < h; ++j) {
        glp_set_col_kind(p, u + j + 1, GLP_IV);
        glp_set_col_bnds(p, u + j + 1, GLP_DB, 0, std::max<double>(1, static_cast<double>(tasks)));
    }
    auto row = [&](const std::vector<double>& coefficients, int type, double bound) {
        int r = glp_add_rows(p, 1);
        std::vector<int> at{0};
        std::vector<double> value{0};
        for (std::size_t i = 0; i < coefficients.size(); ++i)
            if (coefficients[i] != 0) at.push_back(static_cast<int>(i) + 1), value.push_back(coefficients[i]);
        glp_set_mat_row(p, r, static_cast<int>(at.size()) - 1, at.data(), value.data());
        glp_set_row_bnds(p, r, type, bound, bound);
    };
    const auto columns = static_cast<std::size_t>(u + h);
    for (std::size_t j = 0; j < rooms.size(); ++j) {
        std::vector<double> c(columns);
        c[static_cast<std::size_t>(u) + j] = want.need.cpus;
        for (std::size_t i = 0; i < units.size(); ++i)
            for (auto& part : units[i].parts)
                if (part.host == j) c[i] -= part.need.cpus;
        row(c, GLP_UP, rooms[j].cpus);
    }
    std::vector<double> all(columns);
    for (std::size_t j = 0; j < rooms.size(); ++j) all[static_cast<std::size_t>(u) + j] = 1;
    row(all, GLP_LO, static_cast<double>(tasks));
    for (NodeId n = 1; n < t.size(); ++n) {
        if (!t.node(n).has_guarantee() || t.within(want.account, n)) continue;
        std::vector<double> c(columns);
        bool any = false;
        for (std::size_t i = 0; i < units.size(); ++i)
            if (t.within(units[i].account, n)) c[i] = units[i].need().cpus, any = true;
        if (any) row(c, GLP_UP, std::max(0.0, ledger.used(n).cpus - t.node(n).guarantee.cpus));
    }
    glp_iocp options;
    glp_init_iocp(&options);
    options.presolve = GLP_ON;
    double best = -1;
    if (glp_intopt(p, &options) == 0 && glp_mip_status(p) == GLP_OPT) best = glp_mip_obj_val(p);
    glp_delete_prob(p);
    return best;
}

}  // namespace

TEST(QuotaReclaim, LossIsCloseToTheLeastOnThousandsOfSmallInstances) {
    std::mt19937_64 random(20261201);
    auto pick = [&](std::uint64_t n) { return static_cast<double>(random() % n); };
    std::size_t solved = 0, optimal = 0;
    double worst = 1, sum = 0;
    std::vector<double> ratios;
    for (int instance = 0; instance < 2000; ++instance) {
        // One level, so that all are equally near: the needy one and up to four that hold what there is.
        std::vector<QuotaEntry> lines{{"needy", "", "", {}, {}}};
        lines[0].guarantee.cpus = 40;
        const auto others = 1 + random() % 4;
        for (std::uint64_t k = 0; k < others; ++k) {
            lines.push_back({"h" + std::to_string(k), "", "", {}, {}});
            lines.back().guarantee.cpus = pick(6);
        }
        auto t = Tree::build(lines, {}).tree;
        Ledger ledger(t);
        const auto hosts = static_cast<std::uint32_t>(1 + random() % 5);
        std::vector<Resources> rooms(hosts);
        std::vector<PreemptionCandidate> units;
        for (std::uint32_t h = 0; h < hosts; ++h) {
            double room = 8;
            for (auto n = random() % 6; n > 0 && room > 0; --n) {
                double cpus = std::min(room, 1 + pick(4));
                auto account = static_cast<NodeId>(2 + random() % others);
                units.push_back({{{h, {cpus, 0, 0}}}, account, 1 + pick(40), pick(2) > 0});
                ledger.charge(account, {cpus, 0, 0});
                room -= cpus;
            }
            // Some of it is taken by what can't yield, or is the needy one's own.
            rooms[h].cpus = pick(2) > 0 ? 0 : room;
        }
        // A gang across two hosts.
        if (hosts > 1 && pick(3) == 0) {
            units.push_back({{{0, {1, 0, 0}}, {1, {1, 0, 0}}}, 2, 2 + pick(40), false});
            for (int i = 0; i < 2; ++i) ledger.charge(2, {1, 0, 0});
        }
        ReclaimRequest want{1, {1 + pick(5), 0, 0}, static_cast<std::uint32_t>(1 + random() % 4)};
        auto plan = plan_guarantee_reclaim(ledger, rooms, units, want);
        // Valid: what stops leaves the room that is promised, and nobody below a guarantee.
        auto left = rooms;
        Ledger after = ledger;
        std::set<std::size_t> once(plan.victims.begin(), plan.victims.end());
        ASSERT_EQ(once.size(), plan.victims.size());
        for (auto u : plan.victims)
            for (auto& part : units[u].parts)
                left[part.host] += part.need, after.release(units[u].account, part.need);
        for (auto h : plan.task_hosts) left[h] -= want.need;
        for (auto& r : left) ASSERT_GE(r.cpus, -1e-9);
        for (NodeId n = 2; n < t->size(); ++n)
            ASSERT_GE(after.used(n).cpus, std::min(ledger.used(n).cpus, t->node(n).guarantee.cpus) - 1e-9);
        ASSERT_LE(plan.task_hosts.size(), want.tasks);
        if (plan.task_hosts.empty()) {
            EXPECT_LT(least_loss(ledger, rooms, units, want, 1), 0)
                << "a solver finds room for one, instance " << instance;
            continue;
        }
        double best = least_loss(ledger, rooms, units, want, plan.task_hosts.size());
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
    std::printf("%zu solved, %.1f%% at the least loss, mean %.4f, 99th %.3f, worst %.3f\n", solved,
                100.0 * static_cast<double>(optimal) / static_cast<double>(solved),
                sum / static_cast<double>(solved), ratios[ratios.size() * 99 / 100], worst);
    EXPECT_GT(solved, 800u);
    EXPECT_LE(worst, 1.25);
}
