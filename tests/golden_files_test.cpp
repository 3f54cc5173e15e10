// Golden files of what stands on disk: the depot that workers and users share, an attempt's private
// directory, and a flow's journal (its SQLite file as text).
#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>

#include "golden.hpp"
#include "golden_samples.hpp"
#include "temp_dir.hpp"
#include "worker/stage.hpp"
#include "workflow/journal.hpp"

namespace barrowrun {

namespace fs = std::filesystem;
using testing::GoldenDirectory;
using testing::Json;
using testing::TempDir;

namespace {

const wire::Attempt attempt{{"wk-1", 3}, (5ULL << 40) + 1};

depot::Description sample_description(const std::string& dir) {
    return {testing::job_with_every_field(),
            {"/bin/bash", "-ec"},
            {{"cat in > out", false, true}, {"true", true, false}},
            dir,
            {{"LANG", "C"}, {"BYTES", "\xff"}},
            {"in", "data/in"},
            {"out", "results/out"},
            true,
            true,
            false,
            true,
            {"results/dir"},
            {"touched"},
            {"out"},
            {"log"},
            true};
}

depot::Result sample_result() {
    return {-9, "n-7", "error", "cat in > out", "no such \xff", 123'456, 12.5, (5ULL << 40) + 1};
}

depot::Final sample_final() {
    return {true,
            "",
            (5ULL << 40) + 1,
            "n-7",
            {{"/work/.barrowrun/stage/x/out", "/work/out", "0123456789abcdef", 1'750'000'000'123'456'789}},
            {"/work/old"}};
}

/// As `testing::rewrite_by`, of a parser that throws; what it says is partly the JSON library's.
template <class Parse>
testing::Rewrite rewrite_by(Parse parse) {
    return [parse](const Json& document) -> std::optional<Json> {
        try {
            return to_json(parse(document));
        } catch (const std::exception&) {
            return std::nullopt;
        }
    };
}

std::string replace_all(std::string text, const std::string& from, const std::string& to) {
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
        text.replace(at, from.size(), to);
    return text;
}

/// Every file below a directory, with what it is and holds; the directory itself is written as DIR.
Json tree_json(const fs::path& root) {
    Json out = Json::object();
    for (auto& entry : fs::recursive_directory_iterator(root)) {
        auto name = entry.path().lexically_relative(root).string();
        if (entry.is_symlink())
            out[name] =
                "link to " + replace_all(fs::read_symlink(entry.path()).string(), root.string(), "DIR");
        else if (entry.is_directory())
            out[name] = "directory";
        else
            out[name] = {
                {"links", entry.hard_link_count()},
                {"content", replace_all(depot::read_all(entry.path()).value_or(""), root.string(), "DIR")}};
    }
    return out;
}

/// The rows of a table, each value as SQL has it; the first column of a row that names a flow is hidden,
/// since a flow's id is drawn.
std::string rows(store::Database& database, const std::string& table, const std::string& columns) {
    std::string quoted;
    std::string name;
    for (char c : columns + ",") {
        if (c != ',') {
            name += c;
            continue;
        }
        quoted += (quoted.empty() ? "" : " || ',' || ") + ("quote(" + name + ")");
        name.clear();
    }
    std::string out;
    auto statement = database.prepare(("SELECT " + quoted + " FROM " + table + " ORDER BY 1").c_str());
    while (statement.step())
        out += "INSERT INTO " + table + "(" + columns + ") VALUES(" + statement.bytes(0) + ");\n";
    return out;
}

/// The journal's file as SQL that makes it again.
std::string dump(store::Database& database) {
    std::string out;
    {
        auto schema = database.prepare("SELECT sql FROM sqlite_master WHERE sql IS NOT NULL ORDER BY name");
        while (schema.step()) out += schema.bytes(0) + ";\n";
    }
    out +=
        rows(database, "flows", "id,key,kind,args,state,created_ms,ended_ms,cancel_asked,total,done,failed");
    out += rows(database, "nodes", "flow,node,job,state,note");
    out += rows(database, "recipes", "target,fingerprint");
    return out;
}

/// The lines in order: a flow's id is drawn, and rows are kept by it.
std::string sorted_lines(const std::string& text) {
    std::vector<std::string> lines;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) lines.push_back(line);
    std::sort(lines.begin(), lines.end());
    std::string out;
    for (auto& line : lines) out += line + "\n";
    return out;
}

/// Two flows: one that failed, one that is open and to be cancelled.
std::vector<std::string> write_journal(workflow::Journal& journal) {
    using workflow::NodeState;
    auto first = journal.open("make:all", "make", R"(["-k"])", 1'750'000'000'123).id;
    journal.started(first,
                    {{"out", "wk-1", NodeState::started, ""}, {"log", "wk-2", NodeState::started, ""}});
    journal.finished(first, {"out", "wk-1", NodeState::done, ""});
    journal.finished(first, {"log", "wk-2", NodeState::failed, "status 2"});
    journal.progress(first, 5, 1, 1);
    journal.remember_recipe("out", "0123abcd");
    journal.close(first, workflow::FlowState::failed, 1'750'000'009'000);
    auto second = journal.open("snake:all", "snake", "[]", 1'750'000'010'000).id;
    journal.started(second, {{"plot", "wk-3", NodeState::started, ""}});
    journal.ask_cancel(second);
    return {first, second};
}

Json flow_json(workflow::Journal& journal, const workflow::FlowRecord& flow) {
    auto& [id, key, kind, args, state, created_ms, ended_ms, cancel_asked, total, done, failed] = flow;
    Json out{{"id", id},
             {"key", key},
             {"kind", kind},
             {"args", args},
             {"state", workflow::flow_state_name(state)},
             {"created_ms", created_ms},
             {"ended_ms", ended_ms},
             {"cancel_asked", cancel_asked},
             {"total", total},
             {"done", done},
             {"failed", failed}};
    for (auto& [node, job, node_state, note] : journal.nodes(id))
        out["nodes"].push_back({node, job, static_cast<int>(node_state), note});
    return out;
}

/// All that a journal reads from its file.
Json read_journal(workflow::Journal& journal) {
    Json flows = Json::array();
    for (auto& flow : journal.flows()) flows.push_back(flow_json(journal, flow));
    std::sort(flows.begin(), flows.end(),
              [](const Json& a, const Json& b) { return a["created_ms"] < b["created_ms"]; });
    return {{"flows", std::move(flows)}, {"recipes", journal.recipes()}};
}

}  // namespace

TEST(GoldenFilesOnDisk, DescriptionsAndResults) {
    GoldenDirectory golden("depot");
    golden.message_and_malformed("description", to_json(sample_description("/work")),
                                 rewrite_by(depot::parse_description));
    golden.message("result", to_json(sample_result()), rewrite_by(depot::parse_result));
}

TEST(GoldenFilesOnDisk, TheDepotsTree) {
    GoldenDirectory golden("depot_tree");
    TempDir dir;
    depot::Depot depot(dir.path);
    depot.describe(sample_description("/work"));
    depot.keep_result(attempt, sample_result());
    depot.hint("wk-1");
    EXPECT_TRUE(depot.decide(attempt.task, sample_final()));
    EXPECT_TRUE(depot.decide({"wk-1", 4}, {false, "given up", 0, "", {}, {}}));
    golden.document("tree", tree_json(dir.path));
    golden.document("paths",
                    {{"output of an attempt", replace_all(depot.run_dir(attempt).string(), dir.str(), "DIR")},
                     {"gang", replace_all(depot.gang_dir("wk-1", 7).string(), dir.str(), "DIR")},
                     {"checkpoints", replace_all(depot.saved_dir(attempt.task).string(), dir.str(), "DIR")},
                     {"private directory", depot::stage_of("/work", attempt).string()}});
}

TEST(GoldenFilesOnDisk, TheDepotsFinalAnswersAreReadAsTheyWereWritten) {
    TempDir written, read;
    depot::Depot from(written.path), to(read.path);
    EXPECT_TRUE(from.decide(attempt.task, sample_final()));
    auto answer = from.final(attempt.task);
    ASSERT_TRUE(answer);
    EXPECT_TRUE(to.decide(attempt.task, *answer));
    EXPECT_EQ(read.read("final/wk-1.3.json"), written.read("final/wk-1.3.json"));
}

TEST(GoldenFilesOnDisk, AnAttemptsPrivateDirectory) {
    GoldenDirectory golden("stage");
    TempDir dir;
    for (auto* name : {"in", "data/in", "data/other", "results/out", "else/file"})
        dir.write(name, std::string(name) + "\n");
    auto description = sample_description(dir.str());
    worker::Stage inside(description, attempt);
    inside.prepare();
    golden.document("private", tree_json(dir.path));
}

TEST(GoldenFilesOnDisk, TheJournalOfAFlow) {
    GoldenDirectory golden("journal");
    TempDir dir;
    workflow::Journal journal(dir.str());
    auto ids = write_journal(journal);
    store::Database file(dir.str(".barrowrun/flows.db"));
    auto sql = dump(file);
    sql = replace_all(replace_all(sql, ids[0], "0000000000000001"), ids[1], "0000000000000002");
    sql = sorted_lines(sql);
    golden.text("flows.sql", sql);

    TempDir other;
    fs::create_directories(other.path / ".barrowrun");
    {
        store::Database made(other.str(".barrowrun/flows.db"));
        made.run(sql.c_str());
    }
    workflow::Journal again(other.str());
    golden.document("read", read_journal(again));
    store::Database second(other.str(".barrowrun/flows.db"));
    EXPECT_EQ(sorted_lines(dump(second)), sql);
}

}  // namespace barrowrun
