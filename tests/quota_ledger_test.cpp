// Usage by deltas, compared with a plain sum over all that is held.
#include <gtest/gtest.h>

#include <random>

#include "quota/ledger.hpp"
#include "quota_builders.hpp"

using namespace barrowrun;
using namespace barrowrun::quota;

TEST(QuotaLedger, DeltasAgreeWithAPlainSumAndEveryLevelRefuses) {
    std::mt19937_64 random(7);
    for (int trial = 0; trial < 50; ++trial) {
        auto built = Tree::build(random_entries(random, 3, 3, 3), {});
        ASSERT_TRUE(built.tree);
        const auto& t = *built.tree;
        Ledger ledger(built.tree);
        std::vector<std::pair<NodeId, Resources>> held;
        auto used = [&](NodeId n) {
            Resources r;
            for (auto& [a, need] : held)
                if (t.within(a, n)) r += need;
            return r;
        };
        for (int step = 0; step < 400; ++step) {
            auto account = static_cast<NodeId>(random() % t.size());
            Resources need{static_cast<double>(1 + random() % 4), static_cast<double>(random() % 2), 0.1};
            if (random() % 3 == 0 && !held.empty()) {
                auto at = random() % held.size();
                ledger.release(held[at].first, held[at].second);
                held.erase(held.begin() + static_cast<long>(at));
            } else {
                bool fits = true;
                for (NodeId n = account; n != root; n = t.node(n).parent)
                    fits &= used(n).cpus + need.cpus <= t.node(n).limit.cpus + 1e-6;
                ASSERT_EQ(ledger.admits(account, need, 1), fits);
                ASSERT_EQ(ledger.first_exceeded_limit(account, need).has_value(), !fits);
                if (!fits) continue;
                ledger.charge(account, need);
                held.emplace_back(account, need);
            }
        }
        for (NodeId n = 0; n < t.size(); ++n) {
            EXPECT_NEAR(ledger.used(n).cpus, used(n).cpus, 1e-9);
            EXPECT_NEAR(ledger.used(n).mem_gb, used(n).mem_gb, 1e-9);
        }
        for (auto& [a, need] : held) ledger.release(a, need);
        EXPECT_EQ(ledger.used(root).mem_gb, 0) << "no drift is left";
    }
}
