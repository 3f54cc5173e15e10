// Tests of quota::Tree: validation errors and the accounts of jobs.
#include <gtest/gtest.h>

#include "quota_builders.hpp"

using namespace barrowrun;
using namespace barrowrun::quota;

namespace {

// Returns the first error of a tree, from the schema check or from Tree::build; empty if the tree is valid.
// Nodes that start with '!' are the text of a whole file.
std::string first_error(const std::string& nodes) {
    try {
        auto built = Tree::build(config::parse_quotas_text(
                                     nodes.starts_with("!") ? nodes.substr(1) : "{\"nodes\":[" + nodes + "]}")
                                     .set_entries,
                                 platform_teams);
        return built.errors.empty() ? "" : built.errors.front().str();
    } catch (const config::ConfigError& e) {
        return e.what();
    }
}

}  // namespace

TEST(QuotaTree, EachValidationErrorNamesTheInvalidNodeOrField) {
    struct {
        const char *nodes, *expected_text;
    } cases[] = {
        {R"!({"name":""})!", "nodes"},
        {R"!({"name":"a/b"})!", "a/b: expected a name of 1 to 40 letters"},
        {R"!({"name":"a b"})!", "a b: expected a name"},
        {R"!({"name":"ä"})!", "expected a name"},
        {R"!({"name":"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"})!", "...: expected a name"},
        {R"!({"in":"a"})!", "nodes"},
        {R"!({"name":1})!", "name"},
        {R"!({"name":"a","in":1})!", "in"},
        {R"!({"name":"a","limits":{}})!", "limits"},
        {R"!({"name":"a","limit":5})!", "limit"},
        {R"!({"name":"a","limit":{"cpu":5}})!", "cpu"},
        {R"!({"name":"a","limit":{"cpus":"5"}})!", "cpus"},
        {R"!({"name":"a","limit":{"cpus":-1}})!", "cpus"},
        {R"!({"name":"a","guarantee":{"gpus":-1}})!", "gpus"},
        {R"!({"name":"a","limit":{"mem_gb":1e30}})!", "mem_gb"},
        {R"!({"name":"a"},{"name":"a"})!", "a: a repeated name"},
        {R"!({"name":"a"},{"name":"b","in":"a"},{"name":"b","in":"a"})!", "a/b: a repeated name"},
        {R"!({"name":"crew"})!", "crew: a repeated name"},
        {R"!({"name":"a","in":"z"})!", "a: no node 'z' to be in"},
        {R"!({"name":"a","in":"z/y"})!", "a: no node 'z/y' to be in"},
        {R"!({"name":"a"},{"name":"c","in":"a/b"})!", "c: no node 'a/b' to be in"},
        {R"!({"name":"a","in":"a"})!", "a: a cycle: a in a"},
        {R"!({"name":"a","in":"b"},{"name":"b","in":"a"})!", "a: a cycle: a in b in a"},
        {R"!({"name":"a","in":"b"},{"name":"b","in":"c"},{"name":"c","in":"a"})!",
         "a: a cycle: a in b in c in a"},
        {R"!({"name":"a"},{"name":"b"},{"name":"p","in":"a"},{"name":"p","in":"b"},{"name":"q","in":"p"})!",
         "q: several nodes are named 'p': expected a path"},
        {R"!({"name":"a","team":"ghost"})!", "a: unknown team 'ghost'"},
        {R"!({"name":"a","team":"crew"},{"name":"b","team":"crew"})!", "b: team 'crew' stands for a already"},
        {R"!({"name":"a","team":"crew"},{"name":"b","in":"a","team":"desk"})!", "a/b: a team in team 'crew'"},
        {R"!({"name":"a","team":"crew"},{"name":"m","in":"a"},{"name":"b","in":"m","team":"desk"})!",
         "a/m/b: a team in team 'crew'"},
        {R"!({"name":"a","team":"crew","limit":{"cpus":101}})!",
         "a: limit.cpus 101: the platform allows the team 100"},
        {R"!({"name":"a","team":"desk","limit":{"gpus":5}})!",
         "a: limit.gpus 5: the platform allows the team 4"},
        {R"!({"name":"a","team":"crew","guarantee":{"cpus":10}})!",
         "a: guarantee.cpus 10: the platform promises the team 20"},
        {R"!({"name":"a","team":"crew","limit":{"cpus":10}})!",
         "a: guarantee.cpus 20: more than its own limit 10"},
        {R"!({"name":"a","limit":{"cpus":4}},{"name":"b","in":"a","limit":{"cpus":5}})!",
         "a/b: limit.cpus 5: a allows 4"},
        {R"!({"name":"a","limit":{"cpus":4}},{"name":"b","in":"a"},{"name":"c","in":"a/b","limit":{"cpus":5}})!",
         "a/b/c: limit.cpus 5: a allows 4"},
        {R"!({"name":"a","limit":{"mem_gb":4}},{"name":"b","in":"a","limit":{"mem_gb":5}})!",
         "a/b: limit.mem_gb 5: a allows 4"},
        {R"!({"name":"a","limit":{"cpus":4},"guarantee":{"cpus":5}})!",
         "a: guarantee.cpus 5: more than its own limit 4"},
        {R"!({"name":"a","limit":{"gpus":4}},{"name":"b","in":"a","guarantee":{"gpus":5}})!",
         "a/b: guarantee.gpus 5: a is limited to 4"},
        {R"!({"name":"a","guarantee":{"cpus":4}},{"name":"b","in":"a","guarantee":{"cpus":3}},{"name":"c","in":"a","guarantee":{"cpus":2}})!",
         "a: guarantee.cpus: its children's add up to 5, its own is 4"},
        {R"!({"name":"a"},{"name":"b","in":"a","guarantee":{"mem_gb":3}})!",
         "a: guarantee.mem_gb: its children's add up to 3, its own is 0"},
        {R"!({"name":"o"},{"name":"a","in":"o","team":"crew"})!",
         "o: guarantee.cpus: its children's add up to 20"},
        {R"!({"name":"a"},{"name":"b","in":"a"},{"name":"c","in":"b"},{"name":"d","in":"c"},{"name":"e","in":"d"},{"name":"f","in":"e"},{"name":"g","in":"f"},{"name":"h","in":"g"},{"name":"i","in":"h"})!",
         "a/b/c/d/e/f/g/h/i: 9 levels: expected at most 8"},
        {"!not json", "not JSON"},
        {"![]", "<root>"},
        {"!{}", "nodes"},
        {R"!(!{"nodes":{}})!", "nodes"},
        {R"!(!{"nodes":[],"shrink_s":-1})!", "shrink_s"},
        {R"!(!{"nodes":[],"shrink":1})!", "shrink"},
    };
    static_assert(std::size(cases) >= 40);
    for (auto& test_case : cases)
        EXPECT_NE(first_error(test_case.nodes).find(test_case.expected_text), std::string::npos)
            << test_case.nodes << "\n  actual error: " << first_error(test_case.nodes);
}

TEST(QuotaTree, ProjectsAreFoundByPathAndJobsAreChargedToTheNearestExistingNode) {
    auto tree =
        build_tree(R"({"name":"bureau","guarantee":{"cpus":20}},{"name":"crew","in":"bureau","team":"crew"},
        {"name":"slips","in":"crew","limit":{"cpus":8}},{"name":"night","in":"bureau/crew/slips"})");
    ASSERT_TRUE(tree);
    auto night = tree->find_project("crew", "slips/night");
    ASSERT_TRUE(night);
    EXPECT_EQ(tree->node(*night).path, "bureau/crew/slips/night");
    EXPECT_FALSE(tree->find_project("crew", "slips/day"));
    // A project that does not exist is charged to its nearest existing ancestor, so that removing a node
    // leaves no job without an account.
    EXPECT_EQ(tree->node(*tree->account_for("crew", "slips/day")).path, "bureau/crew/slips");
    EXPECT_EQ(tree->node(*tree->account_for("crew", "x/y/z")).path, "bureau/crew");
    EXPECT_FALSE(tree->account_for("ghost", ""));
    EXPECT_EQ(tree->node(*tree->account_for("desk", "")).path, "desk")
        << "a team that no entry names becomes a top-level node";
    EXPECT_EQ(tree->node(*tree->account_for("crew", "")).limit.cpus, 100) << "the platform's limit applies";
    EXPECT_EQ(tree->lowest_common_ancestor(*night, *tree->find_by_path("bureau")),
              *tree->find_by_path("bureau"));
    EXPECT_EQ(tree->lowest_common_ancestor(*night, *tree->find_by_path("desk")), root);
}
