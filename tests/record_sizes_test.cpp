// Whatever a job goes through, each of its records and of its machines' records fits into a value of the
// state service, and a successor reads from them what was recorded.
#include <random>

#include "cells/records.hpp"
#include "support.hpp"

using namespace barrowrun;
using namespace barrowrun::testing;
using state::IndexSet;

namespace {

constexpr std::size_t kib = 1024;

// The history of one large job whose leader changes, with transactions that fail.
class JobHistory {
  public:
    explicit JobHistory(std::uint64_t seed) : random_(seed), fleet_(drawn_config()) {
        auto spec = fleet_.spec("wk-1", below(3) ? 100'000 : 1 + below(100'000));
        records_.accept({spec, 1'000'000});
        restart();
    }

    void run() {
        for (int step = 0; step < 25 && fleet_.cluster->find_job("wk-1"); ++step) {
            if (below(8) == 0) restart();
            if (!fleet_.cluster->find_job("wk-1")) break;
            if (below(40) == 0) fleet_.cluster->cancel(job(), fleet_.now);
            finish_some();
            for (auto transactions = below(4); transactions > 0; --transactions) write();
        }
        end();
    }

  private:
    placement::Config drawn_config() {
        placement::Config config;
        config.value_bytes = (2 + below(47)) * kib;
        config.txn_ops = 4 + below(13);
        return config;
    }
    std::uint32_t below(std::uint64_t n) { return static_cast<std::uint32_t>(random_() % n); }
    Job& job() { return *fleet_.cluster->find_job("wk-1"); }

    void finish_some() {
        const auto step = 1 + below(4), tasks = job().spec.tasks, from = below(tasks);
        const auto to = std::min(tasks, from + below(tasks / 2 + 2));
        for (auto i = from; i < to; i += step) fleet_.cluster->finish_delegated(job(), i);
    }

    // Another leader reads the records, perhaps with another limit of values.
    void restart() {
        const Job* old = fleet_.cluster->find_job("wk-1");
        const IndexSet durable = old ? old->durable_done : IndexSet{};
        const bool cancelled = old && old->cancel_durable;
        fleet_.rules = drawn_config();
        fleet_.restart(11);
        records_.read_into(*fleet_.cluster, fleet_.now, fleet_.wall);
        if (!fleet_.cluster->find_job("wk-1")) {
            // Its end was recorded, and the answer was lost.
            EXPECT_TRUE(records_.values.contains("past/wk-1"));
            for (auto& [key, value] : records_.values)
                if (state::parse_progress_key(key)) fleet_.cluster->enqueue({key, std::nullopt, {}});
            return;
        }
        IndexSet both = job().done;
        both.insert(durable);
        EXPECT_EQ(both.size(), job().done.size()) << "finished tasks that were recorded are forgotten";
        EXPECT_TRUE(job().cancelled || !cancelled);
    }

    void write() {
        auto writes = fleet_.cluster->take_writes(fleet_.rules.txn_ops, 48 * kib, fleet_.now, fleet_.wall);
        if (writes.empty()) return;
        std::size_t bytes = 0;
        for (auto& w : writes) {
            const auto size = w.value ? wire::text_size(*w.value) : 0;
            bytes += size;
            EXPECT_LE(size, fleet_.rules.value_bytes) << w.key;
        }
        EXPECT_LE(bytes, 48 * kib);
        EXPECT_LE(writes.size(), fleet_.rules.txn_ops);
        switch (below(8)) {
            case 0:
                fleet_.cluster->write_failed(std::move(writes));
                return;
            case 1:  // executed, but the answer is lost
                records_.apply(writes);
                fleet_.cluster->write_failed(std::move(writes), true);
                return;
            case 2:
                write_separately(std::move(writes));
                return;
            default:
                records_.apply(writes);
                for (auto& w : writes)
                    if (w.on_durable) w.on_durable();
        }
    }

    // One of the writes is rejected, and tried again later.
    void write_separately(std::vector<placement::Write> writes) {
        auto transactions = placement::separable(std::move(writes));
        const std::size_t rejected = below(transactions.size());
        for (std::size_t i = 0; i < transactions.size(); ++i) {
            if (i == rejected) {
                fleet_.cluster->write_rejected(std::move(transactions[i]), fleet_.now);
                continue;
            }
            records_.apply(transactions[i]);
            for (auto& w : transactions[i])
                if (w.on_durable) w.on_durable();
        }
        if (below(2)) pass_time();
    }
    void pass_time() {
        fleet_.now += 31s;
        fleet_.cluster->tick(fleet_.now);
    }

    void end() {
        if (auto* left = fleet_.cluster->find_job("wk-1")) fleet_.cluster->cancel(*left, fleet_.now);
        for (int i = 0; i < 500 && fleet_.cluster->has_writes(); ++i) {
            write();
            pass_time();
        }
        EXPECT_EQ(records_.values.size(), 1u)
            << "records of the job are left: " << records_.values.begin()->first;
        EXPECT_TRUE(records_.values.contains("past/wk-1"));
    }

    std::mt19937_64 random_;
    Fleet fleet_;
    Records records_;
};

std::size_t largest_value(const std::vector<placement::Write>& writes) {
    std::size_t largest = 0;
    for (auto& w : writes)
        if (w.value) largest = std::max(largest, wire::text_size(*w.value));
    return largest;
}

}  // namespace

// Guards against the cancellation of a large array that stopped all transactions of the leader: the record of
// its finished tasks was larger than a value.
TEST(RecordSizes, TheProgressOfACancelledLargeArrayFitsIntoAValue) {
    placement::Config config;
    config.value_bytes = 16 * kib;
    Fleet f(config);
    auto& job = f.add(f.spec("wk-1", 100'000));
    for (std::uint32_t i = 0; i < 2'400; i += 2) f.cluster->finish_delegated(job, i);
    f.cluster->cancel(job, f.now);
    auto writes = f.write();
    EXPECT_FALSE(writes.empty());
    EXPECT_LE(largest_value(writes), config.value_bytes);
}

TEST(RecordSizes, AnyHistoryOfAJobKeepsItsRecordsWithinAValueAndForgetsNothing) {
    for (std::uint64_t seed = 1; seed <= 30 && !::testing::Test::HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        JobHistory(seed).run();
    }
}

// Tasks that fail are named in the progress record until they are done, and the attempts on a machine in its
// machine's record.
TEST(RecordSizes, AnyFailuresOfAJobKeepItsRecordsAndItsMachinesWithinAValue) {
    std::mt19937_64 random(7);
    for (std::size_t value_kib : {2, 4, 8, 16, 32, 48}) {
        placement::Config config = without_leases();
        config.value_bytes = value_kib * kib;
        Fleet f(config);
        const std::vector<std::string> machines{"n-1", "n-2", std::string(100, 'n')};
        for (auto& name : machines) f.up(name);
        auto spec = f.spec("wk-100000000000000001", 100'000, 0.0001);
        spec.need.mem_gb = 0.0001;
        spec.retries = 1000;
        f.add(spec);
        std::size_t largest = 0;
        for (int round = 0; round < 12 && f.cluster->find_job(spec.id); ++round) {
            f.now += 60s;
            for (auto& name : machines) f.cluster->on_heartbeat(f.heartbeat(name), true, f.now);
            f.cluster->schedule_round(f.now);
            largest = std::max(largest, largest_value(f.write()));
            for (auto& name : machines) {
                f.run(name);
                std::vector<TaskStatus> tasks;
                for (auto& attempt : f.on(name))
                    tasks.push_back(
                        {attempt, TaskState::exited, random() % 2 ? Cause::error : Cause::done, false});
                f.cluster->on_heartbeat(f.heartbeat(name, tasks, f.machine(name).fencing_token_sent), true,
                                        f.now);
            }
            largest = std::max(largest, largest_value(f.write()));
            f.refresh_fencing_token();
            for (auto& name : machines) f.run(name);
        }
        EXPECT_LE(largest, config.value_bytes);
        EXPECT_GT(largest, config.value_bytes / 4) << "the test does not come near the limit";
    }
}

// Guards against a gang of many small tasks that is placed on one machine, whose record is then larger than a
// value: no record of the leader was written any more.
TEST(RecordSizes, AGangOfManySmallTasksGetsAsManyMachinesAsItsRecordsNeed) {
    placement::Config config;
    config.value_bytes = 16 * kib;
    Fleet f(config);
    for (auto name : {"n-1", "n-2"}) f.up(name);
    auto spec = f.spec("wk-1", 700, 0.005);
    spec.need.mem_gb = 0.001;
    spec.kind = wire::JobKind::gang;
    f.add(spec);
    f.cluster->schedule_round(f.now);
    EXPECT_TRUE(f.on("n-1").empty() && f.on("n-2").empty()) << "all of the gang's tasks are placed or none";
    int ordered = 0;
    for (auto& order : autoscaler::Autoscaler().plan(*f.cluster, f.now).scale_out) ordered += order.count;
    EXPECT_GE(ordered, 1) << "machines are rented for the tasks that the records of these have no place for";
    f.up("n-3");
    f.cluster->schedule_round(f.now);
    EXPECT_EQ(f.on("n-1").size() + f.on("n-2").size() + f.on("n-3").size(), 700u);
    EXPECT_LE(largest_value(f.write()), config.value_bytes);
}

// The cells of one site may have different limits: the origin's limits what it offers, the executor's what it
// accepts.
TEST(RecordSizes, AnyProgressOfADelegatedShardKeepsTheRecordsOfBothCellsWithinAValue) {
    std::mt19937_64 random(11);
    for (std::uint64_t round = 0; round < 400; ++round) {
        const std::size_t value_bytes = (2 + random() % 47) * kib;
        Fleet f;
        auto spec = f.spec("wk-100000000000000001", 100'000);
        spec.types = std::vector<std::string>(random() % 40, "hangarrack");
        cells::IndexSet tasks, done;
        const auto most = cells::max_shard_tasks(spec, value_bytes);
        const auto step = 1 + random() % 60;
        for (std::uint64_t i = random() % 50'000; i < 100'000 && tasks.size() < most;
             i += 1 + random() % step)
            tasks.insert(static_cast<std::uint32_t>(i));
        tasks.each([&](std::uint32_t i) {
            if (random() % 2) done.insert(i);
        });
        cells::StoredExecutor executor;
        executor.owner = std::string(60, 'c');
        executor.record.epoch = 1ULL << 60;
        executor.record.tasks = tasks;
        executor.record.done = done;
        executor.record.deadline = DayTime(std::chrono::milliseconds(1LL << 51));
        executor.spec = spec;
        executor.accepted_ms = 1LL << 51;
        cells::StoredOrigin origin;
        origin.to = executor.owner;
        origin.record.epoch = executor.record.epoch;
        origin.record.open = true;
        origin.record.tasks = tasks;
        origin.record.deadline = executor.record.deadline;
        EXPECT_LE(wire::text_size(cells::to_json(executor)), value_bytes);
        EXPECT_LE(wire::text_size(cells::to_json(origin)), value_bytes);
        EXPECT_LE(wire::text_size(cells::closed_epoch_json(executor.record)), value_bytes);
        if (value_bytes >= 8 * kib) {
            EXPECT_GT(most, value_bytes / 64) << "the bound leaves room for many tasks";
        }
    }
}
