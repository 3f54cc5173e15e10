// Private directories and final answers: what may be seen of an attempt, and when.
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

struct Place {
    TempDir dir, shared;
    Depot depot{shared.path};
    depot::Description what;
    Place() {
        what.dir = dir.str();
        what.in_private = true;
        what.spec.id = "wk-1";
    }
    static wire::Attempt attempt(std::uint64_t n) { return {{"wk-1", 0}, n}; }
    void in(const Stage& s, const std::string& command) {
        ASSERT_EQ(std::system(("cd '" + s.work().string() + "' && " + command).c_str()), 0) << command;
    }
    void publish(Stage& s, std::uint64_t n) {
        auto final = s.collect(n, "n-1");
        ASSERT_TRUE(depot.decide({"wk-1", 0}, final));
        depot.settle({"wk-1", 0}, final);
    }
};

}  // namespace

TEST(Stage, NothingIsSeenBeforeItIsPublishedAndThenAllOfIt) {
    Place p;
    p.dir.write("in", "input\n");
    p.dir.write("other/file", "other\n");
    p.what.inputs = {"in"};
    p.what.outputs = {"out/a", "out/b"};
    fs::create_directories(p.dir.path / "out");
    Stage s(p.what, Place::attempt(1));
    s.prepare();
    p.in(s, "cat in other/file > out/a; echo b > out/b; mkdir -p out/side; echo s > out/side/x");
    EXPECT_FALSE(p.dir.has("out/a"));
    p.publish(s, 1);
    EXPECT_EQ(p.dir.read("out/a"), "input\nother\n");
    EXPECT_EQ(p.dir.read("out/b"), "b\n");
    EXPECT_EQ(p.dir.read("out/side/x"), "s\n");
    EXPECT_EQ(p.dir.read("in"), "input\n");
}

TEST(Stage, ACrashBetweenTwoRenamesIsCompletedByWhoeverComesNext) {
    Place p;
    p.what.outputs = {"a", "b"};
    Stage s(p.what, Place::attempt(1));
    s.prepare();
    p.in(s, "echo A > a; echo B > b");
    auto final = s.collect(1, "n-1");
    ASSERT_TRUE(p.depot.decide({"wk-1", 0}, final));
    // The first rename happens, then the machine is lost.
    fs::rename(final.outputs[0].staged, final.outputs[0].path);
    EXPECT_FALSE(p.depot.settled({"wk-1", 0}));
    // A successor finds the decision and finishes it; doing so again changes nothing.
    for (int i = 0; i < 2; ++i) p.depot.settle({"wk-1", 0}, p.depot.final({"wk-1", 0}).value());
    EXPECT_EQ(p.dir.read("a"), "A\n");
    EXPECT_EQ(p.dir.read("b"), "B\n");
    EXPECT_TRUE(p.depot.settled({"wk-1", 0}));
}

TEST(Stage, TheFirstDecisionStands) {
    Place p;
    p.what.outputs = {"a"};
    Stage first(p.what, Place::attempt(1)), second(p.what, Place::attempt(2));
    first.prepare();
    second.prepare();
    p.in(first, "echo first > a");
    p.in(second, "echo second > a");
    p.publish(second, 2);
    // The first was taken for dead; it goes on, and comes too late.
    EXPECT_FALSE(p.depot.decide({"wk-1", 0}, first.collect(1, "n-1")));
    EXPECT_EQ(p.depot.final({"wk-1", 0})->attempt, 2u);
    EXPECT_EQ(p.dir.read("a"), "second\n");
}

TEST(Stage, ASecondAttemptLeavesTheFirstOnesDirectoryAlone) {
    // The first may be the one that decides, after all: its files must be there then.
    Place p;
    p.what.outputs = {"a"};
    Stage first(p.what, Place::attempt(1));
    first.prepare();
    p.in(first, "echo first > a");
    auto final = first.collect(1, "n-1");
    Stage second(p.what, Place::attempt(2));
    second.prepare();
    ASSERT_TRUE(p.depot.decide({"wk-1", 0}, final));
    p.depot.settle({"wk-1", 0}, final);
    EXPECT_EQ(p.dir.read("a"), "first\n");
}

TEST(Stage, WhatWasGivenUpIsNeverPublished) {
    Place p;
    depot::Final given_up;
    given_up.why = "failed";
    EXPECT_TRUE(p.depot.decide({"wk-1", 0}, given_up));
    p.what.outputs = {"a"};
    Stage s(p.what, Place::attempt(3));
    s.prepare();
    p.in(s, "echo late > a");
    EXPECT_FALSE(p.depot.decide({"wk-1", 0}, s.collect(3, "n-1")));
    EXPECT_FALSE(p.dir.has("a"));
}

TEST(Stage, AFailureLeavesTheOldOutputAndTheLog) {
    Place p;
    p.dir.write("a", "old\n");
    p.what.outputs = {"a"};
    p.what.logs = {"logs/a.log"};
    p.what.must_produce = true;
    Stage s(p.what, Place::attempt(1));
    s.prepare();
    p.in(s, "echo half > a; echo trouble > logs/a.log");
    s.abandon();
    EXPECT_EQ(p.dir.read("a"), "old\n");
    EXPECT_EQ(p.dir.read("logs/a.log"), "trouble\n");
    EXPECT_TRUE(depot::stages_of(p.dir.path, {"wk-1", 0}).empty());
}

TEST(Stage, OutputsThatExistMayBeAddedToAndAreLeftAloneIfNotTouched) {
    Place p;
    p.dir.write("log", "one\n");
    p.dir.write("kept", "kept\n");
    struct stat before {};
    ::stat(p.dir.str("kept").c_str(), &before);
    p.what.outputs = {"log", "kept"};
    Stage s(p.what, Place::attempt(1));
    s.prepare();
    p.in(s, "echo two >> log");
    p.publish(s, 1);
    EXPECT_EQ(p.dir.read("log"), "one\ntwo\n");
    struct stat after {};
    ::stat(p.dir.str("kept").c_str(), &after);
    EXPECT_EQ(before.st_ino, after.st_ino);
}

TEST(Stage, RemovalsRenamesAndNewDirectoriesAreCarriedOver) {
    Place p;
    p.dir.write("old.tmp", "x\n");
    p.dir.write("from", "moved\n");
    p.what.outputs = {"t"};
    Stage s(p.what, Place::attempt(1));
    s.prepare();
    p.in(s, "rm old.tmp; mv from to; mkdir empty; echo t > t");
    p.publish(s, 1);
    EXPECT_FALSE(p.dir.has("old.tmp"));
    EXPECT_FALSE(p.dir.has("from"));
    EXPECT_EQ(p.dir.read("to"), "moved\n");
    EXPECT_TRUE(fs::is_directory(p.dir.path / "empty"));
}

TEST(Stage, AnOutputThatMustBeThereAndIsNotIsAFailure) {
    Place p;
    p.what.outputs = {"a", "b"};
    p.what.must_produce = p.what.fresh_outputs = true;
    p.dir.write("b", "of before\n");
    Stage s(p.what, Place::attempt(1));
    s.prepare();
    p.in(s, "echo a > a");
    EXPECT_THROW(s.collect(1, "n-1"), std::runtime_error);
}

TEST(Stage, DirectoriesAsOutputsAreReplacedWhole) {
    Place p;
    p.dir.write("pages/old", "old\n");
    p.what.outputs = p.what.directories = {"pages"};
    p.what.must_produce = p.what.fresh_outputs = true;
    Stage s(p.what, Place::attempt(1));
    s.prepare();
    p.in(s, "mkdir pages; echo new > pages/new");
    EXPECT_EQ(p.dir.read("pages/old"), "old\n");
    p.publish(s, 1);
    EXPECT_FALSE(p.dir.has("pages/old"));
    EXPECT_EQ(p.dir.read("pages/new"), "new\n");
}

TEST(Stage, OutputsOutsideThatAFailureChangedAreRemoved) {
    Place p;
    TempDir outside;
    p.what.outputs = {outside.str("half"), outside.str("kept")};
    outside.write("kept", "kept\n");
    Stage s(p.what, Place::attempt(1));
    s.prepare();
    p.in(s, "echo half > " + outside.str("half"));
    // Its machine is lost; the next attempt undoes what it left.
    Stage next(p.what, Place::attempt(2));
    next.prepare();
    EXPECT_FALSE(outside.has("half"));
    EXPECT_TRUE(outside.has("kept"));
}

TEST(Stage, NamesThatAreNotUtf8AreNames) {
    Place p;
    std::string name = "caf\xe9 \x1b[1m";
    p.what.outputs = {name};
    auto back = depot::parse_description(nlohmann::json::parse([&] {
        auto d = p.what;
        d.spec.job_class = d.spec.team = d.spec.image = "x";
        d.spec.tasks = 1;
        return depot::to_json(d).dump();
    }()));
    EXPECT_EQ(back.outputs, p.what.outputs);
    Stage s(p.what, Place::attempt(1));
    s.prepare();
    std::ofstream(s.work() / name) << "x";
    p.publish(s, 1);
    EXPECT_EQ(p.dir.read(name), "x");
}
