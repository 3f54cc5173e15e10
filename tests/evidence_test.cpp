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
        read_records(own_token);
    }
    void read_records(std::uint64_t fencing_token) {
        f.restart(fencing_token);
        records.read_into(*f.cluster, f.now, f.wall);
    }
    // As an earlier version wrote the records.
    void read_records_without_agent_epochs() {
        for (auto& [key, value] : records.values)
            if (state::parse_assignment_shard_key(key))
                for (auto& machine : value) machine.erase(machine.begin() + 7, machine.end());
        read_records(own_token);
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

// Without the agent epoch on record, a start that no heartbeat lists would be held for as long as its machine
// doesn't hear this leader.
TEST_F(EvidenceTest, AStartIsGoneInALaterAgentEpochThanItsRecordNames) {
    hear(3, predecessor_token);
    EXPECT_FALSE(may_run());
    EXPECT_EQ(f.cluster->find_job("wk-1")->waiting.size(), 1u);
}

TEST_F(EvidenceTest, ARecordWithoutAnAgentEpochLeavesTheFencingTokenAsTheOnlyProof) {
    read_records_without_agent_epochs();
    hear(2, predecessor_token);
    hear(3, predecessor_token);
    EXPECT_TRUE(may_run());
    hear(3, own_token);
    EXPECT_FALSE(may_run());
}

// A leader that has heard nothing of the machine passes on what it read.
TEST_F(EvidenceTest, ASuccessorsRecordKeepsTheAgentEpochOfAPredecessorsStart) {
    hear(1, earlier_token);
    f.cluster->mark_machine_changed("n-1");
    records.apply(f.write());
    read_records(own_token + 10);
    hear(2, own_token);
    EXPECT_TRUE(may_run());
    hear(3, own_token);
    EXPECT_FALSE(may_run());
}

// Two records list a machine after a crash in a move between them: the start may be in either epoch.
TEST_F(EvidenceTest, OfTwoRecordsOfAMachineTheLaterAgentEpochCounts) {
    state::MachineRecord later;
    later.name = "n-1", later.address = "127.0.0.1:9", later.type = "small", later.zone = "a";
    later.attempts = {started};
    later.agent_epoch = 3;
    f.cluster->recover_machine(1, later, f.now, f.wall);
    hear(3, predecessor_token);
    EXPECT_TRUE(may_run());
    later.agent_epoch.reset();
    f.cluster->recover_machine(2, later, f.now, f.wall);
    hear(4, predecessor_token);
    EXPECT_TRUE(may_run());
}

namespace {
// A task is to start on n-1, whose worker is in its first agent epoch.
struct StartRecord : ::testing::Test {
    Fleet f;
    Job* job = nullptr;

    void SetUp() override {
        f.up("n-1");
        job = &f.add(f.spec("wk-1"));
        f.cluster->schedule_round(f.now);
    }
    void hear_of_second_agent_epoch(bool from_heartbeat_route) {
        auto heartbeat = f.heartbeat("n-1");
        heartbeat.agent_epoch = 2;
        f.cluster->on_heartbeat(heartbeat, from_heartbeat_route, f.now);
    }
    // Writes what is pending; the agent epoch that the machine's record names.
    std::optional<std::uint64_t> write_agent_epoch() {
        for (auto& write : f.write())
            if (state::parse_assignment_shard_key(write.key))
                return state::parse_assignment_shard(*write.value)->at(0).agent_epoch;
        return std::nullopt;
    }
    void expect_recorded_again_before_it_is_sent() {
        EXPECT_TRUE(f.cluster->push_commands(f.machine("n-1"), f.now).empty());
        EXPECT_EQ(write_agent_epoch(), 2u);
        EXPECT_EQ(f.cluster->push_commands(f.machine("n-1"), f.now).size(), 1u);
    }
};
}  // namespace

// A start that is launched in a later agent epoch than its record names would be taken for gone by a
// successor.
TEST_F(StartRecord, AStartIsRecordedAgainBeforeItIsSentInALaterAgentEpoch) {
    EXPECT_EQ(write_agent_epoch(), 1u);
    hear_of_second_agent_epoch(true);
    expect_recorded_again_before_it_is_sent();
}

TEST_F(StartRecord, AWriteForAnEarlierAgentEpochDoesNotReleaseTheStart) {
    auto in_flight = f.cluster->take_writes(1000, 1 << 20, f.now, f.wall);
    hear_of_second_agent_epoch(true);
    for (auto& write : in_flight)
        if (write.on_durable) write.on_durable();
    expect_recorded_again_before_it_is_sent();
}

// The worker refuses a launch for an agent epoch that has ended, and its answer names the later one.
TEST_F(StartRecord, ARefusedStartIsRecordedAgainForTheAgentEpochOfTheAnswer) {
    f.write();
    auto sent = f.cluster->push_commands(f.machine("n-1"), f.now);
    f.cluster->push_answered(f.machine("n-1"), sent, 10, false, false, f.now);
    hear_of_second_agent_epoch(false);
    EXPECT_EQ(job->placements.size(), 1u);
    expect_recorded_again_before_it_is_sent();
}
