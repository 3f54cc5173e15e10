// Each rule that the checker of simulated sites knows is found by a planted mistake.
#include "sim/checker.hpp"

#include <gtest/gtest.h>

using namespace barrowrun;
using namespace barrowrun::sim;
using namespace std::chrono_literals;

namespace {

struct Planted : testing::Test {
    Checker checker{{24s, {{"crew", 2}}}};
    wire::JobSpec spec;
    Checker::Where one{"n-1", "small", "a", false}, two{"n-2", "small", "b", false};
    Planted() {
        Present::now = 0s;
        spec.id = "wk-000001", spec.team = "crew", spec.tasks = 2, spec.need = {1, 0, 1};
        spec.zone = "a";
        checker.intend(spec);
    }
    wire::Attempt attempt(std::uint32_t index, std::uint64_t number = 1) {
        return {{spec.id, index}, number};
    }
    void told(Checker::Asked what, int status, const std::string& standing = "") {
        Present::now += 10ms;
        checker.answered(what, spec.id, Present::now - 5ms, status, standing);
    }
    void accepted() { told(Checker::Asked::submit, 201, "queued"); }
    void cancelled() {
        checker.cancel_sent(spec.id);
        told(Checker::Asked::cancel, 200, "withdrawn");
    }
};

}  // namespace

TEST_F(Planted, NothingIsBrokenWhereAllIsWell) {
    accepted();
    checker.started(one, attempt(0));
    told(Checker::Asked::status, 200, "running");
    checker.gone("n-1", attempt(0));
    checker.started(one, attempt(0, 2));
    cancelled();
    checker.gone("n-1", attempt(0, 2));
    Present::now += 60s;
    told(Checker::Asked::status, 200, "withdrawn");
    checker.end(0s);
    EXPECT_TRUE(checker.broken().empty()) << checker.broken().front();
}

TEST_F(Planted, RanTwice) {
    checker.started(one, attempt(0));
    checker.started({"n-3", "small", "a", false}, attempt(0, 2));
    EXPECT_TRUE(checker.broke("ran_twice"));
}

TEST_F(Planted, Quota) {
    for (std::uint32_t i = 0; i < 3; ++i) checker.started(one, attempt(i));
    EXPECT_TRUE(checker.broke("quota"));
}

TEST_F(Planted, WrongPlace) {
    checker.started(two, attempt(0));
    EXPECT_TRUE(checker.broke("wrong_place"));
}

TEST_F(Planted, RanCancelledByStayingAndByStarting) {
    accepted();
    checker.started(one, attempt(0));
    cancelled();
    Present::now += 24s;
    checker.look();
    EXPECT_FALSE(checker.broke("ran_cancelled"));
    Present::now += 1s;
    checker.look();
    EXPECT_TRUE(checker.broke("ran_cancelled"));
    checker.gone("n-1", attempt(0));
    const auto before = checker.broken().size();
    checker.started(one, attempt(1));
    EXPECT_GT(checker.broken().size(), before);
    EXPECT_EQ(checker.started_after_cancel(), 1u);
}

TEST_F(Planted, ForgottenBy404ByRefusalAndBySilence) {
    accepted();
    told(Checker::Asked::status, 404);
    EXPECT_EQ(checker.broken().size(), 1u);
    told(Checker::Asked::submit, 422);
    EXPECT_EQ(checker.broken().size(), 2u);
    EXPECT_TRUE(checker.broke("forgotten"));
    Checker silent{{24s, {}}};
    silent.intend(spec);
    silent.answered(Checker::Asked::submit, spec.id, Present::now, 201, "queued");
    silent.started(one, attempt(0));
    silent.answered(Checker::Asked::status, spec.id, Present::now, 503, "");
    Present::now += 76s;
    silent.end(0s);
    EXPECT_TRUE(silent.broke("forgotten"));
}

TEST_F(Planted, Invented) {
    checker.answered(Checker::Asked::status, "wk-000009", 0s, 200, "queued");
    EXPECT_TRUE(checker.broke("invented"));
}

TEST_F(Planted, NotDone) {
    accepted();
    checker.finished({spec.id, 0});
    told(Checker::Asked::status, 200, "done");
    EXPECT_TRUE(checker.broke("not_done"));
}

TEST_F(Planted, WentBack) {
    accepted();
    cancelled();
    // Asked before the confirmation came, so it may be older; asked after it, it may not.
    checker.answered(Checker::Asked::status, spec.id, Present::now - 1ms, 200, "running");
    EXPECT_FALSE(checker.broke("went_back"));
    told(Checker::Asked::status, 200, "running");
    EXPECT_TRUE(checker.broke("went_back"));
}

TEST_F(Planted, CancelledByNobody) {
    accepted();
    told(Checker::Asked::status, 200, "withdrawn");
    EXPECT_TRUE(checker.broke("went_back"));
}

TEST_F(Planted, AcceptedThoughItCanNeverRun) {
    checker.intend(spec, false);
    accepted();
    EXPECT_TRUE(checker.broke("accepted_unsound"));
}

// A job that waits although a machine has room, and what it may be held back by.
struct Waiting : Planted {
    std::vector<Checker::Host> hosts{{{"n-1", "small", "a", false}, {1, 0, 8}}};
    void look_for(Nanos length) {
        for (const auto end = Present::now + length; Present::now < end; Present::now += 5s)
            checker.look_for_waiting(hosts);
    }
};

TEST_F(Waiting, AJobThatCouldRunIsFoundAfterNinetySeconds) {
    accepted();
    look_for(90s);
    EXPECT_FALSE(checker.broke("left_waiting"));
    look_for(10s);
    EXPECT_TRUE(checker.broke("left_waiting"));
}

TEST_F(Waiting, AJobMayBeHeldBackByItsZoneItsSizeOrItsTeam) {
    accepted();
    hosts[0].where.zone = "b";
    look_for(120s);
    hosts[0] = {{"n-1", "small", "a", false}, {0.5, 0, 8}};
    look_for(120s);
    // The team's limit is 2: another job's tasks use it up.
    auto other = spec;
    other.id = "wk-000002";
    checker.intend(other);
    checker.started(one, {{other.id, 0}, 1});
    checker.started(one, {{other.id, 1}, 1});
    hosts[0].room = {4, 0, 32};
    look_for(120s);
    EXPECT_FALSE(checker.broke("left_waiting"));
    checker.gone("n-1", {{other.id, 0}, 1});
    look_for(100s);
    EXPECT_TRUE(checker.broke("left_waiting"));
}

TEST_F(Waiting, AGangNeedsRoomForAllItsTasks) {
    spec.kind = wire::JobKind::gang;
    checker.intend(spec);
    accepted();
    look_for(120s);
    EXPECT_FALSE(checker.broke("left_waiting"));
    hosts.push_back({{"n-3", "small", "a", false}, {1, 0, 8}});
    look_for(100s);
    EXPECT_TRUE(checker.broke("left_waiting"));
}

TEST_F(Planted, LessThanHalfServed) {
    for (int i = 0; i < 3; ++i) {
        spec.id = "wk-00001" + std::to_string(i);
        checker.intend(spec);
        accepted();
    }
    Present::now += 200s;
    checker.started(one, {{spec.id, 0}, 1});
    Present::now += 39s;
    checker.end(0s);
    EXPECT_FALSE(checker.broke("half_served"));
    EXPECT_FALSE(checker.broke("largest_late"));
    Present::now += 2s;
    checker.end(0s);
    EXPECT_TRUE(checker.broke("half_served"));
    EXPECT_TRUE(checker.broke("largest_late"));
}

TEST_F(Planted, NothingRan) {
    checker.end(0s);
    EXPECT_TRUE(checker.broke("nothing_ran"));
}
