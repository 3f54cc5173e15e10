// Tests the private directories of attempts and the final results of tasks: when an attempt's files become
// visible in the working directory.
#include "worker/stage.hpp"

#include <gtest/gtest.h>
#include <sys/stat.h>

#include "temp_dir.hpp"

using namespace barrowrun;
using barrowrun::testing::TempDir;
using depot::Depot;
using worker::Stage;
namespace fs = std::filesystem;

namespace {

struct StageTest {
    TempDir dir, shared;
    Depot depot{shared.path};
    depot::Description description;
    StageTest() {
        description.dir = dir.str();
        description.in_private = true;
        description.spec.id = "wk-1";
    }
    static wire::Attempt attempt(std::uint64_t number) { return {{"wk-1", 0}, number}; }
    void run_in(const Stage& stage, const std::string& command) {
        ASSERT_EQ(std::system(("cd '" + stage.work().string() + "' && " + command).c_str()), 0) << command;
    }
    void publish(Stage& stage, std::uint64_t attempt_number) {
        auto final = stage.collect(attempt_number, "n-1");
        ASSERT_TRUE(depot.decide({"wk-1", 0}, final));
        depot.settle({"wk-1", 0}, final);
    }
};

}  // namespace

TEST(Stage, OutputsBecomeVisibleOnlyWhenTheyArePublished) {
    StageTest test;
    test.dir.write("in", "input\n");
    test.dir.write("other/file", "other\n");
    test.description.inputs = {"in"};
    test.description.outputs = {"out/a", "out/b"};
    fs::create_directories(test.dir.path / "out");
    Stage stage(test.description, StageTest::attempt(1));
    stage.prepare();
    test.run_in(stage, "cat in other/file > out/a; echo b > out/b; mkdir -p out/side; echo s > out/side/x");
    EXPECT_FALSE(test.dir.has("out/a"));
    test.publish(stage, 1);
    EXPECT_EQ(test.dir.read("out/a"), "input\nother\n");
    EXPECT_EQ(test.dir.read("out/b"), "b\n");
    EXPECT_EQ(test.dir.read("out/side/x"), "s\n");
    EXPECT_EQ(test.dir.read("in"), "input\n");
}

TEST(Stage, PublishingInterruptedBetweenTwoRenamesIsCompletedByTheNextAttempt) {
    StageTest test;
    test.description.outputs = {"a", "b"};
    Stage stage(test.description, StageTest::attempt(1));
    stage.prepare();
    test.run_in(stage, "echo A > a; echo B > b");
    auto final = stage.collect(1, "n-1");
    ASSERT_TRUE(test.depot.decide({"wk-1", 0}, final));
    // The machine is lost after the first of two renames.
    fs::rename(final.outputs[0].staged, final.outputs[0].path);
    EXPECT_FALSE(test.depot.settled({"wk-1", 0}));
    // The next attempt finds the recorded result and completes the renames; settling again changes nothing.
    for (int i = 0; i < 2; ++i) test.depot.settle({"wk-1", 0}, test.depot.final({"wk-1", 0}).value());
    EXPECT_EQ(test.dir.read("a"), "A\n");
    EXPECT_EQ(test.dir.read("b"), "B\n");
    EXPECT_TRUE(test.depot.settled({"wk-1", 0}));
}

TEST(Stage, FirstRecordedResultIsFinal) {
    StageTest test;
    test.description.outputs = {"a"};
    Stage first(test.description, StageTest::attempt(1)), second(test.description, StageTest::attempt(2));
    first.prepare();
    second.prepare();
    test.run_in(first, "echo first > a");
    test.run_in(second, "echo second > a");
    test.publish(second, 2);
    // The first attempt was presumed dead; it resumes after the second has recorded its result.
    EXPECT_FALSE(test.depot.decide({"wk-1", 0}, first.collect(1, "n-1")));
    EXPECT_EQ(test.depot.final({"wk-1", 0})->attempt, 2u);
    EXPECT_EQ(test.dir.read("a"), "second\n");
}

TEST(Stage, SecondAttemptKeepsThePrivateDirectoryOfTheFirst) {
    // The first attempt may still record the final result, and its files must exist when the result is
    // settled.
    StageTest test;
    test.description.outputs = {"a"};
    Stage first(test.description, StageTest::attempt(1));
    first.prepare();
    test.run_in(first, "echo first > a");
    auto final = first.collect(1, "n-1");
    Stage second(test.description, StageTest::attempt(2));
    second.prepare();
    ASSERT_TRUE(test.depot.decide({"wk-1", 0}, final));
    test.depot.settle({"wk-1", 0}, final);
    EXPECT_EQ(test.dir.read("a"), "first\n");
}

TEST(Stage, TaskThatWasGivenUpIsNeverPublished) {
    StageTest test;
    depot::Final given_up;
    given_up.why = "failed";
    EXPECT_TRUE(test.depot.decide({"wk-1", 0}, given_up));
    test.description.outputs = {"a"};
    Stage stage(test.description, StageTest::attempt(3));
    stage.prepare();
    test.run_in(stage, "echo late > a");
    EXPECT_FALSE(test.depot.decide({"wk-1", 0}, stage.collect(3, "n-1")));
    EXPECT_FALSE(test.dir.has("a"));
}

TEST(Stage, FailedAttemptKeepsTheOldOutputAndItsLog) {
    StageTest test;
    test.dir.write("a", "old\n");
    test.description.outputs = {"a"};
    test.description.logs = {"logs/a.log"};
    test.description.must_produce = true;
    Stage stage(test.description, StageTest::attempt(1));
    stage.prepare();
    test.run_in(stage, "echo half > a; echo trouble > logs/a.log");
    stage.abandon();
    EXPECT_EQ(test.dir.read("a"), "old\n");
    EXPECT_EQ(test.dir.read("logs/a.log"), "trouble\n");
    EXPECT_TRUE(depot::stages_of(test.dir.path, {"wk-1", 0}).empty());
}

TEST(Stage, ExistingOutputsCanBeAppendedToAndStayUntouchedIfUnchanged) {
    StageTest test;
    test.dir.write("log", "one\n");
    test.dir.write("kept", "kept\n");
    struct stat before {};
    ::stat(test.dir.str("kept").c_str(), &before);
    test.description.outputs = {"log", "kept"};
    Stage stage(test.description, StageTest::attempt(1));
    stage.prepare();
    test.run_in(stage, "echo two >> log");
    test.publish(stage, 1);
    EXPECT_EQ(test.dir.read("log"), "one\ntwo\n");
    struct stat after {};
    ::stat(test.dir.str("kept").c_str(), &after);
    EXPECT_EQ(before.st_ino, after.st_ino);
}

TEST(Stage, RemovalsRenamesAndNewDirectoriesArePublished) {
    StageTest test;
    test.dir.write("old.tmp", "x\n");
    test.dir.write("from", "moved\n");
    test.description.outputs = {"t"};
    Stage stage(test.description, StageTest::attempt(1));
    stage.prepare();
    test.run_in(stage, "rm old.tmp; mv from to; mkdir empty; echo t > t");
    test.publish(stage, 1);
    EXPECT_FALSE(test.dir.has("old.tmp"));
    EXPECT_FALSE(test.dir.has("from"));
    EXPECT_EQ(test.dir.read("to"), "moved\n");
    EXPECT_TRUE(fs::is_directory(test.dir.path / "empty"));
}

TEST(Stage, MissingRequiredOutputIsAnError) {
    StageTest test;
    test.description.outputs = {"a", "b"};
    test.description.must_produce = test.description.fresh_outputs = true;
    test.dir.write("b", "previous\n");
    Stage stage(test.description, StageTest::attempt(1));
    stage.prepare();
    test.run_in(stage, "echo a > a");
    EXPECT_THROW(stage.collect(1, "n-1"), std::runtime_error);
}

TEST(Stage, DirectoryOutputsAreReplacedAsAWhole) {
    StageTest test;
    test.dir.write("pages/old", "old\n");
    test.description.outputs = test.description.directories = {"pages"};
    test.description.must_produce = test.description.fresh_outputs = true;
    Stage stage(test.description, StageTest::attempt(1));
    stage.prepare();
    test.run_in(stage, "mkdir pages; echo new > pages/new");
    EXPECT_EQ(test.dir.read("pages/old"), "old\n");
    test.publish(stage, 1);
    EXPECT_FALSE(test.dir.has("pages/old"));
    EXPECT_EQ(test.dir.read("pages/new"), "new\n");
}

TEST(Stage, OutputsOutsideTheWorkingDirectoryThatAFailedAttemptChangedAreRemoved) {
    StageTest test;
    TempDir outside;
    test.description.outputs = {outside.str("half"), outside.str("kept")};
    outside.write("kept", "kept\n");
    Stage stage(test.description, StageTest::attempt(1));
    stage.prepare();
    test.run_in(stage, "echo half > " + outside.str("half"));
    // The machine is lost; the next attempt removes the outside output that was changed.
    Stage next(test.description, StageTest::attempt(2));
    next.prepare();
    EXPECT_FALSE(outside.has("half"));
    EXPECT_TRUE(outside.has("kept"));
}

TEST(Stage, FileNamesThatAreNotUtf8ArePublished) {
    StageTest test;
    std::string name = "caf\xe9 \x1b[1m";
    test.description.outputs = {name};
    auto parsed = depot::parse_description(nlohmann::json::parse([&] {
        auto d = test.description;
        d.spec.job_class = d.spec.team = d.spec.image = "x";
        d.spec.tasks = 1;
        return depot::to_json(d).dump();
    }()));
    EXPECT_EQ(parsed.outputs, test.description.outputs);
    Stage stage(test.description, StageTest::attempt(1));
    stage.prepare();
    std::ofstream(stage.work() / name) << "x";
    test.publish(stage, 1);
    EXPECT_EQ(test.dir.read(name), "x");
}
