// Answers that may not be older than others: users ask at all nodes within milliseconds.
#include <gtest/gtest.h>

#include "sim/site.hpp"

using namespace barrowrun;
using namespace barrowrun::sim;

// The record of a cancellation, or of an end, is written at once and only the answer is lost: the other nodes
// read it and tell it, so the leader may not tell from memory what was before.
TEST(Answers, ARecordThatOthersReadIsNotContradictedFromTheLeadersMemory) {
    for (const std::string what : {"cancelled", "past/"}) {
        Site site({.seed = 7});
        site.poll_all(1s);
        auto spec = site.job(2, what == "past/" ? 9 : 500);
        site.submit(spec);
        site.run(8s);
        ASSERT_TRUE(site.worker_running(spec.id));
        // The others can't ask the leader, so they read the state service.
        const auto leading = *site.leader();
        for (std::size_t k = 0; k < 2; ++k)
            site.world.cut(site.node_name(leading), site.node_name(site.other(leading, k)), 8s,
                           Fault::Kind::drop);
        site.state().lose_answers(1, 8s, true);
        site.state().lose_only(what);
        if (what == "cancelled") site.cancel(spec.id, leading);
        // Again and again, at each node.
        site.world.every(3ms, [&site, id = spec.id, until = site.world.now() + 8s] {
            for (std::size_t n = 0; n < 3; ++n) site.ask(id, n);
            return site.world.now() < until;
        });
        site.run(20s);
        EXPECT_EQ(site.verdict(0s), "") << what;
        EXPECT_TRUE(site.checker.over(spec.id));
    }
}

TEST(Answers, ASubmissionWhoseAnswerIsLostIsKnownEverywhereAndTakenOnce) {
    Site site({.seed = 8});
    site.close_looks = true;
    site.poll_all(1s);
    site.run(2s);
    site.state().lose_answers(1, 5s, true);
    site.state().lose_only("jobs/");
    for (int i = 0; i < 4; ++i) site.submit(site.job(1, 5));
    site.run(40s);
    EXPECT_EQ(site.verdict(0s), "");
    EXPECT_EQ(site.checker.starts(), 4u);
}

// Jobs that can't run or lack a field are never accepted, whatever the state service does meanwhile.
TEST(Answers, UnsoundJobsAreNeverAcceptedInATrouble) {
    Site site({.seed = 9});
    site.poll_all(1s);
    site.submit(site.job(1, 60));
    site.run(5s);
    site.state().lose_answers(2, 10s, true);
    site.world.every(100ms, [&site, until = site.world.now() + 20s, kind = std::size_t{0}]() mutable {
        site.submit_unsound(kind++);
        return site.world.now() < until;
    });
    site.run(5s);
    site.state().outage(5s);
    site.run(20s);
    EXPECT_EQ(site.verdict(0s), "");
}
