// What proves to a new leader that attempts of its predecessor are gone.
#include "support.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;

namespace {
constexpr std::uint64_t earlier_token = 5, predecessor_token = 10, own_token = 50;

// A predecessor has started a task on n-1 in the worker's second agent epoch; a new leader reads the records.
struct EvidenceTest : ::testing::Test {
    Fleet f;
    Records records;
    Attempt started;

    void SetUp() override {
        auto up = f.heartbeat("n-1", {}, predecessor_token);
        up.agent_epoch = 2;
        f.cluster->on_heartbeat(up, true, f.now);
        const state::JobRecord job{f.spec("wk-1"), f.wall};
        f.cluster->add_job(job, nullptr, f.now, f.wall);
        records.accept(job);
        f.cluster->schedule_round(f.now);
        records.apply(f.write());
        started = f.on("n-1").at(0);
        f.restart(own_token);
        records.read_into(*f.cluster, f.now, f.wall);
    }
    void hear(std::uint64_t agent_epoch, std::uint64_t fencing_token, std::vector<TaskStatus> tasks = {}) {
        auto heartbeat = f.heartbeat("n-1", std::move(tasks), fencing_token);
        heartbeat.agent_epoch = agent_epoch;
        f.cluster->on_heartbeat(heartbeat, true, f.now);
    }
    TaskStatus running() const { return {started, TaskState::running, Cause::none, false}; }
    bool may_run() { return !f.cluster->find_job("wk-1")->placements.empty(); }
};
}  // namespace

// review/1: a task ran twice after two old heartbeats, of two agent epochs, had reached a new leader: the
// later one was taken for proof that what the predecessor had started in that very epoch was gone.
TEST_F(EvidenceTest, OldHeartbeatsOfTwoAgentEpochsProveNothingOfWhatThePredecessorStarted) {
    hear(1, earlier_token);
    hear(2, predecessor_token);
    EXPECT_TRUE(may_run());
    EXPECT_EQ(f.cluster->find_job("wk-1")->waiting.size(), 0u);
    // The worker is heard again.
    hear(2, own_token, {running()});
    EXPECT_EQ(f.on("n-1"), std::vector<Attempt>{started});
    EXPECT_EQ(f.cluster->find_job("wk-1")->running(), 1u);
}

// The same with two of each agent epoch: the epoch that one changes to is no evidence for the next.
TEST_F(EvidenceTest, SeveralOldHeartbeatsOfEachAgentEpochProveNothingEither) {
    hear(1, earlier_token);
    hear(1, earlier_token);
    hear(2, earlier_token);
    hear(2, predecessor_token);
    EXPECT_TRUE(may_run());
}

// An attempt that a heartbeat has listed ended with the agent epoch of that heartbeat, whoever started it.
TEST_F(EvidenceTest, AnAttemptThatWasListedIsGoneInALaterAgentEpoch) {
    hear(2, predecessor_token, {running()});
    EXPECT_TRUE(may_run());
    hear(3, predecessor_token);
    EXPECT_FALSE(may_run());
    EXPECT_EQ(f.cluster->find_job("wk-1")->waiting.size(), 1u);
}

// A worker that knows this leader's token executes no launch of the predecessor any more.
TEST_F(EvidenceTest, AHeartbeatWithThisLeadersTokenProvesThatAnUnlistedAttemptIsGone) {
    hear(1, earlier_token);
    hear(2, own_token);
    EXPECT_FALSE(may_run());
    EXPECT_EQ(f.cluster->find_job("wk-1")->waiting.size(), 1u);
}
