// Tests of quota::Ledger against a reference that sums over all held resources.
#include <gtest/gtest.h>

#include <random>

#include "quota/ledger.hpp"
#include "quota_builders.hpp"

using namespace barrowrun;
using namespace barrowrun::quota;

TEST(QuotaLedger, IncrementalUsageEqualsTheSumOfChargesAndTheLimitsOfAllAncestorsHold) {
    std::mt19937_64 random(7);
    for (int trial = 0; trial < 50; ++trial) {
        auto built = Tree::build(random_entries(random, 3, 3, 3), {});
        ASSERT_TRUE(built.tree);
        const auto& tree = *built.tree;
        Ledger ledger(built.tree);
        std::vector<std::pair<NodeId, Resources>> held;
        auto expected_usage = [&](NodeId n) {
            Resources sum;
            for (auto& [holder, need] : held)
                if (tree.within(holder, n)) sum += need;
            return sum;
        };
        for (int step = 0; step < 400; ++step) {
            auto account = static_cast<NodeId>(random() % tree.size());
            Resources need{static_cast<double>(1 + random() % 4), static_cast<double>(random() % 2), 0.1};
            if (random() % 3 == 0 && !held.empty()) {
                auto index = random() % held.size();
                ledger.release(held[index].first, held[index].second);
                held.erase(held.begin() + static_cast<long>(index));
            } else {
                bool fits = true;
                for (NodeId n = account; n != root; n = tree.node(n).parent)
                    fits &= expected_usage(n).cpus + need.cpus <= tree.node(n).limit.cpus + 1e-6;
                ASSERT_EQ(ledger.admits(account, need, 1), fits);
                ASSERT_EQ(ledger.first_exceeded_limit(account, need).has_value(), !fits);
                if (!fits) continue;
                ledger.charge(account, need);
                held.emplace_back(account, need);
            }
        }
        for (NodeId n = 0; n < tree.size(); ++n) {
            EXPECT_NEAR(ledger.used(n).cpus, expected_usage(n).cpus, 1e-9);
            EXPECT_NEAR(ledger.used(n).mem_gb, expected_usage(n).mem_gb, 1e-9);
        }
        for (auto& [holder, need] : held) ledger.release(holder, need);
        EXPECT_EQ(ledger.used(root).mem_gb, 0) << "usage is reset to zero once no task is charged";
    }
}
